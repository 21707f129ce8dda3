"""State and input of one decision of the controller."""

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
    """Timeouts and delays of the controller, in seconds.

    Attributes:
      order_timeout_s: longest time for which an order may be in flight
      drain_settle_s: time within which every node has read that a group is
        draining
      drain_limit_s: longest wait for the requests of a draining group to
        complete
      lost_after_s: absence of a host after which the requests of its group are
        lost
      quarantine_after_s: time after which a host that is not proved empty is
        quarantined
      rollout_pause_s: time for which the groups of a model must stay unchanged
        before another one is taken down while some are missing
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
      region: state of the region, folded from its stream
      models: configured models by name
      revision: configuration revision in force
      presence: evidence of the hosts
      hosts: host list by name
      actions: actions that the planner requests
      progress: pending records and orders
      idle: names of draining groups without requests
      quiet_at: time from which no order of an earlier controller is in
        flight
      lease_ends_at: end of the controller's lease
      timing: timeouts and delays
      now: current time in seconds
      whole_groups: cached results of `is_whole`, by name and fencing number
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
    lease_ends_at: float
    timing: ControlTiming
    now: float
    whole_groups: dict[tuple[str, int], bool]

    def find_evidence(self, host: str) -> Evidence | None:
        """Return the evidence of a host within the age limit."""
        return self.presence.find(host, self.now)

    def checks_fence(self, host: str) -> bool:
        """Return whether the engine is known to reject old fencing numbers.

        Both the host list and the engine must report it.
        """
        entry = self.hosts.get(host)
        evidence = self.presence.find_last(host)
        if entry is None or evidence is None:
            return False
        return entry["checks_fence"] and evidence.checks_fence

    def is_whole(self, group: Group) -> bool:
        """Return whether all hosts of a group are present and ready."""
        key = (group.name, group.fence)
        known = self.whole_groups.get(key)
        if known is None:
            known = self.whole_groups[key] = self.presence.whole(
                group, self.now
            )
        return known

    def is_serving(self, group: Group) -> bool:
        """Return whether a group serves requests now."""
        return group.phase is GroupPhase.SERVING and self.is_whole(group)

    def has_leaving(self, group: Group) -> bool:
        """Return whether the host list marks a host of the group as leaving."""
        entries = (self.hosts.get(host) for host in group.hosts)
        return any(entry is not None and entry["leaving"] for entry in entries)

    def find_groups(self, model: str) -> list[Group]:
        """Return the groups of a model, oldest fencing number first."""
        groups = self.region.groups.values()
        found = [group for group in groups if group.model == model]
        return sorted(found, key=lambda group: group.fence)
