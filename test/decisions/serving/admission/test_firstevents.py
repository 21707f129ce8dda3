"""Estimates of the time until a first event."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.admission.firstevents import (
    DEFAULT_TARGET_FRACTION,
    FirstEventTimes,
    MAX_SAMPLES,
    MAX_TARGET_FRACTION,
    MIN_SAMPLES,
)

TARGET_S = 0.4


def record_times(times: list[float]) -> FirstEventTimes:
    events = FirstEventTimes()
    for seconds in times:
        events.record("m", seconds)
    return events


@pytest.mark.parametrize("count", [0, MIN_SAMPLES - 1])
def test_a_default_is_expected_before_there_are_enough_samples(
    count: int,
) -> None:
    estimate = record_times([9.0] * count).estimate("m", TARGET_S)
    assert_that(estimate, Equals(DEFAULT_TARGET_FRACTION * TARGET_S))


def test_most_first_events_come_within_the_estimate() -> None:
    times = [0.1 + 0.005 * number for number in range(20)]
    estimate = record_times(times).estimate("m", TARGET_S)
    within = sum(seconds <= estimate for seconds in times)
    assert_that(within, GreaterThan(10))
    assert_that(within, LessThan(20))


def test_slow_groups_do_not_make_every_request_late() -> None:
    estimate = record_times([30.0] * MAX_SAMPLES).estimate("m", TARGET_S)
    assert_that(estimate, Equals(MAX_TARGET_FRACTION * TARGET_S))


def test_old_samples_are_forgotten() -> None:
    events = record_times([30.0] * MAX_SAMPLES + [0.1] * MAX_SAMPLES)
    assert_that(events.estimate("m", TARGET_S), Equals(0.1))


def test_a_negative_time_counts_as_zero() -> None:
    assert_that(
        record_times([-5.0] * MAX_SAMPLES).estimate("m", TARGET_S), Equals(0.0)
    )


def test_models_have_separate_estimates() -> None:
    events = record_times([0.1] * MAX_SAMPLES)
    assert_that(
        events.estimate("other", TARGET_S),
        Equals(DEFAULT_TARGET_FRACTION * TARGET_S),
    )
