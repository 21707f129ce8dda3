"""Dissolving groups so that others which are worth more can be whole.

For one fabric domain the best set of groups is chosen exactly, out of those
that stand there and those that are missing. The values compare the time until
missing hosts are expected back with the time of loads.
"""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.formation import has_room
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.packing import Item, Option, pack, Packing
from chervilrock.decisions.planner.placement import choose_hosts
from chervilrock.decisions.planner.repair import repair_group
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
    may_stand_in,
)
from chervilrock.generated.configuration import ModelSpec

_HESITATION = 0.1
_DISLIKE = 0.99


class Arrangement(NamedTuple):
    """A better use of the hosts of a domain.

    Attributes:
      domain: the domain
      gain: what it saves against leaving all groups as they are
      dropped: groups to dissolve
      repaired: groups to repair, the most valuable first
      formed: models of groups to form, the most valuable first
    """

    domain: Domain
    gain: float
    dropped: tuple[GroupView, ...]
    repaired: tuple[GroupView, ...]
    formed: tuple[ModelSpec, ...]


def find_arrangement(
    draft: Draft,
    knowledge: Knowledge,
    domain: Domain,
    missing: list[ModelSpec],
) -> Arrangement | None:
    """Returns the best arrangement of a domain when it beats the present one.

    Args:
      draft: the plan so far.
      knowledge: estimates.
      domain: the domain.
      missing: models that lack a group, each as often as it lacks one.
    """
    groups = _list_groups(draft, domain)
    hosts = draft.count_free(domain) + draft.count_coming(domain)
    hosts += sum(_count_healthy(draft, group) for group in groups)
    horizon = _find_horizon(draft, knowledge, groups, missing)
    offers = _list_offers(draft, domain, missing, hosts)
    fixed = [
        _make_item(draft, knowledge, group, horizon, domain, droppable=False)
        for group in groups
    ]
    kept_names = _list_last_serving(draft, groups)
    loose = [
        _make_item(
            draft,
            knowledge,
            group,
            horizon,
            domain,
            droppable=group.name not in kept_names,
        )
        for group in groups
    ]
    new = [_make_offer(draft, knowledge, spec, horizon) for spec in offers]
    present = pack(tuple(fixed + new), hosts)
    best = pack(tuple(loose + new), hosts)
    if best is None:
        return None
    return _compare(draft, knowledge, domain, groups, offers, present, best)


def arrange(draft: Draft, found: Arrangement) -> None:
    """Adds the actions of an arrangement that can be carried out now.

    Hosts of dissolved groups are free only later; until then the domain is
    locked, so that nothing else takes the hosts meant for a repair.
    """
    for group in found.dropped:
        draft.dissolve(group, "hosts are worth more elsewhere")
    for group in found.repaired:
        spec = draft.inventory.models[group.model]
        if not repair_group(draft, spec, group):
            draft.wait(group)
            draft.locked.add(found.domain)
    for spec in found.formed:
        free = draft.list_free(found.domain)
        if found.domain in draft.locked or len(free) < spec["hosts_per_group"]:
            name = spec["name"]
            draft.forming[name] = draft.forming.get(name, 0) + 1
            draft.locked.add(found.domain)
            continue
        draft.form(spec, choose_hosts(spec, free), found.domain.name)


def _compare(
    draft: Draft,
    knowledge: Knowledge,
    domain: Domain,
    groups: list[GroupView],
    offers: list[ModelSpec],
    present: Packing | None,
    best: Packing,
) -> Arrangement | None:
    """Returns the best packing as an arrangement when it gains enough."""
    models = draft.inventory.models
    dropped: list[GroupView] = []
    repaired: list[GroupView] = []
    cost = 0.0
    for group, choice in zip(groups, best.chosen, strict=False):
        spec = models[group.model]
        whole = draft.is_whole(group)
        if choice == _DROP:
            dropped.append(group)
            loss_s = knowledge.estimate_form(spec) if whole else 0.0
            cost += _HESITATION * loss_s * estimate_group_worth(draft, spec)
        elif choice == _KEEP and not whole:
            repaired.append(group)
    formed = [
        spec
        for spec, choice in zip(offers, best.chosen[len(groups) :], strict=True)
        if choice == _KEEP
    ]
    gain = best.value - (present.value if present else 0.0)
    if dropped and gain <= cost:
        return None
    if not repaired and not formed:
        return None
    return Arrangement(
        domain, gain, tuple(dropped), tuple(repaired), tuple(formed)
    )


_DROP = 0
_KEEP = 1
_WAIT = 2
_IMPOSSIBLE = -1e18


def _make_item(
    draft: Draft,
    knowledge: Knowledge,
    group: GroupView,
    horizon: float,
    domain: Domain,
    *,
    droppable: bool,
) -> Item:
    """Returns the ways to treat a group: drop it, keep it whole, or wait."""
    spec = draft.inventory.models[group.model]
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form_s = knowledge.estimate_form(spec)
    drop = Option(0, _IMPOSSIBLE)
    if droppable:
        elsewhere = has_room(draft, spec, domain)
        drop = Option(0, worth * horizon if elsewhere else 0.0)
    if draft.is_whole(group):
        return Item(
            group.name, (drop, Option(size, worth * (horizon + form_s)))
        )
    losses = len(draft.inventory.get_losses(group))
    repair_s = estimate_load(knowledge.times, losses)
    repair = Option(size, worth * (horizon - repair_s + form_s))
    wait = Option(size - losses, worth * max(0.0, form_s - repair_s))
    if group.name in draft.waiting:
        rest = knowledge.estimate_rest(draft, group)
        early = max(0.0, horizon - rest)
        wait = Option(size - losses, worth * (early + form_s))
    return Item(group.name, (drop, repair, wait))


def _make_offer(
    draft: Draft, knowledge: Knowledge, spec: ModelSpec, horizon: float
) -> Item:
    """Returns the item of a missing group."""
    worth = estimate_group_worth(draft, spec)
    form_s = knowledge.estimate_form(spec)
    value = worth * horizon * _DISLIKE if horizon > form_s else 0.0
    options = (Option(0, 0.0), Option(spec["hosts_per_group"], value))
    return Item(spec["name"], options, spec.get("spares", 0))


def _list_groups(draft: Draft, domain: Domain) -> list[GroupView]:
    """Returns the groups of a domain whose hosts may be used otherwise."""
    inventory = draft.inventory
    names = sorted(inventory.groups_in_domain.get(domain, ()))
    groups: list[GroupView] = []
    for name in names:
        group = inventory.groups[name]
        spec = inventory.models.get(group.model)
        if spec is None or name in draft.touched or is_ending(group):
            continue
        if not is_current(spec, group) or not may_stand_in(spec, domain):
            continue
        if inventory.find_domain(group) == domain:
            groups.append(group)
    return groups


def _list_offers(
    draft: Draft, domain: Domain, missing: list[ModelSpec], hosts: int
) -> list[ModelSpec]:
    """Returns the missing groups that could stand in a domain."""
    offers: list[ModelSpec] = []
    room: dict[str, int] = {}
    for spec in missing:
        name = spec["name"]
        if not may_stand_in(spec, domain):
            continue
        left = room.get(name, hosts) - spec["hosts_per_group"]
        if left >= 0:
            room[name] = left
            offers.append(spec)
    return offers


def _count_healthy(draft: Draft, group: GroupView) -> int:
    return len(group.hosts) - len(draft.inventory.get_losses(group))


def _find_horizon(
    draft: Draft,
    knowledge: Knowledge,
    groups: list[GroupView],
    missing: list[ModelSpec],
) -> float:
    """Returns how long the choice will matter, in seconds."""
    rests = [
        knowledge.estimate_rest(draft, group)
        for group in groups
        if not draft.is_whole(group) and group.name not in draft.waiting
    ]
    if rests:
        return min(rests)
    return max(
        (knowledge.estimate_horizon(draft, spec) for spec in missing),
        default=0.0,
    )


def _list_last_serving(draft: Draft, groups: list[GroupView]) -> set[str]:
    """Returns the groups that must stay so that their models serve."""
    inventory = draft.inventory
    kept: set[str] = set()
    serving: dict[str, list[GroupView]] = {}
    for group in groups:
        if inventory.is_serving(group):
            serving.setdefault(group.model, []).append(group)
    for model, here in serving.items():
        spec = inventory.models[model]
        everywhere = draft.count_serving(spec)
        if everywhere <= len(here):
            kept.add(here[0].name)
    return kept
