"""The part of a region that is arranged in one optimization step."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.context import PlanContext
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import list_candidates
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
    may_use_domain,
)
from chervilrock.generated.configuration import ModelSpec


class PlacedGroup(NamedTuple):
    """A group and the index of its domain."""

    group: GroupView
    domain_index: int


class Subproblem(NamedTuple):
    """One or two fabric domains with their groups and candidates.

    Attributes:
      domains: the domains
      hosts: number of usable hosts of each domain
      groups: groups whose hosts can be reassigned
      candidates: models of groups that could be formed, one entry per group
      horizon_s: time for which the choice matters, in seconds
    """

    domains: tuple[Domain, ...]
    hosts: tuple[int, ...]
    groups: tuple[PlacedGroup, ...]
    candidates: tuple[ModelSpec, ...]
    horizon_s: float

    def make_host_counts(
        self, domain_index: int, hosts: int
    ) -> tuple[int, ...]:
        """Returns the number of hosts per domain for a use of one domain."""
        return tuple(
            hosts if index == domain_index else 0
            for index in range(len(self.domains))
        )


def make_subproblem(
    draft: Draft,
    context: PlanContext,
    domains: tuple[Domain, ...],
    missing: list[ModelSpec],
) -> Subproblem:
    """Creates the subproblem of one or two domains.

    Args:
      draft: the plan so far.
      context: estimates.
      domains: the domains.
      missing: models that lack a group, one entry per missing group.
    """
    groups = _list_groups(draft, domains)
    hosts = _count_hosts(draft, domains, groups)
    return Subproblem(
        domains=domains,
        hosts=hosts,
        groups=tuple(groups),
        candidates=tuple(
            _list_candidates(draft, domains, groups, hosts, missing)
        ),
        horizon_s=_find_horizon(draft, context, groups, missing),
    )


def list_last_serving(
    draft: Draft, subproblem: Subproblem
) -> list[tuple[str, ...]]:
    """Returns sets of groups, of each of which one must stay in its domain.

    A set holds the serving groups of a model that serves nowhere else.
    """
    inventory = draft.inventory
    serving: dict[str, list[str]] = {}
    for group, _ in subproblem.groups:
        if inventory.is_serving(group):
            serving.setdefault(group.model, []).append(group.name)
    return [
        tuple(names)
        for model, names in sorted(serving.items())
        if draft.count_serving(inventory.models[model]) <= len(names)
    ]


def _list_groups(
    draft: Draft, domains: tuple[Domain, ...]
) -> list[PlacedGroup]:
    inventory = draft.inventory
    groups: list[PlacedGroup] = []
    for domain_index, domain in enumerate(domains):
        for name in sorted(inventory.groups_in_domain.get(domain, ())):
            group = inventory.groups[name]
            spec = inventory.models.get(group.model)
            if spec is None or name in draft.changed_groups or is_ending(group):
                continue
            if not is_current(spec, group) or not may_use_domain(spec, domain):
                continue
            if inventory.find_domain(group) == domain:
                groups.append(PlacedGroup(group, domain_index))
    return groups


def _count_hosts(
    draft: Draft, domains: tuple[Domain, ...], groups: list[PlacedGroup]
) -> tuple[int, ...]:
    hosts = [
        draft.count_free(domain) + draft.count_soon_free(domain)
        for domain in domains
    ]
    for group, domain_index in groups:
        losses = draft.inventory.get_losses(group)
        hosts[domain_index] += len(group.hosts) - len(losses)
    return tuple(hosts)


def _list_candidates(
    draft: Draft,
    domains: tuple[Domain, ...],
    groups: list[PlacedGroup],
    hosts: tuple[int, ...],
    missing: list[ModelSpec],
) -> list[ModelSpec]:
    """Returns the missing groups that could be formed in the domains.

    Broken groups of the domains are missing as well, but are no candidates.
    """
    counts: dict[str, int] = {}
    for domain, limit in zip(domains, hosts, strict=True):
        for spec in list_candidates(missing, domain, limit):
            counts[spec["name"]] = counts.get(spec["name"], 0) + 1
    skips: dict[str, int] = {}
    for group, _ in groups:
        if not draft.is_whole(group) and group.name not in draft.waiting:
            skips[group.model] = skips.get(group.model, 0) + 1
    candidates: list[ModelSpec] = []
    for spec in missing:
        name = spec["name"]
        if skips.get(name, 0) > 0:
            skips[name] -= 1
        elif counts.get(name, 0) > 0:
            counts[name] -= 1
            candidates.append(spec)
    return candidates


def _find_horizon(
    draft: Draft,
    context: PlanContext,
    groups: list[PlacedGroup],
    missing: list[ModelSpec],
) -> float:
    remaining_times_s = [
        context.estimate_remaining_s(group)
        for group, _ in groups
        if not draft.is_whole(group) and group.name not in draft.waiting
    ]
    if remaining_times_s:
        return min(remaining_times_s)
    return max(
        (context.estimate_horizon(draft, spec) for spec in missing),
        default=0.0,
    )
