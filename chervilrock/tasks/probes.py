"""The task that queries the state of model engines.

The answers are the evidence that a host is present. Each host is probed once
per interval, and frequently probed hosts in each part of it. The probes are
spread over the interval.
"""

import asyncio

from returns.result import Success

from chervilrock.clients.base import ModelEngine
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox, Outbox
from chervilrock.tasks.messages import HostProbed, HostsToProbe

SLOTS = 4
"""Parts of an interval; each probes an equal share of the hosts.

Probes that are answered together wake the process less often.
"""


class ProbeTask:
    """Probes hosts and sends `HostProbed` messages.

    A host whose last probe is still open is not probed again, so an
    unresponsive host costs one open request.
    """

    def __init__(
        self,
        *,
        engine: ModelEngine,
        clock: Clock,
        interval_s: float,
        outbox: Outbox[HostProbed],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._slot_s = interval_s / SLOTS
        self._outbox = outbox
        self._targets = HostsToProbe({})
        self._running: dict[str, asyncio.Task[None]] = {}
        self.inbox: Mailbox[HostsToProbe] = Mailbox(size=4)

    async def run(self) -> None:
        """Probe until cancelled."""
        slot = 0
        while True:
            for targets in self.inbox.receive_waiting():
                self._targets = targets
            for number, host in enumerate(self._targets.hosts):
                if number % SLOTS == slot or host in self._targets.frequent:
                    self._start(host)
            slot = (slot + 1) % SLOTS
            await asyncio.sleep(self._slot_s)

    def _start(self, host: str) -> None:
        if host in self._running:
            return
        address = self._targets.hosts[host]["address"]
        task = asyncio.create_task(self._probe(host, address))
        self._running[host] = task
        task.add_done_callback(lambda _: self._running.pop(host))

    async def _probe(self, host: str, address: str) -> None:
        sent_at = self._clock()
        result = await self._engine.read_state(address)
        state = result.unwrap() if isinstance(result, Success) else None
        if state is not None and state["host"] != host:
            state = None
        self._outbox.offer(
            HostProbed(
                host=host,
                state=state,
                sent_at=sent_at,
                read_at=self._clock(),
            )
        )
