"""Servers that leave while the store deletes old records."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from chervilrock.decisions.serving.servers.removals import Removals
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import LARGE
from chervilrock.standin.site.store import StoreFault
from test.node.serving_site import run_world, World

OUTAGE_S = 1.5


def remove_unnoticed(world: World, *servers: SiteServer) -> None:
    """Remove entries, and delete the records of it before they are read."""
    for server in servers:
        server.unregister()
    world.site.store.topic("keyed.servers").compact()


def list_viewed(world: World, number: int = 0) -> set[str]:
    view = world.nodes[number].state.view
    heads = {group.server for group in view.groups}
    return heads | {server.server for server in view.servers}


def test_a_server_whose_removal_was_missed_gets_no_requests() -> None:
    # Failure: after a 410 the leader keeps servers that the snapshot lacks,
    # and all nodes send to them until they exit.
    async def scenario(world: World) -> None:
        first, second = world.list_plain_servers()
        remove_unnoticed(world, first)
        await world.wait(
            lambda: all(
                first.server not in list_viewed(world, number)
                for number in range(len(world.nodes))
            ),
            "the server out of all views",
        )
        first.runs.clear()
        for _ in range(4):
            headers = world.make_headers(X_Model="", X_Token_Count="")
            await world.call("/look/x", headers=headers)
        assert_that(first.runs, HasLength(0))
        assert_that(list_viewed(world), Contains(second.server))

    run_world(scenario, nodes=2)


def test_the_group_of_a_host_whose_removal_was_missed_is_replaced() -> None:
    async def scenario(world: World) -> None:
        head = world.site.list_heads(LARGE)[0]
        remove_unnoticed(world, head)
        await world.wait(
            lambda: head.server not in list_viewed(world), "the group is gone"
        )
        await world.wait(world.serves_all, "all models served")

    run_world(scenario)


def test_a_removal_is_noticed_by_a_leader_that_led_before() -> None:
    # Failure: entries that outlive a term are kept when the node leads again.
    async def scenario(world: World) -> None:
        (node,) = world.nodes
        first, second = world.list_plain_servers()
        task = node._task
        task._stop_leading()
        remove_unnoticed(world, first)
        task._start_leading(task._leadership.term + 1, 0.0)
        await world.wait(
            lambda: second.server in list_viewed(world), "the node leads again"
        )
        await world.wait(
            lambda: first.server not in list_viewed(world),
            "the server out of the view",
        )
        present = {entry.server for entry in task._entries.list_present()}
        assert_that(first.server in present, Equals(False))

    run_world(scenario)


def test_entries_that_lapsed_in_an_outage_are_awaited() -> None:
    async def scenario(world: World) -> None:
        first, _ = world.list_plain_servers()
        door = world.site.store.door
        door.fault = StoreFault.BUSY
        await asyncio.sleep(OUTAGE_S)
        remove_unnoticed(world, first)
        door.fault = StoreFault.NONE
        # The server writes its entry again within two seconds.
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert_that(list_viewed(world), Contains(first.server))
        first.register()
        await asyncio.sleep(2.0)
        assert_that(list_viewed(world), Contains(first.server))

    run_world(scenario)


def test_only_an_announced_removal_counts_as_such(monkeypatch) -> None:
    # Others may be entries that lapsed in an outage of the store.
    announced: dict[str, bool] = {}
    record_removed = Removals.record_removed

    def observe(
        removals: Removals, server: str, now: float, *, is_announced: bool
    ) -> None:
        announced[server] = is_announced
        record_removed(removals, server, now, is_announced=is_announced)

    monkeypatch.setattr(Removals, "record_removed", observe)

    async def scenario(world: World) -> None:
        first, second = world.list_plain_servers()
        first.leave()
        await world.wait(
            lambda: first.server not in list_viewed(world), "it leaves"
        )
        for server in (first, second):
            server.unregister()
        await world.wait(lambda: len(announced) == 2, "both removals")
        expected = {first.server: True, second.server: False}
        assert_that(announced, Equals(expected))

    run_world(scenario)
