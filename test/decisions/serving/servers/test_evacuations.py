"""The registry of evacuations, and the leader's plan during one."""

from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.groups.orders import Join, Leave
from chervilrock.decisions.serving.servers.evacuations import (
    Evacuation,
    EvacuationRecord,
    Evacuations,
    find_grace,
)
from chervilrock.decisions.serving.servers.hosts import HostRegistry
from chervilrock.decisions.serving.site import MemberState
from chervilrock.decisions.serving.view import GroupEndpoint
from test.decisions.serving.fleet import Fleet
from test.decisions.serving.groups.test_controller import make_host

FIRST = (0, 5)
STATES = st.builds(
    # The store gives each version to a single record.
    lambda era, offset: Evacuation("b", era, offset, (era + offset) % 2 == 0),
    st.integers(0, 2),
    st.integers(0, 3),
)


@pytest.fixture
def evacuations() -> Evacuations:
    """Return a registry in which data centre b is evacuated at time 0."""
    made = Evacuations()
    made.record(EvacuationRecord("b", True), FIRST, 0.0, is_snapshot=False)
    return made


def end_absent(evacuations: Evacuations, era: int, end: int) -> bool:
    evacuations.end_absent((), era=era, end=end, unreadable=())
    return not evacuations.is_evacuated("b")


@given(st.lists(STATES), st.randoms(use_true_random=False))
def test_states_converge_in_any_order(states, generator) -> None:
    # Nodes that heard the same in another order must not disagree.
    shuffled = list(states)
    generator.shuffle(shuffled)
    one, other = Evacuations(), Evacuations()
    one.merge(states, 0.0)
    other.merge(shuffled, 0.0)
    assert_that(one.list_states(0.0), Equals(other.list_states(0.0)))


def test_a_node_sends_until_the_grace_ends(evacuations) -> None:
    assert_that(evacuations.is_evacuated("b"), Is(True))
    assert_that(evacuations.is_closed("b", 1.9), Is(False))
    assert_that(evacuations.is_closed("b", 2.0), Is(True))
    assert_that(find_grace(1.0), Equals(0.4))


def test_a_snapshot_without_the_record_ends_it_in_the_same_era(
    evacuations,
) -> None:
    assert_that(end_absent(evacuations, era=0, end=5), Is(False))
    assert_that(end_absent(evacuations, era=1, end=50), Is(False))
    assert_that(end_absent(evacuations, era=0, end=9), Is(True))
    # The removed record must not come back from a node that still has it.
    evacuations.merge([Evacuation("b", *FIRST, True)], 1.0)
    assert_that(evacuations.is_evacuated("b"), Is(False))


def test_a_record_of_a_later_era_ends_it(evacuations) -> None:
    evacuations.merge([Evacuation("b", 1, 0, False)], 1.0)
    assert_that(evacuations.is_evacuated("b"), Is(False))


def test_an_evacuation_of_unknown_age_is_closed_only_where_it_was_read() -> (
    None
):
    started, other = Evacuations(), Evacuations()
    record = EvacuationRecord("b", True)
    started.record(record, FIRST, 0.0, is_snapshot=True)
    assert_that(started.is_closed("b", 0.0), Is(True))
    other.merge(started.list_states(0.0), 0.0)
    assert_that(other.is_closed("b", 0.0), Is(False))
    # A node that hears of it late counts from when the first one knew.
    third = Evacuations()
    third.merge(other.list_states(1.5), 1.5)
    assert_that(third.is_closed("b", 2.0), Is(True))


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """A fleet with traffic, of which domain d2 lies in data centre b."""
    made = Fleet(domains=3, hosts=10, seed=1, data_centres={"d2": "b"})
    made.run(6.0)
    made.start_traffic()
    made.demand = {"large": 20, "small": 20}
    yield made
    assert_that(made.violations, HasLength(0))


def evacuate(fleet: Fleet, *names: str) -> None:
    wanted = frozenset(names)
    fleet.controller.set_evacuated(wanted, wanted, frozenset("b"), fleet.now)


def list_orders(fleet: Fleet, kind: type) -> list[str]:
    """Return the servers of data centre b that got orders of a kind."""
    return [name for name, order in fleet.orders if isinstance(order, kind)]


def list_groups(fleet: Fleet) -> tuple[GroupEndpoint, ...]:
    return fleet.controller.list_groups(fleet.now)


def count_heads(fleet: Fleet, state: MemberState) -> int:
    """Return the number of heads of data centre b in a state."""
    memberships = [
        server.membership
        for server in fleet.servers.values()
        if server.domain == "d2" and len(server.members) > 1
    ]
    return sum(
        membership is not None
        and membership.rank == 0
        and membership.state is state
        for membership in memberships
    )


def list_members(fleet: Fleet) -> set[str]:
    """Return the members of the groups of data centre b that were opened."""
    return {
        name
        for name, server in fleet.servers.items()
        if server.domain == "d2"
        and server.membership is not None
        and (server.membership.group, server.membership.epoch) in fleet.opened
    }


@pytest.mark.parametrize("is_order_lost", [False, True])
def test_groups_close_without_a_time_limit(fleet, is_order_lost) -> None:
    # Groups that close were dissolved after 5 s, which cuts longer streams.
    for server in fleet.servers.values():
        server.busy_until = fleet.now + 15.0
    heads = count_heads(fleet, MemberState.OPEN)
    fleet.orders.clear()
    evacuate(fleet, "b")
    open_in = {group.data_centre for group in list_groups(fleet)}
    assert_that(open_in, Equals({"a"}))
    fleet.run(2.9)
    assert_that(count_heads(fleet, MemberState.OPEN), Equals(heads))
    for server in fleet.servers.values():
        server.is_unreachable = is_order_lost and server.domain == "d2"
    fleet.run(1.0)
    for server in fleet.servers.values():
        server.is_unreachable = False
    fleet.run(8.0)
    assert_that(list_orders(fleet, Leave), HasLength(0))
    assert_that(count_heads(fleet, MemberState.CLOSING), Equals(heads))
    members = list_members(fleet)
    fleet.run(6.0)
    assert_that(set(list_orders(fleet, Leave)), Equals(members))
    assert_that(list_orders(fleet, Join), HasLength(0))


def test_a_new_leader_lets_streams_end_and_forms_nothing(fleet) -> None:
    # A new leader dissolved the closing groups that it found.
    for server in fleet.servers.values():
        server.busy_until = fleet.now + 12.0
    evacuate(fleet, "b")
    fleet.run(4.0)
    heads = count_heads(fleet, MemberState.CLOSING)
    fleet.make_controller(2)
    fleet.orders.clear()
    evacuate(fleet, "b")
    fleet.run(6.0)
    assert_that(list_orders(fleet, Leave), HasLength(0))
    assert_that(count_heads(fleet, MemberState.CLOSING), Equals(heads))
    members = list_members(fleet)
    fleet.run(6.0)
    assert_that(set(list_orders(fleet, Leave)), Equals(members))
    assert_that(list_orders(fleet, Join), HasLength(0))


def test_hosts_are_planned_as_if_they_had_left_until_the_return() -> None:
    # Plans that counted them left the other data centres without groups.
    hosts = HostRegistry()
    hosts.apply_entry(make_host("h1"), 0.0)
    hosts.record_joined("h1", Join("g.1.large", 1, "large", ("h1",)), 0.0)
    hosts.set_evacuated(frozenset("a"), 0.0)
    assert_that(hosts.list_domains("drafts", 0.0), HasLength(0))
    hosts.set_evacuated(frozenset(), 1.0)
    assert_that(hosts.list_domains("drafts", 1.0), HasLength(1))
    assert_that(hosts.has_reported("h1"), Is(False))
