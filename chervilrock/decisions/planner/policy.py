"""The order of decisions in a plan."""

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import form_groups
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.rearrangement import (
    arrange,
    Arrangement,
    find_arrangement,
)
from chervilrock.decisions.planner.removal import (
    dissolve_surplus,
    dissolve_unwanted,
    replace_outdated,
)
from chervilrock.decisions.planner.repair import list_broken, repair_group
from chervilrock.decisions.planner.specs import Domain, is_current, may_stand_in
from chervilrock.generated.configuration import ModelSpec


def decide(draft: Draft, knowledge: Knowledge, *, rearranges: bool) -> None:
    """Adds the actions of a full plan to a draft."""
    models = list_models(draft)
    dissolve_unwanted(draft)
    for spec in models:
        dissolve_surplus(draft, spec)
    for spec in models:
        repair_broken(draft, knowledge, spec)
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
    if draft.count_missing(spec) == 0:
        return
    form_groups(draft, list_missing(draft, knowledge))
    domain = draft.inventory.find_domain(group)
    if rearranges and domain is not None and draft.count_missing(spec):
        _arrange_again(draft, knowledge, domain)


def decide_domain(draft: Draft, knowledge: Knowledge, domain: Domain) -> None:
    """Adds the actions that the free hosts of one domain allow to a draft."""
    inventory = draft.inventory
    for name in sorted(inventory.groups_in_domain.get(domain, ())):
        group = inventory.groups[name]
        spec = inventory.models.get(group.model)
        if spec is not None and inventory.get_losses(group):
            repair_broken(draft, knowledge, spec, only=name)
    form_groups(draft, list_missing(draft, knowledge))


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


def rearrange(draft: Draft, knowledge: Knowledge) -> None:
    """Arranges domains anew, the greatest gain first.

    Arrangements that dissolve nothing come before all others: they finish
    what an earlier plan began.
    """
    missing = list_missing(draft, knowledge)
    found = [
        arrangement
        for domain in _list_domains(draft, missing)
        if (arrangement := find_arrangement(draft, knowledge, domain, missing))
    ]
    found.sort(key=_order)
    for arrangement in found:
        _arrange_again(draft, knowledge, arrangement.domain)


def _arrange_again(draft: Draft, knowledge: Knowledge, domain: Domain) -> None:
    """Arranges a domain with what earlier arrangements have left over."""
    missing = list_missing(draft, knowledge)
    found = find_arrangement(draft, knowledge, domain, missing)
    if found is not None:
        arrange(draft, found)
        form_groups(draft, list_missing(draft, knowledge))


def _list_domains(draft: Draft, missing: list[ModelSpec]) -> list[Domain]:
    """Returns the domains where an arrangement may help."""
    inventory = draft.inventory
    domains: set[Domain] = set()
    for spec in inventory.models.values():
        for group in list_broken(draft, spec):
            domain = inventory.find_domain(group)
            if domain is not None and not _waits(draft, group):
                domains.add(domain)
    specs = {spec["name"]: spec for spec in missing}
    if specs:
        for domain in {*inventory.groups_in_domain, *inventory.free}:
            if any(may_stand_in(spec, domain) for spec in specs.values()):
                domains.add(domain)
    return sorted(domains - draft.locked)


def _waits(draft: Draft, group: GroupView) -> bool:
    return group.name in draft.waiting


def _order(found: Arrangement) -> tuple[bool, float, Domain]:
    return (bool(found.dropped), -found.gain, found.domain)
