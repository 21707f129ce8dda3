import asyncio

import msgspec
import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, MatchesStructure

from chervilrock.clients.base import LogPage
from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.http import decode_page, HttpLogService
from chervilrock.clients.httpclient import HttpAnswer
from chervilrock.generated.records import (
    Record,
    RecordId,
    RecordKind,
    StoredRecord,
)
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn

STREAM = "region.north"
FIRST = Record(RecordKind.CONTROLLER_RENEWED, RecordId("n1", 1), [3])
SECOND = Record(RecordKind.CONTROLLER_RELEASED, RecordId("n1", 2), [3])


def test_appended_records_are_read_back(runner, log):
    offsets = runner.run(log.append(STREAM, (FIRST, SECOND)))
    page = runner.run(log.read(STREAM, 1, 10, 0))
    assert_that(offsets, Equals(Success((1, 2))))
    records = (StoredRecord(1, FIRST), StoredRecord(2, SECOND))
    assert_that(page, Equals(Success(LogPage(records, 1, 3))))


def test_read_respects_its_limit_and_start(runner, log):
    runner.run(log.append(STREAM, (FIRST, SECOND, FIRST)))
    page = runner.run(log.read(STREAM, 2, 1, 0)).unwrap()
    assert_that(page, Equals(LogPage((StoredRecord(2, SECOND),), 1, 4)))


def test_streams_are_separate_and_empty_at_first(runner, log):
    runner.run(log.append(STREAM, (FIRST,)))
    page = runner.run(log.read("keys.a/b c", 1, 10, 0)).unwrap()
    assert_that(page, Equals(LogPage((), 1, 1)))


def test_read_waits_for_a_record(runner, log):
    async def read_and_append():
        reading = asyncio.create_task(log.read(STREAM, 1, 10, 20_000))
        await log.append(STREAM, (FIRST,))
        return await reading

    page = runner.run(read_and_append()).unwrap()
    assert_that(page.records, Equals((StoredRecord(1, FIRST),)))


def test_read_from_trimmed_offsets_returns_the_first_offset(
    runner, log, platform, clock
):
    runner.run(log.append(STREAM, (FIRST,)))
    clock.now = 60.0
    runner.run(log.append(STREAM, (SECOND,)))
    clock.now = 120.0
    page = runner.run(log.read(STREAM, 1, 10, 0)).unwrap()
    assert_that(page, Equals(LogPage((StoredRecord(2, SECOND),), 2, 3)))


@pytest.mark.parametrize(
    ("kind", "error", "stored"),
    [
        (FaultKind.REFUSE, PlatformErrorKind.REFUSED, 0),
        (FaultKind.OUTAGE, PlatformErrorKind.OUTAGE, 0),
        (FaultKind.LOSE_ANSWER, PlatformErrorKind.OUTAGE, 1),
    ],
)
def test_fault_of_an_append(runner, log, platform, kind, error, stored):
    platform.faults.add({"kind": kind, "count": 1})
    result = runner.run(log.append(STREAM, (FIRST,)))
    assert_that(result.failure().kind, Equals(error))
    assert_that(platform.get_stream(STREAM).next_offset, Equals(1 + stored))


def test_lost_answer_on_a_reused_connection_stores_once(runner, log, platform):
    runner.run(log.append(STREAM, (FIRST,)))
    platform.faults.add({"kind": FaultKind.CLOSE_REUSED, "count": 1})
    result = runner.run(log.append(STREAM, (SECOND,)))
    assert_that(
        result.failure(),
        MatchesStructure.byEquality(
            kind=PlatformErrorKind.OUTAGE, effect_possible=True
        ),
    )
    assert_that(platform.get_stream(STREAM).next_offset, Equals(3))


def test_frozen_service_times_out(runner, http, platform):
    platform.faults.set_paused(True)
    log = HttpLogService(http=http, address=platform.address, timeout_s=0.05)
    result = runner.run(log.append(STREAM, (FIRST,)))
    assert_that(result.failure().kind, Equals(PlatformErrorKind.TIMEOUT))
    assert_that(result.failure().effect_possible, Equals(True))


def test_append_to_a_killed_service_is_refused(runner, log, platform):
    platform.kill()
    result = runner.run(log.append(STREAM, (FIRST,)))
    assert_that(result.failure().kind, Equals(PlatformErrorKind.REFUSED))


def test_streams_survive_a_restart(runner, log, platform):
    runner.run(log.append(STREAM, (FIRST,)))
    platform.kill()
    port = int(platform.address.rpartition(":")[2])
    runner.run(platform.start(port=port))
    page = runner.run(log.read(STREAM, 1, 10, 0)).unwrap()
    assert_that(page.next_offset, Equals(2))


@pytest.mark.parametrize(
    "record",
    [b"{}", b'["no-kind",["n1",1],[]]', b'["key-claimed",["n1","1"],[]]'],
)
def test_unreadable_record_keeps_its_offset(runner, log, platform, record):
    platform.append(STREAM, (msgspec.Raw(record),))
    page = runner.run(log.read(STREAM, 1, 10, 0)).unwrap()
    unknown = Record(RecordKind.UNKNOWN, RecordId("", 0), None)
    expected = LogPage((StoredRecord(1, unknown),), 1, 2)
    assert_that(page, Equals(expected))


@pytest.mark.parametrize(
    "entry", [b"7", b"[]", b'["1",{}]', b"[true,{}]", b"null"]
)
def test_entry_without_an_offset_is_a_bad_answer(entry):
    body = b'{"records":[' + entry + b'],"first_offset":1,"next_offset":2}'
    result = decode_page(HttpAnswer(200, body, 0.0, False))
    assert_that(result.failure().kind, Equals(PlatformErrorKind.BAD_ANSWER))


def test_append_rate_is_limited(runner, http, clock):
    options = PlatformOptions(appends_per_s=2.0)
    busy = PlatformStandIn(options=options, clock=clock)

    async def append_four():
        log = HttpLogService(http=http, address=await busy.start())
        results = [await log.append(STREAM, (FIRST,)) for _ in range(3)]
        clock.now = 0.5
        results.append(await log.append(STREAM, (FIRST,)))
        await busy.stop()
        return results

    results = runner.run(append_four())
    assert_that(results[:2], Equals([Success((1,)), Success((2,))]))
    assert_that(results[2].failure().kind, Equals(PlatformErrorKind.REFUSED))
    assert_that(results[3], Equals(Success((3,))))


def test_record_of_a_later_version_does_not_stop_the_stream(
    runner, log, platform
):
    later = msgspec.Raw(b'["of-a-later-version",["n1",9],{"x":1}]')
    runner.run(log.append(STREAM, (FIRST,)))
    platform.append(STREAM, (later,))
    runner.run(log.append(STREAM, (SECOND,)))
    page = runner.run(log.read(STREAM, 1, 10, 0)).unwrap()
    kinds = [stored.record.kind for stored in page.records]
    assert_that(kinds, Equals([FIRST.kind, RecordKind.UNKNOWN, SECOND.kind]))
    assert_that(page.next_offset, Equals(4))
