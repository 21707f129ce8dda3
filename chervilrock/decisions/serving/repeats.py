"""How many repeats of requests a node may send.

All nodes share one bound for each service: in any window, the sends beyond
the first of each request may not exceed a part of the requests plus a fixed
allowance. Nodes that are parted cannot ask each other, so each keeps to what
its own requests earn and to an equal share of the allowance.

Load pattern: most servers fail, so that every node repeats as much as it may,
while nodes start again once, in series, or all at once.
"""

from collections import deque
from typing import NamedTuple

from chervilrock.decisions.serving.credit import (
    Credit,
    deal_share,
    LEAST_BALANCE,
)

REQUESTS_PART = 0.75
"""Part of what requests allow that a node uses."""

KEPT_WINDOWS = 0.25
"""Time for which the part of a request is kept, in windows. Requests of so much
more than a window pay for its repeats, so that only a part of what they allow
is used; the rest is for sends that arrive later than they were counted."""


class BudgetState(NamedTuple):
    """What a node may still send again to a service.

    Attributes:
      left: repeats that it may send now, a fraction included.
      nodes: nodes among which it shares the allowance, None if unknown.
    """

    left: float
    nodes: int | None


class RepeatBudget:
    """Repeats of one node to one service, as a token bucket."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Make an empty budget.

        Args:
          ratio: repeats allowed for each request.
          slack: repeats allowed besides over all nodes.
          window_s: length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._credit = Credit()
        self._kept_share = LEAST_BALANCE
        self._requests: deque[float] = deque()
        self._nodes: int | None = None
        self._refilled: float | None = None

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)
        self._credit.earn(REQUESTS_PART * self._ratio, self._most)

    def refill(self, nodes: int | None, now: float) -> None:
        """Earn the share of the allowance since the last call.

        Args:
          nodes: greatest number of nodes that share the allowance; None if
            the node does not know the present one, so that nothing is earned.
          now: present time.
        """
        last, self._refilled = self._refilled, now
        self._nodes = nodes
        self._forget(now)
        earned = 0.0
        if nodes is not None:
            share = deal_share(self._slack, nodes)
            self._kept_share = share.kept
            earned = share.earned * self._count_windows(last, now)
        self._credit.earn(earned, self._most)

    def reserve(self) -> bool:
        """Hold a repeat for a request if the bound leaves room for it."""
        return self._credit.hold()

    def spend(self) -> None:
        """Count a repeat that was reserved, as it is sent."""
        self._credit.spend()

    def release(self) -> None:
        """Give up a repeat that was reserved and is not sent."""
        self._credit.release()

    def refund(self) -> None:
        """Take back a repeat of which no byte has left."""
        self._credit.refund(self._most)

    def describe(self) -> BudgetState:
        """Return what is left."""
        return BudgetState(self._credit.left, self._nodes)

    @property
    def _most(self) -> float:
        """Greatest balance that may be kept."""
        recent = len(self._requests)
        return self._kept_share + REQUESTS_PART * self._ratio * recent

    def _count_windows(self, since: float | None, now: float) -> float:
        """Return the windows that have passed, 1 at most."""
        if since is None or not self._window_s:
            return 0.0
        return min(1.0, (now - since) / self._window_s)

    def _forget(self, now: float) -> None:
        """Forget the requests that earn nothing any more."""
        oldest = now - KEPT_WINDOWS * self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
