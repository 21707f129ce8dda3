"""Assigns hosts to new groups and chooses groups to dissolve for other models.

Load pattern: two hosts are lost every three seconds, and occasionally a whole
domain; lost hosts return with only the weights on their disk, and new hosts
join with none. The most expensive state is a model with too few groups. A
group stays within a domain, since it runs several times slower across domains,
and the larger the groups of a model are, the sooner the model lacks hosts: with
twelve half-empty small groups, only one of six large groups remained and
rejected its callers for 20 s, while the survivors of the others were idle in
the same domains as the hosts of small groups.

So the model with the fewest groups for its demand gets hosts first: free hosts,
then standby hosts, then those of a group of a model that can spare it.
"""

from collections.abc import Iterable, Mapping, Sequence
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.site import ModelShape

STANDBY_HOSTS_PER_DOMAIN = 2
"""Standby hosts of a domain while no model is short of capacity. With only one,
a second loss in the domain within the 12 s of a load leaves survivors idle."""

MIN_SHORTAGE_GROUPS = 0.5
"""Number of missing groups, as a fraction of a group, from which a model counts
as short of capacity."""


class Warmth(enum.IntEnum):
    """How soon a host can serve a model; smaller values are sooner."""

    IN_MEMORY = 0
    ON_HOST = 1
    COLD = 2


class FreeHost(NamedTuple):
    """A host without a group, or a member that could be released from one.

    Attributes:
      server: identifier of its server.
      loaded: model that its server last had in memory, empty for none.
      staged: models whose weights are on the host.
      is_standby: whether it is a standby host for the loaded model.
    """

    server: str
    loaded: str
    staged: tuple[str, ...]
    is_standby: bool

    def find_warmth(self, model: str) -> Warmth:
        """Return how soon the host can serve a model."""
        if self.loaded == model:
            return Warmth.IN_MEMORY
        return Warmth.ON_HOST if model in self.staged else Warmth.COLD


class PlacedGroup(NamedTuple):
    """A group of a domain that serves or is being formed.

    Attributes:
      group: name of the group.
      model: model of the group.
      members: hosts of the group.
      requests: number of requests that it runs.
      may_dissolve: whether it serves and may be dissolved for another model.
    """

    group: str
    model: str
    members: tuple[FreeHost, ...]
    requests: int
    may_dissolve: bool


class DomainHosts(NamedTuple):
    """The hosts of a fabric domain.

    Attributes:
      domain: name of the domain.
      free: hosts in no group, including standby hosts.
      groups: groups of the domain.
      reserved_for: model for which a group is being dissolved, empty for none;
        the free hosts are reserved until its members are free.
    """

    domain: str
    free: tuple[FreeHost, ...]
    groups: tuple[PlacedGroup, ...]
    reserved_for: str = ""


class Reason(enum.IntEnum):
    """Why a group is formed; smaller values have precedence.

    Attributes:
      SHORTAGE: its model lacks groups for its demand.
      MISSING: its domain has no group of its model. This precedes further
        groups of a model with many: when small groups replaced each lost large
        one, three of six large groups were left after 13 s, beside ten small
        ones for a demand of three.
      SPARE: more hosts are free than the standby hosts that a domain keeps.
    """

    SHORTAGE = 0
    MISSING = 1
    SPARE = 2


class Formation(NamedTuple):
    """A group to form; the first member becomes its head."""

    model: str
    members: tuple[str, ...]


class Preparation(NamedTuple):
    """A host that should become a standby host for a model.

    Attributes:
      server: identifier of its server.
      model: model that it should have in memory.
      needs_load: whether the weights have to come from the weight store.
    """

    server: str
    model: str
    needs_load: bool


class Move(NamedTuple):
    """Groups to dissolve, so that a domain can form one of another model."""

    domain: str
    model: str
    groups: tuple[str, ...]


class ServicePlan(NamedTuple):
    """The actions for the hosts of a service."""

    formations: tuple[Formation, ...]
    preparations: tuple[Preparation, ...]
    moves: tuple[Move, ...]


def plan_service(
    domains: Iterable[DomainHosts],
    *,
    models: Sequence[ModelShape],
    needs: Mapping[str, float],
    may_load: bool,
    overloaded: frozenset[str],
) -> ServicePlan:
    """Return the actions for the hosts of a service.

    Args:
      domains: hosts of the service by domain.
      models: models that are served.
      needs: number of groups that each model needs, more than 0.
      may_load: whether groups may be formed of hosts that lack the weights.
      overloaded: models whose groups have been nearly full for a while; groups
        of other models are dissolved only for these.
    """
    draft = _Draft(
        domains=domains, models=models, needs=needs, may_load=may_load
    )
    formations = draft.form_groups()
    moves = draft.choose_moves(overloaded)
    return ServicePlan(formations, draft.prepare(), moves)


def list_warm(free: Iterable[FreeHost], model: str) -> list[FreeHost]:
    """Return the hosts that have the weights of a model, soonest first."""
    warm = [host for host in free if host.find_warmth(model) is not Warmth.COLD]
    return sorted(warm, key=lambda host: (host.find_warmth(model), host.server))


class _Draft:
    """Working state of the hosts and groups while a plan is made."""

    def __init__(
        self,
        *,
        domains: Iterable[DomainHosts],
        models: Sequence[ModelShape],
        needs: Mapping[str, float],
        may_load: bool,
    ) -> None:
        self._domains = {domain.domain: domain for domain in domains}
        self._free = {
            name: sorted(domain.free) for name, domain in self._domains.items()
        }
        self._models = models
        self._needs = needs
        self._may_load = may_load
        self._counts = {
            name: {
                model.name: sum(
                    1 for group in domain.groups if group.model == model.name
                )
                for model in models
            }
            for name, domain in self._domains.items()
        }

    def form_groups(self) -> tuple[Formation, ...]:
        """Form groups of free hosts, starting with the greatest shortage."""
        formations: list[Formation] = []
        while True:
            formation = self._choose_formation()
            if formation is None:
                return tuple(formations)
            formations.append(formation)

    def choose_moves(self, overloaded: frozenset[str]) -> tuple[Move, ...]:
        """Choose groups to dissolve for models that are short of capacity."""
        moves = []
        for model in sorted(self._models, key=self._model_sort_key):
            if model.name not in overloaded or not self._has_shortage(model):
                continue
            options = [
                option
                for name in self._domains
                for option in self._list_moves(name, model)
            ]
            if options:
                move = min(options)[-1]
                self._dissolve(move)
                moves.append(move)
        return tuple(moves)

    def prepare(self) -> tuple[Preparation, ...]:
        """Choose the model that each remaining host should hold."""
        preparations: list[Preparation] = []
        for name, domain in self._domains.items():
            if not domain.reserved_for:
                preparations += self._prepare_domain(self._free[name])
        return tuple(preparations)

    # Shortage of a model.

    def _count(self, model: ModelShape) -> int:
        """Return the number of groups of a model, including reserved ones."""
        reserved = sum(
            1
            for domain in self._domains.values()
            if domain.reserved_for == model.name
        )
        formed = sum(counts[model.name] for counts in self._counts.values())
        return reserved + formed

    def _need(self, model: ModelShape) -> float:
        return max(0.01, self._needs.get(model.name, 0.01))

    def _model_sort_key(self, model: ModelShape) -> tuple[float, int]:
        """Return a sort key; the model with the greatest shortage is first."""
        return (self._count(model) / self._need(model), -model.size)

    def _has_shortage(self, model: ModelShape) -> bool:
        return self._count(model) + MIN_SHORTAGE_GROUPS <= self._need(model)

    # Formations.

    def _choose_formation(self) -> Formation | None:
        options = []
        for name in self._domains:
            for model in self._models:
                reason = self._find_reason(name, model)
                if reason is not None:
                    order = (reason, self._model_sort_key(model))
                    options.append(
                        (order, self._domain_sort_key(name, model), model)
                    )
        if not options:
            return None
        _, (*_, name), model = min(options, key=lambda option: option[:2])
        return self._form(name, model)

    def _find_reason(self, name: str, model: ModelShape) -> Reason | None:
        """Return why a domain should form one more group of a model.

        The last hosts of a domain are used only for a model that is short of
        capacity or that has no group in the domain, so that the loss of another
        domain does not remove all groups of a model.
        """
        free = self._free[name]
        reserved_for = self._domains[name].reserved_for
        if reserved_for not in ("", model.name):
            return None
        if len(self._list_usable(free, model)) < model.size:
            return None
        if self._has_shortage(model) or reserved_for:
            return Reason.SHORTAGE
        if not self._counts[name][model.name]:
            return Reason.MISSING
        has_spares = len(free) - model.size >= STANDBY_HOSTS_PER_DOMAIN
        return Reason.SPARE if has_spares else None

    def _domain_sort_key(
        self, name: str, model: ModelShape
    ) -> tuple[int, int, int, str]:
        """Return a sort key of the domains for a group of a model."""
        free = self._free[name]
        members = self._list_usable(free, model)[: model.size]
        slowest = max(host.find_warmth(model.name) for host in members)
        return (self._counts[name][model.name], int(slowest), -len(free), name)

    def _list_usable(
        self, free: Iterable[FreeHost], model: ModelShape
    ) -> list[FreeHost]:
        """Return the hosts that could join a group now, soonest first."""
        if not self._may_load:
            return list_warm(free, model.name)
        return sorted(
            free, key=lambda host: (host.find_warmth(model.name), host.server)
        )

    def _form(self, name: str, model: ModelShape) -> Formation:
        free = self._free[name]
        members = self._list_usable(free, model)[: model.size]
        self._free[name] = [host for host in free if host not in members]
        self._counts[name][model.name] += 1
        return Formation(model.name, tuple(host.server for host in members))

    # Moves.

    def _list_moves(
        self, name: str, model: ModelShape
    ) -> list[tuple[int, int, int, Move]]:
        """Return the moves of a domain in favour of a model.

        Each option is the number of groups to dissolve, the requests that they
        run, the number of surplus hosts and the move.
        """
        domain = self._domains[name]
        if domain.reserved_for:
            return []
        missing = model.size - len(list_warm(self._free[name], model.name))
        options = []
        for other in self._models:
            chosen: list[PlacedGroup] = []
            found = 0
            for group in sorted(
                domain.groups, key=lambda group: group.requests
            ):
                is_candidate = group.may_dissolve and group.model == other.name
                if (
                    other.name == model.name
                    or not is_candidate
                    or found >= missing
                ):
                    continue
                chosen.append(group)
                found += len(list_warm(group.members, model.name))
            if not chosen or found < missing:
                continue
            if not self._reduces_shortage(model, other, len(chosen)):
                continue
            requests = sum(group.requests for group in chosen)
            names = tuple(group.group for group in chosen)
            move = Move(name, model.name, names)
            options.append((len(chosen), requests, found - missing, move))
        return options

    def _reduces_shortage(
        self, model: ModelShape, other: ModelShape, dissolved: int
    ) -> bool:
        """Return whether a move reduces the greater of the two shortages."""
        gained = (self._count(model) + 1) / self._need(model)
        left = (self._count(other) - dissolved) / self._need(other)
        return left >= gained

    def _dissolve(self, move: Move) -> None:
        domain = self._domains[move.domain]
        kept = tuple(
            group for group in domain.groups if group.group not in move.groups
        )
        self._domains[move.domain] = domain._replace(
            groups=kept, reserved_for=move.model
        )
        for group in domain.groups:
            if group.group in move.groups:
                self._counts[move.domain][group.model] -= 1

    # Remaining hosts.

    def _prepare_domain(self, free: Sequence[FreeHost]) -> list[Preparation]:
        """Prepare warm hosts with a model that they hold; let others load."""
        preparations: list[Preparation] = []
        empty: list[FreeHost] = []
        warm = {
            model.name: len(list_warm(free, model.name))
            for model in self._models
        }
        for host in free:
            model = _find_held_model(host, warm)
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

        The first choice is a model that is short of capacity and whose next
        group the host completes, alone or with the other empty hosts; the
        second is the model that the fewest standby hosts hold.
        """

        def sort_key(model: ModelShape) -> tuple[bool, int, tuple[float, int]]:
            lacking = model.size - warm[model.name]
            completes = 0 < lacking <= empty and self._has_shortage(model)
            return (
                not completes,
                warm[model.name],
                self._model_sort_key(model),
            )

        return min(self._models, key=sort_key).name


def _find_held_model(host: FreeHost, known: Mapping[str, int]) -> str:
    """Return a served model that a host holds, empty for none."""
    if host.loaded in known:
        return host.loaded
    return next((name for name in host.staged if name in known), "")
