"""Plans for any view satisfy the invariants of replica groups."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.actions import (
    DissolveGroup,
    FormGroup,
    RepairGroup,
)
from chervilrock.decisions.planner import Planner
from chervilrock.decisions.planner.baselines import (
    GreedyFirstFit,
    NeverAcrossGroups,
    RecreateFirstFit,
)
from chervilrock.generated.records import GroupPhase
from test.decisions.planner.planner_views import (
    make_group,
    make_host,
    make_input,
    make_shard,
    make_spec,
)

_MODELS = ("quotes", "letters", "checks")
_DOMAINS = (("dc1", "a"), ("dc1", "b"), ("dc2", "a"))


@st.composite
def draw_views(draw):
    """Draws arbitrary views of a region, including unusual ones."""
    specs = [
        make_spec(
            name,
            groups=draw(st.integers(0, 3)),
            size=draw(st.integers(1, 4)),
            version=draw(st.sampled_from(["v1", "v2"])),
            weight=draw(st.sampled_from([0.5, 1.0, 4.0])),
            spares=draw(st.integers(0, 1)),
            cross_domain=draw(st.sampled_from(["forbid", "allow"])),
            data_centres=draw(st.sampled_from([(), ("dc1",)])),
        )
        for name in draw(st.sets(st.sampled_from(_MODELS)).map(sorted))
    ]
    hosts = [
        make_host(
            f"h{number}",
            domain,
            data_centre,
            present=draw(st.integers(0, 5)) > 0,
            leaving=draw(st.integers(0, 7)) == 0,
            free=draw(st.integers(0, 5)) > 0,
            loaded=draw(
                st.sampled_from([None, make_shard(rank=0), make_shard(rank=1)])
            ),
        )
        for number in range(draw(st.integers(0, 14)))
        for data_centre, domain in [draw(st.sampled_from(_DOMAINS))]
    ]
    return make_input(specs, hosts, _draw_groups(draw, hosts))


def _draw_groups(draw, hosts):
    """Draws disjoint groups, some of whose hosts are missing."""
    groups: list[Any] = []
    rest = list(hosts)
    while rest and draw(st.booleans()):
        size = min(len(rest), draw(st.integers(1, 4)))
        if draw(st.integers(0, 3)) > 0:
            rest.sort(key=lambda host: (host.data_centre, host.domain))
        members, rest = rest[:size], rest[size:]
        missing = tuple(host.host for host in members if not host.present)
        domains = {(host.data_centre, host.domain) for host in members}
        groups.append(
            make_group(
                f"g{len(groups)}",
                [host.host for host in members],
                model=draw(st.sampled_from(_MODELS)),
                version=draw(st.sampled_from(["v1", "v2"])),
                domain=members[0].domain if len(domains) == 1 else "",
                phase=draw(st.sampled_from(list(GroupPhase)[:3])),
                missing=missing,
                missing_since=0.0 if missing else None,
            )
        )
    return groups


def find_faults(view, actions):
    """Returns the violations of the invariants in a plan."""
    faults: list[Any] = []
    hosts = {host.host: host for host in view.hosts}
    groups = {group.name: group for group in view.groups}
    specs = {spec["name"]: spec for spec in view.models}
    owned = {name for group in view.groups for name in group.hosts}
    assigned: list[str] = []
    for action in actions:
        if isinstance(action, DissolveGroup):
            continue
        new = list(action.hosts)
        if isinstance(action, RepairGroup):
            old = groups[action.group].hosts
            spec = specs[groups[action.group].model]
            new = [n for n, o in zip(new, old, strict=True) if n != o]
            kept = set(action.hosts) - set(new)
            missing = set(groups[action.group].missing)
            if any(hosts[name].leaving or name in missing for name in kept):
                faults.append(("lost host kept", action))
        else:
            spec = specs[action.model]
        assigned.extend(new)
        for name in new:
            host = hosts[name]
            usable = host.present and host.free and not host.leaving
            if not usable or name in owned:
                faults.append(("host not usable", name, action))
        used_domains = {
            (hosts[n].data_centre, hosts[n].domain) for n in action.hosts
        }
        if len(used_domains) > 1 and spec["cross_domain"] == "forbid":
            faults.append(("domains mixed", action))
        if len(used_domains) == 1 and action.domain != used_domains.pop()[1]:
            faults.append(("wrong domain", action))
        wanted = spec["data_centres"]
        new_data_centres = {hosts[name].data_centre for name in new}
        if wanted and not new_data_centres <= set(wanted):
            faults.append(("wrong data centre", action))
        if len(set(action.hosts)) != spec["hosts_per_group"]:
            faults.append(("wrong size", action))
    if len(assigned) != len(set(assigned)):
        faults.append(("host given twice", assigned))
    return faults + _find_dissolved_models(view, actions, hosts)


def _find_dissolved_models(view, actions, hosts):
    """Returns the wanted models whose last serving groups are dissolved."""
    changed = [a.group for a in actions if not isinstance(a, FormGroup)]
    faults: list[Any] = []
    if len(changed) > len(set(changed)):
        faults.append(("group changed twice", changed))
    dissolved_groups = {
        a.group for a in actions if isinstance(a, DissolveGroup)
    }
    for spec in view.models:
        serving = {
            group.name
            for group in view.groups
            if group.model == spec["name"]
            and group.phase == GroupPhase.SERVING
            and not group.missing
            and not any(hosts[name].leaving for name in group.hosts)
        }
        if spec["groups"] > 0 and serving and serving <= dissolved_groups:
            faults.append(("model ended", spec["name"], serving))
    return faults


@pytest.mark.parametrize(
    "planner",
    [Planner, GreedyFirstFit, RecreateFirstFit, NeverAcrossGroups],
)
@settings(max_examples=300)
@given(view=draw_views(), now=st.sampled_from([0.0, 60.0, 1e5]))
def test_plan_keeps_the_rules(planner, view, now):
    actions = planner().plan(view, now)
    assert_that(find_faults(view, actions), Equals([]))


@settings(max_examples=300)
@given(view=draw_views(), data=st.data())
def test_single_changes_keep_the_rules(view, data):
    planner = Planner()
    planner.plan(view, 0.0)
    for now in range(100, 100 + data.draw(st.integers(1, 4))):
        if not view.hosts:
            return
        name = data.draw(st.sampled_from([h.host for h in view.hosts]))
        view, actions = _change_host(planner, view, name, 1e3 * now)
        assert_that(find_faults(view, actions), Equals([]))


def _change_host(planner, view, name, now):
    """Toggles the presence of a host and reports it to the planner."""
    (host,) = (each for each in view.hosts if each.host == name)
    changed = host._replace(present=not host.present)
    groups = tuple(_change_group(group, changed, now) for group in view.groups)
    hosts = tuple(changed if h is host else h for h in view.hosts)
    after = view._replace(hosts=hosts, groups=groups)
    if host.present:
        return after, planner.handle_lost_host(name, now)
    return after, planner.handle_returned_host(changed, now)


def _change_group(group, host, now):
    if host.host not in group.hosts:
        return group
    missing = set(group.missing) ^ {host.host}
    return group._replace(
        missing=tuple(name for name in group.hosts if name in missing),
        missing_since=now if missing else None,
    )


@settings(max_examples=200)
@given(view=draw_views())
def test_plans_come_to_rest(view):
    planner = Planner()
    for step in range(40):
        actions = planner.plan(view, 1e5)
        after = _carry_out(view, actions, step)
        if after == view:
            return
        view = after
    raise AssertionError(f"still changing: {actions}")


def _carry_out(view, actions, step):
    """Applies a plan to a view; loads and drains take one step."""
    dissolved = {a.group for a in actions if isinstance(a, DissolveGroup)}
    repaired = {a.group: a for a in actions if isinstance(a, RepairGroup)}
    groups = []
    for group in view.groups:
        repair = repaired.get(group.name)
        if repair is not None:
            groups.append(
                group._replace(
                    hosts=repair.hosts,
                    domain=repair.domain,
                    missing=(),
                    missing_since=None,
                    phase=GroupPhase.LOADING,
                )
            )
        elif group.name in dissolved:
            groups.append(group._replace(phase=GroupPhase.DRAINING))
        elif group.phase == GroupPhase.LOADING:
            groups.append(group._replace(phase=GroupPhase.SERVING))
        elif group.phase == GroupPhase.SERVING:
            groups.append(group)
    for action in actions:
        if isinstance(action, FormGroup):
            groups.append(
                make_group(
                    f"n{step}-{len(groups)}",
                    action.hosts,
                    model=action.model,
                    version=action.version,
                    adapters=action.adapters,
                    domain=action.domain,
                    phase=GroupPhase.LOADING,
                )
            )
    before = {name for group in view.groups for name in group.hosts}
    owned = {name for group in groups for name in group.hosts}
    hosts = tuple(
        host._replace(
            free=host.host not in owned and (host.free or host.host in before)
        )
        for host in view.hosts
    )
    return view._replace(hosts=hosts, groups=tuple(groups))
