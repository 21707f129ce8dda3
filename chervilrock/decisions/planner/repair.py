"""Repair of groups that lost hosts."""

from chervilrock.decisions.actions import GroupView, HostView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.inventory import Domain, domain_of
from chervilrock.decisions.planner.placement import choose_substitutes
from chervilrock.decisions.planner.specs import is_current, may_stand_in
from chervilrock.generated.configuration import ModelSpec


def list_broken(draft: Draft, spec: ModelSpec) -> list[GroupView]:
    """Returns the groups of a model worth a repair, the easiest first."""
    inventory = draft.inventory
    broken = [
        group
        for group in draft.list_groups(spec)
        if group.name not in draft.touched
        and is_current(spec, group)
        and inventory.get_losses(group)
    ]
    broken.sort(key=lambda each: (len(inventory.get_losses(each)), each.name))
    return broken


def repair_group(draft: Draft, spec: ModelSpec, group: GroupView) -> bool:
    """Replaces the lost hosts of a group by free hosts of its domain.

    Returns:
      Whether there were enough free hosts.
    """
    losses = draft.inventory.get_losses(group)
    domain = find_domain(draft, group)
    if domain is None or not may_stand_in(spec, domain):
        return False
    if draft.count_free(domain) < len(losses):
        return False
    substitutes = choose_substitutes(
        spec,
        [group.hosts.index(name) for name in losses],
        draft.list_free(domain),
    )
    by_name: dict[str, HostView] = {
        group.hosts[rank]: host for rank, host in substitutes.items()
    }
    draft.repair(group, by_name, domain.name)
    return True


def find_domain(draft: Draft, group: GroupView) -> Domain | None:
    """Returns the domain of the hosts that a group still has.

    It is None when the group has no healthy host, or spans domains.
    """
    inventory = draft.inventory
    domains = {
        domain_of(inventory.hosts[name])
        for name in group.hosts
        if name not in group.missing and inventory.is_healthy(name)
    }
    return domains.pop() if len(domains) == 1 else None
