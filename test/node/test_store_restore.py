"""Nodes and callers when the store is restored from a backup."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.site.site import make_configuration
from chervilrock.standin.site.store import StoreFault
from test.node.serving_site import make_events, run_world, World

OUTAGE_S = 0.3
EVENTS = 150
"""Events of a stream that lasts longer than the outage and the restore."""


async def restore_store(world: World, age_s: float) -> None:
    store = world.site.store
    store.door.fault = StoreFault.DOWN
    await asyncio.sleep(OUTAGE_S)
    store.restore(age_s)
    store.door.fault = StoreFault.NONE
    await asyncio.sleep(OUTAGE_S)
    world.site.write_again()


def test_streams_and_configurations_survive_a_restore() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(X_Token_Count=f"10,{EVENTS}")
        stream = asyncio.ensure_future(world.call("/draft/x", headers=headers))
        world.site.store.write_configuration(make_configuration(2))
        await asyncio.sleep(0.2)
        await restore_store(world, 2.0)
        answer = await stream
        wanted = make_events(headers["X-Request-Id"], EVENTS)
        assert_that(answer.body, Equals(wanted))
        world.site.store.write_configuration(make_configuration(3))

        def is_in_force() -> bool:
            routes = [node.state.routes for node in world.nodes]
            return all(
                table is not None and table.configuration.revision == 3
                for table in routes
            )

        await world.wait(is_in_force, "the revision in force")
        await world.wait(world.serves_all, "all models served")
        assert_that((await world.call("/draft/x")).status, Equals(200))

    run_world(scenario, nodes=2)


def test_a_leader_after_a_restore_has_a_greater_term() -> None:
    async def scenario(world: World) -> None:
        before = max(node.state.view.term for node in world.nodes)
        # All records of nodes are lost, and their offsets are assigned again.
        await restore_store(world, 60.0)

        def has_one_leader() -> bool:
            leaders = [node for node in world.nodes if node.is_leader]
            terms = {node.state.view.term for node in world.nodes}
            return len(leaders) == 1 and len(terms) == 1

        def has_newer_leader() -> bool:
            terms = [node.state.view.term for node in world.nodes]
            return has_one_leader() and min(terms) > before

        await world.wait(has_one_leader, "one leader")
        (leader,) = [node for node in world.nodes if node.is_leader]
        await leader.close()
        world.nodes.remove(leader)
        await world.wait(has_newer_leader, "a leader with a greater term")
        await world.wait(world.serves_all, "all models served")
        assert_that((await world.call("/draft/x")).status, Equals(200))

    run_world(scenario, nodes=3)
