from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner import Planner
from chervilrock.decisions.planner.estimates import LoadTimes
from test.decisions.planner.planner_views import (
    make_host,
    make_input,
    make_spec,
)


def test_forms_first_what_is_worth_most_for_a_shard():
    hosts = [make_host(f"h{number}") for number in range(8)]
    specs = [
        make_spec("low", groups=1, size=4, weight=1.0),
        make_spec("high", groups=1, size=4, weight=2.0),
    ]
    planner = Planner(times=LoadTimes(parallel=8))
    actions: Any = planner.plan(make_input(specs, hosts), 0.0)
    assert_that([each.model for each in actions], Equals(["high", "low"]))


def test_forms_no_more_than_the_weight_store_can_feed():
    hosts = [make_host(f"h{number}") for number in range(8)]
    specs = [make_spec(groups=4, size=2)]
    planner = Planner(times=LoadTimes(parallel=3))
    actions = planner.plan(make_input(specs, hosts), 0.0)
    assert_that(len(actions), Equals(2))
    busy = Planner(times=LoadTimes(parallel=3, in_flight=3))
    assert_that(len(busy.plan(make_input(specs, hosts), 0.0)), Equals(0))
