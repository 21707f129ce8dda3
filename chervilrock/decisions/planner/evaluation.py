"""What a choice of ways is worth as a whole."""

from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.options import Treatment, Way
from chervilrock.decisions.planner.scene import Scene

_HESITATION = 0.1
_END_S = 40.0
_ENDS = (Treatment.DROP, Treatment.MOVE)
_WHOLE = (Treatment.KEEP, Treatment.REPAIR, Treatment.FORM, Treatment.MOVE)

Choice = tuple[Way, ...]
"""A way for each group of a scene, and then for each offer."""


def estimate_value(
    draft: Draft, knowledge: Knowledge, scene: Scene, choice: Choice
) -> float:
    """Returns what a choice is worth when all its loads share the store.

    The values of the options know of no other loads; here each group that
    loads is down until all have loaded, and longer when others end first. A
    whole group that ends costs something beside, so that small and uncertain
    gains change nothing.
    """
    shards = sum(way.shards for way in choice)
    together_s = estimate_load(knowledge.times, shards)
    if any(way.treatment in _ENDS for way in choice):
        together_s += _END_S
    value = sum(way.option.value for way in choice)
    for way in choice:
        if way.shards:
            alone_s = estimate_load(knowledge.times, way.shards)
            late_s = max(0.0, together_s - alone_s)
            value -= late_s * estimate_group_worth(draft, way.spec)
    return value - _estimate_hesitation(draft, knowledge, scene, choice)


def is_hasty(
    draft: Draft,
    knowledge: Knowledge,
    scene: Scene,
    choice: Choice,
    present: Choice,
) -> bool:
    """Tells whether to wait for missing hosts before a choice is carried out.

    Args:
      draft: the plan so far.
      knowledge: estimates.
      scene: the domains.
      choice: the choice.
      present: the best choice that ends no group.
    """
    ages = _list_ages(draft, knowledge, scene, choice)
    rate = _get_rate(draft, choice) - _get_rate(draft, present)
    if not ages or rate <= 0:
        return False
    gain = estimate_value(draft, knowledge, scene, choice)
    gain -= estimate_value(draft, knowledge, scene, present)
    cost_s = scene.horizon - gain / rate
    return knowledge.history.is_wait_better(min(ages), cost_s)


def _estimate_hesitation(
    draft: Draft, knowledge: Knowledge, scene: Scene, choice: Choice
) -> float:
    """Returns what the end of whole groups costs beside."""
    cost = 0.0
    for (group, _), way in zip(scene.groups, choice, strict=False):
        if way.treatment in _ENDS and draft.is_whole(group):
            form_s = knowledge.estimate_form(way.spec)
            cost += form_s * estimate_group_worth(draft, way.spec)
    return _HESITATION * cost


def _get_rate(draft: Draft, choice: Choice) -> float:
    """Returns the worth of the groups that are whole in the end."""
    return sum(
        estimate_group_worth(draft, way.spec)
        for way in choice
        if way.treatment in _WHOLE
    )


def _list_ages(
    draft: Draft, knowledge: Knowledge, scene: Scene, choice: Choice
) -> list[float]:
    """Returns how long the hosts are missing that call for a change."""
    inventory = draft.inventory
    names = {
        group.name for group, _ in scene.groups if not draft.is_whole(group)
    }
    for way in choice:
        if way.treatment == Treatment.FORM:
            names |= inventory.broken.get(way.spec["name"], set())
    return [
        knowledge.get_age(inventory.groups[name])
        for name in sorted(names - draft.waiting - draft.touched)
    ]
