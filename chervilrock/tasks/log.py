"""The tasks that read and append streams of the log service."""

import asyncio

from returns.result import Failure, Result

from chervilrock.clients.base import LogPage, LogService
from chervilrock.clients.errors import PlatformError
from chervilrock.generated.records import Record
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox, Outbox
from chervilrock.tasks.messages import BatchAppended, PageRead, ReadFailed

READ_LIMIT = 500
READ_WAIT_MS = 1000
RETRY_S = 0.25
BATCH_LIMIT = 200


class ReadTask:
    """Reads a stream and sends `PageRead` and `ReadFailed` messages.

    The owner of the fold may set another position with `move`. A page of an
    earlier position may still arrive after that; each page carries its start.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        clock: Clock,
        outbox: Outbox[PageRead | ReadFailed],
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._outbox = outbox
        self._position = 1

    def move(self, position: int) -> None:
        """Set the offset of the next read."""
        self._position = position

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            start = self._position
            sent_at = self._clock()
            result = await self._log.read(
                self._stream, start, READ_LIMIT, READ_WAIT_MS
            )
            await self._deliver(start, result, sent_at)
            if isinstance(result, Failure):
                await asyncio.sleep(RETRY_S)

    async def _deliver(
        self,
        start: int,
        result: "Result[LogPage, PlatformError]",
        sent_at: float,
    ) -> None:
        now = self._clock()
        if isinstance(result, Failure):
            failed = ReadFailed(self._stream, result.failure(), now)
            await self._outbox.send(failed)
            return
        page = result.unwrap()
        if start == self._position and page.records:
            self._position = page.records[-1].offset + 1
        await self._outbox.send(
            PageRead(self._stream, start, page, sent_at, now)
        )


class AppendTask:
    """Appends records in batches and sends `BatchAppended` messages.

    Records that arrive while an append is in progress go into the next batch.
    A batch is sent once; its owner decides whether to retry a record, with the
    same identity.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        clock: Clock,
        outbox: Outbox[BatchAppended],
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._outbox = outbox
        self.inbox: Mailbox[Record] = Mailbox()

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            first = await self.inbox.receive()
            waiting = self.inbox.receive_waiting()
            records = (first, *waiting)
            for start in range(0, len(records), BATCH_LIMIT):
                await self._append(records[start : start + BATCH_LIMIT])

    async def _append(self, records: tuple[Record, ...]) -> None:
        sent_at = self._clock()
        result = await self._log.append(self._stream, records)
        error = result.failure() if isinstance(result, Failure) else None
        await self._outbox.send(
            BatchAppended(
                stream=self._stream,
                records=records,
                error=error,
                sent_at=sent_at,
                ended_at=self._clock(),
            )
        )
