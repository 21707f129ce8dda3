"""Evacuations from socket to socket: what the servers get, and the callers."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
)

from chervilrock.decisions.serving.groups import controller
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.servers.evacuations import Evacuations
from chervilrock.standin.site.servers import ServerFault, SiteServer
from chervilrock.standin.site.site import make_configuration, SMALL
from chervilrock.tasks.clock import read_clock
from test.node.serving_site import make_events, run_world, World

EVAC_MS = 1000
"""Time allowed for an evacuation, of which nodes use 0.4 s."""

TWO: dict[str, Any] = {"data_centres": ("a", "b"), "evac_ms": EVAC_MS}
EVENTS = 250
"""Events of a stream that lasts longer than the groups serve."""

LOOK = "/look/x"
DRAFT = "/draft/x"


@pytest.fixture(autouse=True)
def quick_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Close groups sooner, and cut the streams of others sooner."""
    monkeypatch.setattr(controller, "EVACUATION_CLOSE_S", 0.8)
    monkeypatch.setattr(GroupRegistry, "find_longest_timeout", lambda *_: 0.0)
    monkeypatch.setattr(controller, "CLOSE_MARGIN_S", 0.3)


def list_servers(world: World, data_centre: str = "b") -> list[SiteServer]:
    return [
        server
        for server in world.site.servers
        if server.data_centre == data_centre
    ]


def count_arrivals(world: World) -> int:
    """Return the number of requests that reached data centre b."""
    return sum(len(server.arrivals) for server in list_servers(world))


def list_joins(world: World) -> list[dict[str, object]]:
    return [
        order
        for server in list_servers(world)
        for order in server.orders
        if order["op"] == "join"
    ]


def is_closed(world: World, *names: str) -> Callable[[], bool]:
    """Return whether nothing may be sent to data centres from any node."""

    def check() -> bool:
        return all(
            node.state.evacuations.list_closed(read_clock()) == set(names)
            for node in world.nodes
        )

    return check


async def evacuate(world: World, *names: str) -> None:
    for name in names:
        world.site.store.write_evacuation(name)
    await world.wait(is_closed(world, *names), "nothing is sent there")


async def assert_obeyed(world: World, seconds: float = 0.6) -> None:
    """Check that data centre b gets nothing and that the callers are served."""
    before = count_arrivals(world)
    for path, model in ((LOOK, ""), (DRAFT, SMALL)):
        statuses = await world.call_in_turn(path, seconds=seconds, model=model)
        assert_that(statuses, AllMatch(Equals(200)))
    assert_that(count_arrivals(world), Equals(before))


async def call_look(world: World) -> int:
    return (
        await world.call(LOOK, headers=world.make_headers(X_Model=""))
    ).status


def test_groups_move_and_return_without_a_cut_stream() -> None:
    # Groups that close were dissolved after a time limit, with their streams.
    async def scenario(world: World) -> None:
        streams: list[asyncio.Task[object]] = []
        wanted = []
        while not any(server.streams for server in list_servers(world)):
            headers = world.make_headers(X_Token_Count=f"10,{EVENTS}")
            wanted.append(headers["X-Request-Id"])
            call = world.call(DRAFT, headers=headers, node=len(wanted) % 2)
            streams.append(asyncio.create_task(call))
            await asyncio.sleep(0.05)
        await evacuate(world, "b")
        joins = len(list_joins(world))
        await assert_obeyed(world)
        for request_id, stream in zip(wanted, streams, strict=True):
            answer = await stream
            events = make_events(request_id, EVENTS)
            assert_that(answer.body, Equals(events))  # type: ignore[attr-defined]
            assert_that(world.find_runs(request_id), HasLength(1))
        servers = list_servers(world)
        await world.wait(
            lambda: not any(server.is_head for server in servers),
            "no group is left there",
        )
        assert_that(sum(len(server.cut) for server in servers), Equals(0))
        assert_that(list_joins(world), HasLength(joins))
        kept = {server.server for server in world.site.list_heads(SMALL)}
        world.site.store.write_evacuation("b", is_evacuated=False)
        await world.wait(
            lambda: any(server.is_head for server in servers), "groups again"
        )
        heads = {server.server for server in world.site.list_heads(SMALL)}
        assert_that(kept - heads, HasLength(0))

    run_world(scenario, nodes=2, **TWO)


def test_others_are_preferred_at_once() -> None:
    # Requests went on to the data centre until the end of the grace.
    async def scenario(world: World) -> None:
        world.add_node(data_centre="b")
        await world.wait(world.serves_all, "a node there serves")
        evacuations = world.nodes[1].state.evacuations
        world.site.store.write_evacuation("b")
        await world.wait(lambda: bool(evacuations), "the node knows")
        await assert_obeyed(world, 0.5)
        assert_that(evacuations.list_closed(read_clock()), HasLength(0))

    run_world(scenario, data_centres=("a", "b"))


def test_without_any_data_centre_callers_are_told_at_once() -> None:
    # A request waited for a group that does not come, to its time limit.
    async def scenario(world: World) -> None:
        heads = world.site.list_heads(SMALL)
        headers = world.make_headers(
            X_Token_Count=f"10,{2 * EVENTS}", X_Model=SMALL
        )
        stream = asyncio.create_task(world.call(DRAFT, headers=headers))
        await world.wait(
            lambda: any(server.streams for server in heads), "a stream runs"
        )
        for server in heads:
            server.fault = ServerFault.FULL
            server.pause = "1.6"
        pauses = world.nodes[0].state.statements.pauses
        while len(pauses.list_pausing(read_clock())) < len(heads):
            headers = world.make_headers(X_Model=SMALL)
            await world.call(DRAFT, headers=headers)
        waiting = asyncio.create_task(
            world.call(DRAFT, headers=world.make_headers(X_Model=SMALL))
        )
        await evacuate(world, "a", "b")
        # It waits for the end of a pause.
        answer = await asyncio.wait_for(waiting, 0.4)
        assert_that(answer.status, Equals(503))
        await world.wait(
            lambda: any(
                server.group is not None and server.group["state"] == "closing"
                for server in world.site.servers
            ),
            "a group closes",
        )
        before = sum(len(s.arrivals) for s in world.site.servers)
        for path in (DRAFT, LOOK):
            began = read_clock()
            model = SMALL if path == DRAFT else ""
            headers = world.make_headers(X_Model=model)
            answer = await world.call(path, headers=headers)
            assert_that(answer.status, Equals(503))
            assert_that(float(answer.headers["Retry-After"]), GreaterThan(0.0))
            assert_that(answer.body, Contains(b"evacuated"))
            assert_that(read_clock() - began, LessThan(0.3))
        assert_that(
            sum(len(s.arrivals) for s in world.site.servers), Equals(before)
        )
        await stream

    run_world(scenario, **TWO)


def test_a_chosen_slot_is_given_up_before_the_first_byte(monkeypatch) -> None:
    # A request whose server was chosen before the time was over was sent.
    async def scenario(world: World) -> None:
        store = world.site.store
        store.write_evacuation("a")
        store.write_evacuation("b")
        nothing: frozenset[str] = frozenset()
        monkeypatch.setattr(Evacuations, "list_closed", lambda *_: nothing)
        evacuations = world.nodes[0].state.evacuations
        await world.wait(
            lambda: evacuations.is_closed("b", read_clock()), "closed"
        )
        before = count_arrivals(world)
        assert_that(await call_look(world), Equals(503))
        assert_that(count_arrivals(world), Equals(before))

    run_world(scenario, **TWO)


def test_retries_and_resumed_streams_go_elsewhere(
    monkeypatch, log_lines
) -> None:
    # The leader may not know yet: a view that lists the servers is no reason.
    async def scenario(world: World) -> None:
        monkeypatch.setattr(
            controller.Controller, "set_evacuated", lambda *_: None
        )
        await evacuate(world, "b")
        before = count_arrivals(world)
        for server in list_servers(world, "a"):
            server.fault = ServerFault.BREAK
        headers = world.make_headers(X_Token_Count="10,8")
        await world.call(DRAFT, headers=headers)
        runs = world.find_runs(headers["X-Request-Id"])
        assert_that(len(runs), GreaterThan(0))
        for server in list_servers(world, "a"):
            server.fault = ServerFault.FAIL
        assert_that(await call_look(world), Equals(502))
        assert_that(count_arrivals(world), Equals(before))

    run_world(scenario, **TWO)
    # The search offers none of them, so that no send has to be held back.
    held = [line for line in log_lines if "E7414" in line]
    assert_that(held, HasLength(0))


@pytest.mark.parametrize("is_leader", [True, False])
def test_after_a_loss_or_a_restart_nodes_obey(is_leader) -> None:
    # A new leader formed groups there; a restarted node sent for another 2 s.
    async def scenario(world: World) -> None:
        await evacuate(world, "b")
        joins = len(list_joins(world))
        (lost,) = [n for n in world.nodes if n.is_leader is is_leader][:1]
        await lost.close()
        world.nodes.remove(lost)
        started = world.restart_node(lost)
        await world.wait(lambda: bool(started.state.view.groups), "a view")
        assert_that(is_closed(world, "b")(), Is(True))
        await world.wait(
            lambda: any(node.is_leader for node in world.nodes), "a leader"
        )
        await assert_obeyed(world, 1.0)
        assert_that(list_joins(world), HasLength(joins))

    run_world(scenario, nodes=2, **TWO)


def test_an_evacuation_outlives_a_store_that_lost_its_record() -> None:
    # The restored store has no record, which is no word of the operator.
    async def scenario(world: World) -> None:
        store = world.site.store
        store.write_evacuation("a")
        await evacuate(world, "a", "b")
        store.restore(60.0)
        store.write_configuration(make_configuration(2))
        await world.wait(
            lambda: all(node.state.revision == 2 for node in world.nodes),
            "the restored store was read",
        )
        await asyncio.sleep(0.3)
        assert_that(is_closed(world, "a", "b")(), Is(True))
        store.write_evacuation("a", is_evacuated=False)
        await world.wait(is_closed(world, "b"), "one returns")

    run_world(scenario, nodes=2, **TWO)


def test_records_that_are_not_valid_change_nothing(log_lines) -> None:
    async def scenario(world: World) -> None:
        topic = world.site.store.topic("keyed.op")
        for key, value in (
            ("evacuate/nowhere", b"{}"),
            ("evacuate/", b"{}"),
            ("evacuate/b", b"\xff"),
        ):
            topic.append(key, value)
        world.site.store.write_configuration(make_configuration(2))
        node = world.nodes[0]
        await world.wait(lambda: node.state.revision == 2, "read")
        assert_that(node.state.evacuations.recorded, HasLength(0))

    run_world(scenario, **TWO)
    unreadable = [line for line in log_lines if "E7336" in line]
    assert_that(unreadable, HasLength(3))
