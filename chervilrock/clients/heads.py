"""Grammar of the heads of answers, and how much of a head was received.

libcurl accepts most lines that are neither a status line nor a field line, and
reports no error for a connection that ends within the head of an answer. All
readers of answers pass the lines that they get from libcurl through here.
"""

import enum
import re

ABORT = -1
"""Result of a callback that makes libcurl end the transfer."""

MAX_HEAD_BYTES = 64 * 1024
"""Most bytes of all heads and trailers of one answer."""

_FIRST_FINAL_STATUS = 200
_BLANK_LINES = (b"\r\n", b"\n")
_LINE_FEED = b"\n"
_MAX_SHOWN_BYTES = 80

# RFC 9112, section 4, with the statuses of RFC 9110, section 15. The blank
# before an empty reason is often left out.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
# RFC 9112, section 5, and RFC 9110, sections 5.5 and 5.6.2. libcurl unfolds
# the lines that continue a field.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)\r?\n"
)


class HeadState(enum.Enum):
    """How much of the final head of an answer was received.

    Attributes:
      NONE: no line of it.
      PARTIAL: some lines, without the blank one that ends it.
      WHOLE: all of it.
      MALFORMED: bytes that are no head or no trailers, or too many of them.
    """

    NONE = "none"
    PARTIAL = "partial"
    WHOLE = "whole"
    MALFORMED = "malformed"


_ERRORS = {
    HeadState.NONE: "no final answer",
    HeadState.PARTIAL: "the connection ended within the head",
    HeadState.WHOLE: "",
}


class HeadProgress:
    """Tells from the header lines of libcurl how much of a head there is.

    Attributes:
      state: how much of the final head was received.
      fault: why what was received is no head, empty while it may be one.
    """

    __slots__ = ("state", "fault", "_is_final", "_size")

    def __init__(self) -> None:
        """Create the progress of an answer of which nothing was received."""
        self.state = HeadState.NONE
        self.fault = ""
        self._is_final = False
        self._size = 0

    def record_line(self, line: bytes) -> HeadState:
        """Record the next line of an interim answer, the head or a trailer.

        Returns:
          The state after it.
        """
        self._size += len(line)
        if not self.fault:
            self.fault = self._find_fault(line)
        if self.fault:
            self.state = HeadState.MALFORMED
        if self.state in (HeadState.WHOLE, HeadState.MALFORMED):
            return self.state
        if self.state is HeadState.NONE:
            self._is_final = is_final_status(parse_status(line))
        if line not in _BLANK_LINES:
            self.state = HeadState.PARTIAL
        else:
            self.state = HeadState.WHOLE if self._is_final else HeadState.NONE
        return self.state

    def _find_fault(self, line: bytes) -> str:
        """Return why a line cannot be the next one, empty if it can."""
        if self._size > MAX_HEAD_BYTES:
            return (
                f"the head has more than {MAX_HEAD_BYTES} bytes, "
                f"{self._size} received"
            )
        if not line.endswith(_LINE_FEED):
            # The connection ended within it.
            return ""
        if self.state is HeadState.NONE:
            if parse_status(line) is None:
                return f"no status line: {_shorten(line)}"
        elif line not in _BLANK_LINES and not _FIELD_LINE.fullmatch(line):
            return f"no field line: {_shorten(line)}"
        return ""

    def describe_error(self) -> str:
        """Return why the final head is missing, empty if it is whole."""
        return self.fault or _ERRORS[self.state]


def is_final_status(status: int | None) -> bool:
    """Return whether a status is that of a final answer, not an interim one."""
    return status is not None and status >= _FIRST_FINAL_STATUS


def parse_status(line: bytes) -> int | None:
    """Return the status of a line, None if it is no status line.

    Args:
      line: the line with its end, such as `HTTP/1.1 200 OK` and a line feed.
    """
    match = _STATUS_LINE.fullmatch(line)
    return int(match[1]) if match else None


def parse_field(line: bytes) -> tuple[str, str] | None:
    """Return the name and value of a field, None if a line is no field line.

    Args:
      line: the line with its end, such as `Retry-After: 1` and a line feed.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        return None
    return match[1].decode("ascii"), match[2].strip(b" \t").decode("latin1")


def _shorten(line: bytes) -> str:
    """Return the beginning of a line for messages."""
    return repr(line.rstrip(b"\r\n")[:_MAX_SHOWN_BYTES])
