"""The bound of retries that all nodes share, restarts included."""

from collections.abc import Iterable, Mapping

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.retrybudget import (
    MAX_WAIT_S,
    RetryBudget,
)
from test.decisions.serving.retry_fleet import (
    Fleet,
    LIMIT_S,
    RATIO,
    Size,
    SIZES,
    STEP_S,
    WINDOW_S,
)

HEALTHY_S = 14.0
"""Time for which all requests succeed, longer than a window."""


def simulate_restarts(
    size: Size, restarts: Mapping[float, Iterable[int]]
) -> Fleet:
    """Let all requests fail after a healthy time while nodes restart."""
    fleet = Fleet(size=size)
    fleet.simulate(
        until_s=HEALTHY_S + 25.0, fails_from_s=HEALTHY_S, restarts=restarts
    )
    return fleet


def assert_within_bound(fleet: Fleet) -> None:
    excess = fleet.find_excess()
    assert_that(excess.arrivals, LessThan(excess.allowed + 1e-6), str(excess))


def test_restarts_do_not_renew_spent_retries() -> None:
    # A restarted process has lost the count of the retries that it sent.
    for size in SIZES:
        all_nodes = range(size.nodes)
        for restarts in (
            {HEALTHY_S + 4.0: all_nodes},
            {HEALTHY_S + 0.1: all_nodes},
            {HEALTHY_S + 9.0: all_nodes},
            {HEALTHY_S + 3.0 * number: all_nodes for number in range(1, 6)},
        ):
            assert_within_bound(simulate_restarts(size, restarts))


def test_restarts_of_single_nodes_stay_within_the_bound() -> None:
    for size in SIZES:
        restarts = {
            HEALTHY_S + number: [number % size.nodes] for number in range(20)
        }
        assert_within_bound(simulate_restarts(size, restarts))


def test_rolling_restarts_stay_within_the_bound() -> None:
    for size in SIZES:
        batches = 20
        restarts = {
            HEALTHY_S + number * 0.5: range(number, size.nodes, batches)
            for number in range(batches)
        }
        assert_within_bound(simulate_restarts(size, restarts))


def test_restarted_nodes_without_contact_stay_within_the_bound() -> None:
    # A starting node must not take the whole allowance because it does not know
    # of any other node yet.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.no_contact_from_s = HEALTHY_S + 2.0
        all_nodes = range(size.nodes)
        fleet.simulate(
            until_s=HEALTHY_S + 20.0,
            fails_from_s=HEALTHY_S,
            restarts={HEALTHY_S + 2.0: all_nodes},
        )
        assert_within_bound(fleet)


def test_added_nodes_that_others_do_not_know_stay_within_the_bound() -> None:
    # During a network partition nodes use the last known number of nodes.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.no_contact_from_s = 5.0
        fleet.add(size.nodes // 3)
        fleet.simulate(until_s=HEALTHY_S + 20.0, fails_from_s=HEALTHY_S)
        assert_within_bound(fleet)


def test_retries_that_wait_for_a_slot_stay_within_the_bound() -> None:
    # Retries reserved over many seconds all arrive when slots become free.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.slots_from_s = HEALTHY_S + 8.0
        fleet.simulate(until_s=HEALTHY_S + 20.0, fails_from_s=HEALTHY_S)
        assert_within_bound(fleet)


@pytest.mark.parametrize(
    "restarts_s",
    [(), (4.0,), (1.0, 4.0, 7.0, 10.0, 13.0)],
    ids=["none", "at once", "in series"],
)
def test_retries_that_wait_for_a_refill_stay_within_the_bound(
    restarts_s,
) -> None:
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.waits = True
        fleet.simulate(
            until_s=HEALTHY_S + 20.0,
            fails_from_s=HEALTHY_S,
            restarts={
                HEALTHY_S + time: range(size.nodes) for time in restarts_s
            },
        )
        assert_within_bound(fleet)


def test_most_of_the_allowed_retries_are_used() -> None:
    for size in SIZES:
        excess = simulate_restarts(size, {}).find_excess()
        assert_that(excess.arrivals, GreaterThan(0.8 * excess.allowed))


@pytest.fixture
def budget() -> RetryBudget:
    return RetryBudget(ratio=RATIO, slack=105.0, window_s=WINDOW_S)


def test_own_requests_allow_a_retry_before_any_node_is_known(budget) -> None:
    for number in range(7):
        budget.record_request(0.1 * number)
    assert_that(budget.reserve(), Is(True))


def test_a_node_in_contact_gets_its_share_without_requests(budget) -> None:
    budget.refill(7, 0.0)
    budget.refill(7, 3.0)
    assert_that(budget.reserve(), Is(True))


def test_a_node_without_contact_gets_no_share(budget) -> None:
    budget.refill(7, 0.0)
    budget.refill(None, 9.0)
    assert_that(budget.describe().left, Equals(0.0))
    assert_that(budget.describe().nodes, Is(None))


def test_a_budget_without_a_window_gets_no_share() -> None:
    budget = RetryBudget(ratio=1.0, slack=100.0, window_s=0.0)
    budget.refill(7, 0.0)
    budget.refill(7, 5.0)
    assert_that(budget.reserve(), Is(False))


def test_a_request_that_is_cut_just_after_a_start_gets_a_retry(budget) -> None:
    # Its caller got 502, and again for each attempt until the first refill.
    budget.refill(7, 0.0)
    budget.record_request(0.0)
    end = budget.find_wait_end(LIMIT_S, 0.0)
    assert_that(end, Equals(MAX_WAIT_S))
    budget.wait("request")
    now = 0.0
    while now < end and not budget.reserve("request"):
        now += STEP_S
        budget.record_request(now)
        budget.refill(7, now)
    assert_that(now, LessThan(end))


def test_only_as_many_wait_as_get_retries_soon(budget) -> None:
    budget.refill(1, 0.0)
    refill_per_s = 0.25 * 105.0 / WINDOW_S
    waiting = 0
    while budget.find_wait_end(LIMIT_S, 0.0) > 0.0:
        budget.wait(waiting)
        waiting += 1
    assert_that(waiting, Equals(int(refill_per_s * MAX_WAIT_S)))
    budget.stop_waiting(0)
    assert_that(budget.find_wait_end(LIMIT_S, 0.0), GreaterThan(0.0))


def test_no_request_waits_without_a_refill(budget) -> None:
    assert_that(budget.find_wait_end(LIMIT_S, 0.0), Equals(0.0))


def test_half_of_the_time_left_remains_for_the_server(budget) -> None:
    budget.refill(1, 0.0)
    assert_that(budget.find_wait_end(1.0, 0.0), Equals(0.5))
    assert_that(budget.find_wait_end(0.5, 0.0), Equals(0.0))
    assert_that(budget.find_wait_end(-1.0, 0.0), Equals(0.0))


def test_requests_that_wait_get_retries_in_their_order(budget) -> None:
    budget.wait("first")
    budget.wait("second")
    budget.wait("first")
    budget.refill(1, 0.0)
    budget.refill(1, 5.0)
    reserved = [budget.reserve(name) for name in (None, "second", "first")]
    assert_that(reserved, Equals([False, False, True]))
    assert_that(budget.reserve("second"), Is(True))
    assert_that(budget.reserve(), Is(True))
