"""Tests of the leader's hand on groups, against servers that misbehave."""

from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
    MatchesDict,
    Not,
)

from chervilrock.decisions.serving import groupnames
from chervilrock.decisions.serving.census import HostState
from chervilrock.decisions.serving.groups import ManagedGroup
from chervilrock.decisions.serving.hosts import HostBook, Life
from chervilrock.decisions.serving.orders import (
    Join,
    Open,
    Order,
    OrderReply,
)
from test.decisions.serving.fleet import Faults, Fleet


@pytest.fixture
def fleet() -> Fleet:
    """Three domains of eight hosts whose groups serve."""
    made = Fleet(domains=3, hosts=8, seed=1)
    made.run(6.0)
    made.start_traffic()
    return made


def find_group(fleet: Fleet, model: str) -> tuple[str, ...]:
    """Return the members of a group of a model, the head first."""
    group = next(
        one
        for one in fleet.controller.list_groups(fleet.now)
        if one.model == model
    )
    return fleet.servers[group.server].members


def find_name(fleet: Fleet, head: str) -> str:
    """Return the name of the group of a head, empty for none."""
    for one in fleet.controller.list_groups(fleet.now):
        if one.server == head:
            return one.group
    return ""


def run_until_served(fleet: Fleet, wanted: dict[str, int]) -> float:
    """Return the seconds until the groups that are wanted serve."""
    start = fleet.now
    while fleet.serving() != wanted and fleet.now - start < 30.0:
        fleet.run(0.05)
    return fleet.now - start


def test_all_domains_serve_both_models(fleet: Fleet) -> None:
    assert_that(
        fleet.serving(),
        MatchesDict({"large": Equals(3), "small": Equals(3)}),
    )
    assert_that(fleet.violations, HasLength(0))


def test_hosts_that_are_left_stand_by_with_weights(fleet: Fleet) -> None:
    standby = [
        server.last_model
        for server in fleet.servers.values()
        if server.membership is not None and len(server.members) == 1
    ]
    assert_that(sorted(standby), Equals(["large"] * 3 + ["small"] * 3))


def test_a_silent_member_is_replaced_within_a_second(
    fleet: Fleet,
) -> None:
    members = find_group(fleet, "large")
    before = fleet.serving()
    fleet.kill(members[2])
    fleet.run(0.35)
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(0.3)
    assert_that(fleet.serving(), Not(Equals(before)))
    assert_that(run_until_served(fleet, before), LessThan(0.65))
    assert_that(fleet.violations, HasLength(0))


def test_a_leader_that_nobody_answers_takes_no_group_apart(
    fleet: Fleet,
) -> None:
    before = fleet.controller.list_groups(fleet.now)
    for server in fleet.servers.values():
        server.is_cut = True
    for group in before:
        fleet.controller.note_silent(group.group, fleet.now)
    fleet.run(3.0)
    assert_that(fleet.controller.list_groups(fleet.now) == before, Is(True))


def test_a_domain_that_goes_dark_is_told_from_a_cut(fleet: Fleet) -> None:
    before = fleet.controller.list_groups(fleet.now)
    dark = {group.group for group in before if group.server.startswith("h1")}
    for name, server in fleet.servers.items():
        if server.domain == "d1":
            fleet.kill(name, entry_s=9.0)
    for group in dark:
        fleet.controller.note_silent(group, fleet.now)
    fleet.run(1.5)
    left = {one.group for one in fleet.controller.list_groups(fleet.now)}
    assert_that(left & dark, HasLength(0))
    assert_that(left, HasLength(4))


def test_a_lost_head_is_replaced(fleet: Fleet) -> None:
    members = find_group(fleet, "large")
    before = fleet.serving()
    fleet.kill(members[0])
    fleet.run(3.0)
    assert_that(run_until_served(fleet, before), LessThan(2.0))
    assert_that(fleet.violations, HasLength(0))


def test_a_member_that_gave_no_answer_is_not_taken_from_a_head_that_serves(
    fleet: Fleet,
) -> None:
    members = find_group(fleet, "large")
    for name in (members[0], members[2], members[3]):
        fleet.servers[name].is_cut = True
    fleet.controller.note_gone(members[0])
    fleet.run(2.0)
    for name in (members[2], members[3]):
        fleet.servers[name].is_cut = False
    fleet.run(8.0)
    assert_that(fleet.violations, HasLength(0))


def test_a_group_that_is_only_slow_is_kept(fleet: Fleet) -> None:
    before = fleet.controller.list_groups(fleet.now)
    fleet.controller.note_silent(before[0].group, fleet.now)
    fleet.run(2.0)
    assert_that(fleet.controller.list_groups(fleet.now), Equals(before))


def test_a_slow_member_is_replaced_by_a_standby_host(fleet: Fleet) -> None:
    before = fleet.serving()
    members = find_group(fleet, "large")
    fleet.servers[members[1]].pace = 5.0
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(1.2)
    assert_that(fleet.serving(), Equals(before))
    used = {
        name
        for group in fleet.controller.list_groups(fleet.now)
        for name in fleet.servers[group.server].members
    }
    assert_that(used, Not(Contains(members[1])))
    fleet.servers[members[1]].pace = 1.0
    fleet.run(9.0)
    standby = fleet.servers[members[1]]
    assert_that(len(standby.members), Equals(1))
    assert_that(fleet.violations, HasLength(0))


def test_a_slow_member_without_a_standby_host_is_kept() -> None:
    fleet = Fleet(domains=1, hosts=6, seed=1)
    fleet.run(6.0)
    fleet.start_traffic()
    before = fleet.controller.list_groups(fleet.now)
    members = find_group(fleet, "large")
    fleet.servers[members[1]].pace = 5.0
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(1.2)
    assert_that(fleet.controller.list_groups(fleet.now) == before, Is(True))


def test_a_group_that_is_hopelessly_slow_gives_its_hosts_back() -> None:
    fleet = Fleet(domains=1, hosts=6, seed=1)
    fleet.run(6.0)
    fleet.start_traffic()
    before = fleet.serving()
    members = find_group(fleet, "large")
    name = find_name(fleet, members[0])
    fleet.servers[members[1]].pace = 12.0
    fleet.controller.note_silent(name, fleet.now)
    fleet.run(0.5)
    groups = [one.group for one in fleet.controller.list_groups(fleet.now)]
    assert_that(groups, Not(Contains(name)))
    fleet.servers[members[1]].pace = 1.0
    assert_that(run_until_served(fleet, before), LessThan(12.0))
    assert_that(fleet.violations, HasLength(0))


def test_no_group_is_formed_of_hosts_that_have_become_slow(
    fleet: Fleet,
) -> None:
    # All standby hosts of a domain become slow with a member of a group.
    members = find_group(fleet, "large")
    domain = fleet.servers[members[0]].domain
    standby = [
        name
        for name, server in fleet.servers.items()
        if server.domain == domain and len(server.members) == 1
    ]
    for name in (members[1], *standby):
        fleet.servers[name].pace = 12.0
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(3.0)
    used = {
        name
        for group in fleet.controller.list_groups(fleet.now)
        for name in fleet.servers[group.server].members
    }
    assert_that(used & {members[1], *standby}, HasLength(0))
    assert_that(fleet.violations, HasLength(0))


def test_a_leaving_member_closes_its_group_first(fleet: Fleet) -> None:
    members = find_group(fleet, "large")
    before = fleet.serving()
    fleet.servers[members[1]].is_leaving = True
    fleet.run(1.0)
    heads = [one.server for one in fleet.controller.list_groups(fleet.now)]
    assert_that(heads, Not(Contains(members[0])))
    assert_that(run_until_served(fleet, before), LessThan(3.0))
    assert_that(fleet.violations, HasLength(0))


def test_a_new_leader_keeps_the_groups_that_serve(fleet: Fleet) -> None:
    before = {one.group for one in fleet.controller.list_groups(fleet.now)}
    fleet.make_controller(term=2)
    fleet.run(3.0)
    after = {one.group for one in fleet.controller.list_groups(fleet.now)}
    assert_that(after, Equals(before))


def test_a_new_leader_knows_whole_groups_in_its_first_step(
    fleet: Fleet,
) -> None:
    before = [one.group for one in fleet.controller.list_groups(fleet.now)]
    fleet.make_controller(term=2)
    fleet.run(0.1)
    after = [one.group for one in fleet.controller.list_groups(fleet.now)]
    assert_that(fleet.controller.has_looked(fleet.now), Is(True))
    assert_that(after, Equals(before))


def test_a_new_leader_lets_a_standby_host_finish_its_load() -> None:
    fleet = Fleet(domains=1, hosts=7, seed=6)
    fleet.run(6.0)
    fleet.start_traffic()
    fleet.add("new", "d0")
    fleet.run(1.0)
    epoch = fleet.servers["new"].highest
    fleet.make_controller(term=2)
    fleet.run(17.0)
    assert_that(fleet.servers["new"].highest, Equals(epoch))
    assert_that(len(fleet.servers["new"].staged), Equals(1))


def test_a_new_leader_finishes_what_was_under_way() -> None:
    fleet = Fleet(domains=2, hosts=8, seed=3)
    fleet.run(1.4)
    fleet.make_controller(term=2)
    fleet.run(8.0)
    assert_that(
        fleet.serving(),
        MatchesDict({"large": Equals(2), "small": Equals(2)}),
    )
    assert_that(fleet.violations, HasLength(0))


def test_a_new_leader_believes_no_old_entry() -> None:
    fleet = Fleet(domains=1, hosts=8, seed=4)
    for server in fleet.servers.values():
        server.old_entry = fleet.make_entry(server)
    fleet.run(6.0)
    fleet.start_traffic()
    fleet.make_controller(term=2)
    fleet.run(6.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(sum(fleet.serving().values()), Equals(2))


def test_a_new_leader_asks_whether_found_groups_are_whole(
    fleet: Fleet,
) -> None:
    members = find_group(fleet, "large")
    for name in members:
        server = fleet.servers[name]
        server.old_entry = fleet.make_entry(server)
    name = find_name(fleet, members[0])
    fleet.servers[members[1]].membership = None
    fleet.make_controller(term=2)
    fleet.run(1.0)
    groups = [one.group for one in fleet.controller.list_groups(fleet.now)]
    assert_that(groups, Not(Contains(name)))


def test_new_empty_hosts_take_the_place_of_lost_ones(fleet: Fleet) -> None:
    before = fleet.serving()
    members = find_group(fleet, "large")
    domain = fleet.servers[members[0]].domain
    lost = [
        name
        for name, server in fleet.servers.items()
        if server.domain == domain and server.last_model == "large"
    ][:2]
    for name in lost:
        fleet.kill(name)
    fleet.run(4.0)
    fleet.add("new-1", domain)
    fleet.run(20.0)
    assert_that(fleet.serving(), Equals(before))
    assert_that(fleet.violations, HasLength(0))


@pytest.mark.parametrize("seed", [*range(40), 2191, 4016])
def test_promises_hold_while_orders_go_wrong_and_leaders_change(
    seed: int,
) -> None:
    fleet = Fleet(domains=3, hosts=8, seed=seed)
    generator = fleet.generator
    fleet.run(generator.uniform(0.5, 5.0))
    fleet.start_traffic()
    fleet.faults = Faults(lost=0.15, late=0.25)
    for term in range(2, 8):
        fleet.run(generator.uniform(0.3, 3.0))
        alive = [s for s in fleet.servers.values() if not s.is_dead]
        victim = generator.choice(alive)
        action = generator.random()
        if action < 0.5:
            fleet.kill(victim.server)
            fleet.controller.note_silent(
                find_name(fleet, victim.server), fleet.now
            )
        elif action < 0.7:
            victim.is_cut = True
            fleet.controller.note_gone(victim.server)
        elif action < 0.85:
            victim.is_leaving = True
        if generator.random() < 0.4:
            fleet.make_controller(term=term)
        for server in fleet.servers.values():
            if server.is_cut and generator.random() < 0.4:
                server.is_cut = False
    fleet.faults = Faults()
    fleet.run(25.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(sum(fleet.serving().values()), GreaterThan(0))


@pytest.mark.parametrize("rank", [0, 2])
def test_a_member_that_started_again_is_in_no_group(
    fleet: Fleet, rank: int
) -> None:
    before = fleet.serving()
    members = find_group(fleet, "large")
    name = find_name(fleet, members[0])
    fleet.restart(members[rank])
    fleet.run(0.4)
    groups = [one.group for one in fleet.controller.list_groups(fleet.now)]
    assert_that(groups, Not(Contains(name)))
    assert_that(run_until_served(fleet, before), LessThan(3.0))
    assert_that(fleet.violations, HasLength(0))


def test_a_server_that_started_again_is_not_taken_for_its_former_start(
    fleet: Fleet,
) -> None:
    # Its former entry is read once more after the new one.
    members = find_group(fleet, "large")
    former = fleet.make_entry(fleet.servers[members[1]])
    fleet.restart(members[1])
    fleet.run(0.4)
    fleet.controller.note_server(former, fleet.now)
    fleet.run(6.0)
    assert_that(fleet.serving(), Equals({"large": 3, "small": 3}))
    assert_that(fleet.violations, HasLength(0))


def test_starts_of_a_server_are_told_apart() -> None:
    book = HostBook()
    lives = [book.note_life("h", born) for born in (0, 5, 5, 0, 5, 7, 5, 7)]
    same, new, former = Life.SAME, Life.NEW, Life.FORMER
    assert_that(
        lives, Equals([same, same, same, same, same, new, former, same])
    )


def test_a_member_that_joins_its_former_group_late_is_taken_out_again(
    fleet: Fleet,
) -> None:
    # The head does not answer; a member has left, and then obeys a late order
    # to join the group once more, before it could join another one.
    members = find_group(fleet, "large")
    name = find_name(fleet, members[0])
    epoch = fleet.servers[members[0]].highest
    fleet.servers[members[0]].is_cut = True
    fleet.controller.note_silent(name, fleet.now)
    while fleet.servers[members[1]].membership is not None:
        fleet.run(0.05)
    fleet.obey(members[1], Join(name, epoch, "large", members))
    fleet.run(8.0)
    assert_that(fleet.violations, HasLength(0))
    fleet.servers[members[0]].is_cut = False
    fleet.run(8.0)
    held = fleet.servers[members[1]].membership
    assert held is not None
    assert_that(held.epoch, GreaterThan(epoch))
    assert_that(fleet.violations, HasLength(0))


def test_a_host_that_a_former_leader_took_meanwhile_is_not_taken_again(
    fleet: Fleet,
) -> None:
    # A leader was replaced and did not know it yet. Two hosts that stood by had
    # told the new leader so; then the former one formed a group of them and
    # opened it, which their entries in the store, seconds old, did not show.
    # The new leader let a member join another group while the head was open.
    standby = sorted(
        name
        for name, server in fleet.servers.items()
        if len(server.members) == 1 and server.domain == "d0"
    )
    fleet.make_controller(term=2)
    for name in standby:
        fleet.servers[name].old_entry = fleet.make_entry(fleet.servers[name])
        fleet.servers[name].last_model = "small"
    fleet.run(1.0)
    epoch = groupnames.make_epoch(1, 999)
    group = groupnames.make_name("small", epoch, is_standby=False)
    for name in standby:
        fleet.obey(name, Join(group, epoch, "small", tuple(standby)))
    fleet.run(0.3)
    fleet.obey(standby[0], Open(group, epoch))
    lost = next(
        one.server
        for one in fleet.controller.list_groups(fleet.now)
        if one.model == "small" and fleet.servers[one.server].domain == "d0"
    )
    fleet.kill(fleet.servers[lost].members[1])
    fleet.controller.note_silent(find_name(fleet, lost), fleet.now)
    fleet.run(5.0)
    assert_that(fleet.violations, HasLength(0))


@pytest.mark.parametrize("seed", range(20))
def test_promises_hold_while_servers_start_again(seed: int) -> None:
    fleet = Fleet(domains=3, hosts=8, seed=seed)
    generator = fleet.generator
    fleet.run(generator.uniform(2.0, 5.0))
    fleet.start_traffic()
    fleet.faults = Faults(lost=0.15, late=0.25)
    for term in range(2, 8):
        fleet.run(generator.uniform(0.1, 2.0))
        fleet.restart(generator.choice(sorted(fleet.servers)))
        if generator.random() < 0.3:
            fleet.make_controller(term=term)
    fleet.faults = Faults()
    fleet.run(25.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(sum(fleet.serving().values()), GreaterThan(0))


def test_a_lost_host_that_does_not_answer_joins_no_group(
    fleet: Fleet,
) -> None:
    # Its entry stays for five seconds after it went silent.
    members = find_group(fleet, "large")
    fleet.kill(members[2], entry_s=5.0)
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(1.0)
    planned: set[str] = set()
    for _ in range(19):
        fleet.run(0.2)
        planned.update(
            str(group["group"])
            for group in fleet.controller.describe()
            if members[2] in str(group["members"])
        )
    assert_that(planned, HasLength(0))
    assert_that(fleet.violations, HasLength(0))


def test_a_host_that_does_not_answer_holds_up_no_other(fleet: Fleet) -> None:
    # A standby host falls silent; its domain loses a member of a group later.
    standby = next(
        name
        for name, server in fleet.servers.items()
        if len(server.members) == 1 and server.last_model == "small"
    )
    domain = fleet.servers[standby].domain
    before = fleet.serving()
    fleet.make_controller(term=2)
    fleet.servers[standby].is_cut = True
    fleet.run(1.0)
    members = next(
        fleet.servers[one.server].members
        for one in fleet.controller.list_groups(fleet.now)
        if one.model == "large" and fleet.servers[one.server].domain == domain
    )
    fleet.kill(members[1])
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    while fleet.serving() == before:
        fleet.run(0.05)
    assert_that(run_until_served(fleet, before), LessThan(1.0))


def test_the_leader_counts_what_hosts_do(fleet: Fleet) -> None:
    members = find_group(fleet, "large")
    before = {one.model: one for one in fleet.controller.count_hosts(fleet.now)}
    assert_that(before["large"].hosts[HostState.SERVING], Equals(12))
    assert_that(before["large"].hosts[HostState.STANDBY], Equals(3))
    assert_that(before["small"].groups, Equals(3))
    assert_that(before["large"].is_short, Is(False))
    assert_that(
        sum(sum(one.hosts.values()) for one in before.values()), Equals(24)
    )
    fleet.kill(members[2])
    fleet.controller.note_silent(find_name(fleet, members[0]), fleet.now)
    fleet.run(0.3)
    after = {one.model: one for one in fleet.controller.count_hosts(fleet.now)}
    assert_that(after["large"].groups, Equals(2))
    assert_that(after["large"].is_short, Is(True))
    assert_that(after["large"].places[("a", HostState.SERVING)], Equals(8))


def test_a_host_whose_address_another_server_took_is_left_alone(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    orders: list[Join] = []
    obey = fleet.obey

    def answer(name: str, order: Order) -> OrderReply:
        if name != "new":
            return obey(name, order)
        if isinstance(order, Join):
            orders.append(order)
        return OrderReply.MISDIRECTED

    monkeypatch.setattr(fleet, "obey", answer)
    fleet.add("new", "d0")
    fleet.run(3.0)
    # Its entry stays until it lapses, some seconds later.
    assert_that(len(orders), LessThan(4))


class CountingGroups(dict[str, ManagedGroup]):
    """Groups that count how often all of them are looked at."""

    looks = 0

    def values(self) -> Any:
        self.looks += 1
        return super().values()


def count_looks(domains: int) -> int:
    """Return how often one step looks at all groups."""
    fleet = Fleet(domains=domains, hosts=8, seed=1)
    fleet.run(6.0)
    board = fleet.controller._board
    groups = CountingGroups(board.groups)
    board.groups = groups
    fleet.controller._planner._groups = groups
    fleet.controller.step(fleet.now + 0.05)
    return groups.looks


def test_a_step_looks_at_all_groups_as_often_at_any_size() -> None:
    # With 111 domains each of them looked at all groups twice: a step took 0.17
    # s where one is due each 0.05 s, and the leader told nobody anything.
    assert_that(count_looks(12), Equals(count_looks(2)))


def test_a_group_whose_head_limits_what_it_gets_is_joined_by_another(
    fleet: Fleet,
) -> None:
    fleet.run(12.0)
    fleet.start_traffic()
    fleet.demand = {"large": 20, "small": 10}
    fleet.run(10.0)
    before = fleet.serving()["large"]
    groups = fleet.controller.list_groups(fleet.now)
    fleet.limited = {one.server for one in groups if one.model == "large"}
    fleet.run(30.0)
    assert_that(fleet.serving()["large"], GreaterThan(before))
