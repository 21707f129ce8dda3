"""Endpoints that requests are routed to, and statistics of a region."""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.routing.base import Endpoint
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase

REFRESHES_PER_LIMIT = 6
"""Number of times per age limit at which expiry times are refreshed."""

_NEVER = float("-inf")


class TimedEndpoint(NamedTuple):
    """A group that may get requests for a limited time.

    Attributes:
      endpoint: the group
      until: expiry time of its oldest evidence, in seconds
    """

    endpoint: Endpoint
    until: float


class EndpointChange(NamedTuple):
    """Result of an update of the endpoints.

    Attributes:
      groups: whether the set of groups that may get requests has changed, or
        the endpoint of one of them
      expiries: whether the expiry times were refreshed
    """

    groups: bool
    expiries: bool


class _Entry:
    """A group in the phase `serving`.

    Attributes:
      group: the recorded group
      servable: the group as it may serve, None if it may not
      endpoint: endpoint for requests, None if there is none
      until: expiry time of its oldest evidence, in seconds
    """

    __slots__ = ("group", "servable", "endpoint", "until")

    def __init__(self, group: Group) -> None:
        self.group = group
        self.servable: Group | None = None
        self.endpoint: Endpoint | None = None
        self.until = _NEVER


class EndpointTable:
    """The groups that may get requests, updated incrementally.

    A group is checked again when its record, the host list or the evidence of
    one of its hosts has changed, and when its evidence expires. Evidence that
    was only confirmed is evaluated a few times per age limit, for all groups
    at once. Until then the expiry time is too early, never too late. Routers
    check it at each request.

    Attributes:
      endpoints: groups that may get requests, with their expiry times
    """

    def __init__(self, *, presence: PresenceTable) -> None:
        """Create a table without groups."""
        self.endpoints: tuple[TimedEndpoint, ...] = ()
        self._presence = presence
        self._entries: dict[str, _Entry] = {}
        self._hosts: Mapping[str, HostEntry] = {}
        self._region: RegionState | None = None
        self._upto = 0
        self._refresh_at = _NEVER
        self._expires_at = float("inf")
        self._published_groups: tuple[Endpoint, ...] = ()

    def update(
        self,
        region: RegionState,
        hosts: Mapping[str, HostEntry],
        changed: Iterable[str],
        now: float,
    ) -> EndpointChange:
        """Bring the endpoints up to date.

        Args:
          region: folded state of the region.
          hosts: host list by name; a new object whenever it has changed.
          changed: hosts whose evidence has changed since the last call.
          now: current time in seconds.
        """
        stale = self._update_groups(region)
        for host in changed:
            ownership = region.owners.get(host)
            if ownership is not None:
                stale.add(ownership.group)
        if hosts is not self._hosts:
            self._hosts = hosts
            stale.update(self._entries)
        due = now >= min(self._refresh_at, self._expires_at)
        if due:
            stale.update(self._refresh(now))
        for name in stale & self._entries.keys():
            self._update_entry(self._entries[name], now)
        if not stale and not due:
            return EndpointChange(groups=False, expiries=False)
        return EndpointChange(groups=self._rebuild_endpoints(now), expiries=due)

    def list_servable(self) -> Iterator[Group]:
        """Yield the groups that may serve, even with a leaving host."""
        for entry in self._entries.values():
            if entry.servable is not None:
                yield entry.servable

    def list_broken(self) -> Iterator[Group]:
        """Yield the serving groups that are not whole as recorded."""
        for entry in self._entries.values():
            if entry.servable is not entry.group:
                yield entry.group

    def list_whole(self) -> Iterator[Group]:
        """Yield the serving groups that are whole as recorded."""
        for entry in self._entries.values():
            if entry.servable is entry.group:
                yield entry.group

    def _update_groups(self, region: RegionState) -> set[str]:
        """Adopt the recorded groups; return the names of changed ones."""
        if region is self._region and region.upto == self._upto:
            return set()
        self._region = region
        self._upto = region.upto
        serving = {
            name: group
            for name, group in region.groups.items()
            if group.phase is GroupPhase.SERVING
        }
        changed = {
            name
            for name in self._entries.keys() | serving.keys()
            if name not in self._entries
            or self._entries[name].group is not serving.get(name)
        }
        for name in changed:
            self._entries.pop(name, None)
            if name in serving:
                self._entries[name] = _Entry(serving[name])
        return changed

    def _refresh(self, now: float) -> set[str]:
        """Refresh the expiry times; return the groups to check."""
        self._refresh_at = now + self._presence.limit / REFRESHES_PER_LIMIT
        stale: set[str] = set()
        for name, entry in self._entries.items():
            if entry.servable is not None:
                entry.until = self._presence.find_expiry(entry.servable.hosts)
            if entry.servable is None or entry.until <= now:
                stale.add(name)
        return stale

    def _update_entry(self, entry: _Entry, now: float) -> None:
        servable = self._presence.find_servable(entry.group, now)
        entry.servable = servable
        if servable is None:
            entry.until = _NEVER
            entry.endpoint = None
            return
        self._presence.intern_incarnations(servable)
        entry.until = self._presence.find_expiry(servable.hosts)
        endpoint = self._make_endpoint(servable)
        if endpoint != entry.endpoint:
            entry.endpoint = endpoint

    def _make_endpoint(self, group: Group) -> Endpoint | None:
        """Return the endpoint of a group for requests.

        A group with a leaving host has none, even before the controller
        drains it.
        """
        entries = [self._hosts.get(host) for host in group.hosts]
        leader = entries[0]
        if leader is None or any(map(is_leaving, entries)):
            return None
        return Endpoint(
            group=group.name,
            fence=group.fence,
            model=group.model,
            version=group.version,
            adapters=group.adapters,
            address=leader["address"],
            data_centre=leader["data_centre"],
            size=len(group.hosts),
        )

    def _rebuild_endpoints(self, now: float) -> bool:
        """Rebuild the endpoints; return whether any of them changed."""
        self._expires_at = min(
            (
                entry.until
                for entry in self._entries.values()
                if entry.servable is not None
            ),
            default=float("inf"),
        )
        self.endpoints = tuple(
            TimedEndpoint(entry.endpoint, entry.until)
            for entry in self._entries.values()
            if entry.endpoint is not None and now < entry.until
        )
        groups = tuple(timed.endpoint for timed in self.endpoints)
        changed = groups != self._published_groups
        self._published_groups = groups
        return changed


def is_leaving(entry: HostEntry | None) -> bool:
    """Return whether the host list marks a host as leaving."""
    return entry is not None and entry["leaving"]


def count_missing_groups(
    models: Iterable[ModelSpec], serving: Iterable[Endpoint]
) -> dict[str, int]:
    """Return the number of wanted groups of each model not serving."""
    counts = {spec["name"]: spec["groups"] for spec in models}
    for endpoint in serving:
        if endpoint.model in counts:
            counts[endpoint.model] -= 1
    return {name: max(0, count) for name, count in counts.items()}


def list_stranded(
    servable: Iterable[Group],
    presence: PresenceTable,
    hosts: Mapping[str, HostEntry],
    now: float,
) -> tuple[HostEntry, ...]:
    """Return the present hosts that are not in a servable group."""
    serving = {host for group in servable for host in group.hosts}
    return tuple(
        entry
        for name, entry in hosts.items()
        if name not in serving and presence.find(name, now) is not None
    )
