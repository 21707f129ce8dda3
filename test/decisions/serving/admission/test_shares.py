"""The shares of nodes in the slots of a group."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.shares import (
    MAX_TOTALS_AGE_S,
    NO_LIMIT,
    RESERVED_FRACTION,
    SlotShares,
)

NODES = 15
SLOTS = 24
NOW_S = 5.0


def make_shares(seed: int = 1) -> SlotShares:
    return SlotShares(generator=random.Random(seed))


def sum_limits(own: int, *, seed: int) -> float:
    """Return how many requests all nodes together may have at a group."""
    total = 0.0
    for node in range(NODES):
        shares = make_shares(seed * NODES + node)
        shares.record_totals({"g": own * NODES}, {"g": own}, NODES, NOW_S)
        total += shares.find_limit("g", SLOTS, NOW_S)
    return total


@pytest.mark.parametrize("own", [0, 1, 2, 4])
def test_all_nodes_together_fill_a_group_and_hardly_more(own: int) -> None:
    # Four requests at each of 15 nodes are far more than the group has slots.
    totals = [sum_limits(own, seed=seed) for seed in range(200)]
    mean = sum(totals) / len(totals)
    assert_that(mean, GreaterThan(0.8 * SLOTS))
    assert_that(mean, LessThan(float(SLOTS)))
    overfull = sum(total > SLOTS for total in totals) / len(totals)
    assert_that(overfull, LessThan(0.25))


def test_a_share_stays_the_same_until_the_next_totals() -> None:
    shares = make_shares()
    shares.record_totals({"g": 12}, {"g": 1}, NODES, NOW_S)
    limits = {shares.find_limit("g", SLOTS, NOW_S) for _ in range(50)}
    assert_that(len(limits), Equals(1))


def test_a_node_without_requests_counts_as_another_sender() -> None:
    shares = make_shares()
    shares.record_totals({}, {}, 1, NOW_S)
    reserved = RESERVED_FRACTION * SLOTS
    half = (SLOTS - reserved) / 2
    limit = shares.find_limit("g", SLOTS, NOW_S)
    assert_that(limit < half + 1, Is(True))


@pytest.mark.parametrize(
    ("senders", "age_s"), [(0, 0.0), (NODES, MAX_TOTALS_AGE_S + 0.1)]
)
def test_without_recent_totals_a_node_has_no_limit(
    senders: int, age_s: float
) -> None:
    # There is no leader, the leader runs an older release, or this node has
    # just started.
    assert_that(make_shares().find_limit("g", SLOTS, NOW_S), Equals(NO_LIMIT))
    shares = make_shares()
    shares.record_totals({"g": SLOTS}, {}, senders, NOW_S)
    limit = shares.find_limit("g", SLOTS, NOW_S + age_s)
    assert_that(limit, Equals(NO_LIMIT))
