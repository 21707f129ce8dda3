"""A store that comes back from a copy, from the caller's sockets."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.site.site import make_configuration
from chervilrock.standin.site.store import StoreFault
from test.node.serving_site import make_events, run_world, World

AWAY_S = 0.3
EVENTS = 150
"""Events of a stream that lasts longer than all that happens."""


async def come_back(world: World, age_s: float) -> None:
    store = world.site.store
    store.door.fault = StoreFault.DOWN
    await asyncio.sleep(AWAY_S)
    store.restore(age_s)
    store.door.fault = StoreFault.NONE
    await asyncio.sleep(AWAY_S)
    world.site.write_again()


def test_streams_go_on_and_configurations_come_after_it() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(X_Token_Count=f"10,{EVENTS}")
        stream = asyncio.ensure_future(world.call("/draft/x", headers=headers))
        world.site.store.write_configuration(make_configuration(2))
        await asyncio.sleep(0.2)
        await come_back(world, 2.0)
        answer = await stream
        wanted = make_events(headers["X-Request-Id"], EVENTS)
        assert_that(answer.body, Equals(wanted))
        world.site.store.write_configuration(make_configuration(3))

        def is_in_force() -> bool:
            routes = [node.state.routes for node in world.nodes]
            return all(
                one is not None and one.configuration.revision == 3
                for one in routes
            )

        await world.wait(is_in_force, "the revision in force")
        await world.wait(world.serves_all, "all models served")
        assert_that((await world.call("/draft/x")).status, Equals(200))

    run_world(scenario, nodes=2)


def test_the_next_leader_has_a_greater_term_than_all_before() -> None:
    async def scenario(world: World) -> None:
        before = max(node.state.view.term for node in world.nodes)
        # All records of nodes are gone, and their offsets given out again.
        await come_back(world, 60.0)

        def is_led() -> bool:
            leaders = [node for node in world.nodes if node.leads]
            terms = {node.state.view.term for node in world.nodes}
            return len(leaders) == 1 and len(terms) == 1

        def is_newer() -> bool:
            terms = [node.state.view.term for node in world.nodes]
            return is_led() and min(terms) > before

        await world.wait(is_led, "one leader")
        (leader,) = [node for node in world.nodes if node.leads]
        await leader.close()
        world.nodes.remove(leader)
        await world.wait(is_newer, "a leader with a greater term")
        await world.wait(world.serves_all, "all models served")
        assert_that((await world.call("/draft/x")).status, Equals(200))

    run_world(scenario, nodes=3)
