"""An entry node: its tasks, its HTTP server and its graceful stop."""

import asyncio
import os
import random
import socket
from typing import Any, NamedTuple

from tornado import httpserver, netutil, routing, web

from chervilrock import events
from chervilrock.configuration.address import parse_address
from chervilrock.decisions.lease import LeaseTiming, LeaseView
from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.routing.affinity import PrefixAffinity
from chervilrock.decisions.snapshots import SnapshotPolicy, SnapshotSchedule
from chervilrock.edges.callers import (
    make_caller_routes,
    make_not_found_options,
)
from chervilrock.edges.operators import make_operator_routes
from chervilrock.edges.path import RequestPath
from chervilrock.edges.peers import make_peer_routes
from chervilrock.edges.state import BodyLimits
from chervilrock.generated.configuration import LimitSpec
from chervilrock.generated.interfaces import NodePhase, PeerNode
from chervilrock.generated.settings import NodeSettings
from chervilrock.metrics import Metrics
from chervilrock.node.operations import NodeOperations
from chervilrock.node.requests import NodeRequests
from chervilrock.node.view import ViewTask
from chervilrock.platform.http import (
    HttpHostListSource,
    HttpLogService,
    HttpModelEngine,
)
from chervilrock.platform.httpclient import HttpClient
from chervilrock.tasks.clock import Clock, read_clock
from chervilrock.tasks.configurations import ConfigurationTask
from chervilrock.tasks.configurations import STREAM as CONFIGURATION_STREAM
from chervilrock.tasks.hosts import HostListTask
from chervilrock.tasks.keys import KeyTask
from chervilrock.tasks.loads import LoadTask
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.orders import OrderTask
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.peers import HttpPeerChannel, PeerTask
from chervilrock.tasks.probes import ProbeTask
from chervilrock.tasks.region import (
    LeaseGivenUp,
    RegionIdentity,
    RegionPorts,
    RegionTask,
)

HOST_LIST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 0.5
IDLE_POLL_S = 0.05
ADDRESS_MARGIN_S = 0.5
INCARNATION_BYTES = 6
_MS_PER_S = 1000.0


class NodeTasks(NamedTuple):
    """The tasks of a node that others talk to."""

    configuration: ConfigurationTask
    region: RegionTask
    peers: PeerTask
    view: ViewTask
    keys: KeyTask


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
        self._clock = clock
        self._generator = random.Random(settings.seed or None)
        self._running: list[asyncio.Task[None]] = []
        self._http = HttpClient()
        self._probe_http = HttpClient()
        self.metrics = Metrics()
        self.incarnation = os.urandom(INCARNATION_BYTES).hex()
        self.address = ""
        self.name = settings.node
        self.running = False
        self.failed = asyncio.Event()

    async def start(self) -> str:
        """Listen, start every task and return IP:port."""
        sockets = self._bind()
        self._build()
        self._listen(sockets)
        self._start_tasks()
        self.running = True
        events.emit(
            events.Event.NODE_STARTED,
            node=self.settings.node,
            address=self.address,
        )
        return self.address

    def _bind(self) -> list[socket.socket]:
        listen = parse_address(self.settings.listen)
        if listen is None:
            raise ValueError(f"{self.settings.listen!r} is not IP:port")
        sockets = netutil.bind_sockets(listen.port, listen.ip)
        port = sockets[0].getsockname()[1]
        self.address = self.settings.advertise or f"{listen.ip}:{port}"
        return sockets

    def _build(self) -> None:
        """Make every part of the node."""
        settings = self.settings
        outages = OutageLog(metrics=self.metrics)
        self._log = HttpLogService(
            http=self._http, address=settings.log_service
        )
        self._engine = HttpModelEngine(http=self._probe_http)
        self._table = MemberTable(own=self._make_own())
        self._admission = Admission(node=settings.node, limits=LimitSpec())
        self._policy = PrefixAffinity(
            rng=self._generator, data_centre=settings.data_centre
        )
        view = ViewTask(
            clock=self._clock,
            admission=self._admission,
            policy=self._policy,
            metrics=self.metrics,
        )
        region = self._make_region(outages)
        configuration = ConfigurationTask(
            clock=self._clock,
            writer=self._make_writer(),
            outboxes=(region.inbox, view.inbox),
            schedule=SnapshotSchedule(policy=SnapshotPolicy()),
            outages=outages,
        )
        peers = PeerTask(
            table=self._table,
            channel=HttpPeerChannel(http=self._http),
            shelf=configuration,
            shares=self._admission,
            seeds=self._list_seeds(),
            clock=self._clock,
            generator=self._generator,
            interval_s=settings.exchange_interval_ms / _MS_PER_S,
            before_exchange=self._update_own,
        )
        keys = KeyTask(
            log=self._log,
            stream=self._name_stream("keys"),
            clock=self._clock,
            writer=self._make_writer(),
        )
        self._tasks = NodeTasks(configuration, region, peers, view, keys)
        self._requests = NodeRequests(
            settings=settings,
            incarnation=self.incarnation,
            clock=self._clock,
            view=view,
            admission=self._admission,
            policy=self._policy,
            engine=self._engine,
            metrics=self.metrics,
            table=self._table,
            keys=keys,
            generator=self._generator,
        )
        self._operations = NodeOperations(
            settings=settings,
            clock=self._clock,
            configuration=configuration,
            region=region,
            peers=peers,
            table=self._table,
            admission=self._admission,
            metrics=self.metrics,
        )

    def _make_own(self) -> PeerNode:
        return PeerNode(
            node=self.settings.node,
            incarnation=self.incarnation,
            address=self.address,
            data_centre=self.settings.data_centre,
            region=self.settings.region,
            heartbeat=0,
            phase=NodePhase.STARTING,
            load=0.0,
            revision=0,
        )

    def _make_writer(self) -> RecordWriter:
        return RecordWriter(
            node=self.settings.node, incarnation=self.incarnation
        )

    def _make_region(self, outages: OutageLog) -> RegionTask:
        settings = self.settings
        writer = self._make_writer()
        lease_s = settings.lease_ms / _MS_PER_S
        timing = LeaseTiming(lease_s=lease_s, drift=settings.drift)
        return RegionTask(
            identity=RegionIdentity(
                region=settings.region,
                node=settings.node,
                address=self.address,
                lease_ms=settings.lease_ms,
            ),
            clock=self._clock,
            lease=LeaseView(
                timing=timing, writer=writer.writer, generator=self._generator
            ),
            presence=PresenceTable(
                limit=settings.presence_limit_ms / _MS_PER_S,
                now=self._clock(),
            ),
            writer=writer,
            schedule=SnapshotSchedule(policy=SnapshotPolicy()),
            metrics=self.metrics,
            outages=outages,
        )

    def _name_stream(self, kind: str) -> str:
        return f"{kind}.{self.settings.region}"

    def _list_seeds(self) -> tuple[str, ...]:
        return tuple(seed for seed in self.settings.peers.split(",") if seed)

    def _update_own(self) -> None:
        """Bring what this node says of itself up to date."""
        own = self._table.own
        view = self._tasks.view
        phase = own.phase
        ready = view.serving.known and view.configuration is not None
        if phase == NodePhase.STARTING and ready:
            phase = NodePhase.SERVING
            events.emit(
                events.Event.NODE_READY,
                node=self.settings.node,
                revision=view.revision,
            )
        self._table.update_own(
            phase=phase,
            load=self._admission.load(),
            revision=self._tasks.configuration.revision,
        )
        self._tasks.configuration.set_snapshot_duty(view.serving.holds_lease)
        # Parts of workspace bounds settle by time, also without requests.
        self._path.gate.sweep(self._clock())
        self.metrics.in_flight_requests.set(self._path.in_flight)
        self.metrics.queue_requests.set(self._path.gate.waiting)
        self._measure_peers()

    def _measure_peers(self) -> None:
        counts = dict.fromkeys(NodePhase, 0)
        for peer in self._table.live(self._clock())[1:]:
            counts[peer.phase] += 1
        self.metrics.set_peers(counts)

    def _listen(self, sockets: list[socket.socket]) -> None:
        self._path = RequestPath(context=self._requests)
        limits = BodyLimits(
            max_bytes=self.settings.max_body_bytes,
            timeout_s=self.settings.header_timeout_s,
        )
        routes: list[routing.Rule] = [
            *make_caller_routes(self._requests, path=self._path, limits=limits),
            *make_operator_routes(self._operations),
            *make_peer_routes(self._operations),
        ]
        options: dict[str, Any] = make_not_found_options(self._path)
        application = web.Application(
            routes, log_function=lambda _handler: None, **options
        )
        self._server = httpserver.HTTPServer(
            application,
            max_body_size=self.settings.max_body_bytes,
            idle_connection_timeout=3600.0,
        )
        self._server.add_sockets(sockets)

    def _start_tasks(self) -> None:
        region = self._tasks.region
        configuration = self._tasks.configuration
        stream = self._name_stream("region")
        read_region = ReadTask(
            log=self._log,
            stream=stream,
            clock=self._clock,
            outbox=region.inbox,
        )
        append_region = AppendTask(
            log=self._log,
            stream=stream,
            clock=self._clock,
            outbox=region.inbox,
        )
        configuration.read_task = ReadTask(
            log=self._log,
            stream=CONFIGURATION_STREAM,
            clock=self._clock,
            outbox=configuration.inbox,
        )
        configuration.append_task = AppendTask(
            log=self._log,
            stream=CONFIGURATION_STREAM,
            clock=self._clock,
            outbox=configuration.inbox,
        )
        read_keys = ReadTask(
            log=self._log,
            stream=self._name_stream("keys"),
            clock=self._clock,
            outbox=self._tasks.keys.inbox,
        )
        orders = OrderTask(
            engine=self._engine,
            clock=self._clock,
            outbox=region.inbox,
        )
        probes = ProbeTask(
            engine=self._engine,
            clock=self._clock,
            interval_s=self.settings.probe_interval_ms / _MS_PER_S,
            outbox=region.inbox,
        )
        loads = LoadTask(
            engine=self._engine,
            clock=self._clock,
            interval_s=LOAD_INTERVAL_S,
            outboxes=(region.inbox, self._tasks.view.inbox),
        )
        hosts = HostListTask(
            source=HttpHostListSource(
                http=self._http,
                address=self.settings.host_list or self.settings.log_service,
            ),
            clock=self._clock,
            interval_s=HOST_LIST_INTERVAL_S,
            outbox=region.inbox,
        )
        ports = RegionPorts(
            reader=read_region,
            appender=append_region,
            orders=orders,
            probes=probes.inbox,
            loads=loads.inbox,
            views=(self._tasks.view.inbox,),
        )
        for name, work in (
            ("region", region.run(ports)),
            ("region-read", read_region.run()),
            ("region-append", append_region.run()),
            ("configuration", configuration.run()),
            ("configuration-read", configuration.read_task.run()),
            ("configuration-append", configuration.append_task.run()),
            ("keys", self._tasks.keys.run()),
            ("keys-read", read_keys.run()),
            ("orders", orders.run()),
            ("probes", probes.run()),
            ("loads", loads.run()),
            ("hosts", hosts.run()),
            ("peers", self._tasks.peers.run()),
            ("view", self._tasks.view.run()),
        ):
            task = asyncio.create_task(work, name=name)
            task.add_done_callback(self._note_end)
            self._running.append(task)

    def _note_end(self, task: "asyncio.Task[None]") -> None:
        """End the node when a task fails: a half node must not serve."""
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        events.emit(events.Event.TASK_FAILED, task=task.get_name(), error=error)
        self.failed.set()

    async def stop(self) -> int:
        """Stop gracefully; return the number of requests that were cut.

        The node leaves the address answer first, waits until cached answers
        have aged, refuses new requests as not run, and waits for those in
        progress.
        """
        settings = self.settings
        events.emit(
            events.Event.NODE_LEAVING,
            node=settings.node,
            in_flight=self._path.in_flight,
        )
        self._set_phase(NodePhase.LEAVING)
        await self._give_lease_up()
        await self._tasks.peers.announce()
        await asyncio.sleep(settings.address_ttl_s + ADDRESS_MARGIN_S)
        self._requests.refuse_new()
        deadline = self._clock() + settings.drain_timeout_s
        while self._path.in_flight and self._clock() < deadline:
            await asyncio.sleep(IDLE_POLL_S)
        cut = self._path.in_flight
        self._set_phase(NodePhase.STOPPED)
        await self._tasks.peers.announce()
        await self.kill()
        events.emit(
            events.Event.NODE_STOPPED, node=settings.node, in_flight=cut
        )
        return cut

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
        self._http.close()
        self._probe_http.close()

    def _set_phase(self, phase: NodePhase) -> None:
        own = self._table.own
        self._table.update_own(
            phase=phase, load=own.load, revision=own.revision
        )

    async def _give_lease_up(self) -> None:
        done: asyncio.Future[None]
        done = asyncio.get_running_loop().create_future()
        await self._tasks.region.inbox.send(LeaseGivenUp(done))
        await done
