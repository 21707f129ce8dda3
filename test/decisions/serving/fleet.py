"""Fake backend servers that execute orders, lose answers, run late and fail.

The fleet checks two guarantees at each order, from whichever leader: no host
joins another group while the head of its group serves, and a group opens only
after all of its members were ready.
"""

from collections import deque
from collections.abc import Mapping
import heapq
import itertools
import random
from types import MappingProxyType
from typing import Any, NamedTuple

from chervilrock.decisions.serving.groups.controller import Controller
from chervilrock.decisions.serving.groups.effects import (
    Command,
    GroupChange,
    StatusQuery,
)
from chervilrock.decisions.serving.groups.orders import (
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderReply,
    ServerReport,
    Stage,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Limits,
    Membership,
    MemberState,
    ModelShape,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    WeightedService,
)

SERVICE = "drafts"
STEP_S = 0.05
ENTRY_LAG_S = 0.3
ANSWER_S = 0.003
NO_ANSWER_S = 0.5
JOIN_S = 0.2
HISTORY_STEPS = 20

LARGE = ModelShape("large", 4, 1.0, 0.67, 16.0, 1.6)
SMALL = ModelShape("small", 2, 0.6, 0.33, 12.0, 1.1)

ENGINE = EngineProfile(
    slots=13,
    step_s=0.006,
    per_request_s=0.0005,
    steps_per_pass=5,
    prompt_tokens_per_s=46000.0,
    prompt_chunk=2048,
    usual_prompt_tokens=1076.0,
    form_s=0.3,
    loads_per_s=4.0,
    loads_at_once=6,
    staged_models=1,
    models={"large": LARGE, "small": SMALL},
)

ROUTE = Route(
    name="drafts",
    host="drafts.example",
    prefix="/draft/",
    kind=RouteKind.STREAM,
    services=(WeightedService(SERVICE, 1.0),),
    timeout_s=8.0,
    target_s=0.5,
    longest_pause_s=0.3,
    priority=1,
    max_attempts=2,
    is_public=True,
    is_resumable=False,
)

CONFIGURATION = SiteConfiguration(
    revision=1,
    routes=(ROUTE,),
    services={SERVICE: Service(SERVICE, ENGINE)},
    keys=None,
    limits=Limits(idle_s=15.0),
)


class Faults(NamedTuple):
    """Rates at which orders fail.

    Attributes:
      lost: share of the orders that are executed without an answer.
      late: share of the orders that are executed seconds later, unanswered.
    """

    lost: float = 0.0
    late: float = 0.0


class FakeServer:
    """A server with one membership and storage for staged weights."""

    def __init__(self, *, server: str, domain: str) -> None:
        self.server = server
        self.domain = domain
        self.staged: tuple[str, ...] = ()
        self.last_model = ""
        self.membership: Membership | None = None
        self.members: tuple[str, ...] = ()
        self.ready_at = 0.0
        self.highest_epoch = -1
        self.obeyed = 0
        self.time_factor = 1.0
        self.started_ms = 1
        self.is_dead = False
        self.is_unreachable = False
        self.is_leaving = False
        self.stale_entry: BackendServer | None = None
        self.has_entry = True
        self.successor = ""  # server that has taken over its address
        self.busy_until = 0.0
        self.history: deque[tuple[float, Membership | None, int]] = deque(
            maxlen=HISTORY_STEPS
        )

    def record_state(self, now: float) -> None:
        """Record the present state for the reports that show it later."""
        self.history.append((now, self.membership, self.obeyed))

    def find_state(self, then: float) -> tuple[Membership | None, int]:
        """Return the membership and the number of orders at a time."""
        state = (self.membership, self.obeyed)
        for time, membership, obeyed in reversed(self.history):
            state = (membership, obeyed)
            if time <= then:
                break
        return state


class Fleet:
    """Servers, their entries in the store, and the controller of them."""

    def __init__(
        self,
        *,
        domains: int,
        hosts: int,
        seed: int,
        term: int = 1,
        data_centres: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self.data_centres = data_centres
        self.orders: list[tuple[str, Order]] = []
        self.sent: list[tuple[str, Order]] = []
        self.changes: list[GroupChange] = []
        self.generator = random.Random(seed)
        self.now = 100.0
        self.faults = Faults()
        self.report_lag_s = 0.0
        self.foreign_entries: dict[str, BackendServer] = {}
        self.violations: list[str] = []
        self.opened: set[tuple[str, int]] = set()
        self.servers: dict[str, FakeServer] = {}
        self.was_ready: dict[tuple[str, int], set[str]] = {}
        self._queue: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self.has_traffic = False
        self.demand: dict[str, int] = {}
        self.usable: dict[str, float] = {}
        for domain in range(domains):
            for host in range(hosts):
                self.add(f"h{domain}-{host}", f"d{domain}")
        self.former: list[Controller] = []
        self.controller = self.make_controller(term)

    def add(self, name: str, domain: str) -> FakeServer:
        """Add an empty server."""
        server = FakeServer(server=name, domain=domain)
        self.servers[name] = server
        return server

    def make_controller(self, term: int) -> Controller:
        """Let a new leader take over, with the current entries."""
        controller = Controller(term=term)
        controller.set_configuration(CONFIGURATION)
        if self.has_traffic:
            controller.record_traffic()
        for entry in self.list_entries():
            controller.record_server(entry, self.now)
        self.controller = controller
        return controller

    def list_entries(self) -> list[BackendServer]:
        """Return the entries in the store, in the order of their keys."""
        entries = {
            server.server: self.make_entry(server)
            for server in self.servers.values()
            if not server.is_dead
        }
        entries |= self.foreign_entries
        return [entry for _, entry in sorted(entries.items())]

    def cut_off_leader(self, term: int) -> Controller:
        """Let a new leader take over while the former one goes on.

        The former leader reaches the servers, but not the store.
        """
        former = self.controller
        self.former.append(former)
        self.make_controller(term)
        return former

    def stop_former(self) -> None:
        """Let all former leaders stop; their orders in flight remain."""
        self.former.clear()

    def start_traffic(self) -> None:
        """Start traffic, after which loads take their full time."""
        self.has_traffic = True
        self.controller.record_traffic()

    def kill(self, name: str, entry_s: float = 2.5) -> None:
        """Stop a server; its entry is removed later."""
        self.servers[name].is_dead = True
        self._schedule(entry_s, ("gone", name))

    def restart(self, name: str) -> None:
        """Restart a server under its name; its host keeps staged weights."""
        server = self.servers[name]
        server.started_ms += 1
        server.last_model = ""
        server.membership = None
        server.members = ()
        server.highest_epoch = -1
        server.obeyed = 0
        server.history.clear()

    def run(self, seconds: float) -> None:
        """Simulate the passing of time."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_S, 6)
            self._deliver()
            self._finish_joins()
            if self.report_lag_s:
                for server in self.servers.values():
                    server.record_state(self.now)
            if self.demand:
                self.controller.record_requests(
                    self._spread(), self.usable, self.now
                )
            for controller in (*self.former, self.controller):
                for effect in controller.step(self.now):
                    self._carry_out(controller, effect)
            if round(self.now / STEP_S) % 6 == 0:
                self._send_entries()

    def serving(self) -> dict[str, int]:
        """Return the number of groups of each model that accept requests."""
        counts: dict[str, int] = {}
        for group in self.controller.list_groups(self.now):
            counts[group.model] = counts.get(group.model, 0) + 1
        return counts

    def _spread(self) -> dict[str, int]:
        """Return the requests at each head if they are spread evenly."""
        groups = self.controller.list_groups(self.now)
        requests = {}
        for model, demand in self.demand.items():
            heads = [group.server for group in groups if group.model == model]
            for number, head in enumerate(heads):
                share = (demand + number) // len(heads)
                requests[head] = min(ENGINE.slots, share)
        return requests

    def make_entry(self, server: FakeServer) -> BackendServer:
        """Return the entry of a server, which may be a stale one."""
        if server.stale_entry is not None:
            return server.stale_entry
        return BackendServer(
            server=server.server,
            service=SERVICE,
            address=f"{server.server}:1",
            data_centre=self.data_centres.get(server.domain, "a"),
            domain=server.domain,
            is_leaving=server.is_leaving,
            slots=13,
            staged=server.staged,
            membership=server.membership,
            started_ms=server.started_ms,
        )

    def obey(self, name: str, order: Order) -> OrderReply:
        """Execute an order and check the guarantees."""
        server = self.servers[name]
        if server.successor:
            return OrderReply.MISDIRECTED
        if server.domain in self.data_centres:
            self.orders.append((name, order))
        match order:
            case Join():
                return self._join(server, order)
            case Open():
                return self._open(server, order)
            case Close():
                return self._close(server, order)
            case Leave():
                return self._leave(server, order)
            case Stage():
                return self._stage(server, order)

    def _join(self, server: FakeServer, order: Join) -> OrderReply:
        current = server.membership
        if order.expected not in (None, server.obeyed):
            return OrderReply.CONFLICT
        if current is not None and current.epoch == order.epoch:
            if server.members != order.members:
                return OrderReply.STALE
            is_done = current.state is not MemberState.JOINING
            return OrderReply.DONE if is_done else OrderReply.STARTED
        if order.epoch < server.highest_epoch:
            return OrderReply.STALE
        self._check_head(server, order)
        server.obeyed += 1
        server.highest_epoch = order.epoch
        server.members = order.members
        rank = order.members.index(server.server)
        server.membership = Membership(
            order.group, order.epoch, rank, MemberState.JOINING
        )
        server.ready_at = self.now + self._find_join_s(server, order.model)
        if server.last_model != order.model:
            server.staged = (order.model,)
        server.last_model = order.model
        return OrderReply.STARTED

    def _stage(self, server: FakeServer, order: Stage) -> OrderReply:
        if order.model in server.staged:
            return OrderReply.DONE
        server.obeyed += 1
        load_s = ENGINE.models[order.model].load_s
        self._schedule(
            load_s if self.has_traffic else load_s / 10,
            ("staged", server.server, order.model),
        )
        return OrderReply.STARTED

    def _find_join_s(self, server: FakeServer, model: str) -> float:
        if server.last_model == model:
            return JOIN_S
        shape = ENGINE.models[model]
        if model in server.staged:
            return shape.warm_s
        return shape.load_s if self.has_traffic else shape.load_s / 10

    def _check_head(self, server: FakeServer, order: Join) -> None:
        """Record a host that is taken from a group whose head serves."""
        current = server.membership
        if (
            current is None
            or not server.members
            or current.group == order.group
        ):
            return
        head = self.servers.get(server.members[0])
        if head is None or head.is_dead or head.membership is None:
            return
        serves = head.membership.state in (
            MemberState.OPEN,
            MemberState.CLOSING,
        )
        if head.membership.epoch == current.epoch and serves:
            self.violations.append(
                f"{server.server} joined {order.group} while the head "
                f"{head.server} of {current.group} served"
            )

    def _open(self, server: FakeServer, order: Open) -> OrderReply:
        current = server.membership
        if current is None or current.epoch != order.epoch:
            return OrderReply.CONFLICT
        if current.state is MemberState.OPEN:
            return OrderReply.DONE
        if current.state is not MemberState.READY:
            return OrderReply.CONFLICT
        ready = self.was_ready.get((current.group, current.epoch), set())
        if not ready.issuperset(server.members):
            self.violations.append(
                f"{current.group} opened without its members"
            )
        server.obeyed += 1
        server.membership = current._replace(state=MemberState.OPEN)
        self.opened.add((current.group, current.epoch))
        return OrderReply.STARTED

    def _close(self, server: FakeServer, order: Close) -> OrderReply:
        current = server.membership
        if current is None or current.epoch != order.epoch:
            return OrderReply.CONFLICT
        server.obeyed += 1
        server.membership = current._replace(state=MemberState.CLOSING)
        self._finish_closing(server)
        return OrderReply.STARTED

    def _finish_closing(self, server: FakeServer) -> None:
        current = server.membership
        is_closing = (
            current is not None and current.state is MemberState.CLOSING
        )
        if current is not None and is_closing and self.now >= server.busy_until:
            server.membership = current._replace(state=MemberState.READY)

    def _leave(self, server: FakeServer, order: Leave) -> OrderReply:
        current = server.membership
        if current is None or current.epoch != order.epoch:
            return OrderReply.DONE
        server.obeyed += 1
        server.membership = None
        return OrderReply.DONE

    def _carry_out(self, controller: Controller, effect: object) -> None:
        if isinstance(effect, Command):
            self._send_command(controller, effect)
        elif isinstance(effect, GroupChange):
            self.changes.append(effect)
        elif isinstance(effect, StatusQuery):
            name = effect.server.server
            server = self.servers[name]
            is_lost = server.is_dead or server.is_unreachable
            delay_s = 0.2 if is_lost else ANSWER_S
            self._schedule(delay_s, ("report", controller, name, is_lost))

    def _send_command(self, controller: Controller, command: Command) -> None:
        name = command.server.server
        server = self.servers[name]
        self.sent.append((name, command.order))
        draw = self.generator.random()
        if server.is_dead or server.is_unreachable:
            self._schedule(
                NO_ANSWER_S, ("reply", controller, name, command.order, None)
            )
        elif draw < self.faults.late:
            delay_s = self.generator.uniform(2.0, 12.0)
            self._schedule(delay_s, ("obey", name, command.order))
            self._schedule(
                NO_ANSWER_S, ("reply", controller, name, command.order, None)
            )
        elif draw < self.faults.late + self.faults.lost:
            self.obey(name, command.order)
            self._schedule(
                NO_ANSWER_S, ("reply", controller, name, command.order, None)
            )
        else:
            reply = self.obey(name, command.order)
            self._schedule(
                ANSWER_S, ("reply", controller, name, command.order, reply)
            )

    def _schedule(self, delay_s: float, event: Any) -> None:
        item = (self.now + delay_s, next(self._numbers), event)
        heapq.heappush(self._queue, item)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, event = heapq.heappop(self._queue)
            match event:
                case ("gone", name):
                    self.controller.record_removed(name)
                case ("obey", name, order):
                    if not self.servers[name].is_dead:
                        self.obey(name, order)
                case ("reply", controller, name, order, reply):
                    controller.record_reply(name, order, reply, self.now)
                case ("staged", name, model):
                    self.servers[name].staged = (model,)
                case ("report", controller, name, is_lost):
                    self._report(controller, name, is_lost)

    def _report(self, controller: Controller, name: str, is_lost: bool) -> None:
        # A report does not say whose it is.
        server = self.servers[self.servers[name].successor or name]
        report = None
        if not is_lost:
            membership, obeyed = server.membership, server.obeyed
            if self.report_lag_s:
                membership, obeyed = server.find_state(
                    self.now - self.report_lag_s
                )
            report = ServerReport(
                membership,
                server.staged,
                obeyed,
                0,
                0,
                server.time_factor,
                server.started_ms,
            )
        controller.record_report(name, report, self.now)

    def _finish_joins(self) -> None:
        for server in self.servers.values():
            self._finish_closing(server)
            current = server.membership
            is_joining = (
                current is not None and current.state is MemberState.JOINING
            )
            if current is None or not is_joining or server.is_dead:
                continue
            if self.now >= server.ready_at:
                server.membership = current._replace(state=MemberState.READY)
                key = (current.group, current.epoch)
                self.was_ready.setdefault(key, set()).add(server.server)

    def _send_entries(self) -> None:
        for server in self.servers.values():
            if server.has_entry and not server.is_dead:
                self.controller.record_server(self.make_entry(server), self.now)
