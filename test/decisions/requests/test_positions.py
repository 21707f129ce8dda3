import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.requests.positions import (
    MAX_EARLY_EVENTS,
    MAX_EVENT_BYTES,
    StreamFault,
    StreamPositions,
)
from test.decisions.requests.simulation import (
    EVENTS,
    make_event,
    REQUEST_ID,
    WHOLE_ANSWER,
)

FOREIGN = [
    b"id: other/1\ndata: {}\n\n",
    b"id: n-i-7x/1\ndata: {}\n\n",
    b"id: n-i-7/\ndata: {}\n\n",
    b"id: n-i-7/0\ndata: {}\n\n",
    b"id: n-i-7/" + b"9" * 30 + b"\ndata: {}\n\n",
    b"data: {}\n\n",
    b": comment\n\n",
    b"\n\n",
]


def make_positions(after: int = 0) -> StreamPositions:
    return StreamPositions(request_id=REQUEST_ID, after=after)


def feed_in_chunks(
    positions: StreamPositions, stream: bytes, cuts: list[int]
) -> bytes:
    forwarded = b""
    start = 0
    for cut in sorted(cut % (len(stream) + 1) for cut in cuts):
        forwarded += positions.feed(stream[start:cut])
        start = cut
    return forwarded + positions.feed(stream[start:])


CUTS = st.lists(st.integers(0, 5000), max_size=20)


@given(
    order=st.permutations(range(1, EVENTS + 2)),
    duplicates=st.lists(st.integers(1, EVENTS + 1), max_size=6),
    foreign=st.lists(st.sampled_from(FOREIGN), max_size=6),
    cuts=CUTS,
    rng=st.randoms(use_true_random=False),
)
def test_events_in_any_order_with_duplicates_are_forwarded_once(
    order: list[int],
    duplicates: list[int],
    foreign: list[bytes],
    cuts: list[int],
    rng: random.Random,
) -> None:
    events = [make_event(number) for number in order]
    for event in [make_event(number) for number in duplicates] + foreign:
        events.insert(rng.randint(0, len(events)), event)
    positions = make_positions()
    forwarded = feed_in_chunks(positions, b"".join(events), cuts)
    assert_that(forwarded, Equals(WHOLE_ANSWER))
    assert positions.done


@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from([make_event(1), make_event(2), *FOREIGN]),
        ),
        max_size=30,
    )
)
def test_only_a_prefix_of_the_answer_is_forwarded(
    chunks: list[bytes],
) -> None:
    positions = make_positions()
    forwarded = b"".join(positions.feed(chunk) for chunk in chunks)
    assert WHOLE_ANSWER.startswith(forwarded) or forwarded.startswith(
        b"id: n-i-7/1\ndata: "
    )
    assert_that(forwarded.count(b"id: n-i-7/"), Equals(positions.position))


def test_chunk_with_the_next_event_is_forwarded_without_a_copy() -> None:
    chunk = make_event(1)
    assert make_positions().feed(chunk) is chunk


def test_resume_continues_after_the_events_of_the_caller() -> None:
    positions = make_positions(after=3)
    assert_that(positions.feed(make_event(4)), Equals(make_event(4)))
    assert_that(positions.feed(make_event(4)), Equals(b""))
    assert_that((positions.position, positions.duplicates), Equals((4, 1)))


@pytest.mark.parametrize("number", [1, 3])
def test_restarted_answer_is_a_fault(number: int) -> None:
    positions = make_positions(after=3)
    assert_that(positions.feed(make_event(number)), Equals(b""))
    assert positions.fault is StreamFault.RESTARTED
    assert_that(positions.feed(make_event(4)), Equals(b""))


FAULTS = [
    (b"event: error\ndata: {}\n\n", StreamFault.ENGINE_ERROR),
    (b"id: n-i-7/1\nevent: error\ndata: {}\n\n", StreamFault.ENGINE_ERROR),
    (make_event(MAX_EARLY_EVENTS + 1), StreamFault.GAP),
    (b"x" * (MAX_EVENT_BYTES + 1), StreamFault.TOO_LARGE),
]


@pytest.mark.parametrize(("chunk", "fault"), FAULTS)
def test_nothing_is_forwarded_after_a_fault(
    chunk: bytes, fault: StreamFault
) -> None:
    positions = make_positions()
    assert_that(positions.feed(chunk), Equals(b""))
    assert positions.fault is fault
    assert_that(positions.feed(WHOLE_ANSWER), Equals(b""))


def test_nothing_is_forwarded_after_the_last_event() -> None:
    positions = make_positions()
    assert_that(
        positions.feed(WHOLE_ANSWER + make_event(9)), Equals(WHOLE_ANSWER)
    )
    assert_that(positions.feed(make_event(EVENTS + 2)), Equals(b""))
