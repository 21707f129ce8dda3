"""Cost of following and controlling a region, by the number of hosts.

Groups of 16 hosts occupy fabric domains of 66, with two spares each. The
region task of the product receives the messages that a node would send it;
each host is probed once a second, and the task handles its inbox ten times a
second. Only processor time is measured, without sockets: the bench `probes`
measures the network cost of a probe. For each number of hosts:

* `fold_us`, `fold_bytes`: processor time per record to decode a page of the
  log service and fold it, and the bytes of a record in the page.
* `state_bytes`: memory per host of the fold, the evidence and the host list.
* `probe_us`: processor time of the task for the answer to one more probe.
* `follow_ms`, `control_ms`: processor time in a second in which nothing
  changes, without the lease and with it; `follow_rest_ms` and
  `control_rest_ms` exclude the probes.
* `failure_ms`: processor time of the controller for a host that fails, is
  replaced, returns and is free again, less that of an idle time of the same
  length; `failure_records`, `failure_bytes`: records appended for it.
* `leaving_ms`, `leaving_records`, `leaving_bytes`: the same for a host that
  the host list shows as leaving.

The last result extrapolates the appends and bytes to a region of the target.
"""

from collections.abc import Callable, Iterable
import gc
import time
import tracemalloc
from typing import NamedTuple

import msgspec

from bench.region_model import (
    make_layout,
    make_records,
    RegionModel,
)
from chervilrock.clients.http import decode_page
from chervilrock.clients.httpclient import HttpAnswer
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.streams import StreamReader
from chervilrock.generated.records import Record, RecordKind, StoredRecord

SIZES = (50, 500, 3_000, 12_000)
QUICK_SIZES = (50, 500)
TICKS = 10
IDLE_S = 20
QUICK_IDLE_S = 5
ABSENCE_S = 60
RETURNED_S = 30
SETTLE_S = 30
PAGE_RECORDS = 500
REGIONS = 4
RENEWALS_PER_S = 1.0
FAILURES_PER_DAY = 100
REPLACEMENTS_PER_DAY = 2_800
SECONDS_PER_DAY = 86_400

MS_PER_S = 1e3
US_PER_MS = 1e3
US_PER_S = 1e6


class Fold(NamedTuple):
    """Processor time and bytes of a folded record."""

    us: float
    bytes: float


class Change(NamedTuple):
    """Cost to the controller of a host that fails or leaves, and returns."""

    ms: float
    records: int
    bytes: int


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yields the figures for each number of hosts, then the extrapolation."""
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    failure = leaving = Change(0.0, 0, 0)
    renewal = 0
    for size in QUICK_SIZES if quick else SIZES:
        fold = measure_fold(size)
        model = RegionModel(layout=make_layout(size))
        _simulate_seconds(model, SETTLE_S)
        follow_ms = _simulate_seconds(model, idle_s) / idle_s
        two_probes_ms = _simulate_seconds(model, idle_s, probes=2) / idle_s
        probes_ms = max(0.0, two_probes_ms - follow_ms)
        _acquire_lease(model)
        control_ms = _simulate_seconds(model, idle_s) / idle_s
        renewal = _count_bytes(model.appended[-1:])
        failure = _measure_failure(model, control_ms)
        leaving = _measure_leaving(model, control_ms)
        yield {
            "hosts": size,
            "fold_us": round(fold.us, 1),
            "fold_bytes": round(fold.bytes),
            "state_bytes": round(measure_state(size)),
            "probe_us": round(probes_ms / size * US_PER_MS, 1),
            "follow_ms": round(follow_ms, 2),
            "follow_rest_ms": round(follow_ms - probes_ms, 2),
            "control_ms": round(control_ms, 2),
            "control_rest_ms": round(control_ms - probes_ms, 2),
            "failure_ms": round(failure.ms, 1),
            "failure_records": failure.records,
            "failure_bytes": failure.bytes,
            "leaving_ms": round(leaving.ms, 1),
            "leaving_records": leaving.records,
            "leaving_bytes": leaving.bytes,
        }
    yield work_out(failure, leaving, renewal)


def work_out(
    failure: Change, leaving: Change, renewal_bytes: int
) -> dict[str, object]:
    """Returns the load of a target region, from the cost of each change."""
    failures = FAILURES_PER_DAY / REGIONS / SECONDS_PER_DAY
    replaced = REPLACEMENTS_PER_DAY / REGIONS / SECONDS_PER_DAY
    records = failures * failure.records + replaced * leaving.records
    changed = failures * failure.bytes + replaced * leaving.bytes
    spent_ms = failures * failure.ms + replaced * leaving.ms
    return {
        "result": "target_region",
        "changes_per_s": round(failures + replaced, 5),
        "appends_per_s": round(RENEWALS_PER_S + records, 3),
        "bytes_per_s": round(RENEWALS_PER_S * renewal_bytes + changed, 1),
        "change_ms_per_s": round(spent_ms, 2),
    }


def measure_fold(size: int) -> Fold:
    """Measures the decoding and folding of a whole stream, page by page."""
    records = make_records(make_layout(size))
    pages = [
        _encode_page(records[start : start + PAGE_RECORDS], len(records))
        for start in range(0, len(records), PAGE_RECORDS)
    ]
    begin = time.process_time()
    rounds = 0
    while rounds == 0 or time.process_time() - begin < 0.2:
        _fold(pages)
        rounds += 1
    cpu_s = time.process_time() - begin
    count = len(records) * rounds
    size_bytes = sum(len(page.body) for page in pages)
    return Fold(cpu_s / count * US_PER_S, size_bytes / len(records))


def _encode_page(records: list[StoredRecord], total: int) -> HttpAnswer:
    body = {
        "records": records,
        "first_offset": 1,
        "next_offset": total + 1,
    }
    return HttpAnswer(200, msgspec.json.encode(body), 0.0, False)


def _fold(pages: list[HttpAnswer]) -> StreamReader[RegionState]:
    reader = StreamReader(fold=RegionState())
    for answer in pages:
        page = decode_page(answer).unwrap()
        first = page["records"][0].offset
        reader.read(first, _Page(page["records"], 1, page["next_offset"]))
    return reader


class _Page(NamedTuple):
    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


def measure_state(size: int) -> float:
    """Returns the bytes per host in a task that has read the whole stream."""
    layout = make_layout(size)
    records = make_records(layout)
    document = msgspec.json.encode(records)
    del records
    gc.collect()
    tracemalloc.start()
    model = RegionModel(layout=layout)
    model.log = msgspec.json.decode(document, type=list[StoredRecord])
    for tick in range(TICKS):
        for probe in model.probe(tick, TICKS):
            model.task.inbox.offer(probe)
        model.advance()
    model.answer()
    before = _get_traced_bytes()
    del model.task, model.ports
    freed = before - _get_traced_bytes()
    tracemalloc.stop()
    return freed / size


def _get_traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _simulate_seconds(
    model: RegionModel, seconds: int, probes: int = 1
) -> float:
    """Simulates some seconds; returns the task's processor time in ms."""
    return sum(_simulate_second(model, probes) for _ in range(seconds))


def _simulate_second(model: RegionModel, probes: int) -> float:
    """Simulates a second with `probes` probes per host; returns ms."""
    cpu_s = 0.0
    for tick in range(TICKS):
        model.pass_time(1.0 / TICKS)
        answers = model.probe(tick, TICKS) * probes
        if tick == 0:
            model.read()
            model.report_idle()
        begin = time.process_time()
        for probe in answers:
            model.task.inbox.offer(probe)
        model.advance()
        cpu_s += time.process_time() - begin
        if model.answer():
            model.read()
    return cpu_s * MS_PER_S


def _acquire_lease(model: RegionModel) -> None:
    """Acquires the lease once that of the former controller has expired."""
    model.compete()
    _simulate_seconds(model, SETTLE_S)
    if not model.appended:
        raise RuntimeError("the lease was not acquired")


def _measure_failure(model: RegionModel, control_ms: float) -> Change:
    """Measures a host that fails, and returns after its replacement."""
    (host, *_) = model.layout.groups[0][1:]
    model.silent.add(host["host"])
    return _measure_change(model, control_ms, model.silent.clear)


def _measure_leaving(model: RegionModel, control_ms: float) -> Change:
    """Measures a host that leaves, and returns after its replacement."""
    (host, *_) = model.layout.groups[-1][1:]
    model.list_hosts(leaving=frozenset({host["host"]}))
    return _measure_change(model, control_ms, model.list_hosts)


def _measure_change(
    model: RegionModel, control_ms: float, undo: Callable[[], None]
) -> Change:
    before = len(model.appended)
    cpu_ms = _simulate_seconds(model, ABSENCE_S)
    undo()
    cpu_ms += _simulate_seconds(model, RETURNED_S)
    records = [
        record
        for record in model.appended[before:]
        if record.kind
        not in (
            RecordKind.CONTROLLER_RENEWED,
            RecordKind.SNAPSHOT_PART,
        )
    ]
    extra_ms = cpu_ms - (ABSENCE_S + RETURNED_S) * control_ms
    return Change(extra_ms, len(records), _count_bytes(records))


def _count_bytes(records: list[Record]) -> int:
    return sum(len(msgspec.json.encode(record)) for record in records)
