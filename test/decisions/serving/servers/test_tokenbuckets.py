"""Token buckets under a bound that all processes share."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from chervilrock.decisions.serving.servers.tokenbuckets import (
    divide_equally,
    MIN_MAX_BALANCE,
    TokenBucket,
)

MAX_BALANCE = 3.0


@pytest.fixture
def bucket() -> TokenBucket:
    return TokenBucket()


def test_a_bucket_starts_empty(bucket) -> None:
    assert_that(bucket.reserve(), Is(False))


def test_the_balance_never_exceeds_its_maximum(bucket) -> None:
    for _ in range(10):
        bucket.refill(1.0, MAX_BALANCE)
    reserved = sum(bucket.reserve() for _ in range(10))
    assert_that(reserved, Equals(3))


def test_reserved_tokens_count_in_the_balance_until_they_are_spent(
    bucket,
) -> None:
    bucket.refill(MAX_BALANCE, MAX_BALANCE)
    assert_that(bucket.reserve(), Is(True))
    bucket.refill(1.0, MAX_BALANCE)
    assert_that(bucket.available, Equals(2.0))
    bucket.spend()
    bucket.refill(1.0, MAX_BALANCE)
    assert_that(bucket.available, Equals(3.0))


def test_released_or_refunded_tokens_are_available_again(bucket) -> None:
    bucket.refill(1.0, MAX_BALANCE)
    assert_that(bucket.reserve(), Is(True))
    bucket.release()
    assert_that(bucket.reserve(), Is(True))
    bucket.spend()
    bucket.refund(MAX_BALANCE)
    assert_that(bucket.available, Equals(1.0))


def test_a_lower_maximum_reduces_the_balance(bucket) -> None:
    bucket.refill(MAX_BALANCE, MAX_BALANCE)
    bucket.refill(0.0, 1.0)
    assert_that(bucket.available, Equals(1.0))


@pytest.mark.parametrize("processes", [1, 7, 77, 195, 300])
def test_shares_add_up_to_what_all_may_use(processes) -> None:
    amount = 496.0
    share = divide_equally(amount, processes)
    total = processes * (share.max_balance + share.refill_per_window)
    assert_that(total, LessThan(amount + 1e-6))


def test_a_share_below_one_token_allows_one_and_gets_no_refill() -> None:
    share = divide_equally(100.0, 400)
    assert_that(share.max_balance, Equals(MIN_MAX_BALANCE))
    assert_that(share.refill_per_window, Equals(0.0))
