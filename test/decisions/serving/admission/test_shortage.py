"""Detection of shortages of slots."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.admission.shortage import (
    RECOVERY_S,
    Shortages,
)


def test_a_shortage_lasts_while_requests_miss_their_target() -> None:
    shortages = Shortages()
    assert_that(shortages.has_shortage("m", 0.0), Is(False))
    for now in (1.0, 1.5, 2.0):
        shortages.record_missed("m", now)
    assert_that(shortages.has_shortage("m", 2.0 + RECOVERY_S), Is(True))
    assert_that(shortages.find_duration("m", 2.5), Equals(1.5))
    assert_that(shortages.has_shortage("m", 2.1 + RECOVERY_S), Is(False))
    assert_that(shortages.find_duration("m", 2.1 + RECOVERY_S), Equals(0.0))


def test_the_duration_of_a_new_shortage_starts_at_zero() -> None:
    shortages = Shortages()
    shortages.record_missed("m", 1.0)
    shortages.record_missed("m", 5.0)
    assert_that(shortages.find_duration("m", 5.5), Equals(0.5))


def test_a_shortage_of_one_model_does_not_affect_others() -> None:
    shortages = Shortages()
    shortages.record_missed("m", 1.0)
    assert_that(shortages.has_shortage("other", 1.0), Is(False))
    assert_that(list(shortages.list_short(1.0)), Equals(["m"]))
