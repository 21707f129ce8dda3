from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.actions import (
    DissolveGroup,
    FormGroup,
    RepairGroup,
)
from chervilrock.generated.records import GroupPhase
from test.decisions.planner.planner_views import (
    make_group,
    make_host,
    make_input,
    make_plan,
    make_shard,
    make_spec,
)


def test_forms_the_wanted_group_in_one_domain():
    hosts = [make_host("a1", "a"), make_host("b1", "b"), make_host("b2", "b")]
    actions = make_plan(make_input([make_spec()], hosts))
    expected = FormGroup("quotes", "v1", (), ("b1", "b2"), "b")
    assert_that(actions, Equals((expected,)))


def test_spans_domains_only_where_the_model_allows():
    hosts = [make_host("a1", "a"), make_host("b1", "b")]
    assert_that(make_plan(make_input([make_spec()], hosts)), HasLength(0))
    spec = make_spec(cross_domain="allow")
    (action,) = make_plan(make_input([spec], hosts))
    assert_that(action.domain, Equals(""))


def test_puts_cached_shards_at_their_ranks():
    hosts = [
        make_host("h1", loaded=make_shard(rank=1)),
        make_host("h2"),
        make_host("h3"),
    ]
    (action,) = make_plan(make_input([make_spec()], hosts))
    assert_that(action.hosts, Equals(("h2", "h1")))


def test_replaces_only_the_lost_host():
    hosts = [make_host("h1"), make_host("h2", present=False), make_host("h3")]
    group = make_group("g", ["h1", "h2"], missing=("h2",), missing_since=0.0)
    actions = make_plan(make_input([make_spec()], hosts, [group]), 1e6)
    expected = RepairGroup("g", 1, ("h1", "h3"), "d1")
    assert_that(actions, Equals((expected,)))


def test_dissolves_unwanted_groups():
    hosts = [make_host("h1"), make_host("h2")]
    group = make_group("g", ["h1", "h2"], model="old")
    actions = make_plan(make_input([], hosts, [group]))
    expected = DissolveGroup("g", 1, "model not wanted")
    assert_that(actions, Equals((expected,)))


def test_forms_a_new_version_before_the_old_is_dissolved():
    hosts = [make_host(f"h{n}") for n in range(4)]
    old = make_group("g", ["h0", "h1"])
    spec = make_spec(version="v2")
    (action,) = make_plan(make_input([spec], hosts, [old]))
    assert_that(action.hosts, Equals(("h2", "h3")))
    new = make_group("n", ["h2", "h3"], version="v2", phase=GroupPhase.LOADING)
    assert_that(make_plan(make_input([spec], hosts, [old, new])), HasLength(0))
    served = new._replace(phase=GroupPhase.SERVING)
    (action,) = make_plan(make_input([spec], hosts, [old, served]))
    assert_that(action.group, Equals("g"))


def test_replaces_old_groups_one_at_a_time_without_free_hosts():
    hosts = [make_host(f"h{n}") for n in range(4)]
    groups = [make_group("g1", ["h0", "h1"]), make_group("g2", ["h2", "h3"])]
    spec = make_spec(groups=2, version="v2")
    (action,) = make_plan(make_input([spec], hosts, groups))
    assert_that(action.group, Equals("g1"))
    groups[0] = groups[0]._replace(phase=GroupPhase.DRAINING)
    assert_that(make_plan(make_input([spec], hosts, groups)), HasLength(0))
    groups[0] = groups[0]._replace(version="v2", phase=GroupPhase.SERVING)
    (action,) = make_plan(make_input([spec], hosts, groups))
    assert_that(action.group, Equals("g2"))
