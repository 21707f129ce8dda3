"""The planner: a full plan, and an index that is kept between plans."""

from chervilrock.decisions.actions import (
    Action,
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner.absence import AbsenceHistory
from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import LoadTimes
from chervilrock.decisions.planner.inventory import domain_of, Inventory
from chervilrock.decisions.planner.knowledge import Knowledge
from chervilrock.decisions.planner.loads import LoadHistory
from chervilrock.decisions.planner.order import order_actions
from chervilrock.decisions.planner.policy import (
    decide,
    decide_domain,
    decide_group,
)
from chervilrock.decisions.planner.releases import ReleaseHistory
from chervilrock.generated.configuration import ModelSpec

_EMPTY = PlanInput((), Prices(), (), ())


def plan(view: PlanInput, now: float) -> tuple[Action, ...]:
    """Returns the actions for a whole view, the most urgent first.

    It knows no history; a `Planner` learns one from the views it sees.

    Args:
      view: wanted models, costs, hosts and groups of the region.
      now: present time in seconds.
    """
    return Planner().plan(view, now)


class Planner(GroupPlanner):
    """Plans with the policy of this package and learns from what it sees.

    `plan` takes a whole view. Between whole views the index can be kept up to
    date with single changes, each of which answers with the actions that it
    alone calls for: the work grows with the groups of a model and the hosts
    of a domain, not with all hosts.
    """

    def __init__(
        self, *, times: LoadTimes | None = None, rearranges: bool = True
    ) -> None:
        """Starts without a history.

        Args:
          times: how fast shards load, None to learn it.
          rearranges: whether groups may be dissolved for better ones.
        """
        self._rearranges = rearranges
        self._times = times
        self._loads = LoadHistory()
        self._releases = ReleaseHistory()
        self._history = AbsenceHistory()
        self._absent_since: dict[str, float] = {}
        self._inventory = Inventory(view=_EMPTY)

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view, the most urgent first."""
        self._inventory = Inventory(view=self._releases.mark(view, now))
        for host in view.hosts:
            self._learn(host, now)
        self._loads.observe(view.groups, now)
        return self.replan(now)

    def replan(self, now: float) -> tuple[Action, ...]:
        """Returns the actions for everything in the index."""
        draft = Draft(inventory=self._inventory)
        knowledge = self._know(now)
        decide(draft, knowledge, rearranges=self._rearranges)
        return order_actions(draft, knowledge)

    def lose_host(self, name: str, now: float) -> tuple[Action, ...]:
        """Notes that a host is missing, and repairs its group.

        Args:
          name: name of the host.
          now: present time in seconds.

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
        decide_group(draft, self._know(now), group, rearranges=self._rearranges)
        return tuple(draft.actions)

    def gain_host(self, host: HostView, now: float) -> tuple[Action, ...]:
        """Notes that a host is there, and uses it in its fabric domain.

        Args:
          host: the host; its group, if any, is known from before.
          now: present time in seconds.
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
        knowledge = self._know(now)
        decide_domain(draft, knowledge, domain_of(host))
        return order_actions(draft, knowledge)

    def change_configuration(
        self, models: tuple[ModelSpec, ...], costs: Prices, now: float
    ) -> tuple[Action, ...]:
        """Takes over wanted models and costs, and plans everything."""
        self._inventory.set_configuration(models, costs)
        return self.replan(now)

    def put_host(self, host: HostView, now: float) -> None:
        """Adds a host to the index or replaces what is known of it."""
        self._inventory.put_host(host)
        self._learn(host, now)

    def put_group(self, group: GroupView) -> None:
        """Adds a group to the index or replaces what is known of it."""
        self._inventory.put_group(group)

    def remove_group(self, name: str) -> None:
        """Removes a dissolved group from the index."""
        self._inventory.remove_group(name)

    def _know(self, now: float) -> Knowledge:
        times = self._times
        if times is None:
            times = self._loads.estimate(len(self._inventory.hosts))
        return Knowledge(times, self._history, now)

    def _learn(self, host: HostView, now: float) -> None:
        """Notes when a host went, and for how long once it is back."""
        if not host.present:
            self._absent_since.setdefault(host.host, now)
        elif host.host in self._absent_since:
            since = self._absent_since.pop(host.host)
            self._history.add(now - since)
