"""How many repeats of requests a node may send.

All nodes share one bound for each service: in any window, the sends beyond
the first of each request may not exceed a part of the requests plus a fixed
allowance. Nodes that are parted cannot ask each other, so each keeps to the
part for its own requests and to an equal share of the allowance.
"""

from collections import deque
from typing import NamedTuple

SAFETY = 0.8
"""Part of the bound that is used: requests that a caller gave up before this
node counted them, and nodes that come up within the window, stay below it."""


class BudgetState(NamedTuple):
    """What a node may still send again to a service.

    Attributes:
      left: repeats that it may send now, a fraction included.
      nodes: nodes among which it believes the allowance to be shared.
    """

    left: float
    nodes: int


class RepeatBudget:
    """Sends of one node to one service in a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Make an unused budget.

        Args:
          ratio: repeats allowed for each request.
          slack: repeats allowed besides over all nodes.
          window_s: length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def take(self, nodes: int, now: float) -> bool:
        """Count a repeat if the bound leaves room for it.

        Args:
          nodes: greatest number of nodes that share the allowance.
          now: present time.
        """
        if self.describe(nodes, now).left < 1:
            return False
        self._repeats.append(now)
        return True

    def describe(self, nodes: int, now: float) -> BudgetState:
        """Return what is left.

        Args:
          nodes: greatest number of nodes that share the allowance.
          now: present time.
        """
        self._forget(now)
        own = self._ratio * len(self._requests)
        allowed = SAFETY * (own + self._slack / max(1, nodes))
        return BudgetState(allowed - len(self._repeats), nodes)

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
