"""Reassignment of the hosts of fabric domains to make more groups whole.

For one or two domains the best set of groups is chosen exactly, from those
that exist there and those that are missing. Groups may be dissolved in favour
of others that are worth more, or moved from one domain to the other.
"""

from collections.abc import Iterator
import itertools

from chervilrock.decisions.planner.alternatives import (
    Alternative,
    list_alternatives,
    list_alternatives_in_place,
    list_alternatives_to_form,
    Treatment,
)
from chervilrock.decisions.planner.arrangement import (
    Arrangement,
    PlannedFormation,
    PlannedMove,
)
from chervilrock.decisions.planner.context import PlanContext
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.evaluation import (
    Choice,
    estimate_value,
    is_premature,
)
from chervilrock.decisions.planner.packing import pack
from chervilrock.decisions.planner.specs import Domain
from chervilrock.decisions.planner.subproblem import (
    list_last_serving,
    make_subproblem,
    Subproblem,
)
from chervilrock.generated.configuration import ModelSpec

_MAX_KEPT_SETS = 8
"""Combinations of groups to keep that are tried for one subproblem."""

Alternatives = list[tuple[Alternative, ...]]


def find_arrangement(
    draft: Draft,
    context: PlanContext,
    domains: tuple[Domain, ...],
    missing: list[ModelSpec],
    *,
    may_dissolve: bool = True,
) -> Arrangement | None:
    """Returns the best arrangement of domains if it improves the present one.

    Args:
      draft: the plan so far.
      context: estimates.
      domains: one or two domains.
      missing: models that lack a group, one entry per missing group.
      may_dissolve: whether groups may be dissolved or moved.
    """
    subproblem = make_subproblem(draft, context, domains, missing)
    in_place = [
        list_alternatives_in_place(draft, context, subproblem, placed_group)
        for placed_group in subproblem.groups
    ]
    candidates = [
        list_alternatives_to_form(draft, context, subproblem, spec)
        for spec in subproblem.candidates
    ]
    present = _choose(subproblem, in_place + candidates) or ()
    value = estimate_value(draft, context, subproblem, present)
    if not may_dissolve:
        return _make_arrangement(draft, subproblem, present, value)
    best, best_value = present, value
    for movable in _list_variants(draft, context, subproblem, in_place):
        choice = _choose(subproblem, movable + candidates)
        if choice is None:
            continue
        choice_value = estimate_value(draft, context, subproblem, choice)
        if choice_value > best_value:
            best, best_value = choice, choice_value
    if best is not present and is_premature(
        draft, context, subproblem, best, present
    ):
        return None
    return _make_arrangement(draft, subproblem, best, best_value - value)


def _list_variants(
    draft: Draft,
    context: PlanContext,
    subproblem: Subproblem,
    in_place: Alternatives,
) -> Iterator[Alternatives]:
    """Yields alternatives of the groups for each choice of groups to keep.

    One of the last serving groups of a model must stay where it is. Each of
    them is tried, up to a limited number of combinations.
    """
    alternatives = [
        list_alternatives(draft, context, subproblem, placed_group)
        for placed_group in subproblem.groups
    ]
    sets = list_last_serving(draft, subproblem)
    for kept in itertools.islice(itertools.product(*sets), _MAX_KEPT_SETS):
        yield [
            fixed if placed_group.group.name in kept else movable
            for placed_group, fixed, movable in zip(
                subproblem.groups, in_place, alternatives, strict=True
            )
        ]


def _choose(
    subproblem: Subproblem, alternatives: Alternatives
) -> Choice | None:
    """Returns the best combination of alternatives, None if none fits."""
    items = tuple(
        tuple(alternative.option for alternative in each)
        for each in alternatives
    )
    packing = pack(items, subproblem.hosts)
    if packing is None:
        return None
    return tuple(
        each[index]
        for each, index in zip(alternatives, packing.chosen, strict=True)
    )


def _make_arrangement(
    draft: Draft, subproblem: Subproblem, choice: Choice, gain: float
) -> Arrangement | None:
    """Returns a choice as an arrangement, None if it completes no group."""
    found = Arrangement(domains=subproblem.domains, gain=gain)
    for (group, _), alternative in zip(subproblem.groups, choice, strict=False):
        if alternative.treatment == Treatment.DROP:
            found.dropped.append(group)
        elif alternative.treatment == Treatment.REPAIR:
            found.repaired.append(group)
        elif alternative.treatment == Treatment.MOVE:
            found.moved.append(
                PlannedMove(group, subproblem.domains[alternative.domain_index])
            )
    for alternative in choice[len(subproblem.groups) :]:
        if alternative.treatment == Treatment.FORM:
            found.formed.append(
                PlannedFormation(
                    alternative.spec,
                    subproblem.domains[alternative.domain_index],
                )
            )
    repairs_by_move = any(not draft.is_whole(group) for group, _ in found.moved)
    if not found.repaired and not found.formed and not repairs_by_move:
        return None
    return found
