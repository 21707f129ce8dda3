"""Formation of new groups from free hosts.

The missing groups are placed together. Several orders of the groups and rules
for the choice of domains are evaluated on the numbers of free hosts, and the
best outcome is used.
"""

from collections.abc import Callable
from typing import NamedTuple

from chervilrock.decisions.actions import HostView
from chervilrock.decisions.planner.context import estimate_group_worth
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.packing import Option, pack
from chervilrock.decisions.planner.placement import caches_model, choose_hosts
from chervilrock.decisions.planner.specs import (
    Domain,
    may_span_domains,
    may_use_domain,
)
from chervilrock.generated.configuration import ModelSpec

_MAX_SORTED_GROUPS = 64
"""Most missing groups for which other orders and rules are evaluated."""
_LOSS_COVERAGE = (0.0, 0.8, 0.95, 0.99, 1.0)
"""Share of host losses that 0, 1, 2 and more spare hosts can replace."""


class Placement(NamedTuple):
    """A new group and its domain."""

    spec: ModelSpec
    domain: Domain


Order = Callable[[ModelSpec], tuple[float, ...]]
Rule = Callable[[int], tuple[float, ...]]


def form_groups(draft: Draft, wanted: list[ModelSpec]) -> None:
    """Forms as many of the wanted groups as free hosts allow.

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
        elif may_span_domains(spec):
            _form_across(draft, spec)


def form_in_domain(draft: Draft, spec: ModelSpec, domain: Domain) -> None:
    """Forms a group in a domain that has enough free hosts."""
    needed = spec["hosts_per_group"] + spec.get("spares", 0)
    if draft.count_free(domain) >= needed:
        hosts = choose_hosts(spec, draft.list_free(domain))
        draft.form(spec, hosts, domain.name)


def place_groups(draft: Draft, wanted: list[ModelSpec]) -> list[Placement]:
    """Chooses the domains of new groups, the most valuable group first."""
    if not wanted:
        return []
    orders: tuple[Order, ...] = (_by_size, _by_data_centres)
    rules: tuple[Rule, ...] = (_fit_best, _fit_with_spare, _fit_most_left)
    trials = [list(wanted)]
    if len(wanted) <= _MAX_SORTED_GROUPS:
        trials.extend(sorted(wanted, key=order) for order in orders)
    else:
        rules = rules[:1]
    outcomes = [
        _place(draft, trial, rule) for trial in trials for rule in rules
    ]
    outcomes += [_place_packed(draft, wanted, sign) for sign in (1, -1)]
    best = max(outcomes, key=lambda each: _rate_placements(draft, each))
    rank = {id(spec): index for index, spec in enumerate(wanted)}
    return sorted(best, key=lambda each: rank[id(each.spec)])


def _place(
    draft: Draft, wanted: list[ModelSpec], rule: Rule
) -> list[Placement]:
    """Places groups in turn by a rule on the number of remaining hosts."""
    free = {
        domain: draft.count_free(domain)
        for domain in sorted(draft.inventory.free)
        if domain not in draft.reserved_domains
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
    """Fills the domains in turn, each with the most valuable groups.

    Args:
      draft: the plan so far.
      wanted: model of each missing group.
      sign: 1 to begin with the fewest free hosts, -1 with the most.
    """
    rest = list(wanted)
    domains = [
        domain
        for domain in draft.inventory.free
        if domain not in draft.reserved_domains
    ]
    domains.sort(key=lambda each: (sign * draft.count_free(each), each))
    placed: list[Placement] = []
    for domain in domains:
        hosts = draft.count_free(domain)
        candidates = list_candidates(rest, domain, hosts)
        items = tuple(_list_options(draft, spec) for spec in candidates)
        packing = pack(items, (hosts,))
        if packing is None:
            continue
        for spec, choice in zip(candidates, packing.chosen, strict=True):
            if choice:
                placed.append(Placement(spec, domain))
                rest.remove(spec)
    return placed


def list_candidates(
    wanted: list[ModelSpec], domain: Domain, hosts: int
) -> list[ModelSpec]:
    """Returns the wanted groups that each fit into a domain on their own.

    Args:
      wanted: model of each missing group.
      domain: the domain.
      hosts: number of its usable hosts.
    """
    candidates: list[ModelSpec] = []
    hosts_left: dict[str, int] = {}
    for spec in wanted:
        name = spec["name"]
        left = hosts_left.get(name, hosts) - spec["hosts_per_group"]
        if left >= 0 and may_use_domain(spec, domain):
            hosts_left[name] = left
            candidates.append(spec)
    return candidates


def _list_options(draft: Draft, spec: ModelSpec) -> tuple[Option, ...]:
    """Returns the options not to form a group and to form it."""
    worth = estimate_group_worth(draft, spec)
    size = spec["hosts_per_group"]
    form = Option((size,), worth, spec.get("spares", 0))
    return (Option((0,), 0.0), form)


def _choose_domain(
    spec: ModelSpec, free: dict[Domain, int], rule: Rule
) -> Domain | None:
    """Returns the first domain that a rule ranks best."""
    size = spec["hosts_per_group"]
    needed = size + spec.get("spares", 0)
    fitting = [
        domain
        for domain, count in free.items()
        if count >= needed and may_use_domain(spec, domain)
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda each: rule(free[each] - size))


def _rate_placements(
    draft: Draft, placed: list[Placement]
) -> tuple[float, float, float]:
    """Rates placements by worth, cached shards and coverage of losses."""
    worth = sum(estimate_group_worth(draft, spec) for spec, _ in placed)
    cached = sum(_count_cached(draft, spec, domain) for spec, domain in placed)
    used: dict[Domain, int] = {}
    for spec, domain in placed:
        used[domain] = used.get(domain, 0) + spec["hosts_per_group"]
    covered = sum(
        count * _get_coverage(draft.count_free(domain) - count)
        for domain, count in used.items()
    )
    return (worth, cached, covered)


def _get_coverage(spares: int) -> float:
    """Returns the share of host losses that spare hosts can replace."""
    return _LOSS_COVERAGE[min(spares, len(_LOSS_COVERAGE) - 1)]


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


def _by_data_centres(spec: ModelSpec) -> tuple[float, ...]:
    data_centre_count = len(spec.get("data_centres", ()))
    return (data_centre_count == 0, data_centre_count, -spec["hosts_per_group"])


def _fit_best(left: int) -> tuple[float, ...]:
    return (left,)


def _fit_with_spare(left: int) -> tuple[float, ...]:
    return (left == 0, left)


def _fit_most_left(left: int) -> tuple[float, ...]:
    return (-left,)


def _form_across(draft: Draft, spec: ModelSpec) -> None:
    """Forms a group across as few domains as possible."""
    size = spec["hosts_per_group"]
    spares = spec.get("spares", 0)
    hosts: list[HostView] = []
    domains = [
        domain
        for domain in draft.inventory.free
        if may_use_domain(spec, domain) and domain not in draft.reserved_domains
    ]
    domains.sort(key=lambda each: (-draft.count_free(each), each))
    for domain in domains:
        free = draft.list_free(domain)
        usable = max(0, len(free) - spares)
        hosts.extend(free[: min(usable, size - len(hosts))])
        if len(hosts) == size:
            draft.form(spec, choose_hosts(spec, hosts), "")
            return
