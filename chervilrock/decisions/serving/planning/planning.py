"""Plans the next groups, standby hosts and stagings of a service.

The planner evaluates the leader's state of a service and returns the actions to
start; the controller executes them.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.orders import OrderReply, Stage
from chervilrock.decisions.serving.planning.demand import Demand
from chervilrock.decisions.serving.planning.plan import (
    DomainHosts,
    Formation,
    FreeHost,
    Move,
    PlacedGroup,
    plan_service,
    Preparation,
)
from chervilrock.decisions.serving.planning.staging import (
    HostWeights,
    StagingTracker,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    MemberState,
    ModelShape,
)

REGISTRATION_SETTLE_S = 1.0
"""Time without a new server after which the first plan is made: servers
register one by one within a few seconds of their start."""

REPORT_WAIT_S = 0.3
"""Time to wait for the report of a host after its status is queried. A healthy
host answers within a few milliseconds; the wait covers the loss of one
query."""

WARM_UP_FACTOR = 0.1
"""Duration of a load before the first request, as a fraction of its usual
duration."""


MIN_SERVING_S = 1.0
"""Time for which a group must have served before it may be dissolved."""

MOVE_TIMEOUT_S = 8.0
"""Time for which the free hosts of a domain are reserved for the members of a
group that is being dissolved: its requests end within 5 s, and its hosts leave
and load within 2 s."""


class Staging(NamedTuple):
    """A model that a host should stage."""

    server: str
    order: Stage


class Plan(NamedTuple):
    """Actions to start.

    Attributes:
      unreported: free hosts whose status has to be queried first.
      contradictory: hosts in no known group whose entry or report names one.
      formations: groups to form.
      preparations: hosts that should become standby hosts.
      moves: groups to dissolve in favour of another model.
      stagings: hosts that should stage a second model.
    """

    unreported: tuple[BackendServer, ...] = ()
    contradictory: tuple[BackendServer, ...] = ()
    formations: tuple[Formation, ...] = ()
    preparations: tuple[Preparation, ...] = ()
    moves: tuple[Move, ...] = ()
    stagings: tuple[Staging, ...] = ()


class _Reservation(NamedTuple):
    """The model for which a domain dissolves groups."""

    model: str
    until: float


class Planner:
    """Plans for the hosts and groups of a leader.

    Attributes:
      has_traffic: whether callers have started to send requests, after which
        loads take their full time.
    """

    def __init__(self, *, registry: GroupRegistry) -> None:
        """Create a planner.

        Args:
          registry: groups and hosts, kept up to date by other components.
        """
        self._registry = registry
        self._hosts = registry.hosts
        self._groups = registry.groups
        self._stagings = StagingTracker()
        self._last_load: float | None = None
        self._query_times: dict[str, float] = {}
        self._demands: dict[str, Demand] = {}
        self._requests: Mapping[str, int] = {}
        self._reservations: dict[tuple[str, str], _Reservation] = {}
        self.has_traffic = False

    def plan(self, service: str, engine: EngineProfile, now: float) -> Plan:
        """Return the actions to start for a service now."""
        if (
            not self.has_traffic
            and now - self._hosts.last_added_at < REGISTRATION_SETTLE_S
        ):
            return Plan()
        domains = self._hosts.list_domains(service, now)
        occupied, standby = self._find_members()
        groups = self._group_by_domain(service)
        for server in list(self._query_times):
            if self._hosts.has_reported(server):
                del self._query_times[server]
        queried: list[str] = []
        contradictory: list[BackendServer] = []
        placed: list[DomainHosts] = []
        for domain, hosts in sorted(domains.items()):
            free, unexplained = self._list_free(hosts, occupied, standby)
            contradictory += unexplained
            unreported = [
                host.server
                for host in free
                if not self._hosts.has_reported(host.server)
            ]
            queried += unreported
            reported = [host for host in free if host.server not in unreported]
            placed.append(
                DomainHosts(
                    domain=domain,
                    free=()
                    if self._should_wait_for(unreported, now)
                    else tuple(reported),
                    groups=self._list_active_groups(
                        groups.get(domain, ()), now
                    ),
                    reserved_for=self._find_reserved_model(
                        service, domain, now
                    ),
                )
            )
        servers = tuple(self._hosts.servers[server] for server in queried)
        if not self.has_traffic and self._should_wait_for(queried, now):
            # Plan all domains together: a domain that is planned before the
            # others have reported gets more groups than its share.
            return Plan(unreported=servers, contradictory=tuple(contradictory))
        total = sum(len(hosts) for hosts in domains.values())
        needs = self._get_demand(service).find_needs(
            engine, _count_groups(placed), total, now
        )
        plan = self._plan_groups(service, engine, placed, needs, now)
        return plan._replace(
            unreported=(*servers, *plan.unreported),
            contradictory=tuple(contradictory),
            stagings=self._choose_stagings(engine, domains, placed, needs, now),
        )

    def record_requests(
        self,
        requests: Mapping[str, int],
        usable: Mapping[str, float],
        engine: EngineProfile,
        service: str,
        now: float,
    ) -> None:
        """Record the requests of all nodes at each group head.

        The capacity of a group whose head limits its requests, or pauses, is
        at least the number of requests that it runs. Groups of an evacuated
        data centre have none: others have to take over their requests.

        Args:
          requests: number of requests by head.
          usable: fraction of the slots that nodes may use, by head; all where
            it is missing.
          engine: engine profile of the service.
          service: name of the service.
          now: current time.
        """
        self._requests = requests
        running: Counter[str] = Counter()
        capacities: Counter[str] = Counter()
        running.update(dict.fromkeys(engine.models, 0))
        for group in self._groups.values():
            if group.service == service and group.phase is Phase.SERVING:
                count = requests.get(group.head, 0)
                slots = engine.slots
                if group.head in usable:
                    slots = max(count, int(usable[group.head] * slots))
                running[group.model] += count
                if not self._hosts.is_evacuated(group.head):
                    capacities[group.model] += slots
        self._get_demand(service).record(running, capacities, now)

    def find_needs(
        self, service: str, engine: EngineProfile, now: float
    ) -> dict[str, float]:
        """Return the number of groups that each model of a service needs."""
        serving = Counter(
            group.model
            for group in self._groups.values()
            if group.service == service
            and group.phase is Phase.SERVING
            and not self._hosts.is_evacuated(group.head)
        )
        hosts = sum(
            1
            for server in self._hosts.servers.values()
            if server.service == service
            and server.data_centre not in self._hosts.evacuated
        )
        demand = self._get_demand(service)
        return demand.find_needs(engine, serving, hosts, now)

    def _get_demand(self, service: str) -> Demand:
        """Return the recent demand of a service."""
        return self._demands.setdefault(service, Demand())

    def acquire_load(self, engine: EngineProfile, now: float) -> bool:
        """Return whether the weight store can serve one more load now.

        If so, the load is counted as started.
        """
        if not self.has_traffic:
            return True
        loading = self._stagings.count(now) + sum(
            1
            for group in self._groups.values()
            if group.is_standby and group.phase is Phase.FORMING
        )
        pause = 1.0 / max(engine.loads_per_s, 0.1)
        if self._last_load is None:
            # The previous leader may have started a load just now.
            self._last_load = now
        if loading >= engine.loads_at_once or now - self._last_load < pause:
            return False
        self._last_load = now
        return True

    def estimate_load_s(self, shape: ModelShape) -> float:
        """Return the expected duration of a load now, in seconds."""
        factor = 1.0 if self.has_traffic else WARM_UP_FACTOR
        return factor * shape.load_s

    def record_staging(
        self, staging: Staging, engine: EngineProfile, now: float
    ) -> None:
        """Record that a host was ordered to stage a model."""
        model = staging.order.model
        load_s = self.estimate_load_s(engine.models[model])
        self._stagings.record_ordered(staging.server, model, load_s, now)

    def record_staging_reply(
        self, server: str, order: Stage, reply: OrderReply | None, now: float
    ) -> None:
        """Record the reply to an order to stage, None if there was none."""
        self._stagings.record_reply(server, order, reply, now)

    def forget(self, server: str) -> None:
        """Forget the orders to a server that has restarted."""
        self._stagings.forget(server)

    def _plan_groups(
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
            overloaded=self._get_demand(service).list_overloaded(now),
        )
        for move in planned.moves:
            reservation = _Reservation(move.model, now + MOVE_TIMEOUT_S)
            self._reservations[service, move.domain] = reservation
        formations = []
        unreported: list[BackendServer] = []
        for formation in planned.formations:
            stale = [
                self._hosts.servers[server]
                for server in formation.members
                if self._hosts.may_be_slow(server, now)
            ]
            unreported += stale
            if not stale:
                formations.append(formation)
                self._end_reservation(service, formation, now)
        return Plan(
            unreported=tuple(unreported),
            formations=tuple(formations),
            preparations=planned.preparations,
            moves=planned.moves,
        )

    def _end_reservation(
        self, service: str, formation: Formation, now: float
    ) -> None:
        """End a reservation when the group that it was made for is formed."""
        domain = self._hosts.servers[formation.members[0]].domain
        if self._find_reserved_model(service, domain, now) == formation.model:
            del self._reservations[service, domain]

    def _find_reserved_model(
        self, service: str, domain: str, now: float
    ) -> str:
        """Return the model for which a domain dissolves groups, if any.

        The name is empty if there is no reservation or it has expired.
        """
        reservation = self._reservations.get((service, domain))
        if reservation is None or reservation.until <= now:
            return ""
        return reservation.model

    def _group_by_domain(self, service: str) -> dict[str, list[ManagedGroup]]:
        """Return the groups of a service by the domain of their head."""
        groups_by_domain: dict[str, list[ManagedGroup]] = {}
        for group in self._groups.values():
            head = self._hosts.servers.get(group.head)
            if group.service != service or head is None or group.is_standby:
                continue
            groups_by_domain.setdefault(head.domain, []).append(group)
        return groups_by_domain

    def _list_active_groups(
        self, groups: Iterable[ManagedGroup], now: float
    ) -> tuple[PlacedGroup, ...]:
        """Return the groups of a domain that serve or are being formed."""
        transitional = (Phase.CLOSING, Phase.DISSOLVING, Phase.STANDBY)
        placed = []
        for group in groups:
            if group.phase in transitional:
                continue
            has_served_enough = now - group.served_at >= MIN_SERVING_S
            is_serving = group.phase is Phase.SERVING and has_served_enough
            placed.append(
                PlacedGroup(
                    group=group.name,
                    model=group.model,
                    members=tuple(
                        self._describe_host(server, is_standby=False)
                        for server in group.members
                    ),
                    requests=self._requests.get(group.head, 0),
                    may_dissolve=is_serving and group.verifying_since is None,
                )
            )
        return tuple(placed)

    def _describe_host(self, server: str, *, is_standby: bool) -> FreeHost:
        """Return a host with the models that it holds."""
        entry = self._hosts.servers.get(server)
        return FreeHost(
            server=server,
            loaded=self._hosts.loaded.get(server, ""),
            staged=() if entry is None else entry.staged,
            is_standby=is_standby,
        )

    def _should_wait_for(self, unreported: Iterable[str], now: float) -> bool:
        """Return whether a domain should wait for hosts that have not reported.

        A host that was queried a moment ago may complete a group; a host that
        does not answer must not delay the others of its domain.
        """
        waits = False
        for server in unreported:
            since = self._query_times.setdefault(server, now)
            is_new = now - since < REPORT_WAIT_S
            waits = waits or (is_new and self._hosts.is_answering(server))
        return waits

    def _find_members(self) -> tuple[set[str], set[str]]:
        """Return the members of groups and the standby hosts."""
        occupied: set[str] = set()
        standby: set[str] = set()
        for group in self._groups.values():
            if group.phase is Phase.STANDBY:
                standby.update(group.members)
            elif group.phase is Phase.DISSOLVING:
                occupied.update(group.awaited)
            else:
                occupied.update(group.members)
        return occupied, standby

    def _list_free(
        self,
        hosts: Iterable[BackendServer],
        occupied: set[str],
        standby: set[str],
    ) -> tuple[list[FreeHost], list[BackendServer]]:
        """Return the free hosts, and those that no group explains.

        Standby hosts are free. No group explains a host that is in none, but
        would be refused as a member of a new one.
        """
        free = []
        contradictory = []
        for host in hosts:
            if host.server in occupied or self._registry.is_unknown_member(
                host
            ):
                continue
            if self._registry.is_in_other_group(host.server):
                contradictory.append(host)
                continue
            is_standby = host.server in standby
            free.append(self._describe_host(host.server, is_standby=is_standby))
        return free, contradictory

    def _choose_stagings(
        self,
        engine: EngineProfile,
        domains: Mapping[str, list[BackendServer]],
        placed: list[DomainHosts],
        needs: Mapping[str, float],
        now: float,
    ) -> tuple[Staging, ...]:
        """Return the hosts that should stage a second model.

        Models with the fewest groups for their demand come first.
        """
        counts = _count_groups(placed)
        rates = {name: counts[name] / needs[name] for name in engine.models}
        hosts = [
            HostWeights(
                host.server, self._hosts.loaded[host.server], host.staged
            )
            for servers in domains.values()
            for host in servers
            if self._has_loaded_model(host)
        ]
        chosen = self._stagings.choose(hosts, engine, rates, now)
        return tuple(Staging(server, order) for server, order in chosen)

    def _has_loaded_model(self, host: BackendServer) -> bool:
        """Return whether a host has a model in memory and loads none."""
        membership = host.membership
        is_joining = (
            membership is not None and membership.state is MemberState.JOINING
        )
        return host.server in self._hosts.loaded and not is_joining


def _count_groups(domains: Iterable[DomainHosts]) -> Counter[str]:
    """Return how many groups of each model serve or are being formed."""
    return Counter(group.model for domain in domains for group in domain.groups)
