"""Admission of requests at a node: the facade of all limits.

Each request that is offered ends in exactly one way: admitted and later
released, rejected, or cancelled. A rejected request was not run, and its
caller is told at once and when to come back.

The node calls `admit` and `expire` several times a second, and sends what
`release` and `admit` return.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from chervilrock.decisions.limits import (
    concurrency,
    fairness,
    retries,
    verdicts,
)
from chervilrock.decisions.limits import pool as pools
from chervilrock.decisions.limits import quota as quotas
from chervilrock.decisions.routing import base
from chervilrock.generated import configuration, interfaces

DEFAULT_QUEUE = 256
DEFAULT_QUEUE_WAIT_MS = 2000
DEFAULT_REQUEST_TIMEOUT_MS = 120000
NO_GROUP_RETRY_S = 2.0
"""Delay for a caller while no group serves the model."""

UNLISTED = "default"
"""Workspace that stands for all that the configuration does not list.

Together they have one share, so that nobody gains places by inventing names.
"""

HEDGE_RESERVE = 1.0
"""Tokens of the retry budget that hedges leave to retries."""


class _Running(NamedTuple):
    request: base.RequestView
    cost: float
    group: str = ""


class Admission:
    """Decides which requests run now, wait, or are rejected."""

    def __init__(
        self,
        *,
        node: str,
        limits: configuration.LimitSpec,
        workspaces: Sequence[configuration.WorkspaceSpec] = (),
    ) -> None:
        """Start with no groups.

        Args:
          node: identifier of this node.
          limits: limits of the configuration.
          workspaces: workspaces of the configuration.
        """
        self._node = node
        self._nodes = 1
        self._pools: dict[str, pools.Pool] = {}
        self._running: dict[str, _Running] = {}
        self._waiting: dict[str, base.RequestView] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._quota = quotas.Quota(node=node)
        self._budget = retries.RetryBudget()
        self._shares: dict[str, float] = {}
        self._maximums: dict[str, float] = {}
        self.set_limits(limits, workspaces, 0.0)

    def set_limits(
        self,
        limits: configuration.LimitSpec,
        workspaces: Sequence[configuration.WorkspaceSpec],
        now: float,
        *,
        services: Sequence[configuration.ServiceSpec] = (),
    ) -> None:
        """Put the limits of a configuration in force.

        Requests that run or wait are kept; later decisions follow the new
        limits.

        Args:
          limits: limits of the configuration.
          workspaces: workspaces of the configuration.
          now: present time.
          services: plain services, for which pools are named as well.
        """
        del now
        self._max_queue = limits.get("queue", DEFAULT_QUEUE)
        wait_ms = limits.get("queue_wait_ms", DEFAULT_QUEUE_WAIT_MS)
        self._max_wait_s = wait_ms / 1000.0
        self._budget.set_ratio(limits.get("retry_ratio", retries.DEFAULT_RATIO))
        self._shares = {
            spec["name"]: spec.get("share", 1.0) for spec in workspaces
        }
        self._maximums = {
            spec["name"]: float(spec.get("max_in_flight", 64))
            for spec in services
        }
        timeout_ms = limits.get(
            "request_timeout_ms", DEFAULT_REQUEST_TIMEOUT_MS
        )
        self._quota.set_bounds(
            {
                spec["name"]: spec["max_in_flight"]
                for spec in workspaces
                if spec.get("max_in_flight", 0)
            },
            longest_s=timeout_ms / 1000.0,
        )
        for pool in self._pools.values():
            pool.set_shares(self._shares)

    def offer(self, request: base.RequestView, now: float) -> verdicts.Verdict:
        """Decide on a request that has arrived.

        Args:
          request: the request; its identity must be new.
          now: present time.

        Returns:
          Whether it runs now, waits, or is rejected. The requests in
          `Queued.displaced` are rejected with it and need their answer now.

        Raises:
          ValueError: a request with this identity runs or waits already.
        """
        known = request.request_id in self._running
        if known or request.request_id in self._waiting:
            raise ValueError(f"request {request.request_id} offered twice")
        pool = self._pools.get(request.model)
        if pool is None or not pool.capacity():
            return _reject_without_group(request)
        request = self._with_account(request)
        if request.deadline <= now:
            return self._reject(request, verdicts.RejectCode.DEADLINE, now)
        pool.note_active(request.workspace, now)
        first = not pool.queue.count(request.workspace)
        if first and self._may_start(pool, request.workspace, now):
            self._start(pool, request, pool.estimate_cost(request), now)
            pool.queue.charge(
                request.workspace,
                pool.estimate_cost(request),
                pool.share_of(request.workspace),
            )
            return verdicts.Admitted(request.request_id)
        return self._enqueue(pool, request, now)

    def release(
        self, request_id: str, now: float, ok: bool, *, tokens: int = 0
    ) -> tuple[str, ...]:
        """Take note that an admitted request has ended.

        A second call for the same request changes nothing.

        Args:
          request_id: identity of the request.
          now: present time.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.

        Returns:
          The requests that are admitted now in its place.
        """
        entry = self._running.pop(request_id, None)
        if entry is None:
            return ()
        request = entry.request
        self._in_flight[request.workspace] -= 1
        if not self._in_flight[request.workspace]:
            del self._in_flight[request.workspace]
        pool = self._pools[request.model]
        pool.finish(request, entry.group, entry.cost, ok, tokens, now)
        return self._admit_from(pool, now)

    def admit(self, now: float) -> tuple[str, ...]:
        """Adapt the limits, and admit the requests that find a place."""
        self._quota.update(self._own_uses(), now)
        admitted: list[str] = []
        for model, pool in list(self._pools.items()):
            pool.adjust(now)
            admitted += self._admit_from(pool, now)
            if pool.is_unused():
                del self._pools[model]
        return tuple(admitted)

    def expire(self, now: float) -> tuple[verdicts.Rejected, ...]:
        """Reject the requests that have waited too long or for nothing."""
        rejected: list[verdicts.Rejected] = []
        for pool in self._pools.values():
            for entry in list(pool.queue):
                code = self._expired(pool, entry, now)
                if code is not None:
                    self.cancel(entry.request.request_id, now)
                    rejected.append(self._reject(entry.request, code, now))
        return tuple(rejected)

    def cancel(self, request_id: str, now: float) -> bool:
        """Forget a request that waits, since its caller is gone.

        Returns:
          Whether it waited; a running request has to be released instead.
        """
        del now
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        self._pools[request.model].queue.remove(request)
        return True

    def engine_priority(self, request: base.RequestView, now: float) -> int:
        """Return the priority to send to the engine, 0 (first) to 9."""
        pool = self._pools.get(request.model)
        if pool is None:
            return request.priority
        return pool.engine_priority(self._with_account(request), now)

    def reserved_groups(
        self, request: base.RequestView, now: float
    ) -> frozenset[str]:
        """Return the groups to exclude from the choice for a request.

        When no other group can be chosen, the request may go there all the
        same.
        """
        pool = self._pools.get(request.model)
        if pool is None:
            return frozenset()
        account = self._with_account(request)
        return pool.reserved_groups(account.workspace, now)

    def allow_retry(self, request: base.RequestView, now: float) -> bool:
        """Take a further attempt for a request from the retry budget.

        Whether the request may run again is for the caller to decide.
        """
        del request, now
        return self._budget.take()

    def hedge_delay(
        self, request: base.RequestView, now: float
    ) -> float | None:
        """Return when to think of a hedge, in seconds after sending."""
        del now
        pool = self._pools.get(request.model)
        if pool is None or not request.idempotent:
            return None
        return pool.hedging.delay(request.prompt_tokens)

    def allow_hedge(self, request: base.RequestView, now: float) -> bool:
        """Tell whether to send a hedge now, and take it from the budget."""
        pool = self._pools.get(request.model)
        if pool is None or not request.idempotent:
            return False
        if self._budget.tokens < 1.0 + HEDGE_RESERVE:
            return False
        if not pool.hedging.pays(pool.load(), now):
            return False
        return self._budget.take(reserve=HEDGE_RESERVE)

    def observe_hedge(self, request_id: str, won: bool, now: float) -> None:
        """Learn whether the hedge of a running request came first."""
        del now
        entry = self._running.get(request_id)
        if entry is not None:
            self._pools[entry.request.model].hedging.observe_hedge(won)

    def observe_groups(
        self, endpoints: Sequence[base.Endpoint], now: float
    ) -> None:
        """Learn which groups are whole and serving now."""
        del now
        groups: dict[str, list[str]] = {model: [] for model in self._pools}
        for endpoint in endpoints:
            groups.setdefault(endpoint.model, []).append(endpoint.group)
        for model, names in groups.items():
            if model not in self._pools:
                self._pools[model] = pools.Pool()
                self._pools[model].set_shares(self._shares)
            maximum = self._maximums.get(model, concurrency.MAX_LIMIT)
            self._pools[model].set_groups(tuple(names), self._nodes, maximum)

    def observe_first_token(
        self, request_id: str, group: str, waited: float, now: float
    ) -> None:
        """Learn that the first token came `waited` seconds after sending."""
        entry = self._running.get(request_id)
        if entry is None or entry.group:
            return
        self._running[request_id] = entry._replace(group=group)
        pool = self._pools[entry.request.model]
        pool.observe_first_token(entry.request, group, waited, now)

    def observe_load(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Learn from a load report of a group."""
        del now
        limit = self._find_limit(group)
        if limit is not None:
            limit.on_load(load["waiting"])

    def observe_refusal(self, group: str, now: float) -> None:
        """Learn that a group refused a request because of overload."""
        del now
        limit = self._find_limit(group)
        if limit is not None:
            limit.on_overload()

    def observe_members(self, members: Iterable[str], now: float) -> None:
        """Learn all nodes that may run requests, reachable or not."""
        del now
        members = frozenset(members) | {self._node}
        self._quota.observe_members(members)
        self._nodes = len(members)
        for model, pool in self._pools.items():
            maximum = self._maximums.get(model, concurrency.MAX_LIMIT)
            pool.set_groups(tuple(pool.group_limits), self._nodes, maximum)

    def observe_peer_shares(
        self, uses: Iterable[interfaces.NodeUse], now: float
    ) -> None:
        """Learn what peers run of the bounded workspaces."""
        for use in uses:
            self._quota.observe_peer(use, now)

    def shares(self, now: float) -> tuple[interfaces.NodeUse, ...]:
        """Return the use of this node and of its peers, for an exchange."""
        own = interfaces.NodeUse(
            node=self._node, age_ms=0, uses=self._own_uses()
        )
        return (own, *self._quota.peer_uses(now))

    def load(self) -> float:
        """Return the share of all places that is taken, 0 to about 1."""
        capacity = sum(pool.capacity() for pool in self._pools.values())
        return len(self._running) / capacity if capacity else 0.0

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump, as JSON values."""
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "retry_tokens": round(self._budget.tokens, 2),
            "models": {
                model: pool.snapshot() for model, pool in self._pools.items()
            },
            "quotas": {
                name: self._quota.allowed(name)
                for name in self._quota.bounded()
            },
        }

    def _with_account(self, request: base.RequestView) -> base.RequestView:
        if request.workspace in self._shares:
            return request
        return request._replace(workspace=UNLISTED)

    def _may_start(self, pool: pools.Pool, workspace: str, now: float) -> bool:
        if not self._is_within_quota(workspace):
            return False
        return pool.has_place(workspace, now)

    def _is_within_quota(self, workspace: str) -> bool:
        if not self._quota.is_bounded(workspace):
            return True
        allowed = self._quota.allowed(workspace)
        return self._in_flight[workspace] < allowed

    def _start(
        self,
        pool: pools.Pool,
        request: base.RequestView,
        cost: float,
        now: float,
    ) -> None:
        self._running[request.request_id] = _Running(request, cost)
        self._in_flight[request.workspace] += 1
        self._budget.on_request()
        pool.start(request, now)

    def _admit_from(self, pool: pools.Pool, now: float) -> tuple[str, ...]:
        admitted: list[str] = []
        while True:
            entry = pool.queue.pop(
                pool.share_of,
                lambda name: self._may_start(pool, name, now),
            )
            if entry is None:
                return tuple(admitted)
            del self._waiting[entry.request.request_id]
            self._start(pool, entry.request, entry.cost, now)
            admitted.append(entry.request.request_id)

    def _enqueue(
        self, pool: pools.Pool, request: base.RequestView, now: float
    ) -> verdicts.Verdict:
        if self._is_within_quota(request.workspace):
            pool.note_saturated(now)
            refusal = verdicts.RejectCode.OVERLOADED
        else:
            refusal = verdicts.RejectCode.WORKSPACE_LIMIT
        longest = pool.longest_wait(self._max_wait_s, now)
        longest = min(longest, request.deadline - now)
        if pool.expected_wait(request, now) > longest:
            return self._reject(request, refusal, now)
        displaced: tuple[verdicts.Rejected, ...] = ()
        if len(self._waiting) >= self._max_queue:
            victim = pool.find_displaced(request)
            if victim is None:
                code = verdicts.RejectCode.QUEUE_FULL
                return self._reject(request, code, now)
            self.cancel(victim.request_id, now)
            code = verdicts.RejectCode.QUEUE_FULL
            displaced = (self._reject(victim, code, now),)
        pool.queue.push(request, pool.estimate_cost(request), now)
        self._waiting[request.request_id] = request
        return verdicts.Queued(request.request_id, len(pool.queue), displaced)

    def _expired(
        self, pool: pools.Pool, entry: fairness.Waiting, now: float
    ) -> verdicts.RejectCode | None:
        if not pool.capacity():
            return verdicts.RejectCode.NO_GROUP
        if entry.request.deadline <= now:
            return verdicts.RejectCode.DEADLINE
        if now - entry.since >= pool.longest_wait(self._max_wait_s, now):
            return verdicts.RejectCode.QUEUE_TIMEOUT
        return None

    def _reject(
        self,
        request: base.RequestView,
        code: verdicts.RejectCode,
        now: float,
    ) -> verdicts.Rejected:
        pool = self._pools[request.model]
        if code is verdicts.RejectCode.NO_GROUP:
            return _reject_without_group(request)
        return verdicts.Rejected(
            request.request_id, code, pool.book(request.workspace, now)
        )

    def _own_uses(self) -> tuple[interfaces.WorkspaceUse, ...]:
        waiting = collections.Counter(
            request.workspace for request in self._waiting.values()
        )
        return tuple(
            interfaces.WorkspaceUse(
                workspace=name,
                in_flight=self._in_flight[name],
                waiting=waiting[name],
                reserved=self._quota.reserved(name),
            )
            for name in self._quota.bounded()
        )

    def _find_limit(self, group: str) -> concurrency.GroupLimit | None:
        for pool in self._pools.values():
            if group in pool.group_limits:
                return pool.group_limits[group]
        return None


def _reject_without_group(request: base.RequestView) -> verdicts.Rejected:
    return verdicts.Rejected(
        request.request_id, verdicts.RejectCode.NO_GROUP, NO_GROUP_RETRY_S
    )
