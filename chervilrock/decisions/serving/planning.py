"""Which groups, standby hosts and stagings the leader wants next.

It looks at all that the leader knows of a service and returns what to begin;
the controller carries it out.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.serving.demand import Demand
from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.orders import OrderReply, Stage
from chervilrock.decisions.serving.plan import (
    DomainHosts,
    Formation,
    FreeHost,
    Move,
    PlacedGroup,
    plan_service,
    Preparation,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    MemberState,
    ModelShape,
)
from chervilrock.decisions.serving.staging import HostWeights, StagingBook

SETTLE_S = 1.0
"""Time without a new server after which the first plan is made: servers
register one by one within some seconds of their start."""

REPORT_WAIT_S = 0.3
"""Time for the report of a host that was just asked; a sound one answers
within some milliseconds, and one question may be lost."""

WARM_UP_FACTOR = 0.1
"""Part of the time that loads take before the first request."""


SETTLED_S = 1.0
"""Time for which a group has to serve before it may be taken apart."""

MOVE_S = 8.0
"""Time for which the free hosts of a domain wait for those of a group that is
taken apart: its requests end within 5 s, and its hosts leave and load within
2 s."""


class Staging(NamedTuple):
    """A model that a host should stage."""

    server: str
    order: Stage


class Plan(NamedTuple):
    """What to begin.

    Attributes:
      unheard: free hosts that have to tell their state first.
      formations: groups to form.
      preparations: hosts that should stand by.
      moves: groups to take apart for another model.
      stagings: hosts that should stage a second model.
    """

    unheard: tuple[BackendServer, ...] = ()
    formations: tuple[Formation, ...] = ()
    preparations: tuple[Preparation, ...] = ()
    moves: tuple[Move, ...] = ()
    stagings: tuple[Staging, ...] = ()


class _Promise(NamedTuple):
    """A model for which a domain takes groups apart."""

    model: str
    until: float


class Planner:
    """Plans over the hosts and groups that the leader knows.

    Attributes:
      has_traffic: whether callers have begun to send requests, after which
        loads take their full time.
    """

    def __init__(self, *, board: GroupBoard) -> None:
        """Plan over what others keep current on a board."""
        self._board = board
        self._hosts = board.hosts
        self._groups = board.groups
        self._stagings = StagingBook()
        self._last_load: float | None = None
        self._unheard: dict[str, float] = {}
        self._demands: dict[str, Demand] = {}
        self._requests: Mapping[str, int] = {}
        self._promises: dict[tuple[str, str], _Promise] = {}
        self.has_traffic = False

    def plan(self, service: str, engine: EngineProfile, now: float) -> Plan:
        """Return what to begin for a service now."""
        if not self.has_traffic and now - self._hosts.last_new < SETTLE_S:
            return Plan()
        domains = self._hosts.list_domains(service, now)
        taken, standby = self._find_members()
        groups = self._sort_groups(service)
        for server in list(self._unheard):
            if self._hosts.has_reported(server):
                del self._unheard[server]
        asked: list[str] = []
        placed: list[DomainHosts] = []
        for domain, hosts in sorted(domains.items()):
            free = self._list_free(hosts, taken, standby)
            unheard = [
                one.server
                for one in free
                if not self._hosts.has_reported(one.server)
            ]
            asked += unheard
            heard = [one for one in free if one.server not in unheard]
            placed.append(
                DomainHosts(
                    domain=domain,
                    free=() if self._waits_for(unheard, now) else tuple(heard),
                    groups=self._list_groups(groups.get(domain, ()), now),
                    promised=self._find_promise(service, domain, now),
                )
            )
        servers = tuple(self._hosts.servers[one] for one in asked)
        if not self.has_traffic and self._waits_for(asked, now):
            # One plan over all domains; a domain that was planned before the
            # others had reported got more groups than its part.
            return Plan(unheard=servers)
        total = sum(len(hosts) for hosts in domains.values())
        needs = self._find_demand(service).find_needs(
            engine, _count_groups(placed), total, now
        )
        plan = self._plan(service, engine, placed, needs, now)
        return plan._replace(
            unheard=(*servers, *plan.unheard),
            stagings=self._choose_stagings(engine, domains, placed, needs, now),
        )

    def note_requests(
        self,
        requests: Mapping[str, int],
        limited: Collection[str],
        engine: EngineProfile,
        service: str,
        now: float,
    ) -> None:
        """Take the requests of all nodes at each head.

        A group whose head limits what it gets has room for no more than it
        runs.

        Args:
          requests: requests by head.
          limited: heads that limit what they get.
          engine: how the engines of the service work.
          service: the service.
          now: present time.
        """
        self._requests = requests
        running: Counter[str] = Counter()
        places: Counter[str] = Counter()
        running.update(dict.fromkeys(engine.models, 0))
        for group in self._groups.values():
            if group.service == service and group.phase is Phase.SERVING:
                count = requests.get(group.head, 0)
                is_limited = group.head in limited
                running[group.model] += count
                places[group.model] += count if is_limited else engine.slots
        self._find_demand(service).note(running, places, now)

    def find_needs(
        self, service: str, engine: EngineProfile, now: float
    ) -> dict[str, float]:
        """Return the groups that each model of a service needs."""
        serving = Counter(
            group.model
            for group in self._groups.values()
            if group.service == service and group.phase is Phase.SERVING
        )
        hosts = sum(
            1
            for server in self._hosts.servers.values()
            if server.service == service
        )
        demand = self._find_demand(service)
        return demand.find_needs(engine, serving, hosts, now)

    def _find_demand(self, service: str) -> Demand:
        """Return the requests of a service, as they were seen lately."""
        return self._demands.setdefault(service, Demand())

    def take_load(self, engine: EngineProfile, now: float) -> bool:
        """Count a load if the weight store takes one more now."""
        if not self.has_traffic:
            return True
        loading = self._stagings.count(now) + sum(
            1
            for group in self._groups.values()
            if group.is_standby and group.phase is Phase.FORMING
        )
        pause = 1.0 / max(engine.loads_per_s, 0.1)
        if self._last_load is None:
            # The last leader may have begun one just now.
            self._last_load = now
        if loading >= engine.loads_at_once or now - self._last_load < pause:
            return False
        self._last_load = now
        return True

    def expect_load(self, shape: ModelShape) -> float:
        """Return how long a load takes now, in seconds."""
        factor = 1.0 if self.has_traffic else WARM_UP_FACTOR
        return factor * shape.load_s

    def note_staging(
        self, staging: Staging, engine: EngineProfile, now: float
    ) -> None:
        """Note that a host was told to stage a model."""
        model = staging.order.model
        load_s = self.expect_load(engine.models[model])
        self._stagings.note_ordered(staging.server, model, load_s, now)

    def note_staging_reply(
        self, server: str, order: Stage, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order to stage."""
        self._stagings.note_reply(server, order, reply, now)

    def forget(self, server: str) -> None:
        """Forget what a server was told, since it has started again."""
        self._stagings.forget(server)

    def _plan(
        self,
        service: str,
        engine: EngineProfile,
        domains: list[DomainHosts],
        needs: Mapping[str, float],
        now: float,
    ) -> Plan:
        """Return formations, preparations and moves."""
        planned = plan_service(
            domains,
            models=tuple(engine.models.values()),
            needs=needs,
            may_load=not self.has_traffic,
            pressed=self._find_demand(service).list_pressed(now),
        )
        for move in planned.moves:
            promise = _Promise(move.model, now + MOVE_S)
            self._promises[service, move.domain] = promise
        formations = []
        unheard: list[BackendServer] = []
        for formation in planned.formations:
            stale = [
                self._hosts.servers[server]
                for server in formation.members
                if self._hosts.may_be_slow(server, now)
            ]
            unheard += stale
            if not stale:
                formations.append(formation)
                self._keep_promise(service, formation, now)
        return Plan(
            unheard=tuple(unheard),
            formations=tuple(formations),
            preparations=planned.preparations,
            moves=planned.moves,
        )

    def _keep_promise(
        self, service: str, formation: Formation, now: float
    ) -> None:
        """Note that a group is formed for which others were taken apart."""
        domain = self._hosts.servers[formation.members[0]].domain
        if self._find_promise(service, domain, now) == formation.model:
            del self._promises[service, domain]

    def _find_promise(self, service: str, domain: str, now: float) -> str:
        """Return the model that a domain takes groups apart for."""
        promise = self._promises.get((service, domain))
        if promise is None or promise.until <= now:
            return ""
        return promise.model

    def _sort_groups(self, service: str) -> dict[str, list[ManagedGroup]]:
        """Return the groups of a service by the domain of their head."""
        sorted_groups: dict[str, list[ManagedGroup]] = {}
        for group in self._groups.values():
            head = self._hosts.servers.get(group.head)
            if group.service != service or head is None or group.is_standby:
                continue
            sorted_groups.setdefault(head.domain, []).append(group)
        return sorted_groups

    def _list_groups(
        self, groups: Iterable[ManagedGroup], now: float
    ) -> tuple[PlacedGroup, ...]:
        """Return those groups of a domain that serve or form."""
        passing = (Phase.CLOSING, Phase.CLEARING, Phase.STANDBY)
        placed = []
        for group in groups:
            if group.phase in passing:
                continue
            has_settled = now - group.served_at >= SETTLED_S
            is_serving = group.phase is Phase.SERVING and has_settled
            placed.append(
                PlacedGroup(
                    group=group.name,
                    model=group.model,
                    members=tuple(
                        self._describe(one, is_standby=False)
                        for one in group.members
                    ),
                    requests=self._requests.get(group.head, 0),
                    may_move=is_serving and group.doubted is None,
                )
            )
        return tuple(placed)

    def _describe(self, server: str, *, is_standby: bool) -> FreeHost:
        """Return what a host holds."""
        entry = self._hosts.servers.get(server)
        return FreeHost(
            server=server,
            loaded=self._hosts.loaded.get(server, ""),
            staged=() if entry is None else entry.staged,
            is_standby=is_standby,
        )

    def _waits_for(self, unheard: Iterable[str], now: float) -> bool:
        """Tell whether a domain should wait for hosts that have not reported.

        A host that was asked a moment ago may complete a group; one that does
        not answer must not hold up the others of its domain.
        """
        waits = False
        for server in unheard:
            since = self._unheard.setdefault(server, now)
            is_new = now - since < REPORT_WAIT_S
            waits = waits or (is_new and self._hosts.is_answering(server))
        return waits

    def _find_members(self) -> tuple[set[str], set[str]]:
        """Return the hosts that groups hold, and those that stand by."""
        taken: set[str] = set()
        standby: set[str] = set()
        for group in self._groups.values():
            if group.phase is Phase.STANDBY:
                standby.update(group.members)
            elif group.phase is Phase.CLEARING:
                taken.update(group.awaited)
            else:
                taken.update(group.members)
        return taken, standby

    def _list_free(
        self,
        hosts: Iterable[BackendServer],
        taken: set[str],
        standby: set[str],
    ) -> list[FreeHost]:
        """Return the hosts that are in no group, or stand by."""
        free = []
        for host in hosts:
            if host.server in taken or self._board.is_unknown_member(host):
                continue
            is_standby = host.server in standby
            free.append(self._describe(host.server, is_standby=is_standby))
        return free

    def _choose_stagings(
        self,
        engine: EngineProfile,
        domains: Mapping[str, list[BackendServer]],
        placed: list[DomainHosts],
        needs: Mapping[str, float],
        now: float,
    ) -> tuple[Staging, ...]:
        """Return which hosts stage a second model, the most wanted first."""
        counts = _count_groups(placed)
        rates = {name: counts[name] / needs[name] for name in engine.models}
        hosts = [
            HostWeights(
                host.server, self._hosts.loaded[host.server], host.staged
            )
            for servers in domains.values()
            for host in servers
            if self._has_settled(host)
        ]
        chosen = self._stagings.choose(hosts, engine, rates, now)
        return tuple(Staging(server, order) for server, order in chosen)

    def _has_settled(self, host: BackendServer) -> bool:
        """Tell whether a host has a model in memory and loads none."""
        membership = host.membership
        is_joining = (
            membership is not None and membership.state is MemberState.JOINING
        )
        return host.server in self._hosts.loaded and not is_joining


def _count_groups(domains: Iterable[DomainHosts]) -> Counter[str]:
    """Return the groups of each model that serve or form."""
    return Counter(group.model for domain in domains for group in domain.groups)
