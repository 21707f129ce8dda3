"""The task that reads the load reports of model engines."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from chervilrock.clients.base import ModelEngine
from chervilrock.generated.interfaces import EngineLoad
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox, Outbox

MAX_READS_PER_S = 16.0
"""Maximum number of reports that a node reads per second."""

SLOTS = 4
"""Parts of an interval; each reads an equal share of the groups."""

_MS_PER_S = 1000.0


class LoadTarget(NamedTuple):
    """The leading engine of a group."""

    group: str
    address: str


class GroupLoad(NamedTuple):
    """A load report of the leading engine of a group.

    Attributes:
      reported_at: latest time at which the reported load can have been true
    """

    group: str
    load: EngineLoad
    reported_at: float


class LoadTask:
    """Reads load reports and sends `GroupLoad` messages.

    Each report is read once per interval, or less often when the number of
    groups exceeds the limit of reads per second. An engine that does not
    answer does not delay the others.
    """

    def __init__(
        self,
        *,
        engine: ModelEngine,
        clock: Clock,
        interval_s: float,
        outboxes: tuple[Outbox[GroupLoad], ...],
    ) -> None:
        """Create a task that sends each report to every outbox."""
        self._engine = engine
        self._clock = clock
        self._interval_s = interval_s
        self._outboxes = outboxes
        self._targets: tuple[LoadTarget, ...] = ()
        self._running: dict[str, asyncio.Task[None]] = {}
        self.inbox: Mailbox[tuple[LoadTarget, ...]] = Mailbox(size=4)

    async def run(self) -> None:
        """Read reports until cancelled."""
        slot = 0
        while True:
            for targets in self.inbox.receive_waiting():
                self._targets = targets
            for target in self._targets[slot::SLOTS]:
                self._start(target)
            slot = (slot + 1) % SLOTS
            await asyncio.sleep(self._find_interval() / SLOTS)

    def _find_interval(self) -> float:
        return max(self._interval_s, len(self._targets) / MAX_READS_PER_S)

    def _start(self, target: LoadTarget) -> None:
        if target.address in self._running:
            return
        task = asyncio.create_task(self._read(target))
        self._running[target.address] = task
        task.add_done_callback(lambda _: self._running.pop(target.address))

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
