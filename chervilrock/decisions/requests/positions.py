"""Sequence numbers of the events in one streamed answer.

An engine starts each event with `id: REQUEST/N`, followed by its data. Events
are forwarded to the caller in order: duplicates and events of other requests
are dropped, and early events are buffered until the missing ones arrive.
"""

import enum

EVENT_END = b"\n\n"
DONE_END = b"data: [DONE]\n\n"
MAX_EARLY_EVENTS = 64
"""Maximum number of events beyond the last forwarded one to buffer."""

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event; a longer event stops the stream."""

_ID_START = b"id: "
_ERROR_LINE = b"event: error\n"
_MATCHES_NO_EVENT = b"\0"
_MAX_DIGITS = 18


class StreamFault(enum.StrEnum):
    """Why a stream cannot supply the rest of the answer.

    Attributes:
      RESTARTED: the engine restarted the answer instead of continuing it.
      GAP: an event came too far ahead of the next expected one.
      TOO_LARGE: an event exceeds the size limit.
      ENGINE_ERROR: the engine ended the stream with an error event.
    """

    RESTARTED = "restarted"
    GAP = "gap"
    TOO_LARGE = "too_large"
    ENGINE_ERROR = "engine_error"


class StreamPositions:
    """Forwards each event of an answer once and in order.

    One instance reads the stream of one send. Most chunks hold exactly the
    next event, which is recognised by comparing its start.

    Attributes:
      position: number of the last event forwarded, from 1.
      done: whether the last event of the answer was forwarded.
      fault: why no more events can be forwarded, or None.
      duplicates: number of events dropped because they had arrived before.
      foreign: number of events dropped because they do not belong to this
        answer.
    """

    __slots__ = (
        "_after",
        "_early_events",
        "_expected_start",
        "_pending",
        "_request",
        "done",
        "duplicates",
        "fault",
        "foreign",
        "position",
    )

    def __init__(self, *, request_id: str, after: int = 0) -> None:
        """Creates a reader that starts at a position in the answer.

        Args:
          request_id: identifier of the request, as the engine echoes it.
          after: number of events that the caller already has.
        """
        self._request = request_id.encode()
        self._after = after
        self._pending = b""
        self._early_events: dict[int, bytes] = {}
        self.position = after
        self.done = False
        self.fault: StreamFault | None = None
        self.duplicates = 0
        self.foreign = 0
        self._expected_start = self._format_start(after + 1)

    def feed(self, chunk: bytes) -> bytes:
        """Reads the next bytes of the stream.

        Args:
          chunk: bytes from the engine, split at any position.

        Returns:
          The next whole events for the caller, often `chunk` itself.
        """
        if (
            chunk.startswith(self._expected_start)
            and not self._pending
            and not self._early_events
            and chunk.find(EVENT_END) == len(chunk) - len(EVENT_END)
        ):
            self._advance(chunk)
            return chunk
        return self._feed_buffered(chunk)

    def _feed_buffered(self, chunk: bytes) -> bytes:
        if self.done or self.fault:
            return b""
        events = (self._pending + chunk).split(EVENT_END)
        self._pending = events.pop()
        if len(self._pending) > MAX_EVENT_BYTES:
            self._stop(StreamFault.TOO_LARGE)
        forwarded: list[bytes] = []
        for event in events:
            self._handle_event(event + EVENT_END, forwarded)
        return b"".join(forwarded)

    def _handle_event(self, event: bytes, forwarded: list[bytes]) -> None:
        if self.done or self.fault:
            return
        if not event.startswith(self._expected_start):
            self._handle_unexpected_event(event)
            return
        self._advance(event)
        forwarded.append(event)
        while (
            early := self._early_events.pop(self.position + 1, None)
        ) is not None:
            self._advance(early)
            forwarded.append(early)

    def _handle_unexpected_event(self, event: bytes) -> None:
        """Handles an event that does not start as the next one does."""
        number = self._parse_number(event)
        if event.startswith(_ERROR_LINE):
            self._stop(StreamFault.ENGINE_ERROR)
        elif number is None:
            self.foreign += 1
        elif number == self.position + 1:
            self._handle_event_without_data(event)
        elif number > self.position:
            self._buffer_early_event(number, event)
        elif self.position == self._after:
            self._stop(StreamFault.RESTARTED)
        else:
            self.duplicates += 1

    def _handle_event_without_data(self, event: bytes) -> None:
        """Handles the next event if it does not start with its data."""
        if b"\n" + _ERROR_LINE in event:
            self._stop(StreamFault.ENGINE_ERROR)
        else:
            self.foreign += 1

    def _buffer_early_event(self, number: int, event: bytes) -> None:
        if number > self.position + MAX_EARLY_EVENTS:
            self._stop(StreamFault.GAP)
            return
        if number in self._early_events:
            self.duplicates += 1
        self._early_events[number] = event

    def _parse_number(self, event: bytes) -> int | None:
        """Returns the number of an event, None if it is not of this request."""
        if not event.startswith(_ID_START):
            return None
        line = event[len(_ID_START) : event.index(b"\n")]
        request, _, number = line.rpartition(b"/")
        if request != self._request or not number.isdigit():
            return None
        if len(number) > _MAX_DIGITS:
            return None
        return int(number) or None

    def _format_start(self, number: int) -> bytes:
        return b"id: %b/%d\ndata: " % (self._request, number)

    def _advance(self, event: bytes) -> None:
        self.position += 1
        if event.endswith(DONE_END):
            self.done = True
            self._expected_start = _MATCHES_NO_EVENT
        else:
            self._expected_start = self._format_start(self.position + 1)

    def _stop(self, fault: StreamFault) -> None:
        self.fault = fault
        self._expected_start = _MATCHES_NO_EVENT
        self._early_events.clear()
        self._pending = b""
