"""An entry node: start, running tasks and graceful stop."""

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
from chervilrock.node.coroutines import list_coroutines
from chervilrock.node.parts import build_parts
from chervilrock.node.server import bind, make_server
from chervilrock.tasks.clock import Clock, read_clock
from chervilrock.tasks.region import LeaseGivenUp

DRAIN_POLL_INTERVAL_S = 0.05
ADDRESS_EXPIRY_MARGIN_S = 0.5
INCARNATION_BYTES = 6

FAILED_DRAIN_TIMEOUT_S = 30.0
"""Longest time for requests in progress after a task has failed."""


class EntryNode:
    """An entry node in the running event loop.

    Attributes:
      address: IP:port for other processes, known after `start`
      settings: settings of the node
      name: identifier of the node from the settings
      running: whether the node has started and not stopped yet
      incarnation: identifier of this run
      metrics: metrics of the node
      failed: set when a task of the node has failed, which ends the node
    """

    def __init__(
        self, *, settings: NodeSettings, clock: Clock = read_clock
    ) -> None:
        """Create a node that does not listen yet.

        Args:
          settings: validated settings
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
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Listen, start every task and return IP:port.

        Raises:
          ValueError: the setting `listen` is not an IP:port
          OSError: the port is in use
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
        self._parts = build_parts(self._core, self._update_own_entry)
        self._path = RequestPath(context=self._parts.requests)
        self._server = make_server(self._core, self._parts, self._path)
        self._server.add_sockets(binding.sockets)
        self._start_tasks()
        self.running = True
        events.emit(
            events.Event.NODE_STARTED, node=self.name, address=self.address
        )
        return self.address

    def _start_tasks(self) -> None:
        for name, coroutine in list_coroutines(self._core, self._parts).items():
            task = asyncio.create_task(coroutine, name=name)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        """End the node when a task has failed.

        A node without one of its tasks must not serve requests.
        """
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        events.emit(events.Event.TASK_FAILED, task=task.get_name(), error=error)
        self.failed.set()

    def _update_own_entry(self) -> None:
        """Update the entry that this node sends to its peers."""
        view = self._parts.view
        configuration = self._parts.configuration
        self._parts.table.update_own(
            phase=self._compute_phase(),
            load=self._parts.admission.load(),
            revision=configuration.revision,
        )
        configuration.set_snapshot_duty(view.serving.holds_lease)
        self._parts.peers.record_controller(view.serving.controller)
        # Shares of workspace limits change with time, also without requests.
        self._path.gate.sweep(self._clock())
        self._update_metrics()

    def _compute_phase(self) -> NodePhase:
        """Return the phase, `serving` once view and configuration are known."""
        view = self._parts.view
        phase = self._parts.table.own.phase
        known = view.serving.known and view.configuration is not None
        if phase != NodePhase.STARTING or not known:
            return phase
        events.emit(
            events.Event.NODE_READY, node=self.name, revision=view.revision
        )
        return NodePhase.SERVING

    def _update_metrics(self) -> None:
        self.metrics.in_flight_requests.set(self._path.in_flight)
        self.metrics.queue_requests.set(self._path.gate.waiting)
        counts = dict.fromkeys(NodePhase, 0)
        for peer in self._parts.table.live(self._clock())[1:]:
            counts[peer.phase] += 1
        self.metrics.set_peers(counts)

    async def stop(self) -> int:
        """Stop gracefully; return the number of requests that were cut off.

        The node withdraws its address first, waits until cached addresses
        have expired, rejects new requests as not run, and waits for those in
        progress.
        """
        events.emit(
            events.Event.NODE_LEAVING,
            node=self.name,
            in_flight=self._path.in_flight,
        )
        self._set_phase(NodePhase.LEAVING)
        await self._release_lease()
        await self._parts.peers.announce()
        await asyncio.sleep(
            self.settings.address_ttl_s + ADDRESS_EXPIRY_MARGIN_S
        )
        self._parts.requests.reject_new()
        aborted = await self._drain(self.settings.drain_timeout_s)
        self._set_phase(NodePhase.STOPPED)
        await self._parts.peers.announce()
        await self.kill()
        events.emit(
            events.Event.NODE_STOPPED, node=self.name, in_flight=aborted
        )
        return aborted

    async def stop_after_failure(self) -> int:
        """Stop after a task has failed; return the number of cut requests.

        The node rejects new requests at once, as its view is not updated any
        more, and completes those in progress.
        """
        self._set_phase(NodePhase.LEAVING)
        self._parts.requests.reject_new()
        aborted = await self._drain(
            min(FAILED_DRAIN_TIMEOUT_S, self.settings.drain_timeout_s)
        )
        await self.kill()
        events.emit(
            events.Event.NODE_STOPPED, node=self.name, in_flight=aborted
        )
        return aborted

    async def _drain(self, timeout_s: float) -> int:
        """Wait for the requests in progress; return the number left."""
        deadline = self._clock() + timeout_s
        while self._path.in_flight and self._clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return self._path.in_flight

    async def kill(self) -> None:
        """Stop at once without a drain, as a crash does."""
        if not self.running:
            return
        self.running = False
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
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

    async def _release_lease(self) -> None:
        released: asyncio.Future[None]
        released = asyncio.get_running_loop().create_future()
        await self._parts.region.inbox.send(LeaseGivenUp(released))
        await released
