"""Credit under a bound that all processes share."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from chervilrock.decisions.serving.credit import (
    Credit,
    deal_share,
    LEAST_BALANCE,
)

MOST = 3.0


@pytest.fixture
def credit() -> Credit:
    return Credit()


def test_a_process_starts_with_nothing(credit) -> None:
    assert_that(credit.hold(), Is(False))


def test_no_more_is_kept_than_the_greatest_balance(credit) -> None:
    for _ in range(10):
        credit.earn(1.0, MOST)
    held = sum(credit.hold() for _ in range(10))
    assert_that(held, Equals(3))


def test_what_is_held_counts_in_the_balance_until_it_is_spent(credit) -> None:
    credit.earn(MOST, MOST)
    assert_that(credit.hold(), Is(True))
    credit.earn(1.0, MOST)
    assert_that(credit.left, Equals(2.0))
    credit.spend()
    credit.earn(1.0, MOST)
    assert_that(credit.left, Equals(3.0))


def test_what_is_released_or_refunded_is_there_again(credit) -> None:
    credit.earn(1.0, MOST)
    assert_that(credit.hold(), Is(True))
    credit.release()
    assert_that(credit.hold(), Is(True))
    credit.spend()
    credit.refund(MOST)
    assert_that(credit.left, Equals(1.0))


def test_a_lower_greatest_balance_takes_back_what_was_kept(credit) -> None:
    credit.earn(MOST, MOST)
    credit.earn(0.0, 1.0)
    assert_that(credit.left, Equals(1.0))


@pytest.mark.parametrize("sharers", [1, 7, 77, 195, 300])
def test_shares_add_up_to_what_all_may_use(sharers) -> None:
    amount = 496.0
    share = deal_share(amount, sharers)
    total = sharers * (share.kept + share.earned)
    assert_that(total, LessThan(amount + 1e-6))


def test_a_share_below_one_is_kept_whole_and_earned_by_use_alone() -> None:
    share = deal_share(100.0, 400)
    assert_that(share.kept, Equals(LEAST_BALANCE))
    assert_that(share.earned, Equals(0.0))
