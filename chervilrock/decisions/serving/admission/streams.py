"""Splits a stream into complete events and tracks its position.

A server may stop in the middle of an event, so that only complete events are
forwarded. A broken stream is resumed after the last one on another server.

Load pattern: a server in trouble sends bytes that are no events, without end
and as fast as they are read. They are neither kept nor searched again.
"""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")

_END_BYTES = 4
"""Bytes of the longest end of an event."""

MAX_EVENT_BYTES = 1024 * 1024
"""Most bytes up to the end of the next event with an identifier; more are a
fault of the server."""


MAX_IDENTIFIER_CHARS = 256
"""Most characters of the identifier of an event; it is sent in a header when
the stream is resumed."""


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Attributes:
      last_event: identifier of the last complete event, empty before the first.
      events: number of complete events with an identifier.
      fault: why no further event is accepted, empty while there is no reason.
    """

    def __init__(self, *, last_event: str = "") -> None:
        """Create a splitter for a stream that continues after an event.

        Args:
          last_event: identifier of the last event that the caller has.
        """
        self.last_event = last_event
        self.events = 0
        self.fault = ""
        self._buffer = bytearray()
        self._searched = 0
        self._unnamed = 0

    @property
    def is_faulty(self) -> bool:
        """Whether an event was too long or out of order."""
        return bool(self.fault)

    @property
    def held(self) -> int:
        """Number of bytes of an incomplete event that are kept."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains bytes of an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        if self.is_faulty:
            return b""
        self._buffer += data
        whole = []
        position = 0
        for match in _EVENT_END.finditer(self._buffer, self._searched):
            event = bytes(self._buffer[position : match.end()])
            if not self._record_event(event):
                break
            position = match.end()
            whole.append(event)
        del self._buffer[:position]
        if not self._check_length(self.held):
            self._buffer.clear()
        # The end of an event may have begun in the last bytes.
        self._searched = max(0, self.held - _END_BYTES + 1)
        return b"".join(whole)

    def _record_event(self, event: bytes) -> bool:
        """Record a complete event; return False if it is not accepted."""
        if not self._check_length(len(event)):
            return False
        found = _EVENT_ID.search(event)
        if found is None:
            self._unnamed += len(event)
            return True
        name = found.group(1).decode("latin1").strip()
        if len(name) > MAX_IDENTIFIER_CHARS:
            self.fault = f"an identifier of an event has {len(name)} characters"
            return False
        if not _follows(name, self.last_event):
            self.fault = f"event {name} does not follow event {self.last_event}"
            return False
        self.last_event = name
        self.events += 1
        self._unnamed = 0
        return True

    def _check_length(self, size: int) -> bool:
        """Return whether an event of this size, or a part of it, is allowed."""
        received = self._unnamed + size
        if not self.fault and received > MAX_EVENT_BYTES:
            self.fault = (
                f"no event within {MAX_EVENT_BYTES} bytes, {received} received"
            )
        return not self.fault


def _follows(name: str, last: str) -> bool:
    """Return whether an event may follow another one."""
    if not (_is_number(name) and _is_number(last)):
        return True
    return int(name) > int(last)


def _is_number(name: str) -> bool:
    return name.isascii() and name.isdigit()
