"""What requests are routed by, and figures of a region for operators."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.routing.base import Endpoint
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry


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
