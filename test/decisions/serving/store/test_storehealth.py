"""When pending long polls have to be restarted after an outage."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.store.storehealth import (
    MAX_READ_S,
    MIN_OUTAGE_S,
    StoreMonitor,
    StoreStatus,
)


def test_the_first_answer_after_an_outage_counts_as_a_recovery():
    monitor = StoreMonitor(now=0.0)
    assert_that(monitor.record_answer("servers", 1.0), Is(False))
    monitor.record_failure("servers", 2.5, is_timeout=True)
    monitor.record_failure("servers", 3.5, is_timeout=False)
    assert_that(monitor.unavailable_since == 2.5, Is(True))
    assert_that(monitor.record_answer("servers", 4.0), Is(True))
    assert_that(monitor.record_answer("servers", 4.1), Is(False))
    assert_that((monitor.recoveries, monitor.recovered_at), Equals((1, 4.0)))
    assert_that(monitor.unavailable_since is None, Is(True))


def test_an_unanswered_topic_recovers_while_others_are_answered():
    # The answer to one read is lost; other reads are answered all the time.
    monitor = StoreMonitor(now=0.0)
    monitor.record_answer("servers", 1.0)
    monitor.record_failure("configuration", 1.1, is_timeout=True)
    assert_that(monitor.record_answer("servers", 1.2), Is(False))
    monitor.record_failure("configuration", 1.3, is_timeout=True)
    assert_that(monitor.record_answer("configuration", 1.4), Is(True))


def test_answers_for_another_topic_are_no_recovery_of_an_unanswered_one():
    # For 10 s the store answers only reads of servers.
    monitor = StoreMonitor(now=0.0)
    for step in range(40):
        now = step * 0.25
        if step % 5 == 0:
            monitor.record_failure("configuration", now, is_timeout=True)
        monitor.record_answer("servers", now)
    assert_that(monitor.recoveries, Equals(0))


def test_a_store_that_rejects_single_calls_does_not_recover_each_time():
    # Half of four calls a second are rejected for 8 s.
    monitor = StoreMonitor(now=0.0)
    for step in range(32):
        now = step * 0.25
        if step % 2:
            monitor.record_failure("servers", now, is_timeout=False)
        else:
            monitor.record_answer("servers", now)
    assert_that(monitor.recoveries, Equals(0))


def test_a_store_that_rejected_all_calls_for_a_while_recovers():
    monitor = StoreMonitor(now=0.0)
    monitor.record_failure("nodes", MIN_OUTAGE_S / 2, is_timeout=False)
    assert_that(monitor.record_answer("servers", MIN_OUTAGE_S), Is(True))


def test_each_announced_recovery_counts_once():
    monitor = StoreMonitor(now=0.0)
    recovered = [
        monitor.record_status(StoreStatus(term, returns))
        for term, returns in [(5, 0), (5, 1), (5, 1), (9, 0), (9, 1), (9, 2)]
    ]
    assert_that(recovered, Equals([False, True, False, False, True, True]))


def test_the_successor_of_a_leader_without_the_store_counts_a_recovery():
    # An outage of 0.2 s broke the reads of all nodes. The leader stepped down
    # after 1.5 s, and its successor had not detected the outage.
    monitor = StoreMonitor(now=0.0)
    monitor.record_leader_outage(1.5)
    monitor.begin_term(1.6)
    assert_that(monitor.recoveries, Equals(1))


def test_a_leader_counts_a_recovery_shortly_before_its_term():
    # The former leader was lost during the outage of the store.
    monitor = StoreMonitor(now=0.0)
    monitor.record_failure("nodes", 1.0, is_timeout=True)
    monitor.record_answer("nodes", 5.0)
    monitor.begin_term(5.1)
    assert_that(monitor.recoveries, Equals(1))
    monitor.begin_term(5.0 + MAX_READ_S)
    assert_that(monitor.recoveries, Equals(0))


def test_one_failed_read_is_no_outage() -> None:
    # The store answered the next read 0.1 s later.
    monitor = StoreMonitor(now=0.0)
    monitor.record_failure("nodes", 20.0, is_timeout=True)
    assert_that(monitor.record_answer("nodes", 20.1), Is(True))
    assert_that(monitor.recovered_at, Equals(float("-inf")))
