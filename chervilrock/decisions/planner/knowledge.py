"""What a planner has learnt or is told beside the view."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.absence import AbsenceHistory
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import (
    estimate_load,
    estimate_worth,
    LoadTimes,
)
from chervilrock.generated.configuration import ModelSpec

_HORIZON_S = 4 * 3600.0
_SHORTEST_S = 60.0


class Knowledge(NamedTuple):
    """What decisions need beside the view.

    Attributes:
      times: how fast shards load
      history: past absences of hosts
      now: present time in seconds
    """

    times: LoadTimes
    history: AbsenceHistory
    now: float

    def get_age(self, group: GroupView) -> float:
        """Returns how long a broken group has been without a host, seconds.

        A host that leaves counts like one that was away for a minute: it is no
        short pause.
        """
        if group.missing_since is None:
            return _SHORTEST_S
        return max(0.0, self.now - group.missing_since)

    def estimate_rest(self, group: GroupView) -> float:
        """Returns the expected time until a broken group has its hosts back."""
        rest = self.history.estimate_rest(self.get_age(group))
        return min(max(rest, _SHORTEST_S), _HORIZON_S)

    def is_wait_better(self, draft: Draft, group: GroupView) -> bool:
        """Tells whether to wait for the missing hosts of a group."""
        losses = draft.inventory.get_losses(group)
        if group.missing_since is None or len(losses) > len(group.missing):
            return False
        age = max(0.0, self.now - group.missing_since)
        cost_s = estimate_load(self.times, len(losses))
        return self.history.is_wait_better(age, cost_s)

    def estimate_form(self, spec: ModelSpec) -> float:
        """Returns the time to load a whole group, in seconds."""
        return estimate_load(self.times, spec["hosts_per_group"])

    def estimate_horizon(self, draft: Draft, spec: ModelSpec) -> float:
        """Returns how long a missing group of a model stays missing.

        When hosts of its groups are away, that is until one is back; a group
        that never stood is missing for a long time.
        """
        rests = [
            self.estimate_rest(draft.inventory.groups[name])
            for name in draft.inventory.broken.get(spec["name"], ())
            if name not in draft.touched and name not in draft.waiting
        ]
        if len(rests) < draft.count_missing(spec):
            return _HORIZON_S
        return max(rests, default=_HORIZON_S)


def estimate_group_worth(draft: Draft, spec: ModelSpec) -> float:
    """Returns what a serving group of a model saves in a second."""
    inventory = draft.inventory
    return estimate_worth(
        spec, inventory.prices, inventory.accelerators_per_host
    )
