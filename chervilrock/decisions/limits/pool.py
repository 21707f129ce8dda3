"""Places of one model at this node, and who may have them."""

import collections
from collections.abc import Mapping
from typing import Any

import xxhash

from chervilrock.decisions.limits import (
    concurrency,
    fairness,
    hedging,
    ledger,
    queueing,
    saturation,
    throughput,
    usage,
)
from chervilrock.decisions.routing import base

HEADROOM = 0.15
"""Share of the places that only workspaces within their share may take.

It lets a small workspace start at once beside one that takes all it can get.
"""

MIN_GROUPS_TO_RESERVE = 6
"""With fewer groups the headroom is kept in places of all of them."""

IN_USE = 0.6
"""Share of the limit of a group from which it may be raised.

Requests that have no first token yet are not counted, so it is below 1.
"""

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
        self.usage = usage.Usage()
        self._saturation = saturation.Saturation()
        self._come_back = throughput.ComeBackTimes(longest=MAX_RETRY_AFTER_S)
        self._queueing = queueing.QueueingEstimator()
        self._limits: dict[str, concurrency.GroupLimit] = {}
        self._reserved: frozenset[str] = frozenset()
        self._places = 0.0
        self._headroom = HEADROOM
        self._at_group: collections.Counter[str] = collections.Counter()
        self._answer_tokens = INITIAL_ANSWER_TOKENS

    @property
    def group_limits(self) -> Mapping[str, concurrency.GroupLimit]:
        """Limit of each group of the model."""
        return self._limits

    def is_unused(self) -> bool:
        """Tell whether there is no group and no request."""
        return not self._limits and not self.usage.total and not self.queue

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
        self._sum_limits()

    def capacity(self) -> int:
        """Return how many requests may run, 0 without a group."""
        if not self._limits:
            return 0
        return max(1, int(self._places))

    def load(self) -> float:
        """Return the share of the places that is taken."""
        capacity = self.capacity()
        return self.usage.total / capacity if capacity else 1.0

    def has_place(self, workspace: str) -> bool:
        """Tell whether a request of a workspace may start now."""
        capacity = self.capacity()
        if self.usage.total >= capacity:
            return False
        if self.usage.is_within_share(workspace):
            return True
        return self.usage.total < int(capacity * (1.0 - self._headroom))

    def reserved_groups(self, workspace: str, now: float) -> frozenset[str]:
        """Return the groups that requests of a workspace must leave alone.

        While requests find no place, the headroom is kept in whole groups,
        so that workspaces within their share meet engines that are not full.
        """
        if not self._reserved or not self._is_put_back(workspace, now):
            return frozenset()
        return self._reserved

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
        if self._is_put_back(request.workspace, now):
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
        self, entry: ledger.Running, ok: bool, tokens: int, now: float
    ) -> None:
        """Note that a request has ended.

        Args:
          entry: the request.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.
          now: present time.
        """
        workspace = entry.request.workspace
        self.usage.finish(workspace, now)
        self._at_group[entry.group] -= 1
        if self._at_group[entry.group] <= 0:
            del self._at_group[entry.group]
        if not ok:
            return
        self._answer_tokens += ANSWER_MEMORY * (tokens - self._answer_tokens)
        difference = entry.request.prompt_tokens + tokens - entry.cost
        share = self.usage.share_of(workspace)
        self.queue.correct(workspace, difference, share)

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
        self._saturation.note(now)
        located = sum(self._at_group.values())
        for group, limit in self._limits.items():
            in_use = self._at_group[group] >= limit.limit * IN_USE
            if in_use or not located:
                limit.on_saturated()

    def adjust(self, now: float) -> None:
        """Adapt the limits of the groups, and forget idle workspaces."""
        for limit in self._limits.values():
            limit.adjust(now)
        self._sum_limits()
        self.usage.update(self.queue.workspaces(), now)

    def expected_wait(self, request: base.RequestView, now: float) -> float:
        """Return the time in seconds that a request would wait."""
        before = self.queue.count_before(request.workspace, request.priority)
        return (before + 1) / self._expected_rate(request.workspace, now)

    def longest_wait(self, configured: float, now: float) -> float:
        """Return how long a request may wait in seconds."""
        return self._saturation.longest_wait(configured, now)

    def book(self, workspace: str, now: float) -> float:
        """Return the delay in seconds that a rejected caller is told."""
        queued = self.queue.count(workspace)
        rate = self._expected_rate(workspace, now)
        return self._come_back.book(workspace, queued, rate, now)

    def find_displaced(
        self, request: base.RequestView
    ) -> base.RequestView | None:
        """Return the request that loses its place in a full queue, if any."""
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

    def _is_put_back(self, workspace: str, now: float) -> bool:
        """Tell whether requests of others go before those of a workspace."""
        if not self._saturation.is_recent(now):
            return False
        return self.usage.is_over_share(workspace)

    def _expected_rate(self, workspace: str, now: float) -> float:
        waiting = self.queue.workspaces()
        return self.usage.expected_rate(workspace, waiting, now)

    def _sum_limits(self) -> None:
        """Add up the limits, for the places and the headroom."""
        self._places = sum(each.limit for each in self._limits.values())
        if self._reserved:
            kept = sum(self._limits[group].limit for group in self._reserved)
            self._headroom = kept / self._places
        else:
            self._headroom = HEADROOM


def _choose_reserved(groups: tuple[str, ...]) -> frozenset[str]:
    """Choose the groups that make up the headroom, alike at all nodes."""
    if len(groups) < MIN_GROUPS_TO_RESERVE:
        return frozenset()
    count = round(len(groups) * HEADROOM)
    ordered = sorted(groups, key=_hash_name)
    return frozenset(ordered[:count])


def _hash_name(group: str) -> int:
    return xxhash.xxh3_64_intdigest(group.encode())
