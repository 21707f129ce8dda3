"""A large fleet in which nodes place requests by news of some age.

Load pattern: requests come at random times to nodes drawn at random among
those that callers are told of, and each stays in its group for a second or so.
All nodes hear the sums of the leader at a fixed pause, an answer or two old.
"""

import heapq
import random
from typing import NamedTuple

from chervilrock.decisions.serving.activenodes import ActiveNodes
from chervilrock.decisions.serving.placement import (
    Bound,
    GROUP_BOUND,
    WAITING_BOUND,
)
from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.site import (
    EngineProfile,
    Limits,
    Service,
    SiteConfiguration,
)
from chervilrock.decisions.serving.toldloads import ToldLoads
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServingView,
)
from chervilrock.tasks.serving.state import RepeatBounds, ServingState

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
    """What comes, and how nodes hear of it.

    Attributes:
      places: data centres.
      nodes: nodes of each.
      groups: groups of the model over all of them.
      per_s: requests a second.
      mean_s: mean time of a request in its group.
      pause_s: time between two announcements.
      lag: answers that the leader's sums are old.
    """

    places: int = 5
    nodes: int = 39
    groups: int = 50
    per_s: float = 340.0
    mean_s: float = 0.9
    pause_s: float = 0.25
    lag: int = 2


class Outcome(NamedTuple):
    """What became of the requests.

    Attributes:
      overfull: part of them that was sent to a group without a free slot.
      fullest: greatest number of requests at a group.
      batch: mean number of requests at the group that gets one.
      held: part of them that waited at their node, as its share of the free
        slots was used up.
    """

    overfull: float
    fullest: int
    batch: float
    held: float


def make_fleet(load: Load) -> list[NodeEntry]:
    """Return the nodes; three of each data centre are strong."""
    return [
        NodeEntry(
            node=f"p{place}-{number:02}",
            incarnation=f"i{place}-{number:02}",
            peer_address=f"10.{place}.0.{number}:1",
            callers_address=f"10.{place}.0.{number}:2",
            data_centre=f"p{place}",
            cores=2.15 if number < 3 else 0.516,
        )
        for place in range(load.places)
        for number in range(load.nodes)
    ]


def choose_few(fleet: list[NodeEntry], load: Load) -> list[NodeEntry]:
    """Return the nodes that callers of all data centres are told of."""
    chosen: list[NodeEntry] = []
    for place in range(load.places):
        chosen += ActiveNodes().choose(
            fleet,
            data_centre=f"p{place}",
            leader=fleet[0].node,
            running=round(load.per_s * load.mean_s),
            now=0.0,
        )
    return chosen


class Replay:
    """Nodes that take callers, and what runs in the groups."""

    def __init__(self, *, load: Load, nodes: list[NodeEntry]) -> None:
        self._load = load
        self._generator = random.Random(7)
        view = ServingView(TERM, 1, _make_groups(load), ())
        self._states = [self._make_state(one, view) for one in nodes]
        self._told = [ToldLoads() for _ in nodes]
        self._running = {one.server: 0 for one in view.groups}
        self._held: list[int] = []
        self._ends: list[tuple[float, str, int]] = []
        self._sums: list[dict[str, int]] = [{}] * load.lag

    def run(self, seconds: float, *, counts_sent: bool = True) -> Outcome:
        """Play a time and return what became of the second half.

        Args:
          seconds: length.
          counts_sent: whether a node counts what it sent since its last
            answers, which the sums do not have.
        """
        now = news = 0.0
        asked = overfull = fullest = batch = held = 0
        while now < seconds:
            now += self._generator.expovariate(self._load.per_s)
            if now >= news:
                news += self._load.pause_s
                self._tell(now, counts_sent=counts_sent)
            self._end(now)
            placed = self._retry(now)
            number = self._generator.randrange(len(self._states))
            running = self._place(number, now, GROUP_BOUND)
            if running is None:
                self._held.append(number)
            else:
                placed.append(running)
            if now > seconds / 2:
                asked += len(placed)
                held += running is None
                overfull += sum(one > SLOTS for one in placed)
                fullest = max(fullest, *placed, 0)
                batch += sum(placed)
        return Outcome(overfull / asked, fullest, batch / asked, held / asked)

    def _retry(self, now: float) -> list[int]:
        """Send the requests that waited, in their order, as far as they fit."""
        placed = []
        waiting, self._held = self._held, []
        for number in waiting:
            running = self._place(number, now, WAITING_BOUND)
            if running is None:
                self._held.append(number)
            else:
                placed.append(running)
        return placed

    def _make_state(self, own: NodeEntry, view: ServingView) -> ServingState:
        state = ServingState(
            own=own,
            bounds=RepeatBounds(ratio=0.2, slack=100, window_s=10.0),
            generator=random.Random(self._generator.random()),
        )
        state.view = view
        state.routes = _ROUTES
        return state

    def _tell(self, now: float, *, counts_sent: bool) -> None:
        """Let the leader add up and tell all nodes."""
        lag = self._load.lag
        for state, told in zip(self._states, self._told, strict=True):
            own = state.own_loads
            if counts_sent:
                own = told.find_counted(TERM, lag)
            state.take_loads(
                self._sums[0], own, senders=len(self._states), now=now
            )
            told.note(TERM, state.own_loads)
        total: dict[str, int] = {}
        for state in self._states:
            for server, count in state.own_loads.items():
                total[server] = total.get(server, 0) + count
        self._sums = [*self._sums[1:], total]

    def _place(self, number: int, now: float, bound: Bound) -> int | None:
        """Send a request of a node; return how many then run in its group."""
        state = self._states[number]
        choice = state.choose_group(SERVICE, MODEL, frozenset(), bound, now)
        if choice is None:
            return None
        server = choice.endpoint.server
        state.note_sent(server)
        self._running[server] += 1
        length_s = self._load.mean_s * self._generator.lognormvariate(-0.3, 0.7)
        heapq.heappush(self._ends, (now + length_s, server, number))
        return self._running[server]

    def _end(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, server, number = heapq.heappop(self._ends)
            self._running[server] -= 1
            self._states[number].note_ended(server)


def _make_groups(load: Load) -> tuple[GroupEndpoint, ...]:
    return tuple(
        GroupEndpoint(
            group=f"g{number}",
            epoch=number,
            model=MODEL,
            service=SERVICE,
            server=f"s{number}",
            address=f"10.9.0.{number}:1",
            data_centre=f"p{number % load.places}",
        )
        for number in range(load.groups)
    )
