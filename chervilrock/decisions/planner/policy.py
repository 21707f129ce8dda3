"""The order of decisions in a plan."""

from collections.abc import Iterator, Sequence
import itertools

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.arrangement import add_arrangement
from chervilrock.decisions.planner.context import (
    estimate_group_worth,
    PlanContext,
)
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import (
    form_groups,
    form_in_domain,
    list_candidates,
)
from chervilrock.decisions.planner.rearrangement import find_arrangement
from chervilrock.decisions.planner.removal import (
    dissolve_surplus,
    dissolve_unwanted,
    replace_outdated,
)
from chervilrock.decisions.planner.repair import list_broken, repair_group
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    may_use_domain,
)
from chervilrock.generated.configuration import ModelSpec

_MAX_PAIRED_DOMAINS = 12
"""Domains that are paired; limits the number of pairs to evaluate."""


def decide(draft: Draft, context: PlanContext, *, may_rearrange: bool) -> None:
    """Adds the actions of a full plan to a draft."""
    models = list_models(draft)
    dissolve_unwanted(draft)
    for spec in models:
        dissolve_surplus(draft, spec)
    for spec in models:
        repair_broken(draft, context, spec)
    plan_released_hosts(draft, context)
    form_groups(draft, list_missing(draft, context))
    if may_rearrange:
        rearrange(draft, context)
    for spec in models:
        replace_outdated(draft, spec)


def decide_group(
    draft: Draft,
    context: PlanContext,
    group: GroupView,
    *,
    may_rearrange: bool,
) -> None:
    """Adds the actions for one broken group to a draft."""
    spec = draft.inventory.models.get(group.model)
    if spec is None or not is_current(spec, group):
        return
    repair_broken(draft, context, spec, only=group.name)
    if group.name in draft.changed_groups or group.name in draft.waiting:
        return
    if draft.count_missing(spec) == 0:
        return
    if context.estimate_horizon(draft, spec) > context.estimate_form(spec):
        form_groups(draft, [spec])
    domain = draft.inventory.find_domain(group)
    if draft.forming or not may_rearrange or domain is None:
        return
    found = find_arrangement(draft, context, (domain,), [spec])
    if found is not None:
        add_arrangement(draft, found)
        models = draft.inventory.models
        form_groups(draft, [models[each.model] for each in found.dropped])


def decide_domain(draft: Draft, context: PlanContext, domain: Domain) -> None:
    """Adds the actions that use the free hosts of one domain to a draft."""
    inventory = draft.inventory
    for name in sorted(inventory.groups_in_domain.get(domain, ())):
        group = inventory.groups[name]
        spec = inventory.models.get(group.model)
        if spec is not None and inventory.get_losses(group):
            repair_broken(draft, context, spec, only=name)
    missing = list_missing(draft, context)
    for spec in list_candidates(missing, domain, draft.count_free(domain)):
        form_in_domain(draft, spec, domain)


def list_models(draft: Draft) -> list[ModelSpec]:
    """Returns the wanted models, the greatest worth per host first."""
    return sorted(
        draft.inventory.models.values(),
        key=lambda spec: (
            -estimate_group_worth(draft, spec) / spec["hosts_per_group"],
            spec["name"],
        ),
    )


def repair_broken(
    draft: Draft, context: PlanContext, spec: ModelSpec, only: str = ""
) -> None:
    """Repairs the broken groups of a model, or waits for their hosts.

    Args:
      draft: the plan so far.
      context: estimates.
      spec: the model.
      only: name of the one group to repair, empty for all.
    """
    for group in list_broken(draft, spec):
        if only not in ("", group.name):
            continue
        if draft.count_missing(spec) == 0:
            return
        if context.is_wait_better(draft, group):
            draft.mark_waiting(group)
        else:
            repair_group(draft, spec, group)


def list_missing(draft: Draft, context: PlanContext) -> list[ModelSpec]:
    """Returns the model of each missing group that is worth forming now."""
    missing: list[ModelSpec] = []
    for spec in list_models(draft):
        count = draft.count_missing(spec)
        if count == 0:
            continue
        form_s = context.estimate_form(spec)
        if context.estimate_horizon(draft, spec) > form_s:
            missing.extend([spec] * count)
    return missing


def plan_released_hosts(draft: Draft, context: PlanContext) -> None:
    """Plans the use of hosts that ending groups will soon release.

    The domains are reserved until then, so that their free hosts are not
    assigned to less valuable groups in the meantime.
    """
    inventory = draft.inventory
    for domain in sorted({*inventory.groups_in_domain, *inventory.releasing}):
        if draft.count_soon_free(domain) == 0:
            continue
        missing = list_missing(draft, context)
        found = find_arrangement(
            draft, context, (domain,), missing, may_dissolve=False
        )
        if found is not None:
            add_arrangement(draft, found)


def rearrange(draft: Draft, context: PlanContext) -> None:
    """Rearranges domains, first each alone and then in pairs."""
    missing = list_missing(draft, context)
    alone = [(domain,) for domain in _list_domains(draft, missing)]
    _arrange_best(draft, context, alone)
    missing = list_missing(draft, context)
    _arrange_best(draft, context, _list_pairs(draft, missing))


def _arrange_best(
    draft: Draft,
    context: PlanContext,
    domain_sets: Sequence[tuple[Domain, ...]],
) -> None:
    """Rearranges the domains with a gain, the greatest gain first."""
    missing = list_missing(draft, context)
    found = [
        arrangement
        for domains in domain_sets
        if (arrangement := find_arrangement(draft, context, domains, missing))
    ]
    found.sort(key=lambda each: (-each.gain, each.domains))
    for arrangement in found:
        _arrange_remaining(draft, context, arrangement.domains)


def _arrange_remaining(
    draft: Draft, context: PlanContext, domains: tuple[Domain, ...]
) -> None:
    """Rearranges domains with the hosts that earlier ones left over."""
    if not draft.reserved_domains.isdisjoint(domains):
        return
    missing = list_missing(draft, context)
    found = find_arrangement(draft, context, domains, missing)
    if found is not None:
        add_arrangement(draft, found)
        form_groups(draft, list_missing(draft, context))


def _list_domains(draft: Draft, missing: list[ModelSpec]) -> list[Domain]:
    """Returns the domains where a rearrangement may help."""
    inventory = draft.inventory
    domains = set(_list_broken_domains(draft))
    specs = {spec["name"]: spec for spec in missing}
    if specs:
        for domain in {*inventory.groups_in_domain, *inventory.free}:
            if any(may_use_domain(spec, domain) for spec in specs.values()):
                domains.add(domain)
    return sorted(domains - draft.reserved_domains)


def _list_broken_domains(draft: Draft) -> Iterator[Domain]:
    """Yields the domains of broken groups without a planned repair."""
    inventory = draft.inventory
    for spec in inventory.models.values():
        for group in list_broken(draft, spec):
            domain = inventory.find_domain(group)
            if domain is not None and group.name not in draft.waiting:
                yield domain


def _list_pairs(
    draft: Draft, missing: list[ModelSpec]
) -> list[tuple[Domain, ...]]:
    """Returns the pairs of domains that together have enough spare hosts.

    Only domains with the most spare hosts are paired. The pairs with the most
    hosts come first.
    """
    needs = [spec["hosts_per_group"] for spec in missing]
    needs += _list_losses(draft)
    if not needs:
        return []
    inventory = draft.inventory
    left = {
        domain: draft.count_free(domain) + draft.count_soon_free(domain)
        for domain in {*inventory.groups_in_domain, *inventory.free}
        if domain not in draft.reserved_domains
    }
    richest = sorted(left, key=lambda domain: (-left[domain], domain))
    pairs = [
        (first, second)
        for first, second in itertools.combinations(
            richest[:_MAX_PAIRED_DOMAINS], 2
        )
        if left[first] + left[second] >= min(needs)
    ]
    return sorted(
        pairs, key=lambda pair: (-left[pair[0]] - left[pair[1]], pair)
    )


def _list_losses(draft: Draft) -> list[int]:
    """Returns how many hosts each group without a planned repair lacks."""
    return [
        len(draft.inventory.get_losses(group))
        for spec in draft.inventory.models.values()
        for group in list_broken(draft, spec)
        if group.name not in draft.waiting
    ]
