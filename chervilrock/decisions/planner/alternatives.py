"""Alternatives for the groups of a subproblem, and their values.

Values compare the time until missing hosts are expected back (the horizon)
with the load times. A group that is down for the horizon and has to be formed
afterwards has the value zero.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.planner.context import (
    estimate_group_worth,
    PlanContext,
)
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.packing import Option
from chervilrock.decisions.planner.specs import may_use_domain
from chervilrock.decisions.planner.subproblem import PlacedGroup, Subproblem
from chervilrock.generated.configuration import ModelSpec

_FORM_DISCOUNT = 0.99
"""Factor on the value of new groups, in favour of existing ones."""


class Treatment(enum.Enum):
    """What is done with an existing or a missing group.

    LEAVE: a missing group is not formed.
    DROP: it is dissolved.
    KEEP: it is whole and stays unchanged.
    REPAIR: it stays and its lost hosts are replaced.
    WAIT: it stays and waits for its hosts to return.
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


class Alternative(NamedTuple):
    """One alternative for a group.

    Attributes:
      treatment: what is done
      spec: model of the group
      domain_index: index of the domain that the group then uses
      option: the hosts that the group then uses, and the value
      shards: shards that it loads
    """

    treatment: Treatment
    spec: ModelSpec
    domain_index: int
    option: Option
    shards: int = 0


def list_alternatives(
    draft: Draft,
    context: PlanContext,
    subproblem: Subproblem,
    placed_group: PlacedGroup,
) -> tuple[Alternative, ...]:
    """Returns all alternatives for an existing group."""
    spec = draft.inventory.models[placed_group.group.model]
    nothing = Option(subproblem.make_host_counts(0, 0), 0.0)
    return (
        Alternative(Treatment.DROP, spec, placed_group.domain_index, nothing),
        *list_alternatives_in_place(draft, context, subproblem, placed_group),
        *(
            alternative._replace(treatment=Treatment.MOVE)
            for alternative in _list_formations(
                draft, context, subproblem, spec
            )
            if alternative.domain_index != placed_group.domain_index
        ),
    )


def list_alternatives_in_place(
    draft: Draft,
    context: PlanContext,
    subproblem: Subproblem,
    placed_group: PlacedGroup,
) -> tuple[Alternative, ...]:
    """Returns the alternatives that keep a group in its domain."""
    group, domain_index = placed_group
    spec = draft.inventory.models[group.model]
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form_s = context.estimate_form(spec)
    if draft.is_whole(group):
        value = worth * (subproblem.horizon_s + form_s)
        keep = Option(subproblem.make_host_counts(domain_index, size), value)
        return (Alternative(Treatment.KEEP, spec, domain_index, keep),)
    losses = len(draft.inventory.get_losses(group))
    repair_s = estimate_load(context.times, losses)
    repair = Option(
        subproblem.make_host_counts(domain_index, size),
        worth * (subproblem.horizon_s - repair_s + form_s),
    )
    saved_s = max(0.0, form_s - repair_s)
    if group.name in draft.waiting:
        remaining_s = context.estimate_remaining_s(group)
        saved_s = form_s + max(0.0, subproblem.horizon_s - remaining_s)
    wait = Option(
        subproblem.make_host_counts(domain_index, size - losses),
        worth * saved_s,
    )
    return (
        Alternative(Treatment.REPAIR, spec, domain_index, repair, losses),
        Alternative(Treatment.WAIT, spec, domain_index, wait),
    )


def list_alternatives_to_form(
    draft: Draft, context: PlanContext, subproblem: Subproblem, spec: ModelSpec
) -> tuple[Alternative, ...]:
    """Returns the alternatives for a missing group."""
    nothing = Option(subproblem.make_host_counts(0, 0), 0.0)
    return (
        Alternative(Treatment.LEAVE, spec, 0, nothing),
        *_list_formations(draft, context, subproblem, spec),
    )


def _list_formations(
    draft: Draft, context: PlanContext, subproblem: Subproblem, spec: ModelSpec
) -> list[Alternative]:
    """Returns the alternatives that form a group in one of the domains."""
    size = spec["hosts_per_group"]
    if subproblem.horizon_s <= context.estimate_form(spec):
        return []
    value = (
        estimate_group_worth(draft, spec)
        * subproblem.horizon_s
        * _FORM_DISCOUNT
    )
    spares = spec.get("spares", 0)
    return [
        Alternative(
            Treatment.FORM,
            spec,
            domain_index,
            Option(
                subproblem.make_host_counts(domain_index, size), value, spares
            ),
            size,
        )
        for domain_index, domain in enumerate(subproblem.domains)
        if may_use_domain(spec, domain)
    ]
