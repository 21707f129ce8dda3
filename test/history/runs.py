"""Runs of whole installations with failures, and how to execute them."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from typing import NamedTuple
from unittest import mock

from chervilrock import events
from chervilrock.decisions.snapshots import SnapshotPolicy, SnapshotSchedule
from chervilrock.standin.history import Entry, History
from test.history import failures, mutations
from test.history.loops import FreezableLoop
from test.history.nodes import Options
from test.history.sites import Site

SNAPSHOT_AGE_S = 1.0
"""Snapshots are frequent so that a log can be trimmed during a short run."""


class Run(NamedTuple):
    """One run of a whole installation.

    Attributes:
      fail: causes the failures
      mutate: returns a context that breaks the product during the run
    """

    fail: Callable[[Site], Awaitable[None]]
    options: Options = Options()
    mutate: Callable[[], contextlib.AbstractContextManager[object]] = (
        contextlib.nullcontext
    )


RUNS = {
    "freeze": Run(failures.freeze_controller, Options(seed=11, fenced=False)),
    "leaving": Run(failures.leave_servers, Options(seed=10)),
    "blind": Run(failures.blind_groups, Options(seed=12, blind=True)),
    "trim": Run(failures.trim_log, Options(seed=8)),
    "together": Run(failures.fail_together, Options(seed=13)),
    "hosts": Run(failures.kill_hosts, Options(seed=1)),
    "domain": Run(failures.kill_domain, Options(seed=2)),
    "pauses": Run(failures.pause_hosts, Options(seed=3)),
    "nodes": Run(failures.replace_nodes, Options(seed=4)),
    "stops": Run(failures.stop_nodes, Options(seed=5)),
    "answers": Run(failures.spoil_answers, Options(seed=6)),
    "log": Run(failures.lose_log, Options(seed=7)),
    "partition": Run(failures.cut_off_controller, Options(seed=14)),
    "operators": Run(failures.race_operators, Options(seed=9)),
}

BROKEN_RUN_OPERATIONS = 64
"""Minimum number of operations of a run with a broken product."""

BROKEN_RUNS = {
    "doubled send": Run(
        failures.do_nothing,
        Options(seed=21, operations=BROKEN_RUN_OPERATIONS),
        mutations.send_twice,
    ),
    "forgotten ticket": Run(
        failures.spoil_answers,
        Options(seed=22, operations=BROKEN_RUN_OPERATIONS),
        mutations.forget_runs,
    ),
    "untrue not_run": Run(
        failures.lose_answers,
        Options(seed=23, operations=BROKEN_RUN_OPERATIONS),
        mutations.deny_runs,
    ),
    "silent cut": Run(
        failures.break_streams,
        Options(seed=24, operations=BROKEN_RUN_OPERATIONS),
        mutations.cut_silently,
    ),
    "unproved presence": Run(
        failures.blind_groups,
        Options(seed=25, operations=BROKEN_RUN_OPERATIONS, blind=True),
        mutations.assume_presence,
    ),
    "stale base": Run(
        failures.race_operators,
        Options(seed=26, operations=BROKEN_RUN_OPERATIONS),
        mutations.accept_stale_bases,
    ),
    "ignored leaving": Run(
        failures.leave_servers,
        Options(seed=27, operations=BROKEN_RUN_OPERATIONS),
        mutations.ignore_leaving,
    ),
    "hasty stop": Run(
        failures.stop_nodes,
        Options(seed=28, operations=BROKEN_RUN_OPERATIONS, latency_ms=300),
        mutations.stop_at_once,
    ),
}


def take_snapshots_often() -> contextlib.AbstractContextManager[object]:
    """Set a short age limit for every snapshot schedule."""
    original = SnapshotSchedule.__init__
    policy = SnapshotPolicy(age_s=SNAPSHOT_AGE_S)

    def make(self: SnapshotSchedule, **_arguments: object) -> None:
        original(self, policy=policy)

    return mock.patch.object(SnapshotSchedule, "__init__", make)


def carry_out(run: Run) -> list[Entry]:
    """Execute a run in an event loop of its own and return its history."""
    events.configure_logging(level="ERROR")
    with take_snapshots_often(), run.mutate(), _make_runner() as runner:
        history: History = runner.run(_run(run))
    return history.entries


def _make_runner() -> asyncio.Runner:
    return asyncio.Runner(loop_factory=FreezableLoop)


async def _run(run: Run) -> History:
    return await Site(run.options).run(run.fail)
