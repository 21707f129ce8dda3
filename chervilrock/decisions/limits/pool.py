"""Places of one model at this node, and who may have them."""

import collections
from collections.abc import Mapping
from typing import Any

from chervilrock.decisions.limits import (
    concurrency,
    fairness,
    hedging,
    queueing,
    throughput,
)
from chervilrock.decisions.routing import base

ACTIVE_S = 30.0
"""Time for which a workspace counts as active after a request."""

HEADROOM = 0.1
"""Share of the places that only workspaces below their fair part may take.

It lets a small workspace start at once beside one that takes all it can get.
"""

MAX_RETRY_AFTER_S = 30.0
ANSWER_MEMORY = 0.05
INITIAL_ANSWER_TOKENS = 128.0


class Pool:
    """Limits, queue and measurements of one model."""

    def __init__(self) -> None:
        """Start with no group."""
        self.queue = fairness.FairQueue()
        self.hedging = hedging.Hedging()
        self._come_back = throughput.ComeBackTimes(longest=MAX_RETRY_AFTER_S)
        self._limits: dict[str, concurrency.GroupLimit] = {}
        self._queueing = queueing.QueueingEstimator()
        self._releases = throughput.ReleaseRate()
        self._running: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._active: dict[str, float] = {}
        self._shares: Mapping[str, float] = {}
        self._answer_tokens = INITIAL_ANSWER_TOKENS

    @property
    def running(self) -> int:
        """Requests that run."""
        return self._total

    @property
    def group_limits(self) -> Mapping[str, concurrency.GroupLimit]:
        """Limit of each group of the model."""
        return self._limits

    def is_unused(self) -> bool:
        """Tell whether there is no group and no request."""
        return not self._limits and not self._total and not self.queue

    def set_groups(self, groups: tuple[str, ...], maximum: float) -> None:
        """Set the groups that serve the model, and their greatest limit."""
        limits = {}
        for group in groups:
            limit = self._limits.get(group) or concurrency.GroupLimit()
            limit.set_maximum(maximum)
            limits[group] = limit
        self._limits = limits

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the weight of each workspace; others have weight 1."""
        self._shares = shares

    def share_of(self, workspace: str) -> float:
        """Return the weight of a workspace."""
        return self._shares.get(workspace, 1.0)

    def capacity(self) -> int:
        """Return how many requests may run, 0 without a group."""
        if not self._limits:
            return 0
        return max(1, int(sum(each.limit for each in self._limits.values())))

    def load(self) -> float:
        """Return the share of the places that is taken."""
        capacity = self.capacity()
        return self._total / capacity if capacity else 1.0

    def running_of(self, workspace: str) -> int:
        """Return how many requests of a workspace run."""
        return self._running[workspace]

    def note_active(self, workspace: str, now: float) -> None:
        """Learn that a workspace sends requests."""
        self._active[workspace] = now

    def has_place(self, workspace: str, now: float) -> bool:
        """Tell whether a request of a workspace may start now."""
        capacity = self.capacity()
        if self._total >= capacity:
            return False
        if self._total < int(capacity * (1.0 - HEADROOM)):
            return True
        part = self._fair_part(workspace, now)
        return part >= 1.0 or self._running[workspace] < part * capacity

    def start(self, request: base.RequestView) -> None:
        """Note that a request runs."""
        self._running[request.workspace] += 1
        self._total += 1

    def estimate_cost(self, request: base.RequestView) -> float:
        """Return the expected cost of a request in tokens."""
        answer = min(self._answer_tokens, float(request.max_tokens))
        return request.prompt_tokens + answer

    def finish(
        self,
        request: base.RequestView,
        cost: float,
        ok: bool,
        tokens: int,
        now: float,
    ) -> None:
        """Note that a request has ended.

        Args:
          request: the request.
          cost: what its workspace was charged for it.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.
          now: present time.
        """
        workspace = request.workspace
        self._running[workspace] -= 1
        self._total -= 1
        self._releases.on_release(now)
        if not ok:
            return
        self._answer_tokens += ANSWER_MEMORY * (tokens - self._answer_tokens)
        difference = request.prompt_tokens + tokens - cost
        self.queue.correct(workspace, difference, self.share_of(workspace))

    def observe_first_token(
        self, request: base.RequestView, group: str, waited: float, now: float
    ) -> None:
        """Learn the time to a first token in seconds."""
        tokens = request.prompt_tokens
        self.hedging.observe_first_token(tokens, waited)
        queued = self._queueing.observe(tokens, waited, now)
        if group in self._limits:
            self._limits[group].on_queueing(queued)

    def note_saturated(self) -> None:
        """Learn that a request found no place."""
        for limit in self._limits.values():
            limit.on_saturated()

    def adjust(self, now: float) -> None:
        """Adapt the limits of the groups, and forget idle workspaces."""
        for limit in self._limits.values():
            limit.adjust(now)
        for workspace, seen in list(self._active.items()):
            if now - seen > ACTIVE_S and not self._running[workspace]:
                del self._active[workspace]
                del self._running[workspace]

    def expected_rate(self, workspace: str, now: float) -> float:
        """Return the places a second that a workspace can expect."""
        rate = self._releases.rate(now, running=self._total)
        waiting = {*self.queue.workspaces(), workspace}
        total = sum(self.share_of(name) for name in waiting)
        return rate * self.share_of(workspace) / total

    def expected_wait(self, request: base.RequestView, now: float) -> float:
        """Return the time in seconds that a request would wait."""
        before = self.queue.count_before(request.workspace, request.priority)
        return (before + 1) / self.expected_rate(request.workspace, now)

    def book(self, workspace: str, now: float) -> float:
        """Return the delay in seconds that a rejected caller is told."""
        queued = self.queue.count(workspace)
        rate = self.expected_rate(workspace, now)
        return self._come_back.book(workspace, queued, rate, now)

    def find_displaced(
        self, request: base.RequestView
    ) -> base.RequestView | None:
        """Return the request that loses its place in a full queue.

        It is the last one of the workspace with the longest queue for its
        weight, or one of the same workspace with a lower priority, or None
        when the new request has the least right to a place.
        """
        waiting = self.queue.workspaces()
        if not waiting:
            return None
        longest = max(waiting, key=self._queue_for_weight)
        own = (self.queue.count(request.workspace) + 1) / self.share_of(
            request.workspace
        )
        if longest != request.workspace and (
            self._queue_for_weight(longest) > own
        ):
            return self.queue.last(longest).request
        if not self.queue.count(request.workspace):
            return None
        last = self.queue.last(request.workspace).request
        return last if last.priority > request.priority else None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump, as JSON values."""
        return {
            "running": dict(+self._running),
            "waiting": {
                name: self.queue.count(name) for name in self.queue.workspaces()
            },
            "capacity": self.capacity(),
            "hedge_wins": round(self.hedging.wins, 3),
            "limits": {
                group: round(limit.limit, 2)
                for group, limit in self._limits.items()
            },
        }

    def _queue_for_weight(self, workspace: str) -> float:
        return self.queue.count(workspace) / self.share_of(workspace)

    def _fair_part(self, workspace: str, now: float) -> float:
        """Return the share of the places that a workspace may count on."""
        names = {*self._active, workspace}
        total = sum(self.share_of(name) for name in names)
        return self.share_of(workspace) / total
