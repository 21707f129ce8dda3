"""Streams that are no answer, and what splitting them costs."""

import re
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, LessThan

from chervilrock.decisions.serving.admission import streams
from chervilrock.decisions.serving.admission.streams import (
    EventSplitter,
    MAX_EVENT_BYTES,
)

PIECE = 16 * 1024
SENT = 8 * MAX_EVENT_BYTES


class CountingPattern:
    """A pattern that counts the bytes it is applied to."""

    def __init__(self, pattern: "re.Pattern[bytes]") -> None:
        self._pattern = pattern
        self.searched = 0

    def finditer(self, data: bytes, start: int = 0) -> Any:
        self.searched += len(data) - start
        return self._pattern.finditer(data, start)


@pytest.fixture
def pattern(monkeypatch: pytest.MonkeyPatch) -> CountingPattern:
    counting = CountingPattern(streams._EVENT_END)
    monkeypatch.setattr(streams, "_EVENT_END", counting)
    return counting


# Failure: bytes without an event were kept without a limit, and searched from
# their start with each piece: 49 MB took 54 s.
@pytest.mark.parametrize(
    "unit",
    [b"x" * PIECE, b"id: 1\n" * 2730, b": comment\n\n" * 1489, b"data: x\n\n"],
)
def test_bytes_that_are_no_answer_are_not_kept(
    pattern: CountingPattern, unit: bytes
) -> None:
    splitter = EventSplitter()
    data = unit * -(-PIECE // len(unit))
    held = forwarded = 0
    for _ in range(SENT // PIECE):
        forwarded += len(splitter.feed(data))
        held = max(held, splitter.held)
    assert_that(splitter.is_faulty, Is(True))
    assert_that(splitter.fault, Contains(str(MAX_EVENT_BYTES)))
    assert_that(held, LessThan(MAX_EVENT_BYTES + 1))
    assert_that(splitter.held, Equals(0))
    assert_that(forwarded, LessThan(MAX_EVENT_BYTES + 1))
    assert_that(pattern.searched, LessThan(2 * MAX_EVENT_BYTES))


def test_an_event_below_the_limit_is_searched_once(
    pattern: CountingPattern,
) -> None:
    splitter = EventSplitter()
    event = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES - 20) + b"\n\n"
    forwarded = b"".join(
        splitter.feed(event[start : start + 100])
        for start in range(0, len(event), 100)
    )
    assert_that(forwarded, Equals(event))
    assert_that(splitter.is_faulty, Is(False))
    assert_that(pattern.searched, LessThan(1.1 * len(event)))


def test_large_events_of_one_piece_are_counted_one_by_one() -> None:
    # Failure: together they were taken for an event that is too long.
    splitter = EventSplitter()
    padding = b"x" * (MAX_EVENT_BYTES - 20)
    events = [b"id: %d\ndata: %b\n\n" % (number, padding) for number in (1, 2)]
    assert_that(splitter.feed(b"".join(events)), Equals(b"".join(events)))
    assert_that(splitter.is_faulty, Is(False))


def test_a_complete_event_may_be_too_long() -> None:
    splitter = EventSplitter()
    event = b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES + b"\n\n"
    assert_that(splitter.feed(event), Equals(b""))
    assert_that(splitter.is_faulty, Is(True))
    assert_that(splitter.last_event, Equals(""))


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_an_end_of_an_event_may_be_split(end: bytes, size: int) -> None:
    stream = b"".join(b"id: %d\ndata: x%b" % (n, end) for n in range(1, 6))
    splitter = EventSplitter()
    forwarded = [
        splitter.feed(stream[start : start + size])
        for start in range(0, len(stream), size)
    ]
    assert_that(b"".join(forwarded), Equals(stream))
    assert_that(splitter.last_event, Equals("5"))


def test_nothing_follows_a_fault() -> None:
    splitter = EventSplitter(last_event="4")
    assert_that(splitter.feed(b"id: 4\n\n"), Equals(b""))
    assert_that(splitter.feed(b"id: 5\n\n"), Equals(b""))
    assert_that(splitter.last_event, Equals("4"))


# Failure: comparing them raised an error within the HTTP client.
@pytest.mark.parametrize(
    ("name", "is_faulty"), [(b"\xb2", False), (b"9" * 5000, True)]
)
def test_identifiers_that_are_no_numbers_raise_no_error(
    name: bytes, is_faulty: bool
) -> None:
    splitter = EventSplitter(last_event="1")
    splitter.feed(b"id: " + name + b"\n\n")
    assert_that(splitter.is_faulty, Is(is_faulty))
