"""Servers that name the requests a second that they take from all nodes."""

import asyncio
import bisect
import itertools

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import run_world, World

NODES = 3
SERVERS = {"model_servers": 16, "plain_servers": 2}

WINDOW_S = 4.0
TOLD_S = 0.5
"""Time after which the nodes that passed such an answer on have to obey."""

CALLS_S = 5.0
PAUSE_S = 0.05


def count_allowed(rate: float) -> float:
    """Return how many requests a server may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


def count_most(server: SiteServer, since: float) -> int:
    """Return the most requests that a server got in a window."""
    times = [one for one in server.arrivals if one >= since]
    return max(
        (
            number + 1 - bisect.bisect_left(times, time - WINDOW_S)
            for number, time in enumerate(times)
        ),
        default=0,
    )


async def call_all_nodes(world: World) -> None:
    """Send requests to all nodes in turn for some seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + CALLS_S
    calls = []
    for node in itertools.cycle(range(NODES)):
        if loop.time() >= end:
            break
        call = world.call("/draft/x", node=node)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*calls)


def test_a_server_gets_no_more_requests_than_it_takes() -> None:
    # No node read the limit that a server names in its answers.
    async def scenario(world: World) -> None:
        server = world.site.list_heads(LARGE)[0]
        server.limit = "1.0"
        since = asyncio.get_running_loop().time() + TOLD_S
        await call_all_nodes(world)
        most = float(count_most(server, since))
        assert_that(most, LessThan(count_allowed(1.0) + 1))

    run_world(scenario, nodes=NODES, **SERVERS)
