"""Estimates that a plan needs in addition to the view."""

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
_MIN_ABSENCE_S = 60.0


class PlanContext(NamedTuple):
    """Load times, absence history and time for the decisions of a plan.

    Attributes:
      times: parameters of the load times of shards
      history: past absences of hosts
      now: current time in seconds
    """

    times: LoadTimes
    history: AbsenceHistory
    now: float

    def get_age_s(self, group: GroupView) -> float:
        """Returns how long a broken group has lacked a host, in seconds.

        A leaving host counts like one that has been absent for a minute, as
        its absence is no short pause.
        """
        if group.missing_since is None:
            return _MIN_ABSENCE_S
        return max(0.0, self.now - group.missing_since)

    def estimate_remaining_s(self, group: GroupView) -> float:
        """Returns the expected time until a broken group has its hosts back."""
        remaining_s = self.history.estimate_remaining_s(self.get_age_s(group))
        return min(max(remaining_s, _MIN_ABSENCE_S), _HORIZON_S)

    def is_wait_better(self, draft: Draft, group: GroupView) -> bool:
        """Returns whether to wait for the missing hosts of a group."""
        losses = draft.inventory.get_losses(group)
        if group.missing_since is None or len(losses) > len(group.missing):
            return False
        age_s = max(0.0, self.now - group.missing_since)
        cost_s = estimate_load(self.times, len(losses))
        return self.history.is_wait_better(age_s, cost_s)

    def estimate_form(self, spec: ModelSpec) -> float:
        """Returns the time to load a whole group, in seconds."""
        return estimate_load(self.times, spec["hosts_per_group"])

    def estimate_horizon(self, draft: Draft, spec: ModelSpec) -> float:
        """Returns how long a missing group of a model stays missing, seconds.

        For a broken group, that is until its hosts are expected back. A group
        that was never formed counts as missing for the maximum time.
        """
        remaining_times_s = [
            self.estimate_remaining_s(draft.inventory.groups[name])
            for name in draft.inventory.broken.get(spec["name"], ())
            if name not in draft.changed_groups and name not in draft.waiting
        ]
        if len(remaining_times_s) < draft.count_missing(spec):
            return _HORIZON_S
        return max(remaining_times_s, default=_HORIZON_S)


def estimate_group_worth(draft: Draft, spec: ModelSpec) -> float:
    """Returns the cost that a serving group of a model saves per second."""
    inventory = draft.inventory
    return estimate_worth(
        spec, inventory.prices, inventory.accelerators_per_host
    )
