"""Streams that have begun and cannot go on at once.

Failure: a stream whose caller had events was ended by decisions that are made
for requests that wait, although its time limit was far away.
"""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.node.serving import ServingNode
from chervilrock.standin.site.proxy import LinkFault
from chervilrock.standin.site.servers import ServerFault, SiteServer
from chervilrock.standin.site.site import make_configuration
from test.node.serving_site import Answer, make_events, run_world, World

EVENTS = 60
"""Events of a stream that runs for 0.6 s on an idle machine."""

LIMIT_MS = 9000
REPAIR_S = 2.6
"""Time until the servers work again: longer than a request waits for a slot."""

BREAK_S = 0.1
"""Time within which a server breaks off its streams."""

PAUSE_S = 5.0
"""Longer than callers may wait for the next event, and less than the limit."""

SILENCE_S = 1.3


class Stream:
    """A stream in progress and the server that runs it."""

    def __init__(self, world: World) -> None:
        self._headers = world.make_headers(
            X_Token_Count=f"10,{EVENTS}", X_Deadline_Ms=str(LIMIT_MS)
        )
        self.request_id = self._headers["X-Request-Id"]
        call = world.call("/draft/x", headers=self._headers)
        self.answer: asyncio.Task[Answer] = asyncio.create_task(call)

    @property
    def wanted(self) -> bytes:
        return make_events(self.request_id, EVENTS)


async def begin_stream(world: World) -> tuple[Stream, SiteServer]:
    """Start a stream and wait until its caller has events."""
    document = make_configuration(2)
    for route in document["routes"]:
        route["timeout_ms"] = LIMIT_MS
    world.site.store.write_configuration(document)
    await world.wait(
        lambda: all(has_revision(node, 2) for node in world.nodes),
        "the revision is in force",
    )
    stream = Stream(world)
    await world.wait(lambda: has_begun(world, stream), "the stream begins")
    server, _ = world.find_runs(stream.request_id)[0]
    return stream, server


def has_revision(node: ServingNode, revision: int) -> bool:
    routes = node.state.routes
    return routes is not None and routes.configuration.revision == revision


def has_begun(world: World, stream: Stream) -> bool:
    return any(
        exchange._connection.has_begun
        for node in world.nodes
        for name, exchange in node._callers.exchanges.items()
        if name == stream.request_id
    )


def is_cut_off(node: ServingNode) -> bool:
    return node.state.reachability.is_cut_off


def set_rejections(world: World, count: int) -> None:
    for server in world.site.servers:
        server.to_reject = count


def test_a_begun_stream_goes_on_when_servers_take_requests_again() -> None:
    # Failure: it was cut when the only attempt left had been rejected.
    async def scenario(world: World) -> None:
        stream, server = await begin_stream(world)
        set_rejections(world, 1000)
        server.fault = ServerFault.BREAK
        await asyncio.sleep(REPAIR_S)
        set_rejections(world, 0)
        server.fault = ServerFault.NONE
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))

    run_world(scenario, model_servers=12)


def test_a_begun_stream_outlasts_long_pauses_of_all_servers() -> None:
    # Failure: it was cut when all pauses were longer than two seconds.
    async def scenario(world: World) -> None:
        stream, server = await begin_stream(world)
        for other in world.site.servers:
            other.pause = str(PAUSE_S)
        set_rejections(world, 1)
        server.fault = ServerFault.BREAK
        await asyncio.sleep(BREAK_S)
        server.fault = ServerFault.NONE
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))

    run_world(scenario, model_servers=12)


def test_a_begun_stream_waits_for_a_group_of_its_model(monkeypatch) -> None:
    # Failure: it was cut at once, as no group served its model.
    async def scenario(world: World) -> None:
        stream, server = await begin_stream(world)
        with monkeypatch.context() as patch:
            state = world.nodes[0].state
            patch.setattr(state, "choose_group", lambda *_arguments: None)
            patch.setattr(state, "list_groups", lambda *_arguments: [])
            server.fault = ServerFault.BREAK
            await asyncio.sleep(REPAIR_S)
        server.fault = ServerFault.NONE
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))

    run_world(scenario, model_servers=12)


def test_a_begun_stream_outlasts_a_cut_of_all_nodes() -> None:
    # Failure: it was cut when no other node reached servers either.
    async def scenario(world: World) -> None:
        stream, _ = await begin_stream(world)
        ip = "127.0.1.1"
        world.cuts.cut([ip], LinkFault.SILENT)
        await world.wait(
            lambda: world.nodes[0].state.reachability.is_cut_off,
            "the node notices the cut",
        )
        await asyncio.sleep(0.5)
        world.cuts.restore([ip])
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))

    run_world(scenario, has_own_ips=True, model_servers=12)


def test_a_begun_stream_outlasts_a_cut_that_all_nodes_know() -> None:
    # Failure: it ended, as a cut-off node to which it was passed on failed it
    # for the earlier send.
    async def scenario(world: World) -> None:
        ips = [f"127.0.1.{number}" for number in (1, 2, 3)]
        world.cuts.cut(ips[1:], LinkFault.SILENT)
        await asyncio.gather(
            *(world.call("/draft/x", node=node) for node in (1, 2))
        )
        await world.wait(
            lambda: all(is_cut_off(node) for node in world.nodes[1:]),
            "the other nodes know that they are cut off",
        )
        stream, _ = await begin_stream(world)
        world.cuts.cut(ips, LinkFault.SILENT)
        await world.wait(lambda: is_cut_off(world.nodes[0]), "all know")
        await asyncio.sleep(0.5)
        world.cuts.restore(ips)
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))

    run_world(scenario, nodes=3, has_own_ips=True, model_servers=12)


def test_a_stopping_node_leaves_streams_at_silent_servers() -> None:
    # Failure: it took them away and then had no time to send them again.
    async def scenario(world: World) -> None:
        stream, server = await begin_stream(world)
        stopping = asyncio.create_task(world.nodes[0].stop(may_serve=False))
        server.fault = ServerFault.SILENT
        await asyncio.sleep(SILENCE_S)
        server.fault = ServerFault.NONE
        answer = await stream.answer
        assert_that(answer.body, Equals(stream.wanted))
        await stopping

    run_world(scenario, model_servers=12)
