"""Validation of the planner's actions against the current state.

The planner may have decided on an older state, so each action is checked
again and dropped when it no longer applies.
"""

from collections.abc import Iterator

from chervilrock.decisions.actions import DissolveGroup, FormGroup, RepairGroup
from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import append, AppendRecord
from chervilrock.decisions.control.loading import change_phase, repair
from chervilrock.decisions.control.rollout import (
    applies_to,
    is_lost,
    is_outdated,
    may_take_down,
)
from chervilrock.decisions.control.spares import return_spares
from chervilrock.decisions.ownership import Group
from chervilrock.generated.interfaces import EnginePhase
from chervilrock.generated.records import GroupGranted, GroupPhase


def perform_actions(context: ControlContext) -> Iterator[AppendRecord]:
    """Yield the records of the actions that apply to the current state."""
    assigned = context.progress.find_assigned_hosts(context.now)
    number = context.progress.grants
    for action in context.actions:
        if isinstance(action, FormGroup):
            if assigned.isdisjoint(action.hosts):
                effects = list(_form(context, action, number + 1))
                number += sum(
                    isinstance(effect.body, GroupGranted) for effect in effects
                )
                yield from effects
            assigned.update(action.hosts)
        elif isinstance(action, RepairGroup):
            group = _find_target(context, action)
            new = set(action.hosts).difference(group.hosts if group else ())
            if group is not None and assigned.isdisjoint(new):
                yield from _repair(context, action, group)
            assigned.update(new)
        else:
            group = _find_target(context, action)
            if group is not None:
                yield from _dissolve(context, group)


def is_eligible_host(context: ControlContext, host: str) -> bool:
    """Return whether a host may join a group now.

    It must be listed, not leaving and proved present. An engine that does not
    check fencing numbers must also report that it is empty.
    """
    entry = context.hosts.get(host)
    evidence = context.find_evidence(host)
    if entry is None or entry["leaving"] or evidence is None:
        return False
    if context.checks_fence(host):
        return True
    return evidence.phase == EnginePhase.EMPTY


def _find_target(
    context: ControlContext, action: RepairGroup | DissolveGroup
) -> Group | None:
    group = context.region.groups.get(action.group)
    if group is None or not applies_to(action, group):
        return None
    return group


def _form(
    context: ControlContext, action: FormGroup, number: int
) -> Iterator[AppendRecord]:
    spec = context.models.get(action.model)
    hosts = action.hosts
    if spec is None or len(set(hosts)) != len(hosts) or not hosts:
        return
    if not all(is_eligible_host(context, host) for host in hosts):
        return
    owned = [host for host in hosts if not context.region.is_free(host)]
    if owned:
        yield from return_spares(context, owned)
        return
    group = Group(
        name=f"{action.model}-{context.region.epoch}-{number}",
        model=action.model,
        version=action.version,
        adapters=tuple(action.adapters),
        hosts=hosts,
        domain=action.domain,
        fence=0,
        phase=GroupPhase.LOADING,
        revision=context.revision,
    )
    if is_outdated(spec, group):
        return
    yield append(
        GroupGranted(
            epoch=context.region.epoch,
            group=group.name,
            model=group.model,
            version=group.version,
            adapters=group.adapters,
            hosts=group.hosts,
            domain=group.domain,
            revision=group.revision,
        )
    )


def _repair(
    context: ControlContext, action: RepairGroup, group: Group
) -> Iterator[AppendRecord]:
    if group.phase not in (GroupPhase.LOADING, GroupPhase.SERVING):
        return
    if len(action.hosts) != len(group.hosts):
        return
    usable = {*group.hosts, *group.spares}
    new = [host for host in action.hosts if host not in group.hosts]
    if not all(is_eligible_host(context, host) for host in new):
        return
    owned = [
        host
        for host in new
        if host not in usable and not context.region.is_free(host)
    ]
    if owned:
        yield from return_spares(context, owned)
        return
    if context.is_serving(group):
        if may_take_down(context, group) or context.has_leaving(group):
            yield from change_phase(context, group, GroupPhase.DRAINING)
        return
    if set(action.hosts) == set(group.hosts):
        return
    if context.presence.compose_reserve(group, context.now) is not None:
        return
    yield from repair(context, group, action.hosts, action.domain)


def _dissolve(context: ControlContext, group: Group) -> Iterator[AppendRecord]:
    if group.phase is GroupPhase.LOADING:
        yield from change_phase(context, group, GroupPhase.DISSOLVED)
    elif group.phase is GroupPhase.SERVING:
        if is_lost(context, group):
            yield from change_phase(context, group, GroupPhase.DISSOLVED)
        elif may_take_down(context, group):
            yield from change_phase(context, group, GroupPhase.DRAINING)
