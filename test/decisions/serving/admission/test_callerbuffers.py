"""The budget for what is held for callers: pauses, ends, rejected bodies."""

import math

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from chervilrock.decisions.serving.admission.callerbuffers import (
    ANSWER_FRACTION,
    BODY_FRACTION,
    CallerBuffers,
    END_FRACTION,
    find_body_retry_after,
    find_budget,
    PAUSE_FRACTION,
)

BUDGET = 1_000_000


@pytest.fixture
def buffers() -> CallerBuffers[int]:
    return CallerBuffers(budget=BUDGET)


CHUNK = 100


def feed(buffers: CallerBuffers[int], readers: int) -> None:
    """Write to readers that read nothing until all of them are paused."""
    unread = dict.fromkeys(range(readers), 0)
    paused: set[int] = set()
    while len(paused) < readers:
        for reader in unread.keys() - paused:
            unread[reader] += CHUNK
            if buffers.record_unread(reader, unread[reader]):
                buffers.record_pause(reader)
                paused.add(reader)


def test_without_a_memory_limit_nothing_is_bounded() -> None:
    # Installations without the setting must behave as before.
    buffers = CallerBuffers[int](budget=find_budget(0.0))
    assert_that(buffers.add_body(10**15), Is(True))
    assert_that(buffers.record_unread(1, 10**15), Is(False))
    assert_that(buffers.choose_ended(), HasLength(0))


@pytest.mark.parametrize("readers", [5, 50, 500])
def test_any_number_of_slow_readers_share_the_budget(buffers, readers) -> None:
    # The bytes of each connection were bounded, and their sum was not.
    feed(buffers, readers)
    use = buffers.describe()
    assert_that(use.paused, Equals(readers))
    assert_that(use.unread, LessThan(PAUSE_FRACTION * BUDGET + CHUNK * readers))
    assert_that(buffers.is_exceeded, Is(use.unread > END_FRACTION * BUDGET))
    assert_that(buffers.fits(1000), Is(use.unread + 1000 <= BUDGET))


def test_one_slow_reader_is_not_paused_well_below_the_budget(buffers) -> None:
    assert_that(buffers.record_unread(1, BUDGET // 4), Is(False))


def test_a_reader_that_reads_everything_is_never_paused(buffers) -> None:
    # Slow readers must not slow down the others.
    feed(buffers, 100)
    assert_that(buffers.record_unread(-1, 0), Is(False))
    assert_that(buffers.record_unread(-1, 10_000), Is(True))


def test_a_reader_is_resumed_when_it_has_read(buffers) -> None:
    feed(buffers, 100)
    assert_that(buffers.choose_resumed(), HasLength(0))
    buffers.record_unread(3, 0)
    buffers.record_unread(4, 1000)
    assert_that(buffers.choose_resumed(), Equals([3, 4]))


def test_all_readers_are_resumed_when_the_budget_is_free_again(buffers) -> None:
    # A pause that nothing ends would hold a stream up to its time limit.
    feed(buffers, 100)
    for reader in range(1, 100):
        buffers.forget(reader)
    assert_that(buffers.choose_resumed(), Equals([0]))


def test_the_largest_answers_end_and_no_more_than_needed(buffers) -> None:
    for reader in range(10):
        buffers.record_unread(reader, 50_000 + reader)
    buffers.record_collected(20, 300_000)
    buffers.record_unread(20, 7)
    buffers.record_collected(21, 90_000)
    assert_that(buffers.choose_ended(), HasLength(0))
    buffers.record_unread(22, 20_000)
    assert_that(buffers.choose_ended(), Equals([20]))
    buffers.forget(20)
    assert_that(buffers.choose_ended(), HasLength(0))


def test_answers_end_for_bytes_that_have_no_room(buffers) -> None:
    # Failure: an answer waits for room that nothing makes.
    buffers.record_collected(1, int(END_FRACTION * BUDGET))
    room = round((ANSWER_FRACTION - END_FRACTION) * BUDGET)
    assert_that(buffers.has_room(room), Is(True))
    assert_that(buffers.has_room(room + 1), Is(False))
    assert_that(buffers.choose_ended(), HasLength(0))
    assert_that(buffers.choose_ended(room + 1), Equals([1]))
    buffers.forget(1)
    assert_that(buffers.has_room(room + 1), Is(True))
    assert_that(buffers.choose_ended(room + 1), HasLength(0))


def test_bodies_alone_pause_and_end_no_answer(buffers) -> None:
    while buffers.add_body(1000):
        pass
    assert_that(buffers.describe().bodies, Equals(BODY_FRACTION * BUDGET))
    assert_that(buffers.record_unread(1, 100_000), Is(False))
    assert_that(buffers.is_exceeded, Is(False))


def test_a_body_fits_again_after_another_one_was_released(buffers) -> None:
    assert_that(buffers.add_body(BUDGET // 2), Is(True))
    assert_that(buffers.add_body(1), Is(False))
    buffers.release_body(BUDGET // 2)
    assert_that(buffers.add_body(1), Is(True))


def test_a_body_does_not_fit_beside_unread_answers(buffers) -> None:
    feed(buffers, 300)
    room = BUDGET - buffers.describe().unread
    assert_that(buffers.fits(room), Is(True))
    assert_that(buffers.fits(room + 1), Is(False))


def test_callers_of_rejected_bodies_return_at_different_times() -> None:
    assert_that(find_body_retry_after(0.0), GreaterThan(0.0))
    assert_that(
        find_body_retry_after(1.0) / find_body_retry_after(0.0), Equals(3.0)
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["unread", "collected", "body", "end", "forget"]),
            st.integers(0, 5),
            st.integers(0, BUDGET),
        ),
        max_size=40,
    )
)
def test_the_sums_agree_with_what_is_held(steps) -> None:
    # A sum that drifts would pause or reject forever, or never.
    buffers = CallerBuffers[int](budget=BUDGET)
    unread: dict[int, int] = {}
    collected: dict[int, int] = {}
    bodies = 0
    for kind, caller, size in steps:
        if kind == "unread":
            buffers.record_unread(caller, size)
            unread[caller] = size
        elif kind == "collected":
            buffers.record_collected(caller, size)
            collected[caller] = size
        elif kind == "body":
            bodies += size if buffers.add_body(size) else 0
        elif kind == "end":
            for ended in buffers.choose_ended():
                buffers.forget(ended)
                unread.pop(ended, None)
                collected.pop(ended, None)
            assert_that(buffers.is_exceeded, Is(False))
        else:
            buffers.forget(caller)
            unread.pop(caller, None)
            collected.pop(caller, None)
        use = buffers.describe()
        assert_that(use.bodies, Equals(bodies))
        assert_that(use.unread, Equals(sum(unread.values())))
        assert_that(use.collected, Equals(sum(collected.values())))
        assert_that(math.isfinite(use.budget), Is(True))
