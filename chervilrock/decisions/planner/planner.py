"""The planner: a full plan, and an index that is kept between plans."""

from chervilrock.decisions.actions import Action, PlanInput
from chervilrock.decisions.planner.base import GroupPlanner
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import form_group
from chervilrock.decisions.planner.inventory import Inventory
from chervilrock.decisions.planner.removal import (
    dissolve_surplus,
    dissolve_unwanted,
    replace_outdated,
)
from chervilrock.decisions.planner.repair import list_broken, repair_group
from chervilrock.decisions.planner.specs import get_weight, is_current
from chervilrock.generated.configuration import ModelSpec


def plan(view: PlanInput, now: float) -> tuple[Action, ...]:
    """Returns the actions for a whole view, the most urgent first.

    Args:
      view: wanted models, costs, hosts and groups of the region.
      now: present time in seconds.
    """
    del now
    draft = Draft(inventory=Inventory(view=view))
    models = sorted(draft.inventory.models.values(), key=_order)
    for spec in models:
        dissolve_surplus(draft, spec)
    for spec in models:
        for group in list_broken(draft, spec):
            repair_group(draft, spec, group)
    for spec in models:
        _form_missing(draft, spec)
    for spec in models:
        replace_outdated(draft, spec)
    dissolve_unwanted(draft)
    return tuple(draft.actions)


class Planner(GroupPlanner):
    """Plans with the policy of this package."""

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        """Returns the actions for a whole view, the most urgent first."""
        return plan(view, now)


def _form_missing(draft: Draft, spec: ModelSpec) -> None:
    """Forms the groups that a model lacks, as far as hosts are free."""
    whole = sum(
        1
        for group in draft.list_groups(spec)
        if is_current(spec, group)
        and (
            group.name in draft.touched or not draft.inventory.get_losses(group)
        )
    )
    for _ in range(spec["groups"] - whole):
        if not form_group(draft, spec):
            return


def _order(spec: ModelSpec) -> tuple[float, str]:
    """Orders models by their worth, the greatest first."""
    return (-get_weight(spec), spec["name"])
