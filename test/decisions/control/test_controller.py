"""Life cycle of groups and hosts in a simulated region."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from chervilrock.generated.interfaces import EnginePhase
from chervilrock.generated.records import GroupPhase
from test.decisions.control.oracle import check
from test.decisions.control.world import EMPTY, make_configuration, World

FENCED = (True,) * 4


def run(world, count):
    """Run some steps and return the least number of served groups."""
    least_served = 99
    for _ in range(count):
        world.step()
        check(world)
        least_served = min(least_served, len(world.nodes[0].served()))
    return least_served


def list_groups(world):
    return list(world.nodes[0].region.groups.values())


@pytest.fixture
def start():
    """Return a function that creates a world with serving groups."""

    def make(checks=FENCED, count=1, spares=0):
        world = World(checks)
        world.apply(make_configuration(groups=count, spares=spares))
        run(world, 16)
        assert_that(len(world.nodes[0].served()), Equals(count))
        return world

    return make


def test_a_new_version_serves_before_the_old_one_is_drained(start):
    world = start()
    world.apply(make_configuration("v2", spares=0))
    assert_that(run(world, 40), Equals(1))
    (group,) = list_groups(world)
    assert_that(group.version, Equals("v2"))
    assert_that(len(world.nodes[0].region.owners), Equals(2))


def test_without_free_hosts_groups_are_replaced_one_at_a_time(start):
    world = start(count=2)
    world.apply(make_configuration("v2", groups=2))
    assert_that(run(world, 80), Equals(1))
    versions = {group.version for group in list_groups(world)}
    assert_that(versions, Equals({"v2"}))
    assert_that(len(world.nodes[0].served()), Equals(2))


def test_a_rollout_resumes_after_a_shortage_of_hosts(start):
    world = start(count=2)
    world.engines["h0"].paused = True
    run(world, 10)
    world.apply(make_configuration("v2", groups=2))
    run(world, 80)
    assert "v1" in {group.version for group in list_groups(world)}
    world.engines["h0"].paused = False
    run(world, 80)
    assert_that(
        [group.version for group in list_groups(world)], Equals(["v2", "v2"])
    )


def test_a_model_that_is_not_wanted_any_more_is_drained(start):
    world = start()
    world.apply(EMPTY)
    run(world, 3)
    assert_that(list_groups(world)[0].phase, Is(GroupPhase.DRAINING))
    assert world.engines["h0"].phase == EnginePhase.READY
    run(world, 30)
    assert_that(list_groups(world), Equals([]))
    assert_that(world.nodes[0].region.owners, Equals({}))
    assert world.engines["h0"].phase == EnginePhase.EMPTY


def test_a_group_with_a_leaving_host_is_drained_and_replaced(start):
    world = start()
    world.leaving.add("h0")
    run(world, 3)
    assert_that(list_groups(world)[0].phase, Is(GroupPhase.DRAINING))
    run(world, 40)
    (group,) = list_groups(world)
    assert "h0" not in group.hosts
    assert_that(len(world.nodes[0].served()), Equals(1))


def test_a_lost_host_is_replaced_and_kept_out_until_it_is_empty(start):
    world = start()
    world.engines["h0"].paused = True
    run(world, 20)
    (group,) = list_groups(world)
    assert "h0" not in group.hosts
    run(world, 20)
    region = world.nodes[0].region
    assert_that(list(region.quarantined), Equals(["h0"]))
    world.engines["h0"].paused = False
    run(world, 10)
    assert region.is_free("h0")
    assert world.engines["h0"].phase == EnginePhase.EMPTY


def test_a_restarted_engine_gives_its_whole_group_a_new_fence(start):
    world = start()
    before = list_groups(world)[0]
    world.engines["h1"].restart()
    run(world, 3)
    assert_that(world.nodes[0].served(), Equals(()))
    run(world, 16)
    (after,) = list_groups(world)
    assert_that(after.hosts, Equals(before.hosts))
    assert_that(after.fence, GreaterThan(before.fence))
    assert_that(len(world.nodes[0].served()), Equals(1))


def wait_for_release(world, name):
    """Run until a host is free and return the time."""
    for _ in range(80):
        run(world, 1)
        if any(
            node.region.is_free(name) for node in world.nodes if not node.paused
        ):
            return world.now
    raise AssertionError("the host is never released")


@pytest.mark.parametrize("fenced", [True, False])
def test_a_host_is_released_only_after_old_orders_have_expired(start, fenced):
    world = start(checks=(fenced,) * 4)
    controller = next(
        node for node in world.nodes if node.lease.may_act(node.now())
    )
    controller.paused = True
    paused_at = world.now
    world.apply(EMPTY)
    released_at = wait_for_release(world, "h0")
    lease_and_order_s = 3.0 + 4.0
    assert_that(released_at - paused_at, GreaterThan(lease_and_order_s))


def test_an_engine_that_does_not_unload_is_quarantined(start):
    world = start(checks=(False,) * 4)
    world.engines["h0"].apply_order = lambda order: True
    world.apply(EMPTY)
    run(world, 50)
    region = world.nodes[0].region
    assert_that(list(region.owners), Equals(["h0"]))
    assert region.owners["h0"].quarantined


def test_a_node_without_the_lease_decides_nothing(start):
    world = start()
    idle = next(
        node for node in world.nodes if not node.lease.may_act(node.now())
    )
    world.apply(EMPTY)
    idle.read()
    idle.outbox.clear()
    idle.control()
    assert_that((idle.outbox, idle.orders), Equals(([], [])))


def test_deciding_twice_is_harmless(start):
    world = start()
    world.apply(make_configuration("v2", groups=2))
    for _ in range(60):
        for node in world.nodes:
            node.control()
        run(world, 1)
    assert_that({group.version for group in list_groups(world)}, Equals({"v2"}))


def test_spares_are_released_when_another_group_needs_them(start):
    world = start(spares=2)
    (group,) = list_groups(world)
    assert_that(set(group.spares), Equals({"h2", "h3"}))
    world.apply(make_configuration(groups=2, spares=0))
    run(world, 30)
    assert_that(len(world.nodes[0].served()), Equals(2))
