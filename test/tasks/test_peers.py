"""Tests of the peer task on a fake channel, and of untrusted digests."""

import asyncio
from collections.abc import Awaitable, Callable
import random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure, Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from chervilrock import events
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.edges.peers import make_peer_routes, PeerContext
from chervilrock.generated.interfaces import (
    DataCentreReport,
    HeartbeatReport,
    NodePhase,
    PeerDigest,
    PeerNode,
    Roster,
    RosterWant,
)
from chervilrock.tasks.peers import decode_digest, PeerChannel, PeerTask
from test.decisions.membership.peer_nodes import make_node
from test.decisions.membership.peer_world import (
    FakeConfiguration,
    FakeShareTracker,
    make_stored,
)

STEP_S = 0.5
REFUSED: Result[PeerDigest, PlatformError] = Failure(
    PlatformError(PlatformErrorKind.REFUSED, "nobody there")
)


class FakePeerChannel(PeerChannel):
    """Channel that passes digests between the tasks of a test.

    Attributes:
      tasks: running tasks by address
      answers: fixed answers that replace those of a node, by address
      sent: addresses of receivers with the digests sent to them
    """

    def __init__(self) -> None:
        self.tasks: dict[str, PeerTask] = {}
        self.answers: dict[str, bytes] = {}
        self.sent: list[tuple[str, PeerDigest]] = []

    async def exchange(
        self, address: str, digest: PeerDigest
    ) -> Result[PeerDigest, PlatformError]:
        self.sent.append((address, digest))
        await asyncio.sleep(0)
        if address in self.answers:
            return decode_digest(self.answers[address])
        if address not in self.tasks:
            return REFUSED
        decoded = decode_digest(msgspec.json.encode(digest)).unwrap()
        answer = self.tasks[address].answer(decoded)
        return decode_digest(msgspec.json.encode(answer))


class Site:
    """Peer tasks that share a channel and a clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.channel = FakePeerChannel()
        self.tables: dict[str, MemberTable] = {}
        self.configurations: dict[str, FakeConfiguration] = {}

    def add(self, name: str, seeds: tuple[str, ...]) -> PeerTask:
        table = MemberTable(own=make_node(name))
        configuration = FakeConfiguration()
        task = PeerTask(
            table=table,
            channel=self.channel,
            localconfiguration=configuration,
            shares=FakeShareTracker(),
            seeds=seeds,
            clock=lambda: self.now,
            generator=random.Random(name),
            before_exchange=lambda: table.update_own(
                phase=table.own.phase,
                load=0.0,
                revision=configuration.revision,
            ),
        )
        address = table.own.address
        self.channel.tasks[address] = task
        self.tables[name], self.configurations[name] = table, configuration
        return task

    async def run(self, seconds: float) -> None:
        """Advances the clock step by step and runs all tasks at each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for task in list(self.channel.tasks.values()):
                task.begin()
                await task.wait_until_idle()
                task.begin_immediate()
                await task.wait_until_idle()

    def see(self, name: str) -> list[str]:
        return sorted(peer.node for peer in self.tables[name].live(self.now))


@pytest.fixture
def site() -> Site:
    """Three nodes of a data centre; the first is the seed of the others."""
    new_site = Site()
    for name in "abc":
        new_site.add(name, ("a:1",))
    return new_site


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, Any]]:
    """Names of the emitted events, each with its node."""
    emitted: list[tuple[str, Any]] = []

    def emit(event: events.Event, **fields: Any) -> None:
        assert fields.keys() == event.fields
        emitted.append((event.name, fields["node"]))

    monkeypatch.setattr(events, "emit", emit)
    return emitted


def test_tasks_discover_each_other_through_a_seed(site: Site) -> None:
    asyncio.run(site.run(3.0))
    for name in "abc":
        assert_that(site.see(name), Equals(["a", "b", "c"]))


def test_a_lost_peer_and_its_return_are_logged(
    site: Site, logged: list[tuple[str, Any]]
) -> None:
    async def drive() -> None:
        await site.run(5.0)
        lost = site.channel.tasks.pop("c:1")
        await site.run(10.0)
        site.channel.tasks["c:1"] = lost
        await site.run(5.0)

    asyncio.run(drive())
    for name in ("PEER_LOST", "PEER_BACK"):
        assert_that([e for e in logged if e == (name, "c")], HasLength(2))


def test_a_node_that_stops_is_not_logged_as_lost(
    site: Site, logged: list[tuple[str, Any]]
) -> None:
    async def drive() -> None:
        await site.run(5.0)
        table, task = site.tables["c"], site.channel.tasks["c:1"]
        for phase in (NodePhase.LEAVING, NodePhase.STOPPED):
            table.update_own(phase=phase, load=0.0, revision=0)
            await task.announce()
            await site.run(1.0)
        del site.channel.tasks["c:1"]
        await site.run(10.0)

    asyncio.run(drive())
    assert_that(site.see("a"), Equals(["a", "b"]))
    assert_that([name for name, _ in logged], HasLength(0))


def test_configuration_is_sent_only_to_peers_that_request_it(
    site: Site,
) -> None:
    async def drive() -> None:
        await site.run(5.0)
        for configuration in (
            site.configurations["a"],
            site.configurations["b"],
        ):
            configuration.adopt(make_stored(1), site.now)
        site.channel.sent.clear()
        await site.run(5.0)

    asyncio.run(drive())
    assert_that(site.configurations["c"].adopted_revisions, Equals([1]))
    carried = [
        digest for _, digest in site.channel.sent if "configuration" in digest
    ]
    assert_that(len(carried) <= 1, Equals(True))


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"null",
        b"{}",
        b'{"sender": 1}',
        b"\xff\xfe",
        b"[" * 100000,
        msgspec.json.encode({"sender": make_node("x", heartbeat=2**60)}),
        msgspec.json.encode({"sender": make_node("x", revision=-1)}),
        msgspec.json.encode({"sender": make_node("x", load=1e300)}),
        msgspec.json.encode({"sender": make_node("")}),
        msgspec.json.encode({"sender": make_node("x", address="y" * 1000)}),
    ],
)
def test_malformed_answer_of_a_peer_leaves_membership_intact(
    site: Site, answer: bytes
) -> None:
    async def drive() -> None:
        await site.run(3.0)
        del site.channel.tasks["a:1"]
        site.channel.answers["a:1"] = answer
        site.add("d", ("a:1", "b:1"))
        await site.run(12.0)

    asyncio.run(drive())
    for name in "bcd":
        assert_that(site.see(name), Equals(["b", "c", "d"]))


def test_answer_in_the_name_of_this_node_leaves_membership_intact(
    site: Site,
) -> None:
    task = site.channel.tasks["a:1"]
    answer = PeerDigest(sender=make_node("a", heartbeat=10**6))
    site.channel.answers["b:1"] = msgspec.json.encode(answer)
    asyncio.run(site.run(8.0))
    assert_that(site.see("a"), Contains("c"))
    assert_that(task, IsInstance(PeerTask))


def test_exception_in_an_exchange_ends_the_task(site: Site) -> None:
    class FailingChannel(PeerChannel):
        async def exchange(
            self, address: str, digest: PeerDigest
        ) -> Result[PeerDigest, PlatformError]:
            raise RuntimeError("broken")

    async def drive() -> None:
        task = site.add("d", ("a:1",))
        task._channel = FailingChannel()
        task.begin()
        with pytest.raises(RuntimeError, match="broken"):
            await task.wait_until_idle()
        with pytest.raises(RuntimeError, match="broken"):
            task.raise_error()

    asyncio.run(drive())


def is_refused(body: bytes) -> bool:
    """Returns whether bytes are rejected as a digest, without an exception."""
    return isinstance(decode_digest(body), Failure)


names = st.text(max_size=6)
counters = st.integers(-1, 2**64)
peers = st.builds(
    PeerNode,
    node=names,
    incarnation=st.sampled_from(["a", "b", "z", ""]),
    address=names,
    data_centre=st.sampled_from(["d1", "d2", ""]),
    region=names,
    heartbeat=counters,
    phase=st.sampled_from(NodePhase),
    load=st.floats(allow_nan=False, allow_infinity=False),
    revision=counters,
    reachable=st.booleans(),
)
hashes = st.sampled_from(["", "94d350c4", "0"])
digests = st.fixed_dictionaries(
    {"sender": peers},
    optional={
        "heartbeats": st.builds(
            HeartbeatReport,
            members=hashes,
            heartbeats=st.lists(counters, max_size=4),
            loads=st.lists(counters, max_size=4),
        ),
        "data_centres": st.lists(
            st.builds(
                DataCentreReport,
                data_centre=st.sampled_from(["d1", "d2", "d3", ""]),
                clock=counters,
                members=hashes,
                load=counters,
                revision=counters,
                holders=st.text("0123456789abcdef-_ x", max_size=5),
            ),
            max_size=3,
        ),
        "wants": st.lists(
            st.builds(
                RosterWant,
                data_centre=st.sampled_from(["d1", "d2", "d3"]),
                base=hashes,
            ),
            max_size=6,
        ),
        "rosters": st.lists(
            st.builds(
                Roster,
                data_centre=st.sampled_from(["d1", "d2", ""]),
                members=hashes,
                base=hashes,
                added=st.lists(peers, max_size=3),
                removed=st.lists(names, max_size=2),
            ),
            max_size=3,
        ),
        "wants_configuration": st.booleans(),
        "expected_heartbeat": counters,
        "configuration": st.recursive(
            st.none() | st.integers() | st.text(max_size=3),
            lambda inner: st.lists(inner, max_size=3),
            max_leaves=5,
        ),
    },
)


@given(digest=digests)
def test_any_digest_is_refused_or_answered(digest: dict[str, Any]) -> None:
    site = Site()
    task = site.add("a", ())
    site.tables["a"].beat(site.now)
    decoded = decode_digest(msgspec.json.encode(digest))
    if isinstance(decoded, Success):
        for _ in range(2):
            answer = msgspec.json.encode(task.answer(decoded.unwrap()))
            assert_that(is_refused(answer), Equals(False))
    assert_that(site.see("a"), Contains("a"))


@given(body=st.binary(max_size=200))
def test_any_bytes_are_refused(body: bytes) -> None:
    assert_that(is_refused(body), Equals(True))


class FakePeerContext(PeerContext):
    """Node that answers each digest with its own entry."""

    def answer_digest(self, digest: PeerDigest) -> PeerDigest:
        return PeerDigest(sender=make_node("a"))


PostBody = Callable[[bytes], Awaitable[int]]
DriveHandler = Callable[[Callable[[PostBody], Awaitable[None]]], None]


@pytest.fixture
def drive_handler() -> DriveHandler:
    """Runs a function that can post request bodies to the handler."""

    async def drive(use: Callable[[PostBody], Awaitable[None]]) -> None:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application(make_peer_routes(FakePeerContext())))
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        client = CurlAsyncHTTPClient(force_instance=True)

        async def post(body: bytes) -> int:
            request = HTTPRequest(
                f"http://127.0.0.1:{port}/peer/exchange",
                method="POST",
                body=body,
            )
            response = await client.fetch(request, raise_error=False)
            return response.code

        await use(post)
        client.close()
        server.stop()
        await server.close_all_connections()

    return lambda use: asyncio.run(drive(use))


def test_handler_answers_400_to_invalid_digests(
    drive_handler: DriveHandler,
) -> None:
    good = msgspec.json.encode({"sender": make_node("b")})
    bodies = [b"", b"{", b"\xff", b"[]", good[:-1], good.replace(b"0", b"x")]
    bodies.append(msgspec.json.encode({"sender": make_node("b", load=-1.0)}))

    async def use(post: PostBody) -> None:
        assert_that(await post(good), Equals(200))
        for body in bodies:
            assert_that(await post(body), Equals(400))

    drive_handler(use)
