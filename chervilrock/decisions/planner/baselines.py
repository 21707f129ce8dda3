"""Plain planners to compare with."""

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
    may_stand_in,
)
from chervilrock.generated.configuration import ModelSpec


class GreedyFirstFit(GroupPlanner):
    """Takes the first hosts that fit, in the order of the configuration.

    A lost host is replaced by the first free host of its domain, at once; when
    there is none, the group waits. Groups never give hosts to each other.
    """

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view."""
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
    """Dissolves a group that cannot be repaired at once, and forms it anew.

    Else it is like greedy first fit. The hosts of the group may go to others.
    """

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view."""
        actions = super().plan(view, now)
        inventory = Inventory(view=view)
        repaired = {a.group for a in actions if not isinstance(a, FormGroup)}
        ended = [
            DissolveGroup(group.name, group.fence, "no free host")
            for group in view.groups
            if group.name not in repaired
            and not is_ending(group)
            and inventory.get_losses(group)
        ]
        return (*actions, *ended)


class NeverAcrossGroups(GroupPlanner):
    """The policy of this package without repair across groups.

    It waits for hosts, fills ranks and places groups like the policy, but no
    group is dissolved for the good of another one.
    """

    def __init__(self) -> None:
        """Starts without a history."""
        self._planner = Planner(rearranges=False)

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view."""
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
        if group.name in draft.touched or not draft.inventory.get_losses(group)
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
        if not may_stand_in(spec, domain):
            continue
        free = draft.list_free(domain)
        if len(free) >= size + spec.get("spares", 0):
            return domain, tuple(free[:size])
    return None
