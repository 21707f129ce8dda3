"""An entry node: its start, its life and its graceful stop."""

import asyncio
import os
import random

from chervilrock import events
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.edges.path import RequestPath
from chervilrock.generated.interfaces import NodePhase
from chervilrock.generated.settings import NodeSettings
from chervilrock.metrics import Metrics
from chervilrock.node.core import NodeCore
from chervilrock.node.parts import build_parts
from chervilrock.node.server import bind, make_server
from chervilrock.node.work import list_work
from chervilrock.tasks.clock import Clock, read_clock
from chervilrock.tasks.region import LeaseGivenUp

IDLE_POLL_S = 0.05
ADDRESS_MARGIN_S = 0.5
INCARNATION_BYTES = 6


class EntryNode:
    """An entry node in the running event loop.

    Attributes:
      address: IP:port that others use, known after `start`
      settings: settings of the node
      name: identifier from the settings
      running: whether it runs
      incarnation: name of this run
      metrics: metrics of the node
      failed: set when a task of the node failed, which ends the node
    """

    def __init__(
        self, *, settings: NodeSettings, clock: Clock = read_clock
    ) -> None:
        """Make a node; nothing listens yet.

        Args:
          settings: checked settings
          clock: clock of the process, in seconds
        """
        self.settings = settings
        self.name = settings.node
        self.address = ""
        self.incarnation = os.urandom(INCARNATION_BYTES).hex()
        self.metrics = Metrics()
        self.running = False
        self.failed = asyncio.Event()
        self._clock = clock
        self._running: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Listen, start every task and return IP:port.

        Raises:
          ValueError: the setting `listen` is no IP:port
          OSError: the port is taken
        """
        binding = bind(self.settings)
        self.address = binding.address
        self._core = NodeCore(
            settings=self.settings,
            address=self.address,
            incarnation=self.incarnation,
            clock=self._clock,
            generator=random.Random(self.settings.seed or None),
            metrics=self.metrics,
            http=HttpClient(),
            probe_http=HttpClient(),
            poller=Poller(),
        )
        self._parts = build_parts(self._core, self._update_own)
        self._path = RequestPath(context=self._parts.requests)
        self._server = make_server(self._core, self._parts, self._path)
        self._server.add_sockets(binding.sockets)
        self._start_work()
        self.running = True
        events.emit(
            events.Event.NODE_STARTED, node=self.name, address=self.address
        )
        return self.address

    def _start_work(self) -> None:
        for name, work in list_work(self._core, self._parts).items():
            task = asyncio.create_task(work, name=name)
            task.add_done_callback(self._record_end)
            self._running.append(task)

    def _record_end(self, task: "asyncio.Task[None]") -> None:
        """End the node when a task fails: a half node must not serve."""
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        events.emit(events.Event.TASK_FAILED, task=task.get_name(), error=error)
        self.failed.set()

    def _update_own(self) -> None:
        """Bring what this node says of itself up to date."""
        view = self._parts.view
        configuration = self._parts.configuration
        self._parts.table.update_own(
            phase=self._find_phase(),
            load=self._parts.admission.load(),
            revision=configuration.revision,
        )
        configuration.set_snapshot_duty(view.serving.holds_lease)
        self._parts.peers.record_controller(view.serving.controller)
        # Parts of workspace bounds settle by time, also without requests.
        self._path.gate.sweep(self._clock())
        self._measure()

    def _find_phase(self) -> NodePhase:
        """Return the phase, which becomes `serving` once all is known."""
        view = self._parts.view
        phase = self._parts.table.own.phase
        known = view.serving.known and view.configuration is not None
        if phase != NodePhase.STARTING or not known:
            return phase
        events.emit(
            events.Event.NODE_READY, node=self.name, revision=view.revision
        )
        return NodePhase.SERVING

    def _measure(self) -> None:
        self.metrics.in_flight_requests.set(self._path.in_flight)
        self.metrics.queue_requests.set(self._path.gate.waiting)
        counts = dict.fromkeys(NodePhase, 0)
        for peer in self._parts.table.live(self._clock())[1:]:
            counts[peer.phase] += 1
        self.metrics.set_peers(counts)

    async def stop(self) -> int:
        """Stop gracefully; return the number of requests that were cut.

        The node leaves the address answer first, waits until cached answers
        have aged, refuses new requests as not run, and waits for those in
        progress.
        """
        events.emit(
            events.Event.NODE_LEAVING,
            node=self.name,
            in_flight=self._path.in_flight,
        )
        self._set_phase(NodePhase.LEAVING)
        await self._give_lease_up()
        await self._parts.peers.announce()
        await asyncio.sleep(self.settings.address_ttl_s + ADDRESS_MARGIN_S)
        self._parts.requests.refuse_new()
        cut = await self._drain()
        self._set_phase(NodePhase.STOPPED)
        await self._parts.peers.announce()
        await self.kill()
        events.emit(events.Event.NODE_STOPPED, node=self.name, in_flight=cut)
        return cut

    async def _drain(self) -> int:
        """Wait for the requests in progress; return how many are left."""
        deadline = self._clock() + self.settings.drain_timeout_s
        while self._path.in_flight and self._clock() < deadline:
            await asyncio.sleep(IDLE_POLL_S)
        return self._path.in_flight

    async def kill(self) -> None:
        """Stop at once, as a crash would."""
        if not self.running:
            return
        self.running = False
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        self._server.stop()
        await self._server.close_all_connections()
        self._path.close()
        self._core.http.close()
        self._core.probe_http.close()
        self._core.poller.close()

    def _set_phase(self, phase: NodePhase) -> None:
        own = self._parts.table.own
        self._parts.table.update_own(
            phase=phase, load=own.load, revision=own.revision
        )

    async def _give_lease_up(self) -> None:
        done: asyncio.Future[None]
        done = asyncio.get_running_loop().create_future()
        await self._parts.region.inbox.send(LeaseGivenUp(done))
        await done
