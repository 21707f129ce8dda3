"""Queueing of requests until they are admitted or rejected."""

import asyncio

from chervilrock.decisions.limits import verdicts
from chervilrock.decisions.routing.base import RequestView
from chervilrock.edges.context import RequestContext


class AdmissionGate:
    """Suspends the requests that admission control has queued.

    Every admitted request must be released.
    """

    def __init__(self, *, context: RequestContext) -> None:
        """Creates a gate without waiting requests.

        Args:
          context: the node, which provides admission control.
        """
        self._context = context
        self._waiting: dict[str, asyncio.Future[verdicts.Rejected | None]] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    async def acquire(self, request: RequestView) -> verdicts.Rejected | None:
        """Waits until a request is admitted or rejected.

        Returns:
          None if the request is admitted, else the rejection. A request that
          is withdrawn while it waits is rejected.
        """
        verdict = self._context.admission.offer(request, self._context.now())
        if isinstance(verdict, verdicts.Admitted):
            return None
        if isinstance(verdict, verdicts.Rejected):
            return verdict
        self._reject(verdict.displaced)
        decision: asyncio.Future[verdicts.Rejected | None]
        decision = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = decision
        return await decision

    def release(self, request_id: str, *, ok: bool, tokens: int) -> None:
        """Releases the slot of an admitted request and admits waiting ones.

        Args:
          request_id: identifier of the request.
          ok: whether its answer is complete.
          tokens: number of tokens of its answer.
        """
        now = self._context.now()
        admission = self._context.admission
        self._admit(admission.release(request_id, now, ok, tokens=tokens))

    def withdraw(self, request_id: str) -> None:
        """Removes a waiting request whose caller has disconnected."""
        decision = self._waiting.pop(request_id, None)
        if decision is None:
            return
        self._context.admission.cancel(request_id, self._context.now())
        code = verdicts.RejectCode.DEADLINE
        decision.set_result(verdicts.Rejected(request_id, code, 0.0))

    def sweep(self, now: float) -> None:
        """Rejects requests that waited too long and admits any that can run."""
        self._reject(self._context.admission.expire(now))
        self._admit(self._context.admission.admit(now))

    def _admit(self, request_ids: tuple[str, ...]) -> None:
        for request_id in request_ids:
            decision = self._waiting.pop(request_id, None)
            if decision is not None:
                decision.set_result(None)

    def _reject(self, rejections: tuple[verdicts.Rejected, ...]) -> None:
        for rejected in rejections:
            decision = self._waiting.pop(rejected.request_id, None)
            if decision is not None:
                decision.set_result(rejected)
