"""Planner and controller together keep a serving group of each model."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.actions import DissolveGroup, Prices
from chervilrock.decisions.control.view import make_plan_input
from chervilrock.decisions.planner import Planner
from chervilrock.generated.records import GroupPhase
from test.decisions.control.world import make_configuration, Node, World

_SETTLE_STEPS = 60


class PlannedNode(Node):
    """A node that plans with the production planner."""

    def start(self):
        super().start()
        self.planner = Planner()

    def plan(self, wanted, hosts):
        view = make_plan_input(
            region=self.region,
            wanted=wanted,
            presence=self.presence,
            hosts=hosts,
            pending=self.progress,
            prices=Prices(),
            now=self.now(),
        )
        return self.planner.plan(view, self.now())


def _make_world(hosts):
    world = World(checks=(True,) * hosts)
    world.nodes = [PlannedNode(world, "a", 1.0)]
    return world


def _list_groups(world):
    groups = world.nodes[0].region.groups.values()
    return [
        (group.version, group.phase)
        for group in groups
        if group.phase is not GroupPhase.DISSOLVED
    ]


def _run(world):
    """Runs the steps and returns the minimum number of serving groups."""
    min_serving = len(world.engines)
    for _ in range(_SETTLE_STEPS):
        world.step()
        phases = [phase for _, phase in _list_groups(world)]
        min_serving = min(min_serving, phases.count(GroupPhase.SERVING))
    return min_serving


def test_fewer_wanted_groups_leave_the_others_serving():
    world = _make_world(hosts=6)
    world.apply(make_configuration(groups=2, spares=0))
    _run(world)
    world.apply(make_configuration(groups=1, spares=0))
    assert_that(_run(world), Equals(1))
    assert_that(_list_groups(world), Equals([("v1", GroupPhase.SERVING)]))


def test_new_version_starts_one_group_at_a_time_without_free_hosts():
    world = _make_world(hosts=5)
    world.apply(make_configuration(groups=2, spares=0))
    _run(world)
    world.apply(make_configuration("v2", groups=2, spares=0))
    assert_that(_run(world), Equals(1))
    assert_that(_list_groups(world), Equals([("v2", GroupPhase.SERVING)] * 2))


def test_new_version_serves_before_the_old_is_dissolved():
    world = _make_world(hosts=4)
    world.apply(make_configuration(groups=1, spares=0))
    _run(world)
    world.apply(make_configuration("v2", groups=1, spares=0))
    assert_that(_run(world), Equals(1))
    assert_that(_list_groups(world), Equals([("v2", GroupPhase.SERVING)]))


class ConflictingNode(Node):
    """A node whose planner dissolves another group than the controller."""

    def plan(self, wanted, hosts):
        serving = [
            group
            for group in self.region.groups.values()
            if group.phase is GroupPhase.SERVING
        ]
        if len(serving) < 2:
            return ()
        oldest = min(serving, key=lambda each: each.fence)
        return (DissolveGroup(oldest.name, oldest.fence, "contrary"),)


def test_planner_and_controller_never_drain_both_groups_of_a_model():
    world = _make_world(hosts=6)
    world.apply(make_configuration(groups=2, spares=0))
    _run(world)
    node = world.nodes[0]
    node.plan = ConflictingNode.plan.__get__(node)
    world.apply(make_configuration(groups=1, spares=0))
    min_serving = _run(world)
    assert_that(min_serving, Equals(1))
