"""When requests that could be on time lack places."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.shortage import CALM_S, Shortages


def test_a_shortage_lasts_while_requests_miss_their_time() -> None:
    shortages = Shortages()
    assert_that(shortages.is_short("m", 0.0), Is(False))
    for now in (1.0, 1.5, 2.0):
        shortages.note_missed("m", now)
    assert_that(shortages.is_short("m", 2.0 + CALM_S), Is(True))
    assert_that(shortages.find_duration("m", 2.5), Equals(1.5))
    assert_that(shortages.is_short("m", 2.1 + CALM_S), Is(False))
    assert_that(shortages.find_duration("m", 2.1 + CALM_S), Equals(0.0))


def test_a_new_shortage_begins_anew() -> None:
    shortages = Shortages()
    shortages.note_missed("m", 1.0)
    shortages.note_missed("m", 5.0)
    assert_that(shortages.find_duration("m", 5.5), Equals(0.5))


def test_models_are_short_by_themselves() -> None:
    shortages = Shortages()
    shortages.note_missed("m", 1.0)
    assert_that(shortages.is_short("other", 1.0), Is(False))
    assert_that(list(shortages.list_short(1.0)), Equals(["m"]))
