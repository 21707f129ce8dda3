"""Model of entry nodes that send requests to modelled engines.

Nodes run the product's own routing and admission. Each sees only its own
requests in progress. What it learns of engines comes late: load reports after
0.3 to 1.5 s, cache events after 1 to 3 s and with a fifth of the batches
lost, the loss of a host after 2 s. Requests to a lost group fail after 1 s.
"""

from collections.abc import Callable, Iterable
import functools
import heapq
import itertools
import random
from typing import Any, NamedTuple

from bench import queue_model, workload
from chervilrock.decisions.limits import admission as admissions
from chervilrock.decisions.limits import verdicts
from chervilrock.decisions.routing import base

MODEL = "draft"
NEAR_S = 0.0002
FAR_S = 0.001
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = (0.3, 1.5)
EVENT_INTERVAL_S = 1.0
PROGRESS_INTERVAL_S = 0.5
EVENT_LAG_S = (1.0, 3.0)
EVENT_LOSS = 0.2
LOSS_SEEN_S = 2.0
RETURN_SEEN_S = 1.0
FAILURE_S = 1.0
TICK_S = 0.05
MAX_ATTEMPTS = 3


class Fault(NamedTuple):
    """A fault of one engine.

    Attributes:
      engine: number of the engine
      start: time in seconds
      end: time in seconds
      slowness: factor on the time of each step, 0 for a lost host
    """

    engine: int
    start: float
    end: float
    slowness: float


class Result(NamedTuple):
    """What became of a request.

    Attributes:
      arrival: the request
      first_s: time from arrival to the first token, or None
      done_s: time from arrival to the last token, or None
      code: why it was rejected or failed, empty for neither
      retry_after_s: delay that a rejected caller was told
    """

    arrival: workload.Arrival
    first_s: float | None
    done_s: float | None
    code: str
    retry_after_s: float = 0.0


class _Request:
    """A request at its node."""

    def __init__(
        self, arrival: workload.Arrival, view: base.RequestView
    ) -> None:
        self.arrival = arrival
        self.view = view
        self.tried: set[str] = set()
        self.attempts: dict[int, base.Endpoint] = {}
        self.sent_at: dict[int, float] = {}
        self.hedge = 0
        self.first_s: float | None = None
        self.winner = 0
        self.over = False


class Cluster:
    """Entry nodes, engines and the events between them."""

    def __init__(
        self,
        *,
        policies: list[base.RoutingPolicy],
        admissions_by_node: list[admissions.Admission],
        engines: int,
        data_centres: int,
        seed: int,
        faults: Iterable[Fault] = (),
    ) -> None:
        """Build idle nodes and engines.

        Args:
          policies: routing policy of each node.
          admissions_by_node: admission of each node.
          engines: number of engines.
          data_centres: number of data centres, over which nodes and engines
            are spread evenly.
          seed: seed of the lags and losses.
          faults: what goes wrong.
        """
        self.results: list[Result] = []
        self.gaps: list[tuple[float, float, int]] = []
        self.first_attempts = 0
        self.retries = 0
        self.hedges = 0
        self._rng = random.Random(seed)
        self._policies = policies
        self._admissions = admissions_by_node
        self._data_centres = data_centres
        self._engines = [queue_model.Engine() for _ in range(engines)]
        self._endpoints = [
            _make_endpoint(i, data_centres) for i in range(engines)
        ]
        self._numbers = {e.group: i for i, e in enumerate(self._endpoints)}
        self._lost: set[int] = set()
        self._seen = list(range(engines))
        self._stepping: set[int] = set()
        self._sequences = [0] * engines
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._attempt_numbers = itertools.count(1)
        self._requests: dict[int, _Request] = {}
        self._by_id: dict[str, _Request] = {}
        self._now = 0.0
        self._plan_faults(faults)

    def run(self, arrivals: Iterable[workload.Arrival], until: float) -> None:
        """Run all arrivals, and go on until all have ended.

        Args:
          arrivals: requests in the order of time.
          until: time at which reports end, in seconds.
        """
        names = [f"n{node}" for node in range(len(self._admissions))]
        for admission in self._admissions:
            admission.observe_members(names, 0.0)
            admission.observe_groups(self._endpoints, 0.0)
        self._repeat(TICK_S, until, self._tick)
        self._repeat(REPORT_INTERVAL_S, until, self._report_loads)
        self._repeat(PROGRESS_INTERVAL_S, until, self._report_progress)
        self._repeat(EVENT_INTERVAL_S, until, self._report_caches)
        for arrival in arrivals:
            while self._events and self._events[0][0] <= arrival.time:
                self._next_event()
            self._now = arrival.time
            self._arrive(arrival)
        while self._events:
            self._next_event()

    def cache_share(self) -> float:
        """Return the share of the prompt tokens that were cached."""
        asked = sum(engine.prompt_tokens for engine in self._engines)
        cached = sum(engine.cached_tokens for engine in self._engines)
        return cached / asked if asked else 0.0

    def reset_counts(self) -> None:
        """Forget the counts of the time before, at the end of a warm-up."""
        self.first_attempts = self.retries = self.hedges = 0
        for engine in self._engines:
            engine.prompt_tokens = engine.cached_tokens = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def _next_event(self) -> None:
        self._now, _, action = heapq.heappop(self._events)
        action()

    def _repeat(
        self, interval: float, until: float, action: Callable[[], None]
    ) -> None:
        def again() -> None:
            action()
            if self._now < until or self._by_id:
                self.at(self._now + interval, again)

        self.at(self._now, again)

    def _plan_faults(self, faults: Iterable[Fault]) -> None:
        for fault in faults:
            engine = fault.engine
            if fault.slowness:
                self.at(fault.start, self._slower(engine, fault.slowness))
                self.at(fault.end, self._slower(engine, 1.0))
                continue
            self.at(fault.start, functools.partial(self._lose, engine))
            self.at(
                fault.start + LOSS_SEEN_S,
                functools.partial(self._see, engine, False),
            )
            self.at(fault.end, functools.partial(self._return, engine))
            self.at(
                fault.end + RETURN_SEEN_S,
                functools.partial(self._see, engine, True),
            )

    def _slower(self, engine: int, slowness: float) -> Callable[[], None]:
        def change() -> None:
            self._engines[engine].slowness = slowness

        return change

    def _lose(self, engine: int) -> None:
        self._lost.add(engine)
        for attempt in self._engines[engine].attempts():
            self.at(
                self._now + FAILURE_S,
                functools.partial(self._fail, attempt, ran=True),
            )

    def _return(self, engine: int) -> None:
        self._lost.discard(engine)
        self._engines[engine] = queue_model.Engine()

    def _see(self, engine: int, present: bool) -> None:
        if present:
            self._seen = sorted({*self._seen, engine})
        else:
            self._seen.remove(engine)
        endpoints = self._visible()
        for admission in self._admissions:
            admission.observe_groups(endpoints, self._now)

    def _visible(self) -> list[base.Endpoint]:
        return [self._endpoints[i] for i in self._seen]

    def _tick(self) -> None:
        for admission in self._admissions:
            for rejected in admission.expire(self._now):
                self._reject(rejected)
            for request_id in admission.admit(self._now):
                self._dispatch(self._by_id[request_id])

    def _report_loads(self) -> None:
        for number, engine in enumerate(self._engines):
            if number in self._lost:
                continue
            group = self._endpoints[number].group
            for node in range(len(self._policies)):
                lag = self._rng.uniform(*REPORT_LAG_S)
                load: Any = {
                    "running": engine.running,
                    "waiting": engine.waiting,
                    "cache_used": engine.cache_used,
                    "tokens_per_s": 0.0,
                    "age_ms": int(lag * 1000.0),
                }
                self.at(self._now + lag, self._hand_load(node, group, load))

    def _hand_load(
        self, node: int, group: str, load: Any
    ) -> Callable[[], None]:
        def hand() -> None:
            self._policies[node].on_load_report(group, load, self._now)
            self._admissions[node].observe_load(group, load, self._now)

        return hand

    def _report_progress(self) -> None:
        for number, engine in enumerate(self._engines):
            if number in self._lost:
                continue
            for attempt, tokens in engine.progress():
                request = self._requests.get(attempt)
                if request is not None and attempt == request.winner:
                    self._policies[request.arrival.node].on_progress(
                        request.view,
                        request.attempts[attempt],
                        self._now,
                        tokens,
                    )

    def _report_caches(self) -> None:
        for number, engine in enumerate(self._engines):
            changes = [(block, True) for block in engine.cache.stored]
            changes += [(block, False) for block in engine.cache.dropped]
            engine.cache.stored.clear()
            engine.cache.dropped.clear()
            events: list[Any] = []
            for block, stored in changes:
                self._sequences[number] += 1
                events.append(
                    {
                        "sequence": self._sequences[number],
                        "block": base.format_block(block),
                        "stored": stored,
                    }
                )
            for node in range(len(self._policies)):
                if self._rng.random() < EVENT_LOSS:
                    continue
                lag = self._rng.uniform(*EVENT_LAG_S)
                self.at(
                    self._now + lag, self._hand_events(node, number, events)
                )

    def _hand_events(
        self, node: int, number: int, events: list[Any]
    ) -> Callable[[], None]:
        def hand() -> None:
            policy = self._policies[node]
            group = self._endpoints[number].group
            for event in events:
                policy.on_cache_event(group, event, self._now)

        return hand

    def _arrive(self, arrival: workload.Arrival) -> None:
        view = _make_view(arrival)
        request = _Request(arrival, view)
        self._by_id[view.request_id] = request
        verdict = self._admissions[arrival.node].offer(view, self._now)
        if isinstance(verdict, verdicts.Rejected):
            self._reject(verdict)
            return
        self.at(view.deadline, lambda: self._give_up(request))
        if isinstance(verdict, verdicts.Admitted):
            self._dispatch(request)
            return
        for rejected in verdict.displaced:
            self._reject(rejected)

    def _reject(self, rejected: verdicts.Rejected) -> None:
        request = self._by_id[rejected.request_id]
        self._end(request, None, rejected.code, rejected.retry_after_s)

    def _dispatch(self, request: _Request, *, hedge: bool = False) -> bool:
        node = request.arrival.node
        admission = self._admissions[node]
        reserved = admission.reserved_groups(request.view, self._now)
        tried = frozenset(request.tried)
        endpoint = None
        for exclude in (tried | reserved, tried):
            endpoint = self._policies[node].choose(
                request.view, self._visible(), self._now, exclude=exclude
            )
            if endpoint is not None:
                break
        if endpoint is None:
            if not hedge:
                self._release(request, ok=False, code="no_group")
            return False
        number = next(self._attempt_numbers)
        if not request.tried:
            self.first_attempts += 1
            delay = admission.hedge_delay(request.view, self._now)
            if delay is not None:
                self.at(self._now + delay, lambda: self._hedge(request))
        request.tried.add(endpoint.group)
        request.attempts[number] = endpoint
        request.sent_at[number] = self._now
        self._requests[number] = request
        self._policies[node].on_sent(request.view, endpoint, self._now)
        delay = self._latency(node, endpoint)
        self.at(self._now + delay, lambda: self._submit(number))
        return True

    def _hedge(self, request: _Request) -> None:
        waits = request.first_s is None and not request.over
        if not waits or len(request.attempts) != 1 or request.hedge:
            return
        admission = self._admissions[request.arrival.node]
        if not admission.allow_hedge(request.view, self._now):
            return
        if self._dispatch(request, hedge=True):
            self.hedges += 1
            request.hedge = max(request.attempts)

    def _submit(self, number: int) -> None:
        request = self._requests.get(number)
        if request is None:
            return
        endpoint = request.attempts[number]
        engine = self._numbers[endpoint.group]
        if engine in self._lost:
            self.at(
                self._now + FAILURE_S, lambda: self._fail(number, ran=False)
            )
            return
        arrival = request.arrival
        admission = self._admissions[arrival.node]
        self._engines[engine].submit(
            queue_model.Job(
                attempt=number,
                priority=admission.engine_priority(request.view, self._now),
                blocks=arrival.blocks,
                prompt_tokens=arrival.prompt_tokens,
                answer_tokens=arrival.answer_tokens,
                answer_blocks=arrival.answer_blocks,
            )
        )
        if engine not in self._stepping:
            self._stepping.add(engine)
            self._step(engine)

    def _step(self, number: int) -> None:
        engine = self._engines[number]
        if number in self._lost or engine.is_idle():
            self._stepping.discard(number)
            return
        result = engine.step()
        end = self._now + result.duration
        self.gaps.append((end, result.duration, result.decoding))

        def finish() -> None:
            if self._engines[number] is engine and number not in self._lost:
                for attempt in result.first:
                    self._get_first(attempt)
                for attempt in result.finished:
                    self._get_last(attempt)
            self._step(number)

        self.at(end, finish)

    def _get_first(self, number: int) -> None:
        request = self._requests.get(number)
        if request is None:
            return
        node = request.arrival.node
        endpoint = request.attempts[number]
        now = self._now + self._latency(node, endpoint)
        waited = now - request.sent_at[number]
        self._policies[node].on_first_token(request.view, endpoint, now, waited)
        self._admissions[node].observe_first_token(
            request.view.request_id, endpoint.group, waited, now
        )
        if request.first_s is None:
            request.first_s = now - request.arrival.time
            request.winner = number
            if request.hedge:
                self._admissions[node].observe_hedge(
                    request.view.request_id, number == request.hedge, now
                )
            for other in [n for n in request.attempts if n != number]:
                self._cancel(request, other)

    def _get_last(self, number: int) -> None:
        request = self._requests.get(number)
        if request is None:
            return
        self._forget(
            request, number, ok=True, tokens=request.arrival.answer_tokens
        )
        self._release(request, ok=True, code="")

    def _fail(self, number: int, *, ran: bool) -> None:
        request = self._requests.get(number)
        if request is None:
            return
        self._forget(request, number, ok=False, tokens=0)
        if request.attempts:
            return
        request.hedge = 0
        request.first_s = None
        admission = self._admissions[request.arrival.node]
        may_repeat = not ran or request.view.idempotent
        if (
            may_repeat
            and len(request.tried) < MAX_ATTEMPTS
            and admission.allow_retry(request.view, self._now)
        ):
            self.retries += 1
            self._dispatch(request)
            return
        self._release(request, ok=False, code="failed")

    def _give_up(self, request: _Request) -> None:
        if request.over:
            return
        admission = self._admissions[request.arrival.node]
        if admission.cancel(request.view.request_id, self._now):
            self._end(request, None, "caller_gone", 0.0)
            return
        for number in list(request.attempts):
            self._cancel(request, number)
        self._release(request, ok=False, code="caller_gone")

    def _cancel(self, request: _Request, number: int) -> None:
        engine = self._numbers[request.attempts[number].group]
        self._engines[engine].cancel(number)
        self._forget(request, number, ok=True, tokens=0)

    def _forget(
        self, request: _Request, number: int, *, ok: bool, tokens: int
    ) -> None:
        endpoint = request.attempts.pop(number)
        del self._requests[number]
        self._policies[request.arrival.node].on_done(
            request.view, endpoint, self._now, ok, tokens
        )

    def _release(self, request: _Request, *, ok: bool, code: str) -> None:
        done = self._now - request.arrival.time if ok else None
        self._end(request, done, code, 0.0)
        tokens = request.arrival.answer_tokens if ok else 0
        admission = self._admissions[request.arrival.node]
        for request_id in admission.release(
            request.view.request_id, self._now, ok, tokens=tokens
        ):
            self._dispatch(self._by_id[request_id])

    def _end(
        self,
        request: _Request,
        done: float | None,
        code: str,
        retry_after: float,
    ) -> None:
        request.over = True
        del self._by_id[request.view.request_id]
        self.results.append(
            Result(request.arrival, request.first_s, done, code, retry_after)
        )

    def _latency(self, node: int, endpoint: base.Endpoint) -> float:
        near = endpoint.data_centre == data_centre_of(node, self._data_centres)
        return NEAR_S if near else FAR_S


def data_centre_of(number: int, count: int) -> str:
    """Return the data centre of a node or an engine."""
    return f"dc{number % count}"


def _make_endpoint(number: int, data_centres: int) -> base.Endpoint:
    return base.Endpoint(
        group=f"g{number}",
        fence=number + 1,
        model=MODEL,
        version="1",
        adapters=(),
        address=f"10.0.0.{number}:80",
        data_centre=data_centre_of(number, data_centres),
        size=4,
    )


def _make_view(arrival: workload.Arrival) -> base.RequestView:
    return base.RequestView(
        request_id=str(arrival.number),
        workspace=arrival.workspace,
        model=MODEL,
        adapter="",
        prefix_blocks=arrival.blocks[: workload.SEEN_BLOCKS],
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=600,
        priority=arrival.priority,
        idempotent=arrival.idempotent,
        deadline=arrival.time + workload.CALLER_WAIT_S,
    )
