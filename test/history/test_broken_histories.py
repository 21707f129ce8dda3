"""Each check has to detect a history that violates its guarantee."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.history import (
    AddressesTold,
    ApplyTold,
    Arrived,
    ConfigurationAppended,
    Ended,
    Entry,
    Event,
    Executed,
    FaultsEnded,
    Frozen,
    Got,
    GroupsSeen,
    Held,
    Killed,
    Leaving,
    NodeStarted,
    Repeats,
    Resumed,
    RevisionSeen,
    Sent,
    Shard,
    StopBegan,
    StopEnded,
    Told,
)
from chervilrock.standin.history_checks import check_history
from chervilrock.standin.history_findings import Promise

LEADER = Shard("g", 7, 0, 2)
MEMBER = Shard("g", 7, 1, 2)
WHOLE = [Held("a", LEADER), Held("b", MEMBER)]
STARTED = [NodeStarted("n"), ConfigurationAppended(3, "w", 1, 0, "anna")]


NO_VIOLATIONS: set[Promise] = set()


def send(repeats=Repeats.FREELY, attempt=1) -> Event:
    return Sent(1, attempt, "n", repeats)


def run(backend="s", attempt=1, shard=None) -> Event:
    return Executed(backend, 1, attempt, "r", shard)


def arrive(backend="s", shard=None) -> Event:
    return Arrived(backend, 1, 1, "r", shard)


def get(told, attempt=1) -> Event:
    return Got(1, attempt, told, "")


def end(told=Told.WHOLE) -> Event:
    return Ended(1, told)


def find_promises(events, blind=False) -> set[Promise]:
    """Returns the violated guarantees; a float advances the clock (in s)."""
    entries = []
    now = 0.0
    for event in events:
        if isinstance(event, float):
            now += event
        else:
            entries.append(Entry(now, event))
    return {finding.promise for finding in check_history(entries, blind=blind)}


BROKEN = {
    "no end": (Promise.WHOLE_ANSWER, [send()]),
    "cut": (
        Promise.WHOLE_ANSWER,
        [send(), run(), get(Told.CUT), end(Told.CUT)],
    ),
    "foreign": (
        Promise.WHOLE_ANSWER,
        [send(), run(), get(Told.FOREIGN), end(Told.FOREIGN)],
    ),
    "whole without a run": (
        Promise.WHOLE_ANSWER,
        [send(), get(Told.WHOLE), end()],
    ),
    "failed without a run": (
        Promise.WHOLE_ANSWER,
        [send(Repeats.NEVER), get(Told.FAILED), end(Told.FAILED)],
    ),
    "nothing from a live node": (
        Promise.WHOLE_ANSWER,
        [
            Frozen("n"),
            Resumed("n"),
            send(Repeats.NEVER),
            get(Told.NOTHING),
            end(Told.NOTHING),
        ],
    ),
    "idempotent given up": (
        Promise.WHOLE_ANSWER,
        [send(), get(Told.UNKNOWN), end(Told.UNKNOWN)],
    ),
    "not run before it ran": (
        Promise.NOT_RUN,
        [send(Repeats.NEVER), get(Told.NOT_RUN), end(Told.NOT_RUN), run()],
    ),
    "not run after it ran": (
        Promise.NOT_RUN,
        [
            send(),
            run(),
            get(Told.NOT_RUN),
            send(attempt=2),
            run(attempt=2),
            get(Told.WHOLE, 2),
            end(),
        ],
    ),
    "not run after another try ran": (
        Promise.NOT_RUN,
        [
            send(Repeats.WITH_TICKET),
            run(),
            get(Told.UNKNOWN),
            send(Repeats.WITH_TICKET, 2),
            get(Told.NOT_RUN, 2),
            end(Told.NOT_RUN),
        ],
    ),
    "run at two servers": (
        Promise.AT_MOST_ONCE,
        [
            send(Repeats.WITH_TICKET),
            run("s"),
            run("t"),
            get(Told.WHOLE),
            end(),
        ],
    ),
    "run for two tries": (
        Promise.AT_MOST_ONCE,
        [
            send(Repeats.WITH_TICKET),
            run(),
            get(Told.UNKNOWN),
            send(Repeats.WITH_TICKET, 2),
            run(attempt=2),
            get(Told.WHOLE, 2),
            end(),
        ],
    ),
    "host dead": (
        Promise.WHOLE_GROUP,
        [*WHOLE, Held("b", None), run("a", shard=LEADER)],
    ),
    "host with another shard": (
        Promise.WHOLE_GROUP,
        [
            *WHOLE,
            Held("b", None),
            Held("b", Shard("h", 9, 1, 2)),
            run("a", shard=LEADER),
        ],
    ),
    "host with an old fencing number": (
        Promise.WHOLE_GROUP,
        [
            Held("a", LEADER),
            Held("b", MEMBER._replace(fence=6)),
            run("a", shard=LEADER),
        ],
    ),
    "two leaders": (
        Promise.WHOLE_GROUP,
        [*WHOLE, Held("c", LEADER), run("a", shard=LEADER)],
    ),
    "two groups": (
        Promise.ONE_GROUP,
        [GroupsSeen("n", (("g", ("a", "b")), ("h", ("b", "c"))))],
    ),
    "revision goes back": (
        Promise.CONFIGURATION,
        [*STARTED, RevisionSeen("n", 3), RevisionSeen("n", 0)],
    ),
    "revision never accepted": (
        Promise.CONFIGURATION,
        [
            *STARTED,
            ConfigurationAppended(4, "v", 1, 0, "ben"),
            RevisionSeen("n", 4),
        ],
    ),
    "loser told accepted": (
        Promise.CONFIGURATION,
        [
            *STARTED,
            ConfigurationAppended(4, "v", 1, 0, "ben"),
            ApplyTold("ben", True, 4),
        ],
    ),
    "winner told lost": (
        Promise.CONFIGURATION,
        [*STARTED, ApplyTold("anna", False, 3)],
    ),
    "double told accepted": (
        Promise.CONFIGURATION,
        [
            *STARTED,
            ConfigurationAppended(4, "w", 1, 3, "anna"),
            ApplyTold("anna", True, 4),
        ],
    ),
    "never in force": (
        Promise.IN_FORCE,
        [*STARTED, RevisionSeen("n", 0), FaultsEnded()],
    ),
    "late in force": (
        Promise.IN_FORCE,
        [*STARTED, FaultsEnded(), 5.1, RevisionSeen("n", 3)],
    ),
    "leaving server": (
        Promise.LEAVING,
        [Leaving("s"), 3.1, arrive("s")],
    ),
    "leaving member of a group": (
        Promise.LEAVING,
        [*WHOLE, Leaving("b"), 3.1, arrive("a", LEADER)],
    ),
    "stop that cuts": (
        Promise.GRACEFUL_STOP,
        [StopBegan("n"), StopEnded("n", 1)],
    ),
    "stop that a caller feels": (
        Promise.GRACEFUL_STOP,
        [
            send(Repeats.NEVER),
            StopBegan("n"),
            get(Told.NOTHING),
            end(Told.NOTHING),
        ],
    ),
    "stop that callers are not told of": (
        Promise.GRACEFUL_STOP,
        [StopBegan("n"), 3.1, AddressesTold("m", ("n", "m"))],
    ),
}

SOUND = {
    "whole": [send(), run(), get(Told.WHOLE), end()],
    "not run, then whole": [
        send(Repeats.NEVER),
        get(Told.NOT_RUN),
        send(Repeats.NEVER, 2),
        run(attempt=2),
        get(Told.WHOLE, 2),
        end(),
    ],
    "nothing from a node that dies": [
        send(Repeats.NEVER),
        Killed("n"),
        get(Told.NOTHING),
        end(Told.NOTHING),
    ],
    "nothing from a frozen node": [
        Frozen("n"),
        send(Repeats.NEVER),
        get(Told.NOTHING),
        Resumed("n"),
        end(Told.NOTHING),
    ],
    "whole group": [*WHOLE, arrive("a", LEADER), run("a", shard=LEADER)],
    "group under a new fencing number": [
        *WHOLE,
        Held("b", None),
        Held("a", LEADER._replace(fence=8)),
        Held("c", MEMBER._replace(fence=8)),
        run("a", shard=LEADER._replace(fence=8)),
    ],
    "doubled record": [
        *STARTED,
        ConfigurationAppended(4, "w", 1, 0, "anna"),
        ApplyTold("anna", True, 3),
        FaultsEnded(),
        4.9,
        RevisionSeen("n", 3),
    ],
    "dead node lacks the revision": [*STARTED, Killed("n"), FaultsEnded()],
    "work before the server leaves": [arrive("s"), Leaving("s"), 9.0],
    "work soon after": [Leaving("s"), 2.9, arrive("s")],
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_history_is_found(name):
    promise, events = BROKEN[name]
    assert_that(find_promises(events), Equals({promise}))


@pytest.mark.parametrize("name", SOUND)
def test_sound_history_passes(name):
    assert_that(find_promises(SOUND[name]), Equals(NO_VIOLATIONS))


def test_blind_group_may_get_work_for_a_while():
    lost = [*WHOLE, Held("b", None)]
    soon = find_promises([*lost, 2.9, arrive("a", LEADER)], blind=True)
    assert_that(soon, Equals(NO_VIOLATIONS))


def test_blind_group_gets_no_work_later():
    lost = [*WHOLE, Held("b", None)]
    late = find_promises([*lost, 3.1, arrive("a", LEADER)], blind=True)
    assert_that(late, Equals({Promise.WHOLE_GROUP}))
