"""What the handlers of requests share with the task that keeps it current.

All of it is used in one event loop and nothing waits in between.
"""

from collections.abc import Iterable, Mapping
import random
from typing import NamedTuple, TypeVar

from chervilrock.decisions.serving import placement
from chervilrock.decisions.serving.activenodes import ActiveNodes
from chervilrock.decisions.serving.failures import Failures, leave_out
from chervilrock.decisions.serving.firstevents import FirstEvents
from chervilrock.decisions.serving.lateness import UsualLimits
from chervilrock.decisions.serving.messages import StatedLimit
from chervilrock.decisions.serving.placement import Bound, Choice, Load
from chervilrock.decisions.serving.repeats import BudgetState, RepeatBudget
from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.serverlimits import (
    LimitChange,
    ServerLimits,
)
from chervilrock.decisions.serving.shares import SlotShares
from chervilrock.decisions.serving.shortage import Shortages
from chervilrock.decisions.serving.silence import GroupWatch
from chervilrock.decisions.serving.site import EngineProfile
from chervilrock.decisions.serving.suspects import SuspectTable
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NO_VIEW,
    NodeEntry,
    ServerEndpoint,
    ServingView,
)
from chervilrock.events import emit, Event

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

DOUBT_S = 2.0
"""Time for which an endpoint that failed is avoided: the leader has looked
into it and told a new view by then."""


_MS_PER_S = 1000


class RepeatBounds(NamedTuple):
    """Bounds of repeats that all nodes share."""

    ratio: float
    slack: float
    window_s: float


class ServingState:
    """Configuration, view and load of a node.

    Attributes:
      own: this node.
      routes: routes in force, None before the first configuration.
      view: what takes requests.
      view_time: when the view was last confirmed by a leader.
      nodes: nodes that take callers, as the leader tells.
      nodes_version: term and number of that list.
      known_nodes: all nodes that registered.
      is_stopping: whether the node is about to stop.
      has_traffic: whether a request of a caller came to any node.
      usual_limits: time limits of the callers of each route.
      first_events: how long the first event of each model takes.
      shortages: models whose requests find no place here.
      watches: progress of the streams of this node at each group.
      suspects: requests under which servers have ended.
      limits: limits that servers name.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        bounds: RepeatBounds,
        generator: random.Random,
    ) -> None:
        """Know nothing but this node."""
        self.own = own
        self.routes: RouteTable | None = None
        self.view: ServingView = NO_VIEW
        self.view_time = float("-inf")
        self.nodes: tuple[NodeEntry, ...] = ()
        self.nodes_version = (-1, 0)
        self.known_nodes: dict[str, NodeEntry] = {}
        self.is_stopping = False
        self.has_traffic = False
        self.generator = generator
        self._bounds = bounds
        self._budgets: dict[str, RepeatBudget] = {}
        self._own_loads: dict[str, int] = {}
        self._other_loads: Mapping[str, int] = {}
        self._doubts: dict[str, float] = {}
        self._failures = Failures()
        self._failing: dict[str, float] = {}
        self._active_nodes = ActiveNodes()
        self._shares = SlotShares(generator=generator)
        self.usual_limits = UsualLimits()
        self.first_events = FirstEvents()
        self.shortages = Shortages()
        self.watches: dict[str, GroupWatch] = {}
        self.suspects = SuspectTable()
        self.limits = ServerLimits(own=own.node)

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, -1 for none."""
        routes = self.routes
        return -1 if routes is None else routes.configuration.revision

    def use_view(self, view: ServingView, now: float) -> None:
        """Use another view from now on."""
        self.view = view
        self.view_time = now
        self._forget_failures(frozenset(one.group for one in view.groups))
        self.limits.take_told(view.limits, now)
        heads = [one.server for one in view.groups]
        heads += [one.server for one in view.servers]
        self.limits.forget_gone(heads, now)
        emit(
            Event.VIEW_IN_FORCE,
            term=view.term,
            sequence=view.sequence,
            groups=len(view.groups),
            servers=len(view.servers),
        )

    def _forget_failures(self, groups: frozenset[str]) -> None:
        """Forget the failures of groups that are gone."""
        self._failures.keep_only(groups)
        for group in set(self._failing) - groups:
            del self._failing[group]

    def find_engine(self, service: str) -> EngineProfile | None:
        """Return how the engines of a service work, None for a plain one."""
        if self.routes is None:
            return None
        known = self.routes.configuration.services.get(service)
        return None if known is None else known.engine

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeats of a service."""
        if service not in self._budgets:
            self._budgets[service] = RepeatBudget(
                ratio=self._bounds.ratio,
                slack=self._bounds.slack,
                window_s=self._bounds.window_s,
            )
        return self._budgets[service]

    def refill_budgets(self, *, is_in_touch: bool, now: float) -> None:
        """Earn this node's share of what all nodes may send again.

        Args:
          is_in_touch: whether the list of nodes is known to be current.
          now: present time.
        """
        if self.routes is None:
            return
        nodes = self.count_nodes() if is_in_touch else None
        for service in self.routes.configuration.services:
            self.budget(service).refill(nodes, now)

    def describe_budgets(self) -> Mapping[str, BudgetState]:
        """Return the repeats that are left, by service."""
        return {
            service: budget.describe()
            for service, budget in self._budgets.items()
        }

    def count_nodes(self) -> int:
        """Return the greatest number of nodes that may take callers."""
        return max(len(self.known_nodes), len(self.nodes), 1)

    def choose_group(
        self,
        service: str,
        model: str,
        avoided: frozenset[str],
        bound: Bound,
        now: float,
    ) -> Choice[GroupEndpoint] | None:
        """Return the best group with room for a request.

        Args:
          service: service of the route.
          model: model that is asked for.
          avoided: servers that must not get it.
          bound: how full a group may be.
          now: present time.
        """
        engine = self.find_engine(service)
        slots = 1 if engine is None else engine.slots
        groups = leave_out(
            self._list_permitted(self.list_groups(service, model), now),
            lambda one: self.is_failing(one.group, now),
        )
        return placement.choose(
            groups,
            lambda one: self._find_group_load(one, slots, now),
            data_centre=self.own.data_centre,
            avoided=avoided,
            bound=bound,
            generator=self.generator,
        )

    def choose_server(
        self, service: str, avoided: frozenset[str], now: float
    ) -> Choice[ServerEndpoint] | None:
        """Return the best server of a plain service with room."""
        return placement.choose(
            self._list_permitted(self.list_servers(service), now),
            lambda one: self._find_load(one.server, one.server, one.slots, now),
            data_centre=self.own.data_centre,
            avoided=avoided,
            bound=placement.SERVER_BOUND,
            generator=self.generator,
        )

    def _list_permitted(
        self, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints to which this node may send a request now."""
        if not self.limits:
            return endpoints
        return [
            one for one in endpoints if self.limits.may_send(one.server, now)
        ]

    def is_forming(self, model: str) -> bool:
        """Tell whether a group of a model may serve soon.

        A node that has no view yet gets one within some tenths of a second.
        """
        return self.view is NO_VIEW or model in self.view.forming

    def list_groups(self, service: str, model: str) -> list[GroupEndpoint]:
        """Return the groups that serve a model."""
        return [
            one
            for one in self.view.groups
            if one.service == service and one.model == model
        ]

    def list_servers(self, service: str) -> list[ServerEndpoint]:
        """Return the servers of a plain service."""
        return [one for one in self.view.servers if one.service == service]

    def note_sent(self, server: str) -> None:
        """Count a request that goes to an endpoint."""
        self._own_loads[server] = self._own_loads.get(server, 0) + 1

    def note_ended(self, server: str) -> None:
        """Count a request that has left an endpoint."""
        left = self._own_loads.get(server, 0) - 1
        if left > 0:
            self._own_loads[server] = left
        else:
            self._own_loads.pop(server, None)

    def doubt(self, endpoint: str, now: float) -> None:
        """Avoid a group or server, by its name, for a while."""
        self._doubts[endpoint] = now + DOUBT_S

    def note_success(self, group: str) -> None:
        """Note that a group answered a request of this node."""
        self._failures.note_success(group)
        self._failing.pop(group, None)

    def note_failure(self, group: str, now: float) -> None:
        """Avoid a group that failed a request, longer each time."""
        avoided_s = self._failures.note_failure(group)
        self._failing[group] = now + avoided_s
        emit(
            Event.GROUP_FAILING,
            group=group,
            avoided_ms=round(avoided_s * _MS_PER_S),
        )

    def is_failing(self, group: str, now: float) -> bool:
        """Tell whether a group is avoided since it failed requests."""
        return self._failing.get(group, now) > now

    def list_failing(self, now: float) -> tuple[str, ...]:
        """Return the groups that are avoided since they failed requests."""
        return tuple(one for one in self._failing if self.is_failing(one, now))

    def is_doubted(self, endpoint: str, now: float) -> bool:
        """Tell whether a group or server is avoided now."""
        return self._doubts.get(endpoint, now) > now

    def list_doubted(self, now: float) -> tuple[str, ...]:
        """Return the groups and servers that are avoided now."""
        for name in [one for one, end in self._doubts.items() if end <= now]:
            del self._doubts[name]
        return tuple(self._doubts)

    def count_requests(self, server: str) -> int:
        """Return the requests of all nodes at a head or server."""
        own = self._own_loads.get(server, 0)
        return own + self._other_loads.get(server, 0)

    @property
    def own_loads(self) -> Mapping[str, int]:
        """Requests of this node at each endpoint."""
        return self._own_loads

    def take_loads(
        self,
        total: Mapping[str, int],
        own: Mapping[str, int],
        *,
        senders: int,
        now: float,
    ) -> None:
        """Take the requests of all nodes at each endpoint.

        Args:
          total: the requests.
          own: those of this node that are counted in them.
          senders: nodes whose requests are counted in them.
          now: present time.
        """
        self._shares.note_sums(total, own, senders, now)
        self._other_loads = {
            server: max(0, count - own.get(server, 0))
            for server, count in total.items()
        }

    def note_limit(self, server: str, limit: StatedLimit, now: float) -> None:
        """Take what an answer of a server says of its limit."""
        names = (one.node for one in self.nodes)
        change = self.limits.note_answer(server, limit, names, now)
        if change is LimitChange.NAMED:
            emit(Event.LIMIT_NAMED, server=server, rate=limit.rate)
        elif change is LimitChange.ENDED:
            emit(Event.LIMIT_ENDED, server=server)
        elif change is LimitChange.UNREADABLE:
            emit(Event.LIMIT_UNREADABLE, server=server, value=limit.unreadable)

    def watch(self, group: str) -> GroupWatch:
        """Return the watch over the streams of a group."""
        return self.watches.setdefault(group, GroupWatch())

    def count_running(self) -> int:
        """Return the requests of all nodes at all endpoints."""
        own = sum(self._own_loads.values())
        return own + sum(self._other_loads.values())

    def list_callers_addresses(
        self, data_centre: str, leader: str | None, now: float
    ) -> Iterable[str]:
        """Return the addresses that callers should use.

        A node without a configuration that knows no other node, as one that
        the store turns away after all nodes were lost, names none: callers
        then ask another node, where they would be refused here.

        Args:
          data_centre: where the caller stands.
          leader: name of the node that leads, None while it is not heard.
          now: present time.
        """
        nodes = self.nodes or tuple(self.known_nodes.values())
        if self.is_stopping:
            nodes = tuple(one for one in nodes if one.node != self.own.node)
        elif not nodes and self.routes is not None:
            nodes = (self.own,)
        chosen = self._active_nodes.choose(
            nodes,
            data_centre=data_centre,
            leader=leader,
            running=self.count_running(),
            now=now,
        )
        return sorted({one.callers_address for one in chosen})

    def list_active_nodes(self, leader: str, now: float) -> list[str]:
        """Return the names of the nodes that callers are told to use.

        Args:
          leader: name of the node that leads.
          now: present time.
        """
        active = {
            one.node
            for data_centre in {node.data_centre for node in self.nodes}
            for one in self._active_nodes.choose(
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
        """Return the requests at a group, and how many this node may have."""
        load = self._find_load(group.server, group.group, slots, now)
        limit = self._shares.find_limit(group.server, slots, now)
        return load._replace(own_limit=limit)

    def _find_load(
        self, server: str, endpoint: str, slots: int, now: float
    ) -> Load:
        return Load(
            own=self._own_loads.get(server, 0),
            others=self._other_loads.get(server, 0),
            slots=max(1, slots),
            is_doubtful=self.is_doubted(endpoint, now),
        )
