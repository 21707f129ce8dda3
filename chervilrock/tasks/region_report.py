"""Reports of a region for operators."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import list_stranded
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.operators import (
    GroupStatus,
    QuarantinedHost,
    StrandedHost,
)
from chervilrock.generated.records import GroupPhase


class RegionReport(NamedTuple):
    """State of a region as one node knows it.

    Attributes:
      known: whether the node knows the region stream
      reachable: whether the node reads the log service
      epoch: epoch in force
      controller: node that holds the lease, empty for none
      epoch_held: epoch that this node holds, 0 for none
      upto: offset of the last record that was read
    """

    known: bool
    reachable: bool
    epoch: int
    controller: str
    epoch_held: int
    upto: int
    groups: tuple[GroupStatus, ...]
    stranded: tuple[StrandedHost, ...]
    quarantined: tuple[QuarantinedHost, ...]


def make_report(
    *,
    region: RegionState,
    presence: PresenceTable,
    hosts: Mapping[str, HostEntry],
    known: bool,
    reachable: bool,
    epoch_held: int,
    now: float,
) -> RegionReport:
    """Return the report of a region."""
    controller = region.controller
    return RegionReport(
        known=known,
        reachable=reachable,
        epoch=region.epoch,
        controller="" if controller is None else controller.node,
        epoch_held=epoch_held,
        upto=region.upto,
        groups=tuple(
            _report_group(group, presence, now)
            for group in region.groups.values()
        ),
        stranded=tuple(
            _report_stranded(entry, region)
            for entry in list_stranded(
                presence.servable(region, now), presence, hosts, now
            )
        ),
        quarantined=tuple(
            QuarantinedHost(
                host=host,
                fence=region.owners[host].fence,
                reason=f"was in group {region.owners[host].group}",
            )
            for host in region.quarantined
        ),
    )


def _report_group(
    group: Group, presence: PresenceTable, now: float
) -> GroupStatus:
    """Return the current group, with spares that joined without the log."""
    group = presence.find_servable(group, now) or group
    return GroupStatus(
        group=group.name,
        model=group.model,
        version=group.version,
        phase=group.phase.value,
        fence=group.fence,
        domain=group.domain,
        hosts=group.hosts,
        missing=presence.missing(group, now),
    )


def _report_stranded(entry: HostEntry, region: RegionState) -> StrandedHost:
    return StrandedHost(
        host=entry["host"],
        data_centre=entry["data_centre"],
        domain=entry["domain"],
        accelerators=entry["accelerators"],
        reason=_explain_stranded(entry, region),
    )


def _explain_stranded(entry: HostEntry, region: RegionState) -> str:
    """Return why a host is in no serving group."""
    if entry["leaving"]:
        return "leaving"
    ownership = region.owners.get(entry["host"])
    if ownership is None:
        return "free"
    if ownership.quarantined:
        return "quarantined"
    if ownership.revoked:
        return "being released"
    group = region.groups.get(ownership.group)
    if group is None:
        return "owned by a group that is gone"
    if entry["host"] in group.spares:
        return f"spare of {group.name}"
    if group.phase is GroupPhase.SERVING:
        return f"group {group.name} is not whole"
    return f"group {group.name} is {group.phase.value}"
