"""Admission control of a node, the facade of all limits.

Each offered request has exactly one outcome: admitted and later released,
rejected, or cancelled. A rejected request has not run; its caller gets the
rejection at once, with the delay after which to retry.

The node calls `admit` and `expire` several times a second, and sends the
requests that `release` and `admit` return.
"""

from chervilrock.decisions.limits import (
    fairness,
    state,
    verdicts,
)
from chervilrock.decisions.limits import pool as pools
from chervilrock.decisions.routing import base

NO_GROUP_RETRY_S = 2.0
"""Retry delay for a caller while no group serves the model."""

HEDGE_RESERVE = 1.0
"""Tokens of the retry budget that hedges leave for retries."""


class Admission(state.LimitState):
    """Decides which requests run at once, wait, or are rejected."""

    def offer(self, request: base.RequestView, now: float) -> verdicts.Verdict:
        """Decide on a request that has arrived.

        Args:
          request: the request; its identity must be new.
          now: present time.

        Returns:
          Whether it runs now, waits, or is rejected. The requests in
          `Queued.displaced` are rejected by this call, and their callers must
          be answered at once.

        Raises:
          ValueError: a request with this identity runs or waits already.
        """
        if request.request_id in self._requests:
            raise ValueError(f"request {request.request_id} offered twice")
        pool = self._pools.get(request.model)
        if pool is None or not pool.capacity():
            return _reject_without_group(request)
        request = self._account_for(request)
        if request.deadline <= now:
            return self._reject(request, verdicts.RejectCode.DEADLINE, now)
        pool.usage.record_active(request.workspace, now)
        is_first = not pool.queue.count(request.workspace)
        if is_first and self._may_start(pool, request.workspace):
            cost = pool.estimate_cost(request)
            pool.charge(request, cost)
            self._start(pool, request, cost, now)
            return verdicts.Admitted(request.request_id)
        return self._enqueue(pool, request, now)

    def release(
        self, request_id: str, now: float, ok: bool, *, tokens: int = 0
    ) -> tuple[str, ...]:
        """Record that an admitted request has ended.

        A second call for the same request changes nothing.

        Args:
          request_id: identity of the request.
          now: present time.
          ok: whether it received its whole answer.
          tokens: number of tokens of its answer.

        Returns:
          Identities of the waiting requests that are admitted now.
        """
        entry = self._requests.finish(request_id)
        if entry is None:
            return ()
        pool = self._pools[entry.request.model]
        pool.finish(entry, ok, tokens, now)
        return self._admit_from(pool, now)

    def admit(self, now: float) -> tuple[str, ...]:
        """Adapt the limits, and admit the requests that get a slot."""
        self._quota.update(self._own_uses(), now)
        admitted: list[str] = []
        for model, pool in list(self._pools.items()):
            pool.adjust(now)
            admitted += self._admit_from(pool, now)
            if pool.is_unused():
                del self._pools[model]
        return tuple(admitted)

    def expire(self, now: float) -> tuple[verdicts.Rejected, ...]:
        """Reject waiting requests that timed out or have no group left."""
        rejected: list[verdicts.Rejected] = []
        for pool in self._pools.values():
            for entry in list(pool.queue):
                code = self._find_expiry_code(pool, entry, now)
                if code is not None:
                    self.cancel(entry.request.request_id, now)
                    rejected.append(self._reject(entry.request, code, now))
        return tuple(rejected)

    def cancel(self, request_id: str, now: float) -> bool:
        """Remove a waiting request whose caller has disconnected.

        Returns:
          Whether it waited; a running request must be released instead.
        """
        del now
        request = self._requests.remove_waiting(request_id)
        if request is None:
            return False
        self._pools[request.model].queue.remove(request)
        return True

    def engine_priority(self, request: base.RequestView, now: float) -> int:
        """Return the priority to send to the engine, 0 (first) to 9."""
        pool = self._pools.get(request.model)
        if pool is None:
            return request.priority
        return pool.engine_priority(self._account_for(request), now)

    def reserved_groups(
        self, request: base.RequestView, now: float
    ) -> frozenset[str]:
        """Return the groups to exclude from the choice for a request.

        If no other group can be chosen, the request may still go to one of
        these.
        """
        pool = self._pools.get(request.model)
        if pool is None:
            return frozenset()
        account = self._account_for(request)
        return pool.reserved_groups(account.workspace, now)

    def allow_retry(self, request: base.RequestView, now: float) -> bool:
        """Charge the retry budget for a further attempt, if it allows one.

        The caller decides whether the request is safe to run again.
        """
        del request, now
        return self._budget.consume()

    def hedge_delay(
        self, request: base.RequestView, now: float
    ) -> float | None:
        """Return the delay in seconds after sending to consider a hedge."""
        del now
        pool = self._pools.get(request.model)
        if pool is None or not request.idempotent:
            return None
        return pool.hedging.delay(request.prompt_tokens)

    def allow_hedge(self, request: base.RequestView, now: float) -> bool:
        """Return whether to send a hedge now, and charge the budget for it."""
        pool = self._pools.get(request.model)
        if pool is None or not request.idempotent:
            return False
        if self._budget.tokens < 1.0 + HEDGE_RESERVE:
            return False
        if not pool.hedging.is_worthwhile(pool.load(), now):
            return False
        return self._budget.consume(reserve=HEDGE_RESERVE)

    def _may_start(self, pool: pools.Pool, workspace: str) -> bool:
        return self._is_within_quota(workspace) and pool.has_slot(workspace)

    def _is_within_quota(self, workspace: str) -> bool:
        if not self._quota.is_bounded(workspace):
            return True
        allowed = self._quota.allowed(workspace)
        return self._requests.running_of(workspace) < allowed

    def _start(
        self,
        pool: pools.Pool,
        request: base.RequestView,
        cost: float,
        now: float,
    ) -> None:
        self._requests.start(request, cost)
        self._budget.on_request()
        pool.usage.start(request.workspace, now)

    def _admit_from(self, pool: pools.Pool, now: float) -> tuple[str, ...]:
        admitted: list[str] = []
        while True:
            entry = pool.queue.pop(
                pool.usage.share_of,
                lambda name: self._may_start(pool, name),
            )
            if entry is None:
                return tuple(admitted)
            self._requests.remove_waiting(entry.request.request_id)
            self._start(pool, entry.request, entry.cost, now)
            admitted.append(entry.request.request_id)

    def _enqueue(
        self, pool: pools.Pool, request: base.RequestView, now: float
    ) -> verdicts.Verdict:
        if self._is_within_quota(request.workspace):
            pool.record_saturated(now)
            reject_code = verdicts.RejectCode.OVERLOADED
        else:
            reject_code = verdicts.RejectCode.WORKSPACE_LIMIT
        wait_limit_s = pool.longest_wait(self._settings.max_wait_s, now)
        wait_limit_s = min(wait_limit_s, request.deadline - now)
        if pool.expected_wait(request, now) > wait_limit_s:
            return self._reject(request, reject_code, now)
        displaced: tuple[verdicts.Rejected, ...] = ()
        if self._requests.waiting >= self._settings.max_queue:
            code = verdicts.RejectCode.QUEUE_FULL
            victim = pool.find_displaced(request)
            if victim is None:
                return self._reject(request, code, now)
            self.cancel(victim.request_id, now)
            displaced = (self._reject(victim, code, now),)
        pool.queue.push(request, pool.estimate_cost(request), now)
        self._requests.add_waiting(request)
        return verdicts.Queued(request.request_id, len(pool.queue), displaced)

    def _find_expiry_code(
        self, pool: pools.Pool, entry: fairness.WaitingRequest, now: float
    ) -> verdicts.RejectCode | None:
        if not pool.capacity():
            return verdicts.RejectCode.NO_GROUP
        if entry.request.deadline <= now:
            return verdicts.RejectCode.DEADLINE
        wait_limit_s = pool.longest_wait(self._settings.max_wait_s, now)
        if now - entry.since >= wait_limit_s:
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
            request.request_id,
            code,
            pool.schedule_retry(request.workspace, now),
        )


def _reject_without_group(request: base.RequestView) -> verdicts.Rejected:
    return verdicts.Rejected(
        request.request_id, verdicts.RejectCode.NO_GROUP, NO_GROUP_RETRY_S
    )
