"""The actions of an arrangement."""

from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.placement import choose_hosts
from chervilrock.decisions.planner.rearrangement import Arrangement
from chervilrock.decisions.planner.repair import repair_group
from chervilrock.decisions.planner.specs import Domain
from chervilrock.generated.configuration import ModelSpec

_REASON = "hosts are worth more elsewhere"


def arrange(draft: Draft, found: Arrangement) -> None:
    """Adds the actions of an arrangement that can be carried out now.

    Hosts of dissolved groups are free only later; until then the domain is
    locked, so that nothing else takes the hosts meant for a group.
    """
    for group in found.dropped:
        draft.dissolve(group, _REASON)
    for group, _ in found.moved:
        draft.dissolve(group, _REASON)
    for group in found.repaired:
        _repair(draft, found, group.name)
    for group, domain in found.moved:
        _form(draft, draft.inventory.models[group.model], domain)
    for spec, domain in found.formed:
        _form(draft, spec, domain)


def _repair(draft: Draft, found: Arrangement, name: str) -> None:
    """Repairs a group now, or keeps the free hosts of its domain for it."""
    group = draft.inventory.groups[name]
    spec = draft.inventory.models[group.model]
    if not repair_group(draft, spec, group):
        draft.wait(group)
        draft.locked.update(found.domains)


def _form(draft: Draft, spec: ModelSpec, domain: Domain) -> None:
    """Forms a group now, or keeps the free hosts of the domain for it."""
    free = draft.list_free(domain)
    if domain in draft.locked or len(free) < spec["hosts_per_group"]:
        draft.postpone(spec)
        draft.locked.add(domain)
        return
    draft.form(spec, choose_hosts(spec, free), domain.name)
