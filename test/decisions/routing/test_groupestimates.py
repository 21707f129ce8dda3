"""Estimates of the state of groups: their updates and their expiry."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.decisions.routing import (
    attempts,
    base,
    inflight,
    known_groups,
    loads,
    prefixes,
)


def make_load(running, waiting=0, age_ms=0, cache_used=0.1):
    return {
        "running": running,
        "waiting": waiting,
        "cache_used": cache_used,
        "tokens_per_s": 1.0,
        "age_ms": age_ms,
    }


def make_endpoint(group, fence=1):
    return base.Endpoint(group, fence, "m", "1", (), "10.0.0.1:1", "dc", 2)


@pytest.fixture
def load():
    return loads.GroupLoads()


@pytest.fixture
def index():
    return prefixes.PrefixIndex(capacity=100)


def test_own_attempts_at_the_time_of_a_report_are_subtracted_from_it(load):
    load.add("1", "g", 0.0)
    load.add("2", "g", 5.0)
    load.on_report("g", make_load(10, age_ms=1000), 5.5)
    assert_that(load.estimate("g", 5.5), Equals(11.0))


def test_older_report_does_not_replace_a_newer_one(load):
    load.on_report("g", make_load(4, age_ms=100), 10.0)
    load.on_report("g", make_load(9, age_ms=2000), 10.5)
    assert_that(load.estimate("g", 10.5), Equals(4.0))


def test_report_expires(load):
    load.on_report("g", make_load(4), 0.0)
    expired = load.estimate("g", loads.REPORT_LIFETIME_S + 0.1)
    assert_that(expired is None, Equals(True))


def test_group_with_full_kv_cache_counts_as_full(load):
    load.on_report("g", make_load(4, cache_used=0.95), 0.0)
    assert_that(load.is_full("g", 0.1), Equals(True))


def test_end_that_comes_twice_is_counted_once():
    in_flight = inflight.InFlightAttempts()
    in_flight.add("1", "g")
    in_flight.add("2", "g")
    assert_that(in_flight.discard("1", "g"), Equals(True))
    assert_that(in_flight.discard("1", "g"), Equals(False))
    assert_that(in_flight.count("g"), Equals(1))


def test_index_stays_within_its_capacity(index):
    for block in range(1000):
        index.add(block, "g", 0.0)
    assert_that(len(index), Equals(100))


def test_entry_of_the_index_expires(index):
    index.add_prompt((1, 2, 3), "g", 0.0)
    assert_that(index.match((1, 2, 3), 1.0), Equals({"g": 3}))
    later = prefixes.ENTRY_LIFETIME_S + 1.0
    assert_that(len(index.match((1, 2, 3), later)), Equals(0))


def test_evicted_block_is_no_longer_matched(index):
    index.add_prompt((1, 2, 3), "g", 0.0)
    index.discard(3, "g")
    assert_that(index.match((1, 2, 3), 1.0), Equals({"g": 1}))


def test_groups_with_new_hosts_or_unlisted_for_long_are_forgotten():
    registry = known_groups.KnownGroups()
    listed = [make_endpoint("a"), make_endpoint("b")]
    assert_that(len(registry.update(listed, 0.0)), Equals(0))
    repaired = [make_endpoint("a", fence=2)]
    assert_that(registry.update(repaired, 1.0), Equals(["a"]))
    later = known_groups.FORGET_AFTER_S + 2.0
    assert_that(registry.update(repaired, later), Equals(["b"]))


def test_prompt_without_first_token_counts_as_pending():
    tracker = attempts.AttemptTracker()
    tracker.start("1", "g", 500.0)
    expected_s = tracker.start("2", "g", 100.0)
    assert_that(tracker.count_pending_tokens("g"), Equals(600.0))
    assert_that(attempts.CACHED_FIRST_TOKEN_S, LessThan(expected_s))
    tracker.record_first_token("1", "g", 0.1, 0.1)
    tracker.finish("2", "g")
    assert_that(tracker.count_pending_tokens("g"), Equals(0.0))


def test_time_between_tokens_is_measured_since_the_last_progress():
    tracker = attempts.AttemptTracker()
    tracker.start("1", "g", 500.0)
    tracker.record_first_token("1", "g", 0.5, 1.0)
    too_few = tracker.record_progress("1", "g", 2, 1.1)
    assert_that(too_few is None, Equals(True))
    first = tracker.record_progress("1", "g", 9, 3.0)
    second = tracker.record_progress("1", "g", 17, 4.0)
    assert first is not None
    assert second is not None
    assert_that([first, second], Equals([0.25, 0.125]))
