"""Which groups to form of which hosts, and which to take apart for others.

Load pattern: two hosts are lost every three seconds, now and then a whole
domain; lost hosts come back empty-handed but for the weights on their disk,
and new ones come with nothing. What costs most is a model that has too few
groups. A group stays within a domain, since across domains it runs several
times slower, and the larger the groups of a model are, the sooner it lacks
hosts: with twelve small groups half empty, one large group of six was left
and turned its callers away for 20 s, while the survivors of the others stood
idle beside the hosts of small groups.

So the model that lacks most groups for its demand gets hosts first: free ones,
then standby hosts, then those of a group of a model that can spare it.
"""

from collections.abc import Iterable, Mapping, Sequence
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.site import ModelShape

SPARE_HOSTS = 2
"""Hosts of a domain that stand by while no model is short. With one a second
loss in the domain within the 12 s of a load leaves survivors idle."""

SHORT_BY = 0.5
"""Part of a group that a model must lack to count as short."""


class Warmth(enum.IntEnum):
    """How soon a host can serve a model; a smaller value is sooner."""

    IN_MEMORY = 0
    ON_HOST = 1
    COLD = 2


class FreeHost(NamedTuple):
    """A host that is in no group, or one that could be taken from its group.

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


class PlacedGroup(NamedTuple):
    """A group of a domain that serves or forms.

    Attributes:
      group: its name.
      model: its model.
      members: its hosts.
      requests: requests that run at it.
      may_move: whether it serves and may be taken apart for another model.
    """

    group: str
    model: str
    members: tuple[FreeHost, ...]
    requests: int
    may_move: bool


class DomainHosts(NamedTuple):
    """The hosts of a fabric domain.

    Attributes:
      domain: name of the domain.
      free: hosts in no group, those that stand by among them.
      groups: its groups.
      promised: model for which a group is being taken apart, empty for none;
        the free hosts wait for its members.
    """

    domain: str
    free: tuple[FreeHost, ...]
    groups: tuple[PlacedGroup, ...]
    promised: str = ""


class Reason(enum.IntEnum):
    """Why a group is formed; a smaller value goes first.

    Attributes:
      SHORT: its model lacks groups for its demand.
      MISSING: its domain has none of its model. Before those of a model with
        many groups: when each lost large group was followed by small ones,
        three of six large ones were left after 13 s, beside ten small ones
        for a demand of three.
      SPARE: more hosts are free than have to stand by.
    """

    SHORT = 0
    MISSING = 1
    SPARE = 2


class Formation(NamedTuple):
    """A group to form; the first member becomes its head."""

    model: str
    members: tuple[str, ...]


class Preparation(NamedTuple):
    """A host that should load a model and stand by."""

    server: str
    model: str
    needs_load: bool


class Move(NamedTuple):
    """Groups to take apart, so that a domain can form one of another model."""

    domain: str
    model: str
    groups: tuple[str, ...]


class ServicePlan(NamedTuple):
    """What to do with the hosts of a service."""

    formations: tuple[Formation, ...]
    preparations: tuple[Preparation, ...]
    moves: tuple[Move, ...]


def plan_service(
    domains: Iterable[DomainHosts],
    *,
    models: Sequence[ModelShape],
    needs: Mapping[str, float],
    may_load: bool,
    pressed: frozenset[str],
) -> ServicePlan:
    """Return what to do with the hosts of a service.

    Args:
      domains: its hosts by domain.
      models: models that are served.
      needs: groups that each model needs, more than 0.
      may_load: whether groups may be formed of hosts that lack the weights.
      pressed: models whose groups have been nearly full for a while; only
        for these groups of others are taken apart.
    """
    board = _Board(
        domains=domains, models=models, needs=needs, may_load=may_load
    )
    formations = board.form_groups()
    moves = board.choose_moves(pressed)
    return ServicePlan(formations, board.prepare(), moves)


def list_warm(free: Iterable[FreeHost], model: str) -> list[FreeHost]:
    """Return the hosts that have the weights of a model, soonest first."""
    warm = [one for one in free if one.find_warmth(model) is not Warmth.COLD]
    return sorted(warm, key=lambda one: (one.find_warmth(model), one.server))


class _Board:
    """Hosts and groups while a plan is made."""

    def __init__(
        self,
        *,
        domains: Iterable[DomainHosts],
        models: Sequence[ModelShape],
        needs: Mapping[str, float],
        may_load: bool,
    ) -> None:
        self._domains = {one.domain: one for one in domains}
        self._free = {
            name: sorted(one.free) for name, one in self._domains.items()
        }
        self._models = models
        self._needs = needs
        self._may_load = may_load
        self._counts = {
            name: {
                model.name: sum(
                    1 for group in one.groups if group.model == model.name
                )
                for model in models
            }
            for name, one in self._domains.items()
        }

    def form_groups(self) -> tuple[Formation, ...]:
        """Form groups of free hosts, of the model that lacks most first."""
        formations: list[Formation] = []
        while True:
            formation = self._choose_formation()
            if formation is None:
                return tuple(formations)
            formations.append(formation)

    def choose_moves(self, pressed: frozenset[str]) -> tuple[Move, ...]:
        """Choose groups whose hosts serve a model better that is short."""
        moves = []
        for model in sorted(self._models, key=self._rate):
            if model.name not in pressed or not self._is_short(model):
                continue
            options = [
                option
                for name in self._domains
                for option in self._list_moves(name, model)
            ]
            if options:
                move = min(options)[-1]
                self._take_apart(move)
                moves.append(move)
        return tuple(moves)

    def prepare(self) -> tuple[Preparation, ...]:
        """Choose what each host that is left over should hold."""
        preparations: list[Preparation] = []
        for name, domain in self._domains.items():
            if not domain.promised:
                preparations += self._prepare_domain(self._free[name])
        return tuple(preparations)

    # How much a model lacks.

    def _count(self, model: ModelShape) -> int:
        """Return the groups of a model, those that are promised among them."""
        promised = sum(
            1 for one in self._domains.values() if one.promised == model.name
        )
        formed = sum(counts[model.name] for counts in self._counts.values())
        return promised + formed

    def _need(self, model: ModelShape) -> float:
        return max(0.01, self._needs.get(model.name, 0.01))

    def _rate(self, model: ModelShape) -> tuple[float, int]:
        """Return what orders the models; the one that lacks most is first."""
        return (self._count(model) / self._need(model), -model.size)

    def _is_short(self, model: ModelShape) -> bool:
        return self._count(model) + SHORT_BY <= self._need(model)

    # Formations.

    def _choose_formation(self) -> Formation | None:
        options = []
        for name in self._domains:
            for model in self._models:
                reason = self._find_reason(name, model)
                if reason is not None:
                    order = (reason, self._rate(model))
                    options.append((order, self._weigh(name, model), model))
        if not options:
            return None
        _, (*_, name), model = min(options, key=lambda one: one[:2])
        return self._form(name, model)

    def _find_reason(self, name: str, model: ModelShape) -> Reason | None:
        """Return why a domain should form one more group of a model.

        Its last hosts are used for a model that is short, or that the domain
        lacks, so that a lost domain takes no model with it.
        """
        free = self._free[name]
        promised = self._domains[name].promised
        if promised not in ("", model.name):
            return None
        if len(self._list_usable(free, model)) < model.size:
            return None
        if self._is_short(model) or promised:
            return Reason.SHORT
        if not self._counts[name][model.name]:
            return Reason.MISSING
        has_spares = len(free) - model.size >= SPARE_HOSTS
        return Reason.SPARE if has_spares else None

    def _weigh(self, name: str, model: ModelShape) -> tuple[int, int, int, str]:
        """Return what orders the domains for a group of a model."""
        free = self._free[name]
        members = self._list_usable(free, model)[: model.size]
        slowest = max(one.find_warmth(model.name) for one in members)
        return (self._counts[name][model.name], int(slowest), -len(free), name)

    def _list_usable(
        self, free: Iterable[FreeHost], model: ModelShape
    ) -> list[FreeHost]:
        """Return the hosts that could be in a group now, soonest first."""
        if not self._may_load:
            return list_warm(free, model.name)
        return sorted(
            free, key=lambda one: (one.find_warmth(model.name), one.server)
        )

    def _form(self, name: str, model: ModelShape) -> Formation:
        free = self._free[name]
        members = self._list_usable(free, model)[: model.size]
        self._free[name] = [one for one in free if one not in members]
        self._counts[name][model.name] += 1
        return Formation(model.name, tuple(one.server for one in members))

    # Moves.

    def _list_moves(
        self, name: str, model: ModelShape
    ) -> list[tuple[int, int, int, Move]]:
        """Return what a domain could take apart for a model, with its cost."""
        domain = self._domains[name]
        if domain.promised:
            return []
        missing = model.size - len(list_warm(self._free[name], model.name))
        options = []
        for other in self._models:
            chosen: list[PlacedGroup] = []
            found = 0
            for group in sorted(domain.groups, key=lambda one: one.requests):
                is_fit = group.may_move and group.model == other.name
                if other.name == model.name or not is_fit or found >= missing:
                    continue
                chosen.append(group)
                found += len(list_warm(group.members, model.name))
            if not chosen or found < missing:
                continue
            if not self._pays(model, other, len(chosen)):
                continue
            requests = sum(group.requests for group in chosen)
            names = tuple(group.group for group in chosen)
            move = Move(name, model.name, names)
            options.append((len(chosen), requests, found - missing, move))
        return options

    def _pays(self, model: ModelShape, other: ModelShape, taken: int) -> bool:
        """Tell whether the model that lacks most lacks less after a move."""
        gains = (self._count(model) + 1) / self._need(model)
        left = (self._count(other) - taken) / self._need(other)
        return left >= gains

    def _take_apart(self, move: Move) -> None:
        domain = self._domains[move.domain]
        kept = tuple(
            one for one in domain.groups if one.group not in move.groups
        )
        self._domains[move.domain] = domain._replace(
            groups=kept, promised=move.model
        )
        for group in domain.groups:
            if group.group in move.groups:
                self._counts[move.domain][group.model] -= 1

    # Hosts that are left over.

    def _prepare_domain(self, free: Sequence[FreeHost]) -> list[Preparation]:
        """Let warm hosts stand by with what they hold, and others load."""
        preparations: list[Preparation] = []
        empty: list[FreeHost] = []
        warm = {
            model.name: len(list_warm(free, model.name))
            for model in self._models
        }
        for host in free:
            model = _find_own_model(host, warm)
            if not model:
                empty.append(host)
            elif not host.is_standby:
                preparations.append(Preparation(host.server, model, False))
        for host in empty:
            chosen = self._choose_load(warm, len(empty))
            warm[chosen] += 1
            preparations.append(Preparation(host.server, chosen, True))
        return preparations

    def _choose_load(self, warm: Mapping[str, int], empty: int) -> str:
        """Return the model that an empty host should load.

        One that is short and whose group it completes, alone or with the
        other empty hosts; then the one that the fewest standby hosts hold.
        """

        def weigh(model: ModelShape) -> tuple[bool, int, tuple[float, int]]:
            lacking = model.size - warm[model.name]
            completes = 0 < lacking <= empty and self._is_short(model)
            return (not completes, warm[model.name], self._rate(model))

        return min(self._models, key=weigh).name


def _find_own_model(host: FreeHost, known: Mapping[str, int]) -> str:
    """Return the model that a host has, empty for none that is served."""
    if host.loaded in known:
        return host.loaded
    return next((name for name in host.staged if name in known), "")
