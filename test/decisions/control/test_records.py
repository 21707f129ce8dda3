"""Decoding of records is strict and never raises an error."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.records import (
    BODY_TYPES,
    decode_body,
    decode_stored,
    RecordWriter,
    SeenRecords,
)
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.verdicts import Reason
from chervilrock.generated.records import (
    HostReleased,
    Record,
    RecordId,
    RecordKind,
    StoredRecord,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=10,
)


@pytest.fixture
def writer():
    return RecordWriter(node="a", incarnation="7")


def test_bodies_are_equal_after_encoding_and_decoding(writer):
    body = HostReleased(epoch=1, host="h", fence=2)
    wire = msgspec.json.encode(StoredRecord(5, writer.prepare(body)))
    stored = decode_stored(msgspec.json.decode(wire))
    assert stored is not None
    assert_that(stored.offset, Equals(5))
    assert decode_body(stored.record) == body


def test_each_prepared_record_gets_its_own_identity(writer):
    first = writer.prepare(HostReleased(1, "h", 2))
    second = writer.prepare(HostReleased(1, "h", 2))
    assert_that(first.record_id, Equals(RecordId("a/7", 1)))
    assert_that(second.record_id, Equals(RecordId("a/7", 2)))


@given(st.sampled_from(RecordKind), JSON)
def test_no_body_raises(kind, body):
    state = RegionState()
    record = Record(kind, RecordId("w", 1), body)
    state.apply(StoredRecord(1, record))
    assert_that(state.upto, Equals(1))


@given(JSON)
def test_no_stored_record_raises(raw):
    stored = decode_stored(raw)
    assert stored is None or isinstance(stored.offset, int)


def test_unknown_kind_keeps_its_offset():
    stored = decode_stored([9, ["from-the-future", ["w", 1], []]])
    assert stored is not None
    state = RegionState()
    assert state.apply(stored).reason is Reason.UNREADABLE
    assert_that(state.upto, Equals(9))


@pytest.mark.parametrize("kind", list(BODY_TYPES))
def test_a_longer_or_shorter_body_is_rejected(kind):
    for body in ([], [1] * 20, "text", None):
        record = Record(kind, RecordId("w", 1), body)
        assert decode_body(record) is None


def test_writers_are_forgotten_in_the_order_of_the_log():
    seen = SeenRecords(limit=2)
    for writer in ("a", "b", "a", "c"):
        seen.add(RecordId(writer, len(seen.export()) + 1))
    assert_that([newest.writer for newest in seen.export()], Equals(["a", "c"]))
    assert_that(seen.add(RecordId("c", 1)), Is(False))
