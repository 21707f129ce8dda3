"""When a node asks another one for a configuration."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from chervilrock.decisions.serving.revisions import (
    NOTHING,
    PATIENCE_S,
    PAUSE_S,
    RevisionWatch,
)
from test.decisions.serving.test_relays import make_node

NEAR = (make_node("n1", "a"), make_node("n2", "a"))
LEADER = make_node("m", "b")


def test_no_document_travels_when_the_store_gives_it_soon() -> None:
    # 77 nodes read revision 7 from the store within 0.1 s of each other, and
    # each hears of it from the leader before or after that.
    generator = random.Random(1)
    asked = 0
    for _ in range(77):
        watch = RevisionWatch()
        read_at = generator.uniform(0.0, 0.1)
        told_at = generator.uniform(0.0, 0.1)
        watch.note_told(7, 7 if told_at >= read_at else 6, told_at)
        for step in range(100):
            now = step * 0.05
            asked += watch.is_due(7 if now >= read_at else 6, now)
    assert_that(asked, Equals(0))


def test_a_node_without_the_store_asks_until_it_has_the_document() -> None:
    watch = RevisionWatch()
    generator = random.Random(1)
    watch.note_told(7, 6, 0.0)
    assert_that(watch.is_due(6, PATIENCE_S - 0.01), Is(False))
    sources = []
    now = PATIENCE_S
    for _ in range(4):
        assert_that(watch.is_due(6, now), Is(True))
        sources.append(watch.choose_source(NEAR, LEADER, generator, now))
        assert_that(watch.is_due(6, now + PAUSE_S / 2), Is(False))
        now += PAUSE_S + 0.01
    assert_that([one in NEAR for one in sources], Equals([True, False] * 2))
    assert_that(watch.is_due(7, now), Is(False))


def test_the_node_that_told_is_asked_when_no_other_is_near() -> None:
    watch = RevisionWatch()
    watch.note_told(7, 6, 0.0)
    for _ in range(3):
        source = watch.choose_source((), LEADER, random.Random(1), 1.0)
        assert_that(source is LEADER, Is(True))


def test_hearing_of_an_older_revision_changes_nothing() -> None:
    watch = RevisionWatch()
    watch.note_told(7, 6, 0.0)
    watch.note_told(5, 6, 1.0)
    assert_that(watch.is_due(6, PATIENCE_S), Is(True))


def test_a_node_without_any_configuration_asks_at_once() -> None:
    watch = RevisionWatch()
    watch.note_told(7, NOTHING, 0.0)
    assert_that(watch.is_due(NOTHING, 0.0), Is(True))


def test_a_node_that_gets_nothing_asks_during_a_storm_of_revisions() -> None:
    # A change each 0.24 s for 5 s; the store gives this node none of them.
    watch = RevisionWatch()
    asked_at = None
    for step in range(110):
        now = step * 0.05
        watch.note_told(40 + int(now / 0.24), 39, now)
        if asked_at is None and watch.is_due(39, now):
            asked_at = now
    assert asked_at is not None
    assert_that(asked_at, LessThan(PATIENCE_S + 0.06))


def test_a_node_that_the_store_serves_asks_nobody_during_a_storm() -> None:
    # Each change reaches the node from the store 0.1 s after it was told.
    watch = RevisionWatch()
    asked = 0
    for step in range(110):
        now = step * 0.05
        own = 40 + int((now - 0.1) / 0.24)
        watch.note_told(40 + int(now / 0.24), own, now)
        asked += watch.is_due(own, now)
    assert_that(asked, Equals(0))


def test_a_node_that_does_not_read_the_store_asks_at_once() -> None:
    watch = RevisionWatch()
    watch.note_told(7, 6, 1.0)
    assert_that(watch.is_due(6, 1.0, is_reading=True), Is(False))
    assert_that(watch.is_due(6, 1.0, is_reading=False), Is(True))
