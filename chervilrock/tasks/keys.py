"""The task that claims keys of callers in the log service."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from chervilrock.clients.base import LogService
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import (
    KeyClaims,
    KeyDecision,
    KeyVerdict,
)
from chervilrock.generated.records import Record
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import PageRead, ReadFailed

TICK_S = 0.1
RETRY_S = 0.1


class ClaimCommand(NamedTuple):
    """Claim of a key for a request that wants to run.

    Attributes:
      reply: gets the verdict, never `WAIT`
    """

    name: KeyName
    reply: "asyncio.Future[KeyVerdict]"


class FinishCommand(NamedTuple):
    """The request with this key has completed."""

    name: KeyName
    outcome: str


class AppendEnded(NamedTuple):
    """An append of claims completed."""

    ok: bool


Message = ClaimCommand | FinishCommand | AppendEnded | PageRead | ReadFailed


class KeyTask:
    """Claims keys in a stream and reads the claims of all nodes back.

    Claims that arrive while an append is in progress are batched into the
    next one.

    Attributes:
      inbox: mailbox for commands and pages of the stream
      appends: number of appends since the start
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        clock: Clock,
        writer: RecordWriter,
    ) -> None:
        """Create a task that has claimed nothing yet.

        Args:
          log: log service
          stream: name of the stream of keys
          clock: the clock of this process
          writer: assigns identities to the records of this stream
        """
        self._log = log
        self._stream = stream
        self._clock = clock
        self._claims = KeyClaims(writer=writer)
        self._waiting: dict[KeyName, list[asyncio.Future[KeyVerdict]]] = {}
        self._append: asyncio.Task[None] | None = None
        self.inbox: Mailbox[Message] = Mailbox(size=4096)
        self.appends = 0

    async def claim(self, name: KeyName) -> KeyVerdict:
        """Claim a key for a request of this node."""
        reply: asyncio.Future[KeyVerdict]
        reply = asyncio.get_running_loop().create_future()
        await self.inbox.send(ClaimCommand(name, reply))
        return await reply

    def finish(self, name: KeyName, outcome: str) -> None:
        """Write the outcome of the request with a key to the log."""
        self.inbox.offer(FinishCommand(name, outcome))

    async def run(self) -> None:
        """Claim until cancelled."""
        try:
            while True:
                message = await self.inbox.receive_within(TICK_S)
                now = self._clock()
                if message is not None:
                    self._handle(message, now)
                self._answer_waiting(self._claims.expire(now))
                self._start_append()
        finally:
            if self._append is not None:
                self._append.cancel()

    def _handle(self, message: Message, now: float) -> None:
        if isinstance(message, ClaimCommand):
            self._handle_claim(message, now)
        elif isinstance(message, FinishCommand):
            self._claims.finish(message.name, message.outcome)
        elif isinstance(message, AppendEnded):
            self._append = None
            self._claims.record_appended(ok=message.ok)
        elif isinstance(message, PageRead):
            decisions = map(self._claims.apply_record, message.page.records)
            self._answer_waiting(
                tuple(
                    decision for decision in decisions if decision is not None
                )
            )

    def _handle_claim(self, command: ClaimCommand, now: float) -> None:
        verdict = self._claims.claim(command.name, now)
        if verdict is KeyVerdict.WAIT:
            self._waiting.setdefault(command.name, []).append(command.reply)
        elif not command.reply.done():
            command.reply.set_result(verdict)

    def _answer_waiting(self, decisions: tuple[KeyDecision, ...]) -> None:
        """Answer the waiting requests; only one of them may be dispatched."""
        for decision in decisions:
            verdict = decision.verdict
            for reply in self._waiting.pop(decision.name, []):
                if reply.done():
                    continue
                reply.set_result(verdict)
                if verdict is KeyVerdict.DISPATCH:
                    verdict = KeyVerdict.TAKEN

    def _start_append(self) -> None:
        if self._append is not None:
            return
        batch = self._claims.start_batch()
        if batch:
            self.appends += 1
            self._append = asyncio.create_task(self._send(batch))

    async def _send(self, batch: tuple[Record, ...]) -> None:
        result = await self._log.append(self._stream, batch)
        ok = isinstance(result, Success)
        if not ok:
            await asyncio.sleep(RETRY_S)
        await self.inbox.send(AppendEnded(ok))
