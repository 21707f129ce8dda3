"""Nodes that send requests again as often as their budgets allow."""

import bisect
from collections.abc import Iterable, Mapping
import math
import random
from typing import NamedTuple

from chervilrock.decisions.serving.repeats import RepeatBudget

RATIO = 0.2
WINDOW_S = 10.0
STEP_S = 0.05


class Size(NamedTuple):
    """A fleet and its load.

    Attributes:
      nodes: its nodes.
      slack: repeats that are allowed besides in a window.
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
    """The window with the most arrivals beyond what is allowed."""

    end: float
    arrivals: int
    allowed: float


class Fleet:
    """Nodes of one service whose requests all fail.

    Attributes:
      arrivals: when requests were sent again.
      out_of_touch_from: when nodes learn of no others any more, but for
        those that were added, which know all.
      places_from: when there are places for what is to be sent again.
    """

    def __init__(self, *, size: Size, seed: int = 1) -> None:
        """Start all nodes at once."""
        self._size = size
        self._generator = random.Random(seed)
        self._requests: list[float] = []
        self.arrivals: list[float] = []
        self.out_of_touch_from = math.inf
        self.places_from = 0.0
        self._waiting: list[RepeatBudget] = []
        self._budgets = [self._make_budget() for _ in range(size.nodes)]

    def _make_budget(self) -> RepeatBudget:
        return RepeatBudget(
            ratio=RATIO, slack=self._size.slack, window_s=WINDOW_S
        )

    def restart(self, nodes: Iterable[int]) -> None:
        """Start nodes again, which forget all."""
        for node in nodes:
            self._budgets[node] = self._make_budget()

    def add(self, count: int) -> None:
        """Add nodes."""
        self._budgets += [self._make_budget() for _ in range(count)]

    def play(
        self,
        *,
        until: float,
        fails_from: float,
        restarts: Mapping[float, Iterable[int]] | None = None,
    ) -> None:
        """Let callers ask, and send each request again that may be.

        Args:
          until: end of the play in seconds.
          fails_from: when all requests begin to fail.
          restarts: nodes that start again, by the time.
        """
        due = dict(restarts or {})
        owed = 0.0
        for step in range(round(until / STEP_S)):
            now = step * STEP_S
            for time in [one for one in due if one <= now]:
                self.restart(due.pop(time))
            owed += self._size.rate * STEP_S
            while owed >= 1.0:
                owed -= 1.0
                node = self._generator.randrange(len(self._budgets))
                self._budgets[node].note_request(now)
                self._requests.append(now)
            for node, budget in enumerate(self._budgets):
                budget.refill(self._count_known(node, now), now)
            if now >= fails_from:
                self._send_again(now)

    def _count_known(self, node: int, now: float) -> int | None:
        """Return how many nodes a node knows, None if it is out of touch."""
        if node >= self._size.nodes:
            return len(self._budgets)
        return None if now >= self.out_of_touch_from else self._size.nodes

    def _send_again(self, now: float) -> None:
        for budget in self._budgets:
            while budget.reserve():
                self._waiting.append(budget)
        if now >= self.places_from:
            for budget in self._waiting:
                budget.spend()
                self.arrivals.append(now)
            self._waiting.clear()

    def find_excess(self) -> Excess:
        """Return the window that exceeds the bound most, or comes nearest."""
        found = Excess(0.0, 0, float("inf"))
        for end in self.arrivals:
            arrivals = self._count(self.arrivals, end)
            asked = max(
                self._count(self._requests, end - back)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = RATIO * asked + self._size.slack
            if arrivals - allowed > found.arrivals - found.allowed:
                found = Excess(end, arrivals, allowed)
        return found

    def _count(self, times: list[float], end: float) -> int:
        """Count what lies in the window that ends at a time."""
        first = bisect.bisect_left(times, end - WINDOW_S)
        return bisect.bisect_right(times, end) - first
