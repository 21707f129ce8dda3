"""Which of its own requests a node finds in the leader's sums."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.serving.toldloads import NO_LOADS, ToldLoads

TERM = 4


@pytest.fixture
def told() -> ToldLoads:
    made = ToldLoads()
    for count in (1, 2, 3):
        made.note(TERM, {"s": count})
    return made


@pytest.mark.parametrize(("lag", "count"), [(1, 3), (2, 2)])
def test_sums_hold_what_was_told_some_answers_ago(told, lag, count) -> None:
    assert_that(told.find_counted(TERM, lag)["s"], Equals(count))


def test_what_was_told_does_not_change_with_the_present_requests() -> None:
    told = ToldLoads()
    loads = {"s": 1}
    told.note(TERM, loads)
    loads["s"] = 9
    assert_that(told.find_counted(TERM, 1)["s"], Equals(1))


def test_a_new_leader_knows_nothing_of_this_node_yet(told) -> None:
    assert_that(told.find_counted(TERM + 1, 1), Equals(NO_LOADS))
    told.note(TERM + 1, {"s": 5})
    assert_that(told.find_counted(TERM + 1, 1), Equals({"s": 5}))
    assert_that(told.find_counted(TERM + 1, 2), Equals(NO_LOADS))
