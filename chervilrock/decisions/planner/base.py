"""Base class of the planners."""

from abc import ABC, abstractmethod

from chervilrock.decisions.actions import Action, PlanInput


class GroupPlanner(ABC):
    """Chooses which replica groups to form, repair and dissolve."""

    @abstractmethod
    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a complete view, the most urgent first.

        The caller carries out the actions and calls again with the new view.
        Hosts of a dissolved group can be used only once the view reports them
        as free.

        Args:
          view: wanted models, costs, hosts and groups of the region.
          now: current time in seconds, on the clock of `missing_since`.
        """
