"""An event loop in which a part of the process can be frozen.

Each task and callback runs in the context in which it was created. All that
was created in the context of an owner can be suspended while its sockets stay
open and the clock advances, as in a process that received SIGSTOP.
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
    """A queue of ready handles that defers those of frozen owners."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.deferred: dict[str, dict[events.Handle, None]] = {}
        self._skipped = events.Handle(int, (), loop)
        self._skipped.cancel()

    def popleft(self) -> events.Handle:
        handle = super().popleft()
        deferred = self.deferred.get(find_owner(handle))
        if deferred is None:
            return handle
        deferred[handle] = None
        return self._skipped


class FreezableLoop(asyncio.SelectorEventLoop):
    """An event loop whose owners can be frozen."""

    _selector: selectors.BaseSelector

    def __init__(self) -> None:
        super().__init__()
        self._ready = _ReadyQueue(self)
        self._unregistered: dict[str, list[selectors.SelectorKey]] = {}

    def freeze(self, owner: str) -> None:
        """Suspend all callbacks of an owner."""
        self._ready.deferred.setdefault(owner, {})
        keys = [
            key
            for key in self._selector.get_map().values()
            if any(
                handle and find_owner(handle) == owner for handle in key.data
            )
        ]
        self._unregistered.setdefault(owner, []).extend(keys)
        for key in keys:
            self._selector.unregister(key.fileobj)

    def resume(self, owner: str) -> None:
        """Resume the callbacks of an owner."""
        for key in self._unregistered.pop(owner, ()):
            self._selector.register(key.fileobj, key.events, key.data)
        self._ready.extend(self._ready.deferred.pop(owner, {}))

    def resume_all(self) -> None:
        """Resume the callbacks of all owners."""
        for owner in list(self._ready.deferred):
            self.resume(owner)


class Owner:
    """Creates objects and tasks that belong to one owner."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._context = contextvars.copy_context()
        self._context.run(_OWNER.set, name)

    def call(self, function: Callable[..., _T], **arguments: Any) -> _T:
        return self._context.run(lambda: function(**arguments))

    async def run(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        loop = asyncio.get_running_loop()
        return await loop.create_task(coroutine, context=self._context)


def get_loop() -> FreezableLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, FreezableLoop)
    return loop
