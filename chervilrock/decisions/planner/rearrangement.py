"""Other uses of the hosts of fabric domains, so that more groups are whole.

For one or two domains the best set of groups is chosen exactly, out of those
that stand there and those that are missing. Groups may be dissolved for others
that are worth more, or moved from one domain to the other.
"""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.estimates import estimate_load
from chervilrock.decisions.planner.formation import list_offers
from chervilrock.decisions.planner.knowledge import (
    estimate_group_worth,
    Knowledge,
)
from chervilrock.decisions.planner.options import (
    list_ways,
    list_ways_to_offer,
    list_ways_to_stay,
    Site,
    Treatment,
    Way,
)
from chervilrock.decisions.planner.packing import pack
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
    may_stand_in,
)
from chervilrock.generated.configuration import ModelSpec

_HESITATION = 0.1
_END_S = 40.0


class Standing(NamedTuple):
    """A group and the index of the domain where it stands."""

    group: GroupView
    place: int


class Formed(NamedTuple):
    """A group to form."""

    spec: ModelSpec
    domain: Domain


class Moved(NamedTuple):
    """A group to move."""

    group: GroupView
    domain: Domain


class Arrangement(NamedTuple):
    """A better use of the hosts of domains.

    Attributes:
      domains: the domains
      gain: what it saves against leaving all groups as they are
      dropped: groups to dissolve
      moved: groups to move to the other domain
      repaired: groups to repair
      formed: groups to form
    """

    domains: tuple[Domain, ...]
    gain: float
    dropped: tuple[GroupView, ...]
    moved: tuple[Moved, ...]
    repaired: tuple[GroupView, ...]
    formed: tuple[Formed, ...]


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
    groups = _list_groups(draft, domains)
    hosts = _count_hosts(draft, domains, groups)
    site = Site(domains, _find_horizon(draft, knowledge, groups, missing))
    offers = _list_offers(missing, domains, hosts)
    fixed = [
        list_ways_to_stay(draft, knowledge, site, *standing)
        for standing in groups
    ]
    specs = [draft.inventory.models[group.model] for group, _ in groups]
    specs += offers
    new = [list_ways_to_offer(draft, knowledge, site, one) for one in offers]
    present = _choose(fixed + new, hosts)
    if not drops:
        return _describe(knowledge, draft, site, groups, offers, present)
    kept = _list_last_serving(draft, groups)
    loose = [
        list_ways(draft, knowledge, site, *standing)
        if standing.group.name not in kept
        else ways
        for standing, ways in zip(groups, fixed, strict=True)
    ]
    best = _choose(loose + new, hosts)
    found = _describe(knowledge, draft, site, groups, offers, best)
    if found is None or best is None:
        return None
    gain = found.gain
    gain -= _estimate_value(draft, knowledge, specs, present or ())
    if not found.dropped and not found.moved:
        return found._replace(gain=gain)
    rate = _get_rate(draft, specs, best)
    rate -= _get_rate(draft, specs, present or ())
    rests = _list_ages(draft, knowledge, groups, found)
    if gain <= 0 or _is_hasty(knowledge, site, rests, gain, rate):
        return None
    return found._replace(gain=gain)


def _is_hasty(
    knowledge: Knowledge,
    site: Site,
    ages: list[float],
    gain: float,
    rate: float,
) -> bool:
    """Tells whether to wait for missing hosts a little longer.

    Args:
      knowledge: estimates.
      site: the domains and the horizon.
      ages: how long hosts have been missing, in seconds.
      gain: what is gained over the horizon.
      rate: what is gained in a second once all is done.
    """
    if not ages or rate <= 0:
        return False
    cost_s = site.horizon - gain / rate
    return knowledge.history.is_wait_better(min(ages), cost_s)


def _get_rate(
    draft: Draft, specs: list[ModelSpec], chosen: tuple[Way, ...]
) -> float:
    """Returns the worth of the groups that are whole in the end."""
    return sum(
        estimate_group_worth(draft, spec)
        for spec, way in zip(specs, chosen, strict=False)
        if way.treatment not in (Treatment.DROP, Treatment.WAIT)
    )


def _list_ages(
    draft: Draft,
    knowledge: Knowledge,
    groups: list[Standing],
    found: Arrangement,
) -> list[float]:
    """Returns how long the hosts are missing that call for a change."""
    inventory = draft.inventory
    names = {group.name for group, _ in groups if not draft.is_whole(group)}
    for spec, _ in found.formed:
        names |= inventory.broken.get(spec["name"], set())
    return [
        knowledge.get_age(inventory.groups[name])
        for name in sorted(names - draft.waiting - draft.touched)
    ]


def _choose(
    items: list[tuple[Way, ...]], hosts: tuple[int, ...]
) -> tuple[Way, ...] | None:
    """Returns the best ways together, None when nothing fits."""
    packing = pack(
        tuple(tuple(way.option for way in ways) for ways in items), hosts
    )
    if packing is None:
        return None
    return tuple(
        ways[index] for ways, index in zip(items, packing.chosen, strict=True)
    )


def _estimate_value(
    draft: Draft,
    knowledge: Knowledge,
    specs: list[ModelSpec],
    chosen: tuple[Way, ...],
) -> float:
    """Returns what ways are worth when all their loads share the store.

    The values of the options know of no other loads; here each group that
    loads is down until all have loaded, and longer when others end first.
    """
    shards = sum(way.shards for way in chosen)
    ends = any(way.treatment == Treatment.DROP for way in chosen)
    together_s = estimate_load(knowledge.times, shards)
    together_s += _END_S if ends else 0.0
    value = sum(way.option.value for way in chosen)
    for spec, way in zip(specs, chosen, strict=False):
        if way.shards:
            alone_s = estimate_load(knowledge.times, way.shards)
            late_s = max(0.0, together_s - alone_s)
            value -= late_s * estimate_group_worth(draft, spec)
    return value


def _describe(
    knowledge: Knowledge,
    draft: Draft,
    site: Site,
    groups: list[Standing],
    offers: list[ModelSpec],
    chosen: tuple[Way, ...] | None,
) -> Arrangement | None:
    """Returns chosen ways as an arrangement, None when they change nothing.

    Its gain is the value of the ways, less something for each whole group that
    they end.
    """
    if chosen is None:
        return None
    specs = [draft.inventory.models[group.model] for group, _ in groups]
    specs += offers
    dropped: list[GroupView] = []
    moved: list[Moved] = []
    repaired: list[GroupView] = []
    cost = 0.0
    for (group, _), way in zip(groups, chosen, strict=False):
        if way.treatment in (Treatment.DROP, Treatment.FORM):
            cost += _estimate_hesitation(knowledge, draft, group)
        if way.treatment == Treatment.DROP:
            dropped.append(group)
        elif way.treatment == Treatment.FORM:
            moved.append(Moved(group, site.domains[way.place]))
        elif way.treatment == Treatment.REPAIR:
            repaired.append(group)
    formed = [
        Formed(spec, site.domains[way.place])
        for spec, way in zip(offers, chosen[len(groups) :], strict=True)
        if way.treatment == Treatment.FORM
    ]
    if not repaired and not formed:
        return None
    return Arrangement(
        site.domains,
        _estimate_value(draft, knowledge, specs, chosen) - cost,
        tuple(dropped),
        tuple(moved),
        tuple(repaired),
        tuple(formed),
    )


def _estimate_hesitation(
    knowledge: Knowledge, draft: Draft, group: GroupView
) -> float:
    """Returns what an arrangement must gain to end a group."""
    if not draft.is_whole(group):
        return 0.0
    spec = draft.inventory.models[group.model]
    form_s = knowledge.estimate_form(spec)
    return _HESITATION * form_s * estimate_group_worth(draft, spec)


def _list_groups(draft: Draft, domains: tuple[Domain, ...]) -> list[Standing]:
    """Returns the groups of domains whose hosts may be used otherwise."""
    inventory = draft.inventory
    groups: list[Standing] = []
    for place, domain in enumerate(domains):
        for name in sorted(inventory.groups_in_domain.get(domain, ())):
            group = inventory.groups[name]
            spec = inventory.models.get(group.model)
            if spec is None or name in draft.touched or is_ending(group):
                continue
            if not is_current(spec, group) or not may_stand_in(spec, domain):
                continue
            if inventory.find_domain(group) == domain:
                groups.append(Standing(group, place))
    return groups


def _count_hosts(
    draft: Draft, domains: tuple[Domain, ...], groups: list[Standing]
) -> tuple[int, ...]:
    """Returns the hosts of each domain that can be arranged."""
    hosts = [
        draft.count_free(domain) + draft.count_coming(domain)
        for domain in domains
    ]
    for group, place in groups:
        losses = draft.inventory.get_losses(group)
        hosts[place] += len(group.hosts) - len(losses)
    return tuple(hosts)


def _list_offers(
    missing: list[ModelSpec],
    domains: tuple[Domain, ...],
    hosts: tuple[int, ...],
) -> list[ModelSpec]:
    """Returns the missing groups that could stand in one of the domains."""
    counts: dict[str, int] = {}
    for domain, limit in zip(domains, hosts, strict=True):
        for spec in list_offers(missing, domain, limit):
            counts[spec["name"]] = counts.get(spec["name"], 0) + 1
    offers: list[ModelSpec] = []
    for spec in missing:
        if counts.get(spec["name"], 0) > 0:
            counts[spec["name"]] -= 1
            offers.append(spec)
    return offers


def _find_horizon(
    draft: Draft,
    knowledge: Knowledge,
    groups: list[Standing],
    missing: list[ModelSpec],
) -> float:
    """Returns how long the choice will matter, in seconds."""
    rests = [
        knowledge.estimate_rest(group)
        for group, _ in groups
        if not draft.is_whole(group) and group.name not in draft.waiting
    ]
    if rests:
        return min(rests)
    return max(
        (knowledge.estimate_horizon(draft, spec) for spec in missing),
        default=0.0,
    )


def _list_last_serving(draft: Draft, groups: list[Standing]) -> set[str]:
    """Returns the groups that must stay so that their models serve."""
    inventory = draft.inventory
    kept: set[str] = set()
    serving: dict[str, list[GroupView]] = {}
    for group, _ in groups:
        if inventory.is_serving(group):
            serving.setdefault(group.model, []).append(group)
    for model, here in serving.items():
        spec = inventory.models[model]
        if draft.count_serving(spec) <= len(here):
            kept.add(here[0].name)
    return kept
