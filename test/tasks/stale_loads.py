"""Simulation of a large fleet whose nodes place requests by stale loads.

Load pattern: requests arrive at random times at random nodes among those
reported to callers, and each occupies its group for about a second. All nodes
receive the leader's totals at a fixed interval, one or two answers old.
"""

import heapq
import random
from typing import NamedTuple

from chervilrock.decisions.serving.admission.placement import (
    Bound,
    GROUP_BOUND,
    WAITING_BOUND,
)
from chervilrock.decisions.serving.admission.routes import RouteTable
from chervilrock.decisions.serving.nodes.activenodes import ActiveNodes
from chervilrock.decisions.serving.nodes.reportedloads import ReportedLoads
from chervilrock.decisions.serving.site import (
    EngineProfile,
    Limits,
    Service,
    SiteConfiguration,
)
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServingView,
)
from chervilrock.tasks.serving.state import RetryBounds, ServingState

SLOTS = 11
SERVICE = "s"
MODEL = "m"
TERM = 1

_ENGINE = EngineProfile(
    slots=SLOTS,
    step_s=0.006,
    per_request_s=0.0005,
    steps_per_pass=8,
    prompt_tokens_per_s=46000.0,
    prompt_chunk=2048,
    usual_prompt_tokens=700.0,
    form_s=0.3,
    loads_per_s=70.0,
    loads_at_once=10,
    staged_models=1,
    models={},
)
_ROUTES = RouteTable(
    configuration=SiteConfiguration(
        revision=1,
        routes=(),
        services={SERVICE: Service(SERVICE, _ENGINE)},
        keys=None,
        limits=Limits(idle_s=15.0),
    )
)


class Load(NamedTuple):
    """Load of the fleet and age of the announced totals.

    Attributes:
      data_centres: number of data centres.
      nodes: nodes of each data centre.
      groups: groups of the model in all data centres.
      per_s: requests per second.
      mean_s: mean time of a request in its group.
      pause_s: time between two announcements.
      lag: age of the leader's totals in answers.
    """

    data_centres: int = 5
    nodes: int = 39
    groups: int = 50
    per_s: float = 340.0
    mean_s: float = 0.9
    pause_s: float = 0.25
    lag: int = 2


class Outcome(NamedTuple):
    """Outcome of the requests.

    Attributes:
      overfull: fraction that was sent to a group without a free slot.
      fullest: greatest number of requests at a group.
      batch: mean number of requests at a group when a request is added.
      waited: fraction that waited at the node, as the node's share of the free
        slots was used up.
    """

    overfull: float
    fullest: int
    batch: float
    waited: float


def make_fleet(load: Load) -> list[NodeEntry]:
    """Return the nodes; three of each data centre have more cores."""
    return [
        NodeEntry(
            node=f"p{centre}-{number:02}",
            incarnation=f"i{centre}-{number:02}",
            peer_address=f"10.{centre}.0.{number}:1",
            callers_address=f"10.{centre}.0.{number}:2",
            data_centre=f"p{centre}",
            cores=2.15 if number < 3 else 0.516,
        )
        for centre in range(load.data_centres)
        for number in range(load.nodes)
    ]


def choose_active_nodes(fleet: list[NodeEntry], load: Load) -> list[NodeEntry]:
    """Return the nodes that are reported to callers of all data centres."""
    chosen: list[NodeEntry] = []
    for centre in range(load.data_centres):
        chosen += ActiveNodes().choose(
            fleet,
            data_centre=f"p{centre}",
            leader=fleet[0].node,
            running=round(load.per_s * load.mean_s),
            now=0.0,
        )
    return chosen


class Replay:
    """Simulation of nodes that accept callers, and of the load of groups."""

    def __init__(self, *, load: Load, nodes: list[NodeEntry]) -> None:
        self._load = load
        self._generator = random.Random(7)
        view = ServingView(TERM, 1, _make_groups(load), ())
        self._states = [self._make_state(node, view) for node in nodes]
        self._reported = [ReportedLoads() for _ in nodes]
        self._running = {group.server: 0 for group in view.groups}
        self._waiting: list[int] = []
        self._ends: list[tuple[float, str, int, int]] = []
        self._totals: list[dict[str, int]] = [{}] * load.lag

    def run(self, seconds: float, *, counts_sent: bool = True) -> Outcome:
        """Simulate some time and return the outcome of its second half.

        Args:
          seconds: simulated time.
          counts_sent: whether a node adds the requests that it sent since the
            answers on which the totals are based.
        """
        now = next_announcement = 0.0
        sent = overfull = fullest = batch = waited = 0
        while now < seconds:
            now += self._generator.expovariate(self._load.per_s)
            if now >= next_announcement:
                next_announcement += self._load.pause_s
                self._announce(now, counts_sent=counts_sent)
            self._finish_requests(now)
            placed = self._send_waiting(now)
            number = self._generator.randrange(len(self._states))
            running = self._place(number, now, GROUP_BOUND)
            if running is None:
                self._waiting.append(number)
            else:
                placed.append(running)
            if now > seconds / 2:
                sent += len(placed)
                waited += running is None
                overfull += sum(requests > SLOTS for requests in placed)
                fullest = max(fullest, *placed, 0)
                batch += sum(placed)
        return Outcome(overfull / sent, fullest, batch / sent, waited / sent)

    def _send_waiting(self, now: float) -> list[int]:
        """Send the waiting requests that find a slot, in their order."""
        placed = []
        waiting, self._waiting = self._waiting, []
        for number in waiting:
            running = self._place(number, now, WAITING_BOUND)
            if running is None:
                self._waiting.append(number)
            else:
                placed.append(running)
        return placed

    def _make_state(self, own: NodeEntry, view: ServingView) -> ServingState:
        state = ServingState(
            own=own,
            bounds=RetryBounds(ratio=0.2, slack=100, window_s=10.0),
            generator=random.Random(self._generator.random()),
        )
        state.view = view
        state.routes = _ROUTES
        return state

    def _announce(self, now: float, *, counts_sent: bool) -> None:
        """Compute the leader's totals and announce them to all nodes."""
        lag = self._load.lag
        for state, reported in zip(self._states, self._reported, strict=True):
            own = state.own_loads
            if counts_sent:
                own = reported.find_included(TERM, lag)
            state.apply_loads(
                self._totals[0], own, senders=len(self._states), now=now
            )
            reported.record(TERM, state.own_loads)
        total: dict[str, int] = {}
        for state in self._states:
            for server, count in state.own_loads.items():
                total[server] = total.get(server, 0) + count
        self._totals = [*self._totals[1:], total]

    def _place(self, number: int, now: float, bound: Bound) -> int | None:
        """Send a request of a node; return how many then run in its group."""
        state = self._states[number]
        choice = state.choose_group(SERVICE, MODEL, frozenset(), bound, now)
        if choice is None:
            return None
        server = choice.endpoint.server
        period = state.record_sent(server)
        self._running[server] += 1
        length_s = self._load.mean_s * self._generator.lognormvariate(-0.3, 0.7)
        heapq.heappush(self._ends, (now + length_s, server, number, period))
        return self._running[server]

    def _finish_requests(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, server, number, period = heapq.heappop(self._ends)
            self._running[server] -= 1
            self._states[number].record_ended(server, period)


def _make_groups(load: Load) -> tuple[GroupEndpoint, ...]:
    return tuple(
        GroupEndpoint(
            group=f"g{number}",
            epoch=number,
            model=MODEL,
            service=SERVICE,
            server=f"s{number}",
            address=f"10.9.0.{number}:1",
            data_centre=f"p{number % load.data_centres}",
        )
        for number in range(load.groups)
    )
