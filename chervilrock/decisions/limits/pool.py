"""Places of one model at this node, and who may have them."""

import collections
from collections.abc import Mapping
from typing import Any

import xxhash

from chervilrock.decisions.limits import (
    concurrency,
    fairness,
    hedging,
    queueing,
    throughput,
)
from chervilrock.decisions.routing import base

ACTIVE_S = 300.0
"""Time for which a workspace counts as active after a request."""

HEADROOM = 0.15
"""Share of the places that only workspaces below their fair part may take.

It lets a small workspace start at once beside one that takes all it can get.
"""

SATURATED_S = 5.0
"""Time for which a pool counts as saturated after a request found no place."""

MIN_GROUPS_TO_RESERVE = 6
"""With fewer groups the headroom is kept in places of all of them."""

IN_USE = 0.6
"""Share of the limit of a group from which it may be raised.

Requests that have no first token yet are not counted, so it is below 1.
"""

STANDING_S = 5.0
"""Time of saturation after which the queue no longer takes up a burst."""

MEASURED_S = 1.0
"""Time with requests in the queue after which their rate is measured."""

STANDING_GAP_S = 1.0
"""Greatest gap between requests without a place in such a time."""

STANDING_WAIT = 0.25
"""Share of the longest wait that is left while the queue stands."""

LONG_TOKENS = 4096
"""Length from which a prompt counts as long."""

PRIORITIES = 10
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
        self._at_group: collections.Counter[str] = collections.Counter()
        self._starts: dict[str, throughput.ReleaseRate] = {}
        self._waiting_since: dict[str, float] = {}
        self._standing_since = float("-inf")
        self._saturated_at = float("-inf")
        self._reserved: frozenset[str] = frozenset()
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

    def set_groups(
        self, groups: tuple[str, ...], nodes: int, maximum: float
    ) -> None:
        """Set the groups that serve the model.

        Args:
          groups: names of the groups.
          nodes: number of nodes that send requests.
          maximum: requests allowed at a group from all nodes.
        """
        limits = {}
        for group in groups:
            limit = self._limits.get(group)
            if limit is None:
                limit = concurrency.GroupLimit(nodes=nodes, maximum=maximum)
            limit.set_bounds(nodes, maximum)
            limits[group] = limit
        self._limits = limits
        self._reserved = _choose_reserved(groups)

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
        if self._total < int(capacity * (1.0 - self._headroom())):
            return True
        part = self._fair_part(workspace, now)
        return part >= 1.0 or self._running[workspace] < part * self._total

    def is_over_share(self, workspace: str, now: float) -> bool:
        """Tell whether a workspace has more than its part of what runs."""
        part = self._fair_part(workspace, now)
        if part >= 1.0:
            return False
        return self._running[workspace] > part * self._total

    def engine_priority(self, request: base.RequestView, now: float) -> int:
        """Return the priority that the engine is told, 0 to 9.

        The priorities of callers are halved. Workspaces within their share
        get the upper half, so that a priority buys nothing from others.
        Long prompts are put back by one, to keep them from holding up short
        ones.
        """
        priority = request.priority // 2
        if request.prompt_tokens >= LONG_TOKENS:
            priority = min(PRIORITIES // 2 - 1, priority + 1)
        if self.is_saturated(now) and self.is_over_share(
            request.workspace, now
        ):
            priority += PRIORITIES // 2
        return priority

    def is_saturated(self, now: float) -> bool:
        """Tell whether requests found no place lately."""
        return now - self._saturated_at < SATURATED_S

    def reserved_groups(self, workspace: str, now: float) -> frozenset[str]:
        """Return the groups that requests of a workspace must leave alone.

        While requests find no place, the headroom is kept in whole groups,
        so that workspaces within their share meet engines that are not full.
        """
        if not self.is_saturated(now) or not self.is_over_share(workspace, now):
            return frozenset()
        return self._reserved

    def start(self, request: base.RequestView, now: float) -> None:
        """Note that a request runs."""
        starts = self._starts.setdefault(
            request.workspace, throughput.ReleaseRate()
        )
        starts.on_release(now)
        self._running[request.workspace] += 1
        self._total += 1

    def estimate_cost(self, request: base.RequestView) -> float:
        """Return the expected cost of a request in tokens."""
        answer = min(self._answer_tokens, float(request.max_tokens))
        return request.prompt_tokens + answer

    def finish(
        self,
        request: base.RequestView,
        group: str,
        cost: float,
        ok: bool,
        tokens: int,
        now: float,
    ) -> None:
        """Note that a request has ended.

        Args:
          request: the request.
          group: group of its first token, empty for none.
          cost: what its workspace was charged for it.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.
          now: present time.
        """
        workspace = request.workspace
        self._running[workspace] -= 1
        self._total -= 1
        self._at_group[group] -= 1
        if self._at_group[group] <= 0:
            del self._at_group[group]
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
        self._at_group[group] += 1

    def note_saturated(self, now: float) -> None:
        """Learn that a request found no place.

        Only groups that are in use may get more; groups are all taken to be
        in use while no first token has told where requests run, as for plain
        services.
        """
        if now - self._saturated_at > STANDING_GAP_S:
            self._standing_since = now
        self._saturated_at = now
        located = sum(self._at_group.values())
        for group, limit in self._limits.items():
            in_use = self._at_group[group] >= limit.limit * IN_USE
            if in_use or not located:
                limit.on_saturated()

    def adjust(self, now: float) -> None:
        """Adapt the limits of the groups, and forget idle workspaces."""
        for limit in self._limits.values():
            limit.adjust(now)
        for workspace, seen in list(self._active.items()):
            if now - seen > ACTIVE_S and not self._running[workspace]:
                del self._active[workspace]
                del self._running[workspace]
                self._starts.pop(workspace, None)
        waiting = set(self.queue.workspaces())
        self._waiting_since = {
            name: self._waiting_since.get(name, now) for name in waiting
        }

    def expected_rate(self, workspace: str, now: float) -> float:
        """Return the places a second that a workspace can expect.

        A workspace whose requests have waited for some time goes on with the
        rate at which they started; for others it follows from the shares.
        """
        since = self._waiting_since.get(workspace, now)
        if now - since > MEASURED_S and workspace in self._starts:
            return self._starts[workspace].rate(now, running=0)
        rate = self._releases.rate(now, running=self._total)
        waiting = {*self.queue.workspaces(), workspace}
        total = sum(self.share_of(name) for name in waiting)
        return rate * self.share_of(workspace) / total

    def expected_wait(self, request: base.RequestView, now: float) -> float:
        """Return the time in seconds that a request would wait."""
        before = self.queue.count_before(request.workspace, request.priority)
        return (before + 1) / self.expected_rate(request.workspace, now)

    def longest_wait(self, configured: float, now: float) -> float:
        """Return how long a request may wait in seconds.

        A queue should take up bursts. While requests have found no place for
        longer than a burst, it only delays every request, so it is made short.
        """
        gap = now - self._saturated_at
        if gap > STANDING_GAP_S or now - self._standing_since < STANDING_S:
            return configured
        return configured * STANDING_WAIT

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

    def _headroom(self) -> float:
        """Return the share of the places kept for those within their share."""
        if not self._reserved:
            return HEADROOM
        reserved = sum(self._limits[group].limit for group in self._reserved)
        return reserved / sum(each.limit for each in self._limits.values())

    def _queue_for_weight(self, workspace: str) -> float:
        return self.queue.count(workspace) / self.share_of(workspace)

    def _fair_part(self, workspace: str, now: float) -> float:
        """Return the share of the places that a workspace may count on."""
        names = {*self._active, workspace}
        total = sum(self.share_of(name) for name in names)
        return self.share_of(workspace) / total


def _choose_reserved(groups: tuple[str, ...]) -> frozenset[str]:
    """Choose the groups that make up the headroom, alike at all nodes."""
    if len(groups) < MIN_GROUPS_TO_RESERVE:
        return frozenset()
    count = round(len(groups) * HEADROOM)
    ordered = sorted(groups, key=_hash_name)
    return frozenset(ordered[:count])


def _hash_name(group: str) -> int:
    return xxhash.xxh3_64_intdigest(group.encode())
