"""A plan in the making: actions so far and the hosts that they use."""

from chervilrock.decisions.actions import (
    Action,
    DissolveGroup,
    FormGroup,
    GroupView,
    HostView,
    RepairGroup,
)
from chervilrock.decisions.planner.inventory import Domain, Inventory
from chervilrock.decisions.planner.specs import is_ending
from chervilrock.generated.configuration import ModelSpec


class Draft:
    """Collects actions and keeps each host to one of them.

    Attributes:
      inventory: what is known of the region.
      actions: actions chosen so far, the most urgent first.
      touched: names of the groups that an action changes already.
      forming: number of new groups for each model.
    """

    def __init__(self, *, inventory: Inventory) -> None:
        self.inventory = inventory
        self.actions: list[Action] = []
        self.touched: set[str] = set()
        self.forming: dict[str, int] = {}
        self._taken: dict[Domain, set[str]] = {}
        self._dissolved: set[str] = set()

    def list_free(self, domain: Domain) -> list[HostView]:
        """Returns the usable hosts of a domain that no action has taken."""
        names = self.inventory.free.get(domain, set())
        taken = self._taken.get(domain, set())
        return [self.inventory.hosts[name] for name in sorted(names - taken)]

    def count_free(self, domain: Domain) -> int:
        """Returns the number of hosts that `list_free` returns."""
        free = len(self.inventory.free.get(domain, ()))
        return free - len(self._taken.get(domain, ()))

    def list_groups(self, spec: ModelSpec) -> list[GroupView]:
        """Returns the groups of a model that neither end nor are to end."""
        names = self.inventory.groups_of_model.get(spec["name"], ())
        groups = (self.inventory.groups[name] for name in sorted(names))
        return [
            group
            for group in groups
            if not is_ending(group) and group.name not in self._dissolved
        ]

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
        hosts = tuple(
            substitutes[name].host if name in substitutes else name
            for name in group.hosts
        )
        self.actions.append(RepairGroup(group.name, group.fence, hosts, domain))

    def dissolve(self, group: GroupView, reason: str) -> None:
        """Adds the end of a group."""
        self.touched.add(group.name)
        self._dissolved.add(group.name)
        self.actions.append(DissolveGroup(group.name, group.fence, reason))

    def _take(self, hosts: tuple[HostView, ...]) -> None:
        for host in hosts:
            domain = Domain(host.data_centre, host.domain)
            self._taken.setdefault(domain, set()).add(host.host)
