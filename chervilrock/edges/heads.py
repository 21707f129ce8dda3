"""Status lines and headers of HTTP messages of backend servers."""

from collections.abc import Sequence
import re
from typing import NamedTuple

from chervilrock.clients.heads import is_final_status, parse_status
from chervilrock.decisions.serving.messages import Framing
from chervilrock.platform.headers import find_framing

_WITHOUT_LENGTH = (Framing.CHUNKS, Framing.NO_BODY)
_IGNORED_CODING = re.compile(rb"transfer-encoding[ \t]+:", re.IGNORECASE)


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

        libcurl ignores a length that is too great for it, whose name a space
        follows, or that stands beside a coding.

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
    """Parses the header lines that libcurl delivers.

    Args:
      lines: all lines, also those of answers before the final one, such as
        100 Continue.

    Returns:
      The final head, or None if it is missing or malformed.
    """
    first = None
    for index, line in enumerate(lines):
        if line.startswith(b"HTTP/"):
            first = index
    if first is None:
        return None
    status = parse_status(lines[first])
    if status is None or not is_final_status(status):
        return None
    pairs = []
    for line in lines[first + 1 :]:
        name, colon, value = line.decode("latin1").partition(":")
        if colon:
            pairs.append((name.strip(), value.strip()))
    return Head(status=status, headers=tuple(pairs))


def has_ignored_coding(lines: Sequence[bytes]) -> bool:
    """Return whether libcurl does not undo the coding that a head states.

    It ignores a name that a space follows, and chunks would be taken for the
    body.
    """
    return any(_IGNORED_CODING.match(line) for line in lines)
