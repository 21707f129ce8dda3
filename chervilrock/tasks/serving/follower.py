"""Follows a keyed topic of the store."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.serving import KeyedPage, KeyedStore, Topic
from chervilrock.decisions.serving.paces import Pace
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.serving.messages import Message, ReadFailed, RecordsRead

FIRST_RETRY_S = 0.1
"""Pause after the first failed call; each further one takes twice as long."""


class TopicFollower:
    """Reads a topic from its newest records on, and tells each change.

    Attributes:
      is_lost: whether the last call has failed.
      is_behind: whether nothing was read since the reads were paused.
    """

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
        self._position: int | None = None
        self._era = 0
        self.is_lost = False
        self.is_behind = True

    async def run(self) -> None:
        """Read until cancelled; a later run goes on behind the last page."""
        self._retry_s = FIRST_RETRY_S
        while True:
            if self._position is None:
                await self._start()
            else:
                await self._go_on(self._position)

    async def _start(self) -> None:
        """Read the newest records."""
        result = await self._store.fetch_newest(self._topic)
        if isinstance(result, Failure):
            await self._note_failure(result.failure())
            return
        await self._take(result.unwrap(), is_snapshot=True)

    async def _go_on(self, position: int) -> None:
        """Read what came since, or wait for it."""
        # A call that the store may hold tells only after that time that there
        # is no answer; one that it may not hold tells within a second.
        is_held = not (self.is_lost or self.is_behind)
        wait_s = self._choose_pace().wait_s if is_held else 0.0
        result = await self._store.read(self._topic, position, wait_s)
        if isinstance(result, Failure):
            await self._note_failure(result.failure())
            return
        page = result.unwrap()
        if page is None or page.era != self._era:
            # The offsets of a copy may have been given out for other records.
            self._position = None
            return
        await self._take(page, is_snapshot=False)
        # What came may have changed how soon to read again.
        await asyncio.sleep(self._choose_pace().pause_s)

    async def _take(self, page: KeyedPage, *, is_snapshot: bool) -> None:
        """Tell what came, and read on behind it."""
        self._retry_s = FIRST_RETRY_S
        self.is_lost = False
        self.is_behind = False
        await self._outbox.send(RecordsRead(self._topic, page, is_snapshot))
        self._position = page.next_offset
        self._era = page.era

    async def _note_failure(self, error: PlatformError) -> None:
        """Tell the failure and wait a while."""
        self.is_lost = True
        reason = f"{error.kind.value}: {error.message}"
        is_silent = error.kind is PlatformErrorKind.TIMEOUT
        await self._outbox.send(ReadFailed(self._topic, reason, is_silent))
        await asyncio.sleep(self._retry_s)
        self._retry_s = min(2 * self._retry_s, self._choose_pace().retry_s)


class Following:
    """A topic that is being followed."""

    def __init__(
        self,
        *,
        follower: TopicFollower,
        start: Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"],
    ) -> None:
        """Begin to follow.

        Args:
          follower: reads the topic.
          start: starts a task.
        """
        self._follower = follower
        self._start = start
        self._task: asyncio.Task[None] | None = start(follower.run())

    @property
    def is_current(self) -> bool:
        """Whether the topic is read, and the last call was answered."""
        follower = self._follower
        is_read = self._task is not None
        return is_read and not (follower.is_lost or follower.is_behind)

    @property
    def is_paused(self) -> bool:
        """Whether the topic is not read now."""
        return self._task is None

    def renew(self) -> None:
        """Give the call under way up and make it anew at once.

        It is not held: a store that came back from a copy may hold a read
        from an offset that is yet to come, and only its answer tells so.
        """
        if self._task is not None:
            self._follower.is_behind = True
            self._task.cancel()
            self._task = self._start(self._follower.run())

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def resume(self) -> None:
        """Read on, beginning with what came meanwhile."""
        if self._task is None:
            self._follower.is_behind = True
            self._task = self._start(self._follower.run())

    def cancel(self) -> None:
        """Follow no more."""
        self.pause()
