"""Ways to treat the groups of fabric domains, with what they are worth.

Values compare the time until missing hosts are expected back (the horizon)
with the time of loads. Zero is a group that is down for the horizon and has
to be formed after it.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.packing import Option
from chervilrock.decisions.planner.specs import Domain, may_stand_in
from chervilrock.generated.configuration import ModelSpec

_DISLIKE = 0.99
_IMPOSSIBLE = -1e18


class Treatment(enum.Enum):
    """What is done with a group."""

    DROP = enum.auto()
    KEEP = enum.auto()
    REPAIR = enum.auto()
    WAIT = enum.auto()
    FORM = enum.auto()


class Way(NamedTuple):
    """A treatment of a group, in which domain, and its value.

    Attributes:
      treatment: what is done
      place: index of the domain where the group then stands
      option: the hosts that it takes, and its value
      shards: shards that it loads
    """

    treatment: Treatment
    place: int
    option: Option
    shards: int = 0


class Site(NamedTuple):
    """The domains that are arranged together.

    Attributes:
      domains: one or two fabric domains
      horizon: how long the choice will matter, in seconds
    """

    domains: tuple[Domain, ...]
    horizon: float

    def take(self, place: int, hosts: int) -> tuple[int, ...]:
        """Returns the hosts taken in each domain."""
        return tuple(
            hosts if index == place else 0 for index in range(len(self.domains))
        )


def list_ways(
    draft: Draft, knowledge: Knowledge, site: Site, group: GroupView, place: int
) -> tuple[Way, ...]:
    """Returns the ways to treat a group that stands in one of the domains."""
    spec = draft.inventory.models[group.model]
    drop = Way(Treatment.DROP, place, Option(site.take(place, 0), 0.0))
    return (
        drop,
        *list_ways_to_stay(draft, knowledge, site, group, place),
        *_list_ways_to_form(draft, knowledge, site, spec, but=place),
    )


def list_ways_to_stay(
    draft: Draft, knowledge: Knowledge, site: Site, group: GroupView, place: int
) -> tuple[Way, ...]:
    """Returns the ways that leave a group where it is."""
    spec = draft.inventory.models[group.model]
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form_s = knowledge.estimate_form(spec)
    if draft.is_whole(group):
        value = worth * (site.horizon + form_s)
        keep = Option(site.take(place, size), value)
        return (Way(Treatment.KEEP, place, keep),)
    losses = len(draft.inventory.get_losses(group))
    repair_s = estimate_load(knowledge.times, losses)
    repair = Option(
        site.take(place, size), worth * (site.horizon - repair_s + form_s)
    )
    saved_s = max(0.0, form_s - repair_s)
    if group.name in draft.waiting:
        rest = knowledge.estimate_rest(group)
        saved_s = form_s + max(0.0, site.horizon - rest)
    wait = Option(site.take(place, size - losses), worth * saved_s)
    return (
        Way(Treatment.REPAIR, place, repair, losses),
        Way(Treatment.WAIT, place, wait),
    )


def list_ways_to_offer(
    draft: Draft, knowledge: Knowledge, site: Site, spec: ModelSpec
) -> tuple[Way, ...]:
    """Returns the ways to treat a missing group: leave it, or form it."""
    leave = Way(Treatment.DROP, 0, Option(site.take(0, 0), 0.0))
    return (leave, *_list_ways_to_form(draft, knowledge, site, spec))


def _list_ways_to_form(
    draft: Draft,
    knowledge: Knowledge,
    site: Site,
    spec: ModelSpec,
    but: int | None = None,
) -> list[Way]:
    """Returns the ways to form a group in one of the domains."""
    size = spec["hosts_per_group"]
    if site.horizon <= knowledge.estimate_form(spec):
        return []
    value = estimate_group_worth(draft, spec) * site.horizon * _DISLIKE
    return [
        Way(
            Treatment.FORM,
            place,
            Option(site.take(place, size), value, spec.get("spares", 0)),
            size,
        )
        for place, domain in enumerate(site.domains)
        if place != but and may_stand_in(spec, domain)
    ]
