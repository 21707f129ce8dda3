"""Model of entry nodes that send requests to modelled engines.

Nodes run the product's own routing and admission. Each sees only its own
requests in progress. Information about engines is delayed: load reports by
0.3 to 1.5 s, cache events by 1 to 3 s with a fifth of the batches lost, the
loss of a host by 2 s. Requests to a lost group fail after 1 s.
"""

from collections.abc import Callable, Iterable
import functools
import heapq
import itertools

from bench import entry_requests, late_reports, queue_model, workload
from chervilrock.decisions.limits import admission as admissions
from chervilrock.decisions.limits import verdicts
from chervilrock.decisions.routing import base

SAME_DATA_CENTRE_LATENCY_S = 0.0002
CROSS_DATA_CENTRE_LATENCY_S = 0.001
LOSS_DETECTION_S = 2.0
RETURN_DETECTION_S = 1.0
FAILURE_DELAY_S = 1.0
TICK_S = 0.05
MAX_ATTEMPTS = 3


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
        faults: Iterable[entry_requests.Fault] = (),
    ) -> None:
        """Create idle nodes and engines.

        Args:
          policies: routing policy of each node.
          admissions_by_node: admission of each node.
          engines: number of engines.
          data_centres: number of data centres, over which nodes and engines
            are spread evenly.
          seed: seed of the lags and losses.
          faults: faults of engines to inject.
        """
        self.results: list[entry_requests.Result] = []
        self.gaps: list[tuple[float, float, int]] = []
        self.first_attempts = 0
        self.retries = 0
        self.hedges = 0
        self.policies = policies
        self.admissions = admissions_by_node
        self._data_centres = data_centres
        self.engines = [queue_model.Engine() for _ in range(engines)]
        self.endpoints = [
            entry_requests.make_endpoint(i, data_centres)
            for i in range(engines)
        ]
        self._numbers = {e.group: i for i, e in enumerate(self.endpoints)}
        self.lost: set[int] = set()
        self._visible_engines = list(range(engines))
        self._stepping: set[int] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._attempt_numbers = itertools.count(1)
        self.requests: dict[int, entry_requests.Request] = {}
        self._by_id: dict[str, entry_requests.Request] = {}
        self.now = 0.0
        self._reports = late_reports.LateReports(cluster=self, seed=seed)
        self._plan_faults(faults)

    def run(self, arrivals: Iterable[workload.Arrival], until: float) -> None:
        """Process all arrivals until every request has ended.

        Args:
          arrivals: requests, sorted by time.
          until: time in seconds at which periodic reports may stop.
        """
        names = [f"n{node}" for node in range(len(self.admissions))]
        for admission in self.admissions:
            admission.observe_members(names, 0.0)
            admission.observe_groups(self.endpoints, 0.0)
        self._run_periodically(TICK_S, until, self._tick)
        self._run_periodically(
            late_reports.REPORT_INTERVAL_S, until, self._reports.report_loads
        )
        self._run_periodically(
            late_reports.PROGRESS_INTERVAL_S,
            until,
            self._reports.report_progress,
        )
        self._run_periodically(
            late_reports.EVENT_INTERVAL_S, until, self._reports.report_caches
        )
        for arrival in arrivals:
            while self._events and self._events[0][0] <= arrival.time:
                self._run_next_event()
            self.now = arrival.time
            self._arrive(arrival)
        while self._events:
            self._run_next_event()

    def cache_share(self) -> float:
        """Return the fraction of prompt tokens found in the cache."""
        total = sum(engine.prompt_tokens for engine in self.engines)
        cached = sum(engine.cached_tokens for engine in self.engines)
        return cached / total if total else 0.0

    def reset_counts(self) -> None:
        """Reset the counters at the end of a warm-up."""
        self.first_attempts = self.retries = self.hedges = 0
        for engine in self.engines:
            engine.prompt_tokens = engine.cached_tokens = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def _run_next_event(self) -> None:
        self.now, _, action = heapq.heappop(self._events)
        action()

    def _run_periodically(
        self, interval: float, until: float, action: Callable[[], None]
    ) -> None:
        def run_and_reschedule() -> None:
            action()
            if self.now < until or self._by_id:
                self.at(self.now + interval, run_and_reschedule)

        self.at(self.now, run_and_reschedule)

    def _plan_faults(self, faults: Iterable[entry_requests.Fault]) -> None:
        for fault in faults:
            engine = fault.engine
            if fault.slowness:
                self.at(
                    fault.start, self._make_slowdown(engine, fault.slowness)
                )
                self.at(fault.end, self._make_slowdown(engine, 1.0))
                continue
            self.at(fault.start, functools.partial(self._lose_engine, engine))
            self.at(
                fault.start + LOSS_DETECTION_S,
                functools.partial(self._set_visible, engine, False),
            )
            self.at(fault.end, functools.partial(self._restore_engine, engine))
            self.at(
                fault.end + RETURN_DETECTION_S,
                functools.partial(self._set_visible, engine, True),
            )

    def _make_slowdown(
        self, engine: int, slowness: float
    ) -> Callable[[], None]:
        def change() -> None:
            self.engines[engine].slowness = slowness

        return change

    def _lose_engine(self, engine: int) -> None:
        self.lost.add(engine)
        for attempt in self.engines[engine].attempts():
            self.at(
                self.now + FAILURE_DELAY_S,
                functools.partial(self._fail, attempt, ran=True),
            )

    def _restore_engine(self, engine: int) -> None:
        self.lost.discard(engine)
        self.engines[engine] = queue_model.Engine()

    def _set_visible(self, engine: int, present: bool) -> None:
        if present:
            self._visible_engines = sorted({*self._visible_engines, engine})
        else:
            self._visible_engines.remove(engine)
        endpoints = self._get_visible_endpoints()
        for admission in self.admissions:
            admission.observe_groups(endpoints, self.now)

    def _get_visible_endpoints(self) -> list[base.Endpoint]:
        return [self.endpoints[i] for i in self._visible_engines]

    def _tick(self) -> None:
        for admission in self.admissions:
            for rejected in admission.expire(self.now):
                self._reject(rejected)
            for request_id in admission.admit(self.now):
                self._dispatch(self._by_id[request_id])

    def _arrive(self, arrival: workload.Arrival) -> None:
        view = entry_requests.make_view(arrival)
        request = entry_requests.Request(arrival, view)
        self._by_id[view.request_id] = request
        verdict = self.admissions[arrival.node].offer(view, self.now)
        if isinstance(verdict, verdicts.Rejected):
            self._reject(verdict)
            return
        self.at(view.deadline, lambda: self._handle_deadline(request))
        if isinstance(verdict, verdicts.Admitted):
            self._dispatch(request)
            return
        for rejected in verdict.displaced:
            self._reject(rejected)

    def _reject(self, rejected: verdicts.Rejected) -> None:
        request = self._by_id[rejected.request_id]
        self._end_request(request, None, rejected.code, rejected.retry_after_s)

    def _dispatch(
        self, request: entry_requests.Request, *, hedge: bool = False
    ) -> bool:
        node = request.arrival.node
        admission = self.admissions[node]
        reserved = admission.reserved_groups(request.view, self.now)
        tried = frozenset(request.tried)
        endpoint = None
        for exclude in (tried | reserved, tried):
            endpoint = self.policies[node].choose(
                request.view,
                self._get_visible_endpoints(),
                self.now,
                exclude=exclude,
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
            delay = admission.hedge_delay(request.view, self.now)
            if delay is not None:
                self.at(self.now + delay, lambda: self._hedge(request))
        request.tried.add(endpoint.group)
        request.attempts[number] = endpoint
        request.sent_at[number] = self.now
        self.requests[number] = request
        self.policies[node].on_sent(request.view, endpoint, self.now)
        delay = self._latency(node, endpoint)
        self.at(self.now + delay, lambda: self._submit(number))
        return True

    def _hedge(self, request: entry_requests.Request) -> None:
        is_waiting = request.first_s is None and not request.over
        if not is_waiting or len(request.attempts) != 1 or request.hedge:
            return
        admission = self.admissions[request.arrival.node]
        if not admission.allow_hedge(request.view, self.now):
            return
        if self._dispatch(request, hedge=True):
            self.hedges += 1
            request.hedge = max(request.attempts)

    def _submit(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None:
            return
        endpoint = request.attempts[number]
        engine = self._numbers[endpoint.group]
        if engine in self.lost:
            self.at(
                self.now + FAILURE_DELAY_S,
                lambda: self._fail(number, ran=False),
            )
            return
        arrival = request.arrival
        admission = self.admissions[arrival.node]
        self.engines[engine].submit(
            queue_model.Job(
                attempt=number,
                priority=admission.engine_priority(request.view, self.now),
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
        engine = self.engines[number]
        if number in self.lost or engine.is_idle():
            self._stepping.discard(number)
            return
        result = engine.step()
        end = self.now + result.duration
        self.gaps.append((end, result.duration, result.decoding))

        def finish() -> None:
            if self.engines[number] is engine and number not in self.lost:
                for attempt in result.first:
                    self._handle_first_token(attempt)
                for attempt in result.finished:
                    self._handle_last_token(attempt)
            self._step(number)

        self.at(end, finish)

    def _handle_first_token(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None:
            return
        node = request.arrival.node
        endpoint = request.attempts[number]
        now = self.now + self._latency(node, endpoint)
        waited_s = now - request.sent_at[number]
        self.policies[node].on_first_token(
            request.view, endpoint, now, waited_s
        )
        self.admissions[node].observe_first_token(
            request.view.request_id, endpoint.group, waited_s, now
        )
        if request.first_s is None:
            request.first_s = now - request.arrival.time
            request.winner = number
            if request.hedge:
                self.admissions[node].observe_hedge(
                    request.view.request_id, number == request.hedge, now
                )
            for attempt in [n for n in request.attempts if n != number]:
                self._cancel(request, attempt)

    def _handle_last_token(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None:
            return
        self._end_attempt(
            request, number, ok=True, tokens=request.arrival.answer_tokens
        )
        self._release(request, ok=True, code="")

    def _fail(self, number: int, *, ran: bool) -> None:
        request = self.requests.get(number)
        if request is None:
            return
        self._end_attempt(request, number, ok=False, tokens=0)
        if request.attempts:
            return
        request.hedge = 0
        request.first_s = None
        admission = self.admissions[request.arrival.node]
        may_retry = not ran or request.view.idempotent
        if (
            may_retry
            and len(request.tried) < MAX_ATTEMPTS
            and admission.allow_retry(request.view, self.now)
        ):
            self.retries += 1
            self._dispatch(request)
            return
        self._release(request, ok=False, code="failed")

    def _handle_deadline(self, request: entry_requests.Request) -> None:
        if request.over:
            return
        admission = self.admissions[request.arrival.node]
        if admission.cancel(request.view.request_id, self.now):
            self._end_request(request, None, "caller_gone", 0.0)
            return
        for number in list(request.attempts):
            self._cancel(request, number)
        self._release(request, ok=False, code="caller_gone")

    def _cancel(self, request: entry_requests.Request, number: int) -> None:
        engine = self._numbers[request.attempts[number].group]
        self.engines[engine].cancel(number)
        self._end_attempt(request, number, ok=True, tokens=0)

    def _end_attempt(
        self,
        request: entry_requests.Request,
        number: int,
        *,
        ok: bool,
        tokens: int,
    ) -> None:
        endpoint = request.attempts.pop(number)
        del self.requests[number]
        self.policies[request.arrival.node].on_done(
            request.view, endpoint, self.now, ok, tokens
        )

    def _release(
        self, request: entry_requests.Request, *, ok: bool, code: str
    ) -> None:
        done = self.now - request.arrival.time if ok else None
        self._end_request(request, done, code, 0.0)
        tokens = request.arrival.answer_tokens if ok else 0
        admission = self.admissions[request.arrival.node]
        for request_id in admission.release(
            request.view.request_id, self.now, ok, tokens=tokens
        ):
            self._dispatch(self._by_id[request_id])

    def _end_request(
        self,
        request: entry_requests.Request,
        done: float | None,
        code: str,
        retry_after: float,
    ) -> None:
        request.over = True
        del self._by_id[request.view.request_id]
        self.results.append(
            entry_requests.Result(
                request.arrival, request.first_s, done, code, retry_after
            )
        )

    def _latency(self, node: int, endpoint: base.Endpoint) -> float:
        near = endpoint.data_centre == entry_requests.data_centre_of(
            node, self._data_centres
        )
        return (
            SAME_DATA_CENTRE_LATENCY_S if near else CROSS_DATA_CENTRE_LATENCY_S
        )
