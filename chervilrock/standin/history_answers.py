"""Checks of the answers that callers received against what ran."""

from collections import defaultdict
from typing import NamedTuple

from chervilrock.standin.history import (
    AddressesTold,
    Ended,
    Executed,
    Frozen,
    Got,
    Killed,
    Repeats,
    Resumed,
    Sent,
    StopBegan,
    StopEnded,
    Told,
)
from chervilrock.standin.history_findings import (
    Entries,
    Finding,
    Findings,
    pick,
    Promise,
)

STOPPING_S = 3.0
"""Time after which nodes no longer announce a stopping node to callers."""

_INTERRUPTED = (Told.CUT, Told.NOTHING)


class _AttemptIndex(NamedTuple):
    """Positions of the attempts of callers and of the runs they caused."""

    sent: dict[int, tuple[int, Sent]]
    runs: dict[int, list[int]]
    runs_by_attempt: dict[int, list[int]]


def _index_attempts(entries: Entries) -> _AttemptIndex:
    index = _AttemptIndex({}, defaultdict(list), defaultdict(list))
    for place, sent in pick(entries, Sent):
        index.sent[sent.attempt] = place, sent
    for place, run in pick(entries, Executed):
        index.runs[run.operation].append(place)
        if run.attempt:
            index.runs_by_attempt[run.attempt].append(place)
    return index


def check_answers(entries: Entries) -> Findings:
    """Check the outcome of each attempt and of each operation."""
    index = _index_attempts(entries)
    downtimes = _index_downtimes(entries)
    stopping: set[str] = set()
    found = []
    for place, (_, event) in enumerate(entries):
        if isinstance(event, StopBegan):
            stopping.add(event.node)
        if not isinstance(event, Got):
            continue
        problem = _judge_answer(index, downtimes, place, event)
        if not problem:
            continue
        promise = Promise.WHOLE_ANSWER
        if event.told in _INTERRUPTED:
            node = index.sent[event.attempt][1].node
            promise = _select_promise(node in stopping)
        message = f"operation {event.operation}: {problem} ({event.detail})"
        found.append(Finding(promise, place, message))
    return found + _check_outcomes(entries)


def _select_promise(stopping: bool) -> Promise:
    return Promise.GRACEFUL_STOP if stopping else Promise.WHOLE_ANSWER


def _judge_answer(
    index: _AttemptIndex,
    downtimes: dict[str, list[range]],
    place: int,
    got: Got,
) -> str:
    """Return what is wrong with the answer to an attempt, empty if correct."""
    begin, sent = index.sent[got.attempt]
    has_run = any(run < place for run in index.runs[got.operation])
    if got.told in (Told.CUT, Told.FOREIGN):
        return f"the answer is {got.told}"
    if got.told in (Told.WHOLE, Told.FAILED) and not has_run:
        return f"it was told {got.told}, and nothing had run"
    if got.told is Told.NOTHING:
        for downtime in downtimes.get(sent.node, ()):
            if downtime.start < place and begin < downtime.stop:
                return ""
        return "it got nothing from a node that was alive"
    return ""


def _index_downtimes(entries: Entries) -> dict[str, list[range]]:
    """Return the ranges of events in which each node was frozen or dead."""
    downtimes: dict[str, list[range]] = defaultdict(list)
    frozen: dict[str, int] = {}
    for place, (_, event) in enumerate(entries):
        if isinstance(event, (Frozen, Killed)):
            frozen.setdefault(event.name, place)
        elif isinstance(event, Resumed) and event.name in frozen:
            begin = frozen.pop(event.name)
            downtimes[event.name].append(range(begin, place))
    for name, begin in frozen.items():
        downtimes[name].append(range(begin, len(entries)))
    return downtimes


def _check_outcomes(entries: Entries) -> Findings:
    """Check that all operations ended, idempotent ones with whole answers."""
    repeats: dict[int, Repeats] = {}
    last: dict[int, int] = {}
    for place, sent in pick(entries, Sent):
        repeats[sent.operation] = sent.repeats
        last[sent.operation] = place
    outcomes = {end.operation: end.told for _, end in pick(entries, Ended)}
    found = []
    for operation, kind in repeats.items():
        told = outcomes.get(operation)
        if told is None:
            message = f"operation {operation} has no end"
        elif kind is Repeats.FREELY and told is not Told.WHOLE:
            message = f"operation {operation} ended as {told}, not whole"
        else:
            continue
        found.append(Finding(Promise.WHOLE_ANSWER, last[operation], message))
    return found


def check_not_run(entries: Entries) -> Findings:
    """Check that no attempt ran whose caller was told `not_run`.

    Unless the operation is idempotent, `not_run` covers all of it, so no
    earlier attempt may have run either.
    """
    index = _index_attempts(entries)
    found = []
    for place, got in pick(entries, Got):
        if got.told not in (Told.NOT_RUN, Told.REFUSED):
            continue
        runs = list(index.runs_by_attempt[got.attempt])
        _, sent = index.sent[got.attempt]
        if sent.repeats is not Repeats.FREELY and got.told is Told.NOT_RUN:
            runs += [run for run in index.runs[got.operation] if run < place]
        for run in runs:
            message = (
                f"operation {got.operation} ran at {run} and was told not run"
                f" at {place} ({got.detail})"
            )
            found.append(Finding(Promise.NOT_RUN, max(run, place), message))
    return found


def check_at_most_once(entries: Entries) -> Findings:
    """Check that non-idempotent operations ran at most once.

    Runs are counted over all servers and attempts.
    """
    once = {
        sent.operation
        for _, sent in pick(entries, Sent)
        if sent.repeats is not Repeats.FREELY
    }
    found = []
    for operation, runs in _index_attempts(entries).runs.items():
        if operation in once and len(runs) > 1:
            message = f"operation {operation} ran {len(runs)} times"
            found.append(Finding(Promise.AT_MOST_ONCE, runs[1], message))
    return found


def check_stops(entries: Entries) -> Findings:
    """Check that graceful stops cut off no request and reach callers.

    Other nodes have to drop the address of a stopping node from what they
    announce to callers.
    """
    found = []
    began: dict[str, float] = {}
    for place, (at, event) in enumerate(entries):
        message = ""
        if isinstance(event, StopBegan):
            began[event.node] = at
        elif isinstance(event, StopEnded) and event.cut:
            message = f"{event.node} stopped with {event.cut} in progress"
        elif isinstance(event, AddressesTold) and event.node not in began:
            for node in began.keys() & set(event.addresses):
                if at - began[node] > STOPPING_S:
                    message = f"callers are still sent to {node}"
        if message:
            found.append(Finding(Promise.GRACEFUL_STOP, place, message))
    return found
