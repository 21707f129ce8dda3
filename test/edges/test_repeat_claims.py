"""What a request takes of the budget of repeats, from decision to send."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.edges.serving.repeatclaim import RepeatClaim
from chervilrock.tasks.serving.state import RetryBounds, ServingState

SERVICE = "models"


@pytest.fixture
def state() -> ServingState:
    """A node that may send three requests again."""
    state = ServingState(
        own=NodeEntry("n1", "i1", "10.0.0.1:1", "10.0.0.1:2", "a"),
        bounds=RetryBounds(ratio=0.0, slack=4.0, window_s=10.0),
        generator=random.Random(1),
    )
    budget = state.budget(SERVICE)
    budget.refill(1, 0.0)
    for turn in range(1, 30):
        budget.refill(1, 10.0 * turn)
    assert_that(budget.describe().left, Equals(3.0))
    return state


@pytest.fixture
def claim(state) -> RepeatClaim:
    claim = RepeatClaim(state=state)
    claim.admit(SERVICE, 300.0)
    return claim


def count_left(state: ServingState) -> float:
    return state.budget(SERVICE).describe().left


def test_a_repeat_that_is_sent_is_spent(state, claim) -> None:
    assert_that(claim.reserve(), Is(True))
    claim.begin_send(is_repeat=True)
    claim.end_send(has_left=True)
    claim.give_back()
    assert_that(count_left(state), Equals(2.0))


def test_a_repeat_that_finds_no_place_is_given_back(state, claim) -> None:
    claim.reserve()
    claim.give_back()
    claim.give_back()
    assert_that(count_left(state), Equals(3.0))


def test_a_repeat_of_which_no_byte_left_is_taken_back(state, claim) -> None:
    claim.reserve()
    claim.begin_send(is_repeat=True)
    claim.end_send(has_left=False)
    assert_that(count_left(state), Equals(3.0))


def test_the_first_send_that_arrives_is_no_repeat(state, claim) -> None:
    # A stream was moved away from a group before its request had left.
    claim.reserve()
    claim.begin_send(is_repeat=False)
    claim.end_send(has_left=True)
    assert_that(count_left(state), Equals(3.0))


def test_one_request_reserves_one_repeat(state, claim) -> None:
    # A stream that was moved away is judged again when its send has ended.
    claim.reserve()
    claim.reserve()
    assert_that(count_left(state), Equals(2.0))
