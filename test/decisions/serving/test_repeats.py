"""The bound of repeats that all nodes share, whatever becomes of them."""

from collections.abc import Iterable, Mapping

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.repeats import RepeatBudget
from test.decisions.serving.repeat_fleet import (
    Fleet,
    RATIO,
    Size,
    SIZES,
    WINDOW_S,
)

CALM_S = 14.0
"""Time for which all answers are good, longer than a window."""


def play_restarts(size: Size, restarts: Mapping[float, Iterable[int]]) -> Fleet:
    """Let all requests fail after a calm time while nodes start again."""
    fleet = Fleet(size=size)
    fleet.play(until=CALM_S + 25.0, fails_from=CALM_S, restarts=restarts)
    return fleet


def assert_within_bound(fleet: Fleet) -> None:
    excess = fleet.find_excess()
    assert_that(excess.arrivals, LessThan(excess.allowed + 1e-6), str(excess))


def test_restarts_do_not_renew_what_was_spent() -> None:
    # Each process that started again had forgotten what it had sent again.
    for size in SIZES:
        everyone = range(size.nodes)
        for restarts in (
            {CALM_S + 4.0: everyone},
            {CALM_S + 0.1: everyone},
            {CALM_S + 9.0: everyone},
            {CALM_S + 3.0 * turn: everyone for turn in range(1, 6)},
        ):
            assert_within_bound(play_restarts(size, restarts))


def test_a_node_that_starts_again_alone_stays_within_the_bound() -> None:
    for size in SIZES:
        restarts = {CALM_S + turn: [turn % size.nodes] for turn in range(20)}
        assert_within_bound(play_restarts(size, restarts))


def test_restarts_one_after_the_other_stay_within_the_bound() -> None:
    for size in SIZES:
        turns = 20
        restarts = {
            CALM_S + turn * 0.5: range(turn, size.nodes, turns)
            for turn in range(turns)
        }
        assert_within_bound(play_restarts(size, restarts))


def test_nodes_that_know_of_no_others_stay_within_the_bound() -> None:
    # A starting node believed to be alone and took the whole allowance.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.out_of_touch_from = CALM_S + 2.0
        everyone = range(size.nodes)
        fleet.play(
            until=CALM_S + 20.0,
            fails_from=CALM_S,
            restarts={CALM_S + 2.0: everyone},
        )
        assert_within_bound(fleet)


def test_nodes_that_are_added_and_not_heard_of_stay_within_the_bound() -> None:
    # Parted nodes go on with the number that they knew last.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.out_of_touch_from = 5.0
        fleet.add(size.nodes // 3)
        fleet.play(until=CALM_S + 20.0, fails_from=CALM_S)
        assert_within_bound(fleet)


def test_repeats_that_wait_for_a_place_stay_within_the_bound() -> None:
    # What was decided over many seconds arrived in the second of free places.
    for size in SIZES:
        fleet = Fleet(size=size)
        fleet.places_from = CALM_S + 8.0
        fleet.play(until=CALM_S + 20.0, fails_from=CALM_S)
        assert_within_bound(fleet)


def test_most_of_what_is_allowed_is_used() -> None:
    for size in SIZES:
        excess = play_restarts(size, {}).find_excess()
        assert_that(excess.arrivals, GreaterThan(0.8 * excess.allowed))


@pytest.fixture
def budget() -> RepeatBudget:
    return RepeatBudget(ratio=RATIO, slack=105.0, window_s=WINDOW_S)


def test_own_requests_pay_for_a_repeat_before_any_node_is_known(budget) -> None:
    for turn in range(7):
        budget.note_request(0.1 * turn)
    assert_that(budget.reserve(), Is(True))


def test_a_node_in_touch_earns_its_share_without_requests(budget) -> None:
    budget.refill(7, 0.0)
    budget.refill(7, 3.0)
    assert_that(budget.reserve(), Is(True))


def test_a_node_out_of_touch_earns_no_share(budget) -> None:
    budget.refill(7, 0.0)
    budget.refill(None, 9.0)
    assert_that(budget.describe().left, Equals(0.0))
    assert_that(budget.describe().nodes, Is(None))


def test_a_budget_without_a_window_allows_what_requests_do() -> None:
    budget = RepeatBudget(ratio=1.0, slack=100.0, window_s=0.0)
    budget.refill(7, 0.0)
    budget.refill(7, 5.0)
    assert_that(budget.reserve(), Is(False))
