"""The planner: a full plan, and an index that is kept between plans."""

from chervilrock.decisions.actions import Action, PlanInput
from chervilrock.decisions.planner.absence import AbsenceHistory
from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import LoadTimes
from chervilrock.decisions.planner.inventory import Inventory
from chervilrock.decisions.planner.knowledge import Knowledge
from chervilrock.decisions.planner.policy import decide


def plan(view: PlanInput, now: float) -> tuple[Action, ...]:
    """Returns the actions for a whole view, the most urgent first.

    It knows no history; a `Planner` learns one from the views it sees.

    Args:
      view: wanted models, costs, hosts and groups of the region.
      now: present time in seconds.
    """
    return Planner().plan(view, now)


class Planner(GroupPlanner):
    """Plans with the policy of this package and learns from what it sees."""

    def __init__(
        self, *, times: LoadTimes | None = None, rearranges: bool = True
    ) -> None:
        """Starts without a history.

        Args:
          times: how fast shards load, None for an assumption.
          rearranges: whether groups may be dissolved for better ones.
        """
        self._rearranges = rearranges
        self._times = times or LoadTimes()
        self._history = AbsenceHistory()
        self._absent_since: dict[str, float] = {}

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view, the most urgent first."""
        self._learn(view, now)
        draft = Draft(inventory=Inventory(view=view))
        knowledge = Knowledge(self._times, self._history, now)
        decide(draft, knowledge, rearranges=self._rearranges)
        return tuple(draft.actions)

    def _learn(self, view: PlanInput, now: float) -> None:
        """Notes which hosts went and which came back."""
        for host in view.hosts:
            if not host.present:
                self._absent_since.setdefault(host.host, now)
            elif host.host in self._absent_since:
                since = self._absent_since.pop(host.host)
                self._history.add(now - since)
