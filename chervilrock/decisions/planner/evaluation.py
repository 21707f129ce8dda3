"""Evaluation of a combination of alternatives."""

from chervilrock.decisions.planner.alternatives import Alternative, Treatment
from chervilrock.decisions.planner.context import (
    estimate_group_worth,
    PlanContext,
)
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.subproblem import Subproblem

_SWITCHING_COST_FRACTION = 0.1
"""Extra cost of dissolving a whole group, relative to forming it again."""
_DISSOLVE_S = 40.0
"""Delay of all loads when groups have to be dissolved first."""
_DISSOLVING = (Treatment.DROP, Treatment.MOVE)
_WHOLE = (Treatment.KEEP, Treatment.REPAIR, Treatment.FORM, Treatment.MOVE)

Choice = tuple[Alternative, ...]
"""One alternative for each group of a subproblem, then each candidate."""


def estimate_value(
    draft: Draft, context: PlanContext, subproblem: Subproblem, choice: Choice
) -> float:
    """Returns the value of a choice whose loads share the weight store.

    The values of the single options ignore other loads. Here each group that
    loads is down until all have loaded, and longer when other groups have to
    be dissolved first. Dissolving a whole group costs extra, so that small and
    uncertain gains cause no change.
    """
    shards = sum(alternative.shards for alternative in choice)
    together_s = estimate_load(context.times, shards)
    if any(alternative.treatment in _DISSOLVING for alternative in choice):
        together_s += _DISSOLVE_S
    value = sum(alternative.option.value for alternative in choice)
    for alternative in choice:
        if alternative.shards:
            alone_s = estimate_load(context.times, alternative.shards)
            delay_s = max(0.0, together_s - alone_s)
            value -= delay_s * estimate_group_worth(draft, alternative.spec)
    return value - _estimate_switching_cost(draft, context, subproblem, choice)


def is_premature(
    draft: Draft,
    context: PlanContext,
    subproblem: Subproblem,
    choice: Choice,
    present: Choice,
) -> bool:
    """Returns whether to wait for missing hosts before a choice is carried out.

    Args:
      draft: the plan so far.
      context: estimates.
      subproblem: the domains, groups and candidates.
      choice: the choice.
      present: the best choice that dissolves no group.
    """
    ages_s = _list_ages_s(draft, context, subproblem, choice)
    rate = _get_worth_rate(draft, choice) - _get_worth_rate(draft, present)
    if not ages_s or rate <= 0:
        return False
    gain = estimate_value(draft, context, subproblem, choice)
    gain -= estimate_value(draft, context, subproblem, present)
    cost_s = subproblem.horizon_s - gain / rate
    return context.history.is_wait_better(min(ages_s), cost_s)


def _estimate_switching_cost(
    draft: Draft, context: PlanContext, subproblem: Subproblem, choice: Choice
) -> float:
    """Returns the extra cost of the whole groups that are dissolved."""
    cost = 0.0
    for (group, _), alternative in zip(subproblem.groups, choice, strict=False):
        if alternative.treatment in _DISSOLVING and draft.is_whole(group):
            form_s = context.estimate_form(alternative.spec)
            cost += form_s * estimate_group_worth(draft, alternative.spec)
    return _SWITCHING_COST_FRACTION * cost


def _get_worth_rate(draft: Draft, choice: Choice) -> float:
    """Returns the saving per second of the groups that end up whole."""
    return sum(
        estimate_group_worth(draft, alternative.spec)
        for alternative in choice
        if alternative.treatment in _WHOLE
    )


def _list_ages_s(
    draft: Draft, context: PlanContext, subproblem: Subproblem, choice: Choice
) -> list[float]:
    """Returns how long the hosts that cause the choice have been missing."""
    inventory = draft.inventory
    names = {
        group.name
        for group, _ in subproblem.groups
        if not draft.is_whole(group)
    }
    for alternative in choice:
        if alternative.treatment == Treatment.FORM:
            names |= inventory.broken.get(alternative.spec["name"], set())
    return [
        context.get_age_s(inventory.groups[name])
        for name in sorted(names - draft.waiting - draft.changed_groups)
    ]
