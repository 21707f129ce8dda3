"""Tickets that let a caller safely retry a request that may run only once.

A ticket holds the incarnation of the node that minted it and a sequence
number. Only that incarnation runs a request with the ticket, and it keeps the
result. If the incarnation is gone or may have dropped the result, the request
may have run, so it is not run again.
"""

import collections
from typing import NamedTuple

from chervilrock.decisions.requests import runregistry
from chervilrock.decisions.requests.runregistry import (
    Claim,
    ClaimKind,
    RecordedAnswer,
)
from chervilrock.generated.interfaces import Outcome

TICKET_LIFETIME_S = 600.0
"""Time for which a ticket is valid after it was minted."""

MAX_ENTRIES = 20_000
"""Maximum number of tickets with an entry of their own."""

_PREFIX = "tk"
_SEPARATOR = "."
_MAX_DIGITS = 15
_MARK_INTERVAL_S = 1.0
_EVICTION_DIVISOR = 10
"""When the table is full, one in this many completed runs is evicted."""


class TicketId(NamedTuple):
    """Identifier of a ticket.

    Attributes:
      incarnation: incarnation of the node that minted the ticket.
      sequence: sequence number among the tickets of that incarnation, from 1.
    """

    incarnation: str
    sequence: int


def format_ticket(ticket: TicketId) -> str:
    """Returns the text of a ticket, as callers send it."""
    parts = (_PREFIX, ticket.incarnation, str(ticket.sequence))
    return _SEPARATOR.join(parts)


def parse_ticket(text: str) -> TicketId | None:
    """Parses a ticket; returns None if the text is a key of a caller."""
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
    """The last ticket minted within an interval."""

    minted_at: float
    sequence: int


class TicketTable:
    """The tickets of one incarnation of a node.

    Entries of tickets up to the low-water mark may have been dropped. Memory
    is bounded: the mark rises as tickets expire and when there are too many
    entries.
    """

    def __init__(
        self,
        *,
        lifetime_s: float = TICKET_LIFETIME_S,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = runregistry.MAX_ANSWER_BYTES,
        max_total_bytes: int = runregistry.MAX_TOTAL_BYTES,
    ) -> None:
        """Creates a table without tickets.

        Args:
          lifetime_s: time for which a ticket is valid, in seconds.
          max_entries: maximum number of tickets with an entry of their own.
          max_answer_bytes: size of the largest answer that is kept.
          max_total_bytes: maximum total size of the answers that are kept.
        """
        self._lifetime_s = lifetime_s
        self._max_entries = max_entries
        self._sequence = 0
        self._low_water = 0
        self._marks: collections.deque[_Mark] = collections.deque()
        self._memory: runregistry.RunRegistry[int] = runregistry.RunRegistry(
            max_answer_bytes=max_answer_bytes, max_total_bytes=max_total_bytes
        )

    def __len__(self) -> int:
        """Returns the number of tickets with an entry of their own."""
        return len(self._memory)

    @property
    def low_water(self) -> int:
        """Greatest sequence number whose entry may have been dropped."""
        return self._low_water

    @property
    def total_bytes(self) -> int:
        """Total size of the answers that are kept, in bytes."""
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
        """Decides how to handle a request with a ticket of this incarnation.

        Args:
          sequence: sequence number of the ticket.
          fingerprint: hash of the content of the request.
          now: current time in seconds.
        """
        self.expire(now)
        claim = self._memory.find(sequence, fingerprint)
        if claim is not None:
            return claim
        if len(self._memory) >= self._max_entries:
            self._evict_oldest()
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
        """Records the result of a run.

        Args:
          sequence: sequence number of the ticket.
          outcome: what is known about a run without a whole answer. After
            `not_run` the ticket can be used again.
          answer: the whole answer, None if there is none or it is too large
            to keep.
        """
        self._memory.finish(sequence, outcome=outcome, answer=answer)
        if sequence <= self._low_water:
            self._memory.forget(sequence)

    def expire(self, now: float) -> None:
        """Drops the entries of expired tickets."""
        while self._marks and now - self._marks[0].minted_at > self._lifetime_s:
            self._raise_low_water(self._marks.popleft().sequence)

    def _evict_oldest(self) -> None:
        """Evicts the oldest completed runs."""
        completed = sorted(self._memory.list_completed())
        if completed:
            self._raise_low_water(
                completed[len(completed) // _EVICTION_DIVISOR]
            )

    def _raise_low_water(self, sequence: int) -> None:
        if sequence <= self._low_water:
            return
        self._low_water = sequence
        for number in list(self._memory.list_completed()):
            if number <= sequence:
                self._memory.forget(number)
