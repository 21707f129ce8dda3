"""Splits a stream into whole events and keeps its place.

A server may stop in the middle of an event, so only whole events are passed
on; a stream that broke goes on behind the last one at another server.
"""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")

MAX_EVENT_BYTES = 1024 * 1024
"""An event that is longer is a fault of the server."""


class EventSplitter:
    """Takes the bytes of a stream and gives whole events.

    Attributes:
      last_event: identifier of the last whole event, empty before it.
      events: number of whole events.
      is_faulty: whether an event was too long or out of order.
    """

    def __init__(self, *, last_event: str = "") -> None:
        """Begin behind an event.

        Args:
          last_event: identifier of the last event that the caller has.
        """
        self.last_event = last_event
        self.events = 0
        self.is_faulty = False
        self._buffer = b""

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an event that is not whole are there."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that they complete."""
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.is_faulty = True
            return b""
        whole = []
        position = 0
        for match in _END.finditer(self._buffer):
            event = self._buffer[position : match.end()]
            position = match.end()
            if not self._note(event):
                break
            whole.append(event)
        self._buffer = self._buffer[position:]
        return b"".join(whole)

    def _note(self, event: bytes) -> bool:
        """Note the place of an event; False when it is out of order."""
        found = _ID.search(event)
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
    """Tell whether an event may come after another one."""
    if not (name.isdigit() and last.isdigit()):
        return True
    return int(name) > int(last)
