"""A use of the hosts of fabric domains, and the actions that it takes."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.placement import choose_hosts
from chervilrock.decisions.planner.repair import repair_group
from chervilrock.decisions.planner.specs import Domain
from chervilrock.generated.configuration import ModelSpec

_REASON = "hosts are worth more elsewhere"


class Formed(NamedTuple):
    """A group to form, and where."""

    spec: ModelSpec
    domain: Domain


class Moved(NamedTuple):
    """A group to dissolve and to form elsewhere."""

    group: GroupView
    domain: Domain


class Arrangement:
    """A better use of the hosts of domains.

    Attributes:
      domains: the domains.
      gain: what it saves against leaving all groups as they are.
      dropped: groups to dissolve.
      moved: groups to move to the other domain.
      repaired: groups to repair.
      formed: groups to form.
    """

    def __init__(self, *, domains: tuple[Domain, ...], gain: float) -> None:
        """Makes an arrangement that changes nothing."""
        self.domains = domains
        self.gain = gain
        self.dropped: list[GroupView] = []
        self.moved: list[Moved] = []
        self.repaired: list[GroupView] = []
        self.formed: list[Formed] = []


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
        _repair(draft, found, group)
    for group, domain in found.moved:
        _form(draft, draft.inventory.models[group.model], domain)
    for spec, domain in found.formed:
        _form(draft, spec, domain)


def _repair(draft: Draft, found: Arrangement, group: GroupView) -> None:
    """Repairs a group now, or keeps the free hosts of its domain for it."""
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
