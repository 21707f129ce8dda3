"""Requests that wait at this node for a place."""

import asyncio
from collections.abc import Callable
import itertools

from chervilrock.tasks.clock import read_clock

Try = Callable[[], bool]
"""Tries to take a place; tells whether it got one."""


class _Waiter:
    """A request that waits."""

    def __init__(self, *, order: tuple[float, ...], attempt: Try) -> None:
        self.order = order
        self.attempt = attempt
        self.place: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )


class WaitingRoom:
    """Lets requests wait, by rank and then in order of arrival."""

    def __init__(self) -> None:
        """Start with an empty room."""
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait(
        self, attempt: Try, *, rank: tuple[float, ...], until: float
    ) -> bool:
        """Wait for a place; tell whether one was taken in time.

        Args:
          attempt: tries to take a place.
          rank: what orders the requests; the smallest goes first.
          until: when the wait ends at the latest.
        """
        order = (*rank, next(self._numbers))
        waiter = _Waiter(order=order, attempt=attempt)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda one: one.order)
        try:
            async with asyncio.timeout(max(0.0, until - read_clock())):
                return await waiter.place
        except TimeoutError:
            place = waiter.place
            return place.done() and not place.cancelled() and place.result()
        finally:
            self._waiters.remove(waiter)

    def notify(self) -> None:
        """Let the waiting requests try again, since a place may be free."""
        for waiter in list(self._waiters):
            if not waiter.place.done() and waiter.attempt():
                waiter.place.set_result(True)

    def dismiss(self) -> None:
        """Let all waits end without a place."""
        for waiter in self._waiters:
            if not waiter.place.done():
                waiter.place.set_result(False)
