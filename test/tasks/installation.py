"""Node tasks with a store that stops answering, in virtual time.

Nodes call each other and the store directly. An answer that is lost in a store
outage is not sent after the outage either, and long polls that are pending when
it begins are dropped.
"""

import asyncio
from collections.abc import Callable, Iterable
import enum
import gzip
import random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import HttpAnswer
from chervilrock.clients.serving import (
    KeyedPage,
    KeyedRecord,
    KeyedStore,
    ServerLiveness,
    Topic,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    Limits,
    Service,
    SiteConfiguration,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.platform.operator import decode_evacuation
from chervilrock.platform.store import TIMEOUT_S
from chervilrock.tasks.serving import node as node_module
from chervilrock.tasks.serving import poisondetector as poisondetector_module
from chervilrock.tasks.serving.node import NodeTask
from chervilrock.tasks.serving.outbound import Ports
from chervilrock.tasks.serving.peermessages import (
    decode_announcement,
    decode_crash_report,
    encode_acknowledgement,
    EXTENSION,
)
from chervilrock.tasks.serving.state import RetryBounds, ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue

STORE_S = 0.004
"""Time in which the store answers a call."""

LINK_S = 0.001
"""One-way delay between two nodes."""

HEARTBEAT_S = 0.025
"""Time between two records that servers write."""

STEP_S = 0.01
"""Resolution of the times at which revisions come into force."""


SERVICE = "desk"
"""Service of the only server, which needs no group."""

STAYING = b"stays"
LEAVING = b"leaves"
"""Entries of the server."""


class Fault(enum.Enum):
    """Outcome of calls to the store during an outage.

    Attributes:
      SILENT: calls are carried out but not answered.
      RESET: pending calls fail at once; later ones are not answered.
      BUSY: calls fail at once; pending long polls are dropped.
    """

    SILENT = "silent"
    RESET = "reset"
    BUSY = "busy"


class Store:
    """Topics that all nodes share.

    Attributes:
      era: number of restores from a backup.
      fetch_newest_s: time for a fetch of the newest records, for each topic
        that takes longer than others.
    """

    def __init__(self) -> None:
        self.era = 0
        self.fetch_newest_s: dict[Topic, float] = {}
        self._times: dict[Topic, list[float]] = {topic: [] for topic in Topic}
        self.topics: dict[Topic, list[KeyedRecord]] = {
            topic: [] for topic in Topic
        }
        self.changed = {topic: asyncio.Event() for topic in Topic}
        self.appending = {topic: asyncio.Lock() for topic in Topic}

    def append(self, topic: Topic, key: str, value: bytes) -> int:
        records = self.topics[topic]
        records.append(KeyedRecord(key, value, len(records)))
        self._times[topic].append(asyncio.get_running_loop().time())
        self.changed[topic].set()
        self.changed[topic] = asyncio.Event()
        return len(records) - 1

    def restore(self, age_s: float) -> None:
        """Restore from a backup of some age, which lacks later records."""
        limit = asyncio.get_running_loop().time() - age_s
        self.era += 1
        for topic, times in self._times.items():
            kept = sum(time <= limit for time in times)
            del times[kept:]
            del self.topics[topic][kept:]


class StoreConnection(KeyedStore):
    """Connection of one node to the store.

    Attributes:
      calls: number of calls that were made.
      timeouts: number of calls that were not answered in time.
    """

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._fault: Fault | None = None
        self._broken = asyncio.Event()
        self._lost = {topic: asyncio.Event() for topic in Topic}
        self.calls = 0
        self.timeouts = 0

    def lose_read(self, topic: Topic) -> None:
        """Lose the answer to the pending call for a topic, or the next one."""
        self._lost[topic].set()

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault that affects pending and later calls."""
        self._fault = fault
        self._broken.set()
        self._broken = asyncio.Event()

    def end_fault(self) -> None:
        """End the fault for calls that begin later."""
        if self._fault is None:
            return
        self._fault = None
        self._broken.set()
        self._broken = asyncio.Event()

    async def fetch_newest(self, topic: Topic) -> Any:
        return await self._call(self._list_newest(topic), TIMEOUT_S, topic)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Any:
        call = self._wait_for(topic, start, wait_s)
        return await self._call(call, TIMEOUT_S + wait_s, topic)

    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> Any:
        call = self._append(topic, key, value, expected_end)
        return await self._call(call, TIMEOUT_S, topic)

    async def _call(
        self, operation: Any, timeout_s: float, topic: Topic
    ) -> Any:
        self.calls += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        fault = self._fault
        broken = asyncio.ensure_future(self._broken.wait())
        lost = asyncio.ensure_future(self._lost[topic].wait())
        call = asyncio.ensure_future(operation)
        try:
            if fault is None:
                await asyncio.wait(
                    {call, broken, lost},
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if lost.done():
                    self._lost[topic].clear()
                elif call.done():
                    return Success(call.result())
                fault = self._fault
            if fault is Fault.BUSY or (fault is Fault.RESET and broken.done()):
                return _make_failure(PlatformErrorKind.OUTAGE, "no service")
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            self.timeouts += 1
            return _make_failure(PlatformErrorKind.TIMEOUT, "no answer")
        finally:
            for pending in (call, broken, lost):
                pending.cancel()

    async def _list_newest(self, topic: Topic) -> KeyedPage:
        await asyncio.sleep(self._store.fetch_newest_s.get(topic, STORE_S))
        records = self._store.topics[topic]
        newest = {record.key: record for record in records}
        return KeyedPage(
            tuple(newest.values()), len(records), era=self._store.era
        )

    async def _wait_for(
        self, topic: Topic, start: int, wait_s: float
    ) -> KeyedPage | None:
        await asyncio.sleep(STORE_S)
        records = self._store.topics[topic]
        if len(records) < start:
            return None
        if len(records) <= start and wait_s:
            changed = self._store.changed[topic]
            waiting = asyncio.ensure_future(changed.wait())
            await asyncio.wait({waiting}, timeout=wait_s)
            waiting.cancel()
            await asyncio.sleep(STORE_S)
        if len(records) < start:
            return None
        return KeyedPage(
            tuple(records[start:]), len(records), era=self._store.era
        )

    async def _append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> int | None:
        # The store serializes the appends to a topic.
        async with self._store.appending[topic]:
            await asyncio.sleep(STORE_S)
            records = self._store.topics[topic]
            if expected_end not in (None, len(records)):
                return None
            return self._store.append(topic, key, value)


def _make_failure(kind: PlatformErrorKind, message: str) -> Any:
    return Failure(PlatformError(kind, message))


class RunningNode(NamedTuple):
    """A running node of the installation."""

    task: NodeTask
    state: ServingState
    connection: StoreConnection
    running: "asyncio.Task[None]"


class PeerClient:
    """Calls other nodes; a killed or partitioned one does not answer."""

    def __init__(
        self,
        *,
        running_nodes: dict[str, RunningNode],
        own: str,
        partitioned: set[str],
        cut_links: set[frozenset[str]],
    ) -> None:
        self._cut_links = cut_links
        self._running_nodes = running_nodes
        self._own = own
        self._partitioned = partitioned

    async def request(self, method: str, url: str, **options: Any) -> Any:
        del method
        address, _, path = url.removeprefix("http://").partition("/")
        await asyncio.sleep(LINK_S)
        node = self._running_nodes.get(address)
        is_partitioned = (address in self._partitioned) != (
            self._own in self._partitioned
        )
        if (
            node is None
            or self._own not in self._running_nodes
            or is_partitioned
            or frozenset((address, self._own)) in self._cut_links
        ):
            await asyncio.sleep(options["timeout_s"])
            return _make_failure(PlatformErrorKind.TIMEOUT, "no answer")
        extension = ""
        if path == "peer/configuration":
            body = node.task.get_document()
        elif path == "peer/leader":
            now = asyncio.get_running_loop().time()
            body = msgspec.json.encode(node.task.find_contact(now))
        elif path == "peer/ends":
            report = decode_crash_report(options["body"])
            assert report is not None
            now = asyncio.get_running_loop().time()
            node.task.poisondetector.record_report(report, now)
            body = b""
        else:
            announcement = decode_announcement(
                gzip.decompress(options["body"]),
                options["headers"].get(EXTENSION, ""),
            )
            assert announcement is not None
            now = asyncio.get_running_loop().time()
            answer = encode_acknowledgement(
                node.task.handle_announcement(announcement, now)
            )
            body, extension = answer
        await asyncio.sleep(LINK_S)
        return Success(HttpAnswer(200, body, 0.0, False, extension))


class Liveness(ServerLiveness):
    """Distinguishes live servers from crashed ones by address."""

    def __init__(
        self, *, crashed: set[str], own: str, cut_off: set[str]
    ) -> None:
        self._crashed = crashed
        self._own = own
        self._cut_off = cut_off

    async def is_alive(self, address: str) -> bool:
        await asyncio.sleep(2 * LINK_S)
        return self._own not in self._cut_off and address not in self._crashed


class Installation:
    """Nodes, a store and an operator.

    Attributes:
      crashed_servers: addresses of servers that have crashed.
      cut_off: addresses of nodes that reach no server.
      partitioned: addresses of nodes that only reach each other.
      cut_links: pairs of addresses of nodes that do not reach each other.
      running_nodes: the running nodes by address.
      failures: errors with which node tasks have ended.
      may_fault: whether nodes may survive faults.
    """

    def __init__(self, *, monkeypatch: Any, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        monkeypatch.setattr(node_module, "read_clock", self.loop.time)
        monkeypatch.setattr(poisondetector_module, "read_clock", self.loop.time)
        self.crashed_servers: set[str] = set()
        self.cut_off: set[str] = set()
        self.partitioned: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.store = Store()
        self.running_nodes: dict[str, RunningNode] = {}
        self.failures: list[BaseException | None] = []
        self.may_fault = False
        self.generator = random.Random(seed)
        self._entry: bytes | None = STAYING
        self._is_writing = True
        self._starts = 0
        self._confirmed: dict[int, float] = {}
        self._in_force: dict[tuple[str, int], float] = {}
        self._background_tasks = [
            asyncio.ensure_future(self._write_heartbeats()),
            asyncio.ensure_future(self._watch_revisions()),
        ]

    async def start(self, *, nodes: int, data_centres: int) -> None:
        """Start nodes shortly after each other; wait until one leads."""
        self.confirm_revision(1)
        for number in range(nodes):
            self.add(f"n{number:02}", f"p{number % data_centres}")
            await asyncio.sleep(self.generator.uniform(0.0, 0.02))
        await asyncio.sleep(5.0)
        assert self.find_leader() is not None

    def confirm_revision(self, revision: int) -> None:
        """Write a revision to the store as the operator."""
        value = str(revision).encode()
        self.store.append(Topic.CONFIGURATION, "config", value)
        self._confirmed[revision] = self.loop.time()

    def mark_server_leaving(self) -> None:
        """Write to the store that the only server is leaving."""
        self._entry = LEAVING
        self.store.append(Topic.SERVERS, "s", LEAVING)

    def remove_server(self) -> None:
        """Remove the entry of the only server, which leaves unannounced."""
        self._entry = None
        self.store.append(Topic.SERVERS, "s", b"")

    def let_entry_lapse(self) -> None:
        """Remove the entry of the only server, which does not write any more.

        No other server writes either, as in an outage of the store.
        """
        self.store.append(Topic.SERVERS, "s", b"")
        self._is_writing = False

    def rewrite_entry(self) -> None:
        """Let the servers write again."""
        self._is_writing = True

    def is_server_missing(self) -> bool:
        """Return whether a node with a view has no server in it."""
        return any(
            node.state.view.sequence and not node.state.view.servers
            for node in self.running_nodes.values()
        )

    def has_no_server(self) -> bool:
        """Return whether no node has the leaving server in its view."""
        return all(
            node.state.view.sequence and not node.state.view.servers
            for node in self.running_nodes.values()
        )

    def find_leader(self) -> str | None:
        for address, node in self.running_nodes.items():
            if node.task.is_leader:
                return address
        return None

    def kill(self, address: str) -> None:
        """Stop a node, which no other node can reach any more."""
        self.running_nodes.pop(address).running.cancel()

    def begin_fault(self, fault: Fault, addresses: Iterable[str] = ()) -> None:
        """Begin a fault of the store for some nodes, or for all."""
        for address in addresses or self.running_nodes:
            self.running_nodes[address].connection.begin_fault(fault)

    def end_fault(self) -> None:
        """End the faults of all nodes."""
        for node in self.running_nodes.values():
            node.connection.end_fault()

    def count_calls(self) -> int:
        return sum(
            node.connection.calls for node in self.running_nodes.values()
        )

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> None:
        """Wait until a condition holds or the time limit has passed."""
        deadline = self.loop.time() + limit_s
        while not condition() and self.loop.time() < deadline:
            await asyncio.sleep(STEP_S)

    def is_in_force(self) -> bool:
        """Return whether all nodes have all revisions."""
        return self.find_lateness(0.0) < float("inf")

    def find_lateness(self, since: float) -> float:
        """Return the longest time until a revision was in force on a node.

        Args:
          since: start of the measured time for revisions that were confirmed
            before.
        """
        return max(
            self._in_force.get((address, revision), float("inf"))
            - max(confirmed, since)
            for revision, confirmed in self._confirmed.items()
            for address in self.running_nodes
        )

    async def stop(self) -> None:
        tasks = [
            *self._background_tasks,
            *(node.running for node in self.running_nodes.values()),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not self.failures, self.failures
        assert self.may_fault or not self.count_faults(), "faults survived"

    def count_faults(self) -> int:
        """Return the number of faults that the running nodes survived."""
        return sum(
            node.state.faults.counts.total()
            for node in self.running_nodes.values()
        )

    def _collect_failure(self, running: "asyncio.Task[None]") -> None:
        if not running.cancelled():
            self.failures.append(running.exception())

    def add(self, name: str, data_centre: str) -> None:
        """Start a node."""
        self._starts += 1
        own = NodeEntry(
            name, f"{name}-{self._starts}", name, f"{name}:callers", data_centre
        )
        state = ServingState(
            own=own,
            bounds=RetryBounds(ratio=0.2, slack=100, window_s=10.0),
            generator=random.Random(self.generator.random()),
        )
        connection = StoreConnection(store=self.store)
        client: Any = PeerClient(
            running_nodes=self.running_nodes,
            own=name,
            partitioned=self.partitioned,
            cut_links=self.cut_links,
        )
        unused: Any = None
        task = NodeTask(
            own=own,
            ports=Ports(
                store=connection,
                engines=unused,
                client=client,
                decode_configuration=_decode_configuration,
                decode_server=_decode_server,
                liveness=Liveness(
                    crashed=self.crashed_servers,
                    own=name,
                    cut_off=self.cut_off,
                ),
                decode_evacuation=decode_evacuation,
            ),
            state=state,
            waitqueue=WaitQueue(),
        )
        running = asyncio.ensure_future(task.run())
        running.add_done_callback(self._collect_failure)
        self.running_nodes[name] = RunningNode(task, state, connection, running)

    async def _write_heartbeats(self) -> None:
        while True:
            # Other servers go on to write.
            key = "s" if self._entry is not None else "other"
            if self._is_writing:
                self.store.append(Topic.SERVERS, key, self._entry or LEAVING)
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_revisions(self) -> None:
        """Record when each node has each revision or a later one."""
        while True:
            now = self.loop.time()
            for address, node in self.running_nodes.items():
                for revision in self._confirmed:
                    if revision <= node.state.revision:
                        self._in_force.setdefault((address, revision), now)
            await asyncio.sleep(STEP_S)


def _decode_configuration(document: bytes) -> Any:
    return Success(
        SiteConfiguration(
            revision=int(document),
            routes=(),
            services={SERVICE: Service(SERVICE, None)},
            keys=None,
            limits=Limits(idle_s=15.0),
        )
    )


def _decode_server(key: str, value: bytes) -> Any:
    return Success(
        BackendServer(
            server=key,
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre="p0",
            domain="",
            is_leaving=value == LEAVING,
            slots=4,
            staged=(),
            membership=None,
        )
    )
