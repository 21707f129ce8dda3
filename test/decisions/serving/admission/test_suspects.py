"""Which requests are identified as the cause of crashes of servers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan, Not

from chervilrock.decisions.serving.admission.contents import (
    identify_content,
    MAX_SHOWN_CHARACTERS,
)
from chervilrock.decisions.serving.admission.suspects import (
    ServerCrash,
    Suspect,
    SuspectTable,
    Trial,
)
from chervilrock.decisions.serving.admission.suspecttracker import (
    FORGET_S,
    MAX_ANNOUNCED_SUSPECTS,
    MAX_CONTENTS,
    MAX_CRASHES,
    RIVAL_SETTLE_S,
    SETTLE_S,
    SuspectTracker,
    WITHHELD_S,
)

CAUSE = "a/cause"
BYSTANDER = "a/bystander"
NOW = 100.0
LATER = NOW + 2 * SETTLE_S


@pytest.fixture
def tracker() -> SuspectTracker:
    return SuspectTracker()


def record_crashes(
    tracker: SuspectTracker,
    content: str,
    servers: str,
    *,
    since_first_byte_s: float = 0.0,
    since_sent_s: float = 0.2,
) -> None:
    """Let servers, named by letters, crash under a request."""
    for server in servers:
        crash = ServerCrash(server, "n1", since_first_byte_s, since_sent_s)
        tracker.record_crash(content, crash, NOW)


def list_withheld(tracker: SuspectTracker, now: float = LATER) -> list[str]:
    return [
        suspect.content
        for suspect in tracker.evaluate(now)
        if suspect.is_withheld
    ]


def test_a_request_is_withheld_after_three_crashes(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, CAUSE, "AB")
    assert_that(list_withheld(tracker), HasLength(0))
    record_crashes(tracker, CAUSE, "C")
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_crash_that_several_nodes_report_counts_once(
    tracker: SuspectTracker,
) -> None:
    for node in ("n1", "n2", "n3"):
        tracker.record_crash(CAUSE, ServerCrash("A", node, 0.0, 0.1), NOW)
    assert_that(tracker.count_crashes(CAUSE), Equals(1))


def test_no_request_is_withheld_before_all_reports_of_a_crash(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, BYSTANDER, "ABC", since_first_byte_s=0.4)
    assert_that(list_withheld(tracker, NOW), HasLength(0))
    assert_that(tracker.find_next_due(NOW) == NOW + SETTLE_S, Is(True))
    record_crashes(tracker, CAUSE, "ABC")
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_late_report_on_the_cause_still_counts(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, CAUSE, "AB")
    record_crashes(tracker, BYSTANDER, "ABC", since_first_byte_s=0.1)
    assert_that(list_withheld(tracker), HasLength(0))
    record_crashes(tracker, CAUSE, "C")
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_bystander_is_not_withheld_while_the_cause_settles(
    tracker: SuspectTracker,
) -> None:
    # Failure: the third crash of the cause is reported last. It does not count
    # yet when that of a bystander does, whose callers were told that three
    # servers had crashed under its request.
    record_crashes(tracker, BYSTANDER, "abc", since_first_byte_s=0.4)
    record_crashes(tracker, CAUSE, "ab", since_first_byte_s=0.01)
    late = NOW + 0.8 * SETTLE_S
    crash = ServerCrash("c", "n2", 0.01, 0.2)
    tracker.record_crash(CAUSE, crash, late)
    for step in range(100):
        now = late + step * 0.01
        withheld = list_withheld(tracker, now)
        assert_that(withheld, Not(Contains(BYSTANDER)))
    assert_that(withheld, Equals([CAUSE]))
    due = [tracker.find_next_due(now) for now in (NOW, late)]
    assert_that(all(time == NOW + SETTLE_S for time in due), Is(True))


def test_a_missing_report_delays_withholding_only_briefly(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, BYSTANDER, "AB")
    record_crashes(tracker, CAUSE, "ABC", since_first_byte_s=0.1)
    due = NOW + SETTLE_S + RIVAL_SETTLE_S
    assert_that(list_withheld(tracker, due - 0.01), HasLength(0))
    assert_that(list_withheld(tracker, due), Equals([CAUSE]))


def test_a_bystander_at_each_crash_is_not_withheld(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, BYSTANDER, "ABC", since_first_byte_s=0.3)
    record_crashes(tracker, CAUSE, "ABC", since_first_byte_s=0.05)
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_of_unanswered_requests_the_one_sent_first_is_the_cause(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, BYSTANDER, "ABC", since_sent_s=0.1)
    record_crashes(tracker, CAUSE, "ABC", since_sent_s=0.25)
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_bystander_of_two_causes_is_not_withheld(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, "a/one", "ABC")
    record_crashes(tracker, "a/two", "DEF")
    record_crashes(tracker, BYSTANDER, "ADE", since_first_byte_s=0.2)
    withheld = list_withheld(tracker)
    assert_that(withheld, Not(Contains(BYSTANDER)))
    assert_that(len(withheld), Equals(2))


def test_a_bystander_is_released_when_the_cause_is_known(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, BYSTANDER, "ABC", since_first_byte_s=0.2)
    assert_that(list_withheld(tracker), Equals([BYSTANDER]))
    record_crashes(tracker, CAUSE, "ABCD", since_first_byte_s=0.2)
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_a_second_cause_that_shares_a_server_is_found(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, "a/one", "ABC", since_first_byte_s=0.06)
    record_crashes(tracker, "a/two", "CDE", since_first_byte_s=0.02)
    # The third crash of the first one may be due to the second one.
    assert_that(list_withheld(tracker), Equals(["a/two"]))
    record_crashes(tracker, "a/one", "F", since_first_byte_s=0.06)
    assert_that(sorted(list_withheld(tracker)), Equals(["a/one", "a/two"]))


def test_a_normal_completion_clears_a_request(tracker: SuspectTracker) -> None:
    record_crashes(tracker, CAUSE, "AB")
    assert_that(tracker.clear(CAUSE), Is(True))
    record_crashes(tracker, CAUSE, "C")
    assert_that(list_withheld(tracker), HasLength(0))


def test_crashes_expire(tracker: SuspectTracker) -> None:
    record_crashes(tracker, BYSTANDER, "AB")
    record_crashes(tracker, CAUSE, "CDE")
    assert_that(list_withheld(tracker), Equals([CAUSE]))
    assert_that(list_withheld(tracker, NOW + FORGET_S + 1), Equals([CAUSE]))
    assert_that(tracker.count_crashes(BYSTANDER), Equals(0))
    assert_that(list_withheld(tracker, NOW + WITHHELD_S + 1), HasLength(0))
    assert_that(len(tracker), Equals(0))


def test_a_flood_of_requests_evicts_no_withheld_one(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, CAUSE, "ABC")
    for number in range(2 * MAX_CONTENTS):
        record_crashes(tracker, f"a/{number}", "A")
    assert_that(len(tracker), Equals(MAX_CONTENTS))
    assert_that(list_withheld(tracker), Equals([CAUSE]))


def test_the_announced_list_is_bounded(tracker: SuspectTracker) -> None:
    record_crashes(tracker, CAUSE, "ABC")
    for number in range(2 * MAX_ANNOUNCED_SUSPECTS):
        record_crashes(tracker, f"a/{number}", "XY")
    announced = tracker.evaluate(LATER)
    assert_that(len(announced), Equals(MAX_ANNOUNCED_SUSPECTS))
    assert_that(announced[0].content, Equals(CAUSE))


def test_a_new_leader_keeps_the_announced_suspects(
    tracker: SuspectTracker,
) -> None:
    record_crashes(tracker, CAUSE, "ABC")
    record_crashes(tracker, BYSTANDER, "AB", since_first_byte_s=0.3)
    successor = SuspectTracker()
    for suspect in tracker.evaluate(LATER):
        successor.record_suspect(suspect, LATER)
    assert_that(list_withheld(successor), Equals([CAUSE]))
    record_crashes(successor, BYSTANDER, "C", since_first_byte_s=0.3)
    assert_that(list_withheld(successor, LATER + 1), Equals([CAUSE]))


def make_suspect(*, is_withheld: bool) -> Suspect:
    crashes = tuple(ServerCrash(name, "n1", 0.0, 0.1) for name in "ABC")
    return Suspect(CAUSE, crashes, is_withheld)


# Failure: nodes of the former version could not read the stored record.
def test_a_stored_record_has_the_fields_of_the_former_version() -> None:
    suspect = make_suspect(is_withheld=True)
    trial = Trial(number=1, node="n1", avoids=(), failures=1)
    stored = suspect._replace(trial=trial).stored
    assert_that(stored, HasLength(5))
    assert_that(Suspect(*stored) == suspect, Is(True))  # type: ignore[arg-type]


def test_a_node_withholds_what_it_or_the_leader_found() -> None:
    table = SuspectTable()
    withheld = make_suspect(is_withheld=True)
    suspected = make_suspect(is_withheld=False)
    begun, _ = table.update((), (withheld,))
    assert_that([suspect.content for suspect in begun], Equals([CAUSE]))
    begun, ended = table.update((withheld,), (suspected,))
    assert_that((*begun, *ended), HasLength(0))
    assert_that(table.find_withheld(CAUSE) == withheld, Is(True))
    _, ended = table.update((suspected,), ())
    assert_that(list(ended), Equals([CAUSE]))
    assert_that(table.find_withheld(CAUSE) is None, Is(True))


def identify(**changes: object) -> str:
    fields: dict[str, object] = {
        "method": "POST",
        "host": "site.example",
        "target": "/draft/x",
        "workspace": "brokers",
        "body": b"text",
    }
    return identify_content(**(fields | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/draft/y"},
        {"workspace": "others"},
        {"body": b"other"},
    ],
)
def test_only_the_same_content_has_the_same_identifier(
    changes: dict[str, object],
) -> None:
    assert_that(identify(), Equals(identify()))
    assert_that(identify(**changes), Not(Equals(identify())))


def test_the_port_of_a_host_is_ignored() -> None:
    assert_that(identify(host="Site.example:8227"), Equals(identify()))


def test_workspaces_with_the_same_long_prefix_are_distinguished() -> None:
    long = "w" * 300
    name = identify(workspace=long)
    assert_that(len(name), LessThan(MAX_SHOWN_CHARACTERS + 20))
    assert_that(identify(workspace=long + "x"), Not(Equals(name)))


def test_a_request_may_crash_three_servers_at_most() -> None:
    assert_that(MAX_CRASHES, Equals(3))
