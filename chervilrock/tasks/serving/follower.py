"""Follows a keyed topic of the store."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.serving import KeyedPage, KeyedStore, Topic
from chervilrock.decisions.serving.store.polling import PollSchedule
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.serving.faults import Faults, Work
from chervilrock.tasks.serving.messages import Message, ReadFailed, RecordsRead

FIRST_RETRY_S = 0.1
"""Pause after the first failed call, which doubles with each further one."""


class TopicFollower:
    """Reads the newest records of a topic, and then each change.

    Attributes:
      has_failed: whether the last call failed.
      is_behind: whether nothing was read since the reads were last started.
    """

    def __init__(
        self,
        *,
        store: KeyedStore,
        topic: Topic,
        choose_schedule: Callable[[], PollSchedule],
        outbox: Outbox[Message],
        faults: Faults,
    ) -> None:
        """Create a follower that has read nothing.

        Args:
          store: the store.
          topic: topic to follow.
          choose_schedule: returns the polling schedule; called for each read.
          outbox: receives `RecordsRead` and `ReadFailed`.
          faults: records the faults of reads.
        """
        self._faults = faults
        self._store = store
        self._topic = topic
        self._outbox = outbox
        self._retry_s = FIRST_RETRY_S
        self._choose_schedule = choose_schedule
        self._position: int | None = None
        self._era = 0
        self.has_failed = False
        self.is_behind = True

    async def run(self) -> None:
        """Read until cancelled; a later run continues after the last page."""
        self._retry_s = FIRST_RETRY_S
        while True:
            try:
                await self._read_next()
            except Exception as error:
                # Whatever the store answers, the reads go on.
                self._faults.record(Work.CALL, self._topic.value, error)
                await self._record_failure(
                    PlatformError(PlatformErrorKind.BAD_ANSWER, repr(error))
                )

    async def _read_next(self) -> None:
        """Read the newest records, or the changes since the last read."""
        if self._position is None:
            await self._read_snapshot()
        else:
            await self._read_changes(self._position)

    async def _read_snapshot(self) -> None:
        """Read the newest records."""
        result = await self._store.fetch_newest(self._topic)
        if isinstance(result, Failure):
            await self._record_failure(result.failure())
            return
        await self._deliver(result.unwrap(), is_snapshot=True)

    async def _read_changes(self, position: int) -> None:
        """Read the changes since a position, or wait for one."""
        # A long poll shows only after its whole timeout that the store does
        # not answer; a call without one shows it within a second.
        is_long_poll = not (self.has_failed or self.is_behind)
        wait_s = self._choose_schedule().long_poll_s if is_long_poll else 0.0
        result = await self._store.read(self._topic, position, wait_s)
        if isinstance(result, Failure):
            await self._record_failure(result.failure())
            return
        page = result.unwrap()
        if page is None or page.era != self._era:
            # A store that was restored from a backup may reuse offsets for
            # other records.
            self._position = None
            return
        await self._deliver(page, is_snapshot=False)
        # The records may have changed the polling schedule.
        await asyncio.sleep(self._choose_schedule().pause_s)

    async def _deliver(self, page: KeyedPage, *, is_snapshot: bool) -> None:
        """Send a page to the outbox and move the position behind it."""
        self._retry_s = FIRST_RETRY_S
        self.has_failed = False
        self.is_behind = False
        await self._outbox.send(RecordsRead(self._topic, page, is_snapshot))
        self._position = page.next_offset
        self._era = page.era

    async def _record_failure(self, error: PlatformError) -> None:
        """Send a failure to the outbox and wait before the next attempt."""
        self.has_failed = True
        reason = f"{error.kind.value}: {error.message}"
        is_timeout = error.kind is PlatformErrorKind.TIMEOUT
        await self._outbox.send(ReadFailed(self._topic, reason, is_timeout))
        await asyncio.sleep(self._retry_s)
        self._retry_s = min(2 * self._retry_s, self._choose_schedule().retry_s)


class FollowerTask:
    """Runs a topic follower, which can be restarted, paused and resumed."""

    def __init__(
        self,
        *,
        follower: TopicFollower,
        start: Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"],
    ) -> None:
        """Start the follower.

        Args:
          follower: reads the topic.
          start: starts an asyncio task.
        """
        self._follower = follower
        self._start_task = start
        self._task: asyncio.Task[None] | None = start(follower.run())

    @property
    def is_current(self) -> bool:
        """Whether the topic is read and the last call was answered."""
        follower = self._follower
        is_read = self._task is not None
        return is_read and not (follower.has_failed or follower.is_behind)

    @property
    def is_paused(self) -> bool:
        """Whether the reads are paused."""
        return self._task is None

    def renew(self) -> None:
        """Cancel the pending call and start a new one at once.

        The new call does not long poll: a store that was restored from a
        backup may delay a read at an offset which it has not reached yet, and
        only an answer shows that it was restored.
        """
        if self._task is not None:
            self._follower.is_behind = True
            self._task.cancel()
            self._task = self._start_task(self._follower.run())

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def resume(self) -> None:
        """Continue reading with the changes that were missed."""
        if self._task is None:
            self._follower.is_behind = True
            self._task = self._start_task(self._follower.run())

    def cancel(self) -> None:
        """Stop following the topic."""
        self.pause()
