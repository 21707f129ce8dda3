"""Ways to treat the groups of a scene, with what they are worth.

Values compare the time until missing hosts are expected back (the horizon)
with the time of loads. Zero is a group that is down for the horizon and has
to be formed after it.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.packing import Option
from chervilrock.decisions.planner.scene import Scene, Standing
from chervilrock.decisions.planner.specs import may_stand_in
from chervilrock.generated.configuration import ModelSpec

_DISLIKE = 0.99


class Treatment(enum.Enum):
    """What is done with a group that stands or is missing.

    LEAVE: a missing group is not formed.
    DROP: it is dissolved.
    KEEP: it stays, as it is whole.
    REPAIR: it stays and gets other hosts.
    WAIT: it stays and gets its own hosts back.
    FORM: a missing group is formed.
    MOVE: it is dissolved and formed in the other domain.
    """

    LEAVE = enum.auto()
    DROP = enum.auto()
    KEEP = enum.auto()
    REPAIR = enum.auto()
    WAIT = enum.auto()
    FORM = enum.auto()
    MOVE = enum.auto()


class Way(NamedTuple):
    """One way to treat a group.

    Attributes:
      treatment: what is done
      spec: model of the group
      place: index of the domain where the group then stands
      option: the hosts that it takes, and its value
      shards: shards that it loads
    """

    treatment: Treatment
    spec: ModelSpec
    place: int
    option: Option
    shards: int = 0


def list_ways(
    draft: Draft, knowledge: Knowledge, scene: Scene, standing: Standing
) -> tuple[Way, ...]:
    """Returns all ways to treat a group that stands in the scene."""
    spec = draft.inventory.models[standing.group.model]
    nothing = Option(scene.take(0, 0), 0.0)
    return (
        Way(Treatment.DROP, spec, standing.place, nothing),
        *list_ways_to_stay(draft, knowledge, scene, standing),
        *(
            way._replace(treatment=Treatment.MOVE)
            for way in _list_ways_to_form(draft, knowledge, scene, spec)
            if way.place != standing.place
        ),
    )


def list_ways_to_stay(
    draft: Draft, knowledge: Knowledge, scene: Scene, standing: Standing
) -> tuple[Way, ...]:
    """Returns the ways that leave a group where it is."""
    group, place = standing
    spec = draft.inventory.models[group.model]
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form_s = knowledge.estimate_form(spec)
    if draft.is_whole(group):
        value = worth * (scene.horizon + form_s)
        keep = Option(scene.take(place, size), value)
        return (Way(Treatment.KEEP, spec, place, keep),)
    losses = len(draft.inventory.get_losses(group))
    repair_s = estimate_load(knowledge.times, losses)
    repair = Option(
        scene.take(place, size), worth * (scene.horizon - repair_s + form_s)
    )
    saved_s = max(0.0, form_s - repair_s)
    if group.name in draft.waiting:
        rest = knowledge.estimate_rest(group)
        saved_s = form_s + max(0.0, scene.horizon - rest)
    wait = Option(scene.take(place, size - losses), worth * saved_s)
    return (
        Way(Treatment.REPAIR, spec, place, repair, losses),
        Way(Treatment.WAIT, spec, place, wait),
    )


def list_ways_to_offer(
    draft: Draft, knowledge: Knowledge, scene: Scene, spec: ModelSpec
) -> tuple[Way, ...]:
    """Returns the ways to treat a missing group."""
    nothing = Option(scene.take(0, 0), 0.0)
    return (
        Way(Treatment.LEAVE, spec, 0, nothing),
        *_list_ways_to_form(draft, knowledge, scene, spec),
    )


def _list_ways_to_form(
    draft: Draft, knowledge: Knowledge, scene: Scene, spec: ModelSpec
) -> list[Way]:
    """Returns the ways to form a group in one of the domains."""
    size = spec["hosts_per_group"]
    if scene.horizon <= knowledge.estimate_form(spec):
        return []
    value = estimate_group_worth(draft, spec) * scene.horizon * _DISLIKE
    spares = spec.get("spares", 0)
    return [
        Way(
            Treatment.FORM,
            spec,
            place,
            Option(scene.take(place, size), value, spares),
            size,
        )
        for place, domain in enumerate(scene.domains)
        if may_stand_in(spec, domain)
    ]
