"""How often the controller decides."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.tasks.pace import (
    BURST_S,
    IDLE_S,
    Pace,
    SHARE,
    SHORTEST_S,
)


@pytest.fixture
def pace():
    """A pace after a decision at 10 s with nothing to wait for."""
    one = Pace()
    assert_that(one.is_due(-1000.0), Equals(True))
    one.record_decided(10.0, cost_s=0.0, awaits=False)
    return one


def find_wait(pace, start=10.0):
    """Return the time until the next decision, in steps of 0.1 s."""
    return next(n / 10 for n in range(1000) if pace.is_due(start + n / 10))


def test_without_a_change_it_waits(pace):
    assert_that(find_wait(pace), Equals(IDLE_S))


def test_change_brings_the_next_decision_forward(pace):
    pace.record_change()
    assert_that(find_wait(pace), Equals(SHORTEST_S))


def test_dear_decisions_take_a_share_of_the_time(pace):
    pace.record_decided(10.0, cost_s=BURST_S + 0.025, awaits=True)
    assert_that(pace.is_due(10.0 + 0.024 / SHARE), Equals(False))
    assert_that(pace.is_due(10.0 + 0.026 / SHARE), Equals(True))


def test_time_that_was_not_used_allows_for_a_burst(pace):
    pace.record_decided(10.0, cost_s=BURST_S, awaits=True)
    assert_that(find_wait(pace), Equals(SHORTEST_S))
    later = 10.0 + BURST_S / SHARE
    pace.record_decided(later, cost_s=BURST_S, awaits=True)
    assert_that(find_wait(pace, later), Equals(SHORTEST_S))


def test_hurry_waits_for_nothing(pace):
    pace.record_decided(10.0, cost_s=10.0, awaits=False)
    pace.hurry()
    assert_that(pace.awaits, Equals(True))
    assert_that(find_wait(pace), Equals(0.0))
