from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.actions import Prices
from chervilrock.decisions.planner import prices

_DESCANSO_JUSTO: Any = {
    "downtime": 1.0,
    "stranded": 3.0,
    "calendar": (
        {"start": "01-01", "end": "01-31", "downtime": 3.0, "stranded": 3.0},
    ),
}


def test_calendar_holds_on_its_days_only():
    assert_that(prices(_DESCANSO_JUSTO, "01-31"), Equals(Prices(3.0, 3.0)))
    assert_that(prices(_DESCANSO_JUSTO, "02-01"), Equals(Prices(1.0, 3.0)))


def test_period_may_span_the_new_year():
    objective: Any = {
        "calendar": (
            {"start": "12-20", "end": "01-05", "downtime": 9, "stranded": 2},
        ),
    }
    assert_that(prices(objective, "12-31"), Equals(Prices(9, 2)))
    assert_that(prices(objective, "01-05"), Equals(Prices(9, 2)))
    assert_that(prices(objective, "01-06"), Equals(Prices(1.0, 1.0)))


def test_costs_default_to_one():
    assert_that(prices(None, "06-01"), Equals(Prices(1.0, 1.0)))
    assert_that(prices({}, "06-01"), Equals(Prices(1.0, 1.0)))
