"""Which parts of prompts are identified as the cause of crashes of servers."""

from collections.abc import Sequence
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, Not

from chervilrock.decisions.serving.admission.crashrecords import (
    FIRST_SINGLE_TRIAL_S,
    FIRST_TRIAL_S,
    MAX_DOUBTFUL_CRASHES,
    MAX_SINGLE_TRIALS,
    PASS_WAIT_S,
    SINGLE_TRIAL_S,
    TRIAL_FACTOR,
    UNSURE_WAIT_S,
)
from chervilrock.decisions.serving.admission.suspects import (
    ServerCrash,
    Suspect,
    SuspectTable,
    Trial,
)
from chervilrock.decisions.serving.admission.suspecttracker import (
    MAX_CANDIDATES,
    MAX_CONTENTS,
    MAX_RIVALS,
    SETTLE_S,
    SuspectTracker,
)

CAUSE = "a/part:bad"
RIDER = "a/part:rider"
COMMON = "a/part:common"
NOW = 100.0
LATER = NOW + 2 * SETTLE_S
COMPLETE = float("inf")
ALONE: list[list[str]] = [[]]
"""Requirements of one part that is withheld whatever comes with it."""


@pytest.fixture
def tracker() -> SuspectTracker:
    return SuspectTracker()


def crash_request(
    tracker: SuspectTracker,
    servers: str,
    parts: Sequence[str],
    *,
    content: str = "",
    now: float = NOW,
    since_first_byte_s: float = 0.001,
    since_sent_s: float = 0.2,
    passed: Sequence[str] = (),
    is_unsure: bool = False,
) -> None:
    """Let servers, named by letters, crash under requests with some parts."""
    for server in servers:
        features = (content or f"a/{server}", *parts)
        for feature in features:
            crash = ServerCrash(
                server=server,
                node="n1",
                since_first_byte_s=since_first_byte_s,
                since_sent_s=since_sent_s,
                companions=tuple(one for one in features if one != feature),
                has_passed=feature in passed,
                is_unsure=is_unsure,
                position=features.index(feature),
            )
            tracker.record_crash(feature, crash, now)


def list_withheld(tracker: SuspectTracker, now: float = LATER) -> list[str]:
    return [
        suspect.content
        for suspect in tracker.evaluate(now)
        if suspect.is_withheld
    ]


def find_requirements(tracker: SuspectTracker) -> list[list[str]]:
    return [
        list(suspect.requires)
        for suspect in tracker.evaluate(LATER)
        if suspect.is_withheld
    ]


def test_a_part_is_withheld_after_three_crashes(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "AB", [COMMON, CAUSE], passed=[COMMON])
    assert_that(list_withheld(tracker), HasLength(0))
    crash_request(tracker, "C", [COMMON, CAUSE], passed=[COMMON])
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    assert_that(find_requirements(tracker), Equals(ALONE))


def test_a_content_under_which_all_servers_crashed_is_withheld_alone(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE], content="a/one")
    assert_that(list_withheld(tracker), Equals(["a/one"]))
    crash_request(tracker, "D", [CAUSE], content="a/two")
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_parts_that_always_come_together_are_withheld_together(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [RIDER, CAUSE])
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    assert_that(find_requirements(tracker), Equals([[RIDER]]))
    table = SuspectTable()
    table.update(tracker.evaluate(LATER), ())
    both = table.find_withheld("a/x", (RIDER, CAUSE))
    assert_that(both is not None, Is(True))
    for part in (RIDER, CAUSE):
        assert_that(table.find_withheld("a/x", (part,)) is None, Is(True))


def test_the_part_that_crashes_a_server_alone_is_the_cause(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE, RIDER])
    crash_request(tracker, "D", [CAUSE])
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    assert_that(find_requirements(tracker), Equals(ALONE))


def test_a_part_that_runs_normally_is_no_cause(tracker: SuspectTracker) -> None:
    crash_request(tracker, "ABC", [CAUSE, RIDER])
    assert_that(tracker.record_pass(RIDER, NOW + 0.01, COMPLETE), Is(True))
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    assert_that(find_requirements(tracker), Equals(ALONE))


def test_a_request_sent_before_the_first_crash_clears_nothing(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE])
    assert_that(tracker.record_pass(CAUSE, NOW - 0.1, COMPLETE), Is(False))
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_stream_clears_a_part_when_it_outlives_those_that_crashed(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE], since_first_byte_s=1.5)
    assert_that(tracker.record_pass(CAUSE, NOW, 1.0), Is(False))
    assert_that(tracker.record_pass(CAUSE, NOW, 4.0), Is(True))


# Failure: requests with three parts that crash servers had the first part in
# common, which was withheld.
def test_a_part_that_servers_answered_before_they_crashed_is_no_cause(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "AB", [COMMON, "a/part:one"])
    crash_request(tracker, "CD", [COMMON, "a/part:two"])
    crash = ServerCrash("D", "n2", 0.5, 0.6, survived_s=0.5)
    tracker.record_crash(COMMON, crash, NOW)
    crash_request(tracker, "E", [COMMON, "a/part:one"])
    assert_that(list_withheld(tracker), Equals(["a/part:one"]))


# Failure: a part that all callers send was withheld after three servers had
# crashed within seconds for other reasons.
def test_a_part_that_ran_before_needs_more_crashes_and_time(
    tracker: SuspectTracker,
) -> None:
    servers = "ABCDE"
    assert_that(servers, HasLength(MAX_DOUBTFUL_CRASHES))
    crash_request(tracker, servers[:-1], [COMMON], passed=[COMMON])
    due = NOW + PASS_WAIT_S
    assert_that(list_withheld(tracker, due), HasLength(0))
    crash_request(tracker, servers[-1], [COMMON], passed=[COMMON])
    assert_that(list_withheld(tracker, due - 0.1), HasLength(0))
    assert_that(tracker.find_next_due(due - 0.1) == due, Is(True))
    assert_that(list_withheld(tracker, due), Equals([COMMON]))


def test_a_part_on_few_of_the_crashed_servers_needs_more_crashes(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE])
    crash_request(tracker, "PQRS", [])
    assert_that(list_withheld(tracker), HasLength(0))
    crash_request(tracker, "DE", [CAUSE])
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    crash_request(tracker, "TUVWXYZ", [])
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_part_at_each_crash_is_a_bystander_of_the_causes(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [COMMON, "a/part:one"], passed=[COMMON])
    crash_request(tracker, "DEF", [COMMON, "a/part:two"], passed=[COMMON])
    withheld = list_withheld(tracker, NOW + PASS_WAIT_S)
    assert_that(sorted(withheld), Equals(["a/part:one", "a/part:two"]))


def test_a_request_that_waited_on_each_server_is_a_bystander(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABCD", [CAUSE])
    crash_request(
        tracker,
        "ABCD",
        [],
        content="a/waiting",
        since_first_byte_s=0.0,
        since_sent_s=0.03,
    )
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_new_leader_knows_what_is_withheld_together(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [RIDER, CAUSE])
    successor = SuspectTracker()
    for suspect in tracker.evaluate(LATER):
        successor.record_suspect(suspect, LATER)
    assert_that(list_withheld(successor), Equals([CAUSE]))
    assert_that(find_requirements(successor), Equals([[RIDER]]))
    crash_request(successor, "ABC", [RIDER, CAUSE])
    assert_that(find_requirements(successor), Equals([[RIDER]]))


def test_a_flood_of_parts_is_bounded(tracker: SuspectTracker) -> None:
    crash_request(tracker, "ABC", [CAUSE])
    for number in range(2 * MAX_CONTENTS):
        crash_request(tracker, "X", [f"a/part:{number:x}"])
    assert_that(tracker, HasLength(MAX_CONTENTS))
    assert_that(list_withheld(tracker), Equals([CAUSE]))


# Failure: each evaluation compared all features that are kept with each other.
def test_a_flood_of_parts_is_compared_with_a_few_only(
    tracker: SuspectTracker, monkeypatch: pytest.MonkeyPatch
) -> None:
    for number in range(MAX_CONTENTS // 2):
        crash_request(tracker, "ABC", [f"a/part:{number:x}"])
    comparisons: list[int] = []
    find_due = SuspectTracker._find_due

    def count(self: SuspectTracker, record: Any, rivals: list[Any]) -> float:
        comparisons.append(len(rivals))
        return find_due(self, record, rivals)

    monkeypatch.setattr(SuspectTracker, "_find_due", count)
    assert_that(list_withheld(tracker), HasLength(1))
    allowed = MAX_CANDIDATES * MAX_RIVALS
    assert_that(sum(comparisons), Not(GreaterThan(allowed)))


# Failure: the first part of all prompts stayed withheld, as no request with it
# could run any more.
def test_a_part_that_may_be_common_is_tried_again(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABCDE", [COMMON], passed=[COMMON])
    withheld_at = NOW + PASS_WAIT_S
    assert_that(list_withheld(tracker, withheld_at), Equals([COMMON]))
    trial_at = withheld_at + FIRST_TRIAL_S
    assert_that(list_withheld(tracker, trial_at - 0.1), Equals([COMMON]))
    assert_that(list_withheld(tracker, trial_at), HasLength(0))
    assert_that(list_withheld(tracker, trial_at + 9.0), HasLength(0))
    crash_request(tracker, "F", [COMMON], now=trial_at + 9.0)
    again_at = trial_at + 9.0 + SETTLE_S
    assert_that(list_withheld(tracker, again_at), Equals([COMMON]))
    next_at = again_at + FIRST_TRIAL_S * TRIAL_FACTOR
    assert_that(list_withheld(tracker, next_at - 0.1), Equals([COMMON]))
    assert_that(list_withheld(tracker, next_at), HasLength(0))


def test_a_part_that_never_ran_is_not_tried_again(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE])
    for late in (0.0, FIRST_TRIAL_S, 100 * FIRST_TRIAL_S):
        assert_that(list_withheld(tracker, LATER + late), Equals([CAUSE]))


def test_a_slow_link_does_not_make_a_cause_look_common(
    tracker: SuspectTracker,
) -> None:
    for server in "ABC":
        crash = ServerCrash(server, "n1", 0.5, 0.8, survived_s=0.5)
        tracker.record_crash(CAUSE, crash, NOW)
    assert_that(list_withheld(tracker), Equals([CAUSE]))


# Failure: a part that came with two others under which servers crashed had more
# crashes than each of them, and was withheld in their place.
def test_a_part_that_is_withheld_still_explains_its_crashes(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE, "a/part:one"])
    crash_request(tracker, "DE", [CAUSE, RIDER])
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    crash_request(tracker, "PQRS", ["a/part:two", RIDER])
    withheld = list_withheld(tracker)
    assert_that(sorted(withheld), Equals([CAUSE, "a/part:two"]))


# Failure: while a part was tried again, its crashes were taken for those of the
# part that all prompts begin with.
def test_a_part_that_is_tried_again_still_explains_its_crashes(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABCDE", [COMMON, CAUSE], passed=[CAUSE, COMMON])
    tracker.record_pass(COMMON, NOW, COMPLETE)
    crash_request(tracker, "FGH", [COMMON, CAUSE], passed=[CAUSE, COMMON])
    crash_request(tracker, "PQ", [COMMON, "a/part:one"])
    withheld_at = NOW + PASS_WAIT_S
    assert_that(list_withheld(tracker, withheld_at), Equals([CAUSE]))
    trial_at = withheld_at + FIRST_TRIAL_S
    assert_that(list_withheld(tracker, trial_at), HasLength(0))


# Failure: the first part of all prompts, whose first crash was the oldest, was
# withheld while the cause was still in doubt.
def test_a_likelier_part_that_is_still_in_doubt_goes_first(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "XYZ", [COMMON, "a/part:one"])
    assert_that(list_withheld(tracker), Equals(["a/part:one"]))
    doubtful_at = NOW + 2 * PASS_WAIT_S
    for server in "BCDEF":
        features = (f"a/{server}", COMMON, CAUSE)
        for feature in features:
            crash = ServerCrash(
                server=server,
                node="n1",
                since_first_byte_s=0.001,
                since_sent_s=0.2,
                companions=tuple(one for one in features if one != feature),
                is_unsure=True,
                position=features.index(feature),
            )
            tracker.record_crash(feature, crash, doubtful_at)
    early = list_withheld(tracker, doubtful_at + 2 * SETTLE_S)
    assert_that(early, Equals(["a/part:one"]))
    late = list_withheld(tracker, doubtful_at + UNSURE_WAIT_S + SETTLE_S)
    assert_that(sorted(late), Equals([CAUSE, "a/part:one"]))


NODES = ("n1", "n2")
CHILDREN = ("a/part:one", "a/part:two", "a/part:three")
WITHHELD_AT = NOW + UNSURE_WAIT_S + SETTLE_S
TRIED_AT = WITHHELD_AT + FIRST_SINGLE_TRIAL_S


@pytest.fixture
def common_tracker(tracker: SuspectTracker) -> SuspectTracker:
    """Return a tracker that withholds the first part of all prompts."""
    for servers, child in zip(("AB", "CD", "E"), CHILDREN, strict=True):
        crash_request(tracker, servers, [COMMON, child], is_unsure=True)
    assert_that(list_withheld(tracker, WITHHELD_AT), Equals([COMMON]))
    return tracker


def find_common(tracker: SuspectTracker, now: float) -> Suspect:
    return next(
        suspect
        for suspect in tracker.evaluate(now, NODES)
        if suspect.content == COMMON
    )


def find_trial(tracker: SuspectTracker, now: float) -> Trial | None:
    return find_common(tracker, now).trial


# Failure: nothing tried the first part of all prompts again within the hour.
def test_a_part_that_others_explain_as_well_is_tried_by_one_node_at_a_time(
    common_tracker: SuspectTracker,
) -> None:
    assert_that(find_trial(common_tracker, TRIED_AT - 0.1) is None, Is(True))
    nodes = []
    for number in range(3):
        common = find_common(common_tracker, TRIED_AT + number * SINGLE_TRIAL_S)
        assert_that(common.is_withheld, Is(True))
        assert_that(common.trial is not None, Is(True))
        if common.trial is not None:
            nodes.append(common.trial.node)
            assert_that(set(common.trial.avoids), Equals(set(CHILDREN)))
    assert_that(nodes, Equals(["n2", "n1", "n2"]))


def test_trials_of_a_part_crash_a_few_servers_only(
    common_tracker: SuspectTracker,
) -> None:
    crashes = 0
    for now in range(int(TRIED_AT) + 1, int(TRIED_AT) + 600):
        trial = find_trial(common_tracker, float(now))
        if trial is not None and trial.node:
            crashes += 1
            parts = [COMMON, f"a/part:new{crashes}"]
            crash_request(
                common_tracker, f"{crashes}", parts, now=float(now) + 0.5
            )
    assert_that(crashes, Equals(MAX_SINGLE_TRIALS))


# Failure: while servers took long to begin their answers, several nodes sent a
# request with the cause, and all of their crashes counted as one.
def test_trials_whose_servers_crash_late_crash_a_few_servers_only(
    common_tracker: SuspectTracker,
) -> None:
    due: list[float] = []
    numbers = set()
    crashes = 0
    for step in range(600):
        now = TRIED_AT + step
        while due and due[0] <= now:
            due.pop(0)
            crashes += 1
            parts = [COMMON, f"a/part:new{crashes}"]
            crash_request(common_tracker, f"{crashes}", parts, now=now)
        trial = find_trial(common_tracker, now)
        if trial is not None and trial.node and trial.number not in numbers:
            numbers.add(trial.number)
            due.append(now + 3 * SINGLE_TRIAL_S)
    assert_that(crashes, Equals(MAX_SINGLE_TRIALS))


def test_a_new_leader_knows_of_failed_trials(
    common_tracker: SuspectTracker,
) -> None:
    find_trial(common_tracker, TRIED_AT)
    crash_request(common_tracker, "X", [COMMON], now=TRIED_AT + 0.5)
    successor = SuspectTracker()
    now = TRIED_AT + 1.0
    successor.record_suspect(find_common(common_tracker, now), now)
    trial = find_trial(successor, now)
    assert_that(trial is not None and trial.failures == 1, Is(True))


def test_a_part_that_no_other_explains_is_not_tried(
    tracker: SuspectTracker,
) -> None:
    crash_request(tracker, "ABC", [CAUSE], is_unsure=True)
    for late in range(100):
        suspects = tracker.evaluate(TRIED_AT + late, NODES)
        assert_that([one.trial is None for one in suspects], Equals([True]))


def test_one_request_without_other_suspected_features_is_tried(
    common_tracker: SuspectTracker,
) -> None:
    table = SuspectTable()
    table.announced = common_tracker.evaluate(TRIED_AT, NODES)
    table.update(table.announced, ())
    common = table.find_withheld("a/x", (COMMON,))
    assert_that(common is not None, Is(True))
    for node, parts, is_tried in (
        ("n1", (COMMON,), False),
        ("n2", (COMMON, CHILDREN[2]), False),
        ("n2", (COMMON, "a/part:sound"), True),
        ("n2", (COMMON,), False),
    ):
        tried = table.begin_trial(node, "a/x", parts)
        assert_that(tried is not None, Is(is_tried))
    assert_that(common is not None and table.is_on_trial(common), Is(True))
    table.version = (table.version[0] + 1, 0)
    assert_that(common is not None and table.is_on_trial(common), Is(False))
    table.version = (table.version[0] - 1, 0)
    table.announced = common_tracker.evaluate(TRIED_AT + SINGLE_TRIAL_S, NODES)
    table.update(table.announced, ())
    assert_that(common is not None and table.is_on_trial(common), Is(False))
