"""Other uses of the hosts of fabric domains, so that more groups are whole.

For one or two domains the best set of groups is chosen exactly, out of those
that stand there and those that are missing. Groups may be dissolved for others
that are worth more, or moved from one domain to the other.
"""

from collections.abc import Iterator
import itertools

from chervilrock.decisions.planner.arrangement import (
    Arrangement,
    Formed,
    Moved,
)
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.evaluation import (
    Choice,
    estimate_value,
    is_hasty,
)
from chervilrock.decisions.planner.knowledge import Knowledge
from chervilrock.decisions.planner.options import (
    list_ways,
    list_ways_to_offer,
    list_ways_to_stay,
    Treatment,
    Way,
)
from chervilrock.decisions.planner.packing import pack
from chervilrock.decisions.planner.scene import (
    list_last_serving,
    make_scene,
    Scene,
)
from chervilrock.decisions.planner.specs import Domain
from chervilrock.generated.configuration import ModelSpec

_MOST_KEPT = 8

Ways = list[tuple[Way, ...]]


def find_arrangement(
    draft: Draft,
    knowledge: Knowledge,
    domains: tuple[Domain, ...],
    missing: list[ModelSpec],
    *,
    drops: bool = True,
) -> Arrangement | None:
    """Returns the best arrangement of domains when it beats the present one.

    Args:
      draft: the plan so far.
      knowledge: estimates.
      domains: one or two domains.
      missing: models that lack a group, each as often as it lacks one.
      drops: whether groups may be dissolved or moved.
    """
    scene = make_scene(draft, knowledge, domains, missing)
    stay = [
        list_ways_to_stay(draft, knowledge, scene, standing)
        for standing in scene.groups
    ]
    offers = [
        list_ways_to_offer(draft, knowledge, scene, spec)
        for spec in scene.offers
    ]
    present = _choose(scene, stay + offers) or ()
    value = estimate_value(draft, knowledge, scene, present)
    if not drops:
        return _describe(draft, scene, present, value)
    best, best_value = present, value
    for loose in _list_loose(draft, knowledge, scene, stay):
        choice = _choose(scene, loose + offers)
        if choice is None:
            continue
        choice_value = estimate_value(draft, knowledge, scene, choice)
        if choice_value > best_value:
            best, best_value = choice, choice_value
    if best is not present and is_hasty(draft, knowledge, scene, best, present):
        return None
    return _describe(draft, scene, best, best_value - value)


def _list_loose(
    draft: Draft, knowledge: Knowledge, scene: Scene, stay: Ways
) -> Iterator[Ways]:
    """Yields the ways of the groups, for each choice of those that must stay.

    Of the last serving groups of a model one must stay where it is; each of
    them is tried.
    """
    ways = [
        list_ways(draft, knowledge, scene, standing)
        for standing in scene.groups
    ]
    sets = list_last_serving(draft, scene)
    for kept in itertools.islice(itertools.product(*sets), _MOST_KEPT):
        yield [
            fixed if standing.group.name in kept else loose
            for standing, fixed, loose in zip(
                scene.groups, stay, ways, strict=True
            )
        ]


def _choose(scene: Scene, ways: Ways) -> Choice | None:
    """Returns the best ways together, None when nothing fits."""
    items = tuple(tuple(way.option for way in each) for each in ways)
    packing = pack(items, scene.hosts)
    if packing is None:
        return None
    return tuple(
        each[index] for each, index in zip(ways, packing.chosen, strict=True)
    )


def _describe(
    draft: Draft, scene: Scene, choice: Choice, gain: float
) -> Arrangement | None:
    """Returns a choice as an arrangement, None when it makes none whole."""
    found = Arrangement(domains=scene.domains, gain=gain)
    for (group, _), way in zip(scene.groups, choice, strict=False):
        if way.treatment == Treatment.DROP:
            found.dropped.append(group)
        elif way.treatment == Treatment.REPAIR:
            found.repaired.append(group)
        elif way.treatment == Treatment.MOVE:
            found.moved.append(Moved(group, scene.domains[way.place]))
    for way in choice[len(scene.groups) :]:
        if way.treatment == Treatment.FORM:
            found.formed.append(Formed(way.spec, scene.domains[way.place]))
    mended = any(not draft.is_whole(group) for group, _ in found.moved)
    if not found.repaired and not found.formed and not mended:
        return None
    return found
