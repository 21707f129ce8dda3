"""Tickets, with which a caller repeats a request that may run only once.

A ticket names the incarnation of the node that minted it and a sequence
number. Only that incarnation runs a request with it, and it remembers what
became of it. What it may have forgotten, or what minted it and is gone, may
have run, so that the request is not run again.
"""

import collections
from typing import NamedTuple

from chervilrock.decisions.requests import memory
from chervilrock.decisions.requests.memory import (
    Claim,
    ClaimKind,
    RecordedAnswer,
)
from chervilrock.generated.interfaces import Outcome

TICKET_LIFE_S = 600.0
"""Time for which a ticket can be used after it was minted."""

MAX_ENTRIES = 20_000
"""Most tickets that are remembered one by one."""

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


class _Mark(NamedTuple):
    """The last ticket that was minted in an interval."""

    minted_at: float
    sequence: int


class TicketTable:
    """The tickets of one incarnation of a node.

    Tickets up to the low-water mark may have been forgotten. Memory is
    bounded: the mark rises with time, and when there are too many entries.
    """

    def __init__(
        self,
        *,
        life_s: float = TICKET_LIFE_S,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = memory.MAX_ANSWER_BYTES,
        max_total_bytes: int = memory.MAX_TOTAL_BYTES,
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
        self._sequence = 0
        self._low_water = 0
        self._marks: collections.deque[_Mark] = collections.deque()
        self._memory: memory.RunMemory[int] = memory.RunMemory(
            max_answer_bytes=max_answer_bytes, max_total_bytes=max_total_bytes
        )

    def __len__(self) -> int:
        """Returns the number of tickets that are remembered one by one."""
        return len(self._memory)

    @property
    def low_water(self) -> int:
        """Greatest ticket that may have been forgotten."""
        return self._low_water

    @property
    def total_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._memory.total_bytes

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
        known = self._memory.find(sequence, fingerprint)
        if known is not None:
            return known
        if len(self._memory) >= self._max_entries:
            self._make_room()
        is_unused = self._low_water < sequence <= self._sequence
        if not is_unused or len(self._memory) >= self._max_entries:
            return Claim(ClaimKind.FORGOTTEN)
        self._memory.start(sequence, fingerprint)
        return Claim(ClaimKind.RUN)

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
        self._memory.finish(sequence, outcome=outcome, answer=answer)
        if sequence <= self._low_water:
            self._memory.forget(sequence)

    def expire(self, now: float) -> None:
        """Forgets the tickets that are too old."""
        while self._marks and now - self._marks[0].minted_at > self._life_s:
            self._raise_low_water(self._marks.popleft().sequence)

    def _make_room(self) -> None:
        """Forgets the oldest runs that have ended."""
        ended = sorted(self._memory.list_ended())
        if ended:
            self._raise_low_water(ended[len(ended) // _FORGET_SHARE])

    def _raise_low_water(self, sequence: int) -> None:
        if sequence <= self._low_water:
            return
        self._low_water = sequence
        for number in list(self._memory.list_ended()):
            if number <= sequence:
                self._memory.forget(number)
