"""A node that claims keys of callers in a log service, for benches."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from bench.relay_context import BenchContext
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import KeyClaims, KeyVerdict
from chervilrock.platform.base import LogService

STREAM = "keys.r1"
READ_LIMIT = 500
READ_WAIT_MS = 1000
RETRY_S = 0.1


class KeyNode(BenchContext):
    """A node with the tasks that append and read claims."""

    def __init__(
        self, *, upstream: str, now: Callable[[], float], log: LogService
    ) -> None:
        """Makes the node.

        Args:
          upstream: IP:port of the backend server.
          now: gives the present time in seconds.
          log: log service.
        """
        super().__init__(upstream=upstream, now=now, limited=False)
        self._log = log
        self._claims = KeyClaims(
            writer=RecordWriter(node=self.node_id, incarnation=self.incarnation)
        )
        self._waiting: dict[KeyName, asyncio.Future[KeyVerdict]] = {}
        self._work = asyncio.Event()
        self.appends = 0

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        """See base class."""
        verdict = self._claims.claim(name, self.now())
        if verdict is not KeyVerdict.WAIT:
            return verdict
        self._work.set()
        decided: asyncio.Future[KeyVerdict] = asyncio.Future()
        self._waiting[name] = decided
        return await decided

    def finish_key(self, name: KeyName, outcome: str) -> None:
        """See base class."""
        self._claims.finish(name, outcome)
        self._work.set()

    async def append_claims(self) -> None:
        """Appends what waits, one batch after the other."""
        while True:
            await self._work.wait()
            self._work.clear()
            while batch := self._claims.take_batch():
                self.appends += 1
                result = await self._log.append(STREAM, batch)
                ok = isinstance(result, Success)
                self._claims.note_appended(ok=ok)
                if not ok:
                    await asyncio.sleep(RETRY_S)

    async def read_claims(self) -> None:
        """Reads all claims and tells those who wait."""
        position = 1
        while True:
            result = await self._log.read(
                STREAM, position, READ_LIMIT, READ_WAIT_MS
            )
            if not isinstance(result, Success):
                await asyncio.sleep(RETRY_S)
                continue
            for stored in result.unwrap().records:
                position = stored.offset + 1
                decision = self._claims.take_record(stored)
                if decision is not None:
                    self._tell(decision.name, decision.verdict)

    async def expire_claims(self) -> None:
        """Gives up claims that wait too long."""
        while True:
            await asyncio.sleep(RETRY_S)
            for decision in self._claims.expire(self.now()):
                self._tell(decision.name, decision.verdict)
                self._work.set()

    def _tell(self, name: KeyName, verdict: KeyVerdict) -> None:
        decided = self._waiting.pop(name, None)
        if decided is not None and not decided.done():
            decided.set_result(verdict)
