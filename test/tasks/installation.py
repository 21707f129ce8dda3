"""Node tasks before a store that falls silent, in virtual time.

Nodes speak to each other and to the store by plain calls. An answer that the
silence of the store swallows never comes, also not after the store is back,
and a read that it held at that moment is forgotten.
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
from chervilrock.platform.store import TIMEOUT_S
from chervilrock.tasks.serving import node as node_module
from chervilrock.tasks.serving import suspicion as suspicion_module
from chervilrock.tasks.serving.node import NodeTask
from chervilrock.tasks.serving.outbound import Ports
from chervilrock.tasks.serving.peermessages import (
    decode_announcement,
    decode_ends,
)
from chervilrock.tasks.serving.room import WaitingRoom
from chervilrock.tasks.serving.state import RepeatBounds, ServingState

STORE_S = 0.004
"""Time that the store takes for an answer."""

LINK_S = 0.001
"""Time from one node to another."""

HEARTBEAT_S = 0.025
"""Time between two records of servers."""

STEP_S = 0.01
"""How exactly it is noted when a revision comes in force."""


SERVICE = "desk"
"""The plain service of the only server."""

STAYING = b"stays"
LEAVING = b"leaves"
"""Entries of the server."""


class Fault(enum.Enum):
    """What becomes of calls to the store.

    Attributes:
      SILENT: they are carried out and not answered.
      RESET: they fail, those under way at once; while it lasts, further ones
        are not answered.
      BUSY: they fail at once; reads that are held are forgotten.
    """

    SILENT = "silent"
    RESET = "reset"
    BUSY = "busy"


class Store:
    """Topics that all nodes share.

    Attributes:
      era: how often it came back from a copy.
      newest_s: time that it takes to return the newest records of a topic,
        for those that are longer than others.
    """

    def __init__(self) -> None:
        self.era = 0
        self.newest_s: dict[Topic, float] = {}
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
        """Come back from a copy: later records are gone."""
        limit = asyncio.get_running_loop().time() - age_s
        self.era += 1
        for topic, times in self._times.items():
            kept = sum(one <= limit for one in times)
            del times[kept:]
            del self.topics[topic][kept:]


class Line(KeyedStore):
    """The store as one node reaches it.

    Attributes:
      calls: calls that were made.
    """

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._fault: Fault | None = None
        self._broken = asyncio.Event()
        self.calls = 0

    def begin(self, fault: Fault) -> None:
        """Answer no call that is under way, and no later one."""
        self._fault = fault
        self._broken.set()
        self._broken = asyncio.Event()

    def end(self) -> None:
        """Answer the calls that begin from now on."""
        if self._fault is None:
            return
        self._fault = None
        self._broken.set()
        self._broken = asyncio.Event()

    async def fetch_newest(self, topic: Topic) -> Any:
        return await self._call(self._list_newest(topic), TIMEOUT_S)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Any:
        work = self._wait_for(topic, start, wait_s)
        return await self._call(work, TIMEOUT_S + wait_s)

    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> Any:
        work = self._append(topic, key, value, expected_end)
        return await self._call(work, TIMEOUT_S)

    async def _call(self, work: Any, timeout_s: float) -> Any:
        self.calls += 1
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        fault = self._fault
        broken = asyncio.ensure_future(self._broken.wait())
        call = asyncio.ensure_future(work)
        try:
            if fault is None:
                await asyncio.wait(
                    {call, broken},
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if call.done():
                    return Success(call.result())
                fault = self._fault
            if fault is Fault.BUSY or (fault is Fault.RESET and broken.done()):
                return _fail(PlatformErrorKind.OUTAGE, "no service")
            await asyncio.sleep(max(0.0, end - loop.time()))
            return _fail(PlatformErrorKind.TIMEOUT, "no answer")
        finally:
            call.cancel()
            broken.cancel()

    async def _list_newest(self, topic: Topic) -> KeyedPage:
        await asyncio.sleep(self._store.newest_s.get(topic, STORE_S))
        records = self._store.topics[topic]
        newest = {one.key: one for one in records}
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
        # The store carries out the appends to a topic one after the other.
        async with self._store.appending[topic]:
            await asyncio.sleep(STORE_S)
            records = self._store.topics[topic]
            if expected_end not in (None, len(records)):
                return None
            return self._store.append(topic, key, value)


def _fail(kind: PlatformErrorKind, message: str) -> Any:
    return Failure(PlatformError(kind, message))


class Member(NamedTuple):
    """A node of the installation."""

    task: NodeTask
    state: ServingState
    line: Line
    running: "asyncio.Task[None]"


class PeerClient:
    """Calls other nodes; one that is gone does not answer."""

    def __init__(
        self, *, members: dict[str, Member], own: str, parted: set[str]
    ) -> None:
        self._members = members
        self._own = own
        self._parted = parted

    async def request(self, method: str, url: str, **options: Any) -> Any:
        del method
        address, _, path = url.removeprefix("http://").partition("/")
        await asyncio.sleep(LINK_S)
        member = self._members.get(address)
        is_parted = (address in self._parted) != (self._own in self._parted)
        if member is None or self._own not in self._members or is_parted:
            await asyncio.sleep(options["timeout_s"])
            return _fail(PlatformErrorKind.TIMEOUT, "no answer")
        if path == "peer/configuration":
            body = member.task.get_document()
        elif path == "peer/ends":
            report = decode_ends(options["body"])
            assert report is not None
            now = asyncio.get_running_loop().time()
            member.task.suspicion.note_report(report, now)
            body = b""
        else:
            announcement = decode_announcement(gzip.decompress(options["body"]))
            assert announcement is not None
            now = asyncio.get_running_loop().time()
            answer = member.task.take_announcement(announcement, now)
            body = msgspec.json.encode(answer)
        await asyncio.sleep(LINK_S)
        return Success(HttpAnswer(200, body, 0.0, False))


class Liveness(ServerLiveness):
    """Knows which servers have ended, by their addresses."""

    def __init__(self, *, ended: set[str]) -> None:
        self._ended = ended

    async def is_alive(self, address: str) -> bool:
        await asyncio.sleep(2 * LINK_S)
        return address not in self._ended


class Installation:
    """Nodes, a store and an operator.

    Attributes:
      ended: addresses of servers that have ended.
      parted: addresses of nodes that only reach each other.
      members: the nodes that run, by address.
      failures: how nodes have ended by themselves.
    """

    def __init__(self, *, monkeypatch: Any, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        monkeypatch.setattr(node_module, "read_clock", self.loop.time)
        monkeypatch.setattr(suspicion_module, "read_clock", self.loop.time)
        self.ended: set[str] = set()
        self.parted: set[str] = set()
        self.store = Store()
        self.members: dict[str, Member] = {}
        self.failures: list[BaseException | None] = []
        self.generator = random.Random(seed)
        self._entry = STAYING
        self._starts = 0
        self._confirmed: dict[int, float] = {}
        self._in_force: dict[tuple[str, int], float] = {}
        self._work = [
            asyncio.ensure_future(self._write_heartbeats()),
            asyncio.ensure_future(self._watch()),
        ]

    async def start(self, *, nodes: int, places: int) -> None:
        """Start nodes one upon another and wait until one of them leads."""
        self.change(1)
        for number in range(nodes):
            self.add(f"n{number:02}", f"p{number % places}")
            await asyncio.sleep(self.generator.uniform(0.0, 0.02))
        await asyncio.sleep(5.0)
        assert self.find_leader() is not None

    def change(self, revision: int) -> None:
        """Confirm a revision as the operator."""
        value = str(revision).encode()
        self.store.append(Topic.CONFIGURATION, "config", value)
        self._confirmed[revision] = self.loop.time()

    def leave(self) -> None:
        """Let the only server tell that it leaves."""
        self._entry = LEAVING
        self.store.append(Topic.SERVERS, "s", LEAVING)

    def has_no_server(self) -> bool:
        """Tell whether all nodes know that the server leaves."""
        return all(
            member.state.view.sequence and not member.state.view.servers
            for member in self.members.values()
        )

    def find_leader(self) -> str | None:
        for address, member in self.members.items():
            if member.task.is_leader:
                return address
        return None

    def kill(self, address: str) -> None:
        """End a node; nobody reaches it any more."""
        self.members.pop(address).running.cancel()

    def begin(self, fault: Fault, addresses: Iterable[str] = ()) -> None:
        """Begin a fault of the store for some nodes, or for all."""
        for address in addresses or self.members:
            self.members[address].line.begin(fault)

    def end(self) -> None:
        """End the faults."""
        for member in self.members.values():
            member.line.end()

    def count_calls(self) -> int:
        return sum(one.line.calls for one in self.members.values())

    async def wait(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Wait until a condition holds, or until a time is over."""
        end = self.loop.time() + limit_s
        while not condition() and self.loop.time() < end:
            await asyncio.sleep(STEP_S)

    def is_in_force(self) -> bool:
        """Tell whether all nodes have all revisions."""
        return self.find_lateness(0.0) < float("inf")

    def find_lateness(self, since: float) -> float:
        """Return the longest time until a revision was in force somewhere.

        Args:
          since: time from which on it could be, at the earliest.
        """
        return max(
            self._in_force.get((address, revision), float("inf"))
            - max(confirmed, since)
            for revision, confirmed in self._confirmed.items()
            for address in self.members
        )

    async def stop(self) -> None:
        work = [*self._work, *(one.running for one in self.members.values())]
        for one in work:
            one.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        assert not self.failures, self.failures

    def _note_end(self, running: "asyncio.Task[None]") -> None:
        if not running.cancelled():
            self.failures.append(running.exception())

    def add(self, name: str, place: str) -> None:
        """Start a node."""
        self._starts += 1
        own = NodeEntry(
            name, f"{name}-{self._starts}", name, f"{name}:callers", place
        )
        state = ServingState(
            own=own,
            bounds=RepeatBounds(ratio=0.2, slack=100, window_s=10.0),
            generator=random.Random(self.generator.random()),
        )
        line = Line(store=self.store)
        client: Any = PeerClient(
            members=self.members, own=name, parted=self.parted
        )
        unused: Any = None
        task = NodeTask(
            own=own,
            ports=Ports(
                store=line,
                engines=unused,
                client=client,
                decode_configuration=_decode_configuration,
                decode_server=_decode_server,
                liveness=Liveness(ended=self.ended),
            ),
            state=state,
            room=WaitingRoom(),
        )
        running = asyncio.ensure_future(task.run())
        running.add_done_callback(self._note_end)
        self.members[name] = Member(task, state, line, running)

    async def _write_heartbeats(self) -> None:
        while True:
            self.store.append(Topic.SERVERS, "s", self._entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch(self) -> None:
        """Note when each node has each revision, or a later one."""
        while True:
            now = self.loop.time()
            for address, member in self.members.items():
                for revision in self._confirmed:
                    if revision <= member.state.revision:
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
