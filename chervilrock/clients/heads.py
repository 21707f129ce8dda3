"""Status lines of answers, and whether the head of an answer is complete.

libcurl reports no error for a connection that ends within the head of an
answer. The blank line that ends the head tells whether it was received whole.
"""

import enum

_MIN_STATUS_PARTS = 2
_STATUS_DIGITS = 3
_FIRST_FINAL_STATUS = 200
_STATUS_LINE_START = b"HTTP/"
_BLANK_LINES = (b"\r\n", b"\n")


class HeadState(enum.Enum):
    """How much of the final head of an answer was received.

    Attributes:
      NONE: no line of it.
      PARTIAL: some lines, without the blank one that ends it.
      WHOLE: all of it.
    """

    NONE = "none"
    PARTIAL = "partial"
    WHOLE = "whole"


_ERRORS = {
    HeadState.NONE: "no final answer",
    HeadState.PARTIAL: "the connection ended within the head",
    HeadState.WHOLE: "",
}


class HeadProgress:
    """Tells from the header lines of libcurl how much of a head there is.

    Attributes:
      state: how much of the final head was received.
    """

    __slots__ = ("state", "_is_final")

    def __init__(self) -> None:
        """Create the progress of an answer of which nothing was received."""
        self.state = HeadState.NONE
        self._is_final = False

    def record_line(self, line: bytes) -> HeadState:
        """Record the next line of an interim answer, the head or a trailer.

        Returns:
          The state after it.
        """
        if self.state is HeadState.WHOLE:
            return self.state
        if line.startswith(_STATUS_LINE_START):
            self._is_final = is_final_status(parse_status(line))
        # libcurl also delivers a carriage return without its line feed.
        if line not in _BLANK_LINES:
            self.state = HeadState.PARTIAL
        else:
            self.state = HeadState.WHOLE if self._is_final else HeadState.NONE
        return self.state

    def describe_error(self) -> str:
        """Return why the final head is missing, empty if it is whole."""
        return _ERRORS[self.state]


def is_final_status(status: int | None) -> bool:
    """Return whether a status is that of a final answer, not an interim one."""
    return status is not None and status >= _FIRST_FINAL_STATUS


def parse_status(line: bytes) -> int | None:
    """Parses the status code of a line such as `HTTP/1.1 200 OK`."""
    parts = line.split(maxsplit=2)
    if len(parts) < _MIN_STATUS_PARTS or not parts[1].isdigit():
        return None
    return int(parts[1]) if len(parts[1]) == _STATUS_DIGITS else None
