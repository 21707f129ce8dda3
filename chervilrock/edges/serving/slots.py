"""Finds a slot for a request at a group or server."""

import math
from typing import NamedTuple

from chervilrock.decisions.serving.admission.durations import (
    compute_full_load_duration,
    RequestKind,
)
from chervilrock.decisions.serving.admission.lateness import (
    judge_timeliness,
    Timeliness,
)
from chervilrock.decisions.serving.admission.placement import (
    Bound,
    Choice,
    find_group_bound,
    GROUP_BOUND,
)
from chervilrock.decisions.serving.admission.priorityadmission import Candidate
from chervilrock.decisions.serving.admission.routes import Admission
from chervilrock.decisions.serving.admission.waiting import (
    Availability,
    decide_wait,
    DELIVERY_MARGIN_S,
    find_give_up,
    find_pause_retry_after,
    WaitingRequest,
)
from chervilrock.decisions.serving.messages import AnswerFacts
from chervilrock.decisions.serving.servers.serverlimits import SendPermit
from chervilrock.decisions.serving.site import RouteKind
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint
from chervilrock.edges.serving.exchangestate import ExchangeState
from chervilrock.edges.serving.suspectcheck import SuspectCheck
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import CountedAs, WaitQueue

STOPPING_REASON = "the node is stopping"

BEGUN_RECHECK_S = 0.1
"""Interval at which an interrupted stream looks for a slot. Nothing announces
the end of the time for which this node avoids a server."""

Endpoint = GroupEndpoint | ServerEndpoint
SlotChoice = Choice[GroupEndpoint] | Choice[ServerEndpoint]


class Rejection(NamedTuple):
    """Why a request gets no slot.

    Attributes:
      reason: sentence for the log and the caller.
      retry_after_s: seconds after which the caller may retry.
      is_early: whether it is rejected at once for its priority.
      is_stopping: whether it is rejected because the node is stopping.
    """

    reason: str
    retry_after_s: float
    is_early: bool = False
    is_stopping: bool = False


class SlotSearch:
    """Finds slots for one request, one after the other.

    Attributes:
      slot: slot of the request at an endpoint, None without one.
      waited_s: total time that the request has waited for slots, in seconds.
      is_cancelled: whether the caller has disconnected, so that the request
        acquires no slot.
    """

    def __init__(
        self,
        *,
        state: ServingState,
        waitqueue: WaitQueue,
        exchange: ExchangeState,
        check: SuspectCheck,
    ) -> None:
        """Create a search without a slot.

        Args:
          state: state of the node.
          waitqueue: queue of the requests of the node that wait for a slot.
          exchange: state of the request.
          check: check whether the request is withheld.
        """
        self._state = state
        self._waitqueue = waitqueue
        self._exchange = exchange
        self._request = request = exchange.request
        self._connection = exchange.connection
        self._check = check
        self._admission: Admission | None = None
        self._service = ""
        self._top_priority: int | None = None
        self._acquired_at = request.arrived
        self._expires = request.arrived
        self._waited_before_s = 0.0
        self._late_model: str | None = None
        self._is_waiting = False
        self._wait_until = request.arrived
        self._avoided: set[str] = set()
        self._paused: set[str] = set()
        self._permit: SendPermit | None = None
        self._is_held = False
        self._load_period = 0
        self.slot: SlotChoice | None = None
        self.waited_s = 0.0
        self.is_cancelled = False

    def admit(self, admission: Admission, service: str, expires: float) -> None:
        """Record the admission of the request before the first search.

        Args:
          admission: route and workspace of the request.
          service: service that the request is sent to.
          expires: latest time at which the caller gets an answer.
        """
        self._admission = admission
        self._service = service
        self._top_priority = self._state.find_top_priority(service)
        if self._top_priority is not None:
            self._state.admission.record_arrival(self._pool, admission.priority)
        self._expires = expires
        self._waited_before_s = self._estimate_wait(admission)

    def judge_timeliness(self, now: float) -> Timeliness:
        """Return the timeliness of the request."""
        if self._admission is None:
            return Timeliness.ON_TIME
        return judge_timeliness(
            has_begun=self._connection.has_begun,
            waited_s=self._waited_before_s + now - self._request.arrived,
            target_s=self._admission.route.target_s,
            first_event_s=self._estimate_first_event(self._admission),
        )

    async def find(self, admission: Admission) -> Rejection | None:
        """Acquire a slot, or wait for one.

        Returns:
          Why there is no slot; None if a slot was acquired, if the request is
          withheld, or if the caller has disconnected.
        """
        while not self._try_acquire():
            now = read_clock()
            latest_send = self.find_latest_send(now)
            if now > latest_send:
                return Rejection(
                    STOPPING_REASON,
                    self.find_stop_retry_after(now),
                    is_stopping=True,
                )
            timeliness = self.judge_timeliness(now)
            if not self._may_send(now):
                retry_after_s = self._state.startup.reject()
                return Rejection("late after a start", retry_after_s)
            availability = self._find_availability(now)
            candidate = self._find_competitor(now)
            if candidate is not None:
                hopeless_s = self._state.admission.find_hopeless_s(
                    candidate, self._waitqueue.count(candidate.pool), now
                )
                availability = availability._replace(hopeless_s=hopeless_s)
                if hopeless_s and candidate.priority == candidate.top:
                    # Late requests must not get the slots that it leaves.
                    self._state.shortages.record_missed(
                        self._request.facts.model, now
                    )
            decision = decide_wait(
                self._describe_wait(admission, timeliness, now),
                availability,
                self._state.generator.random(),
            )
            rejection = Rejection(
                _describe_lack(availability),
                decision.retry_after_s,
                is_early=not decision.wait_s and bool(availability.hopeless_s),
            )
            if decision.wait_s <= 0:
                return rejection
            until = min(now + decision.wait_s, latest_send)
            has_begun = timeliness is Timeliness.BEGUN
            if has_begun:
                until = min(until, now + BEGUN_RECHECK_S)
            await self._wait(admission, timeliness, until)
            if (
                self.is_cancelled
                or self.slot is not None
                or self._try_acquire()
            ):
                return None
            is_early = has_begun and read_clock() < self._expires
            if is_early or self._is_wait_useless():
                continue
            if timeliness is not Timeliness.ON_TIME:
                return rejection
            # A less urgent request that gets no slot shows no shortage for the
            # more urgent ones, for which the slots were kept.
            is_outranked = (
                candidate is not None and candidate.priority > candidate.top
            )
            if not availability.pause_wait_s and not is_outranked:
                self._state.shortages.record_missed(
                    self._request.facts.model, read_clock()
                )
        return None

    def find_latest_send(self, now: float) -> float:
        """Return until when the request may be sent, inf without a bound.

        A stopping node must be able to complete the answer before it exits. A
        caller may repeat an idempotent request that is not answered in time,
        so such a request is accepted when most of its kind would be.
        """
        shutdown = self._state.shutdown
        admission = self._admission
        if not shutdown.is_begun or admission is None:
            return math.inf
        if self._connection.has_begun:
            return shutdown.serves_until
        # Only a stream is forwarded before it is complete, and can be cut.
        is_whole = admission.route.kind is not RouteKind.STREAM
        was_accepted = (
            self._exchange.progress.may_have_run
            and self._request.arrived <= shutdown.accepts_until
        )
        trusts_estimate = was_accepted or (
            is_whole and not self._state.has_other_nodes()
        )
        return shutdown.find_latest_send(
            self.estimate_duration(admission, now),
            self._expires,
            trusts_estimate=trusts_estimate,
        )

    def estimate_duration(self, admission: Admission, now: float) -> float:
        """Return the seconds that an answer takes, at most to the time limit.

        Args:
          admission: route and workspace of the request.
          now: current time.
        """
        kind = self.describe_kind(admission)
        default_s = self._compute_duration(admission)
        durations = self._state.durations
        if admission.route.kind is RouteKind.IDEMPOTENT:
            expected_s = durations.estimate_usual(kind, default_s)
        else:
            expected_s = durations.estimate_longest(kind, default_s, now)
        return min(expected_s, max(0.0, self._expires - now))

    def _compute_duration(self, admission: Admission) -> float:
        """Return the duration at a busy group, inf for a plain service."""
        engine = self._state.find_engine(self._service)
        if engine is None:
            return math.inf
        model = engine.models.get(self._request.facts.model)
        return compute_full_load_duration(
            engine,
            time_factor=1.0 if model is None else model.time_factor,
            output_tokens=self._request.facts.output_tokens,
            target_s=admission.route.target_s,
        )

    def describe_kind(self, admission: Admission) -> RequestKind:
        """Return what the request has in common with others as long."""
        tokens = self._request.facts.output_tokens
        return RequestKind(admission.route.name, self._pool, tokens)

    def find_stop_retry_after(self, now: float) -> float:
        """Return when a caller retries that a stopping node rejects."""
        return self._state.shutdown.find_retry_after(
            now,
            self._state.generator.random(),
            has_other_nodes=self._state.has_other_nodes(),
        )

    def begin_send(self) -> bool:
        """Return whether the server of the slot wants the request now.

        Called right before the first byte is sent.
        """
        if self.slot is None:
            return False
        may_send = self._state.statements.begin_send(
            self.slot.endpoint.server, self._permit, read_clock()
        )
        self._is_held = not may_send
        return may_send

    def record_first_event(self, sent: float, now: float) -> None:
        """Record when the caller got the first event.

        Args:
          sent: time at which the request was sent.
          now: current time.
        """
        admission = self._admission
        if self._top_priority is None or admission is None:
            return
        begin = self._request.arrived - self._waited_before_s
        target_s = admission.route.target_s
        first_s = self._estimate_first_event(admission)
        if sent - begin + first_s < target_s:
            self._state.admission.record_first_event(
                self._pool,
                admission.priority,
                is_late=now - begin > target_s,
            )

    def record_end(self, facts: AnswerFacts | None, *, is_sent: bool) -> None:
        """Exclude the server of the present slot from further searches.

        A server that asked for a pause is only less preferred, and one that
        the request was not sent to because it pauses or warms up is neither.

        Args:
          facts: what the head of its answer states, None without one.
          is_sent: whether a byte of the request may have been sent.
        """
        if self.slot is None:
            return
        server = self.slot.endpoint.server
        if facts is not None and facts.statement.pause.seconds:
            self._paused.add(server)
        elif is_sent or not (
            self._is_held
            or self._state.statements.refuses(server, read_clock())
        ):
            self._avoided.add(server)

    def find_retry_after(self) -> float:
        """Return after how many seconds a caller that no server took retries.

        Without a server that pauses, another one may take it soon.
        """
        return find_pause_retry_after(
            self._find_availability(read_clock()),
            self._state.generator.random(),
        )

    def release(self) -> None:
        """Release the slot and wake the requests that wait for one."""
        if self._permit is not None:
            self._permit.release()
            self._permit = None
        if self._late_model is not None:
            self._state.startup.record_ended(self._late_model)
            self._late_model = None
        if self.slot is not None:
            self._state.record_ended(
                self.slot.endpoint.server, self._load_period
            )
            if self._top_priority is not None:
                self._state.admission.record_held(
                    self._pool, read_clock() - self._acquired_at
                )
            self.slot = None
            self._waitqueue.notify()

    def has_alternative(self, now: float) -> bool:
        """Return whether another group has a free slot for the request."""
        if self.slot is None:
            return False
        choice = self._state.choose_group(
            self._service,
            self._request.facts.model,
            frozenset(
                self._avoided | self._paused | {self.slot.endpoint.server}
            ),
            GROUP_BOUND,
            now,
        )
        return choice is not None and not choice.load.is_deprioritized

    def _estimate_wait(self, admission: Admission) -> float:
        """Estimate the seconds that the caller waited in earlier attempts."""
        limit_s = self._request.facts.deadline_s
        if limit_s is None:
            return 0.0
        route = admission.route
        usual = self._state.usual_limits
        waited_s = usual.estimate_wait(
            route.name,
            limit_s,
            route.timeout_s,
            is_starting=self._state.startup.is_starting(self._request.arrived),
        )
        usual.record(route.name, limit_s)
        return waited_s

    def _estimate_first_event(self, admission: Admission) -> float:
        """Return the expected seconds from a send to the first event."""
        return self._state.first_events.estimate(
            self._request.facts.model, admission.route.target_s
        )

    def _try_acquire(self) -> bool:
        """Acquire a slot if one is free and the caller is still connected.

        Returns:
          Whether the wait for a slot is over: a slot was acquired, the request
          is withheld, or this node reaches no server.
        """
        if self.is_cancelled or self.slot is not None:
            return False
        if self._check.find_withheld() is not None:
            return True
        if self._state.reachability.is_cut_off:
            return True
        now = read_clock()
        if now > self.find_latest_send(now):
            return False
        self.slot = self._choose(now)
        if self.slot is None:
            return False
        server = self.slot.endpoint.server
        self._acquired_at = now
        self._load_period = self._state.record_sent(server)
        self._permit = self._state.statements.consume(server, now)
        self._is_held = False
        if self.judge_timeliness(now) is Timeliness.LATE:
            self._late_model = self._request.facts.model
            self._state.startup.record_sent(self._late_model)
        return True

    def _try_end_wait(self) -> bool:
        """Return whether the wait for a slot is over, with or without one."""
        return self._try_acquire() or self._is_wait_useless()

    def _is_wait_useless(self) -> bool:
        """Return whether no slot is to be expected before the end of the wait.

        All servers pause for longer, the last ones were evacuated, the request
        became late after a start, or the node is stopping.
        """
        now = read_clock()
        if not self._may_send(now) or now > self.find_latest_send(now):
            return True
        state = self._state
        if not (state.statements.pauses or state.evacuations):
            return False
        availability = self._find_availability(now)
        if (
            state.evacuations
            and not (availability.has_endpoints or availability.is_forming)
            and not self._connection.has_begun
        ):
            return True
        return availability.pause_wait_s > max(0.0, self._wait_until - now)

    def _choose(self, now: float) -> SlotChoice | None:
        """Return a free slot, None if there is none.

        Servers that rejected the request and asked for a pause are the last
        choice; they may take it when their pause has ended. An interrupted
        stream may return to any server that this node does not avoid by now.
        """
        candidate = self._find_competitor(now)
        if candidate is not None and not self._state.admission.may_take(
            candidate,
            self._waitqueue.count(candidate.pool),
            lambda: self._state.find_capacity(candidate.pool, now).free,
            now,
        ):
            return None
        choice = self._choose_except(self._avoided | self._paused, now)
        if choice is None and self._paused:
            choice = self._choose_except(self._avoided, now)
        if choice is None and self._connection.has_begun:
            again = self._choose_except(set(), now)
            if again is not None and not again.load.is_deprioritized:
                choice = again
        return choice

    def _choose_except(
        self, servers: set[str], now: float
    ) -> SlotChoice | None:
        state = self._state
        avoided = frozenset(servers)
        if state.find_engine(self._service) is None:
            return state.choose_server(self._service, avoided, now)
        model = self._request.facts.model
        bound = self._find_bound(now)
        return state.choose_group(self._service, model, avoided, bound, now)

    def _find_bound(self, now: float) -> Bound:
        """Return the bound for the load of a group that gets the request."""
        waited_s = now - self._request.arrived if self._is_waiting else 0.0
        return find_group_bound(
            self.judge_timeliness(now),
            self._state.count_nodes(),
            waited_s=waited_s,
            has_shortage=self._state.shortages.has_shortage(
                self._request.facts.model, now
            ),
            may_send_late=self._may_send(now),
        )

    def _may_send(self, now: float) -> bool:
        """Return whether the request, if it is late, may be sent now."""
        return self.judge_timeliness(
            now
        ) is not Timeliness.LATE or self._state.may_send_late(
            self._service, self._request.facts.model, now
        )

    def _find_availability(self, now: float) -> Availability:
        """Return the availability of endpoints for the request."""
        model = self._request.facts.model
        state = self._state
        endpoints: list[Endpoint] = [
            *state.list_open(state.list_groups(self._service, model), now)
        ]
        if state.find_engine(self._service) is None:
            servers = state.list_servers(self._service)
            endpoints = [*state.list_open(servers, now)]
        statements = state.statements
        staying = [
            endpoint.server
            for endpoint in endpoints
            if endpoint.server not in statements.departures
        ]
        first = min(
            staying,
            key=lambda server: statements.find_wait(server, now),
            default="",
        )
        return Availability(
            has_endpoints=bool(staying),
            # The leader replaces those that leave.
            is_forming=state.is_forming(model) or len(staying) < len(endpoints),
            shortage_s=state.shortages.find_duration(model, now),
            limit_wait_s=statements.limits.find_wait(first, now),
            pause_wait_s=statements.pauses.find_wait(first, now),
            has_evacuation=bool(state.evacuations),
        )

    @property
    def _pool(self) -> str:
        """Model, or plain service, whose slots the request needs."""
        is_plain = self._state.find_engine(self._service) is None
        return self._service if is_plain else self._request.facts.model

    def _find_competitor(self, now: float) -> Candidate | None:
        """Return the request if others of another priority need its slots."""
        if self._top_priority is None:
            return None
        if not self._state.admission.has_competition(self._pool):
            return None
        return self._describe_candidate(now)

    def _describe_candidate(self, now: float) -> Candidate | None:
        """Return the request as one that competes with other priorities.

        None where all requests of the service have the same priority.
        """
        admission = self._admission
        if self._top_priority is None or admission is None:
            return None
        workspace = admission.workspace
        waited_s = self._waited_before_s + now - self._request.arrived
        first_s = self._estimate_first_event(admission)
        return Candidate(
            pool=self._pool,
            priority=admission.priority,
            top=self._state.admission.find_pool_top(self._pool),
            timeliness=self.judge_timeliness(now),
            on_time_s=admission.route.target_s - first_s - waited_s,
            workspace="" if workspace is None else workspace.name,
            request_id=self._request.facts.request_id,
        )

    def _describe_wait(
        self, admission: Admission, timeliness: Timeliness, now: float
    ) -> WaitingRequest:
        """Return the description of the request for the decision to wait."""
        route = admission.route
        waited_s = now - self._request.arrived
        first_s = self._estimate_first_event(admission)
        gives_up_s = self._expires - now
        if route.kind is RouteKind.STREAM:
            gives_up_s = find_give_up(route.target_s, route.longest_pause_s)
            gives_up_s -= waited_s + first_s + DELIVERY_MARGIN_S
        total_waited_s = waited_s + self._waited_before_s
        return WaitingRequest(
            timeliness=timeliness,
            limit_s=self._expires - now,
            on_time_s=route.target_s - first_s - total_waited_s,
            gives_up_s=gives_up_s,
        )

    async def _wait(
        self, admission: Admission, timeliness: Timeliness, until: float
    ) -> None:
        """Wait for a slot.

        Of the requests that can be on time, the newest is served first: under
        overload it is the most likely one to be on time. Late requests are
        served in the order of their arrival.
        """
        self._is_waiting = True
        self._wait_until = until
        now = read_clock()
        arrived = self._request.arrived
        order = -arrived if timeliness is Timeliness.ON_TIME else arrived
        rank = (admission.priority, int(timeliness), order)
        counted_as = None
        candidate = self._describe_candidate(now)
        if candidate is not None:
            priority = self._state.admission.find_priority(candidate, now)
            rank = (int(timeliness), priority, order)
            if timeliness is not Timeliness.LATE:
                counted_as = CountedAs(candidate.pool, priority)
        await self._waitqueue.wait(
            self._try_end_wait,
            rank=rank,
            until=until,
            counted_as=counted_as,
        )
        self.waited_s += read_clock() - now


def _describe_lack(availability: Availability) -> str:
    """Return the reason why no slot is free, for the log and the caller."""
    if not availability.has_endpoints:
        if availability.has_evacuation:
            return "nothing serves it outside of evacuated data centres"
        return "nothing serves it"
    return "all pause" if availability.pause_wait_s else "all are full"
