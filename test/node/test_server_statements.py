"""Servers that ask for a pause, or say that they leave."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from bench.statements import DRAIN_S, find_broken_pauses, find_late_arrivals
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import run_world, World

NODES = 2
SERVERS = {"model_servers": 16, "plain_servers": 3}

PAUSE_S = 2.5
"""Longer than the time for which a failing server is avoided."""


def ask_for_pause(server: SiteServer, pause: str = str(PAUSE_S)) -> None:
    """Let a server reject one request of each node and ask for a pause."""
    server.pause = pause
    server.to_reject = NODES


def list_broken(world: World) -> list[str]:
    """Return the pauses that were not obeyed."""
    return find_broken_pauses(world.site.servers, world.sends)


def test_servers_that_ask_for_a_pause_get_no_requests_until_it_ends() -> None:
    # Failure: a node avoids the server for a fixed time, and only while others
    # are free.
    async def scenario(world: World) -> None:
        paused = [*world.site.list_heads(LARGE), *world.list_plain_servers()]
        for server in paused:
            ask_for_pause(server)
        await asyncio.gather(
            world.call_in_turn("/draft/x", seconds=PAUSE_S + 1),
            world.call_in_turn("/look/x", seconds=PAUSE_S + 1),
        )
        asked = [server for server in paused if server.rejections]
        assert_that(len(asked) > len(paused) / 2, Is(True))
        assert_that(list_broken(world), HasLength(0))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_servers_that_say_they_leave_get_no_later_requests() -> None:
    # Failure: a node believes the entry in the store, which still says ready.
    async def scenario(world: World) -> None:
        world.site.list_heads(LARGE)[0].leaving = "1"
        world.list_plain_servers()[0].leaving = "1"
        statuses = await asyncio.gather(
            world.call_in_turn("/draft/x", seconds=DRAIN_S + 2),
            world.call_in_turn("/look/x", seconds=DRAIN_S + 2),
        )
        late = find_late_arrivals(world.site.servers, world.sends)
        assert_that(late, HasLength(0))
        assert_that(set(statuses[0] + statuses[1]), Equals({200}))

    run_world(scenario, nodes=NODES, **SERVERS)
