"""Pauses that nodes report to the leader, as a part of the slots."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.servers.reportedpauses import ReportedPauses


def test_each_node_that_a_head_pauses_for_takes_its_part_of_the_slots() -> None:
    pauses = ReportedPauses()
    pauses.record("n1", {"h": 2.0}, 0.0)
    pauses.record("n2", {"h": 3.0, "g": 1.0}, 0.0)
    usable = [dict(pauses.find_usable(4, now)) for now in (0.5, 2.5)]
    assert_that(usable, Equals([{"h": 0.5, "g": 0.75}, {"h": 0.75}]))
    assert_that(pauses.find_usable(4, 3.5), HasLength(0))


def test_more_pausing_nodes_than_senders_leave_no_slots() -> None:
    pauses = ReportedPauses()
    for number in range(3):
        pauses.record(f"n{number}", {"h": 9.0}, 0.0)
    assert_that(dict(pauses.find_usable(0, 1.0)), Equals({"h": 0.0}))


def test_the_pauses_of_a_former_start_are_forgotten() -> None:
    # Failure: the plan counts no slots at a head that started again.
    pauses = ReportedPauses()
    pauses.record("n", {"h": 60.0, "other": 60.0}, 0.0)
    pauses.forget("h")
    assert_that(dict(pauses.find_usable(2, 1.0)), Equals({"other": 0.5}))
