"""What the controller shows the planner."""

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
      region: folded state of the region stream.
      wanted: configuration in force.
      presence: evidence of the hosts.
      hosts: host list, of this region.
      pending: records under way, which count as if they were accepted.
      prices: costs that hold now.
      now: present time in seconds.
    """
    claimed = pending.find_claimed(now)
    groups = _list_groups(region, pending, now)
    spares = {host for group in region.groups.values() for host in group.spares}
    views = []
    for entry in hosts:
        host = entry["host"]
        evidence = presence.find(host, now)
        unowned = region.is_free(host) or host in spares
        views.append(
            _view_host(entry, evidence, unowned and host not in claimed)
        )
    return PlanInput(
        models=tuple(wanted["models"]),
        prices=prices,
        hosts=tuple(views),
        groups=tuple(
            _view_group(group, presence, now)
            for group in groups.values()
            if group.phase is not GroupPhase.DISSOLVED
        ),
    )


def _list_groups(
    region: RegionState, pending: Progress, now: float
) -> dict[str, Group]:
    """Return the groups by name as they are once records under way are read.

    Otherwise the planner would ask for a group a second time, with other
    hosts, while the log is slow.
    """
    groups = dict(region.groups)
    for body in pending.list_compositions(now):
        group = groups.get(body.group)
        if isinstance(body, GroupGranted):
            groups.setdefault(body.group, _make_granted(body))
        elif group is not None and group.fence == body.fence:
            groups[body.group] = group._replace(
                hosts=body.hosts,
                domain=body.domain,
                phase=GroupPhase.LOADING,
                reserve=0,
            )
    return groups


def _make_granted(body: GroupGranted) -> Group:
    """Return a group whose grant is under way; it has no number yet."""
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


def _view_host(
    entry: HostEntry, evidence: Evidence | None, unowned: bool
) -> HostView:
    fenced = entry["checks_fence"] and (
        evidence is None or evidence.checks_fence
    )
    empty = evidence is not None and evidence.phase == EnginePhase.EMPTY
    return HostView(
        host=entry["host"],
        data_centre=entry["data_centre"],
        domain=entry["domain"],
        accelerators=entry["accelerators"],
        checks_fence=fenced,
        present=evidence is not None,
        leaving=entry["leaving"],
        free=unowned and (fenced or empty),
        loaded=evidence.shard if evidence is not None else None,
    )


def _view_group(group: Group, presence: PresenceTable, now: float) -> GroupView:
    missing = presence.missing(group, now)
    if missing and presence.compose_reserve(group, now) is not None:
        missing = ()
    since = [presence.missing_since(host, now) for host in missing]
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
            (one for one in since if one is not None), default=None
        ),
        spares=group.spares,
    )
