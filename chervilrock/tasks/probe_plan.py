"""Selection of the hosts to probe, and of those to probe more often."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import EndpointTable
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase
from chervilrock.tasks.messages import HostsToProbe

SELECTION_INTERVAL_S = 0.25
"""Interval of the selection."""

FREQUENT_PROBING_S = 20.0
"""Time for which the hosts of an incomplete group are probed often."""

MAX_FREQUENT_HOSTS = 64
"""Maximum number of hosts that are probed often."""


class _UnreadyGroup(NamedTuple):
    """State of a group whose hosts are probed often."""

    group: str
    fence: int
    phase: GroupPhase


class ProbePlan:
    """Chooses the hosts to probe often: those of groups that will soon serve.

    A group that is loading, or that serves according to the log and is
    incomplete here, begins to serve as soon as each of its hosts is observed
    ready. When that takes long, the extra delay of infrequent probes no longer
    matters.
    """

    def __init__(self) -> None:
        """Create a plan without hosts."""
        self._since: dict[_UnreadyGroup, float] = {}
        self._chosen_at = float("-inf")
        self._hosts: Mapping[str, HostEntry] = {}
        self._frequent: frozenset[str] = frozenset()

    def choose(
        self,
        region: RegionState,
        endpoints: EndpointTable,
        hosts: Mapping[str, HostEntry],
        now: float,
    ) -> HostsToProbe | None:
        """Return the hosts to probe, or None when they have not changed.

        Args:
          region: folded state of the region.
          endpoints: groups that may get requests.
          hosts: host list by name; another object when it has changed.
          now: current time in seconds.
        """
        is_new_list = hosts is not self._hosts
        if not is_new_list and now < self._chosen_at + SELECTION_INTERVAL_S:
            return None
        self._chosen_at = now
        frequent = self._find_frequent(region, endpoints, now)
        if not is_new_list and frequent == self._frequent:
            return None
        self._hosts = hosts
        self._frequent = frequent
        return HostsToProbe(hosts, frequent)

    def _find_frequent(
        self, region: RegionState, endpoints: EndpointTable, now: float
    ) -> frozenset[str]:
        groups = {
            _UnreadyGroup(group.name, group.fence, group.phase): group
            for group in _list_unready(region, endpoints)
        }
        self._since = {state: self._since.get(state, now) for state in groups}
        hosts = [
            host
            for state, group in groups.items()
            if now < self._since[state] + FREQUENT_PROBING_S
            for host in (*group.hosts, *group.spares)
        ]
        return frozenset(hosts[:MAX_FREQUENT_HOSTS])


def _list_unready(
    region: RegionState, endpoints: EndpointTable
) -> Iterator[Group]:
    for group in region.groups.values():
        if group.phase is GroupPhase.LOADING:
            yield group
    yield from endpoints.list_broken()
