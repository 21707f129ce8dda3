"""Tests that the leader plans only groups that it goes on to form."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.controller import Controller
from chervilrock.decisions.serving.groups.effects import GroupStep
from chervilrock.decisions.serving.groups.orders import ServerReport
from chervilrock.decisions.serving.servers.hosts import HostRegistry
from chervilrock.decisions.serving.site import Membership, MemberState
from test.decisions.serving.fleet import CONFIGURATION, FakeServer, Fleet


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet of three domains of eight hosts, with serving groups."""
    made = Fleet(domains=3, hosts=8, seed=1)
    made.run(6.0)
    made.start_traffic()
    return made


def count_planned(fleet: Fleet, server: str, seconds: float) -> int:
    """Return how many groups with a server are planned from now on."""
    fleet.changes.clear()
    fleet.run(seconds)
    return sum(
        change.step is GroupStep.PLANNED and server in change.members
        for change in fleet.changes
    )


def make_membership(model: str, number: int) -> Membership:
    """Return the membership of a head in a group of the first term."""
    epoch = groupnames.make_epoch(1, number)
    name = groupnames.make_name(model, epoch, is_standby=False)
    return Membership(name, epoch, 0, MemberState.READY)


def find_head(fleet: Fleet, model: str) -> FakeServer:
    """Return the head of a serving group of a model."""
    return next(
        fleet.servers[endpoint.server]
        for endpoint in fleet.controller.list_groups(fleet.now)
        if endpoint.model == model
    )


def lead_without(fleet: Fleet, absent: str) -> None:
    """Let a new leader take over that does not find the entry of a server."""
    controller = Controller(term=2)
    controller.set_configuration(CONFIGURATION)
    controller.record_traffic()
    for name, server in fleet.servers.items():
        if name != absent:
            controller.record_server(fleet.make_entry(server), fleet.now)
    fleet.controller = controller
    fleet.servers[absent].has_entry = False
    fleet.run(0.6)
    fleet.servers[absent].has_entry = True


def test_no_group_is_planned_again_and_again_for_a_host_with_a_foreign_report(
    fleet: Fleet,
) -> None:
    # The host is lost, and a member of a serving group has its address.
    lost = fleet.add("lost", find_head(fleet, "large").domain)
    lost.stale_entry = fleet.make_entry(lost)
    lost.successor = find_head(fleet, "large").server
    assert_that(count_planned(fleet, "lost", 1.0), Equals(0))
    lost.successor = ""
    lost.stale_entry = None
    fleet.run(2.0)
    assert lost.membership is not None
    assert_that(fleet.violations, HasLength(0))


@pytest.mark.parametrize("is_head_lost", [False, True])
def test_no_group_is_planned_again_and_again_for_a_late_member(
    fleet: Fleet, is_head_lost: bool
) -> None:
    # A new leader adopts a group without a member, whose entry comes later.
    head = find_head(fleet, "large")
    late = head.members[2]
    former = fleet.servers[late].membership
    head.is_unreachable = is_head_lost
    lead_without(fleet, late)
    assert_that(count_planned(fleet, late, 1.0), LessThan(2))
    head.is_unreachable = False
    fleet.run(3.0)
    membership = fleet.servers[late].membership
    assert membership is not None and former is not None
    assert_that(membership.epoch, GreaterThan(former.epoch))
    assert_that(fleet.violations, HasLength(0))


def test_no_group_is_planned_again_and_again_for_a_host_with_a_late_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A former leader moved the host to another group, which the new one ends.
    # Its report, some hundred milliseconds old, still names the first group.
    fleet = Fleet(domains=1, hosts=0, seed=1, term=2)
    fleet.start_traffic()
    host = fleet.add("h", "d0")
    host.membership = make_membership("small", 2)
    host.stale_entry = fleet.make_entry(host)
    is_first = iter((True,))

    def send_report(_leader: Controller, name: str, is_lost: bool) -> None:
        is_late = next(is_first, False)
        membership = make_membership("large", 1) if is_late else host.membership
        answer = ServerReport(membership, (), host.obeyed, 0, 0, 1.0)
        fleet.controller.record_report(name, answer, fleet.now)

    monkeypatch.setattr(fleet, "_report", send_report)
    fleet.run(1.0)
    assert_that(count_planned(fleet, "h", 1.0), LessThan(2))
    fleet.run(1.0)
    assert host.membership is not None
    assert_that(host.membership.epoch, GreaterThan(groupnames.make_epoch(2, 0)))


def test_no_group_is_planned_again_for_a_host_whose_address_is_taken(
    fleet: Fleet,
) -> None:
    # The server that has the address is in no group, nor known to the leader.
    fleet.add("other", "d0").has_entry = False
    lost = fleet.add("lost", "d0")
    lost.stale_entry = fleet.make_entry(lost)
    lost.successor = "other"
    assert_that(count_planned(fleet, "lost", 8.0), Equals(1))
    lost.stale_entry = lost.stale_entry._replace(address="lost:2")
    lost.successor = ""
    fleet.run(2.0)
    assert lost.membership is not None


def test_a_host_that_starts_again_at_its_former_address_is_used() -> None:
    hosts = HostRegistry()
    entry = Fleet(domains=1, hosts=1, seed=1).make_entry(
        FakeServer(server="a", domain="d0")
    )
    for started_ms in (1, 2):
        hosts.record_incarnation("a", started_ms, 0.0)
        hosts.apply_entry(entry, 0.0)
        assert_that(hosts.is_misdirected("a"), Equals(False))
        hosts.record_misdirected("a", 0.0)
    assert_that(hosts.is_misdirected("a"), Equals(True))


def test_no_head_that_serves_joins_another_group_after_a_foreign_report() -> (
    None
):
    # Guards against an order to leave that another server answers, and that
    # counts as obeyed by the head. A new leader finds the entry of an ended
    # server first, whose address the head now has.
    fleet = Fleet(domains=1, hosts=0, seed=1, term=2)
    fleet.start_traffic()
    ended = fleet.add("a", "d0")
    ended.stale_entry = fleet.make_entry(ended)
    ended.successor = "b"
    head = fleet.add("b", "d0")
    head.has_entry = False
    head.membership = make_membership("small", 1)
    head.membership = head.membership._replace(state=MemberState.OPEN)
    head.members = ("b", "c")
    fleet.run(1.5)
    head.has_entry = True
    fleet.run(5.0)
    assert_that(fleet.violations, HasLength(0))
