"""Dissolution of groups that are unwanted, surplus or outdated."""

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.specs import is_current, is_ending
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase


def dissolve_unwanted(draft: Draft) -> None:
    """Dissolves the groups of models that are no longer wanted."""
    inventory = draft.inventory
    for name in sorted(inventory.groups):
        group = inventory.groups[name]
        spec = inventory.models.get(group.model)
        wanted = spec is not None and spec["groups"] > 0
        if not wanted and not is_ending(group):
            draft.dissolve(group, "model not wanted")


def dissolve_surplus(draft: Draft, spec: ModelSpec) -> None:
    """Dissolves the groups that a model no longer needs.

    Groups of an old version that do not serve are dissolved immediately.
    Others are dissolved only while enough groups serve without them.
    """
    inventory = draft.inventory
    wanted = spec["groups"]
    groups = draft.list_groups(spec)
    serving = sum(1 for group in groups if inventory.is_serving(group))
    serving_current = sum(
        1
        for group in groups
        if inventory.is_serving(group) and is_current(spec, group)
    )
    for group in sorted(
        groups, key=lambda each: _make_sort_key(draft, spec, each)
    ):
        if inventory.is_serving(group):
            if serving <= wanted:
                continue
            serving -= 1
            draft.dissolve(group, "more groups than wanted")
        elif serving_current >= wanted:
            draft.dissolve(group, "more groups than wanted")
        elif not is_current(spec, group):
            draft.dissolve(group, "old version")


def replace_outdated(draft: Draft, spec: ModelSpec) -> None:
    """Dissolves one group of an old version to free hosts for its successor.

    Nothing is dissolved while any group of the model loads, drains or is being
    formed. The last serving group is never dissolved.
    """
    inventory = draft.inventory
    groups = draft.list_groups(spec)
    outdated = [group for group in groups if not is_current(spec, group)]
    if not outdated or draft.forming.get(spec["name"], 0):
        return
    if _is_changing(draft, spec, groups):
        return
    outdated.sort(key=lambda each: _make_sort_key(draft, spec, each))
    replaced = outdated[0]
    serving = sum(1 for group in groups if inventory.is_serving(group))
    if inventory.is_serving(replaced) and serving <= 1:
        return
    draft.dissolve(replaced, "old version")


def _is_changing(
    draft: Draft, spec: ModelSpec, groups: list[GroupView]
) -> bool:
    """Returns whether a group of the model loads, drains or is repaired."""
    inventory = draft.inventory
    names = inventory.groups_of_model.get(spec["name"], ())
    model_groups = [inventory.groups[name] for name in names]
    if any(group.phase == GroupPhase.DRAINING for group in model_groups):
        return True
    if any(group.name in draft.changed_groups for group in model_groups):
        return True
    return any(
        group.phase == GroupPhase.LOADING
        and is_current(spec, group)
        and not inventory.get_losses(group)
        for group in groups
    )


def _make_sort_key(
    draft: Draft, spec: ModelSpec, group: GroupView
) -> tuple[bool, bool, bool, int, int]:
    """Returns a sort key for groups of a model, the least useful first.

    Among equal groups, the newest of the wanted version and the oldest of an
    old version come first, as in the controller.
    """
    inventory = draft.inventory
    current = is_current(spec, group)
    return (
        inventory.is_serving(group) and current,
        inventory.is_serving(group),
        bool(group.domain),
        -len(inventory.get_losses(group)),
        -group.fence if current else group.fence,
    )
