import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.servers.absences import (
    Absence,
    SnapshotAbsences,
)


@pytest.fixture
def absences() -> SnapshotAbsences:
    absences = SnapshotAbsences()
    absences.record_snapshot(["a", "b", "c"], ["a", "d"], settled_at=20)
    return absences


def test_servers_without_an_entry_are_gone_once(absences) -> None:
    gone = absences.take_gone(20)
    assert_that(gone, Equals(Absence(frozenset("bc"), 20, 3)))
    assert_that(absences.take_gone(21), Is(None))


def test_an_entry_written_while_pages_were_read_is_not_gone(absences) -> None:
    assert_that(absences.take_gone(10), Is(None))
    absences.record_written("b")
    gone = absences.take_gone(25)
    assert_that(gone, Equals(Absence(frozenset("c"), offset=25, before=3)))


def test_a_later_snapshot_replaces_an_earlier_one(absences) -> None:
    absences.record_snapshot(["a", "b"], ["a", "b"], settled_at=30)
    assert_that(absences.take_gone(30), Is(None))


def test_nothing_is_gone_before_a_snapshot() -> None:
    gone = SnapshotAbsences().take_gone(5)
    assert_that(gone is None, Is(True))
