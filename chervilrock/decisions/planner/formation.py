"""Formation of new groups from free hosts.

The missing groups are placed together: several orders and rules of choice
are tried on the numbers of free hosts, and the best outcome is carried out.
"""

from collections.abc import Callable
from typing import NamedTuple

from chervilrock.decisions.actions import HostView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.knowledge import estimate_group_worth
from chervilrock.decisions.planner.packing import Option, pack
from chervilrock.decisions.planner.placement import caches_model, choose_hosts
from chervilrock.decisions.planner.specs import Domain, may_cross, may_stand_in
from chervilrock.generated.configuration import ModelSpec

_MOST_TRIED = 64
_COVERED = (0.0, 0.8, 0.95, 0.99, 1.0)


class Placement(NamedTuple):
    """A new group and its domain."""

    spec: ModelSpec
    domain: Domain


Order = Callable[[ModelSpec], tuple[float, ...]]
Rule = Callable[[int], tuple[float, ...]]


def form_groups(draft: Draft, wanted: list[ModelSpec]) -> None:
    """Forms groups as far as free hosts allow.

    Args:
      draft: the plan so far.
      wanted: model of each missing group, the most valuable first.
    """
    placed = place_groups(draft, wanted)
    counts: dict[str, int] = {}
    for spec, domain in placed:
        hosts = choose_hosts(spec, draft.list_free(domain))
        draft.form(spec, hosts, domain.name)
        counts[spec["name"]] = counts.get(spec["name"], 0) + 1
    for spec in wanted:
        if counts.get(spec["name"], 0) > 0:
            counts[spec["name"]] -= 1
        elif may_cross(spec):
            _form_across(draft, spec)


def form_in_domain(draft: Draft, spec: ModelSpec, domain: Domain) -> None:
    """Forms a group in a domain if it has the hosts for it."""
    needed = spec["hosts_per_group"] + spec.get("spares", 0)
    if draft.count_free(domain) >= needed:
        hosts = choose_hosts(spec, draft.list_free(domain))
        draft.form(spec, hosts, domain.name)


def place_groups(draft: Draft, wanted: list[ModelSpec]) -> list[Placement]:
    """Chooses the domains of new groups, the most valuable group first."""
    if not wanted:
        return []
    orders: tuple[Order, ...] = (_by_size, _by_restriction)
    rules: tuple[Rule, ...] = (_fit_best, _fit_with_spare, _fit_widest)
    trials = [list(wanted)]
    if len(wanted) <= _MOST_TRIED:
        trials.extend(sorted(wanted, key=order) for order in orders)
    else:
        rules = rules[:1]
    outcomes = [
        _place(draft, trial, rule) for trial in trials for rule in rules
    ]
    outcomes += [_place_packed(draft, wanted, sign) for sign in (1, -1)]
    best = max(outcomes, key=lambda each: _rate(draft, each))
    rank = {id(spec): index for index, spec in enumerate(wanted)}
    return sorted(best, key=lambda each: rank[id(each.spec)])


def _place(
    draft: Draft, wanted: list[ModelSpec], rule: Rule
) -> list[Placement]:
    """Places groups one after the other by a rule on the hosts left over."""
    free = {
        domain: draft.count_free(domain)
        for domain in sorted(draft.inventory.free)
        if domain not in draft.locked
    }
    placed: list[Placement] = []
    failed: set[str] = set()
    for spec in wanted:
        if spec["name"] in failed:
            continue
        domain = _choose_domain(spec, free, rule)
        if domain is None:
            failed.add(spec["name"])
            continue
        free[domain] -= spec["hosts_per_group"]
        placed.append(Placement(spec, domain))
    return placed


def _place_packed(
    draft: Draft, wanted: list[ModelSpec], sign: int
) -> list[Placement]:
    """Fills one domain after the other, each as well as can be.

    Args:
      draft: the plan so far.
      wanted: model of each missing group.
      sign: 1 to begin with the least free hosts, -1 with the most.
    """
    rest = list(wanted)
    domains = [
        domain for domain in draft.inventory.free if domain not in draft.locked
    ]
    domains.sort(key=lambda each: (sign * draft.count_free(each), each))
    placed: list[Placement] = []
    for domain in domains:
        hosts = draft.count_free(domain)
        offers = list_offers(rest, domain, hosts)
        items = tuple(_list_options(draft, spec) for spec in offers)
        packing = pack(items, (hosts,))
        if packing is None:
            continue
        for spec, choice in zip(offers, packing.chosen, strict=True):
            if choice:
                placed.append(Placement(spec, domain))
                rest.remove(spec)
    return placed


def list_offers(
    wanted: list[ModelSpec], domain: Domain, hosts: int
) -> list[ModelSpec]:
    """Returns the wanted groups that could stand in a domain, one by one.

    Args:
      wanted: model of each missing group.
      domain: the domain.
      hosts: number of its hosts.
    """
    offers: list[ModelSpec] = []
    room: dict[str, int] = {}
    for spec in wanted:
        name = spec["name"]
        left = room.get(name, hosts) - spec["hosts_per_group"]
        if left >= 0 and may_stand_in(spec, domain):
            room[name] = left
            offers.append(spec)
    return offers


def _list_options(draft: Draft, spec: ModelSpec) -> tuple[Option, ...]:
    """Returns the options to leave a group or to form it."""
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form = Option((size,), worth, spec.get("spares", 0))
    return (Option((0,), 0.0), form)


def _choose_domain(
    spec: ModelSpec, free: dict[Domain, int], rule: Rule
) -> Domain | None:
    """Returns the first of the domains that a rule likes best."""
    size = spec["hosts_per_group"]
    needed = size + spec.get("spares", 0)
    fitting = [
        domain
        for domain, count in free.items()
        if count >= needed and may_stand_in(spec, domain)
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda each: rule(free[each] - size))


def _rate(draft: Draft, placed: list[Placement]) -> tuple[float, float, float]:
    """Rates an outcome: worth, cached shards, domains with hosts to spare."""
    worth = sum(estimate_group_worth(draft, spec) for spec, _ in placed)
    cached = sum(_count_cached(draft, spec, domain) for spec, domain in placed)
    used: dict[Domain, int] = {}
    for spec, domain in placed:
        used[domain] = used.get(domain, 0) + spec["hosts_per_group"]
    covered = sum(
        count * _get_cover(draft.count_free(domain) - count)
        for domain, count in used.items()
    )
    return (worth, cached, covered)


def _get_cover(spares: int) -> float:
    """Returns the share of losses that free hosts of a domain make good."""
    return _COVERED[min(spares, len(_COVERED) - 1)]


def _count_cached(draft: Draft, spec: ModelSpec, domain: Domain) -> int:
    """Returns the number of ranks that free hosts of a domain cache."""
    ranks = {
        host.loaded["rank"]
        for host in draft.list_free(domain)
        if host.loaded is not None and caches_model(spec, host)
    }
    return len(ranks)


def _by_size(spec: ModelSpec) -> tuple[float, ...]:
    return (-spec["hosts_per_group"],)


def _by_restriction(spec: ModelSpec) -> tuple[float, ...]:
    places = len(spec.get("data_centres", ()))
    return (places == 0, places, -spec["hosts_per_group"])


def _fit_best(left: int) -> tuple[float, ...]:
    return (left,)


def _fit_with_spare(left: int) -> tuple[float, ...]:
    return (left == 0, left)


def _fit_widest(left: int) -> tuple[float, ...]:
    return (-left,)


def _form_across(draft: Draft, spec: ModelSpec) -> None:
    """Forms a group over several domains, of as few as possible."""
    size = spec["hosts_per_group"]
    spares = spec.get("spares", 0)
    hosts: list[HostView] = []
    domains = [
        domain
        for domain in draft.inventory.free
        if may_stand_in(spec, domain) and domain not in draft.locked
    ]
    domains.sort(key=lambda each: (-draft.count_free(each), each))
    for domain in domains:
        free = draft.list_free(domain)
        usable = max(0, len(free) - spares)
        hosts.extend(free[: min(usable, size - len(hosts))])
        if len(hosts) == size:
            draft.form(spec, choose_hosts(spec, hosts), "")
            return
