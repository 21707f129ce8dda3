"""An assignment of the hosts of fabric domains and the actions for it."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.placement import choose_hosts
from chervilrock.decisions.planner.repair import repair_group
from chervilrock.decisions.planner.specs import Domain
from chervilrock.generated.configuration import ModelSpec

_REASON = "hosts are worth more in another group"


class PlannedFormation(NamedTuple):
    """A group to form and its domain."""

    spec: ModelSpec
    domain: Domain


class PlannedMove(NamedTuple):
    """A group to dissolve and the domain where it is formed again."""

    group: GroupView
    domain: Domain


class Arrangement:
    """A better assignment of the hosts of domains to groups.

    Attributes:
      domains: the domains.
      gain: saving compared with leaving all groups as they are.
      dropped: groups to dissolve.
      moved: groups to move to the other domain.
      repaired: groups to repair.
      formed: groups to form.
    """

    def __init__(self, *, domains: tuple[Domain, ...], gain: float) -> None:
        """Create an arrangement without changes."""
        self.domains = domains
        self.gain = gain
        self.dropped: list[GroupView] = []
        self.moved: list[PlannedMove] = []
        self.repaired: list[GroupView] = []
        self.formed: list[PlannedFormation] = []


def add_arrangement(draft: Draft, found: Arrangement) -> None:
    """Adds the actions of an arrangement that can be carried out now.

    Hosts of dissolved groups become free only later. Until then the domain is
    reserved, so that its hosts are not assigned to other groups.
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
    """Repairs a group now, or reserves its domains until it has hosts."""
    spec = draft.inventory.models[group.model]
    if not repair_group(draft, spec, group):
        draft.mark_waiting(group)
        draft.reserved_domains.update(found.domains)


def _form(draft: Draft, spec: ModelSpec, domain: Domain) -> None:
    """Forms a group now, or reserves the domain until it has hosts."""
    free = draft.list_free(domain)
    if domain in draft.reserved_domains or len(free) < spec["hosts_per_group"]:
        draft.postpone(spec)
        draft.reserved_domains.add(domain)
        return
    draft.form(spec, choose_hosts(spec, free), domain.name)
