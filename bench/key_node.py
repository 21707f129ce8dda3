"""Entry node for benches that claims idempotency keys in a log service."""

from collections.abc import Callable, Coroutine
from typing import Any

from bench.relay_context import BenchContext
from chervilrock.clients.base import LogService
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.requests.keyfold import KeyName
from chervilrock.decisions.requests.keys import KeyVerdict
from chervilrock.tasks.keys import KeyTask
from chervilrock.tasks.log import ReadTask

STREAM = "keys.r1"


class KeyNode(BenchContext):
    """A node with the tasks that append and read claims."""

    def __init__(
        self, *, upstream: str, now: Callable[[], float], log: LogService
    ) -> None:
        """Creates the node.

        Args:
          upstream: IP:port of the backend server.
          now: returns the current time in seconds.
          log: log service.
        """
        super().__init__(upstream=upstream, now=now, limited=False)
        self._keys = KeyTask(
            log=log,
            stream=STREAM,
            clock=now,
            writer=RecordWriter(
                node=self.node_id, incarnation=self.incarnation
            ),
        )
        self._reader = ReadTask(
            log=log, stream=STREAM, clock=now, outbox=self._keys.inbox
        )

    @property
    def appends(self) -> int:
        """Number of appends since the start."""
        return self._keys.appends

    async def claim_key(self, name: KeyName) -> KeyVerdict:
        """See base class."""
        return await self._keys.claim(name)

    def finish_key(self, name: KeyName, outcome: str) -> None:
        """See base class."""
        self._keys.finish(name, outcome)

    def list_coroutines(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Returns the coroutines of the tasks, to be run in the event loop."""
        return (self._keys.run(), self._reader.run())
