"""The shares of nodes in the slots of a group."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.shares import (
    KEPT_BACK_PART,
    NEWS_LIFE_S,
    NO_LIMIT,
    SlotShares,
)

NODES = 15
SLOTS = 24
NOW = 5.0


def make_shares(seed: int = 1) -> SlotShares:
    return SlotShares(generator=random.Random(seed))


def sum_limits(own: int, *, seed: int) -> float:
    """Return what all nodes together may have at a group."""
    total = 0.0
    for node in range(NODES):
        shares = make_shares(seed * NODES + node)
        shares.note_sums({"g": own * NODES}, {"g": own}, NODES, NOW)
        total += shares.find_limit("g", SLOTS, NOW)
    return total


@pytest.mark.parametrize("own", [0, 1, 2, 4])
def test_all_nodes_together_fill_a_group_and_hardly_more(own: int) -> None:
    # Four requests at each of 15 nodes are far more than there are slots.
    sums = [sum_limits(own, seed=seed) for seed in range(200)]
    mean = sum(sums) / len(sums)
    assert_that(mean, GreaterThan(0.8 * SLOTS))
    assert_that(mean, LessThan(float(SLOTS)))
    overfull = sum(one > SLOTS for one in sums) / len(sums)
    assert_that(overfull, LessThan(0.25))


def test_a_share_stays_the_same_until_the_next_news() -> None:
    shares = make_shares()
    shares.note_sums({"g": 12}, {"g": 1}, NODES, NOW)
    limits = {shares.find_limit("g", SLOTS, NOW) for _ in range(50)}
    assert_that(len(limits), Equals(1))


def test_a_node_that_has_nothing_yet_counts_beside_the_others() -> None:
    shares = make_shares()
    shares.note_sums({}, {}, 1, NOW)
    kept_back = KEPT_BACK_PART * SLOTS
    half = (SLOTS - kept_back) / 2
    limit = shares.find_limit("g", SLOTS, NOW)
    assert_that(limit < half + 1, Is(True))


@pytest.mark.parametrize(
    ("senders", "age_s"), [(0, 0.0), (NODES, NEWS_LIFE_S + 0.1)]
)
def test_without_news_a_node_has_no_limit(senders: int, age_s: float) -> None:
    # Nobody leads, the leader is of an older release, or this node has begun.
    assert_that(make_shares().find_limit("g", SLOTS, NOW), Equals(NO_LIMIT))
    shares = make_shares()
    shares.note_sums({"g": SLOTS}, {}, senders, NOW)
    limit = shares.find_limit("g", SLOTS, NOW + age_s)
    assert_that(limit, Equals(NO_LIMIT))
