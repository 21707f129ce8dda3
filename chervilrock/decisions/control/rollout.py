"""Selection of the groups to take down, and the time to do so.

A group is drained when one of its hosts is leaving, when its model is no longer
configured, when there are more groups than configured, or when it holds another
version or other adapters than configured. Only the first two reasons override
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
from chervilrock.decisions.control.progress import WatchKind
from chervilrock.decisions.ownership import Group
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase, GroupPhaseChanged


def is_outdated(spec: ModelSpec, group: Group) -> bool:
    """Return whether a group differs from the configuration of its model."""
    return (
        group.version != spec["version"]
        or group.adapters != tuple(spec.get("adapters", ()))
        or len(group.hosts) != spec["hosts_per_group"]
    )


def choose_drains(context: ControlContext) -> list[Group]:
    """Return the serving groups to drain now."""
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
    """Return whether a serving group may be taken down to be replaced.

    Groups of a model are taken down one at a time. The last serving group is
    taken down only if the model has just this one and no other can be started
    first.
    """
    spec = context.models.get(group.model)
    if spec is None:
        return True
    groups = context.find_groups(group.model)
    if any(_is_changing(context, candidate) for candidate in groups):
        return False
    serving = [
        candidate for candidate in groups if context.is_serving(candidate)
    ]
    others = [
        candidate for candidate in serving if candidate.name != group.name
    ]
    if len(serving) > spec["groups"]:
        return bool(others)
    if _is_forming(context, group.model):
        return False
    if not others and spec["groups"] > 1:
        return False
    return len(serving) >= spec["groups"] or _is_stable(
        context, group.model, groups
    )


def drain_group(
    context: ControlContext, group: Group
) -> Iterator[AppendRecord]:
    """Yield the record that repairs or dissolves a drained group."""
    if not _is_drained(context, group):
        return
    for action in context.actions:
        if isinstance(action, RepairGroup) and applies_to(action, group):
            yield from repair(context, group, action.hosts, action.domain)
            return
    yield from change_phase(context, group, GroupPhase.DISSOLVED)


def is_lost(context: ControlContext, group: Group) -> bool:
    """Return whether the requests of a group can no longer complete."""
    if is_restarted(context, group):
        return True
    since = context.now - context.timing.lost_after_s
    missing_since = (
        context.presence.missing_since(host, context.now)
        for host in group.hosts
    )
    return any(start is not None and start <= since for start in missing_since)


def applies_to(action: RepairGroup | DissolveGroup, group: Group) -> bool:
    """Return whether an action was decided for this state of the group."""
    return action.group == group.name and action.fence == group.fence


def _choose_replaced(
    context: ControlContext, name: str, spec: ModelSpec
) -> Group | None:
    """Return the surplus or outdated group to drain next, if any."""
    groups = context.find_groups(name)
    serving = [group for group in groups if context.is_serving(group)]
    outdated = [group for group in serving if is_outdated(spec, group)]
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


def _is_stable(
    context: ControlContext, model: str, groups: list[Group]
) -> bool:
    value = tuple((group.name, group.fence, group.phase) for group in groups)
    since = context.progress.stable_since(
        WatchKind.MODEL, model, value, context.now
    )
    return context.now >= since + context.timing.rollout_pause_s


def _is_drained(context: ControlContext, group: Group) -> bool:
    since = context.progress.stable_since(
        WatchKind.DRAIN, group.name, group.fence, context.now
    )
    if context.now >= since + context.timing.drain_limit_s:
        return True
    settled = context.now >= since + context.timing.drain_settle_s
    idle = settled and group.name in context.idle
    return idle or is_lost(context, group)
