"""The planner, with an index of the region that is kept between plans."""

from chervilrock.decisions.actions import (
    Action,
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner.absence import AbsenceHistory
from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.context import PlanContext
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import LoadTimes
from chervilrock.decisions.planner.inventory import domain_of, Inventory
from chervilrock.decisions.planner.loads import LoadHistory
from chervilrock.decisions.planner.order import order_actions
from chervilrock.decisions.planner.policy import (
    decide,
    decide_domain,
    decide_group,
)
from chervilrock.decisions.planner.releases import ReleaseHistory
from chervilrock.generated.configuration import ModelSpec

_EMPTY_VIEW = PlanInput((), Prices(), (), ())


def plan(view: PlanInput, now: float) -> tuple[Action, ...]:
    """Returns the actions for a complete view, the most urgent first.

    It has no history; a `Planner` builds one from the views that it receives.

    Args:
      view: wanted models, costs, hosts and groups of the region.
      now: current time in seconds.
    """
    return Planner().plan(view, now)


class Planner(GroupPlanner):
    """Plans with the policy of this package and keeps a history of the region.

    `plan` uses a complete view. Between complete views the index can be updated
    with single changes, each of which returns just the actions that it
    requires. The work for a change grows with the groups of a model and the
    hosts of a domain, not with all hosts.
    """

    def __init__(
        self, *, times: LoadTimes | None = None, may_rearrange: bool = True
    ) -> None:
        """Create a planner without a history.

        Args:
          times: parameters of the load times, None to estimate them.
          may_rearrange: whether groups may be dissolved for more valuable ones.
        """
        self._may_rearrange = may_rearrange
        self._times = times
        self._loads = LoadHistory()
        self._releases = ReleaseHistory()
        self._history = AbsenceHistory()
        self._absent_since: dict[str, float] = {}
        self._inventory = Inventory(view=_EMPTY_VIEW)

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a complete view, the most urgent first."""
        self._inventory = Inventory(
            view=self._releases.mark_releasing(view, now)
        )
        for host in view.hosts:
            self._record_presence(host, now)
        self._loads.observe(view.groups, now)
        return self.replan(now)

    def replan(self, now: float) -> tuple[Action, ...]:
        """Returns the actions for the whole region as indexed."""
        draft = Draft(inventory=self._inventory)
        context = self._make_context(now)
        decide(draft, context, may_rearrange=self._may_rearrange)
        return order_actions(draft, context)

    def handle_lost_host(self, name: str, now: float) -> tuple[Action, ...]:
        """Records that a host is missing, and plans the repair of its group.

        Args:
          name: name of the host.
          now: current time in seconds.

        Returns:
          The actions for this loss; none when the host was in no group or is
          expected back soon.
        """
        inventory = self._inventory
        host = inventory.hosts.get(name)
        if host is None or not host.present:
            return ()
        self.put_host(host._replace(present=False), now)
        group = inventory.groups.get(inventory.owner.get(name, ""))
        if group is None:
            return ()
        since = now if group.missing_since is None else group.missing_since
        group = group._replace(
            missing=(*group.missing, name), missing_since=since
        )
        inventory.put_group(group)
        draft = Draft(inventory=inventory)
        decide_group(
            draft,
            self._make_context(now),
            group,
            may_rearrange=self._may_rearrange,
        )
        return tuple(draft.actions)

    def handle_returned_host(
        self, host: HostView, now: float
    ) -> tuple[Action, ...]:
        """Records that a host is present, and plans for its fabric domain.

        Args:
          host: the host; its group, if any, is in the index already.
          now: current time in seconds.
        """
        inventory = self._inventory
        self.put_host(host, now)
        group = inventory.groups.get(inventory.owner.get(host.host, ""))
        if group is not None and host.host in group.missing:
            missing = tuple(n for n in group.missing if n != host.host)
            since = group.missing_since if missing else None
            inventory.put_group(
                group._replace(missing=missing, missing_since=since)
            )
        draft = Draft(inventory=inventory)
        context = self._make_context(now)
        decide_domain(draft, context, domain_of(host))
        return order_actions(draft, context)

    def change_configuration(
        self, models: tuple[ModelSpec, ...], costs: Prices, now: float
    ) -> tuple[Action, ...]:
        """Replaces the wanted models and costs, and plans the whole region."""
        self._inventory.set_configuration(models, costs)
        return self.replan(now)

    def put_host(self, host: HostView, now: float) -> None:
        """Adds a host to the index or replaces its entry."""
        self._inventory.put_host(host)
        self._record_presence(host, now)

    def put_group(self, group: GroupView) -> None:
        """Adds a group to the index or replaces its entry."""
        self._inventory.put_group(group)

    def remove_group(self, name: str) -> None:
        """Removes a dissolved group from the index."""
        self._inventory.remove_group(name)

    def _make_context(self, now: float) -> PlanContext:
        times = self._times
        if times is None:
            times = self._loads.estimate(len(self._inventory.hosts))
        return PlanContext(times, self._history, now)

    def _record_presence(self, host: HostView, now: float) -> None:
        """Records when a host became absent, and the length once it returns."""
        if not host.present:
            self._absent_since.setdefault(host.host, now)
        elif host.host in self._absent_since:
            since = self._absent_since.pop(host.host)
            self._history.add(now - since)
