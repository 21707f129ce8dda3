"""A group serves only on fresh evidence of every host."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.shards import make_shard
from chervilrock.generated.interfaces import EnginePhase
from chervilrock.generated.records import GroupPhase

GROUP = Group(
    name="g",
    model="m",
    version="v",
    adapters=("x",),
    hosts=("h0", "h1"),
    domain="f",
    fence=5,
    phase=GroupPhase.SERVING,
    revision=1,
    spares=("h2",),
    reserve=8,
    incarnations=("i", "i"),
    spare_incarnations=("i",),
)


def make_state(host, group=GROUP, rank=0, phase=EnginePhase.READY, **changes):
    state = {
        "host": host,
        "incarnation": "i",
        "phase": phase,
        "fence": group.fence,
        "checks_fence": True,
        "shard": make_shard(group, rank, "h0:1"),
    }
    return {**state, **changes}


@pytest.fixture
def table():
    presence = PresenceTable(limit=2.0, now=0.0)
    presence.observe("h0", make_state("h0"), 10.0)
    presence.observe("h1", make_state("h1", rank=1), 10.0)
    return presence


@pytest.fixture
def region():
    state = RegionState()
    state.groups["g"] = GROUP
    return state


def test_age_counts_from_when_the_probe_was_sent(table):
    assert table.whole(GROUP, 12.0)
    assert_that(table.whole(GROUP, 12.1), Is(False))
    assert_that(table.missing(GROUP, 12.1), Equals(("h0", "h1")))
    assert_that(table.missing_since("h0", 13.0), Equals(12.0))
    assert_that(table.missing_since("h9", 13.0), Equals(0.0))


def test_an_answer_to_an_earlier_probe_changes_nothing(table):
    empty = make_state("h0", phase=EnginePhase.EMPTY, shard=None)
    table.observe("h0", empty, 9.0)
    assert table.whole(GROUP, 11.0)
    table.observe("h0", empty, 10.5)
    assert_that(table.whole(GROUP, 11.0), Is(False))


def test_an_answer_of_another_host_is_no_evidence(table):
    table.observe("h1", make_state("h0", rank=1), 11.5)
    assert_that(table.whole(GROUP, 12.5), Is(False))


@pytest.mark.parametrize(
    "changed",
    [
        {"name": "other"},
        {"fence": 4},
        {"fence": 6},
        {"version": "w"},
        {"adapters": ()},
        {"model": "n"},
        {"hosts": ("h0", "h1", "h2")},
    ],
)
def test_any_other_shard_leaves_the_group_incomplete(table, changed):
    other = GROUP._replace(**changed)
    table.observe("h1", make_state("h1", other, rank=1), 11.0)
    assert_that(table.whole(GROUP, 11.0), Is(False))


@pytest.mark.parametrize(
    "changed",
    [
        {"incarnation": "j"},
        {"phase": EnginePhase.LOADING},
        {"phase": EnginePhase.UNLOADING},
        {"shard": None},
        {"shard": make_shard(GROUP, 0, "h0:1")},
    ],
)
def test_any_other_state_leaves_the_group_incomplete(table, changed):
    table.observe("h1", make_state("h1", rank=1, **changed), 11.0)
    assert_that(table.whole(GROUP, 11.0), Is(False))


def test_without_recorded_incarnations_the_first_one_counts(table):
    group = GROUP._replace(incarnations=())
    assert table.whole(group, 11.0)
    table.observe("h1", make_state("h1", rank=1, incarnation="j"), 11.0)
    assert_that(table.whole(group, 11.0), Is(False))


def test_only_serving_groups_are_served(table, region):
    assert_that(table.servable(region, 11.0), Equals((GROUP,)))
    for phase in set(GroupPhase) - {GroupPhase.SERVING}:
        region.groups["g"] = GROUP._replace(phase=phase)
        assert_that(table.servable(region, 11.0), Equals(()))


def test_a_repair_in_an_outage_is_served_once_all_hosts_have_its_fence(
    table, region
):
    repaired = GROUP._replace(fence=8)
    table.observe("h2", make_state("h2", repaired, rank=1), 11.0)
    table.forget("h1")
    assert_that(table.servable(region, 11.0), Equals(()))
    table.observe("h0", make_state("h0", repaired), 11.0)
    (served,) = table.servable(region, 11.0)
    assert_that(served.hosts, Equals(("h0", "h2")))
    assert_that(served.fence, Equals(8))
    duplicate = make_state("h1", repaired, rank=1)
    table.observe("h1", duplicate, 11.0)
    assert_that(table.servable(region, 11.0), Equals(()))
