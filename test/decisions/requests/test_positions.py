import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.requests.positions import (
    MAX_EARLY,
    MAX_EVENT_BYTES,
    StreamFault,
    StreamPositions,
)
from test.decisions.requests.worlds import EVENTS, make_event, REQUEST_ID, WHOLE

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


def feed_in_pieces(
    positions: StreamPositions, stream: bytes, cuts: list[int]
) -> bytes:
    passed = b""
    start = 0
    for cut in sorted(cut % (len(stream) + 1) for cut in cuts):
        passed += positions.feed(stream[start:cut])
        start = cut
    return passed + positions.feed(stream[start:])


CUTS = st.lists(st.integers(0, 5000), max_size=20)


@given(
    order=st.permutations(range(1, EVENTS + 2)),
    doubled=st.lists(st.integers(1, EVENTS + 1), max_size=6),
    foreign=st.lists(st.sampled_from(FOREIGN), max_size=6),
    cuts=CUTS,
    places=st.randoms(use_true_random=False),
)
def test_any_order_with_doubles_gives_the_whole_stream_once(
    order: list[int],
    doubled: list[int],
    foreign: list[bytes],
    cuts: list[int],
    places: random.Random,
) -> None:
    events = [make_event(number) for number in order]
    for event in [make_event(number) for number in doubled] + foreign:
        events.insert(places.randint(0, len(events)), event)
    positions = make_positions()
    passed = feed_in_pieces(positions, b"".join(events), cuts)
    assert_that(passed, Equals(WHOLE))
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
def test_whatever_comes_only_a_start_of_the_stream_passes(
    chunks: list[bytes],
) -> None:
    positions = make_positions()
    passed = b"".join(positions.feed(chunk) for chunk in chunks)
    assert WHOLE.startswith(passed) or passed.startswith(b"id: n-i-7/1\ndata: ")
    assert_that(passed.count(b"id: n-i-7/"), Equals(positions.position))


def test_chunk_with_the_next_event_is_passed_as_it_is() -> None:
    chunk = make_event(1)
    assert make_positions().feed(chunk) is chunk


def test_resume_goes_on_after_what_the_caller_has() -> None:
    positions = make_positions(after=3)
    assert_that(positions.feed(make_event(4)), Equals(make_event(4)))
    assert_that(positions.feed(make_event(4)), Equals(b""))
    assert_that((positions.position, positions.doubled), Equals((4, 1)))


@pytest.mark.parametrize("number", [1, 3])
def test_engine_that_begins_again_is_noticed(number: int) -> None:
    positions = make_positions(after=3)
    assert_that(positions.feed(make_event(number)), Equals(b""))
    assert positions.fault is StreamFault.RESTARTED
    assert_that(positions.feed(make_event(4)), Equals(b""))


FAULTS = [
    (b"event: error\ndata: {}\n\n", StreamFault.ENGINE_ERROR),
    (b"id: n-i-7/1\nevent: error\ndata: {}\n\n", StreamFault.ENGINE_ERROR),
    (make_event(MAX_EARLY + 1), StreamFault.GAP),
    (b"x" * (MAX_EVENT_BYTES + 1), StreamFault.TOO_LARGE),
]


@pytest.mark.parametrize(("chunk", "fault"), FAULTS)
def test_fault_ends_the_stream(chunk: bytes, fault: StreamFault) -> None:
    positions = make_positions()
    assert_that(positions.feed(chunk), Equals(b""))
    assert positions.fault is fault
    assert_that(positions.feed(WHOLE), Equals(b""))


def test_nothing_passes_after_the_end() -> None:
    positions = make_positions()
    assert_that(positions.feed(WHOLE + make_event(9)), Equals(WHOLE))
    assert_that(positions.feed(make_event(EVENTS + 2)), Equals(b""))
