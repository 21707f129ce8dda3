"""How many retries of requests a node may send.

All nodes share one bound for each service: in any window, the sends beyond
the first of each request may not exceed a fraction of the requests plus a fixed
allowance. Nodes separated by a network partition cannot coordinate, so each
keeps to what its own requests allow and to an equal share of the allowance.

Load pattern: most servers fail, so that every node retries as much as it may,
while nodes restart once, in series, or all at once.
"""

from collections import deque
from collections.abc import Hashable
import math
from typing import NamedTuple

from chervilrock.decisions.serving.servers.tokenbuckets import (
    divide_equally,
    MIN_MAX_BALANCE,
    TokenBucket,
)

USED_FRACTION = 0.75
"""Fraction of what requests allow that a node uses."""

MEMORY_WINDOWS = 0.25
"""Time for which the tokens of a request may be kept, in windows. Retries of
one window may thus be paid for by requests of this much more than a window, so
only a fraction of what they allow is used; the rest is a margin for sends that
arrive later than they were counted."""

MAX_WAIT_S = 2.0
"""Longest time for which a request that has no answer waits for a retry."""

MAX_WAIT_FRACTION = 0.5
"""Largest fraction of the time left to a request that it waits for a retry. The
rest is left to the server that runs it."""


class BudgetState(NamedTuple):
    """Retries that a node may still send to a service.

    Attributes:
      left: retries that it may send now, a fraction included.
      nodes: nodes among which it shares the allowance, None if unknown.
    """

    left: float
    nodes: int | None


class RetryBudget:
    """Retries of one node to one service, as a token bucket."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Create an empty budget.

        Args:
          ratio: retries allowed for each request.
          slack: retries allowed in addition over all nodes.
          window_s: length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._bucket = TokenBucket()
        self._share_balance = MIN_MAX_BALANCE
        self._share_refill = 0.0
        self._waiting: dict[Hashable, None] = {}
        self._requests: deque[float] = deque()
        self._nodes: int | None = None
        self._refilled_at: float | None = None

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)
        self._bucket.refill(USED_FRACTION * self._ratio, self._max_balance)

    def refill(self, nodes: int | None, now: float) -> None:
        """Add the share of the allowance since the last call.

        Args:
          nodes: maximum number of nodes that share the allowance; None if the
            node does not know the present one, so that nothing is added.
          now: current time.
        """
        last, self._refilled_at = self._refilled_at, now
        self._nodes = nodes
        self._forget(now)
        self._share_refill = 0.0
        if nodes is not None:
            share = divide_equally(self._slack, nodes)
            self._share_balance = share.max_balance
            self._share_refill = share.refill_per_window
        amount = self._share_refill * self._count_windows(last, now)
        self._bucket.refill(amount, self._max_balance)

    def reserve(self, request: Hashable = None) -> bool:
        """Reserve a retry for a request; return whether the bound allows it.

        Requests that wait get their retries in the order in which they began to
        wait, before those that do not wait.

        Args:
          request: identifies a request that may be waiting.
        """
        first = next(iter(self._waiting), request)
        if first != request or not self._bucket.reserve():
            return False
        self._waiting.pop(request, None)
        return True

    def wait(self, request: Hashable) -> None:
        """Let a request wait for a retry, behind those that wait already."""
        self._waiting.setdefault(request)

    def stop_waiting(self, request: Hashable) -> None:
        """Remove a request that may be waiting."""
        self._waiting.pop(request, None)

    def find_wait_end(self, latest: float, now: float) -> float:
        """Return until when a request may wait for a retry.

        Args:
          latest: time by which the request must be answered.
          now: current time.

        Returns:
          The end of the wait; `now` if no retry is expected until then.
        """
        longest_s = min(MAX_WAIT_S, MAX_WAIT_FRACTION * (latest - now))
        return now + longest_s if self._find_wait(now) <= longest_s else now

    def spend(self) -> None:
        """Count a reserved retry as it is sent."""
        self._bucket.spend()

    def release(self) -> None:
        """Give up a reserved retry that is not sent."""
        self._bucket.release()

    def refund(self) -> None:
        """Refund a retry of which no byte was sent."""
        self._bucket.refund(self._max_balance)

    def describe(self) -> BudgetState:
        """Return what is left."""
        return BudgetState(self._bucket.available, self._nodes)

    @property
    def _max_balance(self) -> float:
        """Maximum balance of the bucket."""
        recent = len(self._requests)
        return self._share_balance + USED_FRACTION * self._ratio * recent

    def _find_wait(self, now: float) -> float:
        """Return the time in seconds until one more request gets a retry."""
        missing = 1.0 + len(self._waiting) - self._bucket.available
        if missing <= 0.0:
            return 0.0
        if not self._window_s:
            return math.inf
        self._forget(now)
        earned = USED_FRACTION * self._ratio * len(self._requests)
        per_window = self._share_refill + earned / MEMORY_WINDOWS
        return missing * self._window_s / per_window if per_window else math.inf

    def _count_windows(self, since: float | None, now: float) -> float:
        """Return the windows that have passed, 1 at most."""
        if since is None or not self._window_s:
            return 0.0
        return min(1.0, (now - since) / self._window_s)

    def _forget(self, now: float) -> None:
        """Remove the requests that no longer add to the maximum balance."""
        oldest = now - MEMORY_WINDOWS * self._window_s
        while self._requests and self._requests[0] < oldest:
            self._requests.popleft()
