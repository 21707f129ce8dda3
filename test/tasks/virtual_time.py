"""An event loop whose clock advances only while no callback is ready."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

_T = TypeVar("_T")

START_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        self._now = START_S
        super().__init__(_AdvancingSelector(self))

    def time(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        self._now += seconds


class _AdvancingSelector(selectors.SelectSelector):
    """Advances the clock of its loop by the timeout instead of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("event loop waits without a timer")
        if timeout > 0:
            self._loop.advance(timeout)
        return super().select(0)


def run_virtually(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to completion in a virtual-time loop of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
