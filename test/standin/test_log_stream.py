import math

from hypothesis import given
from hypothesis import strategies as st
import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.log import LogStream

KEEP_COUNT = 5


def make_records(values):
    return tuple(msgspec.Raw(msgspec.json.encode(value)) for value in values)


@given(
    batches=st.lists(st.lists(st.integers(), max_size=4), max_size=6),
    trim=st.integers(0, 12),
    start=st.integers(1, 20),
    limit=st.integers(0, 8),
)
def test_stream_is_a_list_without_its_head(batches, trim, start, limit):
    stream = LogStream(keep_count=KEEP_COUNT, keep_s=math.inf)
    whole: list[tuple[int, int]] = []
    for batch in batches:
        offsets = stream.append(make_records(batch), 0.0)
        first = len(whole) + 1
        assert_that(offsets, Equals(tuple(range(first, first + len(batch)))))
        whole.extend(zip(offsets, batch, strict=True))
    stream.trim(trim)
    kept = [item for item in whole[-KEEP_COUNT:] if item[0] >= trim]
    page = [
        (stored.offset, msgspec.json.decode(stored.data))
        for stored in stream.read(start, limit)
    ]
    wanted = [item for item in kept if item[0] >= start][:limit]
    assert_that(page, Equals(wanted))
    assert_that(stream.next_offset, Equals(len(whole) + 1))
    assert_that(stream.first_offset, Equals(len(whole) + 1 - len(kept)))


def test_old_records_expire():
    stream = LogStream(keep_count=100, keep_s=10.0)
    stream.append(make_records([1]), 0.0)
    stream.append(make_records([2]), 5.0)
    stream.expire(10.0)
    kept = stream.first_offset
    stream.expire(10.1)
    assert_that((kept, stream.first_offset), Equals((1, 2)))


def test_an_empty_stream_keeps_its_next_offset():
    stream = LogStream(keep_count=100, keep_s=1.0)
    stream.append(make_records([1, 2]), 0.0)
    stream.expire(2.0)
    ends = (stream.first_offset, stream.next_offset)
    assert_that(ends, Equals((3, 3)))
