"""Simulated nodes that retry requests as often as their budgets allow."""

import bisect
from collections.abc import Iterable, Mapping
import itertools
import math
import random
from typing import NamedTuple

from chervilrock.decisions.serving.admission.retrybudget import RetryBudget

RATIO = 0.2
WINDOW_S = 10.0
STEP_S = 0.05
LIMIT_S = 4.0
"""Time within which callers want an answer."""


class Size(NamedTuple):
    """A fleet and its load.

    Attributes:
      nodes: number of its nodes.
      slack: retries that are allowed in addition in a window.
      rate: requests of callers a second over all nodes.
    """

    nodes: int
    slack: float
    rate: float


SIZES = (
    Size(7, 105.0, 91.0),
    Size(77, 296.0, 245.0),
    Size(195, 496.0, 501.0),
    Size(400, 1000.0, 1000.0),
)


class Excess(NamedTuple):
    """The window that exceeds the bound most."""

    end: float
    arrivals: int
    allowed: float


class Fleet:
    """Nodes of one service whose requests all fail.

    Attributes:
      arrivals: when requests were retried.
      no_contact_from_s: time from which nodes do not know how many others there
        are, except for those that were added, which know all.
      slots_from_s: time from which there are slots for retries.
      waits: whether requests wait for retries that are expected soon.
    """

    def __init__(self, *, size: Size, seed: int = 1) -> None:
        """Create a fleet whose nodes all start at once."""
        self._size = size
        self._generator = random.Random(seed)
        self._requests: list[float] = []
        self.arrivals: list[float] = []
        self.no_contact_from_s = math.inf
        self.slots_from_s = 0.0
        self.waits = False
        self._wait_ends: dict[RetryBudget, dict[int, float]] = {}
        self._waiting: list[RetryBudget] = []
        self._number = itertools.count()
        self._budgets = [self._make_budget() for _ in range(size.nodes)]

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=RATIO, slack=self._size.slack, window_s=WINDOW_S
        )

    def restart(self, nodes: Iterable[int]) -> None:
        """Restart nodes, which lose their budgets."""
        for node in nodes:
            self._budgets[node] = self._make_budget()

    def add(self, count: int) -> None:
        """Add nodes."""
        self._budgets += [self._make_budget() for _ in range(count)]

    def simulate(
        self,
        *,
        until_s: float,
        fails_from_s: float,
        restarts: Mapping[float, Iterable[int]] | None = None,
    ) -> None:
        """Let callers send requests, and retry as often as allowed.

        Args:
          until_s: end of the simulation.
          fails_from_s: time from which all requests fail.
          restarts: nodes that restart, by the time.
        """
        pending_restarts = dict(restarts or {})
        pending = 0.0
        for step in range(round(until_s / STEP_S)):
            now = step * STEP_S
            for time in [time for time in pending_restarts if time <= now]:
                self.restart(pending_restarts.pop(time))
            pending += self._size.rate * STEP_S
            while pending >= 1.0:
                pending -= 1.0
                node = self._generator.randrange(len(self._budgets))
                self._budgets[node].record_request(now)
                self._requests.append(now)
            for node, budget in enumerate(self._budgets):
                budget.refill(self._count_known(node, now), now)
            if now >= fails_from_s:
                self._retry(now)

    def _count_known(self, node: int, now: float) -> int | None:
        """Return how many nodes a node knows, None without contact."""
        if node >= self._size.nodes:
            return len(self._budgets)
        return None if now >= self.no_contact_from_s else self._size.nodes

    def _retry(self, now: float) -> None:
        for budget in self._budgets:
            if self.waits:
                self._let_wait(budget, now)
            while budget.reserve():
                self._waiting.append(budget)
        if now >= self.slots_from_s:
            for budget in self._waiting:
                budget.spend()
                self.arrivals.append(now)
            self._waiting.clear()

    def _let_wait(self, budget: RetryBudget, now: float) -> None:
        """Let as many requests wait as may; retry those whose turn it is."""
        ends = self._wait_ends.setdefault(budget, {})
        for request, end in list(ends.items()):
            if budget.reserve(request):
                self._waiting.append(budget)
            elif now < end:
                continue
            budget.stop_waiting(request)
            del ends[request]
        while (end := budget.find_wait_end(now + LIMIT_S, now)) > now:
            if budget.reserve():
                self._waiting.append(budget)
                continue
            request = next(self._number)
            budget.wait(request)
            ends[request] = end

    def find_excess(self) -> Excess:
        """Return the window that exceeds the bound most, or comes closest."""
        found = Excess(0.0, 0, float("inf"))
        for end in self.arrivals:
            arrivals = self._count(self.arrivals, end)
            requested = max(
                self._count(self._requests, end - back)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = RATIO * requested + self._size.slack
            if arrivals - allowed > found.arrivals - found.allowed:
                found = Excess(end, arrivals, allowed)
        return found

    def _count(self, times: list[float], end: float) -> int:
        """Return how many of the times lie in the window that ends at one."""
        first = bisect.bisect_left(times, end - WINDOW_S)
        return bisect.bisect_right(times, end) - first
