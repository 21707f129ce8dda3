"""Rearrangement in a domain with too few hosts for all its groups."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner import Planner
from chervilrock.decisions.planner.baselines import NeverAcrossGroups
from chervilrock.generated.records import GroupPhase
from test.decisions.planner.planner_views import (
    make_group,
    make_host,
    make_input,
    make_plan,
    make_spec,
)

_LONG_ABSENCE_S = 1e5


@pytest.fixture
def crowded_view():
    """A valuable group lacks a host that two less valuable ones could give."""
    hosts = [make_host(f"h{number}") for number in range(6)]
    hosts[0] = hosts[0]._replace(present=False)
    groups = [
        make_group("great", ["h0", "h1"], missing=("h0",), missing_since=0.0),
        make_group("lesser", ["h2", "h3"], model="trials"),
        make_group("other", ["h4", "h5"], model="trials"),
    ]
    models = [
        make_spec(weight=8.0),
        make_spec("trials", groups=2, weight=0.1),
    ]
    return make_input(models, hosts, groups)


def _list_names(actions):
    return [
        (type(each).__name__, getattr(each, "group", "")) for each in actions
    ]


def test_dissolves_a_lesser_group_for_a_greater(crowded_view):
    names = _list_names(make_plan(crowded_view, _LONG_ABSENCE_S))
    assert_that(names, Equals([("DissolveGroup", "other")]))


def test_waits_for_hosts_that_are_to_be_free(crowded_view):
    groups = [
        group._replace(phase=GroupPhase.DRAINING)
        if group.name == "lesser"
        else group
        for group in crowded_view.groups
    ]
    view = crowded_view._replace(groups=tuple(groups))
    assert_that(make_plan(view, _LONG_ABSENCE_S), Equals(()))


def test_waits_for_hosts_that_are_being_released(crowded_view):
    groups = tuple(g for g in crowded_view.groups if g.name != "lesser")
    hosts = tuple(
        host._replace(releasing=host.host in ("h2", "h3"))
        for host in crowded_view.hosts
    )
    view = crowded_view._replace(groups=groups, hosts=hosts)
    assert_that(make_plan(view, _LONG_ABSENCE_S), Equals(()))


def test_repairs_with_the_freed_hosts(crowded_view):
    groups = tuple(g for g in crowded_view.groups if g.name != "lesser")
    hosts = tuple(
        host._replace(free=host.host in ("h2", "h3"))
        for host in crowded_view.hosts
    )
    view = crowded_view._replace(groups=groups, hosts=hosts)
    names = _list_names(make_plan(view, _LONG_ABSENCE_S))
    assert_that(names, Equals([("RepairGroup", "great")]))


def test_keeps_other_groups_while_a_return_is_likely(crowded_view):
    assert_that(make_plan(crowded_view, 1.0), Equals(()))


def test_never_across_groups_waits(crowded_view):
    actions = NeverAcrossGroups().plan(crowded_view, _LONG_ABSENCE_S)
    assert_that(len(actions), Equals(0))


def test_single_loss_yields_the_actions_of_a_full_plan(crowded_view):
    whole = crowded_view.groups[0]._replace(missing=(), missing_since=None)
    hosts = tuple(host._replace(present=True) for host in crowded_view.hosts)
    before = crowded_view._replace(
        hosts=hosts, groups=(whole, *crowded_view.groups[1:])
    )
    planner = Planner()
    planner.plan(before, 0.0)
    planner.put_group(whole._replace(missing_since=0.0))
    names = _list_names(planner.handle_lost_host("h0", _LONG_ABSENCE_S))
    assert_that(
        names, Equals(_list_names(make_plan(crowded_view, _LONG_ABSENCE_S)))
    )


def test_repairs_a_group_that_drains_for_a_leaving_host():
    hosts = [make_host("h0", leaving=True), make_host("h1"), make_host("h2")]
    group = make_group("g", ["h0", "h1"], phase=GroupPhase.DRAINING)
    (action,) = make_plan(make_input([make_spec()], hosts, [group]))
    assert_that(action.hosts, Equals(("h2", "h1")))


def test_moves_a_group_to_make_room():
    hosts = [make_host(f"a{number}", "a") for number in range(4)]
    hosts += [make_host(f"b{number}", "b") for number in range(3)]
    groups = [
        make_group("small", ["a0", "a1"], domain="a"),
        make_group("twin", ["b0", "b1"], domain="b"),
    ]
    models = [
        make_spec(groups=2, weight=8.0),
        make_spec("large", size=4),
    ]
    assert_that(
        make_plan(make_input(models, hosts, groups), _LONG_ABSENCE_S),
        Equals(()),
    )
    hosts.append(make_host("b3", "b"))
    names = _list_names(
        make_plan(make_input(models, hosts, groups), _LONG_ABSENCE_S)
    )
    assert_that(names, Equals([("DissolveGroup", "twin"), ("FormGroup", "")]))
