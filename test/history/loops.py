"""An event loop in which a part of the process can be frozen.

Each task and callback runs in the context in which it was made. What was made
in the context of an owner can be held back, with all of its sockets open and
the clock going on, as a process is that got SIGSTOP.
"""

import asyncio
from asyncio import events
import collections
from collections.abc import Callable, Coroutine
import contextvars
import selectors
from typing import Any, TypeVar

_T = TypeVar("_T")

_OWNER: contextvars.ContextVar[str] = contextvars.ContextVar(
    "owner", default=""
)


def find_owner(handle: events.Handle) -> str:
    """Return the owner of a callback, empty for none."""
    context: contextvars.Context = handle._context  # type: ignore
    return context.get(_OWNER, "")


class _ReadyQueue(collections.deque[events.Handle]):
    """Handles that are ready; those of frozen owners are put aside."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.held: dict[str, dict[events.Handle, None]] = {}
        self._skipped = events.Handle(int, (), loop)
        self._skipped.cancel()

    def popleft(self) -> events.Handle:
        handle = super().popleft()
        held = self.held.get(find_owner(handle))
        if held is None:
            return handle
        held[handle] = None
        return self._skipped


class FreezableLoop(asyncio.SelectorEventLoop):
    """An event loop whose owners can be frozen."""

    _selector: selectors.BaseSelector

    def __init__(self) -> None:
        super().__init__()
        self._ready = _ReadyQueue(self)
        self._unwatched: dict[str, list[selectors.SelectorKey]] = {}

    def freeze(self, owner: str) -> None:
        """Run nothing of an owner from now on."""
        self._ready.held.setdefault(owner, {})
        keys = [
            key
            for key in self._selector.get_map().values()
            if any(one and find_owner(one) == owner for one in key.data)
        ]
        self._unwatched.setdefault(owner, []).extend(keys)
        for key in keys:
            self._selector.unregister(key.fileobj)

    def resume(self, owner: str) -> None:
        """Let an owner go on."""
        for key in self._unwatched.pop(owner, ()):
            self._selector.register(key.fileobj, key.events, key.data)
        self._ready.extend(self._ready.held.pop(owner, {}))

    def resume_all(self) -> None:
        """Let all owners go on."""
        for owner in list(self._ready.held):
            self.resume(owner)


class Owner:
    """Makes objects and tasks that belong to one owner."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._context = contextvars.copy_context()
        self._context.run(_OWNER.set, name)

    def call(self, function: Callable[..., _T], **arguments: Any) -> _T:
        return self._context.run(lambda: function(**arguments))

    async def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        loop = asyncio.get_running_loop()
        return await loop.create_task(work, context=self._context)


def get_loop() -> FreezableLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, FreezableLoop)
    return loop
