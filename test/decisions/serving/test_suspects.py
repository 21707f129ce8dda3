"""Which requests are taken for the cause of the ends of servers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan, Not

from chervilrock.decisions.serving.contents import identify_content, MAX_SHOWN
from chervilrock.decisions.serving.suspects import (
    FORGET_S,
    MAX_CONTENTS,
    MAX_ENDS,
    MAX_TOLD,
    RIVAL_SETTLE_S,
    ServerEnd,
    SETTLE_S,
    Suspect,
    SuspectLedger,
    SuspectTable,
    WITHHELD_S,
)

CAUSE = "a/cause"
COMPANION = "a/companion"
NOW = 100.0
LATER = NOW + 2 * SETTLE_S


@pytest.fixture
def ledger() -> SuspectLedger:
    return SuspectLedger()


def note_ends(
    ledger: SuspectLedger,
    content: str,
    servers: str,
    *,
    served_s: float = 0.0,
    sent_s: float = 0.2,
) -> None:
    """Let servers, named by letters, end under a request."""
    for server in servers:
        end = ServerEnd(server, "n1", served_s, sent_s)
        ledger.note_end(content, end, NOW)


def list_withheld(ledger: SuspectLedger, now: float = LATER) -> list[str]:
    return [one.content for one in ledger.judge(now) if one.is_withheld]


def test_the_third_server_is_the_last_one(ledger: SuspectLedger) -> None:
    note_ends(ledger, CAUSE, "AB")
    assert_that(list_withheld(ledger), HasLength(0))
    note_ends(ledger, CAUSE, "C")
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_a_server_that_several_nodes_saw_end_counts_once(
    ledger: SuspectLedger,
) -> None:
    for node in ("n1", "n2", "n3"):
        ledger.note_end(CAUSE, ServerEnd("A", node, 0.0, 0.1), NOW)
    assert_that(ledger.count_ends(CAUSE), Equals(1))


def test_reports_of_the_same_end_are_waited_for(ledger: SuspectLedger) -> None:
    note_ends(ledger, COMPANION, "ABC", served_s=0.4)
    assert_that(list_withheld(ledger, NOW), HasLength(0))
    assert_that(ledger.find_settling(NOW) == NOW + SETTLE_S, Is(True))
    note_ends(ledger, CAUSE, "ABC")
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_a_late_report_on_the_cause_is_waited_for(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, CAUSE, "AB")
    note_ends(ledger, COMPANION, "ABC", served_s=0.1)
    assert_that(list_withheld(ledger), HasLength(0))
    note_ends(ledger, CAUSE, "C")
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_a_report_that_does_not_come_is_not_waited_for_long(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, COMPANION, "AB")
    note_ends(ledger, CAUSE, "ABC", served_s=0.1)
    due = NOW + SETTLE_S + RIVAL_SETTLE_S
    assert_that(list_withheld(ledger, due - 0.01), HasLength(0))
    assert_that(list_withheld(ledger, due), Equals([CAUSE]))


def test_a_companion_that_ended_with_the_cause_each_time_is_free(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, COMPANION, "ABC", served_s=0.3)
    note_ends(ledger, CAUSE, "ABC", served_s=0.05)
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_of_requests_without_answers_the_one_sent_first_is_the_cause(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, COMPANION, "ABC", sent_s=0.1)
    note_ends(ledger, CAUSE, "ABC", sent_s=0.25)
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_a_companion_of_two_causes_is_free(ledger: SuspectLedger) -> None:
    note_ends(ledger, "a/one", "ABC")
    note_ends(ledger, "a/two", "DEF")
    note_ends(ledger, COMPANION, "ADE", served_s=0.2)
    withheld = list_withheld(ledger)
    assert_that(withheld, Not(Contains(COMPANION)))
    assert_that(len(withheld), Equals(2))


def test_a_companion_is_let_go_when_the_cause_is_known(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, COMPANION, "ABC", served_s=0.2)
    assert_that(list_withheld(ledger), Equals([COMPANION]))
    note_ends(ledger, CAUSE, "ABCD", served_s=0.2)
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_a_second_cause_that_shares_a_server_is_found(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, "a/one", "ABC", served_s=0.06)
    note_ends(ledger, "a/two", "CDE", served_s=0.02)
    # The third end of the first one may be the work of the second one.
    assert_that(list_withheld(ledger), Equals(["a/two"]))
    note_ends(ledger, "a/one", "F", served_s=0.06)
    assert_that(sorted(list_withheld(ledger)), Equals(["a/one", "a/two"]))


def test_a_clean_run_clears(ledger: SuspectLedger) -> None:
    note_ends(ledger, CAUSE, "AB")
    assert_that(ledger.clear(CAUSE), Is(True))
    note_ends(ledger, CAUSE, "C")
    assert_that(list_withheld(ledger), HasLength(0))


def test_ends_are_forgotten_after_their_time(ledger: SuspectLedger) -> None:
    note_ends(ledger, COMPANION, "AB")
    note_ends(ledger, CAUSE, "CDE")
    assert_that(list_withheld(ledger), Equals([CAUSE]))
    assert_that(list_withheld(ledger, NOW + FORGET_S + 1), Equals([CAUSE]))
    assert_that(ledger.count_ends(COMPANION), Equals(0))
    assert_that(list_withheld(ledger, NOW + WITHHELD_S + 1), HasLength(0))
    assert_that(len(ledger), Equals(0))


def test_a_flood_of_requests_drives_out_no_withheld_one(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, CAUSE, "ABC")
    for number in range(2 * MAX_CONTENTS):
        note_ends(ledger, f"a/{number}", "A")
    assert_that(len(ledger), Equals(MAX_CONTENTS))
    assert_that(list_withheld(ledger), Equals([CAUSE]))


def test_what_is_told_is_bounded(ledger: SuspectLedger) -> None:
    note_ends(ledger, CAUSE, "ABC")
    for number in range(2 * MAX_TOLD):
        note_ends(ledger, f"a/{number}", "XY")
    told = ledger.judge(LATER)
    assert_that(len(told), Equals(MAX_TOLD))
    assert_that(told[0].content, Equals(CAUSE))


def test_a_new_leader_goes_on_with_what_was_told(
    ledger: SuspectLedger,
) -> None:
    note_ends(ledger, CAUSE, "ABC")
    note_ends(ledger, COMPANION, "AB", served_s=0.3)
    successor = SuspectLedger()
    for suspect in ledger.judge(LATER):
        successor.note_suspect(suspect, LATER)
    assert_that(list_withheld(successor), Equals([CAUSE]))
    note_ends(successor, COMPANION, "C", served_s=0.3)
    assert_that(list_withheld(successor, LATER + 1), Equals([CAUSE]))


def make_suspect(*, is_withheld: bool) -> Suspect:
    ends = tuple(ServerEnd(name, "n1", 0.0, 0.1) for name in "ABC")
    return Suspect(CAUSE, ends, is_withheld)


def test_a_node_withholds_what_the_leader_or_itself_has_found() -> None:
    table = SuspectTable()
    withheld = make_suspect(is_withheld=True)
    suspected = make_suspect(is_withheld=False)
    begun, _ = table.use((), (withheld,))
    assert_that([one.content for one in begun], Equals([CAUSE]))
    begun, ended = table.use((withheld,), (suspected,))
    assert_that((*begun, *ended), HasLength(0))
    assert_that(table.find_withheld(CAUSE) == withheld, Is(True))
    _, ended = table.use((suspected,), ())
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
def test_only_the_same_content_has_the_same_name(
    changes: dict[str, object],
) -> None:
    assert_that(identify(), Equals(identify()))
    assert_that(identify(**changes), Not(Equals(identify())))


def test_the_port_of_a_host_does_not_count() -> None:
    assert_that(identify(host="Site.example:8227"), Equals(identify()))


def test_long_names_of_workspaces_stay_apart() -> None:
    long = "w" * 300
    name = identify(workspace=long)
    assert_that(len(name), LessThan(MAX_SHOWN + 20))
    assert_that(identify(workspace=long + "x"), Not(Equals(name)))


def test_the_bound_is_three() -> None:
    assert_that(MAX_ENDS, Equals(3))
