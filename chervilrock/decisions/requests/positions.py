"""Places of the events in one streamed answer.

An engine starts each event with `id: REQUEST/N` and its data. Only the event
that is next for the caller is passed on: doubled events and those of other
requests are dropped, and events that came too early wait for those before
them.
"""

import enum

EVENT_END = b"\n\n"
DONE_END = b"data: [DONE]\n\n"
MAX_EARLY = 64
"""Most events that wait for an earlier one."""

MAX_EVENT_BYTES = 1024 * 1024
"""Greatest event; a longer one breaks the answer."""

_ID_START = b"id: "
_ERROR_LINE = b"event: error\n"
_IMPOSSIBLE = b"\0"
_MAX_DIGITS = 18


class StreamFault(enum.StrEnum):
    """Why what comes cannot become the rest of the answer.

    Attributes:
      RESTARTED: the engine began again instead of going on.
      GAP: too many events came before the one that is next.
      TOO_LARGE: an event is greater than the bound.
      ENGINE_ERROR: the engine ended the stream with an error event.
    """

    RESTARTED = "restarted"
    GAP = "gap"
    TOO_LARGE = "too_large"
    ENGINE_ERROR = "engine_error"


class StreamPositions:
    """Lets each event of an answer through once and in order.

    One instance reads the stream of one send. Most chunks hold exactly the
    event that is next, which costs one comparison of its start.

    Attributes:
      position: number of the last event let through, from 1.
      done: whether the last event of the answer was let through.
      fault: why no more events can be let through, or None.
      doubled: events dropped since they had come before.
      foreign: events dropped since they belong to no part of this answer.
    """

    __slots__ = (
        "_after",
        "_early",
        "_expected",
        "_pending",
        "_request",
        "done",
        "doubled",
        "fault",
        "foreign",
        "position",
    )

    def __init__(self, *, request_id: str, after: int = 0) -> None:
        """Starts at a place of the answer.

        Args:
          request_id: identity of the request, as the engine repeats it.
          after: number of events that the caller has already.
        """
        self._request = request_id.encode()
        self._after = after
        self._pending = b""
        self._early: dict[int, bytes] = {}
        self.position = after
        self.done = False
        self.fault: StreamFault | None = None
        self.doubled = 0
        self.foreign = 0
        self._expected = self._format_start(after + 1)

    def feed(self, chunk: bytes) -> bytes:
        """Takes bytes of the stream as they come.

        Args:
          chunk: bytes from the engine, cut anywhere.

        Returns:
          Whole events that are next for the caller, often `chunk` itself.
        """
        if (
            chunk.startswith(self._expected)
            and not self._pending
            and not self._early
            and chunk.find(EVENT_END) == len(chunk) - len(EVENT_END)
        ):
            self._advance(chunk)
            return chunk
        return self._feed_slowly(chunk)

    def _feed_slowly(self, chunk: bytes) -> bytes:
        if self.done or self.fault:
            return b""
        events = (self._pending + chunk).split(EVENT_END)
        self._pending = events.pop()
        if len(self._pending) > MAX_EVENT_BYTES:
            self._stop(StreamFault.TOO_LARGE)
        passed: list[bytes] = []
        for event in events:
            self._take_event(event + EVENT_END, passed)
        return b"".join(passed)

    def _take_event(self, event: bytes, passed: list[bytes]) -> None:
        if self.done or self.fault:
            return
        if not event.startswith(self._expected):
            self._take_other(event)
            return
        self._advance(event)
        passed.append(event)
        while (early := self._early.pop(self.position + 1, None)) is not None:
            self._advance(early)
            passed.append(early)

    def _take_other(self, event: bytes) -> None:
        """Takes an event that is not the next one."""
        number = self._parse_number(event)
        if event.startswith(_ERROR_LINE):
            self._stop(StreamFault.ENGINE_ERROR)
        elif number is None:
            self.foreign += 1
        elif number == self.position + 1:
            self._take_odd(event)
        elif number > self.position:
            self._keep_early(number, event)
        elif self.position == self._after:
            self._stop(StreamFault.RESTARTED)
        else:
            self.doubled += 1

    def _take_odd(self, event: bytes) -> None:
        """Takes the event that is next but does not begin with its data."""
        if b"\n" + _ERROR_LINE in event:
            self._stop(StreamFault.ENGINE_ERROR)
        else:
            self.foreign += 1

    def _keep_early(self, number: int, event: bytes) -> None:
        if number > self.position + MAX_EARLY:
            self._stop(StreamFault.GAP)
            return
        if number in self._early:
            self.doubled += 1
        self._early[number] = event

    def _parse_number(self, event: bytes) -> int | None:
        """Returns the number of an event of this request, else None."""
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
            self._expected = _IMPOSSIBLE
        else:
            self._expected = self._format_start(self.position + 1)

    def _stop(self, fault: StreamFault) -> None:
        self.fault = fault
        self._expected = _IMPOSSIBLE
        self._early.clear()
        self._pending = b""
