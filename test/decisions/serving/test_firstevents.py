"""What is learned of the time until a first event."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.firstevents import (
    ENOUGH,
    FirstEvents,
    KEPT,
    LONGEST_PART,
    UNKNOWN_PART,
)

TARGET_S = 0.4


def learn(times: list[float]) -> FirstEvents:
    events = FirstEvents()
    for seconds in times:
        events.note("m", seconds)
    return events


@pytest.mark.parametrize("count", [0, ENOUGH - 1])
def test_little_is_expected_before_enough_is_known(count: int) -> None:
    expected = learn([9.0] * count).expect("m", TARGET_S)
    assert_that(expected, Equals(UNKNOWN_PART * TARGET_S))


def test_most_first_events_come_within_what_is_expected() -> None:
    times = [0.1 + 0.005 * number for number in range(20)]
    expected = learn(times).expect("m", TARGET_S)
    within = sum(one <= expected for one in times)
    assert_that(within, GreaterThan(10))
    assert_that(within, LessThan(20))


def test_slow_groups_do_not_make_every_request_late() -> None:
    expected = learn([30.0] * KEPT).expect("m", TARGET_S)
    assert_that(expected, Equals(LONGEST_PART * TARGET_S))


def test_what_was_slow_is_forgotten() -> None:
    events = learn([30.0] * KEPT + [0.1] * KEPT)
    assert_that(events.expect("m", TARGET_S), Equals(0.1))


def test_a_clock_that_was_set_back_is_no_time() -> None:
    assert_that(learn([-5.0] * KEPT).expect("m", TARGET_S), Equals(0.0))


def test_models_differ() -> None:
    events = learn([0.1] * KEPT)
    assert_that(
        events.expect("other", TARGET_S), Equals(UNKNOWN_PART * TARGET_S)
    )
