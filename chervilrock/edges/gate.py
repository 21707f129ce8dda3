"""Waits for the admission of requests."""

import asyncio

from chervilrock.decisions.limits import verdicts
from chervilrock.decisions.routing.base import RequestView
from chervilrock.edges.context import RequestContext


class AdmissionGate:
    """Holds the requests that the admission let wait.

    Every request that entered has to leave.
    """

    def __init__(self, *, context: RequestContext) -> None:
        """Makes a gate with nobody waiting.

        Args:
          context: node with the admission.
        """
        self._context = context
        self._waiting: dict[str, asyncio.Future[verdicts.Rejected | None]] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    async def enter(self, request: RequestView) -> verdicts.Rejected | None:
        """Waits until a request is admitted or rejected.

        Returns:
          None when it is admitted, else why not. A request that was withdrawn
          meanwhile is rejected.
        """
        verdict = self._context.admission.offer(request, self._context.now())
        if isinstance(verdict, verdicts.Admitted):
            return None
        if isinstance(verdict, verdicts.Rejected):
            return verdict
        self._reject(verdict.displaced)
        decided: asyncio.Future[verdicts.Rejected | None]
        decided = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = decided
        return await decided

    def leave(self, request_id: str, *, ok: bool, tokens: int) -> None:
        """Gives the place of an admitted request to others.

        Args:
          request_id: identity of the request.
          ok: whether it got its whole answer.
          tokens: tokens of its answer.
        """
        now = self._context.now()
        admission = self._context.admission
        self._admit(admission.release(request_id, now, ok, tokens=tokens))

    def withdraw(self, request_id: str) -> None:
        """Takes out a request that still waits, since its caller is gone."""
        decided = self._waiting.pop(request_id, None)
        if decided is None:
            return
        self._context.admission.cancel(request_id, self._context.now())
        code = verdicts.RejectCode.DEADLINE
        decided.set_result(verdicts.Rejected(request_id, code, 0.0))

    def sweep(self, now: float) -> None:
        """Rejects those that waited too long and admits those that can run."""
        self._reject(self._context.admission.expire(now))
        self._admit(self._context.admission.admit(now))

    def _admit(self, request_ids: tuple[str, ...]) -> None:
        for request_id in request_ids:
            decided = self._waiting.pop(request_id, None)
            if decided is not None:
                decided.set_result(None)

    def _reject(self, rejections: tuple[verdicts.Rejected, ...]) -> None:
        for rejected in rejections:
            decided = self._waiting.pop(rejected.request_id, None)
            if decided is not None:
                decided.set_result(rejected)
