"""Which of its own requests are included in the sums that a node receives."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.serving.nodes.reportedloads import (
    NO_LOADS,
    ReportedLoads,
)

TERM = 4


@pytest.fixture
def reported() -> ReportedLoads:
    loads = ReportedLoads()
    for count in (1, 2, 3):
        loads.record(TERM, {"s": count})
    return loads


@pytest.mark.parametrize(("lag", "count"), [(1, 3), (2, 2)])
def test_sums_include_the_loads_of_an_earlier_report(
    reported, lag, count
) -> None:
    assert_that(reported.find_included(TERM, lag)["s"], Equals(count))


def test_reported_loads_do_not_change_with_the_current_requests() -> None:
    reported = ReportedLoads()
    loads = {"s": 1}
    reported.record(TERM, loads)
    loads["s"] = 9
    assert_that(reported.find_included(TERM, 1)["s"], Equals(1))


def test_sums_of_a_new_leader_include_nothing_of_this_node_yet(
    reported,
) -> None:
    assert_that(reported.find_included(TERM + 1, 1), Equals(NO_LOADS))
    reported.record(TERM + 1, {"s": 5})
    assert_that(reported.find_included(TERM + 1, 1), Equals({"s": 5}))
    assert_that(reported.find_included(TERM + 1, 2), Equals(NO_LOADS))
