"""Input of the planner, made from the state of the controller."""

from collections.abc import Iterable

from chervilrock.decisions.actions import (
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.evidence import Evidence
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import EnginePhase, HostEntry
from chervilrock.generated.records import GroupGranted, GroupPhase


def make_plan_input(
    *,
    region: RegionState,
    wanted: Configuration,
    presence: PresenceTable,
    hosts: Iterable[HostEntry],
    pending: Progress,
    prices: Prices,
    now: float,
) -> PlanInput:
    """Return the input of the planner.

    Args:
      region: state folded from the region stream.
      wanted: configuration in force.
      presence: evidence of the hosts.
      hosts: host list, of this region.
      pending: pending records, which count as if they were accepted.
      prices: costs in force now.
      now: current time in seconds.
    """
    assigned = pending.find_assigned_hosts(now)
    groups = _list_groups(region, pending, now)
    spares = {host for group in region.groups.values() for host in group.spares}
    views = []
    for entry in hosts:
        host = entry["host"]
        evidence = presence.find(host, now)
        unowned = region.is_free(host) or host in spares
        views.append(
            _make_host_view(entry, evidence, unowned and host not in assigned)
        )
    return PlanInput(
        models=tuple(wanted["models"]),
        prices=prices,
        hosts=tuple(views),
        groups=tuple(
            _make_group_view(group, presence, now)
            for group in groups.values()
            if group.phase is not GroupPhase.DISSOLVED
        ),
    )


def _list_groups(
    region: RegionState, pending: Progress, now: float
) -> dict[str, Group]:
    """Return the groups by name, with pending records applied.

    Without them the planner would request a group a second time, with other
    hosts, while the log is slow.
    """
    groups = dict(region.groups)
    for body in pending.list_assignments(now):
        group = groups.get(body.group)
        if isinstance(body, GroupGranted):
            groups.setdefault(body.group, _make_granted_group(body))
        elif group is not None and group.fence == body.fence:
            groups[body.group] = group._replace(
                hosts=body.hosts,
                domain=body.domain,
                phase=GroupPhase.LOADING,
                reserve=0,
            )
    return groups


def _make_granted_group(body: GroupGranted) -> Group:
    """Return a group whose grant is pending; it has no fencing number yet."""
    return Group(
        name=body.group,
        model=body.model,
        version=body.version,
        adapters=body.adapters,
        hosts=body.hosts,
        domain=body.domain,
        fence=0,
        phase=GroupPhase.LOADING,
        revision=body.revision,
    )


def _make_host_view(
    entry: HostEntry, evidence: Evidence | None, unowned: bool
) -> HostView:
    checks_fence = entry["checks_fence"] and (
        evidence is None or evidence.checks_fence
    )
    empty = evidence is not None and evidence.phase == EnginePhase.EMPTY
    return HostView(
        host=entry["host"],
        data_centre=entry["data_centre"],
        domain=entry["domain"],
        accelerators=entry["accelerators"],
        checks_fence=checks_fence,
        present=evidence is not None,
        leaving=entry["leaving"],
        free=unowned and (checks_fence or empty),
        loaded=evidence.shard if evidence is not None else None,
    )


def _make_group_view(
    group: Group, presence: PresenceTable, now: float
) -> GroupView:
    missing = presence.missing(group, now)
    if missing and presence.compose_reserve(group, now) is not None:
        missing = ()
    starts = [presence.missing_since(host, now) for host in missing]
    return GroupView(
        name=group.name,
        model=group.model,
        version=group.version,
        adapters=group.adapters,
        hosts=group.hosts,
        domain=group.domain,
        fence=group.fence,
        phase=group.phase,
        missing=missing,
        missing_since=min(
            (start for start in starts if start is not None), default=None
        ),
        spares=group.spares,
    )
