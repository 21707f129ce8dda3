"""Views of a region: what the planner sees and what requests are routed by."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.actions import (
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.routing.base import Endpoint
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase


def view_region(
    *,
    region: RegionState,
    presence: PresenceTable,
    hosts: Mapping[str, HostEntry],
    models: tuple[ModelSpec, ...],
    prices: Prices,
    now: float,
) -> PlanInput:
    """Return what the planner sees of a region."""
    return PlanInput(
        models=models,
        prices=prices,
        hosts=tuple(
            _view_host(region, presence, entry, now) for entry in hosts.values()
        ),
        groups=tuple(
            _view_group(presence, group, now)
            for group in region.groups.values()
            if group.phase is not GroupPhase.DISSOLVED
        ),
    )


def _view_host(
    region: RegionState, presence: PresenceTable, entry: HostEntry, now: float
) -> HostView:
    evidence = presence.find(entry["host"], now)
    return HostView(
        host=entry["host"],
        data_centre=entry["data_centre"],
        domain=entry["domain"],
        accelerators=entry["accelerators"],
        checks_fence=entry["checks_fence"],
        present=evidence is not None,
        leaving=entry["leaving"],
        free=region.is_free(entry["host"]),
        loaded=None if evidence is None else evidence.shard,
    )


def _view_group(presence: PresenceTable, group: Group, now: float) -> GroupView:
    missing = presence.missing(group, now)
    since = [presence.missing_since(host, now) for host in missing]
    known = [one for one in since if one is not None]
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
        missing_since=min(known) if known else None,
    )


class TimedEndpoint(NamedTuple):
    """A group that may get requests for a while.

    Attributes:
      endpoint: the group
      until: end of the age limit of its oldest evidence, in seconds
    """

    endpoint: Endpoint
    until: float


def list_endpoints(
    *,
    region: RegionState,
    presence: PresenceTable,
    hosts: Mapping[str, HostEntry],
    now: float,
) -> tuple[TimedEndpoint, ...]:
    """Return the groups that may get requests, and until when.

    A group with a leaving host is left out at once, before the controller
    drains it. Each end of validity is that of the oldest evidence of the
    hosts of the group.
    """
    found = []
    for group in presence.servable(region, now):
        entries = [hosts.get(host) for host in group.hosts]
        leader = entries[0]
        if leader is None or any(is_leaving(entry) for entry in entries):
            continue
        endpoint = Endpoint(
            group=group.name,
            fence=group.fence,
            model=group.model,
            version=group.version,
            adapters=group.adapters,
            address=leader["address"],
            data_centre=leader["data_centre"],
            size=len(group.hosts),
        )
        until = find_expiry(presence, group, now)
        found.append(TimedEndpoint(endpoint, until))
    return tuple(found)


def is_leaving(entry: HostEntry | None) -> bool:
    """Return whether the host list says that a host is leaving."""
    return entry is not None and entry["leaving"]


def find_expiry(presence: PresenceTable, group: Group, now: float) -> float:
    """Return when the oldest evidence of a group passes the age limit."""
    found = [presence.find(host, now) for host in group.hosts]
    oldest = min(one.sent_at if one else now - presence.limit for one in found)
    return oldest + presence.limit


def count_missing_groups(
    models: Iterable[ModelSpec], serving: Iterable[Endpoint]
) -> dict[str, int]:
    """Return how many wanted groups of each model do not serve."""
    counts = {spec["name"]: spec["groups"] for spec in models}
    for endpoint in serving:
        if endpoint.model in counts:
            counts[endpoint.model] -= 1
    return {name: max(0, count) for name, count in counts.items()}


def list_stranded(
    region: RegionState,
    presence: PresenceTable,
    hosts: Mapping[str, HostEntry],
    now: float,
) -> tuple[HostEntry, ...]:
    """Return the present hosts that are in no serving group."""
    serving = {
        host for group in presence.servable(region, now) for host in group.hosts
    }
    return tuple(
        entry
        for name, entry in hosts.items()
        if name not in serving and presence.find(name, now) is not None
    )
