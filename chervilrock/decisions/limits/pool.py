"""Slots of one model at this node, and the workspaces that may use them."""

import collections
from collections.abc import Mapping
from typing import Any

import xxhash

from chervilrock.decisions.limits import (
    concurrency,
    fairness,
    hedging,
    queueing,
    requesttracker,
    saturation,
    throughput,
    usage,
)
from chervilrock.decisions.routing import base

HEADROOM = 0.15
"""Fraction of the slots reserved for workspaces within their share.

It lets a small workspace start at once beside one that uses all other slots.
"""

MIN_GROUPS_TO_RESERVE = 6
"""Below this number of groups, the headroom is slots of all groups."""

MIN_USE_TO_RAISE = 0.6
"""Fraction of the limit of a group in use from which it may be raised.

It is below 1 because requests without a first token are not counted yet.
"""

LONG_PROMPT_TOKENS = 4096
"""Length in tokens from which a prompt counts as long."""

PRIORITIES = 10
MAX_RETRY_AFTER_S = 30.0
ANSWER_SMOOTHING = 0.05
INITIAL_ANSWER_TOKENS = 128.0


class Pool:
    """Limits, queue and measurements of one model."""

    def __init__(self) -> None:
        """Create a pool without groups."""
        self.queue = fairness.FairQueue()
        self.hedging = hedging.Hedging()
        self.usage = usage.Usage()
        self._saturation = saturation.Saturation()
        self._retry_schedule = throughput.RetrySchedule(
            max_delay_s=MAX_RETRY_AFTER_S
        )
        self._queueing = queueing.QueueingEstimator()
        self._limits: dict[str, concurrency.GroupLimit] = {}
        self._reserved: frozenset[str] = frozenset()
        self._slots = 0.0
        self._headroom = HEADROOM
        self._at_group: collections.Counter[str] = collections.Counter()
        self._answer_tokens = INITIAL_ANSWER_TOKENS

    @property
    def group_limits(self) -> Mapping[str, concurrency.GroupLimit]:
        """Limit of each group of the model."""
        return self._limits

    def is_unused(self) -> bool:
        """Return whether there is no group and no request."""
        return not self._limits and not self.usage.total and not self.queue

    def set_groups(
        self, groups: tuple[str, ...], nodes: int, maximum: float
    ) -> None:
        """Set the groups that serve the model.

        Args:
          groups: names of the groups.
          nodes: number of nodes that send requests.
          maximum: maximum requests at a group from all nodes.
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
        self._sum_limits()

    def capacity(self) -> int:
        """Return how many requests may run; 0 if there is no group."""
        if not self._limits:
            return 0
        return max(1, int(self._slots))

    def load(self) -> float:
        """Return the fraction of the slots in use."""
        capacity = self.capacity()
        return self.usage.total / capacity if capacity else 1.0

    def has_slot(self, workspace: str) -> bool:
        """Return whether a request of a workspace may start now."""
        capacity = self.capacity()
        if self.usage.total >= capacity:
            return False
        if self.usage.is_within_share(workspace):
            return True
        return self.usage.total < int(capacity * (1.0 - self._headroom))

    def reserved_groups(self, workspace: str, now: float) -> frozenset[str]:
        """Return the groups that a workspace must not use.

        While requests get no slot, the headroom consists of whole groups, so
        that workspaces within their share find engines that are not full.
        """
        if not self._reserved or not self._is_deprioritized(workspace, now):
            return frozenset()
        return self._reserved

    def engine_priority(self, request: base.RequestView, now: float) -> int:
        """Return the priority to send to the engine, 0 to 9.

        The priorities of callers are halved. Workspaces within their share
        get the upper half (0 to 4), so that a priority gains nothing over
        other workspaces. Long prompts are lowered by one level, so that they
        do not delay short ones.
        """
        priority = request.priority // 2
        if request.prompt_tokens >= LONG_PROMPT_TOKENS:
            priority = min(PRIORITIES // 2 - 1, priority + 1)
        if self._is_deprioritized(request.workspace, now):
            priority += PRIORITIES // 2
        return priority

    def estimate_cost(self, request: base.RequestView) -> float:
        """Return the expected cost of a request in tokens."""
        answer = min(self._answer_tokens, float(request.max_tokens))
        return request.prompt_tokens + answer

    def charge(self, request: base.RequestView, cost: float) -> None:
        """Charge a workspace for a request that starts without waiting."""
        share = self.usage.share_of(request.workspace)
        self.queue.charge(request.workspace, cost, share)

    def finish(
        self,
        entry: requesttracker.RunningRequest,
        ok: bool,
        tokens: int,
        now: float,
    ) -> None:
        """Record that a request has ended.

        Args:
          entry: the request.
          ok: whether it received its whole answer.
          tokens: number of tokens of its answer.
          now: present time.
        """
        workspace = entry.request.workspace
        self.usage.finish(workspace, now)
        self._at_group[entry.group] -= 1
        if self._at_group[entry.group] <= 0:
            del self._at_group[entry.group]
        if not ok:
            return
        self._answer_tokens += ANSWER_SMOOTHING * (tokens - self._answer_tokens)
        difference = entry.request.prompt_tokens + tokens - entry.cost
        share = self.usage.share_of(workspace)
        self.queue.correct(workspace, difference, share)

    def observe_first_token(
        self, request: base.RequestView, group: str, waited_s: float, now: float
    ) -> None:
        """Record the time to a first token in seconds."""
        tokens = request.prompt_tokens
        self.hedging.observe_first_token(tokens, waited_s)
        queued = self._queueing.observe(tokens, waited_s, now)
        if group in self._limits:
            self._limits[group].on_queueing(queued)
        self._at_group[group] += 1

    def record_saturated(self, now: float) -> None:
        """Record that a request got no slot.

        Only the limits of groups in use are raised. While no first token has
        shown where requests run, as for plain services, all groups count as
        in use.
        """
        self._saturation.record(now)
        located = sum(self._at_group.values())
        for group, limit in self._limits.items():
            in_use = self._at_group[group] >= limit.limit * MIN_USE_TO_RAISE
            if in_use or not located:
                limit.on_saturated()

    def adjust(self, now: float) -> None:
        """Adapt the limits of the groups, and remove idle workspaces."""
        for limit in self._limits.values():
            limit.adjust(now)
        self._sum_limits()
        self.usage.update(self.queue.workspaces(), now)

    def expected_wait(self, request: base.RequestView, now: float) -> float:
        """Return the expected wait of a new request in seconds."""
        before = self.queue.count_before(request.workspace, request.priority)
        return (before + 1) / self._expected_rate(request.workspace, now)

    def longest_wait(self, configured: float, now: float) -> float:
        """Return the maximum wait of a request in seconds."""
        return self._saturation.longest_wait(configured, now)

    def schedule_retry(self, workspace: str, now: float) -> float:
        """Schedule a retry for a rejected caller; return the delay in s."""
        queued = self.queue.count(workspace)
        rate = self._expected_rate(workspace, now)
        return self._retry_schedule.schedule_retry(workspace, queued, rate, now)

    def find_displaced(
        self, request: base.RequestView
    ) -> base.RequestView | None:
        """Return the request to displace from a full queue, if any."""
        return self.queue.find_displaced(request, self.usage.share_of)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump, as JSON values."""
        waiting = self.queue.workspaces()
        return {
            "running": self.usage.running(),
            "waiting": {name: self.queue.count(name) for name in waiting},
            "capacity": self.capacity(),
            "reserved": sorted(self._reserved),
            "hedge_wins": round(self.hedging.wins, 3),
            "limits": {
                group: round(limit.limit, 2)
                for group, limit in self._limits.items()
            },
        }

    def _is_deprioritized(self, workspace: str, now: float) -> bool:
        """Return whether other workspaces take precedence over a workspace."""
        if not self._saturation.is_recent(now):
            return False
        return self.usage.is_over_share(workspace)

    def _expected_rate(self, workspace: str, now: float) -> float:
        waiting = self.queue.workspaces()
        return self.usage.expected_rate(workspace, waiting, now)

    def _sum_limits(self) -> None:
        """Compute the slots and the headroom from the limits."""
        self._slots = sum(each.limit for each in self._limits.values())
        if self._reserved:
            reserved_limit = sum(
                self._limits[group].limit for group in self._reserved
            )
            self._headroom = reserved_limit / self._slots
        else:
            self._headroom = HEADROOM


def _choose_reserved(groups: tuple[str, ...]) -> frozenset[str]:
    """Choose the groups of the headroom; all nodes choose the same."""
    if len(groups) < MIN_GROUPS_TO_RESERVE:
        return frozenset()
    count = round(len(groups) * HEADROOM)
    ordered = sorted(groups, key=_hash_name)
    return frozenset(ordered[:count])


def _hash_name(group: str) -> int:
    return xxhash.xxh3_64_intdigest(group.encode())
