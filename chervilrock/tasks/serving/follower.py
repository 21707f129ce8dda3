"""Follows a keyed topic of the store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result

from chervilrock.clients.errors import PlatformError
from chervilrock.clients.serving import KeyedPage, KeyedStore, Topic
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.serving.messages import Message, ReadFailed, RecordsRead

FIRST_RETRY_S = 0.1
"""Pause after the first failed call; each further one takes twice as long."""


class Pace(NamedTuple):
    """How often a topic is read.

    Attributes:
      wait_s: time for which the store holds a read without news.
      pause_s: time between two reads.
      retry_s: longest time between two attempts while the store is away.
    """

    wait_s: float
    pause_s: float
    retry_s: float = 0.5


class TopicFollower:
    """Reads a topic from its newest records on, and tells each change."""

    def __init__(
        self,
        *,
        store: KeyedStore,
        topic: Topic,
        choose_pace: Callable[[], Pace],
        outbox: Outbox[Message],
    ) -> None:
        """Follow a topic of a store.

        Args:
          store: the store.
          topic: what to follow.
          choose_pace: returns how often to read, before each read.
          outbox: gets `RecordsRead` and `ReadFailed`.
        """
        self._store = store
        self._topic = topic
        self._outbox = outbox
        self._retry_s = FIRST_RETRY_S
        self._choose_pace = choose_pace

    async def run(self) -> None:
        """Read until cancelled."""
        position: int | None = None
        while True:
            if position is None:
                position = await self._start()
            else:
                position = await self._go_on(position)

    async def _start(self) -> int | None:
        """Read the newest records; None when they could not be read."""
        result = await self._store.fetch_newest(self._topic)
        page = await self._take(result)
        if page is None:
            return None
        await self._outbox.send(RecordsRead(self._topic, page, True))
        return page.next_offset

    async def _go_on(self, position: int) -> int | None:
        """Read what came; return where to read on, None to start again."""
        wait_s = self._choose_pace().wait_s
        result = await self._store.read(self._topic, position, wait_s)
        if isinstance(result, Failure):
            await self._take(result)
            return position
        page = result.unwrap()
        if page is None:
            return None
        self._retry_s = FIRST_RETRY_S
        await self._outbox.send(RecordsRead(self._topic, page, False))
        # What came may have changed how soon to read again.
        await asyncio.sleep(self._choose_pace().pause_s)
        return page.next_offset

    async def _take(
        self, result: Result[KeyedPage, PlatformError] | Failure[PlatformError]
    ) -> KeyedPage | None:
        """Return the page, or tell the failure and wait a while."""
        if isinstance(result, Failure):
            error = result.failure()
            reason = f"{error.kind.value}: {error.message}"
            await self._outbox.send(ReadFailed(self._topic, reason))
            await asyncio.sleep(self._retry_s)
            self._retry_s = min(2 * self._retry_s, self._choose_pace().retry_s)
            return None
        self._retry_s = FIRST_RETRY_S
        return result.unwrap()
