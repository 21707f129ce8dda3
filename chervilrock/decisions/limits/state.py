"""State of the limits of a node, and the observations that update it.

`chervilrock.decisions.limits.admission` makes its decisions from this state.
"""

from collections.abc import Iterable, Sequence
from typing import Any

from chervilrock.decisions.limits import (
    concurrency,
    requesttracker,
    retries,
    settings,
)
from chervilrock.decisions.limits import pool as pools
from chervilrock.decisions.limits import quota as quotas
from chervilrock.decisions.routing import base
from chervilrock.generated import configuration, interfaces

UNLISTED_WORKSPACE = "default"
"""Workspace that represents all workspaces missing in the configuration.

They have one share together, so that invented names gain no slots.
"""


class LimitState:
    """Pools of the models, requests of this node, quotas and retry budget."""

    def __init__(
        self,
        *,
        node: str,
        limits: configuration.LimitSpec,
        workspaces: Sequence[configuration.WorkspaceSpec] = (),
    ) -> None:
        """Create the state without groups.

        Args:
          node: identifier of this node.
          limits: limits of the configuration.
          workspaces: workspaces of the configuration.
        """
        self._node = node
        self._nodes = 1
        self._pools: dict[str, pools.Pool] = {}
        self._requests = requesttracker.RequestTracker()
        self._quota = quotas.Quota(node=node)
        self._budget = retries.RetryBudget()
        self._settings = settings.read_settings(limits, workspaces, ())
        self._apply_settings()

    def set_limits(
        self,
        limits: configuration.LimitSpec,
        workspaces: Sequence[configuration.WorkspaceSpec],
        now: float,
        *,
        services: Sequence[configuration.ServiceSpec] = (),
    ) -> None:
        """Apply the limits of a configuration.

        Running and waiting requests are kept; later decisions use the new
        limits.

        Args:
          limits: limits of the configuration.
          workspaces: workspaces of the configuration.
          now: present time.
          services: plain services, each treated as a model of its name.
        """
        del now
        self._settings = settings.read_settings(limits, workspaces, services)
        self._apply_settings()

    def observe_hedge(self, request_id: str, won: bool, now: float) -> None:
        """Record whether the hedge of a running request answered first."""
        del now
        entry = self._requests.find_running(request_id)
        if entry is not None:
            self._pools[entry.request.model].hedging.observe_hedge(won)

    def observe_groups(
        self, endpoints: Sequence[base.Endpoint], now: float
    ) -> None:
        """Set the groups that are complete and serving now."""
        del now
        groups: dict[str, list[str]] = {model: [] for model in self._pools}
        for endpoint in endpoints:
            groups.setdefault(endpoint.model, []).append(endpoint.group)
        for model, names in groups.items():
            if model not in self._pools:
                self._pools[model] = pools.Pool()
                self._pools[model].usage.set_shares(self._settings.shares)
            self._set_groups(model, tuple(names))

    def observe_first_token(
        self, request_id: str, group: str, waited_s: float, now: float
    ) -> None:
        """Record a first token `waited_s` seconds after sending."""
        entry = self._requests.find_running(request_id)
        if entry is None or entry.group:
            return
        self._requests.record_group(request_id, group)
        pool = self._pools[entry.request.model]
        pool.observe_first_token(entry.request, group, waited_s, now)

    def observe_load(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Record a load report of a group."""
        del now
        limit = self._find_limit(group)
        if limit is not None:
            limit.on_load(load["waiting"])

    def observe_overload(self, group: str, now: float) -> None:
        """Record that a group rejected a request because of overload."""
        del now
        limit = self._find_limit(group)
        if limit is not None:
            limit.on_overload()

    def observe_members(self, members: Iterable[str], now: float) -> None:
        """Set all nodes that may run requests, reachable or not."""
        del now
        members = frozenset(members) | {self._node}
        self._quota.observe_members(members)
        self._nodes = len(members)
        for model, pool in self._pools.items():
            self._set_groups(model, tuple(pool.group_limits))

    def observe_peer_uses(
        self, uses: Iterable[interfaces.NodeUse], now: float
    ) -> None:
        """Record the use of the bounded workspaces at peers."""
        for use in uses:
            self._quota.observe_peer(use, now)

    def shares(self, now: float) -> tuple[interfaces.NodeUse, ...]:
        """Return the use of this node and its peers, to send to a peer."""
        own = interfaces.NodeUse(
            node=self._node, age_ms=0, uses=self._own_uses()
        )
        return (own, *self._quota.peer_uses(now))

    def load(self) -> float:
        """Return the fraction of all slots in use, 0 to about 1."""
        capacity = sum(pool.capacity() for pool in self._pools.values())
        return self._requests.running / capacity if capacity else 0.0

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump, as JSON values."""
        return {
            "running": self._requests.running,
            "waiting": self._requests.waiting,
            "retry_tokens": round(self._budget.tokens, 2),
            "models": {
                model: pool.snapshot() for model, pool in self._pools.items()
            },
            "quotas": {
                name: self._quota.allowed(name)
                for name in self._quota.bounded()
            },
        }

    def _apply_settings(self) -> None:
        self._budget.set_ratio(self._settings.retry_ratio)
        self._quota.set_bounds(
            self._settings.bounds,
            max_request_s=self._settings.request_timeout_s,
        )
        for model, pool in self._pools.items():
            pool.usage.set_shares(self._settings.shares)
            self._set_groups(model, tuple(pool.group_limits))

    def _set_groups(self, model: str, groups: tuple[str, ...]) -> None:
        maximum = self._settings.service_limits.get(
            model, concurrency.MAX_LIMIT
        )
        self._pools[model].set_groups(groups, self._nodes, maximum)

    def _account_for(self, request: base.RequestView) -> base.RequestView:
        if request.workspace in self._settings.shares:
            return request
        return request._replace(workspace=UNLISTED_WORKSPACE)

    def _own_uses(self) -> tuple[interfaces.WorkspaceUse, ...]:
        return tuple(
            interfaces.WorkspaceUse(
                workspace=name,
                in_flight=self._requests.running_of(name),
                waiting=self._requests.waiting_of(name),
                reserved=self._quota.reserved(name),
            )
            for name in self._quota.bounded()
        )

    def _find_limit(self, group: str) -> concurrency.GroupLimit | None:
        for pool in self._pools.values():
            if group in pool.group_limits:
                return pool.group_limits[group]
        return None
