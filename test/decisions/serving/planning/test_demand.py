"""Estimates of the needed groups from the running requests."""

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.planning.demand import (
    Demand,
    MIN_GROUPS,
    MIN_OBSERVATION_S,
)
from test.decisions.serving.fleet import ENGINE

NO_MODELS: frozenset[str] = frozenset()


def feed(
    demand: Demand, seconds: float, start: float, large: int, groups: int
) -> float:
    """Record the same requests for some seconds and return the end time."""
    for step in range(round(seconds / 0.05)):
        capacities = {"large": groups * ENGINE.slots, "small": 6 * ENGINE.slots}
        requests = {"large": large, "small": 20}
        demand.record(requests, capacities, start + step * 0.05)
    return start + seconds


def find_need(demand: Demand, groups: int, now: float) -> float:
    """Return the number of large groups that are needed."""
    counts = {"large": groups, "small": 6}
    return demand.find_needs(ENGINE, counts, 48, now)["large"]


def test_configured_shares_apply_until_requests_were_observed() -> None:
    demand = Demand()
    needs = demand.find_needs(ENGINE, {}, 48, 1.0)
    # Four fifths of 48 hosts serve, two thirds of them in groups of four.
    assert_that(round(needs["large"], 1), Equals(6.4))
    now = feed(demand, MIN_OBSERVATION_S - 0.5, 1.0, large=20, groups=6)
    assert_that(demand.find_needs(ENGINE, {}, 48, now), Equals(needs))


def test_a_model_needs_more_slots_than_its_running_requests() -> None:
    demand = Demand()
    now = feed(demand, 20.0, 0.0, large=26, groups=6)
    need = find_need(demand, 6, now)
    assert_that(need, GreaterThan(26 / ENGINE.slots + 0.8))
    assert_that(need, LessThan(26 / ENGINE.slots + 1.2))


def test_a_model_without_requests_keeps_the_minimum_of_groups() -> None:
    demand = Demand()
    now = feed(demand, 60.0, 0.0, large=0, groups=6)
    assert_that(find_need(demand, 6, now), Equals(MIN_GROUPS))


def test_a_model_that_is_full_needs_one_more_group() -> None:
    demand = Demand()
    now = feed(demand, 10.0, 0.0, large=13, groups=1)
    assert_that(find_need(demand, 1, now), GreaterThan(1.9))


def test_a_loss_of_groups_does_not_lower_the_demand() -> None:
    # Five of six groups are lost; the remaining one is full and hides the
    # further demand.
    demand = Demand()
    now = feed(demand, 20.0, 0.0, large=50, groups=6)
    before = find_need(demand, 6, now)
    now = feed(demand, 10.0, now, large=13, groups=1)
    assert_that(find_need(demand, 1, now), GreaterThan(0.95 * before))


def test_a_short_wave_of_requests_does_not_overload_a_model() -> None:
    demand = Demand()
    now = feed(demand, 10.0, 0.0, large=20, groups=3)
    now = feed(demand, 0.5, now, large=39, groups=3)
    assert_that(demand.list_overloaded(now), Equals(NO_MODELS))


def test_a_model_that_stays_full_is_overloaded() -> None:
    demand = Demand()
    now = feed(demand, 10.0, 0.0, large=20, groups=3)
    now = feed(demand, 3.0, now, large=39, groups=3)
    assert_that(sorted(demand.list_overloaded(now)), Contains("large"))
    now = feed(demand, 3.0, now, large=20, groups=3)
    assert_that(demand.list_overloaded(now), Equals(NO_MODELS))


def test_a_model_without_any_group_is_overloaded() -> None:
    demand = Demand()
    now = feed(demand, 10.0, 0.0, large=20, groups=3)
    now = feed(demand, 3.0, now, large=0, groups=0)
    assert_that(sorted(demand.list_overloaded(now)), Contains("large"))


def test_a_model_whose_servers_limit_their_requests_needs_more_groups() -> None:
    # A limited group runs few requests, and must not appear to have free slots.
    demand = Demand()
    now = 0.0
    for step in range(400):
        now = 0.05 * step
        demand.record({"large": 4, "small": 20}, {"large": 4, "small": 78}, now)
    assert_that(find_need(demand, 6, now), GreaterThan(6.9))
