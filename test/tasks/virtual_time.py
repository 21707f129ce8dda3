"""An event loop whose time passes only while nothing is left to do."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

_T = TypeVar("_T")

START_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._now = START_S
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        return self._now

    def jump(self, seconds: float) -> None:
        self._now += seconds


class _JumpingSelector(selectors.SelectSelector):
    """Moves the time of its loop on by what it would have waited."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("nothing will ever happen")
        if timeout > 0:
            self._loop.jump(timeout)
        return super().select(0)


def run_virtually(work: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to its end in a loop of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
