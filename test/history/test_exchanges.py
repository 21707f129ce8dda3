"""What callers of single requests are told after certain failures."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.history import Told
from test.history import exchanges


def test_lost_answer_is_not_told_not_run(get_told):
    told = get_told(exchanges.repeat_silently)
    assert_that(told, Equals([Told.UNKNOWN, Told.UNKNOWN]))


def test_repeat_of_a_key_in_an_outage_is_not_told_not_run(get_told):
    told = get_told(exchanges.repeat_key_in_outage)
    assert_that(told, Equals([Told.WHOLE, Told.UNKNOWN]))
