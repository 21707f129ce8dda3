"""What a starting node concludes about the leader of a claim that it has read.

Guards against replacing a live leader on thin evidence, and against waiting
for one that is gone.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.nodes.leadercontact import (
    ASKED_NODES,
    choose_asked,
    ContactAnswer,
    Finding,
    judge_leader,
    judge_others,
    LeaderContact,
    should_probe,
)
from chervilrock.decisions.serving.nodes.leadership import (
    Claim,
    Leadership,
    should_register,
)
from chervilrock.decisions.serving.view import LeaderEntry, NodeEntry

CLAIM = Claim(7, LeaderEntry("n0", "i0"))

SILENT = ContactAnswer(is_answered=False)
PREVIOUS_VERSION = ContactAnswer(is_answered=True)


def make_answer(
    *, term: int = 7, has_contact: bool = False, incarnation: str = "i9"
) -> ContactAnswer:
    return ContactAnswer(True, LeaderContact(incarnation, term, has_contact))


@pytest.mark.parametrize(
    ("answer", "finding"),
    [
        (SILENT, Finding.ABSENT),
        (make_answer(incarnation="i1", has_contact=True), Finding.ABSENT),
        (make_answer(incarnation="i0", has_contact=True), Finding.LIVE),
        (make_answer(incarnation="i0", term=6), Finding.UNKNOWN),
        # It may be a leader of the previous version.
        (PREVIOUS_VERSION, Finding.UNKNOWN),
    ],
)
def test_a_leader_is_absent_only_if_its_process_does_not_answer(
    answer: ContactAnswer, finding: Finding
) -> None:
    assert_that(judge_leader(CLAIM, answer), Is(finding))


@pytest.mark.parametrize(
    ("answers", "finding"),
    [
        ([make_answer()] * 3 + [SILENT] * 2, Finding.LOST),
        ([make_answer()] * 3 + [SILENT] * 3, Finding.UNKNOWN),
        ([make_answer()] * 3 + [PREVIOUS_VERSION] * 3, Finding.UNKNOWN),
        # These nodes have not read the claim.
        ([make_answer(term=-1)] * 5, Finding.UNKNOWN),
        ([make_answer()] * 5 + [make_answer(has_contact=True)], Finding.LIVE),
        ([SILENT] * 5 + [make_answer(has_contact=True)], Finding.LIVE),
        ([make_answer()] * 5 + [make_answer(term=8)], Finding.UNKNOWN),
        ([], Finding.UNKNOWN),
    ],
)
def test_a_leader_is_lost_only_if_most_nodes_answer_without_contact(
    answers: list[ContactAnswer], finding: Finding
) -> None:
    assert_that(judge_others(CLAIM, answers), Is(finding))


def make_nodes(count: int) -> list[NodeEntry]:
    return [
        NodeEntry(f"n{number:03}", "i", "a", "c", f"p{number % 3}")
        for number in range(count)
    ]


def test_most_of_the_asked_nodes_are_in_other_data_centres() -> None:
    # Otherwise the nodes of a data centre that is cut off agree that a leader
    # outside of it is lost.
    nodes = make_nodes(90)
    for own in nodes[:9]:
        asked = choose_asked(
            own, nodes[-1], nodes, rank=0, generator=random.Random(1)
        )
        near = [one for one in asked if one.data_centre == own.data_centre]
        assert_that(asked, HasLength(ASKED_NODES))
        assert_that(2 * len(near) <= ASKED_NODES, Is(True))
        assert_that(own in asked or nodes[-1] in asked, Is(False))


def test_few_of_many_starting_nodes_ask_at_once() -> None:
    askers = [
        sum(should_probe(rank, waited_s) for rank in range(300))
        for waited_s in (0.0, 0.6, 1.1)
    ]
    assert_that(askers, Equals([3, 6, 9]))


def test_evidence_that_a_leader_exists_delays_the_claim() -> None:
    leadership = Leadership(node="n1", incarnation="i", now=0.0)
    leadership.record_claim(CLAIM, 0.0)
    assert_that(leadership.should_claim(0, 6, 0.8), Is(True))
    leadership.record_indirect_contact(0.7)
    assert_that(leadership.should_claim(0, 6, 0.8), Is(False))
    assert_that(leadership.should_claim(0, 6, 1.5), Is(True))


def test_nodes_register_one_after_the_other_without_a_leader() -> None:
    # Registrations that arrive together make each claim fail.
    def count(waited_s: float, *, has_leader: bool = False) -> int:
        return sum(
            should_register(
                rank=rank,
                has_leader=has_leader,
                was_leader=False,
                waited_s=waited_s,
            )
            for rank in range(300)
        )

    counts = [count(waited_s) for waited_s in (0.5, 0.61, 1.01, 2.8, 3.0)]
    assert_that(counts, Equals([3, 4, 12, 20, 300]))
    assert_that(count(0.0, has_leader=True), Equals(300))
