"""Groups that get nothing new and finish what they have."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import is_leaving
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase

REFRESH_SHARE = 0.5
"""Share of the age limit that has to be left of an end of validity, or it is
found anew. It is too early until then, never too late."""


class FinishingGroup(NamedTuple):
    """A group that is whole and works on what it was sent before.

    Attributes:
      group: name of the group
      fence: fencing number under which its hosts hold it
      until: end of the age limit of its oldest evidence, in seconds
    """

    group: str
    fence: int
    until: float


class FinishingTable:
    """The groups that drain or have a leaving host, as long as they are whole.

    They are few, so each is judged at each update; which groups they are is
    found anew when the region or the host list has changed.
    """

    def __init__(self, *, presence: PresenceTable) -> None:
        """Start without groups.

        Args:
          presence: evidence of the hosts.
        """
        self._presence = presence
        self._region: RegionState | None = None
        self._upto = 0
        self._hosts: Mapping[str, HostEntry] = {}
        self._candidates: tuple[Group, ...] = ()
        self._known: dict[str, FinishingGroup] = {}

    def update(
        self,
        region: RegionState,
        hosts: Mapping[str, HostEntry],
        now: float,
    ) -> tuple[FinishingGroup, ...]:
        """Return the groups that may finish what they have.

        Args:
          region: folded state of the region.
          hosts: host list by name; another object when it has changed.
          now: present time in seconds.
        """
        known = (
            region is self._region
            and region.upto == self._upto
            and hosts is self._hosts
        )
        if not known:
            self._region = region
            self._upto = region.upto
            self._hosts = hosts
            self._candidates = tuple(_list_candidates(region, hosts))
        self._known = {one.group: one for one in self._judge(now)}
        return tuple(self._known.values())

    def _judge(self, now: float) -> Iterator[FinishingGroup]:
        for candidate in self._candidates:
            group = self._find_whole(candidate, now)
            if group is not None:
                until = self._find_end(group, now)
                yield FinishingGroup(group.name, group.fence, until)

    def _find_whole(self, group: Group, now: float) -> Group | None:
        """Return the group with the hosts that it has now, if it is whole."""
        if group.phase is GroupPhase.SERVING:
            return self._presence.find_servable(group, now)
        return group if self._presence.whole(group, now) else None

    def _find_end(self, group: Group, now: float) -> float:
        known = self._known.get(group.name)
        if known is None or known.fence != group.fence:
            return self._presence.find_expiry(group.hosts)
        if known.until < now + self._presence.limit * REFRESH_SHARE:
            return self._presence.find_expiry(group.hosts)
        return known.until


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
