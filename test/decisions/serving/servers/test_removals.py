"""Removed entries of servers, with and without an outage of the store."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.servers.removals import (
    MIN_FAILURES,
    MIN_OUTAGE_S,
    Removals,
    REWRITE_S,
)

OUTAGE_S = 5.0


def make_removals() -> Removals:
    return Removals(recovered_at=float("-inf"), now=0.0)


def recover(removals: Removals, failures: int, now: float) -> None:
    """Record the first answer after some failed reads."""
    for _ in range(failures):
        removals.record_failure()
    removals.record_answer(now)


def test_a_removal_takes_effect_at_once() -> None:
    removals = make_removals()
    removals.record_answer(0.7)
    removals.record_removed("s", 0.7)
    assert_that(removals.take_due(0.7), HasLength(1))
    assert_that(removals.take_due(0.8), HasLength(0))


def test_a_single_failed_read_holds_no_removal() -> None:
    # Its connection was lost; the answer to the next read has the removal.
    removals = make_removals()
    recover(removals, 1, OUTAGE_S)
    removals.record_removed("s", OUTAGE_S)
    assert_that(removals.take_due(OUTAGE_S), HasLength(1))


def test_a_store_that_rejects_single_reads_holds_no_removal() -> None:
    removals = make_removals()
    for step in range(1, 20):
        recover(removals, step % MIN_FAILURES, step * MIN_OUTAGE_S)
    removals.record_removed("s", 20.0)
    assert_that(removals.take_due(20.0), HasLength(1))


def test_entries_that_may_have_lapsed_are_awaited() -> None:
    removals = make_removals()
    recover(removals, MIN_FAILURES, OUTAGE_S)
    removals.record_removed("gone", OUTAGE_S)
    removals.record_removed("back", OUTAGE_S + 0.1)
    assert_that(removals.take_due(OUTAGE_S + REWRITE_S - 0.1), HasLength(0))
    removals.record_written("back")
    due = removals.take_due(OUTAGE_S + REWRITE_S)
    assert_that([removal.server for removal in due], Equals(["gone"]))


def test_an_announced_removal_does_not_wait_for_the_end_of_an_outage() -> None:
    removals = make_removals()
    recover(removals, MIN_FAILURES, OUTAGE_S)
    removals.record_removed("s", OUTAGE_S, is_announced=True)
    assert_that(removals.take_due(OUTAGE_S), HasLength(1))


def test_a_removal_that_is_announced_later_does_not_wait() -> None:
    removals = make_removals()
    removals.record_restore(1.0)
    removals.record_removed("s", 1.0)
    removals.record_removed("s", 1.1, is_announced=True)
    assert_that(removals.take_due(1.1), HasLength(1))


def test_a_recovery_that_other_calls_showed_counts() -> None:
    removals = make_removals()
    recover(removals, 1, OUTAGE_S)
    removals.record_recovery(OUTAGE_S)
    removals.record_removed("s", OUTAGE_S)
    assert_that(removals.take_due(OUTAGE_S), HasLength(0))


def test_a_removal_is_held_while_the_store_is_away_again() -> None:
    # Servers cannot write again while no read is answered.
    removals = make_removals()
    recover(removals, MIN_FAILURES, OUTAGE_S)
    removals.record_removed("s", OUTAGE_S)
    for _ in range(MIN_FAILURES):
        removals.record_failure()
    assert_that(removals.take_due(OUTAGE_S + REWRITE_S), HasLength(0))


def test_a_removal_is_held_after_a_restore_and_at_a_late_start() -> None:
    removals = make_removals()
    removals.record_restore(1.0)
    removals.record_removed("s", 1.0)
    assert_that(removals.take_due(2.0), HasLength(0))
    late = Removals(recovered_at=9.0, now=10.0)
    late.record_removed("s", 10.0)
    assert_that(late.take_due(10.0), HasLength(0))
    assert_that(late.take_due(9.0 + REWRITE_S), HasLength(1))
