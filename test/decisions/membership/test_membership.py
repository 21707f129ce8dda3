"""Tests of the membership table and of the exchange, under fake time."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    MatchesSetwise,
    Not,
)

from chervilrock.decisions.membership.rosters import RosterCache
from chervilrock.generated.interfaces import (
    NodePhase,
    NodeUse,
    PeerDigest,
    RosterWant,
    WorkspaceUse,
)
from test.decisions.membership.peer_nodes import make_node
from test.decisions.membership.peer_world import (
    make_stored,
    make_world,
    SimNode,
    World,
)

SETTLE_S = 12.0
DEAD_S = 10.0


@pytest.fixture
def world() -> World:
    """Returns two data centres of three nodes and one of a single node."""
    made = make_world({"d1": 3, "d2": 3, "d3": 1})
    made.run(SETTLE_S)
    return made


def find_phases(world: World, incarnation: str) -> set[NodePhase]:
    """Returns the phases of a node in the tables of all nodes."""
    found = set()
    for node in world.active():
        peer = node.table.find(incarnation, world.now)
        if peer is not None:
            found.add(peer.phase)
    return found


def test_nodes_find_each_other(world: World) -> None:
    assert_that(world.agree(), Equals(True))


def test_a_dead_node_is_detected(world: World) -> None:
    for address in ("d1n1:1", "d3n0:1"):
        world.remove(world.nodes[address])
    world.run(DEAD_S)
    assert_that(world.agree(), Equals(True))


def test_a_restarted_node_is_a_new_entry(world: World) -> None:
    old = world.nodes["d2n0:1"]
    world.remove(old)
    world.add(SimNode("d2n0", data_centre="d2", start=2, seeds=("d1n0:1",)))
    world.run(2.0)
    for node in world.active():
        assert_that(node.see_live(world.now), Contains("d2n0.2"))
    world.run(DEAD_S)
    assert_that(world.agree(), Equals(True))


@pytest.mark.parametrize("seconds", [5.0, 30.0, 150.0])
def test_a_paused_node_recovers(world: World, seconds: float) -> None:
    paused = world.nodes["d1n1:1"]
    paused.paused = True
    world.run(seconds)
    paused.paused = False
    world.run(SETTLE_S)
    assert_that(world.agree(), Equals(True))


@pytest.mark.parametrize("seconds", [5.0, 150.0])
def test_a_node_whose_clock_stood_still_recovers(
    world: World, seconds: float
) -> None:
    frozen = world.nodes["d1n1:1"]
    frozen.paused = True
    world.run(seconds)
    frozen.paused = False
    frozen.lag_s = seconds
    world.run(SETTLE_S)
    assert_that(world.agree(), Equals(True))


def test_a_data_centre_whose_clocks_stood_still_recovers(
    world: World,
) -> None:
    frozen = [world.nodes[f"d2n{number}:1"] for number in range(3)]
    for node in frozen:
        node.paused = True
    world.run(30.0)
    for node in frozen:
        node.paused = False
        node.lag_s = 30.0
    world.run(SETTLE_S)
    assert_that(world.agree(), Equals(True))


@pytest.mark.parametrize("seconds", [1.0, 20.0, 150.0])
def test_a_restarted_data_centre_is_found_again(
    world: World, seconds: float
) -> None:
    for number in range(3):
        world.remove(world.nodes[f"d2n{number}:1"])
    world.run(seconds)
    for number in range(3):
        name, seeds = f"d2n{number}", ("d1n0:1", "d2n0:1")
        world.add(SimNode(name, data_centre="d2", start=2, seeds=seeds))
    world.run(SETTLE_S)
    assert_that(world.agree(), Equals(True))


def test_a_new_node_does_not_list_dead_neighbours(world: World) -> None:
    for number in range(3):
        world.remove(world.nodes[f"d2n{number}:1"])
    world.run(40.0)
    new = SimNode("d2n0", data_centre="d2", start=2, seeds=("d1n0:1",))
    world.add(new)
    for _ in range(20):
        world.run(0.5)
        assert_that(new.see_live(world.now), Not(Contains("d2n1.1")))
    assert_that(world.agree(), Equals(True))


def test_a_paused_node_recovers_fast_in_a_large_data_centre() -> None:
    world = make_world({"d1": 8, "d2": 2, "d3": 2})
    world.run(SETTLE_S)
    paused = world.nodes["d1n5:1"]
    paused.paused = True
    world.run(60.0)
    paused.paused = False
    world.run(4.0)
    assert_that(world.agree(), Equals(True))


@pytest.mark.parametrize("seconds", [30.0, 150.0])
def test_parts_of_a_data_centre_find_each_other(seconds: float) -> None:
    world = make_world({"d1": 6, "d2": 2})
    world.run(SETTLE_S)
    world.isolated = {"d1n0", "d1n1", "d1n2"}
    world.run(seconds)
    world.isolated = set()
    world.run(20.0)
    assert_that(world.agree(), Equals(True))


def test_a_paused_node_does_not_revive_a_dead_node(world: World) -> None:
    paused, dead = world.nodes["d1n1:1"], world.nodes["d1n2:1"]
    paused.paused = True
    world.remove(dead)
    world.run(150.0)
    paused.paused = False
    for _ in range(20):
        world.run(0.5)
        for node in world.active():
            assert_that(node.see_live(world.now), Not(Contains("d1n2.1")))


def test_a_paused_node_does_not_report_for_its_data_centre(
    world: World,
) -> None:
    paused = world.nodes["d1n1:1"]
    paused.paused = True
    world.run(120.0)
    paused.paused = False
    for _ in range(10):
        world.run(0.5)
        seen = world.nodes["d3n0:1"].see_live(world.now)
        assert_that(seen, Contains("d1n0.1"))
        assert_that(seen, Contains("d1n2.1"))


def test_a_delayed_digest_does_not_revive_a_dead_node(world: World) -> None:
    dead = world.nodes["d1n2:1"]
    late = [digest for digest in world.carried if "heartbeats" in digest][-12:]
    world.remove(dead)
    world.run(30.0)
    target = world.nodes["d1n0:1"]
    for digest in late:
        target.exchange.answer(digest, world.now)
    assert_that(target.see_live(world.now), Not(Contains("d1n2.1")))


def test_a_node_ignores_queued_digests_right_after_a_pause(
    world: World,
) -> None:
    target = world.nodes["d3n0:1"]
    late = [
        digest
        for digest in world.carried[-40:]
        if digest["sender"].data_centre == "d1"
    ]
    target.paused = True
    for address in ("d1n0:1", "d1n1:1", "d1n2:1"):
        world.remove(world.nodes[address])
    world.run(90.0)
    for digest in late:
        target.exchange.answer(digest, world.now)
    assert_that(target.see_live(world.now), Not(Contains("d1n0.1")))


def test_sides_of_a_partition_find_each_other(world: World) -> None:
    world.sides = {"d1": 1, "d2": 2, "d3": 2}
    world.run(DEAD_S)
    seen = world.nodes["d1n0:1"].see_live(world.now)
    assert_that(seen, HasLength(3))
    world.run(150.0)
    world.sides = {}
    world.run(60.0)
    assert_that(world.agree(), Equals(True))


def test_nodes_replaced_during_a_partition_are_found(world: World) -> None:
    world.sides = {"d1": 1, "d2": 2, "d3": 2}
    world.run(5.0)
    for number in range(3):
        world.remove(world.nodes[f"d2n{number}:1"])
        name = f"d2m{number}"
        world.add(SimNode(name, data_centre="d2", seeds=("d1n0:1", "d3n0:1")))
    world.run(150.0)
    world.sides = {}
    world.run(60.0)
    assert_that(world.agree(), Equals(True))


def test_a_leaving_node_is_announced_immediately(world: World) -> None:
    leaving = world.nodes["d2n1:1"]
    leaving.update(NodePhase.LEAVING)
    for message in leaving.exchange.announce(world.now):
        world.carry(leaving, message)
    world.run(0.5)
    phases = find_phases(world, leaving.incarnation)
    assert_that(phases, Equals({NodePhase.LEAVING}))


def test_a_stopped_node_is_not_live(world: World) -> None:
    stopped = world.nodes["d1n2:1"]
    stopped.update(NodePhase.STOPPED)
    for message in stopped.exchange.announce(world.now):
        world.carry(stopped, message)
    world.remove(stopped)
    world.run(3.0)
    assert_that(world.agree(), Equals(True))


def test_a_phase_never_decreases(world: World) -> None:
    leaving = world.nodes["d1n2:1"]
    late = [
        digest
        for digest in world.carried
        if digest["sender"].data_centre == "d1"
    ][-30:]
    leaving.update(NodePhase.LEAVING)
    world.run(5.0)
    for digest in late:
        for node in world.active():
            node.exchange.answer(digest, world.now)
    phases = find_phases(world, leaving.incarnation)
    assert_that(phases, Equals({NodePhase.LEAVING}))


def test_a_configuration_reaches_all_nodes_and_is_sent_once(
    world: World,
) -> None:
    world.nodes["d1n0:1"].localconfiguration.adopt(make_stored(1), world.now)
    world.run(3.0)
    for node in world.active():
        assert_that(node.localconfiguration.adopted_revisions, Equals([1]))
    revisions = {
        peer.revision for peer in world.nodes["d3n0:1"].table.live(world.now)
    }
    assert_that(revisions, Equals({1}))


def test_an_older_configuration_is_not_adopted(world: World) -> None:
    for revision in (1, 2):
        world.nodes["d1n0:1"].localconfiguration.adopt(
            make_stored(revision), world.now
        )
        world.run(3.0)
    old = PeerDigest(
        sender=make_node("d1n1", incarnation="d1n1.1", revision=1),
        configuration=make_stored(1),
    )
    for node in world.active():
        node.exchange.answer(old, world.now)
        assert_that(node.localconfiguration.revision, Equals(2))


def test_a_node_that_follows_the_log_waits_for_it_first(world: World) -> None:
    node = world.nodes["d2n0:1"]
    node.localconfiguration.follows = True
    world.nodes["d2n1:1"].localconfiguration.adopt(make_stored(1), world.now)
    world.run(0.5)
    assert_that(node.localconfiguration.adopted_revisions, HasLength(0))
    world.run(4.0)
    assert_that(node.localconfiguration.adopted_revisions, Equals([1]))


def test_members_are_sent_only_when_they_changed(world: World) -> None:
    world.run(20.0)
    world.carried.clear()
    world.run(20.0)
    assert_that([d for d in world.carried if "rosters" in d], HasLength(0))
    sizes = [len(msgspec.json.encode(digest)) for digest in world.carried]
    assert_that(max(sizes), LessThan(600))


def test_shares_are_forwarded_newest_first(world: World) -> None:
    node, other = world.nodes["d1n0:1"], world.nodes["d1n1:1"]
    uses = (WorkspaceUse("w", 1, 0, 1),)
    node.shares.uses = tuple(
        NodeUse(f"n{age}", age, uses) for age in range(40, 0, -1)
    )
    answer = node.exchange.answer(PeerDigest(sender=other.table.own), world.now)
    ages = [use.age_ms for use in answer["shares"]]
    assert_that(ages, Equals(list(range(1, 17))))


def test_the_share_tracker_receives_all_node_names(world: World) -> None:
    names = {node.name for node in world.nodes.values()}
    world.remove(world.nodes["d1n1:1"])
    world.run(DEAD_S)
    node = world.nodes["d1n0:1"]
    assert_that(node.shares.members, Equals(names))
    world.run(120.0)
    assert_that(node.shares.members, Equals(names - {"d1n1"}))


def test_own_heartbeat_stays_ahead_of_reported_values(world: World) -> None:
    node = world.nodes["d1n0:1"]
    told = node.table.own._replace(heartbeat=10**9)
    node.table.record_exchange(told, world.now)
    assert_that(node.table.own.heartbeat, Equals(10**9))
    world.run(0.5)
    assert_that(node.table.own.heartbeat, GreaterThan(10**9))
    world.run(SETTLE_S)
    assert_that(world.agree(), Equals(True))


def test_rosters_are_sent_as_differences() -> None:
    roster_cache, reader = (
        RosterCache(data_centre="d1"),
        RosterCache(data_centre="d1"),
    )
    first = {name: make_node(name) for name in "abc"}
    second = {name: make_node(name) for name in "bcd"}
    second["b"] = make_node("b", phase=NodePhase.LEAVING)
    for members in (first, second):
        roster_cache.keep(members)
    reader.keep(first)
    base = roster_cache.make(first, "").members
    roster = roster_cache.make(second, base)
    added = [peer.incarnation for peer in roster.added]
    assert_that(added, MatchesSetwise(Equals("b"), Equals("d")))
    assert_that(list(roster.removed), Equals(["a"]))
    reader.read(roster)
    assert_that(dict(reader.find(roster.members) or {}), Equals(second))


def test_a_roster_with_a_wrong_hash_is_ignored() -> None:
    roster_cache = RosterCache(data_centre="d1")
    roster = roster_cache.make({"a": make_node("a")}, "")
    roster_cache.read(roster._replace(members="0"))
    assert_that("0" in roster_cache, Equals(False))


def test_an_unknown_data_centre_has_no_roster(world: World) -> None:
    table = world.nodes["d1n0:1"].table
    want = RosterWant(data_centre="nowhere", base="")
    assert_that(table.make_roster(want, world.now) is None, Equals(True))
