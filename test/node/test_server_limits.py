"""Servers that name the requests a second that they take from all nodes."""

import asyncio
import itertools
import math

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from bench.limits import count_allowed, count_most
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import run_world, World

NODES = 3
SERVERS = {"model_servers": 16, "plain_servers": 2}

TOLD_S = 0.5
"""Time after which the nodes that passed such an answer on have to obey."""

CALLS_S = 5.0
PAUSE_S = 0.05


async def call_all_nodes(
    world: World, path: str = "/draft/x", *, seconds: float = CALLS_S
) -> set[int]:
    """Send requests to all nodes in turn for some seconds.

    Returns:
      The statuses that callers got.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    calls = []
    for node in itertools.cycle(range(NODES)):
        if loop.time() >= end:
            break
        headers = world.make_headers()
        if not path.startswith("/draft/"):
            del headers["X-Model"]
        call = world.call(path, node=node, headers=headers)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(PAUSE_S)
    return {answer.status for answer in await asyncio.gather(*calls)}


def test_a_server_gets_no_more_requests_than_it_takes() -> None:
    # No node read the limit that a server names in its answers.
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        server.limit = "1.0"
        since = asyncio.get_running_loop().time() + TOLD_S
        await call_all_nodes(world)
        most = float(count_most(server.arrivals, since))
        assert_that(most, LessThan(count_allowed(1.0) + 1))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_plain_server_gets_no_more_requests_than_it_takes() -> None:
    async def scenario(world: World) -> None:
        server = next(one for one in world.site.servers if not one.domain)
        server.limit = "1.0"
        since = asyncio.get_running_loop().time() + TOLD_S
        statuses = await call_all_nodes(world, "/look/x")
        most = float(count_most(server.arrivals, since))
        assert_that(most, LessThan(count_allowed(1.0) + 1))
        assert_that(statuses, Equals({200}))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_callers_of_a_model_with_limits_alone_are_told_to_come_back() -> None:
    async def scenario(world: World) -> None:
        # All hosts, so that no group without a limit can be formed.
        hosts = [one for one in world.site.servers if one.domain]
        for server in hosts:
            server.limit = "0.5"
        since = asyncio.get_running_loop().time() + TOLD_S
        statuses = await call_all_nodes(world)
        for server in hosts:
            most = float(count_most(server.arrivals, since))
            assert_that(most, LessThan(count_allowed(0.5) + 1))
        assert_that(statuses, Equals({200, 503}))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_all_nodes_know_of_a_limit_and_of_its_end() -> None:
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        calling = asyncio.create_task(call_all_nodes(world, seconds=math.inf))

        def know(rate: float | None) -> bool:
            name = server.server
            return all(
                node.state.limits.find_rate(name) == rate
                for node in world.nodes
            )

        server.limit = "20"
        await world.wait(lambda: know(20.0), "a limit is known everywhere")
        server.limit = "12.5"
        await world.wait(lambda: know(12.5), "another limit is known")
        server.limit = ""
        await world.wait(lambda: know(None), "no limit is known any more")
        calling.cancel()

    run_world(scenario, nodes=NODES, **SERVERS)


def test_a_limit_outlives_the_leader() -> None:
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        server.limit = "20"
        await call_all_nodes(world)
        leader = next(node for node in world.nodes if node.leads)
        world.nodes.remove(leader)
        await leader.close()
        await world.wait(
            lambda: any(node.leads for node in world.nodes), "a new leader"
        )
        told = [
            one.server for node in world.nodes for one in node.state.view.limits
        ]
        assert_that(told, Equals([server.server] * len(world.nodes)))

    run_world(scenario, nodes=NODES, **SERVERS)
