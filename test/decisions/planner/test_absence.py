import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner.absence import AbsenceHistory


@pytest.fixture
def history():
    """Half of the absences last 10 s, the others an hour."""
    absences = AbsenceHistory()
    for _ in range(128):
        absences.add(10.0)
        absences.add(3600.0)
    return absences


def test_waits_for_a_short_pause_only(history):
    assert_that(history.is_wait_better(2.0, 180.0), Equals(True))
    assert_that(history.is_wait_better(11.0, 180.0), Equals(False))


def test_waits_when_a_replacement_takes_longer_than_the_return(history):
    assert_that(history.is_wait_better(3000.0, 900.0), Equals(True))
    assert_that(history.is_wait_better(3000.0, 300.0), Equals(False))


def test_expects_the_mean_of_longer_absences(history):
    assert_that(history.estimate_remaining_s(0.0), Equals(1805.0))
    assert_that(history.estimate_remaining_s(600.0), Equals(3000.0))


def test_expects_an_absence_beyond_all_others_to_double(history):
    assert_that(history.estimate_remaining_s(7200.0), Equals(7200.0))
