"""Repair of groups that have lost hosts."""

from chervilrock.decisions.actions import GroupView, HostView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.placement import choose_substitutes
from chervilrock.decisions.planner.specs import (
    Domain,
    is_ending,
    may_span_domains,
    may_use_domain,
)
from chervilrock.generated.configuration import ModelSpec


def list_broken(draft: Draft, spec: ModelSpec) -> list[GroupView]:
    """Returns the groups of a model worth a repair, the easiest first.

    A group that drains because one of its hosts is leaving can be repaired.
    """
    inventory = draft.inventory
    broken = [
        inventory.groups[name]
        for name in inventory.broken.get(spec["name"], ())
        if name not in draft.changed_groups
    ]
    broken.sort(
        key=lambda each: (
            is_ending(each),
            len(inventory.get_losses(each)),
            each.name,
        )
    )
    return broken


def repair_group(draft: Draft, spec: ModelSpec, group: GroupView) -> bool:
    """Replaces the lost hosts of a group by free hosts of its domain.

    Returns:
      Whether there were enough free hosts.
    """
    losses = draft.inventory.get_losses(group)
    domain = draft.inventory.find_domain(group)
    if domain is None:
        return may_span_domains(spec) and _repair_across(draft, spec, group)
    if not may_use_domain(spec, domain):
        return False
    if draft.count_free(domain) < len(losses):
        return False
    _replace(draft, spec, group, draft.list_free(domain), domain.name)
    return True


def _repair_across(draft: Draft, spec: ModelSpec, group: GroupView) -> bool:
    """Repairs a group across domains with hosts of any domain."""
    losses = draft.inventory.get_losses(group)
    if len(losses) == len(group.hosts):
        return False
    hosts: list[HostView] = []
    for domain in _list_domains(draft, spec):
        hosts.extend(draft.list_free(domain))
    if len(hosts) < len(losses):
        return False
    _replace(draft, spec, group, hosts, "")
    return True


def _list_domains(draft: Draft, spec: ModelSpec) -> list[Domain]:
    """Returns the domains usable by a model, those with most hosts first."""
    domains = [
        domain
        for domain in draft.inventory.free
        if may_use_domain(spec, domain) and domain not in draft.reserved_domains
    ]
    domains.sort(key=lambda each: (-draft.count_free(each), each))
    return domains


def _replace(
    draft: Draft,
    spec: ModelSpec,
    group: GroupView,
    hosts: list[HostView],
    domain: str,
) -> None:
    """Adds the repair of a group by some of the hosts."""
    losses = draft.inventory.get_losses(group)
    ranks = [group.hosts.index(name) for name in losses]
    substitutes = choose_substitutes(spec, ranks, hosts)
    by_name = {group.hosts[rank]: host for rank, host in substitutes.items()}
    draft.repair(group, by_name, domain)
