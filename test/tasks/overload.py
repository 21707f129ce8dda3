"""Simulation of a load of several times the capacity of the open groups.

The exchanges of the nodes run unchanged, in virtual time; engines, callers and
the announcements between nodes are modelled. Engines work in passes: each
request in a batch gets one event per pass, prompts of new requests are read
between passes, and the other requests wait in the order of their urgency.
Callers retry once after a rejection and abandon a stream that has no event for
2 s; some callers retry immediately and several times.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import math
import random
from typing import Any, NamedTuple, TYPE_CHECKING

import pytest

from chervilrock.clients.heads import HeadState
from chervilrock.decisions.serving.admission.routes import RouteTable
from chervilrock.decisions.serving.nodes.reportedloads import ReportedLoads
from chervilrock.decisions.serving.site import (
    EngineProfile,
    Limits,
    ModelShape,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    WeightedService,
)
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServingView,
)
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import BackendRequest, TransferEnd
from chervilrock.edges.serving import detoursender as detoursender_module
from chervilrock.edges.serving import exchange as exchange_module
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving import receiver as receiver_module
from chervilrock.edges.serving import serversender as serversender_module
from chervilrock.edges.serving import slots as slots_module
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import (
    CallerMemory,
    CutCause,
    HeldBody,
)
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.exchange import Exchange
from chervilrock.platform import headers as names
from chervilrock.tasks.serving import state as state_module
from chervilrock.tasks.serving import waitqueue as waitqueue_module
from chervilrock.tasks.serving.node import TICK_S
from chervilrock.tasks.serving.state import RetryBounds, ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue
from test.tasks.virtual_time import run_virtually

if TYPE_CHECKING:
    from chervilrock.edges.relay import Receiver

SERVICE = "s"
TERM = 1
HOST = "host"

CALLER_ROUND_TRIP_S = 0.004
"""Round trip between a caller and a node, with the handshake."""

SERVER_LATENCY_S = 0.002
"""Latency between a node and a server, with the handshake."""

CALLER_STALL_TIMEOUT_S = 2.0
"""Time without an event after which callers abandon a stream."""

NODE_HEADER = "X-Node"
"""Header that tells an engine which node sent a request."""

PAUSE_S = (1.0, 3.0)
"""Range of the lengths of pauses, and of the times between them."""

PAUSE_GRACE_S = 0.5
"""Time after a rejection for sends that are on their way."""

WARM_UP_S = 3.0
"""Time at the nominal rate before the load rises."""


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
      name: name of the kind, also of its route.
      model: requested model.
      rate_per_s: requests per second at nominal load.
      prompt_tokens: mean number of tokens of the prompt.
      events: mean number of events of the answer.
      target_s: longest time to the first event of an answer in time.
      timeout_s: longest time that callers wait.
    """

    name: str
    model: str
    rate_per_s: float
    prompt_tokens: float
    events: float
    target_s: float
    timeout_s: float


class Fleet(NamedTuple):
    """Nodes, replica groups and kinds of requests of a replay.

    Attributes:
      data_centres: number of data centres.
      nodes: nodes per data centre that callers use.
      groups: number of groups by model.
      announcement_interval_s: time between two announcements.
      lag: age of the leader's load totals, in announcements.
      engine: profile of the engines.
      queue_limit: requests that wait in an engine before it rejects more.
      first_event_overhead_s: time to a first event apart from the passes and
        the reading of prompts.
      kinds: kinds of requests.
    """

    data_centres: int
    nodes: int
    groups: dict[str, int]
    announcement_interval_s: float
    lag: int
    engine: EngineProfile
    queue_limit: int
    first_event_overhead_s: float
    kinds: tuple[RequestKind, ...]


class Load(NamedTuple):
    """A rise of the load.

    Attributes:
      factor: factor on the rate of one kind of request.
      kind: name of that kind.
      duration_s: duration of the rise.
      recovery_s: simulated time after the rise.
      abuser_ratio: ratio of the callers who retry immediately.
      abuser_retries: number of their retries.
      pausing_ratio: ratio of the engines that reject all requests for a while,
        again and again, and ask for a pause until they take requests again.
    """

    factor: float
    kind: str
    duration_s: float = 6.0
    recovery_s: float = 6.0
    abuser_ratio: float = 0.0
    abuser_retries: int = 3
    pausing_ratio: float = 0.0


class RequestCounts(NamedTuple):
    """Counts of the requests that callers began within a second.

    Attributes:
      requests: all requests.
      in_time: requests with the first event within the target.
      late: requests that were served after it.
      rejected: requests whose last attempt was rejected.
      failed: requests that were abandoned or failed otherwise.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0


class Outcome(NamedTuple):
    """Result of a replay.

    Attributes:
      seconds: counts of requests by the second of their first attempt.
      sends: sends to groups.
      not_executed: sends that an engine rejected without running them.
      disobeyed: sends to an engine after it had asked their node for a pause,
        from `PAUSE_GRACE_S` later to its end.
    """

    seconds: tuple[RequestCounts, ...]
    sends: int
    not_executed: int
    disobeyed: int

    def sum_seconds(self, begin_s: float, end_s: float) -> RequestCounts:
        """Return the counts of the requests that began in an interval."""
        chosen = self.seconds[int(begin_s) : int(end_s)]
        return RequestCounts(
            *(sum(column) for column in zip(*chosen, strict=True))
        )


class Engine:
    """The engine of a replica group: batches, passes and a queue."""

    def __init__(self, *, fleet: Fleet, shape: ModelShape) -> None:
        self._profile = fleet.engine
        self._fleet = fleet
        self._time_factor = shape.time_factor
        self._waiting: list[_EngineRequest] = []
        self._running: list[_EngineRequest] = []
        self._is_in_pass = False
        self._paused_until = 0.0
        self._asked: dict[str, tuple[float, float]] = {}
        self.sends = 0
        self.not_executed = 0
        self.disobeyed = 0

    async def pause_at_intervals(self, generator: random.Random) -> None:
        """Reject all requests for one to three seconds, again and again."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(generator.uniform(*PAUSE_S))
            self._paused_until = loop.time() + generator.uniform(*PAUSE_S)
            await asyncio.sleep(self._paused_until - loop.time())

    def accept(self, request: "_EngineRequest") -> None:
        """Queue a request, or reject it if the queue is full or in a pause."""
        self.sends += 1
        now = asyncio.get_running_loop().time()
        begin, end = self._asked.get(request.node, (now, now))
        self.disobeyed += begin + PAUSE_GRACE_S < now < end
        if now < self._paused_until:
            self._asked.setdefault(request.node, (now, self._paused_until))
            if end <= now:
                self._asked[request.node] = (now, self._paused_until)
            self.not_executed += 1
            request.reject(self._paused_until - now)
            return
        if len(self._waiting) >= self._fleet.queue_limit + self._free_slots:
            self.not_executed += 1
            request.reject()
            return
        self._waiting.append(request)
        self._waiting.sort(key=lambda entry: (entry.urgency, entry.number))
        if not self._is_in_pass:
            self._begin_pass()

    @property
    def _free_slots(self) -> int:
        return self._profile.slots - len(self._running)

    def _begin_pass(self) -> None:
        """Begin a pass with the requests that get a slot now."""
        self._waiting = [
            entry for entry in self._waiting if not entry.is_finished
        ]
        self._running = [
            entry for entry in self._running if not entry.is_finished
        ]
        admitted = self._waiting[: self._free_slots]
        self._waiting = self._waiting[len(admitted) :]
        self._running += admitted
        if not self._running:
            self._is_in_pass = False
            return
        profile = self._profile
        step_s = profile.step_s + profile.per_request_s * len(self._running)
        prompt_tokens = sum(entry.prompt_tokens for entry in admitted)
        pass_s = profile.steps_per_pass * step_s
        pass_s += prompt_tokens / profile.prompt_tokens_per_s
        self._is_in_pass = True
        loop = asyncio.get_running_loop()
        loop.call_later(self._time_factor * pass_s, self._end_pass)

    def _end_pass(self) -> None:
        for request in self._running:
            request.produce_event(
                self._time_factor * self._fleet.first_event_overhead_s
            )
        self._begin_pass()


class _EngineRequest:
    """A request in an engine."""

    def __init__(
        self,
        *,
        number: int,
        urgency: int,
        prompt_tokens: float,
        events: int,
        transfer: "SimulatedTransfer",
    ) -> None:
        self.node = transfer.node
        self.number = number
        self.urgency = urgency
        self.prompt_tokens = prompt_tokens
        self.is_finished = False
        self._events = events
        self._produced = 0
        self._transfer = transfer

    def reject(self, pause_s: float = 0.0) -> None:
        self.is_finished = True
        self._transfer.answer_not_executed(pause_s)

    def produce_event(self, overhead_s: float) -> None:
        """Produce an event; only the first and the last one are delivered."""
        self._produced += 1
        delay_s = SERVER_LATENCY_S / 2 + overhead_s
        loop = asyncio.get_running_loop()
        if self._produced == 1:
            loop.call_later(delay_s, self._transfer.begin_answer)
        if self._produced >= self._events:
            self.is_finished = True
            loop.call_later(delay_s, self._transfer.end_answer)


class SimulatedTransfer:
    """Stands in for a transfer; passes the request to a modelled engine."""

    replay: "Replay"

    def __init__(
        self,
        *,
        request: BackendRequest,
        receiver: "Receiver",
        may_send: Callable[[], bool],
    ) -> None:
        self._headers = dict(request.headers)
        self._receiver = receiver
        self._may_send = may_send
        self.node = self._headers[NODE_HEADER]
        self._end: asyncio.Future[TransferEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._engine_request: _EngineRequest | None = None
        self.sent = False
        self.was_paused = False
        self.head: Head | None = None

    @property
    def head_state(self) -> HeadState:
        return HeadState.NONE if self.head is None else HeadState.WHOLE

    async def run(self, client: object) -> TransferEnd:
        del client
        await asyncio.sleep(SERVER_LATENCY_S)
        if self._end.done():
            return self._end.result()
        if not self._may_send():
            return TransferEnd(False, None, "held", is_held=True)
        self.sent = True
        prompt_tokens, _, output = self._headers["X-Token-Count"].partition(",")
        self._engine_request = _EngineRequest(
            number=self.replay.next_number(),
            urgency=int(self._headers.get("X-Request-Urgency", "5")),
            prompt_tokens=float(prompt_tokens),
            events=int(output),
            transfer=self,
        )
        self.replay.engines[self._headers[names.EXPECTED_SERVER]].accept(
            self._engine_request
        )
        return await self._end

    def abandon(self) -> None:
        if self._engine_request is not None:
            self._engine_request.is_finished = True
        self._complete("abandoned")

    def answer_not_executed(self, pause_s: float) -> None:
        pairs = [("X-Not-Executed", "1")]
        if pause_s:
            pairs.append(("Retry-After", f"{pause_s:.3f}"))
        self._receive_head(503, *pairs)
        self._complete("")

    def begin_answer(self) -> None:
        if self._end.done():
            return
        self._receive_head(200, ("Content-Type", "text/event-stream"))
        self._receiver.handle_data(b"id: 1\ndata: x\n\n")

    def end_answer(self) -> None:
        if self._end.done():
            return
        self._receiver.handle_data(b"id: 2\ndata: x\n\n")
        self._complete("")

    def _receive_head(self, status: int, *pairs: tuple[str, str]) -> None:
        self.head = Head(
            status=status,
            headers=(
                *pairs,
                ("X-Server-Stamp", "1"),
                ("X-Request-Id", self._headers["X-Request-Id"]),
            ),
        )
        self._receiver.inspect_head(self.head)
        self._receiver.handle_head(self.head)

    def _complete(self, error: str) -> None:
        if not self._end.done():
            self._end.set_result(TransferEnd(self.sent, self.head, error))


class _Connection:
    """The connection of one attempt, as its caller sees it.

    Its caller reads at once, so that it is never paused or ended.
    """

    was_ended = False

    def __init__(self) -> None:
        self.has_begun = False
        self.first_event_at: float | None = None
        self.retry_after_s: float | None = None
        self.is_complete = False
        self.cut = CutCause.NONE
        self.closed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        return self.closed.is_set()

    def begin(self, status: int, headers: Any, body: bytes) -> None:
        del status, headers, body
        self.has_begun = True
        self.first_event_at = asyncio.get_running_loop().time()

    def write(self, data: bytes) -> None:
        del data

    def finish(self) -> None:
        self.is_complete = True
        self.closed.set()

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        del body
        if status == 503:
            pairs = dict(headers)
            self.retry_after_s = float(pairs.get("Retry-After", "0"))
        self.closed.set()

    def abort(self, cause: CutCause) -> None:
        self.cut = cause
        self.closed.set()

    def close(self) -> None:
        self.closed.set()

    def record_collected(self, size: int) -> None:
        del size

    def has_room(self, size: int) -> bool:
        del size
        return True

    async def wait_until_flowing(self, timeout_s: float) -> None:
        del timeout_s


class _Pool:
    @contextlib.contextmanager
    def borrow(self) -> Iterator[None]:
        yield None


class _NoMetrics:
    """Stands in for metrics and ignores all values."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class _NoSuspects:
    def is_empty(self) -> bool:
        return True

    def record_pass(self, *_features: object, **_times: float) -> None:
        """Ignore a request that ran normally."""


class Replay:
    """A replay of a load on a fleet."""

    def __init__(self, *, fleet: Fleet, load: Load, seed: int) -> None:
        self._fleet = fleet
        self._load = load
        self._generator = random.Random(seed)
        self._seed = seed
        self._number = 0
        models = fleet.engine.models
        groups = _make_groups(fleet)
        self.engines = {
            one.server: Engine(fleet=fleet, shape=models[one.model])
            for one in groups
        }
        view = ServingView(TERM, 1, groups, ())
        routes = _make_routes(fleet)
        self._nodes = [
            self._make_node(data_centre, number, view, routes)
            for data_centre in range(fleet.data_centres)
            for number in range(fleet.nodes)
        ]
        self._exchanges: dict[Exchange, None] = {}
        self._memory = CallerMemory(
            budget=math.inf,
            metrics=_NoMetrics(),  # type: ignore[arg-type]
        )
        self._reported_loads = [ReportedLoads() for _ in self._nodes]
        self._load_totals: list[dict[str, int]] = [{}] * fleet.lag
        total_s = WARM_UP_S + load.duration_s + load.recovery_s
        self._seconds = [
            [0] * len(RequestCounts._fields) for _ in range(int(total_s))
        ]

    def next_number(self) -> int:
        self._number += 1
        return self._number

    async def run(self) -> Outcome:
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        callers: set[asyncio.Task[None]] = set()
        background = [
            loop.create_task(self._announce_loads()),
            loop.create_task(self._wake_waiting()),
        ]
        background += [
            loop.create_task(engine.pause_at_intervals(generator))
            for engine, generator in self._choose_pausing()
        ]
        for kind in self._fleet.kinds:
            callers.add(loop.create_task(self._start_callers(kind)))
        await asyncio.gather(*callers)
        for task in background:
            task.cancel()
        return Outcome(
            tuple(RequestCounts(*one) for one in self._seconds),
            sum(engine.sends for engine in self.engines.values()),
            sum(engine.not_executed for engine in self.engines.values()),
            sum(engine.disobeyed for engine in self.engines.values()),
        )

    def _choose_pausing(self) -> Iterator[tuple[Engine, random.Random]]:
        """Yield the engines that pause, with a generator for their pauses."""
        engines = list(self.engines.values())
        count = round(self._load.pausing_ratio * len(engines))
        if not count:
            return
        for number, engine in enumerate(engines[:: len(engines) // count]):
            yield engine, random.Random(f"pauses {self._seed} {number}")

    async def _start_callers(self, kind: RequestKind) -> None:
        """Start callers at the rate of a kind, and wait for all of them."""
        loop = asyncio.get_running_loop()
        callers = []
        load = self._load
        while True:
            elapsed = loop.time() - self._started_at
            if elapsed >= len(self._seconds):
                break
            is_raised = WARM_UP_S <= elapsed < WARM_UP_S + load.duration_s
            factor = (
                load.factor if is_raised and kind.name == load.kind else 1.0
            )
            callers.append(
                loop.create_task(self._run_caller(kind, int(elapsed)))
            )
            await asyncio.sleep(
                self._generator.expovariate(kind.rate_per_s * factor)
            )
        await asyncio.gather(*callers)

    async def _run_caller(self, kind: RequestKind, second: int) -> None:
        """Run one caller: a request and its retries."""
        loop = asyncio.get_running_loop()
        generator = self._generator
        started_at = loop.time()
        until = started_at + kind.timeout_s * generator.uniform(0.85, 1.0)
        is_abuser = generator.random() < self._load.abuser_ratio
        attempts = 1 + (self._load.abuser_retries if is_abuser else 1)
        prompt_tokens = kind.prompt_tokens * generator.lognormvariate(
            -0.3, 0.77
        )
        events = 1 + round(kind.events * generator.lognormvariate(-0.2, 0.65))
        token_counts = f"{round(prompt_tokens)},{events}"
        counts = self._seconds[second]
        counts[0] += 1
        connection = None
        while attempts and loop.time() < until:
            attempts -= 1
            connection = await self._attempt(kind, token_counts, until)
            if connection.is_complete or connection.retry_after_s is None:
                break
            remaining_s = until - loop.time()
            if not is_abuser:
                pause_s = min(connection.retry_after_s, remaining_s / 3)
                await asyncio.sleep(max(0.0, pause_s))
        assert connection is not None
        if connection.is_complete and connection.first_event_at is not None:
            first_s = (
                connection.first_event_at + CALLER_ROUND_TRIP_S / 2 - started_at
            )
            counts[1 if first_s <= kind.target_s else 2] += 1
        elif connection.retry_after_s is not None:
            counts[3] += 1
        else:
            counts[4] += 1

    async def _attempt(
        self, kind: RequestKind, token_counts: str, until: float
    ) -> _Connection:
        """Send one attempt to a node and wait for its outcome."""
        await asyncio.sleep(CALLER_ROUND_TRIP_S)
        loop = asyncio.get_running_loop()
        now = loop.time()
        node = self._choose_node()
        name = node.state.own.node
        deadline_ms = max(1, round(1000 * (until - now)))
        pairs = (
            ("X-Request-Id", f"r{self.next_number()}"),
            ("X-Model", kind.model),
            ("X-Token-Count", token_counts),
            ("X-Deadline-Ms", str(deadline_ms)),
            (NODE_HEADER, name),
        )
        connection = _Connection()
        exchange = Exchange(
            context=node,
            request=CallerRequest(
                method="POST",
                target=f"/{kind.name}/",
                host=HOST,
                headers=pairs,
                body=b"",
                facts=names.read_request(pairs),
                arrived=now,
            ),
            body=HeldBody(size=0, memory=self._memory),
            connection=connection,  # type: ignore[arg-type]
        )
        self._exchanges[exchange] = None
        running = loop.create_task(exchange.run())
        timeout_s = min(CALLER_STALL_TIMEOUT_S, until - now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await connection.closed.wait()
        if not connection.closed.is_set() and connection.has_begun:
            await connection.closed.wait()
        elif not connection.closed.is_set():
            exchange.cancel()
        await running
        del self._exchanges[exchange]
        await asyncio.sleep(CALLER_ROUND_TRIP_S / 2)
        return connection

    def _choose_node(self) -> Context:
        """Return the node that gets an attempt."""
        return self._generator.choice(self._nodes)

    def _find_interval(self) -> float:
        """Return the seconds until the next announcement."""
        return self._fleet.announcement_interval_s

    def _count_senders(self) -> int:
        """Return how many nodes the leader announces as having requests."""
        return len(self._nodes)

    async def _wake_waiting(self) -> None:
        """Wake waiting requests as the main task of a node does."""
        while True:
            await asyncio.sleep(TICK_S)
            for context in self._nodes:
                if context.state.statements:
                    context.waitqueue.notify()

    async def _announce_loads(self) -> None:
        """Total the loads of all nodes and announce the totals to them."""
        lag = self._fleet.lag
        while True:
            await asyncio.sleep(self._find_interval())
            senders = self._count_senders()
            total: dict[str, int] = {}
            for context, reported in zip(
                self._nodes, self._reported_loads, strict=True
            ):
                state = context.state
                now = asyncio.get_running_loop().time()
                state.refill_budgets(is_in_touch=True, now=now)
                state.apply_loads(
                    self._load_totals[0],
                    reported.find_included(TERM, lag),
                    senders=senders,
                    now=now,
                )
                reported.record(TERM, state.own_loads)
                for server, count in state.own_loads.items():
                    total[server] = total.get(server, 0) + count
            self._load_totals = [*self._load_totals[1:], total]
            for context in self._nodes:
                context.waitqueue.notify()

    def _make_node(
        self,
        data_centre: int,
        number: int,
        view: ServingView,
        routes: RouteTable,
    ) -> Context:
        name = f"n{data_centre}-{number}"
        state = ServingState(
            own=NodeEntry(name, name, name, name, f"p{data_centre}"),
            bounds=RetryBounds(ratio=0.2, slack=320, window_s=10.0),
            generator=random.Random(self._generator.random()),
        )
        state.view = view
        state.view_time = asyncio.get_running_loop().time()
        state.routes = routes
        return Context(
            state=state,
            waitqueue=WaitQueue(),
            pool=_Pool(),  # type: ignore[arg-type]
            metrics=_NoMetrics(),  # type: ignore[arg-type]
            poisondetector=_NoSuspects(),  # type: ignore[arg-type]
        )


def replay(
    monkeypatch: pytest.MonkeyPatch, fleet: Fleet, load: Load, *, seed: int
) -> Outcome:
    """Replay a load in virtual time.

    Args:
      monkeypatch: replaces the clock, the transfers and the event log.
      fleet: nodes, groups and kinds of requests.
      load: rise of the load.
      seed: seed of the random numbers.
    """

    def read_virtual_clock() -> float:
        return asyncio.get_running_loop().time()

    senders = (serversender_module, detoursender_module)
    for module in (
        *senders,
        exchange_module,
        slots_module,
        receiver_module,
        waitqueue_module,
    ):
        monkeypatch.setattr(module, "read_clock", read_virtual_clock)
    for module in (exchangelog, state_module):
        monkeypatch.setattr(module, "emit", lambda *_, **__: None)
    for module in senders:
        monkeypatch.setattr(module, "Transfer", SimulatedTransfer)

    async def run() -> Outcome:
        running = Replay(fleet=fleet, load=load, seed=seed)
        SimulatedTransfer.replay = running
        return await running.run()

    return run_virtually(run())


def _make_groups(fleet: Fleet) -> tuple[GroupEndpoint, ...]:
    numbers = [
        (model, number)
        for model, count in fleet.groups.items()
        for number in range(count)
    ]
    return tuple(
        GroupEndpoint(
            group=f"g{model}{number}",
            epoch=number,
            model=model,
            service=SERVICE,
            server=f"s{model}{number}",
            address=f"10.9.0.{number}:1",
            data_centre=f"p{number % fleet.data_centres}",
        )
        for model, number in numbers
    )


def _make_routes(fleet: Fleet) -> RouteTable:
    routes = tuple(
        Route(
            name=kind.name,
            host=HOST,
            prefix=f"/{kind.name}/",
            kind=RouteKind.STREAM,
            services=(WeightedService(SERVICE, 1.0),),
            timeout_s=kind.timeout_s,
            target_s=kind.target_s,
            longest_pause_s=0.2,
            priority=1,
            max_attempts=2,
            is_public=True,
            is_resumable=True,
        )
        for kind in fleet.kinds
    )
    return RouteTable(
        configuration=SiteConfiguration(
            revision=1,
            routes=routes,
            services={SERVICE: Service(SERVICE, fleet.engine)},
            keys=None,
            limits=Limits(idle_s=15.0),
        )
    )


def make_engine(
    *,
    slots: int,
    step_s: float,
    per_request_s: float,
    prompt_tokens_per_s: float,
    models: tuple[ModelShape, ...],
) -> EngineProfile:
    """Return the profile of the engines of a replay."""
    return EngineProfile(
        slots=slots,
        step_s=step_s,
        per_request_s=per_request_s,
        steps_per_pass=5,
        prompt_tokens_per_s=prompt_tokens_per_s,
        prompt_chunk=2048,
        usual_prompt_tokens=700.0,
        form_s=0.3,
        loads_per_s=14.0,
        loads_at_once=20,
        staged_models=1,
        models={one.name: one for one in models},
    )


WIDE = Fleet(
    data_centres=3,
    nodes=5,
    groups={"large": 6, "small": 12},
    announcement_interval_s=0.125,
    lag=2,
    engine=make_engine(
        slots=24,
        step_s=0.00645,
        per_request_s=0.0001,
        prompt_tokens_per_s=56_100.0,
        models=(
            ModelShape("large", 12, 1.0, 0.5, 16.0, 1.6),
            ModelShape("small", 6, 0.6, 0.5, 12.0, 1.1),
        ),
    ),
    queue_limit=48,
    first_event_overhead_s=0.093,
    kinds=(
        RequestKind("draft", "large", 14.7, 1460.0, 29.7, 0.404, 8.0),
        RequestKind("note", "small", 158.0, 714.0, 29.7, 0.303, 6.0),
        RequestKind("brief", "large", 9.15, 2000.0, 4.5, 0.405, 6.0),
    ),
)
"""Large batches with little slowdown, and small groups of another model."""

NARROW = Fleet(
    data_centres=3,
    nodes=2,
    groups={"large": 4, "small": 8},
    announcement_interval_s=0.125,
    lag=1,
    engine=make_engine(
        slots=13,
        step_s=0.00607,
        per_request_s=0.00024,
        prompt_tokens_per_s=46_000.0,
        models=(
            ModelShape("large", 4, 1.0, 0.5, 16.0, 1.6),
            ModelShape("small", 2, 0.6, 0.5, 12.0, 1.1),
        ),
    ),
    queue_limit=26,
    first_event_overhead_s=0.08,
    kinds=(
        RequestKind("draft", "large", 14.6, 1460.0, 27.0, 0.5, 8.0),
        RequestKind("note", "small", 42.5, 714.0, 27.0, 0.3, 6.0),
        RequestKind("brief", "large", 10.6, 2000.0, 5.0, 0.5, 6.0),
    ),
)
"""Few nodes and few groups, whose passes take longer with each request."""
