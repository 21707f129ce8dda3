"""Checks of what callers sent and got against what ran."""

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
"""Time after which callers are no longer sent to a node that stops."""

_CUTS = (Told.CUT, Told.NOTHING)


class _Tries(NamedTuple):
    """The tries of callers and the runs of their operations, by place."""

    sent: dict[int, tuple[int, Sent]]
    runs: dict[int, list[int]]
    runs_of_try: dict[int, list[int]]


def _index_tries(entries: Entries) -> _Tries:
    tries = _Tries({}, defaultdict(list), defaultdict(list))
    for place, sent in pick(entries, Sent):
        tries.sent[sent.attempt] = place, sent
    for place, run in pick(entries, Executed):
        tries.runs[run.operation].append(place)
        if run.attempt:
            tries.runs_of_try[run.attempt].append(place)
    return tries


def check_answers(entries: Entries) -> Findings:
    """Check what each caller got, try by try and at the end."""
    tries = _index_tries(entries)
    silences = _index_silences(entries)
    stopping: set[str] = set()
    found = []
    for place, (_, event) in enumerate(entries):
        if isinstance(event, StopBegan):
            stopping.add(event.node)
        if not isinstance(event, Got):
            continue
        problem = _judge_answer(tries, silences, place, event)
        if not problem:
            continue
        promise = Promise.WHOLE_ANSWER
        if event.told in _CUTS:
            node = tries.sent[event.attempt][1].node
            promise = _blame_stop(node in stopping)
        message = f"operation {event.operation}: {problem} ({event.detail})"
        found.append(Finding(promise, place, message))
    return found + _check_ends(entries)


def _blame_stop(stopping: bool) -> Promise:
    return Promise.GRACEFUL_STOP if stopping else Promise.WHOLE_ANSWER


def _judge_answer(
    tries: _Tries, silences: dict[str, list[range]], place: int, got: Got
) -> str:
    """Return what is wrong with the answer to a try, empty for nothing."""
    begin, sent = tries.sent[got.attempt]
    has_run = any(run < place for run in tries.runs[got.operation])
    if got.told in (Told.CUT, Told.FOREIGN):
        return f"the answer is {got.told}"
    if got.told in (Told.WHOLE, Told.FAILED) and not has_run:
        return f"it was told {got.told}, and nothing had run"
    if got.told is Told.NOTHING:
        for silence in silences.get(sent.node, ()):
            if silence.start < place and begin < silence.stop:
                return ""
        return "it got nothing from a node that was alive"
    return ""


def _index_silences(entries: Entries) -> dict[str, list[range]]:
    """Return from which to which event each node was frozen or dead."""
    silences: dict[str, list[range]] = defaultdict(list)
    frozen: dict[str, int] = {}
    for place, (_, event) in enumerate(entries):
        if isinstance(event, (Frozen, Killed)):
            frozen.setdefault(event.name, place)
        elif isinstance(event, Resumed) and event.name in frozen:
            begin = frozen.pop(event.name)
            silences[event.name].append(range(begin, place))
    for name, begin in frozen.items():
        silences[name].append(range(begin, len(entries)))
    return silences


def _check_ends(entries: Entries) -> Findings:
    """Check that every operation ended, and the idempotent ones whole."""
    repeats: dict[int, Repeats] = {}
    last: dict[int, int] = {}
    for place, sent in pick(entries, Sent):
        repeats[sent.operation] = sent.repeats
        last[sent.operation] = place
    ends = {end.operation: end.told for _, end in pick(entries, Ended)}
    found = []
    for operation, kind in repeats.items():
        told = ends.get(operation)
        if told is None:
            message = f"operation {operation} has no end"
        elif kind is Repeats.FREELY and told is not Told.WHOLE:
            message = f"operation {operation} ended as {told}, not whole"
        else:
            continue
        found.append(Finding(Promise.WHOLE_ANSWER, last[operation], message))
    return found


def check_not_run(entries: Entries) -> Findings:
    """Check that no try ran of which its caller was told `not_run`.

    With a ticket every try stands for the whole operation, so that none may
    have run before.
    """
    tries = _index_tries(entries)
    found = []
    for place, got in pick(entries, Got):
        if got.told not in (Told.NOT_RUN, Told.REFUSED):
            continue
        runs = list(tries.runs_of_try[got.attempt])
        _, sent = tries.sent[got.attempt]
        if sent.repeats is not Repeats.FREELY and got.told is Told.NOT_RUN:
            runs += [run for run in tries.runs[got.operation] if run < place]
        for run in runs:
            message = (
                f"operation {got.operation} ran at {run} and was told not run"
                f" at {place} ({got.detail})"
            )
            found.append(Finding(Promise.NOT_RUN, max(run, place), message))
    return found


def check_at_most_once(entries: Entries) -> Findings:
    """Check that what may run once did, over all servers and tries."""
    once = {
        sent.operation
        for _, sent in pick(entries, Sent)
        if sent.repeats is not Repeats.FREELY
    }
    found = []
    for operation, runs in _index_tries(entries).runs.items():
        if operation in once and len(runs) > 1:
            message = f"operation {operation} ran {len(runs)} times"
            found.append(Finding(Promise.AT_MOST_ONCE, runs[1], message))
    return found


def check_stops(entries: Entries) -> Findings:
    """Check that a graceful stop cuts nothing and is told of to callers."""
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
