"""Status lines and headers of HTTP messages of backend servers."""

from collections.abc import Sequence
from typing import NamedTuple

from chervilrock.clients.heads import (
    is_final_status,
    parse_field,
    parse_status,
)
from chervilrock.decisions.serving.messages import Framing
from chervilrock.platform.headers import find_framing

_WITHOUT_LENGTH = (Framing.CHUNKS, Framing.NO_BODY)


class Head(NamedTuple):
    """Status and headers of an answer.

    Attributes:
      status: HTTP status.
      headers: names and values in the order received.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def find(self, name: str, default: str = "") -> str:
        """Returns the last value of a header.

        Args:
          name: name in lower case.
          default: value when the header is missing.
        """
        for other, value in reversed(self.headers):
            if other.lower() == name:
                return value
        return default

    @property
    def is_delimited(self) -> bool:
        """Whether it states where the body ends, other than by closing."""
        values = {name.lower(): value for name, value in self.headers}
        return find_framing(self.status, values) is not Framing.CONNECTION

    def find_length_error(self, size: int) -> str:
        """Return why a body is not of the stated length, empty if it may be.

        libcurl ignores a length that is too great for it, or that stands
        beside a coding.

        Args:
          size: bytes of the body that were received.
        """
        values = {name.lower(): value for name, value in self.headers}
        if find_framing(self.status, values) in _WITHOUT_LENGTH:
            return ""
        for name, value in self.headers:
            if name.lower() != "content-length":
                continue
            for stated in value.split(","):
                if (stated.strip().lstrip("0") or "0") != str(size):
                    return f"the body has {size} bytes, not as stated"
        return ""


def format_headers(headers: Sequence[tuple[str, str]]) -> list[bytes]:
    """Returns header lines for libcurl.

    A header with an empty value keeps libcurl from adding its own.

    Raises:
      ValueError: a name or value contains CR, LF or NUL, which would allow
        header injection.
    """
    lines = [f"{name}: {value}" for name, value in headers]
    for line in lines:
        if "\r" in line or "\n" in line or "\0" in line:
            raise ValueError("a header holds a line break")
    lines.append("Expect:")
    return [line.encode("latin1") for line in lines]


def parse_head(lines: Sequence[bytes]) -> Head | None:
    """Parses a head as libcurl delivers it.

    Args:
      lines: the status line, the field lines and the blank line, if any.

    Returns:
      The head, or None if it is malformed or that of an interim answer.
    """
    status = parse_status(lines[0]) if lines else None
    if status is None or not is_final_status(status):
        return None
    fields = lines[1:-1] if lines[-1].strip() == b"" else lines[1:]
    pairs = []
    for line in fields:
        pair = parse_field(line)
        if pair is None:
            return None
        pairs.append(pair)
    return Head(status=status, headers=tuple(pairs))
