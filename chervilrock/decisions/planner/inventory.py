"""Index over the hosts, the groups and the wanted models of a region."""

from collections.abc import Iterable
from typing import TypeVar

from chervilrock.decisions.actions import (
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
)
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase

_Key = TypeVar("_Key")


class Inventory:
    """Index of the hosts, groups and wanted models of a region.

    Attributes:
      hosts: hosts by name.
      groups: groups by name that are not dissolved.
      models: wanted models by name.
      prices: costs that apply now.
      free: names of the hosts that may be used, for each fabric domain that
        has any.
      releasing: names of the hosts that will soon be free, for each fabric
        domain that has any.
      owner: name of the group for each host that is in one.
      groups_of_model: names of the groups for each model that has any.
      groups_in_domain: names of the groups with a host in a domain.
      serving: names of the groups that serve, for each model that has any.
      whole: names of the groups of the wanted version that have all hosts and
        do not end, for each model that has any.
      broken: names of the groups of the wanted version that have lost a host,
        for each model that has any.
      accelerators_per_host: average number of accelerators per host.
    """

    def __init__(self, *, view: PlanInput) -> None:
        self.hosts: dict[str, HostView] = {}
        self.groups: dict[str, GroupView] = {}
        self.models: dict[str, ModelSpec] = {}
        self.prices = view.prices
        self.free: dict[Domain, set[str]] = {}
        self.releasing: dict[Domain, set[str]] = {}
        self.owner: dict[str, str] = {}
        self.groups_of_model: dict[str, set[str]] = {}
        self.groups_in_domain: dict[Domain, set[str]] = {}
        self.serving: dict[str, set[str]] = {}
        self.whole: dict[str, set[str]] = {}
        self.broken: dict[str, set[str]] = {}
        self._losses: dict[str, tuple[str, ...]] = {}
        self.set_configuration(view.models, view.prices)
        for host in view.hosts:
            self.hosts[host.host] = host
        for group in view.groups:
            self.put_group(group)
        for host in view.hosts:
            self._index_free(host)
        self.accelerators_per_host = self.count_accelerators()

    def set_configuration(
        self, models: Iterable[ModelSpec], costs: Prices
    ) -> None:
        """Replaces the wanted models and the costs."""
        self.models = {spec["name"]: spec for spec in models}
        self.prices = costs
        for group in self.groups.values():
            self._index_state(group)

    def put_host(self, host: HostView) -> None:
        """Adds a host or replaces its entry."""
        old = self.hosts.get(host.host)
        if old is not None:
            _discard(self.free, domain_of(old), old.host)
            _discard(self.releasing, domain_of(old), old.host)
        self.hosts[host.host] = host
        self._index_free(host)
        self._index_losses(host.host)

    def remove_host(self, name: str) -> None:
        """Removes a host; it counts as lost for its group."""
        host = self.hosts.pop(name, None)
        if host is not None:
            _discard(self.free, domain_of(host), name)
            _discard(self.releasing, domain_of(host), name)
            self._index_losses(name)

    def put_group(self, group: GroupView) -> None:
        """Adds a group or replaces its entry."""
        self.remove_group(group.name)
        self.groups[group.name] = group
        self.groups_of_model.setdefault(group.model, set()).add(group.name)
        for name in group.hosts:
            self.owner[name] = group.name
            host = self.hosts.get(name)
            if host is not None:
                domain = domain_of(host)
                _discard(self.free, domain, name)
                _discard(self.releasing, domain, name)
                self.groups_in_domain.setdefault(domain, set()).add(group.name)
        self._losses[group.name] = self._find_losses(group)
        self._index_state(group)

    def remove_group(self, name: str) -> None:
        """Removes a group; its hosts keep the state of their own views."""
        group = self.groups.pop(name, None)
        if group is None:
            return
        self._unindex_state(group)
        del self._losses[name]
        _discard(self.groups_of_model, group.model, name)
        for host_name in group.hosts:
            if self.owner.get(host_name) == name:
                del self.owner[host_name]
            host = self.hosts.get(host_name)
            if host is not None:
                _discard(self.groups_in_domain, domain_of(host), name)
                self.put_host(host)

    def is_healthy(self, group: GroupView, name: str) -> bool:
        """Returns whether a host of a group is present and not leaving."""
        host = self.hosts.get(name)
        if host is None or host.leaving:
            return False
        return name not in group.missing

    def get_losses(self, group: GroupView) -> tuple[str, ...]:
        """Returns the hosts of a group that are missing or leaving."""
        return self._losses[group.name]

    def is_serving(self, group: GroupView) -> bool:
        """Returns whether a group serves and has lost no host."""
        return group.phase == GroupPhase.SERVING and not self.get_losses(group)

    def find_domain(self, group: GroupView) -> Domain | None:
        """Returns the domain of the hosts that a group still has.

        It is None when the group has no healthy host, or spans domains.
        """
        domains = {
            domain_of(self.hosts[name])
            for name in group.hosts
            if self.is_healthy(group, name)
        }
        return domains.pop() if len(domains) == 1 else None

    def count_accelerators(self) -> float:
        """Returns the average number of accelerators per host."""
        if not self.hosts:
            return 1.0
        total = sum(host.accelerators for host in self.hosts.values())
        return total / len(self.hosts)

    def _find_losses(self, group: GroupView) -> tuple[str, ...]:
        return tuple(
            name for name in group.hosts if not self.is_healthy(group, name)
        )

    def _index_losses(self, host: str) -> None:
        """Updates the losses of the group of a host."""
        group = self.groups.get(self.owner.get(host, ""))
        if group is not None:
            self._losses[group.name] = self._find_losses(group)
            self._index_state(group)

    def _index_state(self, group: GroupView) -> None:
        """Updates the indexes by state for a group."""
        self._unindex_state(group)
        losses = self._losses[group.name]
        if self.is_serving(group):
            self.serving.setdefault(group.model, set()).add(group.name)
        if not self._is_current(group):
            return
        if losses:
            self.broken.setdefault(group.model, set()).add(group.name)
        elif not is_ending(group):
            self.whole.setdefault(group.model, set()).add(group.name)

    def _unindex_state(self, group: GroupView) -> None:
        for index in (self.serving, self.whole, self.broken):
            _discard(index, group.model, group.name)

    def _is_current(self, group: GroupView) -> bool:
        spec = self.models.get(group.model)
        return (
            spec is not None
            and group.phase != GroupPhase.DISSOLVED
            and is_current(spec, group)
        )

    def _index_free(self, host: HostView) -> None:
        if self._is_usable(host):
            index = self.free if host.free else self.releasing
            index.setdefault(domain_of(host), set()).add(host.host)

    def _is_usable(self, host: HostView) -> bool:
        """Returns whether a host may be used, now or once it is released."""
        return (
            (host.free or host.releasing)
            and host.present
            and not host.leaving
            and host.host not in self.owner
        )


def domain_of(host: HostView) -> Domain:
    """Returns the fabric domain of a host."""
    return Domain(host.data_centre, host.domain)


def _discard(index: dict[_Key, set[str]], key: _Key, name: str) -> None:
    """Removes a name from an index and deletes the set when it is empty."""
    names = index.get(key)
    if names is None:
        return
    names.discard(name)
    if not names:
        del index[key]
