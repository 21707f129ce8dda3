"""A whole installation in one event loop, with its history."""

import asyncio
from collections.abc import Awaitable, Callable
import itertools
import random
import time

from bench.history_client import CallerClient
from bench.history_installation import (
    DATA_CENTRES,
    GROUPS,
    RecordedInstallation,
    REGION,
)
from bench.history_load import Load
from bench.history_operators import Operator
from bench.history_watch import Watch
from chervilrock.generated.settings import NodeSettings
from chervilrock.node.entry import EntryNode
from chervilrock.standin.history import (
    ApplyTold,
    FaultsEnded,
    Frozen,
    Got,
    History,
    Killed,
    NodeStarted,
    Resumed,
    Sent,
    StopBegan,
    StopEnded,
)
from test.history.links import Link
from test.history.loops import get_loop, Owner
from test.history.nodes import Node, Options

CALLERS = 12
SLOW_CALLER_S = 0.05
IN_PROGRESS_S = 0.03
"""Age at which a request of a caller has reached its node."""

LEASE_MS = 800
WARM_UP_SHARE = 0.15
"""Share of the load before the first failure (0 to 1)."""


class Site(Watch[Node]):
    """Stand-ins, entry nodes and callers, and methods that cause faults."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.history = History()
        self.generator = random.Random(options.seed)
        self.installation = RecordedInstallation(
            history=self.history,
            fenced=options.fenced,
            blind=options.blind,
            latency_ms=options.latency_ms,
        )
        self.nodes: list[Node] = []
        self._links: list[Link] = []
        self._frozen: set[str] = set()
        self._client = CallerClient()
        self._seeds: list[str] = []
        self.load = Load(
            name=f"run-{options.seed}",
            history=self.history,
            client=self._client,
            generator=self.generator,
            seeds=self._seeds,
            callers=CALLERS,
            least=options.operations,
        )
        self.operator = Operator(history=self.history, client=self._client)
        self._numbers = itertools.count(1)

    def list_running(self) -> list[Node]:
        return [
            node for node in self.nodes if node.owner.name not in self._frozen
        ]

    async def run(
        self, cause_faults: "Callable[[Site], Awaitable[None]]"
    ) -> History:
        """Run the load and the failure script and return the history."""
        try:
            await self.start()
            sampling = asyncio.create_task(self.sample())
            load = asyncio.create_task(self.load.run())
            try:
                await self.wait_progress(WARM_UP_SHARE)
                await cause_faults(self)
                self.history.note(FaultsEnded())
                await self.wait_in_force()
            finally:
                self.load.finish()
                await load
                sampling.cancel()
        finally:
            await self.stop()
        return self.history

    async def start(self) -> None:
        """Start the installation and wait until every group serves."""
        await self.installation.start()
        for _ in range(self.options.nodes):
            await self.start_node()
        await self.operator.apply(self.nodes[0].address, name="first", base=0)
        await self.wait_serving(GROUPS)

    async def stop(self) -> None:
        """Stop everything at once."""
        get_loop().resume_all()
        for node in self.nodes:
            await node.entry.kill()
        for link in self._links:
            link.stop()
        await self.installation.stop()
        self._client.close()

    async def start_node(self) -> Node:
        """Start another entry node."""
        number = next(self._numbers)
        link = Link(target=self.installation.platform.address)
        await link.start()
        self._links.append(link)
        settings = NodeSettings(
            node=f"entry-{number}",
            listen="127.0.0.1:0",
            region=REGION,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            log_service=link.address,
            peers=",".join(node.address for node in self.nodes),
            lease_ms=LEASE_MS,
            probe_interval_ms=300,
            presence_limit_ms=1000,
            exchange_interval_ms=200,
            address_ttl_s=0.5,
            seed=self.options.seed * 1000 + number,
        )
        owner = Owner(f"{id(self)}/{number}")
        entry = owner.call(EntryNode, settings=settings)
        node = Node(entry, owner, link)
        await owner.run(node.entry.start())
        self.history.note(NodeStarted(node.address))
        self.nodes.append(node)
        self._seeds.append(node.address)
        return node

    async def kill_node(self, node: Node) -> None:
        """Kill an entry node."""
        self.nodes.remove(node)
        self.history.note(Killed(node.address))
        await node.owner.run(node.entry.kill())
        get_loop().freeze(node.owner.name)

    async def stop_node(self, node: Node) -> None:
        """Stop an entry node gracefully."""
        self.nodes.remove(node)
        self.history.note(StopBegan(node.address))
        cut = await node.owner.run(node.entry.stop())
        self.history.note(StopEnded(node.address, cut))

    def freeze_node(self, node: Node) -> None:
        """Suspend an entry node while its sockets stay open."""
        self.history.note(Frozen(node.address))
        self._frozen.add(node.owner.name)
        get_loop().freeze(node.owner.name)

    def resume_node(self, node: Node) -> None:
        """Resume a frozen entry node."""
        get_loop().resume(node.owner.name)
        self._frozen.discard(node.owner.name)
        self.history.note(Resumed(node.address))

    async def wait_no_controller(self) -> None:
        """Wait until no node may act as the controller."""

        async def is_lapsed() -> bool:
            return not any(
                node.entry.metrics.lease_held._value.get()
                for node in self.nodes
            )

        await self.wait(is_lapsed, "the lease does not lapse")

    async def find_busy_controller(self) -> Node:
        """Return the controller once a request to it is in progress."""
        found: list[Node] = []

        async def is_busy() -> bool:
            controller = await self.find_controller()
            found[:] = [controller]
            return self._has_request_in_progress(controller)

        await self.wait(is_busy, "the controller gets no requests")
        return found[0]

    def _has_request_in_progress(self, node: Node) -> bool:
        sent_by = time.monotonic() - IN_PROGRESS_S
        answered = {
            entry.event.attempt
            for entry in self.history.entries
            if isinstance(entry.event, Got)
        }
        return any(
            isinstance(entry.event, Sent)
            and entry.event.node == node.address
            and entry.event.attempt not in answered
            for entry in self.history.entries
            if entry.at <= sent_by
        )

    async def apply_next(self, name: str) -> ApplyTold:
        """Apply a configuration based on the latest revision."""
        base = await self.read_revision()
        running = self.list_running()
        node = running[len(running) // 2]
        return await self.operator.apply(node.address, name=name, base=base)
