"""Requests at several times of what the open groups can bear.

The exchanges of the nodes run as they are, in virtual time; engines, callers
and the news between nodes are modelled. Engines work in passes: the requests
in a batch get an event each, new ones are read in between, the others wait by
urgency. Callers come back once after a refusal, give a stream up that makes no
event for two seconds, and some repeat at once and several times.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import random
from typing import Any, NamedTuple, TYPE_CHECKING

import pytest

from chervilrock.decisions.serving.routes import RouteTable
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
from chervilrock.decisions.serving.toldloads import ToldLoads
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServingView,
)
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import BackendRequest, TransferEnd
from chervilrock.edges.serving import exchange as exchange_module
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving import places as places_module
from chervilrock.edges.serving import receiver as receiver_module
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.exchange import Context, Exchange
from chervilrock.platform import headers as names
from chervilrock.tasks.serving import room as room_module
from chervilrock.tasks.serving.room import WaitingRoom
from chervilrock.tasks.serving.state import RepeatBounds, ServingState
from test.tasks.virtual_time import run_virtually

if TYPE_CHECKING:
    from chervilrock.edges.relay import Receiver

SERVICE = "s"
TERM = 1
HOST = "host"

LINK_S = 0.004
"""Time between a caller and a node, both ways, with the handshake."""

HOP_S = 0.002
"""Time between a node and a server, with the handshake."""

GAP_S = 2.0
"""Time without an event after which callers give a stream up."""

WARM_UP_S = 3.0
"""Time at the calm rate before the load begins."""


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
      name: its name.
      model: model that it asks for.
      per_s: requests a second on a calm day.
      prompt: tokens of its prompt, in the mean.
      events: events of its answer, in the mean.
      target_s: time to the first event that counts as on time.
      limit_s: longest time that its callers wait.
    """

    name: str
    model: str
    per_s: float
    prompt: float
    events: float
    target_s: float
    limit_s: float


class Fleet(NamedTuple):
    """Nodes that take callers, and groups.

    Attributes:
      places: data centres.
      nodes: nodes of each that callers are told of.
      groups: groups of each model.
      pause_s: time between two announcements.
      lag: answers that the leader's sums are old.
      engine: how the engines work.
      queue: requests that wait in an engine before it refuses more.
      first_s: time to a first event beside passes and prompts.
      kinds: what comes.
    """

    places: int
    nodes: int
    groups: dict[str, int]
    pause_s: float
    lag: int
    engine: EngineProfile
    queue: int
    first_s: float
    kinds: tuple[Kind, ...]


class Load(NamedTuple):
    """How the load rises.

    Attributes:
      x: factor on the rate of one kind.
      kind: name of that kind.
      for_s: how long.
      after_s: time that is played behind it.
      abuse: part of the callers who repeat at once.
      repeats: how often they do.
    """

    x: float
    kind: str
    for_s: float = 6.0
    after_s: float = 6.0
    abuse: float = 0.0
    repeats: int = 3


class Second(NamedTuple):
    """What became of the requests that callers began within a second."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class Outcome(NamedTuple):
    """What a replay came to.

    Attributes:
      seconds: what became of the requests, by the second of their first
        attempt.
      sends: sends to groups.
      unrun: those of them that came back unrun.
    """

    seconds: tuple[Second, ...]
    sends: int
    unrun: int

    def sum_up(self, begin_s: float, end_s: float) -> Second:
        """Return what became of the requests of some seconds."""
        chosen = self.seconds[int(begin_s) : int(end_s)]
        return Second(*(sum(column) for column in zip(*chosen, strict=True)))


class Engine:
    """A group: batches, passes and a queue."""

    def __init__(self, *, fleet: Fleet, shape: ModelShape) -> None:
        self._profile = fleet.engine
        self._fleet = fleet
        self._pace = shape.pace
        self._waiting: list[_Work] = []
        self._running: list[_Work] = []
        self._is_passing = False
        self.sends = 0
        self.unrun = 0

    def take(self, work: "_Work") -> None:
        """Take a request, or refuse it when the queue is full."""
        self.sends += 1
        if len(self._waiting) >= self._fleet.queue + self._free:
            self.unrun += 1
            work.refuse()
            return
        self._waiting.append(work)
        self._waiting.sort(key=lambda one: (one.urgency, one.number))
        if not self._is_passing:
            self._begin()

    @property
    def _free(self) -> int:
        return self._profile.slots - len(self._running)

    def _begin(self) -> None:
        """Begin a pass, with those that get a place now."""
        self._waiting = [one for one in self._waiting if not one.is_over]
        self._running = [one for one in self._running if not one.is_over]
        admitted = self._waiting[: self._free]
        self._waiting = self._waiting[len(admitted) :]
        self._running += admitted
        if not self._running:
            self._is_passing = False
            return
        profile = self._profile
        step_s = profile.step_s + profile.per_request_s * len(self._running)
        prompts = sum(one.prompt for one in admitted)
        pass_s = profile.steps_per_pass * step_s
        pass_s += prompts / profile.prompt_tokens_per_s
        self._is_passing = True
        loop = asyncio.get_running_loop()
        loop.call_later(self._pace * pass_s, self._end)

    def _end(self) -> None:
        for work in self._running:
            work.make_event(self._pace * self._fleet.first_s)
        self._begin()


class _Work:
    """A request at an engine."""

    def __init__(
        self,
        *,
        number: int,
        urgency: int,
        prompt: float,
        events: int,
        transfer: "FakeTransfer",
    ) -> None:
        self.number = number
        self.urgency = urgency
        self.prompt = prompt
        self.is_over = False
        self._events = events
        self._made = 0
        self._transfer = transfer

    def refuse(self) -> None:
        self.is_over = True
        self._transfer.answer_unrun()

    def make_event(self, first_s: float) -> None:
        """Make an event; only the first and the last one matter here."""
        self._made += 1
        delay_s = HOP_S / 2 + first_s
        loop = asyncio.get_running_loop()
        if self._made == 1:
            loop.call_later(delay_s, self._transfer.begin_answer)
        if self._made >= self._events:
            self.is_over = True
            loop.call_later(delay_s, self._transfer.end_answer)


class FakeTransfer:
    """Stands in for a transfer: the request goes to a modelled engine."""

    play: "Play"

    def __init__(
        self, *, request: BackendRequest, receiver: "Receiver"
    ) -> None:
        self._headers = dict(request.headers)
        self._receiver = receiver
        self._ended: asyncio.Future[TransferEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._work: _Work | None = None
        self.sent = False
        self.head: Head | None = None

    async def run(self, client: object) -> TransferEnd:
        del client
        await asyncio.sleep(HOP_S)
        if self._ended.done():
            return self._ended.result()
        self.sent = True
        prompt, _, output = self._headers["X-Token-Count"].partition(",")
        self._work = _Work(
            number=self.play.count(),
            urgency=int(self._headers.get("X-Request-Urgency", "5")),
            prompt=float(prompt),
            events=int(output),
            transfer=self,
        )
        self.play.engines[self._headers[names.EXPECTED_SERVER]].take(self._work)
        return await self._ended

    def abandon(self) -> None:
        if self._work is not None:
            self._work.is_over = True
        self._finish("abandoned")

    def answer_unrun(self) -> None:
        self._take_head(503, ("X-Not-Executed", "1"))
        self._finish("")

    def begin_answer(self) -> None:
        if self._ended.done():
            return
        self._take_head(200, ("Content-Type", "text/event-stream"))
        self._receiver.take_data(b"id: 1\ndata: x\n\n")

    def end_answer(self) -> None:
        if self._ended.done():
            return
        self._receiver.take_data(b"id: 2\ndata: x\n\n")
        self._finish("")

    def _take_head(self, status: int, pair: tuple[str, str]) -> None:
        self.head = Head(
            status=status,
            headers=(
                pair,
                ("X-Server-Stamp", "1"),
                ("X-Request-Id", self._headers["X-Request-Id"]),
            ),
        )
        self._receiver.take_head(self.head)

    def _finish(self, error: str) -> None:
        if not self._ended.done():
            self._ended.set_result(TransferEnd(self.sent, self.head, error))


class _Connection:
    """What the caller of one attempt sees."""

    def __init__(self) -> None:
        self.has_begun = False
        self.first: float | None = None
        self.refused_for_s: float | None = None
        self.is_whole = False
        self.over = asyncio.Event()

    def begin(self, status: int, headers: Any, body: bytes) -> None:
        del status, headers, body
        self.has_begun = True
        self.first = asyncio.get_running_loop().time()

    def write(self, data: bytes) -> None:
        del data

    def finish(self) -> None:
        self.is_whole = True
        self.over.set()

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        del body
        if status == 503:
            pairs = dict(headers)
            self.refused_for_s = float(pairs.get("Retry-After", "0"))
        self.over.set()

    def abort(self) -> None:
        self.over.set()

    def close(self) -> None:
        self.over.set()


class _Pool:
    @contextlib.contextmanager
    def borrow(self) -> Iterator[None]:
        yield None


class _Ignored:
    """Stands in for metrics."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class _NoSuspicion:
    def is_empty(self) -> bool:
        return True


class Play:
    """One replay."""

    def __init__(self, *, fleet: Fleet, load: Load, seed: int) -> None:
        self._fleet = fleet
        self._load = load
        self._generator = random.Random(seed)
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
            self._make_node(place, number, view, routes)
            for place in range(fleet.places)
            for number in range(fleet.nodes)
        ]
        self._told = [ToldLoads() for _ in self._nodes]
        self._sums: list[dict[str, int]] = [{}] * fleet.lag
        whole_s = WARM_UP_S + load.for_s + load.after_s
        self._seconds = [[0] * len(Second._fields) for _ in range(int(whole_s))]

    def count(self) -> int:
        self._number += 1
        return self._number

    async def run(self) -> Outcome:
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        callers: set[asyncio.Task[None]] = set()
        news = loop.create_task(self._tell())
        for kind in self._fleet.kinds:
            callers.add(loop.create_task(self._send(kind)))
        await asyncio.gather(*callers)
        news.cancel()
        return Outcome(
            tuple(Second(*one) for one in self._seconds),
            sum(one.sends for one in self.engines.values()),
            sum(one.unrun for one in self.engines.values()),
        )

    async def _send(self, kind: Kind) -> None:
        """Let callers come, and wait until all have gone."""
        loop = asyncio.get_running_loop()
        callers = []
        load = self._load
        while True:
            elapsed = loop.time() - self._began
            if elapsed >= len(self._seconds):
                break
            is_high = WARM_UP_S <= elapsed < WARM_UP_S + load.for_s
            x = load.x if is_high and kind.name == load.kind else 1.0
            callers.append(loop.create_task(self._ask(kind, int(elapsed))))
            await asyncio.sleep(self._generator.expovariate(kind.per_s * x))
        await asyncio.gather(*callers)

    async def _ask(self, kind: Kind, second: int) -> None:
        """Be one caller: ask, and ask again."""
        loop = asyncio.get_running_loop()
        generator = self._generator
        began = loop.time()
        until = began + kind.limit_s * generator.uniform(0.85, 1.0)
        is_abuser = generator.random() < self._load.abuse
        tries = 1 + (self._load.repeats if is_abuser else 1)
        prompt = kind.prompt * generator.lognormvariate(-0.3, 0.77)
        events = 1 + round(kind.events * generator.lognormvariate(-0.2, 0.65))
        facts = f"{round(prompt)},{events}"
        row = self._seconds[second]
        row[0] += 1
        connection = None
        while tries and loop.time() < until:
            tries -= 1
            connection = await self._try(kind, facts, until)
            if connection.is_whole or connection.refused_for_s is None:
                break
            left = until - loop.time()
            if not is_abuser:
                pause_s = min(connection.refused_for_s, left / 3)
                await asyncio.sleep(max(0.0, pause_s))
        assert connection is not None
        if connection.is_whole and connection.first is not None:
            first_s = connection.first + LINK_S / 2 - began
            row[1 if first_s <= kind.target_s else 2] += 1
        elif connection.refused_for_s is not None:
            row[3] += 1
        else:
            row[4] += 1

    async def _try(self, kind: Kind, facts: str, until: float) -> _Connection:
        """Send one attempt to a node and wait for its end."""
        await asyncio.sleep(LINK_S)
        loop = asyncio.get_running_loop()
        now = loop.time()
        node = self._generator.choice(self._nodes)
        left_ms = max(1, round(1000 * (until - now)))
        pairs = (
            ("X-Request-Id", f"r{self.count()}"),
            ("X-Model", kind.model),
            ("X-Token-Count", facts),
            ("X-Deadline-Ms", str(left_ms)),
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
            connection=connection,  # type: ignore[arg-type]
        )
        running = loop.create_task(exchange.run())
        patience_s = min(GAP_S, until - now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await connection.over.wait()
        if not connection.over.is_set() and connection.has_begun:
            await connection.over.wait()
        elif not connection.over.is_set():
            exchange.leave()
        await running
        await asyncio.sleep(LINK_S / 2)
        return connection

    async def _tell(self) -> None:
        """Let the leader add up, and tell all nodes."""
        lag = self._fleet.lag
        while True:
            await asyncio.sleep(self._fleet.pause_s)
            total: dict[str, int] = {}
            for context, told in zip(self._nodes, self._told, strict=True):
                state = context.state
                now = asyncio.get_running_loop().time()
                state.refill_budgets(is_in_touch=True, now=now)
                state.take_loads(
                    self._sums[0],
                    told.find_counted(TERM, lag),
                    senders=len(self._nodes),
                    now=now,
                )
                told.note(TERM, state.own_loads)
                for server, count in state.own_loads.items():
                    total[server] = total.get(server, 0) + count
            self._sums = [*self._sums[1:], total]
            for context in self._nodes:
                context.room.notify()

    def _make_node(
        self, place: int, number: int, view: ServingView, routes: RouteTable
    ) -> Context:
        name = f"n{place}-{number}"
        state = ServingState(
            own=NodeEntry(name, name, name, name, f"p{place}"),
            bounds=RepeatBounds(ratio=0.2, slack=320, window_s=10.0),
            generator=random.Random(self._generator.random()),
        )
        state.view = view
        state.view_time = asyncio.get_running_loop().time()
        state.routes = routes
        return Context(
            state=state,
            room=WaitingRoom(),
            pool=_Pool(),  # type: ignore[arg-type]
            metrics=_Ignored(),  # type: ignore[arg-type]
            suspicion=_NoSuspicion(),  # type: ignore[arg-type]
        )


def replay(
    monkeypatch: pytest.MonkeyPatch, fleet: Fleet, load: Load, *, seed: int
) -> Outcome:
    """Play a load in virtual time."""

    def read_virtual_clock() -> float:
        return asyncio.get_running_loop().time()

    for module in (
        exchange_module,
        places_module,
        receiver_module,
        room_module,
    ):
        monkeypatch.setattr(module, "read_clock", read_virtual_clock)
    monkeypatch.setattr(exchangelog, "emit", lambda *_, **__: None)
    monkeypatch.setattr(exchange_module, "Transfer", FakeTransfer)

    async def play() -> Outcome:
        one = Play(fleet=fleet, load=load, seed=seed)
        FakeTransfer.play = one
        return await one.run()

    return run_virtually(play())


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
            data_centre=f"p{number % fleet.places}",
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
            timeout_s=kind.limit_s,
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
    """Return how the engines of a replay work."""
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
    places=3,
    nodes=5,
    groups={"large": 6, "small": 12},
    pause_s=0.125,
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
    queue=48,
    first_s=0.093,
    kinds=(
        Kind("draft", "large", 14.7, 1460.0, 29.7, 0.404, 8.0),
        Kind("note", "small", 158.0, 714.0, 29.7, 0.303, 6.0),
        Kind("brief", "large", 9.15, 2000.0, 4.5, 0.405, 6.0),
    ),
)
"""Large batches that hardly slow down, and small groups of another model."""

NARROW = Fleet(
    places=3,
    nodes=2,
    groups={"large": 4, "small": 8},
    pause_s=0.125,
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
    queue=26,
    first_s=0.08,
    kinds=(
        Kind("draft", "large", 14.6, 1460.0, 27.0, 0.5, 8.0),
        Kind("note", "small", 42.5, 714.0, 27.0, 0.3, 6.0),
        Kind("brief", "large", 10.6, 2000.0, 5.0, 0.5, 6.0),
    ),
)
"""Few nodes and few groups, whose batches slow down with each request."""
