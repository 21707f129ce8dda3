"""Readers of streams that are trimmed and bridged by snapshots."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import (
    SnapshotPolicy,
    SnapshotSchedule,
    split_snapshot,
)
from chervilrock.decisions.streams import StreamReader
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerRenewed,
    SnapshotPart,
)
from test.decisions.control.fakes import Log


class Stream:
    """A log with a writer, and a reader that has read all of it."""

    def __init__(self):
        self.log = Log()
        self.writer = RecordWriter(node="a", incarnation="1")
        self.full_reader = StreamReader(fold=RegionState())

    def append(self, *bodies):
        for body in bodies:
            self.log.append(self.writer.prepare(body))
        read(self.full_reader, self.log)

    def snapshot(self, name="s", size=40):
        state = self.full_reader.fold
        return split_snapshot(name, state.upto, state.export(), size)


def read(reader, log, times=4):
    """Read to the end; a jump back to a snapshot needs another page."""
    for _ in range(times):
        reader.read(reader.position, log.read(reader.position))


@pytest.fixture
def stream():
    claimed = Stream()
    claimed.append(ControllerClaimed("a", "x", 0, 3000, 0))
    claimed.append(ControllerRenewed(1), ControllerRenewed(1))
    return claimed


@pytest.fixture
def reader():
    return StreamReader(fold=RegionState())


def test_an_empty_stream_is_known_to_be_empty(reader):
    read(reader, Log(), times=1)
    assert_that(reader.known, Is(True))
    assert_that(reader.fold.epoch, Equals(0))


def test_a_stream_trimmed_to_nothing_is_unknown(reader, stream):
    stream.log.trim(4)
    read(reader, stream.log)
    assert_that(reader.known, Is(False))


def test_the_rest_of_a_trimmed_stream_is_not_folded(reader, stream):
    stream.log.trim(2)
    read(reader, stream.log)
    stream.append(ControllerClaimed("b", "x", 0, 3000, 0))
    read(reader, stream.log)
    assert_that(reader.known, Is(False))
    assert_that(reader.fold.epoch, Equals(0))


def test_a_snapshot_replaces_the_trimmed_records(reader, stream):
    stream.append(*stream.snapshot())
    stream.append(ControllerRenewed(1))
    stream.log.trim(4)
    read(reader, stream.log)
    assert reader.known
    assert_that(reader.fold.export(), Equals(stream.full_reader.fold.export()))


def test_a_snapshot_with_a_gap_after_it_is_not_used(reader, stream):
    parts = stream.snapshot()
    stream.append(ControllerRenewed(1))
    stream.append(*parts)
    stream.log.trim(5)
    read(reader, stream.log)
    assert_that(reader.known, Is(False))
    stream.append(*stream.snapshot("later"))
    read(reader, stream.log)
    assert reader.known


def test_a_complete_snapshot_is_found_among_partial_and_mixed_ones(
    reader, stream
):
    half = stream.snapshot("half")[:-1]
    first = stream.snapshot("first")
    second = stream.snapshot("second")
    mixed = [part for pair in zip(first, second, strict=True) for part in pair]
    stream.append(*half, *mixed, *first)
    stream.log.trim(4)
    read(reader, stream.log)
    assert reader.known
    assert_that(reader.fold.export(), Equals(stream.full_reader.fold.export()))


@pytest.mark.parametrize(
    "part",
    [
        SnapshotPart("bad", 0, 1, 3, "{not json"),
        SnapshotPart("bad", 0, 1, 3, "{}"),
        SnapshotPart("bad", 5, 1, 3, "{}"),
        SnapshotPart("bad", -1, 0, 3, ""),
    ],
)
def test_a_damaged_snapshot_is_skipped(reader, stream, part):
    good = stream.snapshot("good")
    stream.append(part)
    stream.append(*good)
    stream.log.trim(4)
    read(reader, stream.log)
    assert reader.known


def test_a_reader_that_falls_behind_starts_from_a_snapshot(reader, stream):
    read(reader, stream.log)
    stream.append(ControllerRenewed(1))
    stream.append(*stream.snapshot())
    stream.log.trim(5)
    result = reader.read(reader.position, stream.log.read(reader.position))
    assert result.restored
    read(reader, stream.log)
    assert_that(reader.fold.export(), Equals(stream.full_reader.fold.export()))


def test_a_page_from_another_offset_is_dropped(reader, stream):
    result = reader.read(3, stream.log.read(3))
    assert_that(result.steps, Equals(()))
    assert_that(result.position, Equals(1))


def test_snapshots_are_due_by_count_and_by_age():
    policy = SnapshotPolicy(records=10, age_s=100.0)
    schedule = SnapshotSchedule(policy=policy)
    assert_that(schedule.is_due(0, 0.0), Is(False))
    assert_that(schedule.is_due(9, 0.0), Is(False))
    assert schedule.is_due(10, 1.0)
    schedule.record_written(1.0)
    assert_that(schedule.is_due(11, 2.0), Is(False))
    schedule.record_read(10, 3.0)
    assert_that(schedule.is_due(19, 50.0), Is(False))
    assert schedule.is_due(11, 103.0)
