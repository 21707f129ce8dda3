"""The task that reads the load reports of model engines."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from chervilrock.generated.interfaces import EngineLoad
from chervilrock.platform.base import ModelEngine
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox, Outbox

_MS_PER_S = 1000.0


class LoadTarget(NamedTuple):
    """The leading engine of a group."""

    group: str
    address: str


class GroupLoad(NamedTuple):
    """A load report of the leading engine of a group.

    Attributes:
      reported_at: greatest time at which the report can have been true
    """

    group: str
    load: EngineLoad
    reported_at: float


class LoadTask:
    """Reads load reports once an interval and sends `GroupLoad` messages."""

    def __init__(
        self,
        *,
        engine: ModelEngine,
        clock: Clock,
        interval_s: float,
        outboxes: tuple[Outbox[GroupLoad], ...],
    ) -> None:
        """Make the task; each report goes to every outbox."""
        self._engine = engine
        self._clock = clock
        self._interval_s = interval_s
        self._outboxes = outboxes
        self.inbox: Mailbox[tuple[LoadTarget, ...]] = Mailbox(size=4)

    async def run(self) -> None:
        """Read reports until cancelled."""
        targets: tuple[LoadTarget, ...] = ()
        while True:
            for newer in self.inbox.receive_waiting():
                targets = newer
            await asyncio.gather(*(self._read(target) for target in targets))
            await asyncio.sleep(self._interval_s)

    async def _read(self, target: LoadTarget) -> None:
        sent_at = self._clock()
        result = await self._engine.read_load(target.address)
        if not isinstance(result, Success):
            return
        load = result.unwrap()
        report = GroupLoad(
            group=target.group,
            load=load,
            reported_at=sent_at - load["age_ms"] / _MS_PER_S,
        )
        for outbox in self._outboxes:
            outbox.offer(report)
