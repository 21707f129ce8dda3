"""Servers that warm up, from the requests of callers to the servers."""

import asyncio
import math

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    Is,
    LessThan,
    Not,
)

from bench.limits import count_most_within
from chervilrock.decisions.serving.view import ServingView
from chervilrock.standin.site.servers import ColdPeriod, SiteServer
from chervilrock.standin.site.site import LARGE, make_configuration
from chervilrock.tasks.serving.state import ServingState
from test.node.serving_site import run_world, World

NODES = 3
SERVERS = {"model_servers": 16, "plain_servers": 2}

WARMUP_S = 3.0
WARMUP_PER_S = 1.0
ALLOWED = WARMUP_PER_S * 1.5 + 5
"""Requests that a cold server may get in any second; without the limit the
callers of these tests send about 10 to each plain server."""


async def configure(world: World, **warmup: object) -> None:
    """Write a configuration in which the servers of all services warm up."""
    document = make_configuration(2)
    for service in document["services"]:
        service.update({"warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S})
        service.update(warmup)
    world.site.store.write_configuration(document)
    await world.wait(
        lambda: all(node.state.revision == 2 for node in world.nodes),
        "the configuration is in force",
    )


def count_nodes_with_cold(world: World, server: str) -> int:
    """Return the number of nodes that know that a server is cold."""
    return sum(
        server in node.state.statements.limits.list_cold()
        for node in world.nodes
    )


def count_most(server: SiteServer, since: float = -math.inf) -> float:
    """Return the most requests of a second of the last cold period."""
    period = server.cold_periods[-1]
    begin = max(since, period.begin)
    times = server.list_cold_arrivals(
        ColdPeriod(server.server, begin, period.end)
    )
    assert_that(len(times), GreaterThan(0))
    return float(count_most_within(1.0, times))


async def wait_until_warm(world: World, server: SiteServer) -> None:
    """Wait until a server is warm and all nodes know it."""
    now = asyncio.get_running_loop().time
    await world.wait(
        lambda: (
            now() > server.cold_periods[-1].end
            and not count_nodes_with_cold(world, server.server)
        ),
        "the server is warm",
    )


def test_a_server_that_starts_cold_gets_few_requests_from_the_first_one(
    monkeypatch,
) -> None:
    # Failure: nodes send to a new server before they know that it is cold, as
    # an earlier version of the view lists it.
    views: list[ServingView] = []
    apply_view = ServingState.apply_view

    def record_view(state: ServingState, view: ServingView, now: float) -> None:
        views.append(view)
        apply_view(state, view, now)

    monkeypatch.setattr(ServingState, "apply_view", record_view)

    async def scenario(world: World) -> None:
        await configure(world)
        server = world.list_plain_servers()[0]
        server.warmup_s = WARMUP_S
        server.depart()
        statuses = await world.call_in_turn("/look/x", seconds=WARMUP_S + 1)
        assert_that(set(statuses), Equals({200}))
        await wait_until_warm(world, server)
        assert_that(count_most(server), LessThan(ALLOWED + 1e-6))
        first = next(v for v in views if server.server in v.list_targets())
        limited = [limit.server for limit in first.limits]
        assert_that(limited, Equals([server.server]))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_server_that_starts_again_under_its_identifier_is_cold() -> None:
    # Failure: what nodes know of the former start lets them send as before.
    async def scenario(world: World) -> None:
        await configure(world)
        server = world.list_plain_servers()[0]
        server.warmup_s = WARMUP_S
        server.depart(keeps_identifier=True)
        await world.wait(
            lambda: count_nodes_with_cold(world, server.server) == NODES,
            "all nodes know that the server is cold",
        )
        since = asyncio.get_running_loop().time()
        await world.call_in_turn("/look/x", seconds=WARMUP_S)
        assert_that(count_most(server, since), LessThan(ALLOWED + 1e-6))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_head_that_turns_cold_again_gets_few_requests_until_it_is_warm() -> (
    None
):
    async def scenario(world: World) -> None:
        await configure(world)
        head = world.site.list_heads(LARGE)[0]
        calling = asyncio.create_task(world.call_in_turn(seconds=math.inf))
        head.turn_cold(WARMUP_S)
        await world.wait(
            lambda: count_nodes_with_cold(world, head.server) == NODES,
            "all nodes know that the head is cold",
        )
        since = asyncio.get_running_loop().time()
        leader = next(node for node in world.nodes if node.is_leader)
        page = await world.fetch(leader.own.peer_address, "/state")
        dump = msgspec.json.decode(page.body)
        usable = dump["usable_slots"][head.server]
        assert_that(usable, LessThan(1.0))
        assert_that(dump["cold"][head.server], LessThan(ALLOWED / 2))
        await wait_until_warm(world, head)
        calling.cancel()
        assert_that(count_most(head, since), LessThan(ALLOWED + 1e-6))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_new_leader_announces_the_same_senders_of_a_cold_server() -> None:
    # Failure: the warm-up ends, or gets other senders, with the leader.
    async def scenario(world: World) -> None:
        await configure(world)
        server = world.list_plain_servers()[0]
        server.turn_cold(3600.0)
        await world.wait(
            lambda: count_nodes_with_cold(world, server.server) == NODES,
            "all nodes know that the server is cold",
        )
        leader = next(node for node in world.nodes if node.is_leader)
        former = leader.state.view
        world.nodes.remove(leader)
        await leader.close()
        await world.wait(
            lambda: (
                any(node.is_leader for node in world.nodes)
                and all(
                    node.state.view.term > former.term for node in world.nodes
                )
            ),
            "a new leader",
        )
        (limit,) = world.nodes[0].state.view.limits
        senders = set(former.limits[0].senders) - {leader.own.node}
        assert_that(senders <= set(limit.senders), Is(True))
        assert_that(count_nodes_with_cold(world, server.server), Equals(2))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_without_a_rate_of_the_service_no_server_is_cold(log_lines) -> None:
    # Failure: a warm-up is obeyed though the configuration asks for none.
    async def scenario(world: World) -> None:
        await configure(world, warmup_per_s="-1")
        server = world.list_plain_servers()[0]
        server.warmup_s = WARMUP_S
        server.depart()
        former = server.server
        await world.wait(
            lambda: (
                server.server != former
                and all(
                    server.server in node.state.view.list_targets()
                    for node in world.nodes
                )
            ),
            "the server is in the view",
        )
        assert_that(count_nodes_with_cold(world, server.server), Equals(0))
        log = "".join(log_lines)
        assert_that(log, Contains("configuration-field-ignored"))
        assert_that(log, Not(Contains("warmup-begun")))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_malformed_warm_up_in_an_entry_is_logged_and_ignored(
    log_lines,
) -> None:
    # Failure: the server is lost to callers, or nobody learns why.
    async def scenario(world: World) -> None:
        await configure(world)
        server = world.list_plain_servers()[0]
        server.warmup_statement = -5
        server.register()
        await world.wait(
            lambda: "warmup-unreadable" in "".join(log_lines),
            "the malformed value is logged",
        )
        for node in world.nodes:
            targets = node.state.view.list_targets()
            assert_that(server.server in targets, Is(True))
        assert_that(count_nodes_with_cold(world, server.server), Equals(0))

    run_world(scenario, nodes=NODES, **SERVERS)
