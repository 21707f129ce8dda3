"""A serving node on the platform, assembled from its tasks and servers."""

import asyncio
from collections.abc import Callable
import random
import signal
import socket
from typing import Any
import uuid

import msgspec
from tornado import httpserver, httputil

from chervilrock.clients.curlpool import CurlPool
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.liveness import ConnectionLiveness
from chervilrock.decisions.serving.admission.callerbuffers import find_budget
from chervilrock.decisions.serving.groups.stalls import (
    compute_stall_limits,
    StandstillMeter,
)
from chervilrock.decisions.serving.servers.evacuations import Evacuations
from chervilrock.decisions.serving.servers.warmups import WarmupBounds
from chervilrock.decisions.serving.view import GroupEndpoint, NodeEntry
from chervilrock.edges.serving.callers import CallerEdge
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.simpleedge import Reply, SimpleEdge
from chervilrock.events import emit, Event
from chervilrock.metrics import CONTENT_TYPE
from chervilrock.node.binding import bind_address, Binding
from chervilrock.platform import directory
from chervilrock.platform.engines import HttpEngineControl
from chervilrock.platform.operator import (
    decode_configuration,
    decode_evacuation,
)
from chervilrock.platform.servers import decode_server
from chervilrock.platform.settings import NodeSettings
from chervilrock.platform.store import StoreClient
from chervilrock.serving_metrics import ServingMetrics
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.faults import Work
from chervilrock.tasks.serving.messages import StallReported
from chervilrock.tasks.serving.node import NodeTask
from chervilrock.tasks.serving.outbound import CONTACT_PATH, Ports
from chervilrock.tasks.serving.peermessages import (
    decode_announcement,
    decode_crash_report,
    decode_statement,
    encode_acknowledgement,
    EXTENSION,
    is_statement,
)
from chervilrock.tasks.serving.state import RetryBounds, ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue

MAX_REQUESTS = 1024
"""Greatest number of concurrent requests to backend servers, far above the
slots of all groups."""

CALLER_SEND_BUFFER_BYTES = 128 * 1024
"""Send buffer of each caller's socket where the memory of the process is
limited. By default the system buffers up to 4 MB for a caller that does not
read; answers have some ten kilobytes."""

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024

ADDRESS_TTL_S = 1.0
"""Time for which callers may cache addresses. Some cache them three times as
long, so a stopping node serves until then."""

SEND_POLL_INTERVAL_S = 0.01
"""Interval between two checks whether the last answers were sent."""

IDLE_CONNECTION_TIMEOUT_S = 60.0
"""Time after which an idle connection is closed, unless the configuration
allows a longer one."""

LOGGED_STANDSTILL_S = 0.1
"""Shortest time for which this node stood still that is logged."""

WATCH_INTERVAL_S = 0.05
"""Interval between two checks for groups that have stalled."""

AnswerFunction = Callable[[str, dict[str, str], bytes], Reply]
"""Answers a request from its path, query and body."""


class ServingNode:
    """Listening sockets, tasks and request handlers of one process."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        count_dropped_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        """Create a node that is bound to its addresses and does not answer yet.

        Args:
          settings: settings of the node.
          count_dropped_lines: returns the number of dropped log lines.

        Raises:
          OSError: an address is in use.
        """
        self._settings = settings
        self._count_dropped_lines = count_dropped_lines
        ip = settings.ip
        self._callers_binding = _bind(settings.callers_address)
        self._ready_binding = _bind(settings.ready_address)
        self._directory_binding = _bind(settings.directory_address)
        self._peer_binding = _bind(f"{ip}:{settings.peer_port}")
        self._own = NodeEntry(
            node=settings.node,
            incarnation=uuid.uuid4().hex[:12],
            peer_address=self._peer_binding.address,
            callers_address=self._callers_binding.address,
            data_centre=settings.data_centre,
            cores=settings.cores,
        )
        self._state = ServingState(
            own=self._own,
            bounds=RetryBounds(
                ratio=settings.repeat_ratio,
                slack=settings.repeat_slack,
                window_s=settings.repeat_window_s,
            ),
            generator=random.Random(),
            warmups=WarmupBounds(
                overage=settings.warmup_overage, slack=settings.warmup_slack
            ),
            evacuations=Evacuations(
                evacuation_s=settings.evacuation_s,
                data_centres=settings.data_centres,
            ),
        )
        self._waitqueue = WaitQueue()
        self._metrics = ServingMetrics()
        self._client = HttpClient(source_ip=settings.source_ip)
        self._pool = CurlPool(
            max_requests=MAX_REQUESTS,
            max_body_size=MAX_ANSWER_BYTES,
            source_ip=settings.source_ip,
        )
        self._task = NodeTask(
            own=self._own,
            ports=Ports(
                store=StoreClient(
                    client=self._client, address=settings.store_address
                ),
                engines=HttpEngineControl(client=self._client),
                client=self._client,
                decode_configuration=decode_configuration,
                decode_server=decode_server,
                liveness=ConnectionLiveness(source_ip=settings.source_ip),
                decode_evacuation=decode_evacuation,
            ),
            state=self._state,
            waitqueue=self._waitqueue,
        )
        context = Context(
            state=self._state,
            waitqueue=self._waitqueue,
            pool=self._pool,
            metrics=self._metrics,
            poisondetector=self._task.poisondetector,
        )
        self._callers = CallerEdge(
            context=context,
            budget=find_budget(settings.memory_mb),
            idle_timeout_s=IDLE_CONNECTION_TIMEOUT_S,
        )
        self._servers: list[httpserver.HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = asyncio.Event()

    @property
    def own(self) -> NodeEntry:
        """Identity and addresses of the node."""
        return self._own

    @property
    def state(self) -> ServingState:
        """State of the node, for tests and the state dump."""
        return self._state

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader."""
        return self._task.is_leader

    @property
    def is_relay(self) -> bool:
        """Whether the node relays announcements of the leader."""
        return self._task.is_relay

    @property
    def directory_address(self) -> str:
        """IP:port that returns the addresses for callers."""
        return self._directory_binding.address

    @property
    def ready_address(self) -> str:
        """IP:port of the readiness check."""
        return self._ready_binding.address

    def start(self) -> None:
        """Accept connections and start the tasks.

        Raises:
          OSError: the address for metrics is in use.
        """
        settings = self._settings
        peers = SimpleEdge(
            answer=self._guard(self._answer_peer), field=EXTENSION
        )
        lookups = SimpleEdge(answer=self._guard(self._answer_platform))
        if settings.memory_mb:
            for listener in self._callers_binding.sockets:
                # Accepted sockets inherit it.
                listener.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_SNDBUF,
                    CALLER_SEND_BUFFER_BYTES,
                )
        self._callers_server = self._serve(self._callers_binding, self._callers)
        self._serve(self._ready_binding, lookups)
        self._serve(self._directory_binding, lookups)
        self._serve(self._peer_binding, peers, accepts_compression=True)
        if settings.metrics_port:
            metrics = _bind(f"{settings.ip}:{settings.metrics_port}")
            self._serve(metrics, peers)
        for coroutine in (self._task.run(), self._watch_groups()):
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)
        emit(
            Event.SERVING_STARTED,
            node=self._own.node,
            incarnation=self._own.incarnation,
            address=settings.callers_address,
            store=settings.store_address,
        )

    async def stop(self, *, may_serve: bool = True) -> None:
        """Serve until callers have moved to other nodes, then close.

        Each request gets an answer: those that cannot end within the grace
        period are rejected as soon as that is known. A leader stays until
        another node leads or the grace period ends.

        Args:
          may_serve: whether to accept requests meanwhile; those in progress are
            completed in any case.
        """
        started_at = read_clock()
        state = self._state
        state.is_stopping = True
        state.shutdown.begin(
            self._settings.stop_within_s, started_at, may_serve=may_serve
        )
        emit(
            Event.SERVING_STOPPING,
            node=self._own.node,
            grace_s=self._settings.stop_within_s,
            running=len(self._callers.exchanges),
        )
        await self._task.resign()
        while read_clock() < state.shutdown.answers_until:
            # Waiting requests may have to be rejected.
            self._waitqueue.notify()
            if self._may_exit(read_clock()):
                break
            await asyncio.sleep(WATCH_INTERVAL_S)
        await self._send_last_answers()
        stopped_at = read_clock()
        emit(
            Event.SERVING_STOPPED,
            node=self._own.node,
            cut=len(self._callers.answers),
            seconds=round(stopped_at - started_at, 3),
            left_s=round(
                started_at + self._settings.stop_within_s - stopped_at, 3
            ),
        )
        await self.close()

    def _may_exit(self, now: float) -> bool:
        """Return whether no caller or node needs this process any more."""
        is_busy = (
            self._callers.answers.count_awaited(now) > 0
            or self._task.has_followers
        )
        return self._state.shutdown.may_exit(
            now,
            is_busy=is_busy,
            has_other_nodes=self._state.has_other_nodes(),
        )

    async def _send_last_answers(self) -> None:
        """Accept no connections, answer all requests and send the answers."""
        shutdown = self._state.shutdown
        shutdown.end_serving(read_clock())
        self._callers_server.stop()
        self._callers.end_at_shutdown()
        self._waitqueue.notify()
        while (now := read_clock()) < shutdown.exits_at:
            if not self._callers.answers.count_awaited(now):
                break
            await asyncio.sleep(SEND_POLL_INTERVAL_S)

    def reload(self) -> None:
        """Log that the settings file has changed; it lists no peers."""
        emit(Event.SETTINGS_RELOADED, node=self._own.node)

    def _serve(
        self,
        binding: Binding,
        edge: httputil.HTTPServerConnectionDelegate,
        *,
        accepts_compression: bool = False,
    ) -> httpserver.HTTPServer:
        server = httpserver.HTTPServer(
            edge,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            decompress_request=accepts_compression,
        )
        server.add_sockets(binding.sockets)
        self._servers.append(server)
        return server

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        self._callers.record_exit(read_clock())
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        await self._callers.wait_for_ends()
        self._client.close()

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        """End the process when a task has failed.

        A node without one of its tasks must not serve requests.
        """
        if task.cancelled():
            return
        error = task.exception()
        emit(Event.TASK_FAILED, task=repr(task.get_coro()), error=repr(error))
        self.failed.set()

    async def _watch_groups(self) -> None:
        """Check periodically what callers read, and which groups stalled."""
        meter = StandstillMeter(interval_s=WATCH_INTERVAL_S)
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = read_clock()
            self._exclude_standstill(meter.measure(now))
            self._callers.memory.update(now)
            self._callers.answers.update()
            if self._state.reachability.is_cut_off:
                self._callers.end_silent_sends(now)
            self._metrics.view_age.set(max(0.0, now - self._state.view_time))
            draining = self._state.draining
            for endpoint in (*self._state.view.groups, *draining.values()):
                self._watch_group(endpoint, now)
            served = {
                served_endpoint.group
                for served_endpoint in self._state.view.groups
            }
            for group in set(self._state.watches) - served:
                if not self._state.watches[group].running:
                    del self._state.watches[group]
            for group in set(draining) - set(self._state.watches):
                del draining[group]

    def _exclude_standstill(self, seconds: float) -> None:
        """Record that this node stood still, and so did its streams."""
        if not seconds:
            return
        for detector in self._state.watches.values():
            detector.exclude(seconds)
        self._metrics.count_standstill(seconds)
        if seconds >= LOGGED_STANDSTILL_S:
            emit(
                Event.NODE_STOOD_STILL,
                duration_ms=round(seconds * 1000),
                running=len(self._callers.exchanges),
            )

    def _watch_group(self, endpoint: GroupEndpoint, now: float) -> None:
        detector = self._state.watches.get(endpoint.group)
        engine = self._state.find_engine(endpoint.service)
        if detector is None or engine is None or not detector.running:
            return
        model = engine.models.get(endpoint.model)
        limits = compute_stall_limits(
            engine,
            time_factor=1.0 if model is None else model.time_factor,
            running=self._state.count_requests(endpoint.server),
        )
        if not detector.is_stalled(limits, now):
            return
        self._task.report_stall(endpoint.group, now)
        streams = tuple(detector.list_streams())
        moved = self._callers.record_stall(streams, now)
        if moved or not detector.is_stall_logged:
            detector.is_stall_logged = True
            emit(
                Event.GROUP_SILENT,
                group=endpoint.group,
                server=endpoint.server,
                streams=len(streams),
                moved=moved,
                limit_ms=round(limits.between_events_s * 1000),
            )

    def _guard(self, answer: AnswerFunction) -> AnswerFunction:
        """Return a function that answers 500 where another one raises."""

        def answer_always(
            path: str, query: dict[str, str], body: bytes
        ) -> Reply:
            try:
                return answer(path, query, body)
            except Exception as error:
                self._state.faults.record(Work.REQUEST, path, error)
                return Reply(status=500)

        return answer_always

    def _answer_platform(
        self, path: str, query: dict[str, str], body: bytes
    ) -> Reply:
        """Answer readiness checks and address lookups."""
        del body
        state = self._state
        if path == directory.READY_PATH:
            is_ready = state.routes is not None and not state.is_stopping
            return Reply(status=200 if is_ready else 503)
        if path == directory.ADDRESSES_PATH:
            data_centre = directory.read_data_centre(query)
            addresses = list(
                self._task.list_callers_addresses(data_centre, read_clock())
            )
            if not addresses:
                return Reply(status=503)
            return Reply(
                status=200,
                body=directory.encode_addresses(addresses, ADDRESS_TTL_S),
            )
        return Reply(status=404)

    def _answer_peer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> Reply:
        """Answer other nodes, and operators who read state or metrics."""
        now = read_clock()
        rest = path.removeprefix("/peer/")
        if path == "/peer/announcement":
            extension = query.get(EXTENSION, "")
            return self._answer_announcement(body, extension, now)
        if path == "/peer/ends":
            return self._answer_crash_report(body, now)
        if path == "/peer/release":
            return self._release(body, now)
        if path == "/peer/configuration":
            return Reply(status=200, body=self._task.get_document())
        if is_statement(rest):
            return self._answer_statement(rest, body)
        if rest == CONTACT_PATH:
            contact = self._task.find_contact(now)
            return Reply(status=200, body=msgspec.json.encode(contact))
        if path.startswith("/peer/silence/"):
            self._task.mailbox.offer(StallReported(rest.partition("/")[2]))
            return Reply(status=200)
        if path == "/state":
            state = self._task.describe(now)
            state["caller_buffers"] = self._callers.memory.describe()
            dump = msgspec.json.encode(state, enc_hook=str)
            return Reply(status=200, body=dump)
        if path == "/metrics":
            return self._answer_metrics(now)
        return Reply(status=404)

    def _answer_announcement(
        self, body: bytes, extension: str, now: float
    ) -> Reply:
        announcement = decode_announcement(body, extension)
        if announcement is None:
            return Reply(status=400)
        answer = encode_acknowledgement(
            self._task.handle_announcement(announcement, now)
        )
        return Reply(
            status=200,
            body=answer.body,
            headers={EXTENSION: answer.extension} if answer.extension else {},
        )

    def _answer_crash_report(self, body: bytes, now: float) -> Reply:
        report = decode_crash_report(body)
        if report is None:
            return Reply(status=400)
        self._task.poisondetector.record_report(report, now)
        return Reply(status=200)

    def _release(self, body: bytes, now: float) -> Reply:
        """Release what an operator names from being withheld."""
        feature = body.decode(errors="replace").strip()
        is_known = self._task.poisondetector.release(feature, now)
        return Reply(status=200 if is_known else 404)

    def _answer_statement(self, name: str, body: bytes) -> Reply:
        report = decode_statement(name, body)
        if report is None:
            return Reply(status=400)
        self._task.mailbox.offer(report)
        return Reply(status=200)

    def _answer_metrics(self, now: float) -> Reply:
        metrics = self._metrics
        state = self._state
        metrics.running_requests.set(len(self._callers.exchanges))
        metrics.waiting_requests.set(len(self._waitqueue))
        metrics.unsent_answers.set(len(self._callers.answers))
        metrics.leads.set(1 if self._task.is_leader else 0)
        metrics.set_host_counts(self._task.host_counts)
        metrics.set_store_ages(self._task.list_store_ages(now))
        metrics.revision_age.set(self._task.find_revision_age(now))
        metrics.revision_lag.set(self._task.find_revision_lag(now))
        metrics.configuration_unreadable.set(
            1 if self._task.is_configuration_unreadable else 0
        )
        metrics.leader_probes.set(self._task.leader_probe.probes)
        metrics.startup_rejections.set(self._state.startup.rejected)
        statements = self._state.statements
        metrics.limited_servers.set(len(statements.limits.list_limited()))
        metrics.cold_servers.set(len(statements.limits.list_cold()))
        metrics.blocked_pools.set(len(self._state.admission.list_blocked(now)))
        metrics.pausing_servers.set(len(statements.pauses.list_pausing(now)))
        metrics.evacuated_data_centres.set(
            len(self._state.evacuations.evacuated)
        )
        metrics.leaving_servers.set(len(statements.departures))
        metrics.cut_off.set(1 if state.reachability.is_cut_off else 0)
        metrics.withheld_suspects.set(self._state.suspects.count_withheld())
        metrics.calls_sent_again.set(self._client.calls_sent_again)
        metrics.set_faults(state.faults.count_by_work())
        metrics.set_unreadable(state.faults.count_unreadable())
        metrics.lines_dropped.set(self._count_dropped_lines())
        routes = self._state.routes
        if routes is not None:
            metrics.revision.set(routes.configuration.revision)
        return Reply(
            status=200, body=metrics.render(), content_type=CONTENT_TYPE
        )


def _bind(address: str) -> Binding:
    """Listen on IP:port."""
    ip, _, port = address.rpartition(":")
    return bind_address(ip, int(port))


async def run(
    settings: NodeSettings, count_dropped_lines: Callable[[], int]
) -> int:
    """Run a node until SIGTERM or SIGINT and return the exit code."""
    node = ServingNode(
        settings=settings, count_dropped_lines=count_dropped_lines
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    node.start()
    waits: list[asyncio.Task[Any]] = [
        asyncio.create_task(stopping.wait()),
        asyncio.create_task(node.failed.wait()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    # The view of a node whose task has failed is not updated any more.
    await node.stop(may_serve=not node.failed.is_set())
    return 1 if node.failed.is_set() else 0
