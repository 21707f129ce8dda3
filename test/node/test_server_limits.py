"""Servers that limit the requests a second from all nodes together."""

import asyncio
import math

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from bench.limits import count_allowed, count_most
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import run_world, World

NODES = 3
SERVERS = {"model_servers": 16, "plain_servers": 2}

LIMIT_DELAY_S = 0.5
"""Time after the first answer with a limit from which all nodes keep to it."""

CALL_DURATION_S = 5.0


def list_times(server: SiteServer) -> list[float]:
    """Return the times at which requests reached a server."""
    return [arrival.time for arrival in server.arrivals]


def test_a_server_gets_no_more_requests_than_its_limit() -> None:
    # Failure: nodes ignore the limit that a server names in its answers.
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        server.limit = "1.0"
        since = asyncio.get_running_loop().time() + LIMIT_DELAY_S
        await world.call_in_turn(seconds=CALL_DURATION_S)
        most = float(count_most(list_times(server), since))
        assert_that(most, LessThan(count_allowed(1.0) + 1))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_plain_server_gets_no_more_requests_than_its_limit() -> None:
    async def scenario(world: World) -> None:
        server = next(plain for plain in world.site.servers if not plain.domain)
        server.limit = "1.0"
        since = asyncio.get_running_loop().time() + LIMIT_DELAY_S
        statuses = await world.call_in_turn("/look/x", seconds=CALL_DURATION_S)
        most = float(count_most(list_times(server), since))
        assert_that(most, LessThan(count_allowed(1.0) + 1))
        assert_that(set(statuses), Equals({200}))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_callers_get_503_when_all_groups_of_a_model_are_limited() -> None:
    async def scenario(world: World) -> None:
        # All hosts are limited, so that no group without a limit can form.
        hosts = [host for host in world.site.servers if host.domain]
        for server in hosts:
            server.limit = "0.5"
        since = asyncio.get_running_loop().time() + LIMIT_DELAY_S
        statuses = await world.call_in_turn(seconds=CALL_DURATION_S)
        for server in hosts:
            most = float(count_most(list_times(server), since))
            assert_that(most, LessThan(count_allowed(0.5) + 1))
        assert_that(set(statuses), Equals({200, 503}))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_all_nodes_apply_a_limit_its_change_and_its_end() -> None:
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        calling = asyncio.create_task(world.call_in_turn(seconds=math.inf))

        def all_have_rate(rate: float | None) -> bool:
            name = server.server
            return all(
                node.state.statements.limits.find_rate(name) == rate
                for node in world.nodes
            )

        server.limit = "20"
        await world.wait(
            lambda: all_have_rate(20.0), "all nodes have the limit"
        )
        server.limit = "12.5"
        await world.wait(
            lambda: all_have_rate(12.5), "all nodes have the changed limit"
        )
        server.limit = ""
        await world.wait(
            lambda: all_have_rate(None), "no node has a limit any more"
        )
        calling.cancel()

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_limit_outlives_the_leader() -> None:
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        server.limit = "20"
        await world.call_in_turn(seconds=CALL_DURATION_S)
        leader = next(node for node in world.nodes if node.is_leader)
        world.nodes.remove(leader)
        await leader.close()
        await world.wait(
            lambda: any(node.is_leader for node in world.nodes), "a new leader"
        )
        limited = [
            limit.server
            for node in world.nodes
            for limit in node.state.view.limits
        ]
        assert_that(limited, Equals([server.server] * len(world.nodes)))

    run_world(scenario, nodes=NODES, **SERVERS)
