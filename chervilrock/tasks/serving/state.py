"""State that request handlers share with the task that updates it.

It is used in a single event loop, and no method yields to the loop.
"""

from collections.abc import Iterable, Mapping
import itertools
import math
import random
from typing import NamedTuple, TypeVar

from chervilrock.decisions.serving.admission import placement
from chervilrock.decisions.serving.admission.durations import (
    RequestDurations,
)
from chervilrock.decisions.serving.admission.failures import (
    exclude_failing,
    GroupFailures,
)
from chervilrock.decisions.serving.admission.firstevents import FirstEventTimes
from chervilrock.decisions.serving.admission.lateness import UsualLimits
from chervilrock.decisions.serving.admission.placement import (
    Bound,
    Choice,
    Load,
)
from chervilrock.decisions.serving.admission.priorityadmission import (
    Capacity,
    PriorityAdmission,
    WaitingCounts,
)
from chervilrock.decisions.serving.admission.retrybudget import (
    BudgetState,
    RetryBudget,
)
from chervilrock.decisions.serving.admission.routes import RouteTable
from chervilrock.decisions.serving.admission.shares import SlotShares
from chervilrock.decisions.serving.admission.shortage import Shortages
from chervilrock.decisions.serving.admission.shutdown import Shutdown
from chervilrock.decisions.serving.admission.startup import Startup, STARTUP_S
from chervilrock.decisions.serving.admission.suspects import SuspectTable
from chervilrock.decisions.serving.groups.stalls import StallDetector
from chervilrock.decisions.serving.messages import (
    ServerStatement,
    StatedLimit,
)
from chervilrock.decisions.serving.nodes.activenodes import ActiveNodes
from chervilrock.decisions.serving.nodes.reachability import (
    choose_targets,
    ProbeTarget,
    ServerReachability,
)
from chervilrock.decisions.serving.servers.evacuations import Evacuations
from chervilrock.decisions.serving.servers.serverlimits import LimitChange
from chervilrock.decisions.serving.servers.serverstarts import ServerStarts
from chervilrock.decisions.serving.servers.serverstatements import (
    ServerStatements,
)
from chervilrock.decisions.serving.servers.warmups import (
    DEFAULT_BOUNDS,
    WarmupBounds,
)
from chervilrock.decisions.serving.site import EngineProfile
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NO_VIEW,
    NodeEntry,
    ServerEndpoint,
    ServingView,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.faults import Faults

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

AVOIDED_S = 2.0
"""Time for which an endpoint that failed is avoided. By then the leader has
checked the endpoint and announced a new view."""


_MS_PER_S = 1000


class RetryBounds(NamedTuple):
    """Limits on retries that all nodes share.

    Attributes:
      ratio: retries allowed for each request.
      slack: further retries allowed in a window, over all nodes.
      window_s: length of the window.
    """

    ratio: float
    slack: float
    window_s: float


class ServingState:
    """Configuration, view and load of a node.

    Attributes:
      own: this node.
      routes: routes in force, None before the first configuration.
      view: groups and servers that accept requests.
      view_time: when a leader last confirmed the view.
      nodes: nodes that accept callers, as announced by the leader.
      nodes_version: term and sequence number of that list.
      known_nodes: all registered nodes by name.
      is_stopping: whether the node is about to stop.
      has_traffic: whether any node has received a request of a caller.
      usual_limits: usual time limits of the callers of each route.
      first_events: time to the first event of each model.
      durations: time that requests take, by route.
      shutdown: what the node may still serve once it is about to stop.
      shortages: models whose requests find no free slot at this node.
      watches: stall detectors of this node's streams, by group.
      suspects: requests during which servers crashed.
      statements: what servers state of themselves in their answers.
      warmups: limits on requests to servers that warm up.
      evacuations: data centres that are evacuated.
      draining: groups of evacuated data centres that are no longer in the
        view but may still run streams of this node, by name.
      starts: latest start of each server that the views have named.
      startup: late requests in the seconds after the start.
      admission: decides which priorities may take free slots.
      reachability: whether this node reaches the servers.
      faults: faults of the program that this node survived.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        bounds: RetryBounds,
        generator: random.Random,
        warmups: WarmupBounds = DEFAULT_BOUNDS,
        evacuations: Evacuations | None = None,
    ) -> None:
        """Create a state that contains only this node.

        Args:
          own: this node.
          bounds: limits on retries.
          generator: draws candidate endpoints and shares of slots.
          warmups: limits on requests to servers that warm up.
          evacuations: empty registry of evacuations, None for one with the
            default time allowed for them.
        """
        self.own = own
        self.routes: RouteTable | None = None
        self.view: ServingView = NO_VIEW
        self.view_time = float("-inf")
        self.nodes: tuple[NodeEntry, ...] = ()
        self.nodes_version = (-1, 0)
        self.known_nodes: dict[str, NodeEntry] = {}
        self.faults = Faults()
        self.is_stopping = False
        self.has_traffic = False
        self.generator = generator
        self._bounds = bounds
        self.warmups = warmups
        self._budgets: dict[str, RetryBudget] = {}
        self._own_loads: dict[str, int] = {}
        self._load_periods: dict[str, int] = {}
        self._next_period = itertools.count()
        self._other_loads: Mapping[str, int] = {}
        self._senders = 0
        self._avoided_until: dict[str, float] = {}
        self._failures = GroupFailures()
        self._failing_until: dict[str, float] = {}
        self._active_nodes = ActiveNodes()
        self._shares = SlotShares(generator=generator)
        self.usual_limits = UsualLimits()
        self.first_events = FirstEventTimes()
        self.durations = RequestDurations()
        self.shutdown = Shutdown()
        self.shortages = Shortages()
        self.watches: dict[str, StallDetector] = {}
        self.suspects = SuspectTable()
        self.statements = ServerStatements(own=own.node)
        self.draining: dict[str, GroupEndpoint] = {}
        self.evacuations = Evacuations() if evacuations is None else evacuations
        self.starts = ServerStarts()
        self.startup = Startup(generator=generator)
        self.admission = PriorityAdmission()
        self.reachability = ServerReachability()
        self._admission_routes: RouteTable | None = None

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, -1 for none."""
        routes = self.routes
        return -1 if routes is None else routes.configuration.revision

    def apply_view(self, view: ServingView, now: float) -> None:
        """Replace the view; drop what is known of absent endpoints."""
        self.draining.update(
            (group.group, group)
            for group in self.view.groups
            if self.evacuations.is_evacuated(group.data_centre)
        )
        for group in view.groups:
            self.draining.pop(group.group, None)
        self.view = view
        self.view_time = now
        if self.startup.record_view(view.term, now):
            emit(Event.LATE_LIMITED, term=view.term, seconds=STARTUP_S)
        self._forget_failures(frozenset(group.group for group in view.groups))
        starts = view.list_starts()
        for server in self.starts.find_restarted(starts):
            self._forget_former_start(server)
        self.starts.update(starts, now)
        self.statements.apply_view(view.limits, view.list_targets(), now)
        emit(
            Event.VIEW_IN_FORCE,
            term=view.term,
            sequence=view.sequence,
            groups=len(view.groups),
            servers=len(view.servers),
        )

    def _forget_former_start(self, server: str) -> None:
        """Drop what is known of a server by its identifier alone.

        Requests that ran there before ended with that start. Some of them have
        not been recorded as ended yet, and must not count against those that
        run there now.
        """
        self.statements.forget(server)
        self._avoided_until.pop(server, None)
        for group in self.view.groups:
            if group.server == server:
                self._avoided_until.pop(group.group, None)
                self.record_success(group.group)
        self._own_loads.pop(server, None)
        self._load_periods.pop(server, None)
        self._other_loads = {
            other: count
            for other, count in self._other_loads.items()
            if other != server
        }
        emit(Event.SERVER_RESTARTED, server=server)

    def _forget_failures(self, groups: frozenset[str]) -> None:
        """Drop the failures of all groups except these."""
        self._failures.keep_only(groups)
        for group in set(self._failing_until) - groups:
            del self._failing_until[group]

    def choose_probe_targets(
        self, *, without: str = "", is_mixed: bool = False
    ) -> tuple[ProbeTarget, ...]:
        """Return servers that show whether this node reaches any.

        Args:
          without: server that is left out, empty for none.
          is_mixed: whether half of them should be plain servers.
        """
        routes = self.routes
        services = {} if routes is None else routes.configuration.services
        return choose_targets(
            self.view,
            services,
            self.generator,
            without=without,
            spared=self.statements.list_servers(),
            is_mixed=is_mixed,
        )

    def find_engine(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service, None for a plain one."""
        if self.routes is None:
            return None
        entry = self.routes.configuration.services.get(service)
        return None if entry is None else entry.engine

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created at first use."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                ratio=self._bounds.ratio,
                slack=self._bounds.slack,
                window_s=self._bounds.window_s,
            )
        return self._budgets[service]

    def refill_budgets(self, *, is_in_touch: bool, now: float) -> None:
        """Refill this node's share of the retry budgets of all services.

        Args:
          is_in_touch: whether the list of nodes is known to be current.
          now: current time.
        """
        if self.routes is None:
            return
        nodes = self.count_nodes() if is_in_touch else None
        for service in self.routes.configuration.services:
            self.budget(service).refill(nodes, now)

    def describe_budgets(self) -> Mapping[str, BudgetState]:
        """Return the state of the retry budgets by service."""
        return {
            service: budget.describe()
            for service, budget in self._budgets.items()
        }

    def count_nodes(self) -> int:
        """Return the greatest possible number of nodes with callers."""
        return max(len(self.known_nodes), len(self.nodes), 1)

    def has_other_nodes(self) -> bool:
        """Return whether another node is announced as accepting callers."""
        own = self.own.incarnation
        return any(node.incarnation != own for node in self.nodes)

    def choose_group(
        self,
        service: str,
        model: str,
        avoided: frozenset[str],
        bound: Bound,
        now: float,
    ) -> Choice[GroupEndpoint] | None:
        """Return the best group with a free slot for a request.

        Args:
          service: service of the route.
          model: requested model.
          avoided: servers that must not get the request.
          bound: how full a group may be.
          now: current time.
        """
        slots = self._find_slots(service)
        groups = exclude_failing(
            self._list_permitted(self.list_groups(service, model), now),
            lambda group: self.is_failing(group.group, now),
        )
        return placement.choose(
            groups,
            lambda group: self._find_group_load(group, slots, now),
            data_centre=self.own.data_centre,
            avoided=avoided,
            bound=bound,
            generator=self.generator,
        )

    def choose_server(
        self, service: str, avoided: frozenset[str], now: float
    ) -> Choice[ServerEndpoint] | None:
        """Return the best server of a plain service with a free slot."""
        return placement.choose(
            self._list_permitted(self.list_servers(service), now),
            lambda server: self._find_load(server, server.slots, now),
            data_centre=self.own.data_centre,
            avoided=avoided,
            bound=placement.SERVER_BOUND,
            generator=self.generator,
        )

    def _list_permitted(
        self, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints that may get a request of this node now."""
        endpoints = self.list_open(endpoints, now)
        if not self.statements:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.statements.may_send(endpoint.server, now)
        ]

    def list_open(
        self, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints outside of evacuated data centres.

        Those of a data centre whose evacuation has just begun are included.
        """
        if not self.evacuations:
            return endpoints
        closed = self.evacuations.list_closed(now)
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.data_centre not in closed
        ]

    def is_forming(self, model: str) -> bool:
        """Return whether a group of a model is expected to serve soon.

        True also before the first view, which arrives within some tenths of a
        second.
        """
        return self.view is NO_VIEW or model in self.view.forming

    def list_groups(self, service: str, model: str) -> list[GroupEndpoint]:
        """Return the groups that serve a model."""
        return [
            group
            for group in self.view.groups
            if group.service == service and group.model == model
        ]

    def may_send_late(self, service: str, model: str, now: float) -> bool:
        """Return whether this node may send another late request to a model."""
        engine = self.find_engine(service)
        if engine is None or not self.startup.is_limiting(now):
            return True
        slots = engine.slots * len(self.list_groups(service, model))
        return self.startup.may_send(model, slots / self.count_nodes(), now)

    def list_servers(self, service: str) -> list[ServerEndpoint]:
        """Return the servers of a plain service."""
        return [
            server for server in self.view.servers if server.service == service
        ]

    def record_sent(self, server: str) -> int:
        """Record that a request of this node starts at an endpoint.

        Returns:
          Number of the period in which requests are counted there, for
          `record_ended`.
        """
        if server not in self._own_loads:
            self._load_periods[server] = next(self._next_period)
        self._own_loads[server] = self._own_loads.get(server, 0) + 1
        return self._load_periods[server]

    def record_ended(self, server: str, period: int) -> None:
        """Record that a request of this node ended at an endpoint.

        Args:
          server: identifier of the server.
          period: what `record_sent` returned; a request that was sent before
            the server started again is no longer counted.
        """
        if period != self._load_periods.get(server):
            return
        remaining = self._own_loads.get(server, 0) - 1
        if remaining > 0:
            self._own_loads[server] = remaining
        else:
            self._own_loads.pop(server, None)
            self._load_periods.pop(server, None)

    def avoid(self, endpoint: str, now: float) -> None:
        """Avoid a group or server, given by name, for `AVOIDED_S`."""
        self._avoided_until[endpoint] = now + AVOIDED_S

    def forget_avoided(self) -> None:
        """Stop to avoid what did not answer while the node was cut off."""
        self._avoided_until.clear()

    def record_success(self, group: str) -> None:
        """Record that a group answered a request of this node."""
        self._failures.record_success(group)
        self._failing_until.pop(group, None)

    def record_failure(self, group: str, now: float) -> None:
        """Avoid a group that failed a request, longer after each failure."""
        avoided_s = self._failures.record_failure(group)
        self._failing_until[group] = now + avoided_s
        emit(
            Event.GROUP_FAILING,
            group=group,
            avoided_ms=round(avoided_s * _MS_PER_S),
        )

    def is_failing(self, group: str, now: float) -> bool:
        """Return whether a group is avoided because it failed requests."""
        return self._failing_until.get(group, now) > now

    def list_failing(self, now: float) -> tuple[str, ...]:
        """Return the groups that are avoided because they failed requests."""
        return tuple(
            group
            for group in self._failing_until
            if self.is_failing(group, now)
        )

    def is_avoided(self, endpoint: str, now: float) -> bool:
        """Return whether a group or server is avoided after `avoid`."""
        return self._avoided_until.get(endpoint, now) > now

    def list_avoided(self, now: float) -> tuple[str, ...]:
        """Return the groups and servers that are avoided after `avoid`."""
        for name in [
            name for name, end in self._avoided_until.items() if end <= now
        ]:
            del self._avoided_until[name]
        return tuple(self._avoided_until)

    def count_requests(self, server: str) -> int:
        """Return the number of requests of all nodes at a head or server."""
        own = self._own_loads.get(server, 0)
        return own + self._other_loads.get(server, 0)

    @property
    def own_loads(self) -> Mapping[str, int]:
        """Number of requests of this node at each endpoint."""
        return self._own_loads

    def apply_loads(
        self,
        total: Mapping[str, int],
        own: Mapping[str, int],
        *,
        senders: int,
        now: float,
    ) -> None:
        """Apply the number of requests of all nodes at each endpoint.

        Args:
          total: the requests.
          own: requests of this node that `total` includes.
          senders: number of nodes whose requests `total` includes.
          now: current time.
        """
        self._senders = senders
        self._shares.record_totals(total, own, senders, now)
        self._other_loads = {
            server: max(0, count - own.get(server, 0))
            for server, count in total.items()
        }

    def apply_waiting(
        self,
        total: WaitingCounts,
        included: WaitingCounts,
        own: WaitingCounts,
        now: float,
    ) -> None:
        """Apply the number of requests that wait at all nodes.

        Args:
          total: the sums, by model or plain service and by priority.
          included: requests of this node that `total` includes.
          own: requests that wait at this node now.
          now: current time.
        """
        self._configure_admission()
        pools = self.admission.list_pools()
        capacities = {pool: self.find_capacity(pool, now) for pool in pools}
        former = set(self.admission.list_blocked(now))
        self.admission.record_sums(
            total,
            included,
            own,
            capacities,
            senders=self._senders,
            now=now,
        )
        blocked = self.admission.list_blocked(now)
        for pool in former - set(blocked):
            emit(Event.PRIORITY_UNBLOCKED, pool=pool)
        for pool in set(blocked) - former:
            emit(
                Event.PRIORITY_BLOCKED,
                pool=pool,
                waiting=sum(total.get(pool, {}).values())
                - sum(included.get(pool, {}).values()),
                free=capacities[pool].free,
                priorities=blocked[pool],
            )

    def find_top_priority(self, service: str) -> int | None:
        """Return the most urgent priority of a service, None if all are equal.

        It depends on the routes and workspaces of the configuration.
        """
        self._configure_admission()
        return self.admission.find_top(service)

    def _configure_admission(self) -> None:
        """Apply the priorities of a configuration that has just changed."""
        routes = self.routes
        if routes is not self._admission_routes and routes is not None:
            self._admission_routes = routes
            self.admission.configure(routes.configuration)

    def find_capacity(self, pool: str, now: float) -> Capacity:
        """Return the slots of a model or plain service with priorities.

        Servers that want no requests of this node count without slots.

        Args:
          pool: name of the model or the plain service.
          now: current time.
        """
        endpoints = [
            (one.server, self._find_slots(one.service))
            for one in self.list_open(list(self.view.groups), now)
            if one.model == pool
            and self.admission.find_top(one.service) is not None
        ]
        endpoints += [
            (one.server, math.ceil(placement.SERVER_BOUND.total * one.slots))
            for one in self.list_open(list(self.view.servers), now)
            if one.service == pool
        ]
        if self.statements:
            endpoints = [
                endpoint
                for endpoint in endpoints
                if self.statements.may_send(endpoint[0], now)
            ]
        return Capacity(
            slots=sum(slots for _, slots in endpoints),
            free=sum(
                slots - self.count_requests(server)
                for server, slots in endpoints
            ),
            endpoints=len(endpoints),
        )

    def _find_slots(self, service: str) -> int:
        """Return the slots of a group of a service."""
        engine = self.find_engine(service)
        return 1 if engine is None else engine.slots

    def record_statement(
        self,
        server: str,
        statement: ServerStatement,
        request_id: str,
        now: float,
    ) -> None:
        """Record what a server states of itself in an answer.

        Args:
          server: identifier of the server.
          statement: what it states.
          request_id: the request that it answers.
          now: current time.
        """
        names = (node.node for node in self.nodes)
        change = self.statements.record(server, statement, names, now)
        if change.limit is not None and statement.limit is not None:
            _log_limit(server, statement.limit, change.limit)
        if change.pause_s:
            emit(
                Event.PAUSE_STATED,
                server=server,
                request_id=request_id,
                seconds=round(statement.pause.seconds, 3),
                ends_in_s=round(change.pause_s, 3),
            )
        if change.is_departure_new:
            emit(
                Event.DEPARTURE_STATED,
                server=server,
                request_id=request_id,
            )
        if not change.has_new_unreadable:
            return
        if statement.pause.unreadable:
            emit(
                Event.PAUSE_UNREADABLE,
                server=server,
                request_id=request_id,
                value=statement.pause.unreadable,
            )
        if statement.departure.unreadable:
            emit(
                Event.DEPARTURE_UNREADABLE,
                server=server,
                request_id=request_id,
                value=statement.departure.unreadable,
            )

    def watch(self, group: str) -> StallDetector:
        """Return the stall detector of a group, created at first use."""
        return self.watches.setdefault(group, StallDetector())

    def count_running(self) -> int:
        """Return the number of requests of all nodes at all endpoints."""
        own = sum(self._own_loads.values())
        return own + sum(self._other_loads.values())

    def list_callers_addresses(
        self, data_centre: str, leader: str | None, now: float
    ) -> Iterable[str]:
        """Return the addresses that callers should use.

        The result is empty on a node that has no configuration and no record of
        another node, such as one that the store rejects after all nodes were
        lost. Callers then turn to another node instead of being rejected here.

        Args:
          data_centre: data centre of the caller.
          leader: name of the leader, None without contact to it.
          now: current time.
        """
        nodes = self.nodes or tuple(self.known_nodes.values())
        if self.is_stopping:
            nodes = tuple(node for node in nodes if node.node != self.own.node)
        elif not nodes and self.routes is not None:
            nodes = (self.own,)
        chosen = self._active_nodes.choose(
            nodes,
            data_centre=data_centre,
            leader=leader,
            running=self.count_running(),
            now=now,
        )
        return sorted({node.callers_address for node in chosen})

    def list_active_nodes(self, leader: str, now: float) -> list[str]:
        """Return the names of the nodes that are announced to callers.

        Args:
          leader: name of the leader.
          now: current time.
        """
        active = {
            active_node.node
            for data_centre in {node.data_centre for node in self.nodes}
            for active_node in self._active_nodes.choose(
                self.nodes,
                data_centre=data_centre,
                leader=leader,
                running=self.count_running(),
                now=now,
            )
        }
        return sorted(active)

    def _find_group_load(
        self, group: GroupEndpoint, slots: int, now: float
    ) -> Load:
        """Return the load of a group with this node's limit on it."""
        load = self._find_load(group, slots, now)
        demand = None
        if self.admission.has_competition(group.model):
            demand = self.admission.find_demand(group.model, now)
        limit = self._shares.find_limit(group.server, slots, now, demand)
        return load._replace(own_limit=limit)

    def _find_load(
        self, endpoint: GroupEndpoint | ServerEndpoint, slots: int, now: float
    ) -> Load:
        server = endpoint.server
        return Load(
            own=self._own_loads.get(server, 0),
            others=self._other_loads.get(server, 0),
            slots=max(1, slots),
            is_deprioritized=self.is_avoided(endpoint.name, now)
            or self.statements.pauses.is_recent(server, now)
            or self.evacuations.is_evacuated(endpoint.data_centre),
        )


def _log_limit(server: str, limit: StatedLimit, change: LimitChange) -> None:
    """Log how an answer changes the limit of its server."""
    match change:
        case LimitChange.NAMED:
            emit(Event.LIMIT_NAMED, server=server, rate=limit.rate)
        case LimitChange.ENDED:
            emit(Event.LIMIT_ENDED, server=server)
        case LimitChange.UNREADABLE:
            emit(Event.LIMIT_UNREADABLE, server=server, value=limit.unreadable)
