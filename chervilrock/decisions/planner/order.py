"""Order of the loads that a plan causes.

The weight store shares its bandwidth among all loads. Loads that start
together therefore all end as late as the last of them would in a sequence. New
groups are formed in the order of their worth per shard, with just enough
parallel loads to use the whole bandwidth. Repairs load few shards and are never
delayed.
"""

from chervilrock.decisions.actions import (
    Action,
    DissolveGroup,
    FormGroup,
    RepairGroup,
)
from chervilrock.decisions.planner.context import (
    estimate_group_worth,
    PlanContext,
)
from chervilrock.decisions.planner.draft import Draft


def order_actions(draft: Draft, context: PlanContext) -> tuple[Action, ...]:
    """Returns the actions of a draft, the most urgent first.

    New groups beyond the bandwidth of the weight store are left to later plans.
    """
    dissolutions = [a for a in draft.actions if isinstance(a, DissolveGroup)]
    repairs = [a for a in draft.actions if isinstance(a, RepairGroup)]
    forms = [a for a in draft.actions if isinstance(a, FormGroup)]
    repairs.sort(key=lambda each: -_rate_repair(draft, each))
    forms.sort(key=lambda each: -_rate_form(draft, each))
    loading_shards = float(context.times.in_flight)
    loading_shards += sum(_count_new(draft, repair) for repair in repairs)
    started: list[FormGroup] = []
    for form in forms:
        if loading_shards >= context.times.parallel:
            break
        loading_shards += len(form.hosts)
        started.append(form)
    return (*dissolutions, *repairs, *started)


def _rate_repair(draft: Draft, action: RepairGroup) -> float:
    """Returns the worth of a repaired group per shard that it loads."""
    group = draft.inventory.groups[action.group]
    spec = draft.inventory.models[group.model]
    shards = max(1, _count_new(draft, action))
    return estimate_group_worth(draft, spec) / shards


def _rate_form(draft: Draft, action: FormGroup) -> float:
    """Returns the worth of a new group per shard that it loads."""
    spec = draft.inventory.models[action.model]
    return estimate_group_worth(draft, spec) / len(action.hosts)


def _count_new(draft: Draft, action: RepairGroup) -> int:
    """Returns the number of hosts that a repair adds to its group."""
    group = draft.inventory.groups[action.group]
    return len(set(action.hosts).difference(group.hosts))
