"""Tests that a leader whose successor is in office disturbs no guarantee."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.orders import Join, Leave, Order
from test.decisions.serving.fleet import Fleet

REPORT_LAG_S = 0.25


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet of two domains whose reports are late, and its groups."""
    made = Fleet(domains=2, hosts=8, seed=1)
    made.report_lag_s = REPORT_LAG_S
    made.run(8.0)
    made.start_traffic()
    return made


def lose_member(fleet: Fleet, model: str = "large") -> None:
    """Kill a member of a group of a model, if any, which all leaders notice."""
    groups = [
        group
        for group in fleet.controller.list_groups(fleet.now)
        if group.model == model
    ]
    if not groups:
        return
    group = groups[0]
    fleet.kill(fleet.servers[group.server].members[-1])
    for controller in (*fleet.former, fleet.controller):
        controller.record_stall(group.group, fleet.now)


@pytest.mark.parametrize("steps", range(0, 40, 2))
def test_no_host_is_taken_from_a_group_that_a_former_leader_opens(
    fleet: Fleet, steps: int
) -> None:
    # Failure: a former leader that is cut off from the store opens a group, and
    # its successor lets the head of that group join another one.
    if steps % 4:
        lose_member(fleet)
    fleet.run(steps * 0.05)
    fleet.cut_off_leader(term=2)
    for delay_s in (0.1, 0.35, 0.6, 0.85):
        fleet.run(delay_s)
        lose_member(fleet, "small" if steps % 3 else "large")
    fleet.run(3.0)
    fleet.stop_former()
    fleet.run(25.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(sum(fleet.serving().values()), GreaterThan(1))


def repeat_orders(
    fleet: Fleet, orders: list[tuple[str, Order]], seconds: float
) -> None:
    """Execute orders of a former leader in any sequence, several times each.

    It repeats them, and they may arrive seconds late.
    """
    end = fleet.now + seconds
    while fleet.now < end:
        for _ in range(fleet.generator.randint(0, 3)):
            name, order = fleet.generator.choice(orders)
            if isinstance(order, Join):
                order = order._replace(expected=None)
            if not fleet.servers[name].is_dead:
                fleet.obey(name, order)
        fleet.run(0.05)


@pytest.mark.parametrize("seed", range(30))
def test_guarantees_hold_beside_any_orders_of_a_former_leader(
    seed: int,
) -> None:
    # Failure: a late order puts a head back into a group that counted as ended,
    # and the head, or a member of the group, joins another one.
    fleet = Fleet(domains=1, hosts=12, seed=seed)
    fleet.report_lag_s = REPORT_LAG_S
    fleet.run(6.0)
    fleet.start_traffic()
    for term in (2, 3, 4):
        lose_member(fleet, fleet.generator.choice(("large", "small")))
        fleet.add(f"new-{term}", "d0")
        fleet.run(fleet.generator.uniform(0.2, 4.0))
        former = list(fleet.sent)
        fleet.make_controller(term=term)
        fleet.run(fleet.generator.uniform(0.05, 1.0))
        lose_member(fleet, fleet.generator.choice(("large", "small")))
        repeat_orders(fleet, former, 4.0)
    fleet.run(25.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(sum(fleet.serving().values()), GreaterThan(0))


def test_a_leader_that_meets_a_later_one_gives_no_orders(fleet: Fleet) -> None:
    # Failure: a former leader takes the groups of its successor apart, and
    # plans groups again and again of hosts that reject its orders.
    former = fleet.cut_off_leader(term=2)
    fleet.run(1.0)
    assert_that(former.is_superseded, Is(False))
    lose_member(fleet)
    fleet.run(2.0)
    lose_member(fleet)
    fleet.run(3.0)
    assert_that(former.is_superseded, Is(True))
    effects = [former.step(fleet.now + number) for number in range(8)]
    assert_that(sum(len(one) for one in effects), Equals(0))
    assert_that(fleet.violations, HasLength(0))


def test_a_leader_whose_successor_gave_no_order_goes_on(fleet: Fleet) -> None:
    # It may be cut off from the store alone, and the successor be lost.
    former = fleet.cut_off_leader(term=2)
    lost = fleet.controller
    fleet.controller = former
    fleet.former.remove(former)
    before = fleet.serving()
    lose_member(fleet)
    fleet.run(6.0)
    assert_that(lost.is_superseded, Is(False))
    assert_that(former.is_superseded, Is(False))
    assert_that(fleet.serving(), Equals(before))
    assert_that(fleet.violations, HasLength(0))


def test_an_adopted_standby_host_of_an_earlier_term_proves_no_later_leader(
    fleet: Fleet,
) -> None:
    # Failure: a leader adopts a standby host that is still loading. A former
    # leader moves the host on within its own term, so that it rejects the
    # epoch of the adopted group, and the only leader gives no orders any more.
    host = fleet.add("host", "d0")
    epoch = groupnames.make_epoch(1, 500)
    name = groupnames.make_name("small", epoch, is_standby=True)
    fleet.obey("host", Join(name, epoch, "small", ("host",)))
    host.ready_at = fleet.now + 60.0
    fleet.make_controller(term=2)
    fleet.run(0.5)
    later = groupnames.make_epoch(1, 501)
    name = groupnames.make_name("small", later, is_standby=True)
    fleet.obey("host", Join(name, later, "small", ("host",)))
    fleet.obey("host", Leave(name, later))
    fleet.run(30.0)
    assert_that(fleet.controller.is_superseded, Is(False))
    assert host.membership is not None
    assert_that(groupnames.find_term(host.membership.epoch), Equals(2))
