"""Which groups are taken down, and when.

A group is drained when a host of it is leaving, when its model is no longer
wanted, when there are more groups than wanted, or when it holds another
version or other adapters than wanted. Only the first two reasons come before
the rule that the groups of a model are taken down one at a time.
"""

from collections.abc import Iterator

from chervilrock.decisions.actions import DissolveGroup, FormGroup, RepairGroup
from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import AppendRecord
from chervilrock.decisions.control.loading import (
    change_phase,
    is_restarted,
    repair,
)
from chervilrock.decisions.control.progress import Watch
from chervilrock.decisions.ownership import Group
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase, GroupPhaseChanged


def is_outdated(spec: ModelSpec, group: Group) -> bool:
    """Return whether a group holds something else than its model wants."""
    return (
        group.version != spec["version"]
        or group.adapters != tuple(spec.get("adapters", ()))
        or len(group.hosts) != spec["hosts_per_group"]
    )


def choose_drains(context: ControlContext) -> list[Group]:
    """Return the serving groups that shall be drained now."""
    chosen = [
        group
        for group in context.region.groups.values()
        if group.phase is GroupPhase.SERVING
        and (group.model not in context.models or context.has_leaving(group))
    ]
    for name, spec in context.models.items():
        group = _choose_replaced(context, name, spec)
        if group is not None and group not in chosen:
            chosen.append(group)
    return chosen


def may_take_down(context: ControlContext, group: Group) -> bool:
    """Return whether a serving group may be taken down for another one.

    One group of a model at a time, and never the last one that serves unless
    the model has only this one and no other can be brought up before.
    """
    spec = context.models.get(group.model)
    if spec is None:
        return True
    groups = context.find_groups(group.model)
    if any(_is_changing(context, one) for one in groups):
        return False
    serving = [one for one in groups if context.is_serving(one)]
    others = [one for one in serving if one.name != group.name]
    if len(serving) > spec["groups"]:
        return bool(others)
    if _is_forming(context, group.model):
        return False
    if not others and spec["groups"] > 1:
        return False
    return len(serving) >= spec["groups"] or _stands_still(
        context, group.model, groups
    )


def drain_group(
    context: ControlContext, group: Group
) -> Iterator[AppendRecord]:
    """Yield the record that a drained group is repaired or dissolved."""
    if not _is_drained(context, group):
        return
    for action in context.actions:
        if isinstance(action, RepairGroup) and is_for(action, group):
            yield from repair(context, group, action.hosts, action.domain)
            return
    yield from change_phase(context, group, GroupPhase.DISSOLVED)


def is_lost(context: ControlContext, group: Group) -> bool:
    """Return whether the requests of a group cannot go on any more."""
    if is_restarted(context, group):
        return True
    since = context.now - context.timing.lost_after_s
    missing = (
        context.presence.missing_since(host, context.now)
        for host in group.hosts
    )
    return any(one is not None and one <= since for one in missing)


def is_for(action: RepairGroup | DissolveGroup, group: Group) -> bool:
    """Return whether an action was decided on this state of the group."""
    return action.group == group.name and action.fence == group.fence


def _choose_replaced(
    context: ControlContext, name: str, spec: ModelSpec
) -> Group | None:
    """Return the surplus or outdated group to drain next, if any."""
    groups = context.find_groups(name)
    serving = [one for one in groups if context.is_serving(one)]
    outdated = [one for one in serving if is_outdated(spec, one)]
    surplus = len(serving) > spec["groups"]
    candidates = outdated or (serving[::-1] if surplus else [])
    for group in candidates:
        if may_take_down(context, group):
            return group
    return None


def _is_changing(context: ControlContext, group: Group) -> bool:
    if group.phase in (GroupPhase.LOADING, GroupPhase.DRAINING):
        return True
    drain = GroupPhaseChanged(
        epoch=context.region.epoch,
        group=group.name,
        fence=group.fence,
        phase=GroupPhase.DRAINING,
    )
    return context.progress.is_pending(drain, context.now)


def _is_forming(context: ControlContext, model: str) -> bool:
    return any(
        isinstance(action, FormGroup) and action.model == model
        for action in context.actions
    )


def _stands_still(
    context: ControlContext, model: str, groups: list[Group]
) -> bool:
    value = tuple((group.name, group.fence, group.phase) for group in groups)
    since = context.progress.stable_since(
        Watch.MODEL, model, value, context.now
    )
    return context.now >= since + context.timing.rollout_pause_s


def _is_drained(context: ControlContext, group: Group) -> bool:
    since = context.progress.stable_since(
        Watch.DRAIN, group.name, group.fence, context.now
    )
    if context.now >= since + context.timing.drain_limit_s:
        return True
    settled = context.now >= since + context.timing.drain_settle_s
    idle = settled and group.name in context.idle
    return idle or is_lost(context, group)
