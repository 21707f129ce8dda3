"""The decisions of the controller of a region.

`decide` is called after each change and periodically. It compares the folded
log with the evidence of the hosts and returns the records to append and the
orders to send. It does not modify the region, and its effects are idempotent:
the fold rejects a record that is appended twice, and an order that is sent
twice is the same order.
"""

from collections.abc import Iterable, Iterator

from chervilrock.decisions.actions import Action
from chervilrock.decisions.control.context import ControlContext, ControlTiming
from chervilrock.decisions.control.effects import AppendRecord, Effect
from chervilrock.decisions.control.loading import (
    adopt_reserve,
    change_phase,
    load_group,
    reload_restarted,
)
from chervilrock.decisions.control.plannedactions import perform_actions
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.control.release import (
    clear_hosts,
    release_hosts,
    unload_free_hosts,
)
from chervilrock.decisions.control.rollout import (
    choose_drains,
    drain_group,
    is_outdated,
)
from chervilrock.decisions.control.spares import grant_spares
from chervilrock.decisions.lease import LeaseView
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase, GroupPhaseChanged

_DEFAULT_TIMING = ControlTiming()


def decide(
    *,
    region: RegionState,
    wanted: Configuration,
    revision: int,
    presence: PresenceTable,
    hosts: Iterable[HostEntry],
    actions: tuple[Action, ...],
    pending: Progress,
    lease: LeaseView,
    now: float,
    idle: frozenset[str] = frozenset(),
    whole: Iterable[Group] = (),
    timing: ControlTiming = _DEFAULT_TIMING,
) -> tuple[Effect, ...]:
    """Return the records to append and the orders to send now.

    Args:
      region: folded state of the region stream.
      wanted: configuration in force.
      revision: its revision.
      presence: evidence of the hosts.
      hosts: host list of this region.
      actions: actions of the planner.
      pending: records and orders in flight; the caller records there what it
        does with the effects.
      lease: the lease of the region from the point of view of this process.
      now: current time in seconds.
      idle: names of draining groups whose engines have no requests left.
      whole: groups that are known to be whole, which need no check.
      timing: waiting times.

    Returns:
      Nothing unless this process holds the lease.
    """
    if not lease.may_act(now) or lease.holder.epoch != region.epoch:
        return ()
    context = ControlContext(
        region=region,
        models={model["name"]: model for model in wanted["models"]},
        revision=revision,
        presence=presence,
        hosts={entry["host"]: entry for entry in hosts},
        actions=actions,
        progress=pending,
        idle=idle,
        quiet_at=lease.observer.quiet_at,
        lease_ends_at=lease.holder.until,
        timing=timing,
        now=now,
        whole_groups={(group.name, group.fence): True for group in whole},
    )
    return tuple(_decide_all(context))


def _decide_all(context: ControlContext) -> Iterator[Effect]:
    for group in context.region.groups.values():
        yield from _advance_group(context, group)
    drained: set[str] = set()
    for group in choose_drains(context):
        drained.add(group.model)
        yield from change_phase(context, group, GroupPhase.DRAINING)
    yield from release_hosts(context)
    yield from clear_hosts(context)
    yield from unload_free_hosts(context)
    for effect in perform_actions(context):
        if not _is_second_drain(context, effect, drained):
            yield effect
    yield from grant_spares(context)


def _advance_group(context: ControlContext, group: Group) -> Iterator[Effect]:
    if group.phase is GroupPhase.LOADING:
        if _is_wanted(context, group):
            yield from load_group(context, group)
        else:
            yield from change_phase(context, group, GroupPhase.DISSOLVED)
    elif group.phase is GroupPhase.SERVING:
        if not context.is_whole(group):
            yield from adopt_reserve(context, group)
            yield from reload_restarted(context, group)
    elif group.phase is GroupPhase.DRAINING:
        yield from drain_group(context, group)


def _is_second_drain(
    context: ControlContext, effect: Effect, drained: set[str]
) -> bool:
    """Return whether a model would lose a second group in this decision.

    Args:
      context: state and input of the decision.
      effect: effect of an action.
      drained: models that lose a group already; this model is added.
    """
    body = effect.body if isinstance(effect, AppendRecord) else None
    if not isinstance(body, GroupPhaseChanged):
        return False
    if body.phase is not GroupPhase.DRAINING:
        return False
    model = context.region.groups[body.group].model
    second = model in drained
    drained.add(model)
    return second


def _is_wanted(context: ControlContext, group: Group) -> bool:
    spec = context.models.get(group.model)
    return spec is not None and not is_outdated(spec, group)
