"""A plan under construction: its actions and the hosts that they use."""

from chervilrock.decisions.actions import (
    Action,
    DissolveGroup,
    FormGroup,
    GroupView,
    HostView,
    RepairGroup,
)
from chervilrock.decisions.planner.inventory import domain_of, Inventory
from chervilrock.decisions.planner.specs import Domain, is_ending
from chervilrock.generated.configuration import ModelSpec


class Draft:
    """Collects actions and assigns each host to at most one of them.

    Attributes:
      inventory: index of the region.
      actions: actions chosen so far.
      touched: names of the groups that an action changes already.
      forming: number of groups to form for each model, now or later.
      waiting: names of the broken groups that need no action to get hosts.
      locked: domains whose free hosts are kept for a later plan.
    """

    def __init__(self, *, inventory: Inventory) -> None:
        self.inventory = inventory
        self.actions: list[Action] = []
        self.changed_groups: set[str] = set()
        self.forming: dict[str, int] = {}
        self.waiting: set[str] = set()
        self.reserved_domains: set[Domain] = set()
        self._assigned: dict[Domain, set[str]] = {}
        self._dissolved: set[str] = set()
        self._changes: dict[str, int] = {}

    def list_free(self, domain: Domain) -> list[HostView]:
        """Returns the usable hosts of a domain that no action uses."""
        names = self.inventory.free.get(domain, set())
        assigned = self._assigned.get(domain, set())
        return [self.inventory.hosts[name] for name in sorted(names - assigned)]

    def count_free(self, domain: Domain) -> int:
        """Returns the number of hosts that `list_free` returns."""
        free = len(self.inventory.free.get(domain, ()))
        return free - len(self._assigned.get(domain, ()))

    def count_soon_free(self, domain: Domain) -> int:
        """Returns the number of hosts of a domain that will soon be free."""
        names = self.inventory.groups_in_domain.get(domain, ())
        groups = (self.inventory.groups[name] for name in names)
        ending_hosts = sum(
            self._count_healthy(group, domain)
            for group in groups
            if self.is_ending(group)
        )
        return ending_hosts + len(self.inventory.releasing.get(domain, ()))

    def is_ending(self, group: GroupView) -> bool:
        """Returns whether a group is dissolved and not repaired instead."""
        if group.name in self._dissolved:
            return True
        return is_ending(group) and group.name not in self.changed_groups

    def list_groups(self, spec: ModelSpec) -> list[GroupView]:
        """Returns the groups of a model that are not and will not be ending."""
        names = self.inventory.groups_of_model.get(spec["name"], ())
        groups = (self.inventory.groups[name] for name in sorted(names))
        return [group for group in groups if not self.is_ending(group)]

    def is_whole(self, group: GroupView) -> bool:
        """Returns whether a group has all its hosts now or after its repair."""
        if group.name in self.changed_groups:
            return group.name not in self._dissolved
        return not self.inventory.get_losses(group)

    def count_missing(self, spec: ModelSpec) -> int:
        """Returns how many wanted groups the plan does not provide yet.

        Groups that will be formed or repaired or that wait for their hosts
        count as provided.
        """
        name = spec["name"]
        found = len(self.inventory.whole.get(name, ()))
        found += self._changes.get(name, 0) + self.forming.get(name, 0)
        return max(0, spec["groups"] - found)

    def count_serving(self, spec: ModelSpec) -> int:
        """Returns how many groups of a model serve and stay unchanged."""
        names = self.inventory.serving.get(spec["name"], set())
        return len(names) - sum(
            1 for name in self.changed_groups if name in names
        )

    def mark_waiting(self, group: GroupView) -> None:
        """Records that a broken group will get hosts without an action now."""
        if group.name not in self.waiting:
            self.waiting.add(group.name)
            self._count_change(group, +1)

    def form(
        self, spec: ModelSpec, hosts: tuple[HostView, ...], domain: str
    ) -> None:
        """Adds a new group of a model."""
        self._assign(hosts)
        name = spec["name"]
        self.forming[name] = self.forming.get(name, 0) + 1
        self.actions.append(
            FormGroup(
                name,
                spec["version"],
                tuple(spec.get("adapters", ())),
                tuple(host.host for host in hosts),
                domain,
            )
        )

    def postpone(self, spec: ModelSpec) -> None:
        """Records that a group will be formed once hosts are free."""
        name = spec["name"]
        self.forming[name] = self.forming.get(name, 0) + 1

    def repair(
        self,
        group: GroupView,
        substitutes: dict[str, HostView],
        domain: str,
    ) -> None:
        """Adds a repair of a group that keeps its other ranks.

        Args:
          group: the group.
          substitutes: new host by the name of the host that it replaces.
          domain: fabric domain after the repair.
        """
        self._assign(tuple(substitutes.values()))
        self.changed_groups.add(group.name)
        self._count_change(group, +1)
        hosts = tuple(
            substitutes[name].host if name in substitutes else name
            for name in group.hosts
        )
        self.actions.append(RepairGroup(group.name, group.fence, hosts, domain))

    def dissolve(self, group: GroupView, reason: str) -> None:
        """Adds the dissolution of a group."""
        if group.name in self.inventory.whole.get(group.model, ()):
            self._count_change(group, -1)
        self.changed_groups.add(group.name)
        self._dissolved.add(group.name)
        self.actions.append(DissolveGroup(group.name, group.fence, reason))

    def _count_change(self, group: GroupView, count: int) -> None:
        """Records a change of the number of groups that the plan provides."""
        known = self._changes.get(group.model, 0)
        self._changes[group.model] = known + count

    def _assign(self, hosts: tuple[HostView, ...]) -> None:
        for host in hosts:
            self._assigned.setdefault(domain_of(host), set()).add(host.host)

    def _count_healthy(self, group: GroupView, domain: Domain) -> int:
        return sum(
            1
            for name in group.hosts
            if self.inventory.is_healthy(group, name)
            and domain_of(self.inventory.hosts[name]) == domain
        )
