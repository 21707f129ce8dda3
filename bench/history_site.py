"""Stand-ins, callers and entry nodes that run as separate processes."""

import asyncio
from collections.abc import Awaitable, Callable
import itertools
import random

from bench.history_client import CallerClient
from bench.history_installation import GROUPS, RecordedInstallation
from bench.history_load import Load
from bench.history_operators import Operator
from bench.history_processes import NodeProcess
from bench.history_watch import Watch
from chervilrock.standin.history import (
    ApplyTold,
    FaultsEnded,
    Frozen,
    History,
    Killed,
    NodeStarted,
    Resumed,
    StopBegan,
    StopEnded,
)

CALLERS = 24
NODES = 6
ASSUMED_CUT = 1
"""Assumed number of cut requests of a node that did not stop properly."""


class ProcessSite(Watch[NodeProcess]):
    """An installation whose nodes are controlled by signals.

    Attributes:
      nodes: the nodes that have not ended
    """

    def __init__(self, *, least: int, seed: int) -> None:
        """Create a site that does not run yet.

        Args:
          least: least number of operations.
          seed: seed of all random choices.
        """
        self.history = History()
        self.generator = random.Random(seed)
        self.installation = RecordedInstallation(history=self.history)
        self.nodes: list[NodeProcess] = []
        self._client = CallerClient()
        self._seeds: list[str] = []
        self._numbers = itertools.count(1)
        self.operator = Operator(history=self.history, client=self._client)
        self.load = Load(
            name=f"bench-{seed}",
            history=self.history,
            client=self._client,
            generator=self.generator,
            seeds=self._seeds,
            callers=CALLERS,
            least=least,
        )

    def list_running(self) -> list[NodeProcess]:
        """See base class."""
        return [node for node in self.nodes if node.running]

    async def run(
        self, cause_faults: "Callable[[ProcessSite], Awaitable[None]]"
    ) -> None:
        """Run the load and inject the faults until both are finished."""
        try:
            await self._start()
            sampling = asyncio.create_task(self.sample())
            load = asyncio.create_task(self.load.run())
            try:
                await cause_faults(self)
                self.history.note(FaultsEnded())
                await self.wait_in_force()
            finally:
                self.load.finish()
                await load
                sampling.cancel()
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self.installation.start()
        first = await self.start_node()
        await asyncio.gather(*(self.start_node() for _ in range(NODES - 1)))
        await self.operator.apply(first.address, name="first", base=0)
        await self.wait_serving(GROUPS)

    async def _stop(self) -> None:
        await asyncio.gather(*(node.kill() for node in self.nodes))
        await self.installation.stop()
        self._client.close()

    async def start_node(self) -> NodeProcess:
        """Start one more node."""
        node = NodeProcess(
            number=next(self._numbers),
            platform=self.installation.platform.address,
            peers=",".join(self._seeds[-NODES:]),
        )
        await node.start()
        self.history.note(NodeStarted(node.address))
        self.nodes.append(node)
        self._seeds.append(node.address)
        return node

    async def kill_node(self, node: NodeProcess) -> None:
        """Kill a running or frozen node."""
        self.nodes.remove(node)
        self.history.note(Killed(node.address))
        await node.kill()

    def freeze_node(self, node: NodeProcess) -> None:
        """Freeze a node."""
        self.history.note(Frozen(node.address))
        node.freeze()

    def resume_node(self, node: NodeProcess) -> None:
        """Resume a frozen node."""
        node.resume()
        self.history.note(Resumed(node.address))

    async def stop_node(self, node: NodeProcess) -> None:
        """Stop a node gracefully."""
        self.nodes.remove(node)
        self.history.note(StopBegan(node.address))
        code = await node.stop()
        cut = ASSUMED_CUT if code or node.cut is None else node.cut
        self.history.note(StopEnded(node.address, cut))

    async def apply_next(self, name: str) -> ApplyTold:
        """Apply a configuration on top of the newest revision."""
        base = await self.read_revision()
        node = self.generator.choice(self.list_running())
        return await self.operator.apply(node.address, name=name, base=base)
