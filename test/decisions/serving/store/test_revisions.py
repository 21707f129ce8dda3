"""When a node requests a configuration from another node."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from chervilrock.decisions.serving.store.revisions import (
    NO_REVISION,
    RETRY_INTERVAL_S,
    RevisionTracker,
    STORE_WAIT_S,
)
from test.decisions.serving.nodes.test_relays import make_node

NEAR = (make_node("n1", "a"), make_node("n2", "a"))
LEADER = make_node("m", "b")


def test_no_document_is_requested_if_the_store_delivers_it_soon() -> None:
    # 77 nodes read revision 7 from the store within 0.1 s of each other, and
    # the leader announces it to each of them before or after that.
    generator = random.Random(1)
    request_count = 0
    for _ in range(77):
        tracker = RevisionTracker()
        read_at = generator.uniform(0.0, 0.1)
        reported_at = generator.uniform(0.0, 0.1)
        tracker.record_reported(
            7, 7 if reported_at >= read_at else 6, reported_at
        )
        for step in range(100):
            now = step * 0.05
            request_count += tracker.is_due(7 if now >= read_at else 6, now)
    assert_that(request_count, Equals(0))


def test_a_node_without_the_store_retries_until_it_has_the_document() -> None:
    tracker = RevisionTracker()
    generator = random.Random(1)
    tracker.record_reported(7, 6, 0.0)
    assert_that(tracker.is_due(6, STORE_WAIT_S - 0.01), Is(False))
    sources = []
    now = STORE_WAIT_S
    for _ in range(4):
        assert_that(tracker.is_due(6, now), Is(True))
        sources.append(tracker.choose_source(NEAR, LEADER, generator, now))
        assert_that(tracker.is_due(6, now + RETRY_INTERVAL_S / 2), Is(False))
        now += RETRY_INTERVAL_S + 0.01
    assert_that(
        [source in NEAR for source in sources], Equals([True, False] * 2)
    )
    assert_that(tracker.is_due(7, now), Is(False))


def test_the_reporting_node_is_chosen_without_other_near_nodes() -> None:
    tracker = RevisionTracker()
    tracker.record_reported(7, 6, 0.0)
    for _ in range(3):
        source = tracker.choose_source((), LEADER, random.Random(1), 1.0)
        assert_that(source is LEADER, Is(True))


def test_a_report_of_an_older_revision_changes_nothing() -> None:
    tracker = RevisionTracker()
    tracker.record_reported(7, 6, 0.0)
    tracker.record_reported(5, 6, 1.0)
    assert_that(tracker.is_due(6, STORE_WAIT_S), Is(True))


def test_a_node_without_any_configuration_requests_one_at_once() -> None:
    tracker = RevisionTracker()
    tracker.record_reported(7, NO_REVISION, 0.0)
    assert_that(tracker.is_due(NO_REVISION, 0.0), Is(True))


def test_frequent_revisions_do_not_delay_a_node_without_the_store() -> None:
    # A change each 0.24 s for 5 s; this node gets none of them from the store.
    tracker = RevisionTracker()
    requested_at = None
    for step in range(110):
        now = step * 0.05
        tracker.record_reported(40 + int(now / 0.24), 39, now)
        if requested_at is None and tracker.is_due(39, now):
            requested_at = now
    assert requested_at is not None
    assert_that(requested_at, LessThan(STORE_WAIT_S + 0.06))


def test_frequent_revisions_from_the_store_cause_no_requests() -> None:
    # The node gets each change from the store 0.1 s after its announcement.
    tracker = RevisionTracker()
    request_count = 0
    for step in range(110):
        now = step * 0.05
        own = 40 + int((now - 0.1) / 0.24)
        tracker.record_reported(40 + int(now / 0.24), own, now)
        request_count += tracker.is_due(own, now)
    assert_that(request_count, Equals(0))


def test_a_node_that_does_not_read_the_store_sends_a_request_at_once() -> None:
    tracker = RevisionTracker()
    tracker.record_reported(7, 6, 1.0)
    assert_that(tracker.is_due(6, 1.0, is_reading=True), Is(False))
    assert_that(tracker.is_due(6, 1.0, is_reading=False), Is(True))
