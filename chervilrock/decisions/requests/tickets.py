"""Tickets, with which a caller repeats a request that may run only once.

A ticket names the incarnation of the node that minted it and a sequence
number. Only that incarnation runs a request with it, and it remembers what
became of it. What it may have forgotten, or what minted it and is gone, may
have run, so that the request is not run again.
"""

import collections
import enum
from typing import NamedTuple

import xxhash

from chervilrock.generated.interfaces import Outcome

TICKET_LIFE_S = 600.0
"""Time for which a ticket can be used after it was minted."""

MAX_ENTRIES = 20_000
"""Most tickets that are remembered one by one."""

MAX_ANSWER_BYTES = 512 * 1024
"""Greatest answer that is kept for repeats."""

MAX_TOTAL_BYTES = 8 * 1024 * 1024
"""Most bytes of answers that are kept for repeats."""

_PREFIX = "tk"
_SEPARATOR = "."
_MAX_DIGITS = 15
_MARK_INTERVAL_S = 1.0
_FORGET_SHARE = 10
"""One of so many runs that ended is forgotten at once for lack of room."""


class TicketId(NamedTuple):
    """Identity of a ticket.

    Attributes:
      incarnation: name of the run of the node that minted it.
      sequence: number among its tickets, from 1.
    """

    incarnation: str
    sequence: int


def format_ticket(ticket: TicketId) -> str:
    """Returns a ticket as callers carry it."""
    parts = (_PREFIX, ticket.incarnation, str(ticket.sequence))
    return _SEPARATOR.join(parts)


def parse_ticket(text: str) -> TicketId | None:
    """Reads a ticket, or returns None when the text is a key of a caller."""
    prefix, _, rest = text.partition(_SEPARATOR)
    incarnation, _, number = rest.rpartition(_SEPARATOR)
    if prefix != _PREFIX or not incarnation:
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    if len(number) > _MAX_DIGITS or number.startswith("0"):
        return None
    return TicketId(incarnation, int(number))


def make_fingerprint(
    workspace: str, method: str, target: str, body: bytes
) -> int:
    """Returns a number that tells two requests of callers apart."""
    head = f"{workspace}\0{method}\0{target}\0{len(body)}\0"
    return xxhash.xxh3_128_intdigest(head.encode() + body)


class RecordedAnswer(NamedTuple):
    """A whole answer that is kept for repeats.

    Attributes:
      status: HTTP status.
      headers: names and values of the headers.
      body: body.
      events: whether the body is a stream of events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    events: bool


class ClaimKind(enum.StrEnum):
    """What to do with a request that carries a ticket.

    Attributes:
      RUN: run it; it has never run with this ticket.
      JOIN: wait for the run that is in progress.
      REPLAY: answer as that run ended.
      FORGOTTEN: it may have run.
      MISMATCH: the ticket was used for another request; this one has not run.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    FORGOTTEN = "forgotten"
    MISMATCH = "mismatch"


class Claim(NamedTuple):
    """What to do with a request that carries a ticket.

    Attributes:
      kind: what to do.
      answer: the whole answer of an earlier run, None when it got none or it
        is kept no longer.
      outcome: what is known of an earlier run without a kept answer.
    """

    kind: ClaimKind
    answer: RecordedAnswer | None = None
    outcome: Outcome = Outcome.UNKNOWN


class _Entry:
    """What is remembered of a ticket that was used."""

    __slots__ = ("answer", "fingerprint", "outcome", "running")

    def __init__(self, *, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.running = True
        self.answer: RecordedAnswer | None = None
        self.outcome = Outcome.UNKNOWN


class _Mark(NamedTuple):
    """The last ticket that was minted in an interval."""

    minted_at: float
    sequence: int


class TicketTable:
    """The tickets of one incarnation of a node.

    Tickets up to the low-water mark may have been forgotten. Memory is
    bounded: when there are too many entries the mark rises, and when the
    answers grow too large the oldest ones are dropped.
    """

    def __init__(
        self,
        *,
        life_s: float = TICKET_LIFE_S,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        """Starts without tickets.

        Args:
          life_s: time for which a ticket can be used, in seconds.
          max_entries: most tickets that are remembered one by one.
          max_answer_bytes: greatest answer that is kept.
          max_total_bytes: most bytes of answers that are kept.
        """
        self._life_s = life_s
        self._max_entries = max_entries
        self._max_answer_bytes = max_answer_bytes
        self._max_total_bytes = max_total_bytes
        self._sequence = 0
        self._low_water = 0
        self._marks: collections.deque[_Mark] = collections.deque()
        self._entries: dict[int, _Entry] = {}
        self._kept: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._total_bytes = 0

    def __len__(self) -> int:
        """Returns the number of tickets that are remembered one by one."""
        return len(self._entries)

    @property
    def low_water(self) -> int:
        """Greatest ticket that may have been forgotten."""
        return self._low_water

    @property
    def total_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._total_bytes

    def mint(self, now: float) -> int:
        """Returns the sequence number of a new ticket."""
        self.expire(now)
        self._sequence += 1
        marks = self._marks
        if marks and now - marks[-1].minted_at < _MARK_INTERVAL_S:
            marks[-1] = _Mark(marks[-1].minted_at, self._sequence)
        else:
            marks.append(_Mark(now, self._sequence))
        return self._sequence

    def claim(self, sequence: int, fingerprint: int, now: float) -> Claim:
        """Decides on a request that carries a ticket of this incarnation.

        Args:
          sequence: number of the ticket.
          fingerprint: tells the request apart from others.
          now: present time.
        """
        self.expire(now)
        entry = self._entries.get(sequence)
        if entry is None:
            return self._claim_unused(sequence, fingerprint)
        if entry.fingerprint != fingerprint:
            return Claim(ClaimKind.MISMATCH)
        if entry.running:
            return Claim(ClaimKind.JOIN)
        return Claim(ClaimKind.REPLAY, entry.answer, entry.outcome)

    def finish(
        self,
        sequence: int,
        *,
        outcome: Outcome,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Takes note of the end of a run.

        Args:
          sequence: number of the ticket.
          outcome: what is known of a run without a whole answer. After
            `not_run` the ticket can be used again.
          answer: the whole answer, None when there is none or it is too
            large to keep.
        """
        entry = self._entries.get(sequence)
        if entry is None:
            return
        entry.running = False
        unused = answer is None and outcome is Outcome.NOT_RUN
        if unused or sequence <= self._low_water:
            del self._entries[sequence]
        else:
            entry.outcome = outcome
            if answer is not None:
                entry.outcome = Outcome.UNKNOWN
                self._keep(sequence, entry, answer)

    def expire(self, now: float) -> None:
        """Forgets the tickets that are too old."""
        while self._marks and now - self._marks[0].minted_at > self._life_s:
            self._raise_low_water(self._marks.popleft().sequence)

    def _claim_unused(self, sequence: int, fingerprint: int) -> Claim:
        if not self._low_water < sequence <= self._sequence:
            return Claim(ClaimKind.FORGOTTEN)
        if len(self._entries) >= self._max_entries and not self._make_room():
            return Claim(ClaimKind.FORGOTTEN)
        if sequence <= self._low_water:
            return Claim(ClaimKind.FORGOTTEN)
        self._entries[sequence] = _Entry(fingerprint=fingerprint)
        return Claim(ClaimKind.RUN)

    def _make_room(self) -> bool:
        """Forgets the oldest runs that have ended; False when none has."""
        ended = [n for n, entry in self._entries.items() if not entry.running]
        if not ended:
            return False
        self._raise_low_water(sorted(ended)[len(ended) // _FORGET_SHARE])
        return True

    def _raise_low_water(self, sequence: int) -> None:
        if sequence <= self._low_water:
            return
        self._low_water = sequence
        forgotten = [
            number
            for number, entry in self._entries.items()
            if number <= sequence and not entry.running
        ]
        for number in forgotten:
            self._drop_answer(number)
            del self._entries[number]

    def _keep(
        self, sequence: int, entry: _Entry, answer: RecordedAnswer
    ) -> None:
        """Keeps an answer, and drops older ones when there are too many."""
        size = len(answer.body)
        if size > self._max_answer_bytes:
            return
        entry.answer = answer
        self._kept[sequence] = size
        self._total_bytes += size
        while self._total_bytes > self._max_total_bytes:
            self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, sequence: int) -> None:
        size = self._kept.pop(sequence, None)
        if size is not None:
            self._total_bytes -= size
            self._entries[sequence].answer = None
