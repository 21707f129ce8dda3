"""A plan in the making: actions so far and the hosts that they use."""

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
    """Collects actions and keeps each host to one of them.

    Attributes:
      inventory: what is known of the region.
      actions: actions chosen so far.
      touched: names of the groups that an action changes already.
      forming: number of groups for each model that are or will be formed.
      waiting: names of the broken groups whose hosts may soon be back.
      locked: domains whose free hosts are meant for a later plan.
    """

    def __init__(self, *, inventory: Inventory) -> None:
        self.inventory = inventory
        self.actions: list[Action] = []
        self.touched: set[str] = set()
        self.forming: dict[str, int] = {}
        self.waiting: set[str] = set()
        self.locked: set[Domain] = set()
        self._taken: dict[Domain, set[str]] = {}
        self._dissolved: set[str] = set()
        self._changes: dict[str, int] = {}

    def list_free(self, domain: Domain) -> list[HostView]:
        """Returns the usable hosts of a domain that no action has taken."""
        names = self.inventory.free.get(domain, set())
        taken = self._taken.get(domain, set())
        return [self.inventory.hosts[name] for name in sorted(names - taken)]

    def count_free(self, domain: Domain) -> int:
        """Returns the number of hosts that `list_free` returns."""
        free = len(self.inventory.free.get(domain, ()))
        return free - len(self._taken.get(domain, ()))

    def count_coming(self, domain: Domain) -> int:
        """Returns the number of hosts of a domain that will soon be free."""
        names = self.inventory.groups_in_domain.get(domain, ())
        groups = (self.inventory.groups[name] for name in names)
        ending = sum(
            self._count_healthy(group, domain)
            for group in groups
            if self.is_ending(group)
        )
        return ending + len(self.inventory.releasing.get(domain, ()))

    def is_ending(self, group: GroupView) -> bool:
        """Tells whether a group ends, and is not repaired instead."""
        if group.name in self._dissolved:
            return True
        return is_ending(group) and group.name not in self.touched

    def list_groups(self, spec: ModelSpec) -> list[GroupView]:
        """Returns the groups of a model that neither end nor are to end."""
        names = self.inventory.groups_of_model.get(spec["name"], ())
        groups = (self.inventory.groups[name] for name in sorted(names))
        return [group for group in groups if not self.is_ending(group)]

    def is_whole(self, group: GroupView) -> bool:
        """Tells whether a group has all its hosts, or will after a repair."""
        if group.name in self.touched:
            return group.name not in self._dissolved
        return not self.inventory.get_losses(group)

    def count_missing(self, spec: ModelSpec) -> int:
        """Returns how many wanted groups no action or hope accounts for."""
        name = spec["name"]
        found = len(self.inventory.whole.get(name, ()))
        found += self._changes.get(name, 0) + self.forming.get(name, 0)
        return max(0, spec["groups"] - found)

    def count_serving(self, spec: ModelSpec) -> int:
        """Returns how many groups of a model serve and are left alone."""
        names = self.inventory.serving.get(spec["name"], set())
        return len(names) - sum(1 for name in self.touched if name in names)

    def wait(self, group: GroupView) -> None:
        """Notes that a broken group will get its hosts without more ado."""
        if group.name not in self.waiting:
            self.waiting.add(group.name)
            self._change(group, +1)

    def form(
        self, spec: ModelSpec, hosts: tuple[HostView, ...], domain: str
    ) -> None:
        """Adds a new group of a model."""
        self._take(hosts)
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
        """Notes that a group will be formed once hosts are free."""
        name = spec["name"]
        self.forming[name] = self.forming.get(name, 0) + 1

    def repair(
        self,
        group: GroupView,
        substitutes: dict[str, HostView],
        domain: str,
    ) -> None:
        """Adds a repair of a group, rank by rank.

        Args:
          group: the group.
          substitutes: the new host for each host that is replaced.
          domain: fabric domain after the repair.
        """
        self._take(tuple(substitutes.values()))
        self.touched.add(group.name)
        self._change(group, +1)
        hosts = tuple(
            substitutes[name].host if name in substitutes else name
            for name in group.hosts
        )
        self.actions.append(RepairGroup(group.name, group.fence, hosts, domain))

    def dissolve(self, group: GroupView, reason: str) -> None:
        """Adds the end of a group."""
        if group.name in self.inventory.whole.get(group.model, ()):
            self._change(group, -1)
        self.touched.add(group.name)
        self._dissolved.add(group.name)
        self.actions.append(DissolveGroup(group.name, group.fence, reason))

    def _change(self, group: GroupView, count: int) -> None:
        """Notes a change of the number of groups that are accounted for."""
        known = self._changes.get(group.model, 0)
        self._changes[group.model] = known + count

    def _take(self, hosts: tuple[HostView, ...]) -> None:
        for host in hosts:
            self._taken.setdefault(domain_of(host), set()).add(host.host)

    def _count_healthy(self, group: GroupView, domain: Domain) -> int:
        return sum(
            1
            for name in group.hosts
            if self.inventory.is_healthy(group, name)
            and domain_of(self.inventory.hosts[name]) == domain
        )
