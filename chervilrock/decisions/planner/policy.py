"""The order of decisions in a plan."""

from collections.abc import Iterator, Sequence
import itertools

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.arrangement import arrange
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import (
    form_groups,
    form_in_domain,
    list_offers,
)
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.rearrangement import find_arrangement
from chervilrock.decisions.planner.removal import (
    dissolve_surplus,
    dissolve_unwanted,
    replace_outdated,
)
from chervilrock.decisions.planner.repair import list_broken, repair_group
from chervilrock.decisions.planner.specs import Domain, is_current, may_stand_in
from chervilrock.generated.configuration import ModelSpec

_MOST_RICH = 12


def decide(draft: Draft, knowledge: Knowledge, *, rearranges: bool) -> None:
    """Adds the actions of a full plan to a draft."""
    models = list_models(draft)
    dissolve_unwanted(draft)
    for spec in models:
        dissolve_surplus(draft, spec)
    for spec in models:
        repair_broken(draft, knowledge, spec)
    await_hosts(draft, knowledge)
    form_groups(draft, list_missing(draft, knowledge))
    if rearranges:
        rearrange(draft, knowledge)
    for spec in models:
        replace_outdated(draft, spec)


def decide_group(
    draft: Draft,
    knowledge: Knowledge,
    group: GroupView,
    *,
    rearranges: bool,
) -> None:
    """Adds the actions for one broken group to a draft."""
    spec = draft.inventory.models.get(group.model)
    if spec is None or not is_current(spec, group):
        return
    repair_broken(draft, knowledge, spec, only=group.name)
    if group.name in draft.touched or group.name in draft.waiting:
        return
    if draft.count_missing(spec) == 0:
        return
    if knowledge.estimate_horizon(draft, spec) > knowledge.estimate_form(spec):
        form_groups(draft, [spec])
    domain = draft.inventory.find_domain(group)
    if draft.forming or not rearranges or domain is None:
        return
    found = find_arrangement(draft, knowledge, (domain,), [spec])
    if found is not None:
        arrange(draft, found)
        models = draft.inventory.models
        form_groups(draft, [models[each.model] for each in found.dropped])


def decide_domain(draft: Draft, knowledge: Knowledge, domain: Domain) -> None:
    """Adds the actions that the free hosts of one domain allow to a draft."""
    inventory = draft.inventory
    for name in sorted(inventory.groups_in_domain.get(domain, ())):
        group = inventory.groups[name]
        spec = inventory.models.get(group.model)
        if spec is not None and inventory.get_losses(group):
            repair_broken(draft, knowledge, spec, only=name)
    missing = list_missing(draft, knowledge)
    for spec in list_offers(missing, domain, draft.count_free(domain)):
        form_in_domain(draft, spec, domain)


def list_models(draft: Draft) -> list[ModelSpec]:
    """Returns the wanted models, the greatest worth of a host first."""
    return sorted(
        draft.inventory.models.values(),
        key=lambda spec: (
            -estimate_group_worth(draft, spec) / spec["hosts_per_group"],
            spec["name"],
        ),
    )


def repair_broken(
    draft: Draft, knowledge: Knowledge, spec: ModelSpec, only: str = ""
) -> None:
    """Repairs the broken groups of a model, or chooses to wait for hosts.

    Args:
      draft: the plan so far.
      knowledge: estimates.
      spec: the model.
      only: name of the one group to repair, empty for all.
    """
    for group in list_broken(draft, spec):
        if only not in ("", group.name):
            continue
        if draft.count_missing(spec) == 0:
            return
        if knowledge.is_wait_better(draft, group):
            draft.wait(group)
        else:
            repair_group(draft, spec, group)


def list_missing(draft: Draft, knowledge: Knowledge) -> list[ModelSpec]:
    """Returns the model of each group that is worth forming now."""
    missing: list[ModelSpec] = []
    for spec in list_models(draft):
        count = draft.count_missing(spec)
        if count == 0:
            continue
        form_s = knowledge.estimate_form(spec)
        if knowledge.estimate_horizon(draft, spec) > form_s:
            missing.extend([spec] * count)
    return missing


def await_hosts(draft: Draft, knowledge: Knowledge) -> None:
    """Plans the use of hosts that groups which end will soon set free.

    The domains are locked until then, so that free hosts are not taken for
    less in the meantime.
    """
    inventory = draft.inventory
    for domain in sorted({*inventory.groups_in_domain, *inventory.releasing}):
        if draft.count_coming(domain) == 0:
            continue
        missing = list_missing(draft, knowledge)
        found = find_arrangement(
            draft, knowledge, (domain,), missing, drops=False
        )
        if found is not None:
            arrange(draft, found)


def rearrange(draft: Draft, knowledge: Knowledge) -> None:
    """Arranges domains anew, alone and then in pairs."""
    missing = list_missing(draft, knowledge)
    alone = [(domain,) for domain in _list_domains(draft, missing)]
    _arrange_best(draft, knowledge, alone)
    missing = list_missing(draft, knowledge)
    _arrange_best(draft, knowledge, _list_pairs(draft, missing))


def _arrange_best(
    draft: Draft, knowledge: Knowledge, sites: Sequence[tuple[Domain, ...]]
) -> None:
    """Arranges domains that gain by it, the greatest gain first."""
    missing = list_missing(draft, knowledge)
    found = [
        arrangement
        for domains in sites
        if (arrangement := find_arrangement(draft, knowledge, domains, missing))
    ]
    found.sort(key=lambda each: (-each.gain, each.domains))
    for arrangement in found:
        _arrange_again(draft, knowledge, arrangement.domains)


def _arrange_again(
    draft: Draft, knowledge: Knowledge, domains: tuple[Domain, ...]
) -> None:
    """Arranges domains with what earlier arrangements have left over."""
    if not draft.locked.isdisjoint(domains):
        return
    missing = list_missing(draft, knowledge)
    found = find_arrangement(draft, knowledge, domains, missing)
    if found is not None:
        arrange(draft, found)
        form_groups(draft, list_missing(draft, knowledge))


def _list_domains(draft: Draft, missing: list[ModelSpec]) -> list[Domain]:
    """Returns the domains where an arrangement may help."""
    inventory = draft.inventory
    domains = set(_list_broken_domains(draft))
    specs = {spec["name"]: spec for spec in missing}
    if specs:
        for domain in {*inventory.groups_in_domain, *inventory.free}:
            if any(may_stand_in(spec, domain) for spec in specs.values()):
                domains.add(domain)
    return sorted(domains - draft.locked)


def _list_broken_domains(draft: Draft) -> Iterator[Domain]:
    """Yields the domains of groups that nothing repairs yet."""
    inventory = draft.inventory
    for spec in inventory.models.values():
        for group in list_broken(draft, spec):
            domain = inventory.find_domain(group)
            if domain is not None and group.name not in draft.waiting:
                yield domain


def _list_pairs(
    draft: Draft, missing: list[ModelSpec]
) -> list[tuple[Domain, ...]]:
    """Returns the pairs of domains that have enough hosts left over together.

    They are few at the most, those with the most hosts first.
    """
    needs = [spec["hosts_per_group"] for spec in missing]
    needs += _list_losses(draft)
    if not needs:
        return []
    inventory = draft.inventory
    left = {
        domain: draft.count_free(domain) + draft.count_coming(domain)
        for domain in {*inventory.groups_in_domain, *inventory.free}
        if domain not in draft.locked
    }
    rich = sorted(left, key=lambda domain: (-left[domain], domain))
    pairs = [
        (one, other)
        for one, other in itertools.combinations(rich[:_MOST_RICH], 2)
        if left[one] + left[other] >= min(needs)
    ]
    return sorted(
        pairs, key=lambda pair: (-left[pair[0]] - left[pair[1]], pair)
    )


def _list_losses(draft: Draft) -> list[int]:
    """Returns how many hosts each group lacks that nothing repairs yet."""
    return [
        len(draft.inventory.get_losses(group))
        for spec in draft.inventory.models.values()
        for group in list_broken(draft, spec)
        if group.name not in draft.waiting
    ]
