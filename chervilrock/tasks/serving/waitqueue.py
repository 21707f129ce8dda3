"""Queue of requests that wait at this node for a slot."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
import itertools
from typing import NamedTuple

from chervilrock.tasks.clock import read_clock

TryAcquire = Callable[[], bool]
"""Makes an attempt to acquire a slot; returns whether the wait is over."""


class CountedAs(NamedTuple):
    """What a waiting request is counted as.

    Attributes:
      pool: model or plain service whose slots it waits for.
      priority: priority by which it is admitted.
    """

    pool: str
    priority: int


class _Waiter:
    """A waiting request."""

    def __init__(
        self, *, order: tuple[float, ...], attempt: TryAcquire
    ) -> None:
        self.order = order
        self.attempt = attempt
        self.outcome: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )


class WaitQueue:
    """Queue of waiting requests, by rank and then in order of arrival."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._counts: dict[str, Counter[int]] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def count(self, pool: str) -> Mapping[int, int]:
        """Return how many counted requests of a pool wait, by priority."""
        return self._counts.get(pool, {})

    def count_all(self) -> dict[str, dict[int, int]]:
        """Return how many counted requests wait, by pool and priority."""
        return {pool: dict(counts) for pool, counts in self._counts.items()}

    async def wait(
        self,
        attempt: TryAcquire,
        *,
        rank: tuple[float, ...],
        until: float,
        counted_as: CountedAs | None = None,
    ) -> bool:
        """Wait for a slot; return whether an attempt ended the wait.

        Args:
          attempt: tries to acquire a slot, or finds that waiting is useless.
          rank: sort key of the request; the smallest goes first.
          until: time at which the wait ends at the latest.
          counted_as: what the request is counted as, None to leave it out.
        """
        order = (*rank, next(self._numbers))
        waiter = _Waiter(order=order, attempt=attempt)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda queued: queued.order)
        self._add(counted_as, 1)
        try:
            async with asyncio.timeout(max(0.0, until - read_clock())):
                return await waiter.outcome
        except TimeoutError:
            outcome = waiter.outcome
            return (
                outcome.done() and not outcome.cancelled() and outcome.result()
            )
        finally:
            self._waiters.remove(waiter)
            self._add(counted_as, -1)

    def _add(self, counted_as: CountedAs | None, change: int) -> None:
        """Change the count of the waiting requests of a kind."""
        if counted_as is None:
            return
        pool, priority = counted_as
        counts = self._counts.setdefault(pool, Counter())
        counts[priority] += change
        if not counts[priority]:
            del counts[priority]
        if not counts:
            del self._counts[pool]

    def notify(self) -> None:
        """Let waiting requests try to acquire a slot, in their order."""
        for waiter in list(self._waiters):
            if not waiter.outcome.done() and waiter.attempt():
                waiter.outcome.set_result(True)
