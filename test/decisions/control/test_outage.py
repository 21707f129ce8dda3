"""Decisions of the controller while the log is unavailable."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.generated.records import GroupPhase
from test.decisions.control.oracle import check
from test.decisions.control.world import EMPTY, make_configuration, World


def run(world, count):
    for _ in range(count):
        world.step()
        check(world)


def list_served_hosts(world):
    return [group.hosts for node in world.nodes for group in node.served()]


def find_controller(world):
    return next(node for node in world.nodes if node.lease.may_act(node.now()))


@pytest.fixture
def start():
    """Return a function that creates a world whose log has just failed."""

    def make(checks=(True,) * 4, spares=1):
        world = World(checks)
        world.apply(make_configuration(spares=spares))
        run(world, 16)
        assert_that(list_served_hosts(world), Equals([("h0", "h1")] * 2))
        world.out = True
        return world

    return make


def test_groups_go_on_serving(start):
    world = start()
    run(world, 200)
    assert_that(list_served_hosts(world), Equals([("h0", "h1")] * 2))


def test_a_spare_replaces_a_lost_host_and_stays_after_the_outage(start):
    world = start()
    world.engines["h0"].paused = True
    run(world, 30)
    assert_that(list_served_hosts(world), Equals([("h2", "h1")] * 2))
    fence = world.nodes[0].served()[0].fence
    world.out = False
    for _ in range(20):
        run(world, 1)
        assert_that(list_served_hosts(world), Equals([("h2", "h1")] * 2))
    (group,) = world.nodes[0].region.groups.values()
    assert_that((group.fence, group.phase), Equals((fence, "serving")))
    world.engines["h0"].paused = False
    run(world, 30)
    assert_that(list_served_hosts(world), Equals([("h2", "h1")] * 2))


def test_a_replaced_host_does_not_rejoin_its_group(start):
    world = start()
    world.engines["h0"].paused = True
    run(world, 30)
    world.engines["h0"].paused = False
    run(world, 10)
    assert_that(list_served_hosts(world), Equals([("h2", "h1")] * 2))


def test_a_second_loss_is_not_repaired(start):
    world = start(spares=2)
    world.engines["h0"].paused = True
    run(world, 30)
    world.engines["h1"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))
    world.out = False
    run(world, 40)
    assert_that(len(list_served_hosts(world)), Equals(2))


@pytest.mark.parametrize("unfenced", [0, 1, 2])
def test_one_engine_that_checks_no_fence_prevents_the_repair(start, unfenced):
    world = start()
    world.engines[f"h{unfenced}"].checks = False
    run(world, 1)
    world.engines["h0" if unfenced else "h1"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))


def test_a_group_without_spares_is_not_repaired(start):
    world = start(spares=0)
    world.engines["h0"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))


def test_a_spare_that_was_restarted_is_not_used(start):
    world = start()
    world.engines["h2"].restart()
    world.engines["h0"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))


def test_a_node_that_is_not_the_controller_orders_nothing(start):
    world = start()
    find_controller(world).paused = True
    world.engines["h0"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))


def test_a_restarted_controller_orders_nothing(start):
    world = start()
    find_controller(world).start()
    world.engines["h0"].paused = True
    run(world, 60)
    assert_that(list_served_hosts(world), Equals([]))


def test_nothing_is_formed_drained_or_dissolved(start):
    world = start()
    count = len(world.region.stored)
    world.apply(EMPTY)
    for node in world.nodes:
        node.configs.fold.adopt(world.config.stored[-1])
    run(world, 60)
    assert_that(len(world.region.stored), Equals(count))
    (group,) = world.nodes[0].region.groups.values()
    assert_that(group.phase, Is(GroupPhase.SERVING))


def test_orders_of_a_controller_with_the_log_prevail(start):
    world = start()
    world.out = False
    cut = find_controller(world)
    cut.cut = True
    cut.hidden.add("h0")
    run(world, 30)
    other = next(node for node in world.nodes if node is not cut)
    assert other.lease.may_act(other.now())
    cut.cut = False
    cut.hidden.clear()
    run(world, 40)
    (group,) = other.region.groups.values()
    assert_that(list_served_hosts(world), Equals([group.hosts] * 2))
