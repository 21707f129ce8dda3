"""Admission of requests at a node: the facade of all limits.

Each request that is offered ends in exactly one way: admitted and later
released, rejected, or cancelled. A rejected request was not run, and its
caller is told at once and when to come back.

The node calls `admit` and `expire` several times a second, and sends what
`release` and `admit` return.
"""

from chervilrock.decisions.limits import (
    fairness,
    state,
    verdicts,
)
from chervilrock.decisions.limits import pool as pools
from chervilrock.decisions.routing import base

NO_GROUP_RETRY_S = 2.0
"""Delay for a caller while no group serves the model."""

HEDGE_RESERVE = 1.0
"""Tokens of the retry budget that hedges leave to retries."""


class Admission(state.LimitState):
    """Decides which requests run now, wait, or are rejected."""

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
        if request.request_id in self._ledger:
            raise ValueError(f"request {request.request_id} offered twice")
        pool = self._pools.get(request.model)
        if pool is None or not pool.capacity():
            return _reject_without_group(request)
        request = self._account_for(request)
        if request.deadline <= now:
            return self._reject(request, verdicts.RejectCode.DEADLINE, now)
        pool.usage.note_active(request.workspace, now)
        first = not pool.queue.count(request.workspace)
        if first and self._may_start(pool, request.workspace):
            cost = pool.estimate_cost(request)
            pool.charge(request, cost)
            self._start(pool, request, cost, now)
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
        entry = self._ledger.finish(request_id)
        if entry is None:
            return ()
        pool = self._pools[entry.request.model]
        pool.finish(entry, ok, tokens, now)
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
        request = self._ledger.leave(request_id)
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

        When no other group can be chosen, the request may go there all the
        same.
        """
        pool = self._pools.get(request.model)
        if pool is None:
            return frozenset()
        account = self._account_for(request)
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

    def _may_start(self, pool: pools.Pool, workspace: str) -> bool:
        return self._is_within_quota(workspace) and pool.has_place(workspace)

    def _is_within_quota(self, workspace: str) -> bool:
        if not self._quota.is_bounded(workspace):
            return True
        allowed = self._quota.allowed(workspace)
        return self._ledger.running_of(workspace) < allowed

    def _start(
        self,
        pool: pools.Pool,
        request: base.RequestView,
        cost: float,
        now: float,
    ) -> None:
        self._ledger.start(request, cost)
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
            self._ledger.leave(entry.request.request_id)
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
        longest = pool.longest_wait(self._settings.max_wait_s, now)
        longest = min(longest, request.deadline - now)
        if pool.expected_wait(request, now) > longest:
            return self._reject(request, refusal, now)
        displaced: tuple[verdicts.Rejected, ...] = ()
        if self._ledger.waiting >= self._settings.max_queue:
            code = verdicts.RejectCode.QUEUE_FULL
            victim = pool.find_displaced(request)
            if victim is None:
                return self._reject(request, code, now)
            self.cancel(victim.request_id, now)
            displaced = (self._reject(victim, code, now),)
        pool.queue.push(request, pool.estimate_cost(request), now)
        self._ledger.wait(request)
        return verdicts.Queued(request.request_id, len(pool.queue), displaced)

    def _expired(
        self, pool: pools.Pool, entry: fairness.Waiting, now: float
    ) -> verdicts.RejectCode | None:
        if not pool.capacity():
            return verdicts.RejectCode.NO_GROUP
        if entry.request.deadline <= now:
            return verdicts.RejectCode.DEADLINE
        longest = pool.longest_wait(self._settings.max_wait_s, now)
        if now - entry.since >= longest:
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


def _reject_without_group(request: base.RequestView) -> verdicts.Rejected:
    return verdicts.Rejected(
        request.request_id, verdicts.RejectCode.NO_GROUP, NO_GROUP_RETRY_S
    )
