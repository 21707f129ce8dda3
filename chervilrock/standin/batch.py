"""Continuous batching of the engine stand-in."""

import asyncio
import enum
import heapq

from chervilrock.clients.base import AttemptPhase
from chervilrock.standin.answers import Answer


class Ending(enum.StrEnum):
    """How an attempt ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    NOT_RUN = "not_run"


class Attempt:
    """One execution of a request in an engine.

    Attributes:
      answer: the complete answer, whose events are released one by one.
      emitted: number of events released so far.
      ready_at: time in seconds at which the prefill ends.
      ending: how the attempt ended, None while it waits or runs.
    """

    def __init__(
        self, *, answer: Answer, priority: int, emitted: int = 0
    ) -> None:
        """Creates a waiting attempt.

        Args:
          answer: the complete answer.
          priority: 0 (highest) to 9 (lowest).
          emitted: number of events that another engine has released.
        """
        self.answer = answer
        self.priority = priority
        self.emitted = emitted
        self.ready_at = 0.0
        self.phase = AttemptPhase.WAITING
        self.ending: Ending | None = None
        self._changed = asyncio.Event()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def wait_beyond(self, position: int) -> None:
        """Waits until more than `position` events are out or it ends."""
        while self.emitted <= position and self.ending is None:
            await self._changed.wait()

    async def wait_end(self) -> Ending:
        """Waits until the attempt ends and returns how it ended."""
        while self.ending is None:
            await self._changed.wait()
        return self.ending

    def start(self, ready_at: float) -> None:
        """Marks the attempt as running, with its prefill end in seconds."""
        self.phase = AttemptPhase.RUNNING
        self.ready_at = ready_at

    def advance(self) -> None:
        """Releases the next event; the last one ends the attempt."""
        if self.emitted < self.answer.event_count:
            self.emitted += 1
        if self.emitted >= self.answer.event_count:
            self.end(Ending.WHOLE)
        else:
            self._wake()

    def end(self, ending: Ending) -> None:
        """Ends the attempt; does nothing if it has already ended."""
        if self.ending is None:
            self.phase = AttemptPhase.DONE
            self.ending = ending
            self._wake()


class Batch:
    """Attempts that run together, and a priority queue of waiting ones."""

    def __init__(self, *, max_running: int, max_waiting: int) -> None:
        """Creates an empty batch.

        Args:
          max_running: maximum number of attempts that run together.
          max_waiting: maximum number of attempts in the queue.
        """
        self._max_running = max_running
        self._max_waiting = max_waiting
        self._arrivals = 0
        self._waiting: list[tuple[int, int, Attempt]] = []
        self.running: list[Attempt] = []

    @property
    def waiting_count(self) -> int:
        """Number of attempts in the queue."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether no attempt waits or runs."""
        return not self._waiting and not self.running

    def offer(self, attempt: Attempt) -> bool:
        """Queues an attempt; returns False when the queue is full."""
        free = self._max_running - len(self.running)
        if len(self._waiting) >= self._max_waiting + free:
            return False
        self._arrivals += 1
        item = (attempt.priority, self._arrivals, attempt)
        heapq.heappush(self._waiting, item)
        return True

    def take_next(self) -> Attempt | None:
        """Moves the first queued attempt into the batch if a slot is free."""
        if not self._waiting or len(self.running) >= self._max_running:
            return None
        attempt = heapq.heappop(self._waiting)[2]
        self.running.append(attempt)
        return attempt

    def find_ready_time(self) -> float:
        """Returns the earliest prefill end in seconds, 0 if none runs."""
        return min((attempt.ready_at for attempt in self.running), default=0.0)

    def step(self, now: float) -> int:
        """Releases one event of each attempt whose prefill has ended.

        Returns:
          The number of attempts that released an event.
        """
        ready = [item for item in self.running if item.ready_at <= now]
        for attempt in ready:
            attempt.advance()
        self._remove_ended()
        return len(ready)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels a waiting or running attempt."""
        if attempt.phase is AttemptPhase.WAITING:
            attempt.end(Ending.NOT_RUN)
        else:
            attempt.end(Ending.BROKEN)
        self._remove_ended()

    def break_all(self) -> None:
        """Ends running attempts as broken and waiting ones as not run."""
        for attempt in self.running:
            attempt.end(Ending.BROKEN)
        for _, _, attempt in self._waiting:
            attempt.end(Ending.NOT_RUN)
        self._remove_ended()

    def _remove_ended(self) -> None:
        self.running = [item for item in self.running if not item.ending]
        waiting = [item for item in self._waiting if not item[2].ending]
        if len(waiting) < len(self._waiting):
            heapq.heapify(waiting)
            self._waiting = waiting
