"""One budget for the bytes that a process holds for its callers.

Load pattern: many callers stop reading at once, or send large bodies at once. A
limit for each connection does not bound their sum, and a process that exceeds
its memory is killed with all of its requests. So bodies and answers share one
budget:

* While little of it is left, no more is read from the servers of the slowest
  readers. Each reader may leave as many bytes unread as are left of the part
  of the budget up to `PAUSE_FRACTION`. Many slow readers thus get equal and
  small allowances, and one that reads everything is never paused.
* Above `END_FRACTION` the largest answers end, down to `ENDED_FRACTION`. The
  margin makes the search for them rare.
* They end only after all that has arrived was handled. Until then bytes beyond
  `ANSWER_FRACTION` are left to the servers, whose answers are paused.
* A body that does not fit is rejected. Bodies get `BODY_FRACTION` at most; as
  this is less than what remains of `END_FRACTION`, bodies alone end no answer.
"""

from collections.abc import Hashable
import math
from typing import Generic, NamedTuple, TypeVar

MEMORY_FRACTION = 0.25
"""Fraction of the memory of a process that it may hold for callers. An idle
node takes 46 MB, and the state of a large installation about as much again;
bodies and answers are copied while they are received or sent."""

PAUSE_FRACTION = 0.7
END_FRACTION = 0.9
ENDED_FRACTION = 0.8
BODY_FRACTION = 0.5

ANSWER_FRACTION = 0.95
"""Fraction up to which bytes of answers are received. The rest is for heads,
the sizes of chunks and errors, which are written without a check."""

RESUME_FRACTION = 0.5
"""Fraction of its allowance at which a paused reader is resumed, so that it is
not paused again at once."""

BODY_RETRY_AFTER_S = 1.0
"""Base of the time after which a caller may send a rejected body again. Most
requests end within some seconds and release their bodies."""

_BYTES_PER_MB = 1_000_000

Caller = TypeVar("Caller", bound=Hashable)


class BufferUse(NamedTuple):
    """What is held for callers.

    Attributes:
      budget: bytes that may be held, inf for any number.
      bodies: bytes of request bodies.
      unread: bytes of answers that callers have not read.
      collected: bytes of answers that are buffered until they are complete.
      paused: number of answers that are paused.
    """

    budget: float
    bodies: int
    unread: int
    collected: int
    paused: int


def find_budget(memory_mb: float) -> float:
    """Return the budget in bytes, inf if the memory is 0 (not bounded)."""
    if memory_mb <= 0:
        return math.inf
    return MEMORY_FRACTION * memory_mb * _BYTES_PER_MB


def find_body_retry_after(draw: float) -> float:
    """Return after how many seconds a rejected body may be sent again.

    Args:
      draw: random number from 0 to 1, which spreads the callers.
    """
    return BODY_RETRY_AFTER_S * (0.5 + draw)


class CallerBuffers(Generic[Caller]):
    """Bytes that are held for each caller, and which callers are paused.

    All methods take constant time, except those that list or choose callers.
    """

    def __init__(self, *, budget: float) -> None:
        """Create a registry without bytes.

        Args:
          budget: bytes that may be held, inf for any number.
        """
        self._budget = budget
        self._bodies = 0
        self._answers = 0
        self._unread: dict[Caller, int] = {}
        self._collected: dict[Caller, int] = {}
        self._paused: set[Caller] = set()

    def add_body(self, size: int) -> bool:
        """Count further bytes of a body; return False if they do not fit."""
        if not self.fits(size):
            return False
        self._bodies += size
        return True

    def fits(self, size: int) -> bool:
        """Return whether further bytes of bodies fit now."""
        return (
            self._bodies + size <= BODY_FRACTION * self._budget
            and self._total + size <= self._budget
        )

    def release_body(self, size: int) -> None:
        """Release bytes of a body that were counted."""
        self._bodies -= size

    def has_room(self, size: int) -> bool:
        """Return whether further bytes of an answer may be received now."""
        return self._total + size <= ANSWER_FRACTION * self._budget

    def record_unread(self, caller: Caller, size: int) -> bool:
        """Record how many bytes a caller leaves unread.

        Returns:
          Whether no more may be read from its server for now.
        """
        self._answers += size - self._unread.get(caller, 0)
        if size:
            self._unread[caller] = size
        else:
            self._unread.pop(caller, None)
        return size > self._find_allowance()

    def record_collected(self, caller: Caller, size: int) -> None:
        """Record how many bytes of an answer are buffered until it is whole.

        Its bytes are released only when it is complete, so that it is paused
        only while there is no room at all.
        """
        self._answers += size - self._collected.get(caller, 0)
        if size:
            self._collected[caller] = size
        else:
            self._collected.pop(caller, None)

    def record_pause(self, caller: Caller) -> None:
        """Record that reading from the server of a caller is paused."""
        self._paused.add(caller)

    def record_resume(self, caller: Caller) -> None:
        """Record that reading from the server of a caller continues."""
        self._paused.discard(caller)

    def forget(self, caller: Caller) -> None:
        """Release the answer of a caller."""
        self.record_unread(caller, 0)
        self.record_collected(caller, 0)
        self._paused.discard(caller)

    @property
    def is_exceeded(self) -> bool:
        """Whether the largest answers have to end."""
        return self._total > END_FRACTION * self._budget

    def list_unread(self) -> list[Caller]:
        """Return the callers that left bytes unread when last recorded."""
        return list(self._unread)

    def choose_resumed(self) -> list[Caller]:
        """Return the paused callers that may be resumed, fastest first."""
        limit = RESUME_FRACTION * self._find_allowance()
        resumed = [
            caller
            for caller in self._paused
            if self._unread.get(caller, 0) <= limit
        ]
        return sorted(resumed, key=lambda caller: self._unread.get(caller, 0))

    def choose_ended(self, size: int = 0) -> list[Caller]:
        """Return the callers whose answers have to end, largest first.

        Args:
          size: further bytes that are to be received.
        """
        wanted = self._total + size
        if wanted <= END_FRACTION * self._budget:
            return []
        excess = wanted - ENDED_FRACTION * self._budget
        ended = []
        for caller in sorted(
            {*self._unread, *self._collected}, key=self.find_held, reverse=True
        ):
            if excess <= 0:
                break
            ended.append(caller)
            excess -= self.find_held(caller)
        return ended

    def find_held(self, caller: Caller) -> int:
        """Return the bytes of the answer that are held for a caller."""
        return self._unread.get(caller, 0) + self._collected.get(caller, 0)

    def describe(self) -> BufferUse:
        """Return what is held for all callers."""
        collected = sum(self._collected.values())
        return BufferUse(
            budget=self._budget,
            bodies=self._bodies,
            unread=self._answers - collected,
            collected=collected,
            paused=len(self._paused),
        )

    @property
    def _total(self) -> int:
        return self._bodies + self._answers

    def _find_allowance(self) -> float:
        """Return the bytes that each caller may leave unread."""
        return max(0.0, PAUSE_FRACTION * self._budget - self._total)
