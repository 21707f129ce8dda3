"""Splits a stream into complete events and tracks its position.

A server may stop in the middle of an event, so that only complete events are
forwarded. A broken stream is resumed after the last one on another server.
"""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")

MAX_EVENT_BYTES = 1024 * 1024
"""Longest event; a longer one is a fault of the server."""


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Attributes:
      last_event: identifier of the last complete event, empty before the first.
      events: number of complete events with an identifier.
      is_faulty: whether an event was too long or out of order.
    """

    def __init__(self, *, last_event: str = "") -> None:
        """Create a splitter for a stream that continues after an event.

        Args:
          last_event: identifier of the last event that the caller has.
        """
        self.last_event = last_event
        self.events = 0
        self.is_faulty = False
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains bytes of an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.is_faulty = True
            return b""
        whole = []
        position = 0
        for match in _EVENT_END.finditer(self._buffer):
            event = self._buffer[position : match.end()]
            position = match.end()
            if not self._record_event(event):
                break
            whole.append(event)
        self._buffer = self._buffer[position:]
        return b"".join(whole)

    def _record_event(self, event: bytes) -> bool:
        """Record the identifier of an event; return False if out of order."""
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        name = found.group(1).decode("latin1").strip()
        if not _follows(name, self.last_event):
            self.is_faulty = True
            return False
        self.last_event = name
        self.events += 1
        return True


def _follows(name: str, last: str) -> bool:
    """Return whether an event may follow another one."""
    if not (name.isdigit() and last.isdigit()):
        return True
    return int(name) > int(last)
