"""Admission of requests at a node: the facade of all limits.

Each request that is offered ends in exactly one way: admitted and later
released, rejected, or cancelled. A rejected request was not run, and its
caller is told at once and when to come back.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

from chervilrock.decisions.limits import concurrency, fairness, verdicts
from chervilrock.decisions.routing import base
from chervilrock.generated import configuration

DEFAULT_QUEUE = 256
DEFAULT_QUEUE_WAIT_MS = 2000
DEFAULT_RETRY_AFTER_S = 1.0


class _Running(NamedTuple):
    request: base.RequestView
    cost: float
    since: float


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
        self._limits = limits
        self._workspaces = {spec["name"]: spec for spec in workspaces}
        self._groups: dict[str, concurrency.GroupLimit] = {}
        self._models: dict[str, tuple[str, ...]] = {}
        self._running: dict[str, _Running] = {}
        self._waiting: dict[str, base.RequestView] = {}
        self._queue = fairness.FairQueue()

    def offer(self, request: base.RequestView, now: float) -> verdicts.Verdict:
        """Decide on a request that has arrived.

        Returns:
          Whether it runs now, waits, or is rejected. The requests in
          `Queued.displaced` are rejected with it and need their answer now.
        """
        if not self._capacity(request.model):
            return self._reject(request, verdicts.RejectCode.NO_GROUP)
        if request.deadline <= now:
            return self._reject(request, verdicts.RejectCode.DEADLINE)
        if not self._waiting and self._has_place(request.model):
            self._start(request, now)
            return verdicts.Admitted(request.request_id)
        if len(self._queue) >= self._limits.get("queue", DEFAULT_QUEUE):
            return self._reject(request, verdicts.RejectCode.QUEUE_FULL)
        self._queue.push(request, _estimate_cost(request), now)
        self._waiting[request.request_id] = request
        return verdicts.Queued(request.request_id, len(self._queue))

    def release(
        self, request_id: str, now: float, ok: bool, *, tokens: int = 0
    ) -> tuple[str, ...]:
        """Take note that an admitted request has ended.

        Args:
          request_id: identity of the request.
          now: present time.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.

        Returns:
          The requests that are admitted now in its place.
        """
        self._running.pop(request_id, None)
        return self.admit(now)

    def admit(self, now: float) -> tuple[str, ...]:
        """Admit the requests that wait and now find a place."""
        admitted: list[str] = []
        while True:
            entry = self._queue.pop(self._share_of, lambda _: True)
            if entry is None:
                return tuple(admitted)
            if not self._has_place(entry.request.model):
                self._queue.push(entry.request, entry.cost, entry.since)
                return tuple(admitted)
            del self._waiting[entry.request.request_id]
            self._start(entry.request, now)
            admitted.append(entry.request.request_id)

    def expire(self, now: float) -> tuple[verdicts.Rejected, ...]:
        """Reject the requests that have waited too long."""
        longest = self._limits.get("queue_wait_ms", DEFAULT_QUEUE_WAIT_MS)
        rejected = []
        for entry in list(self._queue):
            code = None
            if entry.request.deadline <= now:
                code = verdicts.RejectCode.DEADLINE
            elif now - entry.since >= longest / 1000.0:
                code = verdicts.RejectCode.QUEUE_TIMEOUT
            if code is not None:
                self.cancel(entry.request.request_id, now)
                rejected.append(self._reject(entry.request, code))
        return tuple(rejected)

    def cancel(self, request_id: str, now: float) -> bool:
        """Forget a request that waits, since its caller is gone.

        Returns:
          Whether it waited; a running request has to be released instead.
        """
        request = self._waiting.pop(request_id, None)
        if request is None:
            return False
        self._queue.remove(request)
        return True

    def set_limits(
        self,
        limits: configuration.LimitSpec,
        workspaces: Sequence[configuration.WorkspaceSpec],
        now: float,
    ) -> None:
        """Put the limits of a new configuration in force."""
        self._limits = limits
        self._workspaces = {spec["name"]: spec for spec in workspaces}

    def observe_groups(
        self, endpoints: Sequence[base.Endpoint], now: float
    ) -> None:
        """Learn which groups are whole and serving now."""
        models: dict[str, list[str]] = {}
        groups = {}
        for endpoint in endpoints:
            models.setdefault(endpoint.model, []).append(endpoint.group)
            known = self._groups.get(endpoint.group)
            groups[endpoint.group] = known or concurrency.GroupLimit()
        self._groups = groups
        self._models = {name: tuple(found) for name, found in models.items()}

    def observe_first_token(
        self, request_id: str, group: str, waited: float, now: float
    ) -> None:
        """Learn that the first token came `waited` seconds after sending."""

    def observe_refusal(self, group: str, now: float) -> None:
        """Learn that a group refused a request because of overload."""
        if group in self._groups:
            self._groups[group].on_overload(now)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump, as JSON values."""
        return {
            "running": len(self._running),
            "waiting": len(self._queue),
            "groups": {
                name: round(limit.limit, 2)
                for name, limit in self._groups.items()
            },
        }

    def _capacity(self, model: str) -> int:
        groups = self._models.get(model, ())
        return int(sum(self._groups[name].limit for name in groups))

    def _has_place(self, model: str) -> bool:
        running = sum(
            1
            for entry in self._running.values()
            if entry.request.model == model
        )
        return running < self._capacity(model)

    def _start(self, request: base.RequestView, now: float) -> None:
        cost = _estimate_cost(request)
        self._running[request.request_id] = _Running(request, cost, now)

    def _share_of(self, workspace: str) -> float:
        spec = self._workspaces.get(workspace)
        return spec.get("share", 1.0) if spec else 1.0

    def _reject(
        self, request: base.RequestView, code: verdicts.RejectCode
    ) -> verdicts.Rejected:
        return verdicts.Rejected(
            request.request_id, code, DEFAULT_RETRY_AFTER_S
        )


def _estimate_cost(request: base.RequestView) -> float:
    return float(request.prompt_tokens + request.max_tokens)
