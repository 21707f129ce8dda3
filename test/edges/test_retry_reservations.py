"""Use of the retry budget by one request, from the decision to the send."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.edges.serving.retryreservation import RetryReservation
from chervilrock.tasks.serving.state import RetryBounds, ServingState

SERVICE = "models"


@pytest.fixture
def state() -> ServingState:
    """State of a node that may send three retries."""
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
def reservation(state) -> RetryReservation:
    reservation = RetryReservation(state=state)
    reservation.admit(SERVICE, 300.0)
    return reservation


def count_left(state: ServingState) -> float:
    return state.budget(SERVICE).describe().left


def test_a_retry_that_is_sent_is_spent(state, reservation) -> None:
    assert_that(reservation.reserve(), Is(True))
    reservation.begin_send(is_retry=True)
    reservation.end_send(is_sent=True)
    reservation.release()
    assert_that(count_left(state), Equals(2.0))


def test_a_retry_without_a_slot_is_released(state, reservation) -> None:
    reservation.reserve()
    reservation.release()
    reservation.release()
    assert_that(count_left(state), Equals(3.0))


def test_a_retry_of_which_no_byte_was_sent_is_refunded(
    state, reservation
) -> None:
    reservation.reserve()
    reservation.begin_send(is_retry=True)
    reservation.end_send(is_sent=False)
    assert_that(count_left(state), Equals(3.0))


def test_the_first_send_that_leaves_the_node_is_no_retry(
    state, reservation
) -> None:
    # A stream was moved away from a stalled group before its request was sent.
    reservation.reserve()
    reservation.begin_send(is_retry=False)
    reservation.end_send(is_sent=True)
    assert_that(count_left(state), Equals(3.0))


def test_one_request_reserves_one_retry(state, reservation) -> None:
    # A stream that was moved away is evaluated again when its send has ended.
    reservation.reserve()
    reservation.reserve()
    assert_that(count_left(state), Equals(2.0))


def test_a_request_that_another_node_passed_on_earns_nothing_twice() -> None:
    state = ServingState(
        own=NodeEntry("n1", "i1", "10.0.0.1:1", "10.0.0.1:2", "a"),
        bounds=RetryBounds(ratio=0.2, slack=0.0, window_s=10.0),
        generator=random.Random(1),
    )
    for is_passed_on, earns in ((True, False), (False, True)):
        before = count_left(state)
        for number in range(5):
            RetryReservation(state=state).admit(
                SERVICE, number / 10, is_passed_on=is_passed_on
            )
        assert_that(count_left(state) > before, Is(earns))
