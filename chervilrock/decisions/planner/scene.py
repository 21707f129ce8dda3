"""The part of a region that is arranged at once."""

from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.formation import list_offers
from chervilrock.decisions.planner.knowledge import Knowledge
from chervilrock.decisions.planner.specs import (
    Domain,
    is_current,
    is_ending,
    may_stand_in,
)
from chervilrock.generated.configuration import ModelSpec


class Standing(NamedTuple):
    """A group and the index of the domain where it stands."""

    group: GroupView
    place: int


class Scene(NamedTuple):
    """One or two fabric domains, with what stands and could stand there.

    Attributes:
      domains: the domains
      hosts: hosts of each domain that can be used
      groups: groups whose hosts can be used otherwise
      offers: models of groups that could be formed, one entry a group
      horizon: how long the choice will matter, in seconds
    """

    domains: tuple[Domain, ...]
    hosts: tuple[int, ...]
    groups: tuple[Standing, ...]
    offers: tuple[ModelSpec, ...]
    horizon: float

    def take(self, place: int, hosts: int) -> tuple[int, ...]:
        """Returns the hosts taken in each domain."""
        return tuple(
            hosts if index == place else 0 for index in range(len(self.domains))
        )


def make_scene(
    draft: Draft,
    knowledge: Knowledge,
    domains: tuple[Domain, ...],
    missing: list[ModelSpec],
) -> Scene:
    """Returns the scene of one or two domains.

    Args:
      draft: the plan so far.
      knowledge: estimates.
      domains: the domains.
      missing: models that lack a group, each as often as it lacks one.
    """
    groups = _list_groups(draft, domains)
    hosts = _count_hosts(draft, domains, groups)
    return Scene(
        domains=domains,
        hosts=hosts,
        groups=tuple(groups),
        offers=tuple(_list_offers(draft, domains, groups, hosts, missing)),
        horizon=_find_horizon(draft, knowledge, groups, missing),
    )


def list_last_serving(draft: Draft, scene: Scene) -> list[tuple[str, ...]]:
    """Returns sets of groups of which one each must stay where it is.

    They are the serving groups of models that serve nowhere else.
    """
    inventory = draft.inventory
    serving: dict[str, list[str]] = {}
    for group, _ in scene.groups:
        if inventory.is_serving(group):
            serving.setdefault(group.model, []).append(group.name)
    return [
        tuple(names)
        for model, names in sorted(serving.items())
        if draft.count_serving(inventory.models[model]) <= len(names)
    ]


def _list_groups(draft: Draft, domains: tuple[Domain, ...]) -> list[Standing]:
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
    hosts = [
        draft.count_free(domain) + draft.count_coming(domain)
        for domain in domains
    ]
    for group, place in groups:
        losses = draft.inventory.get_losses(group)
        hosts[place] += len(group.hosts) - len(losses)
    return tuple(hosts)


def _list_offers(
    draft: Draft,
    domains: tuple[Domain, ...],
    groups: list[Standing],
    hosts: tuple[int, ...],
    missing: list[ModelSpec],
) -> list[ModelSpec]:
    """Returns the missing groups that could stand in one of the domains.

    Broken groups of the scene are missing as well, but are no offers.
    """
    counts: dict[str, int] = {}
    for domain, limit in zip(domains, hosts, strict=True):
        for spec in list_offers(missing, domain, limit):
            counts[spec["name"]] = counts.get(spec["name"], 0) + 1
    skips: dict[str, int] = {}
    for group, _ in groups:
        if not draft.is_whole(group) and group.name not in draft.waiting:
            skips[group.model] = skips.get(group.model, 0) + 1
    offers: list[ModelSpec] = []
    for spec in missing:
        name = spec["name"]
        if skips.get(name, 0) > 0:
            skips[name] -= 1
        elif counts.get(name, 0) > 0:
            counts[name] -= 1
            offers.append(spec)
    return offers


def _find_horizon(
    draft: Draft,
    knowledge: Knowledge,
    groups: list[Standing],
    missing: list[ModelSpec],
) -> float:
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
