"""Which hosts are probed, and which of them more often."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import EndpointTable
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase
from chervilrock.tasks.messages import HostsToProbe

INTERVAL_S = 0.25
"""Time after which the choice is made again."""

FREQUENT_S = 20.0
"""Time for which the hosts of a group that is not whole are probed often."""

FREQUENT_HOSTS = 64
"""Greatest number of hosts that are probed often."""


class _State(NamedTuple):
    """What makes a group worth a closer look."""

    group: str
    fence: int
    phase: GroupPhase


class ProbePlan:
    """Chooses the hosts to probe often: those of groups that will soon serve.

    A group that loads, or that serves by the log and is not whole here, begins
    to serve as soon as each of its hosts is seen ready. When that takes long,
    some more time for the probes matters no more.
    """

    def __init__(self) -> None:
        """Start without hosts."""
        self._since: dict[_State, float] = {}
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
        """Return the hosts to probe, or None when they are the same as before.

        Args:
          region: folded state of the region.
          endpoints: groups that may get requests.
          hosts: host list by name; another object when it has changed.
          now: present time in seconds.
        """
        listed = hosts is not self._hosts
        if not listed and now < self._chosen_at + INTERVAL_S:
            return None
        self._chosen_at = now
        frequent = self._find_frequent(region, endpoints, now)
        if not listed and frequent == self._frequent:
            return None
        self._hosts = hosts
        self._frequent = frequent
        return HostsToProbe(hosts, frequent)

    def _find_frequent(
        self, region: RegionState, endpoints: EndpointTable, now: float
    ) -> frozenset[str]:
        groups = {
            _State(group.name, group.fence, group.phase): group
            for group in _list_unready(region, endpoints)
        }
        self._since = {state: self._since.get(state, now) for state in groups}
        hosts = [
            host
            for state, group in groups.items()
            if now < self._since[state] + FREQUENT_S
            for host in (*group.hosts, *group.spares)
        ]
        return frozenset(hosts[:FREQUENT_HOSTS])


def _list_unready(
    region: RegionState, endpoints: EndpointTable
) -> Iterator[Group]:
    for group in region.groups.values():
        if group.phase is GroupPhase.LOADING:
            yield group
    yield from endpoints.list_broken()
