"""What a node keeps of finished requests, without a garbage collector."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import gc
from typing import Any
import weakref

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from chervilrock.edges import relay
from chervilrock.edges.serving import connection, exchange, receiver
from chervilrock.standin.site.proxy import LinkFault
from chervilrock.standin.site.servers import ServerFault
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import run_world, World
from test.node.test_slow_readers import Caller

TRACKED = (
    exchange.Exchange,
    connection.CallerConnection,
    receiver.AnswerReceiver,
    relay.Transfer,
)
"""These refer to the body of a request or to its answer."""

Scenario = Callable[[World], Awaitable[Any]]


class Tracker:
    """Weak references to all objects of some types that are created."""

    def __init__(self) -> None:
        self._references: list[weakref.ref[Any]] = []
        self.created = 0

    def add(self, created: object) -> None:
        self.created += 1
        self._references.append(weakref.ref(created))

    def list_alive(self) -> list[str]:
        alive = [reference() for reference in self._references]
        return [type(one).__name__ for one in alive if one is not None]


@pytest.fixture
def tracker(monkeypatch: pytest.MonkeyPatch) -> Iterator[Tracker]:
    """Track what is created while the garbage collector is off."""
    tracker = Tracker()

    def track(tracked_type: type) -> None:
        initialize = tracked_type.__init__  # type: ignore[misc]

        def initialize_and_track(self: Any, *args: Any, **options: Any) -> None:
            initialize(self, *args, **options)
            tracker.add(self)

        monkeypatch.setattr(tracked_type, "__init__", initialize_and_track)

    for tracked_type in TRACKED:
        track(tracked_type)
    gc.collect()
    gc.disable()
    yield tracker
    gc.enable()


async def answer_stream(world: World) -> None:
    answer = await world.call("/draft/x")
    assert_that(answer.status, Equals(200))


async def answer_large(world: World) -> None:
    headers = make_plain_headers(world)
    answer = await world.call("/book/x", headers=headers, body=b"pad-1000000")
    assert_that(len(answer.body), GreaterThan(1_000_000))


async def reject_unknown_path(world: World) -> None:
    answer = await world.call("/nothing/x")
    assert_that(answer.status, Equals(404))


async def reject_full(world: World) -> None:
    for server in world.site.servers:
        server.fault = ServerFault.FULL
    answer = await world.call("/book/x", headers=make_plain_headers(world))
    assert_that(answer.status, Equals(503))


async def retry(world: World) -> None:
    for server in world.list_plain_servers():
        server.fault = ServerFault.FAIL
    headers = make_plain_headers(world)
    answer = await world.call("/look/x", headers=headers)
    assert_that(answer.status, Equals(500))


async def lose_server(world: World) -> None:
    for server in world.list_plain_servers():
        server.fault = ServerFault.LOSE
    answer = await world.call("/book/x", headers=make_plain_headers(world))
    assert_that(answer.status, Equals(502))


async def break_stream(world: World) -> None:
    for server in world.site.servers:
        server.fault = ServerFault.BREAK
    await world.call("/draft/x")


async def pass_deadline(world: World) -> None:
    for server in world.list_plain_servers():
        server.work_s = 1.0
    headers = make_plain_headers(world, X_Deadline_Ms="100")
    answer = await world.call("/book/x", headers=headers)
    assert_that(answer.status, Equals(504))


async def leave_midway(world: World) -> None:
    caller = Caller(world)
    await caller.send(body=b"body", X_Token_Count="10,400")
    await caller.reader.readuntil(b"id: 2\n")
    caller.writer.close()


async def leave_while_waiting(world: World) -> None:
    for server in world.list_plain_servers():
        server.work_s = 0.3
    callers = [Caller(world) for _ in range(24)]
    for caller in callers:
        await caller.send("/book/x", body=b"body", X_Model="", X_Token_Count="")
    await world.wait(
        lambda: len(world.nodes[0]._waitqueue) > 0, "requests wait"
    )
    for caller in callers:
        caller.writer.close()


async def move_stalled_streams(world: World) -> None:
    for head in world.site.list_heads(LARGE):
        head.fault = ServerFault.SILENT
    calls = [
        asyncio.create_task(world.call("/draft/x", headers=headers))
        for headers in (
            world.make_headers(X_Token_Count="10,100") for _ in range(3)
        )
    ]
    await world.wait(
        lambda: any(server.left for server in world.site.servers),
        "a stream is moved away",
    )
    for server in world.site.servers:
        server.fault = ServerFault.NONE
    await asyncio.gather(*calls)


async def exceed_memory(world: World) -> None:
    callers = [Caller(world) for _ in range(8)]
    for caller in callers:
        await caller.send(
            "/book/x", body=b"pad-600000", X_Model="", X_Token_Count=""
        )
    for caller in callers:
        await caller.read()


async def stop_node(world: World) -> None:
    for server in world.list_plain_servers():
        server.work_s = 30.0
    calls = [
        asyncio.create_task(world.call("/book/x", headers=headers))
        for headers in (make_plain_headers(world) for _ in range(24))
    ]
    await world.wait(
        lambda: len(world.nodes[0]._waitqueue) > 0, "requests wait"
    )
    await world.nodes[0].stop()
    await asyncio.gather(*calls)


def make_plain_headers(world: World, **changes: str) -> dict[str, str]:
    return world.make_headers(X_Model="", X_Token_Count="", **changes)


async def check_released(
    world: World, tracker: Tracker, scenario: Scenario
) -> None:
    """Run a scenario and wait until nothing of its requests is left."""
    await scenario(world)
    assert_that(tracker.created, GreaterThan(0))
    await world.wait(
        lambda: not world.nodes[0]._callers.exchanges, "all requests ended"
    )
    for _ in range(100):
        if not tracker.list_alive():
            break
        await asyncio.sleep(0.02)
    assert_that(tracker.list_alive(), HasLength(0))


@pytest.mark.parametrize(
    "scenario",
    [
        answer_stream,
        answer_large,
        reject_unknown_path,
        reject_full,
        retry,
        lose_server,
        break_stream,
        pass_deadline,
        leave_midway,
        leave_while_waiting,
        move_stalled_streams,
    ],
)
def test_a_finished_request_is_released(
    tracker: Tracker, scenario: Scenario
) -> None:
    # Failure: bodies and answers of finished requests form cycles, and the
    # process exceeds its memory before the garbage collector finds them.
    run_world(lambda world: check_released(world, tracker, scenario))


def test_a_request_that_another_node_sends_is_released(
    tracker: Tracker,
) -> None:
    async def scenario(world: World) -> None:
        world.cuts.cut(["127.0.1.1"], LinkFault.RESET)
        node = world.nodes[0]
        while not node.state.reachability.is_cut_off:
            await world.call("/draft/x")
        answer = await world.call("/draft/x")
        assert_that(answer.status, Equals(200))

    run_world(
        lambda world: check_released(world, tracker, scenario),
        nodes=2,
        has_own_ips=True,
    )


def test_a_rejected_body_is_released(tracker: Tracker) -> None:
    async def scenario(world: World) -> None:
        body = b"x" * 1_000_000
        answer = await world.call(
            "/book/x", headers=make_plain_headers(world), body=body
        )
        assert_that(answer.status, Equals(503))

    run_world(
        lambda world: check_released(world, tracker, scenario), memory_mb=4.0
    )


def test_an_answer_that_ends_for_memory_is_released(tracker: Tracker) -> None:
    run_world(
        lambda world: check_released(world, tracker, exceed_memory),
        memory_mb=4.0,
    )


def test_requests_that_end_with_their_node_are_released(
    tracker: Tracker,
) -> None:
    run_world(
        lambda world: check_released(world, tracker, stop_node), grace_s=1.5
    )
