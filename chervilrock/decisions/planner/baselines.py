"""Simple planners that serve as baselines in comparisons."""

from chervilrock.decisions.actions import (
    Action,
    DissolveGroup,
    FormGroup,
    HostView,
    PlanInput,
)
from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.inventory import Inventory
from chervilrock.decisions.planner.planner import Planner
from chervilrock.decisions.planner.removal import (
    dissolve_surplus,
    dissolve_unwanted,
    replace_outdated,
)
from chervilrock.decisions.planner.repair import list_broken
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
    may_use_domain,
)
from chervilrock.generated.configuration import ModelSpec


class GreedyFirstFit(GroupPlanner):
    """Assigns the first hosts that fit, in the order of the configuration.

    A lost host is replaced immediately by the first free host of its domain.
    When there is none, the group waits. No group is dissolved to repair or
    form another one.
    """

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a complete view."""
        del now
        draft = Draft(inventory=Inventory(view=view))
        dissolve_unwanted(draft)
        for spec in view.models:
            dissolve_surplus(draft, spec)
        for spec in view.models:
            _repair_first_fit(draft, spec)
        for spec in view.models:
            _form_first_fit(draft, spec)
        for spec in view.models:
            replace_outdated(draft, spec)
        return tuple(draft.actions)


class RecreateFirstFit(GreedyFirstFit):
    """Dissolves and re-creates a group that cannot be repaired immediately.

    Otherwise it plans like `GreedyFirstFit`. The hosts of the dissolved group
    may be assigned to other groups.
    """

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a complete view."""
        actions = super().plan(view, now)
        inventory = Inventory(view=view)
        handled = {a.group for a in actions if not isinstance(a, FormGroup)}
        dissolutions = [
            DissolveGroup(group.name, group.fence, "no free host")
            for group in view.groups
            if group.name not in handled
            and not is_ending(group)
            and inventory.get_losses(group)
        ]
        return (*actions, *dissolutions)


class NeverAcrossGroups(GroupPlanner):
    """The policy of this package without repair across groups.

    It waits for hosts, fills ranks and places groups like the policy, but
    dissolves no group in favour of another one.
    """

    def __init__(self) -> None:
        """Create a planner without a history."""
        self._planner = Planner(may_rearrange=False)

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a complete view."""
        return self._planner.plan(view, now)


def _repair_first_fit(draft: Draft, spec: ModelSpec) -> None:
    """Fills broken groups with the first free hosts of their domains."""
    for group in list_broken(draft, spec):
        domain = draft.inventory.find_domain(group)
        if domain is None:
            continue
        losses = draft.inventory.get_losses(group)
        free = draft.list_free(domain)
        if len(free) >= len(losses):
            substitutes = dict(zip(losses, free, strict=False))
            draft.repair(group, substitutes, domain.name)


def _form_first_fit(draft: Draft, spec: ModelSpec) -> None:
    """Forms missing groups in the first domains with enough free hosts."""
    groups = [g for g in draft.list_groups(spec) if is_current(spec, g)]
    whole = [
        group
        for group in groups
        if group.name in draft.changed_groups
        or not draft.inventory.get_losses(group)
    ]
    for _ in range(spec["groups"] - len(whole)):
        found = _find_first(draft, spec)
        if found is None:
            return
        domain, hosts = found
        draft.form(spec, hosts, domain.name)


def _find_first(
    draft: Draft, spec: ModelSpec
) -> tuple[Domain, tuple[HostView, ...]] | None:
    size = spec["hosts_per_group"]
    for domain in sorted(draft.inventory.free):
        if not may_use_domain(spec, domain):
            continue
        free = draft.list_free(domain)
        if len(free) >= size + spec.get("spares", 0):
            return domain, tuple(free[:size])
    return None
