"""Which groups to form in a domain, and which hosts to prepare as standby.

Load pattern: single hosts are lost every few seconds, now and then a whole
domain; lost hosts come back empty-handed but for the weights on their disk,
and new ones come with nothing. What costs most is the time in which a model
has no group, so hosts that hold the weights are used first, and a host that
has to load for ten seconds never holds up a group that could be formed.
"""

from collections.abc import Iterable, Mapping, Sequence
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.site import ModelShape


class Warmth(enum.IntEnum):
    """How soon a host can serve a model; a smaller value is sooner."""

    IN_MEMORY = 0
    ON_HOST = 1
    COLD = 2


class FreeHost(NamedTuple):
    """A host that is in no group.

    Attributes:
      server: identifier of its server.
      loaded: model that its server had in memory last, empty for none.
      staged: models whose weights are on the host.
      is_standby: whether it was prepared for the loaded model.
    """

    server: str
    loaded: str
    staged: tuple[str, ...]
    is_standby: bool

    def find_warmth(self, model: str) -> Warmth:
        """Return how soon it can serve a model."""
        if self.loaded == model:
            return Warmth.IN_MEMORY
        return Warmth.ON_HOST if model in self.staged else Warmth.COLD


class Formation(NamedTuple):
    """A group to form; the first member becomes its head."""

    model: str
    members: tuple[str, ...]


class Preparation(NamedTuple):
    """A host that should load a model and stand by."""

    server: str
    model: str
    needs_load: bool


class DomainPlan(NamedTuple):
    """What to do in a domain."""

    formations: tuple[Formation, ...]
    preparations: tuple[Preparation, ...]


def plan_domain(
    free: Iterable[FreeHost],
    *,
    models: Sequence[ModelShape],
    wanted: Mapping[str, int],
    present: Mapping[str, int],
    urgency: Mapping[str, float],
    may_load: bool,
) -> DomainPlan:
    """Return what to do with the free hosts of a domain.

    Args:
      free: hosts of the domain that are in no group.
      models: models that are served.
      wanted: groups of each model that the domain should hold.
      present: groups of each model that it holds or forms.
      urgency: what orders the models; a smaller number comes first.
      may_load: whether groups may be formed of hosts that lack the weights.
    """
    left = sorted(free)
    formations: list[Formation] = []
    counts = {model.name: present.get(model.name, 0) for model in models}
    for model in sorted(models, key=lambda one: urgency.get(one.name, 0.0)):
        while True:
            members = _choose_members(left, model, may_load)
            surplus = len(_list_warm(left, model.name)) > model.size
            missing = counts[model.name] < wanted.get(model.name, 0)
            if not members or not (missing or surplus):
                break
            counts[model.name] += 1
            formations.append(Formation(model.name, members))
            left = [host for host in left if host.server not in members]
    preparations = _prepare(left, models, wanted, counts, urgency)
    return DomainPlan(tuple(formations), preparations)


def _list_warm(free: Sequence[FreeHost], model: str) -> list[FreeHost]:
    """Return the hosts that have the weights of a model, soonest first."""
    warm = [one for one in free if one.find_warmth(model) is not Warmth.COLD]
    return sorted(warm, key=lambda one: (one.find_warmth(model), one.server))


def _choose_members(
    free: Sequence[FreeHost], model: ModelShape, may_load: bool
) -> tuple[str, ...]:
    """Return members for a group, none when there are too few hosts."""
    if may_load:
        hosts = sorted(
            free, key=lambda one: (one.find_warmth(model.name), one.server)
        )
    else:
        hosts = _list_warm(free, model.name)
    if len(hosts) < model.size:
        return ()
    return tuple(host.server for host in hosts[: model.size])


def _prepare(
    free: Sequence[FreeHost],
    models: Sequence[ModelShape],
    wanted: Mapping[str, int],
    counts: Mapping[str, int],
    urgency: Mapping[str, float],
) -> tuple[Preparation, ...]:
    """Choose what each host that is left over should load."""
    preparations: list[Preparation] = []
    undecided: list[FreeHost] = []
    warm = {model.name: 0 for model in models}
    for host in free:
        model = _find_own_model(host, warm)
        if model:
            warm[model] += 1
            if not host.is_standby:
                preparations.append(Preparation(host.server, model, False))
        else:
            undecided.append(host)
    for host in undecided:
        model = _choose_standby(
            models, wanted, counts, warm, urgency, len(undecided)
        )
        warm[model] += 1
        preparations.append(Preparation(host.server, model, True))
    return tuple(preparations) + _convert(free, models, wanted, counts, warm)


def _find_own_model(host: FreeHost, known: Mapping[str, int]) -> str:
    """Return the model that a host has, empty for none that is served."""
    if host.loaded in known:
        return host.loaded
    return next((name for name in host.staged if name in known), "")


def _choose_standby(
    models: Sequence[ModelShape],
    wanted: Mapping[str, int],
    counts: Mapping[str, int],
    warm: Mapping[str, int],
    urgency: Mapping[str, float],
    hosts: int,
) -> str:
    """Return the model that an empty host should load."""

    def weigh(model: ModelShape) -> tuple[bool, int, float]:
        missing = counts[model.name] < wanted.get(model.name, 0)
        lacking = model.size - warm[model.name]
        completes = missing and 0 < lacking <= hosts
        return (
            not completes,
            warm[model.name],
            urgency.get(model.name, 0.0),
        )

    return min(models, key=weigh).name


def _convert(
    free: Sequence[FreeHost],
    models: Sequence[ModelShape],
    wanted: Mapping[str, int],
    counts: Mapping[str, int],
    warm: Mapping[str, int],
) -> tuple[Preparation, ...]:
    """Let a standby host of one model complete a group of another one.

    Without it, three hosts of a lost group of four stay idle beside a
    standby host of another model.
    """
    for model in models:
        lacking = model.size - warm[model.name]
        if counts[model.name] >= wanted.get(model.name, 0) or lacking != 1:
            continue
        for host in free:
            other = _find_own_model(host, warm)
            if other and other != model.name and counts[other]:
                return (Preparation(host.server, model.name, True),)
    return ()
