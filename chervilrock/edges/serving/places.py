"""The search of a request for a place at a group or server."""

from collections.abc import Sequence
from typing import NamedTuple

from chervilrock.decisions.serving.lateness import judge_timeliness, Timeliness
from chervilrock.decisions.serving.placement import (
    Bound,
    Choice,
    find_group_bound,
    GROUP_BOUND,
)
from chervilrock.decisions.serving.routes import Admission
from chervilrock.decisions.serving.site import RouteKind
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint
from chervilrock.decisions.serving.waiting import (
    Availability,
    decide_wait,
    DELIVERY_MARGIN_S,
    find_give_up,
    WaitingRequest,
)
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import CallerConnection
from chervilrock.edges.serving.suspectcheck import SuspectCheck
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue

Endpoint = GroupEndpoint | ServerEndpoint
Place = Choice[GroupEndpoint] | Choice[ServerEndpoint]


class Refusal(NamedTuple):
    """Why a request gets no place.

    Attributes:
      reason: what the log and the caller are told.
      retry_after_s: when the caller may come back, in seconds.
    """

    reason: str
    retry_after_s: float


class PlaceSearch:
    """Finds places for one request, one after the other.

    Attributes:
      place: where the request may be sent, None without a place.
      waited_s: time for which it has waited for places.
      is_over: whether the caller has left, so that it takes no place.
    """

    def __init__(
        self,
        *,
        state: ServingState,
        waitqueue: WaitQueue,
        request: CallerRequest,
        connection: CallerConnection,
        check: SuspectCheck,
    ) -> None:
        """Search for a request.

        Args:
          state: what the node knows.
          waitqueue: where requests of the node wait.
          request: the request.
          connection: tells whether its caller has any event.
          check: whether it is withheld.
        """
        self._state = state
        self._waitqueue = waitqueue
        self._request = request
        self._connection = connection
        self._check = check
        self._admission: Admission | None = None
        self._service = ""
        self._expires = request.arrived
        self._waited_before_s = 0.0
        self._is_waiting = False
        self._avoided: set[str] = set()
        self.place: Place | None = None
        self.waited_s = 0.0
        self.is_over = False

    def admit(self, admission: Admission, service: str, expires: float) -> None:
        """Note what was found of the request before the first search.

        Args:
          admission: its route and customer.
          service: service that it goes to.
          expires: when its caller gets an answer at the latest.
        """
        self._admission = admission
        self._service = service
        self._expires = expires
        self._waited_before_s = self._estimate_wait(admission)

    def judge_timeliness(self, now: float) -> Timeliness:
        """Return how the request stands."""
        if self._admission is None:
            return Timeliness.ON_TIME
        return judge_timeliness(
            has_begun=self._connection.has_begun,
            waited_s=self._waited_before_s + now - self._request.arrived,
            target_s=self._admission.route.target_s,
            first_event_s=self._expect_first_event(self._admission),
        )

    async def find(self, admission: Admission) -> Refusal | None:
        """Get a place, or wait for one.

        Returns:
          Why there is none; None when there is, when the request turned out
          to be withheld, or when its caller has left.
        """
        while not self._try_place():
            now = read_clock()
            timeliness = self.judge_timeliness(now)
            prospect = self._find_prospect(now)
            patience = decide_wait(
                self._describe_wait(admission, timeliness, now),
                prospect,
                self._state.generator.random(),
            )
            refusal = Refusal(
                "all are full" if prospect.has_endpoints else _NOTHING,
                patience.retry_after_s,
            )
            if patience.wait_s <= 0:
                return refusal
            await self._wait(admission, timeliness, now + patience.wait_s)
            if self.is_over or self.place is not None or self._try_place():
                return None
            if timeliness is not Timeliness.ON_TIME:
                return refusal
            self._state.shortages.record_missed(
                self._request.facts.model, read_clock()
            )
        return None

    def avoid(self) -> None:
        """Do not use the server of the present place again."""
        if self.place is not None:
            self._avoided.add(self.place.endpoint.server)

    def give_back(self) -> None:
        """Free the place, so that another request may have it."""
        if self.place is not None:
            self._state.record_ended(self.place.endpoint.server)
            self.place = None
            self._waitqueue.notify()

    def has_other(self, now: float) -> bool:
        """Tell whether another group has room for the request."""
        if self.place is None:
            return False
        choice = self._state.choose_group(
            self._service,
            self._request.facts.model,
            frozenset(self._avoided | {self.place.endpoint.server}),
            GROUP_BOUND,
            now,
        )
        return choice is not None and not choice.load.is_deprioritized

    def _estimate_wait(self, admission: Admission) -> float:
        """Return how long the caller has waited before it came here."""
        limit_s = self._request.facts.deadline_s
        if limit_s is None:
            return 0.0
        route = admission.route
        usual = self._state.usual_limits
        waited_s = usual.estimate_wait(route.name, limit_s, route.timeout_s)
        usual.record(route.name, limit_s)
        return waited_s

    def _expect_first_event(self, admission: Admission) -> float:
        """Return how long the first event will take after a send."""
        return self._state.first_events.estimate(
            self._request.facts.model, admission.route.target_s
        )

    def _try_place(self) -> bool:
        """Take a place if one is free; a caller that left takes none.

        Returns:
          Whether the wait for a place is over.
        """
        if self.is_over or self.place is not None:
            return False
        if self._check.find_withheld() is not None:
            return True
        now = read_clock()
        self.place = self._choose(now)
        if self.place is None:
            return False
        server = self.place.endpoint.server
        self._state.record_sent(server)
        self._state.limits.consume(server, now)
        return True

    def _choose(self, now: float) -> Place | None:
        state = self._state
        avoided = frozenset(self._avoided)
        if state.find_engine(self._service) is None:
            return state.choose_server(self._service, avoided, now)
        model = self._request.facts.model
        bound = self._find_bound(now)
        return state.choose_group(self._service, model, avoided, bound, now)

    def _find_bound(self, now: float) -> Bound:
        """Return how full a group may be that gets the request."""
        waited_s = now - self._request.arrived if self._is_waiting else 0.0
        return find_group_bound(
            self.judge_timeliness(now),
            self._state.count_nodes(),
            waited_s=waited_s,
            has_shortage=self._state.shortages.has_shortage(
                self._request.facts.model, now
            ),
        )

    def _find_prospect(self, now: float) -> Availability:
        """Return what the request can expect that has no place."""
        model = self._request.facts.model
        state = self._state
        endpoints: Sequence[Endpoint] = state.list_groups(self._service, model)
        if state.find_engine(self._service) is None:
            endpoints = state.list_servers(self._service)
        waits = [state.limits.find_wait(one.server, now) for one in endpoints]
        return Availability(
            has_endpoints=bool(endpoints),
            is_forming=state.is_forming(model),
            shortage_s=state.shortages.find_duration(model, now),
            limit_wait_s=min(waits, default=0.0),
        )

    def _describe_wait(
        self, admission: Admission, timeliness: Timeliness, now: float
    ) -> WaitingRequest:
        """Return what is known of the request while it has no place."""
        route = admission.route
        waited_s = now - self._request.arrived
        first_s = self._expect_first_event(admission)
        gives_up_s = self._expires - now
        if route.kind is RouteKind.STREAM:
            gives_up_s = find_give_up(route.target_s, route.longest_pause_s)
            gives_up_s -= waited_s + first_s + DELIVERY_MARGIN_S
        waited_in_all_s = waited_s + self._waited_before_s
        return WaitingRequest(
            timeliness=timeliness,
            limit_s=self._expires - now,
            on_time_s=route.target_s - first_s - waited_in_all_s,
            gives_up_s=gives_up_s,
        )

    async def _wait(
        self, admission: Admission, timeliness: Timeliness, until: float
    ) -> None:
        """Wait for a place; of those that can be on time the newest goes first.

        While more come than can be served, it is the one that is surest to be
        on time. Late ones go in the order of their arrival.
        """
        self._is_waiting = True
        now = read_clock()
        arrived = self._request.arrived
        turn = -arrived if timeliness is Timeliness.ON_TIME else arrived
        await self._waitqueue.wait(
            self._try_place,
            rank=(admission.priority, int(timeliness), turn),
            until=until,
        )
        self.waited_s += read_clock() - now


_NOTHING = "nothing serves it"
