"""Schedule of the decisions of the controller."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.tasks.decisionschedule import (
    BURST_S,
    DecisionSchedule,
    IDLE_INTERVAL_S,
    MAX_TIME_SHARE,
    MIN_INTERVAL_S,
)


@pytest.fixture
def schedule():
    """A schedule after a decision at 10 s with no work pending."""
    schedule = DecisionSchedule()
    assert_that(schedule.is_due(-1000.0), Equals(True))
    schedule.record_decided(10.0, cost_s=0.0, has_work=False)
    return schedule


def find_wait(schedule, start=10.0):
    """Return the time until the next decision, in steps of 0.1 s."""
    return next(n / 10 for n in range(1000) if schedule.is_due(start + n / 10))


def test_decision_waits_for_the_idle_interval_without_a_change(schedule):
    assert_that(find_wait(schedule), Equals(IDLE_INTERVAL_S))


def test_change_brings_the_next_decision_forward(schedule):
    schedule.record_change()
    assert_that(find_wait(schedule), Equals(MIN_INTERVAL_S))


def test_costly_decisions_stay_within_their_share_of_time(schedule):
    schedule.record_decided(10.0, cost_s=BURST_S + 0.025, has_work=True)
    assert_that(schedule.is_due(10.0 + 0.024 / MAX_TIME_SHARE), Equals(False))
    assert_that(schedule.is_due(10.0 + 0.026 / MAX_TIME_SHARE), Equals(True))


def test_unused_time_allows_a_burst(schedule):
    schedule.record_decided(10.0, cost_s=BURST_S, has_work=True)
    assert_that(find_wait(schedule), Equals(MIN_INTERVAL_S))
    later = 10.0 + BURST_S / MAX_TIME_SHARE
    schedule.record_decided(later, cost_s=BURST_S, has_work=True)
    assert_that(find_wait(schedule, later), Equals(MIN_INTERVAL_S))


def test_requested_decision_is_due_at_once(schedule):
    schedule.record_decided(10.0, cost_s=10.0, has_work=False)
    schedule.request_now()
    assert_that(schedule.has_work, Equals(True))
    assert_that(find_wait(schedule), Equals(0.0))
