"""Queue of requests that wait at this node for a slot."""

import asyncio
from collections.abc import Callable
import itertools

from chervilrock.tasks.clock import read_clock

TryAcquire = Callable[[], bool]
"""Makes an attempt to acquire a slot; returns whether the wait is over."""


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

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait(
        self, attempt: TryAcquire, *, rank: tuple[float, ...], until: float
    ) -> bool:
        """Wait for a slot; return whether an attempt ended the wait.

        Args:
          attempt: tries to acquire a slot, or finds that waiting is useless.
          rank: sort key of the request; the smallest goes first.
          until: time at which the wait ends at the latest.
        """
        order = (*rank, next(self._numbers))
        waiter = _Waiter(order=order, attempt=attempt)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda queued: queued.order)
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

    def notify(self) -> None:
        """Let waiting requests try to acquire a slot, in their order."""
        for waiter in list(self._waiters):
            if not waiter.outcome.done() and waiter.attempt():
                waiter.outcome.set_result(True)

    def end_all(self) -> None:
        """End all waits without a slot."""
        for waiter in self._waiters:
            if not waiter.outcome.done():
                waiter.outcome.set_result(False)
