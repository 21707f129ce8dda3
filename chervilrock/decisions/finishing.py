"""Groups that get no new requests and complete the ones they have."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import is_leaving
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase

REFRESH_SHARE = 0.5
"""Share of the age limit below which the remaining time to an expiry triggers
a refresh. Until then the expiry time may be too early, never too late."""


class FinishingGroup(NamedTuple):
    """A whole group that completes requests that it got earlier.

    Attributes:
      group: name of the group
      fence: fencing number under which its hosts have loaded it
      until: expiry time of its oldest evidence, in seconds
    """

    group: str
    fence: int
    until: float


class FinishingTable:
    """The groups that drain or have a leaving host, as long as they are whole.

    There are few of them, so each is checked at each update. The list of
    candidates is rebuilt when the region or the host list has changed.
    """

    def __init__(self, *, presence: PresenceTable) -> None:
        """Create a table without groups.

        Args:
          presence: evidence of the hosts.
        """
        self._presence = presence
        self._region: RegionState | None = None
        self._upto = 0
        self._hosts: Mapping[str, HostEntry] = {}
        self._candidates: tuple[Group, ...] = ()
        self._finishing: dict[str, FinishingGroup] = {}

    def update(
        self,
        region: RegionState,
        hosts: Mapping[str, HostEntry],
        now: float,
    ) -> tuple[FinishingGroup, ...]:
        """Return the groups that may complete their requests.

        Args:
          region: folded state of the region.
          hosts: host list by name; a new object whenever it has changed.
          now: current time in seconds.
        """
        is_current = (
            region is self._region
            and region.upto == self._upto
            and hosts is self._hosts
        )
        if not is_current:
            self._region = region
            self._upto = region.upto
            self._hosts = hosts
            self._candidates = tuple(_list_candidates(region, hosts))
        self._finishing = {
            group.group: group for group in self._list_finishing(now)
        }
        return tuple(self._finishing.values())

    def _list_finishing(self, now: float) -> Iterator[FinishingGroup]:
        for candidate in self._candidates:
            group = self._find_whole(candidate, now)
            if group is not None:
                until = self._find_expiry(group, now)
                yield FinishingGroup(group.name, group.fence, until)

    def _find_whole(self, group: Group, now: float) -> Group | None:
        """Return the group with its actual hosts, None if it is not whole."""
        if group.phase is GroupPhase.SERVING:
            return self._presence.find_servable(group, now)
        return group if self._presence.whole(group, now) else None

    def _find_expiry(self, group: Group, now: float) -> float:
        previous = self._finishing.get(group.name)
        if previous is None or previous.fence != group.fence:
            return self._presence.find_expiry(group.hosts)
        if previous.until < now + self._presence.limit * REFRESH_SHARE:
            return self._presence.find_expiry(group.hosts)
        return previous.until


def _list_candidates(
    region: RegionState, hosts: Mapping[str, HostEntry]
) -> Iterator[Group]:
    for group in region.groups.values():
        if group.phase is GroupPhase.DRAINING:
            yield group
        if group.phase is not GroupPhase.SERVING:
            continue
        if any(is_leaving(hosts.get(host)) for host in group.hosts):
            yield group
