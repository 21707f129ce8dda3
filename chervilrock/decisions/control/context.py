"""Everything that one decision of the controller looks at."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.actions import Action
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.evidence import Evidence
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase


class ControlTiming(NamedTuple):
    """Waiting times of the controller, in seconds.

    Attributes:
      order_timeout_s: longest time for which an order may be under way
      drain_settle_s: time in which every node has read that a group drains
      drain_limit_s: longest wait for the requests of a draining group
      lost_after_s: absence after which the requests of a group are lost
      quarantine_after_s: time for which a host may fail to prove itself empty
      rollout_pause_s: time for which the groups of a model must stand still
        before one more is taken down while some are missing
    """

    order_timeout_s: float = 2.0
    drain_settle_s: float = 2.0
    drain_limit_s: float = 600.0
    lost_after_s: float = 10.0
    quarantine_after_s: float = 30.0
    rollout_pause_s: float = 10.0


class ControlContext(NamedTuple):
    """State and input of one decision.

    Attributes:
      region: folded state of the region
      models: wanted models by name
      revision: configuration revision in force
      presence: evidence of the hosts
      hosts: host list by name
      actions: what the planner asks for
      progress: what is under way
      idle: names of draining groups without requests
      quiet_at: time from which no order of an earlier controller is under way
      until: end of the lease
      timing: waiting times
      now: present time in seconds
      wholes: answers of `is_whole` so far, by name and fencing number
    """

    region: RegionState
    models: Mapping[str, ModelSpec]
    revision: int
    presence: PresenceTable
    hosts: Mapping[str, HostEntry]
    actions: tuple[Action, ...]
    progress: Progress
    idle: frozenset[str]
    quiet_at: float
    until: float
    timing: ControlTiming
    now: float
    wholes: dict[tuple[str, int], bool]

    def find_evidence(self, host: str) -> Evidence | None:
        """Return the evidence of a host within the age limit."""
        return self.presence.find(host, self.now)

    def checks_fence(self, host: str) -> bool:
        """Return whether the engine surely refuses old fencing numbers.

        Both the host list and the engine must say so.
        """
        entry = self.hosts.get(host)
        evidence = self.presence.find_last(host)
        if entry is None or evidence is None:
            return False
        return entry["checks_fence"] and evidence.checks_fence

    def is_whole(self, group: Group) -> bool:
        """Return whether all hosts of a group are present and ready."""
        key = (group.name, group.fence)
        known = self.wholes.get(key)
        if known is None:
            known = self.wholes[key] = self.presence.whole(group, self.now)
        return known

    def is_serving(self, group: Group) -> bool:
        """Return whether a group serves requests now."""
        return group.phase is GroupPhase.SERVING and self.is_whole(group)

    def has_leaving(self, group: Group) -> bool:
        """Return whether the host list says that a host of it is leaving."""
        entries = (self.hosts.get(host) for host in group.hosts)
        return any(entry is not None and entry["leaving"] for entry in entries)

    def find_groups(self, model: str) -> list[Group]:
        """Return the groups of a model, oldest fencing number first."""
        groups = self.region.groups.values()
        found = [group for group in groups if group.model == model]
        return sorted(found, key=lambda group: group.fence)
