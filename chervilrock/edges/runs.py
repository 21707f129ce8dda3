"""Base class for the runs of completions and of calls to plain services."""

import abc
from typing import NamedTuple

from chervilrock.decisions.limits.verdicts import Rejected
from chervilrock.decisions.requests.attempts import AttemptTracker, GiveUp
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.routing.base import RequestView
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath, Run
from chervilrock.edges.relay import Transfer, TransferEnd
from chervilrock.edges.sinks import AnswerSink
from chervilrock.events import emit, Event
from chervilrock.generated.interfaces import Outcome
from chervilrock.metrics import RequestOutcome

CALLER_STALL_S = 30.0
"""Time that a caller may read nothing before its answer is aborted."""

_CODES = {
    None: ErrorCode.NO_GROUP,
    AttemptEnd.NOT_SENT: ErrorCode.BACKEND_UNREACHABLE,
    AttemptEnd.REFUSED: ErrorCode.BACKEND_REFUSED,
    AttemptEnd.LOST: ErrorCode.BACKEND_LOST,
    AttemptEnd.DENIED: ErrorCode.BACKEND_DENIED,
    AttemptEnd.ERROR: ErrorCode.BACKEND_ERROR,
    AttemptEnd.BROKEN: ErrorCode.ANSWER_BROKEN,
    AttemptEnd.FOREIGN: ErrorCode.BACKEND_LOST,
}
_MESSAGES = {
    Outcome.NOT_RUN: "no backend server has run the request",
    Outcome.UNKNOWN: "a backend server may have run the request",
    Outcome.FAILED: "the request ran and ended without a whole answer",
}


class ErrorReply(NamedTuple):
    """An error that a backend server returned instead of an answer.

    Attributes:
      status: HTTP status, 0 if there was no reply.
      code: error code, empty if the reply has none.
      message: error message, empty if the reply has none.
      retry_after_s: requested delay before a retry, 0 if the reply has none.
    """

    status: int = 0
    code: str = ""
    message: str = ""
    retry_after_s: float = 0.0


class RunResult(NamedTuple):
    """Result of a run.

    Attributes:
      outcome: outcome of the request.
      error: error sent to the caller, None for a complete answer or when the
        caller has gone.
    """

    outcome: RequestOutcome
    error: CallerError | None


CANCELLED = RunResult(RequestOutcome.CANCELLED, None)
COMPLETE = RunResult(RequestOutcome.COMPLETE, None)


class BackendRun(Run):
    """Delivers one complete answer to its caller, or an accurate error.

    Attributes:
      view: the request as routing and admission see it.
    """

    def __init__(
        self, *, path: RequestPath, view: RequestView, sink: AnswerSink
    ) -> None:
        """Creates a run that has not started.

        Args:
          path: request path of the node.
          view: the request as routing and admission see it.
          sink: receives the answer.
        """
        self.view = view
        self._path = path
        self._context = path.context
        self._sink = sink
        self._tracker = AttemptTracker(
            request_id=view.request_id,
            idempotent=view.idempotent,
            deadline=view.deadline,
        )
        self._transfer: Transfer | None = None
        self._target = ""
        self._error_reply = ErrorReply()
        self._cancelled = False

    @property
    def blocked(self) -> bool:
        """See base class."""
        return self._sink.blocked_since is not None

    async def run(self) -> RunResult:
        """Runs the request to completion and records its metrics."""
        began = self._context.now()
        self._path.add_run(self)
        try:
            end = await self._run_with_admission()
        finally:
            self._path.remove_run(self)
        tokens = self.count_tokens()
        if tokens:
            self._context.metrics.count_tokens(
                model=self.view.model, tokens=tokens
            )
        self._context.metrics.count_request(
            workspace=self.view.workspace,
            model=self.view.model,
            outcome=end.outcome,
            seconds=self._context.now() - began,
        )
        return end

    def cancel(self) -> None:
        """Stops the run because its answer is no longer needed."""
        self._cancelled = True
        self._path.gate.withdraw(self.view.request_id)
        self._stop()

    def check(self, now: float) -> None:
        """See base class."""
        blocked_since = self._sink.blocked_since
        if blocked_since is not None and now - blocked_since > CALLER_STALL_S:
            self._sink.abort()
        elif self._transfer is not None and not self._cancelled:
            self.check_transfer(self._transfer, now)

    @abc.abstractmethod
    def check_transfer(self, transfer: Transfer, now: float) -> None:
        """Checks whether the transfer still makes progress."""

    @abc.abstractmethod
    async def run_admitted(self) -> RunResult:
        """Sends the request until its answer is complete or it is given up."""

    async def _run_with_admission(self) -> RunResult:
        rejected = await self._path.gate.acquire(self.view)
        if rejected is not None:
            return self._reject(rejected)
        ok = False
        try:
            end = CANCELLED if self._cancelled else await self.run_admitted()
            ok = end is COMPLETE
            return end
        finally:
            self._path.gate.release(
                self.view.request_id, ok=ok, tokens=self.count_tokens()
            )

    async def _transmit(self, transfer: Transfer) -> TransferEnd:
        """Runs a transfer, paused while the caller reads too slowly."""
        self._transfer = transfer
        self._sink.attach(transfer)
        try:
            return await self._path.transmit(transfer)
        finally:
            self._transfer = None
            self._sink.attach(None)

    def _stop(self) -> None:
        """Abandons the transfer because the rest of its answer is unusable."""
        if self._transfer is not None:
            self._transfer.abandon()

    def _reject(self, rejected: Rejected) -> RunResult:
        if self._cancelled:
            return CANCELLED
        emit(
            Event.REQUEST_REJECTED,
            request_id=self.view.request_id,
            workspace=self.view.workspace,
            reason=rejected.code.value,
        )
        error = CallerError(
            code=ErrorCode(rejected.code.value),
            message="the request was not sent to a backend server",
            outcome=Outcome.NOT_RUN,
            retry_after_s=rejected.retry_after_s,
        )
        return self._fail(error)

    def _give_up(self, decision: GiveUp) -> RunResult:
        """Sends the caller an error with the known outcome of the request."""
        error = self._make_error(decision)
        if error.outcome is Outcome.UNKNOWN:
            emit(
                Event.REQUEST_UNKNOWN,
                request_id=self.view.request_id,
                target=self._target,
                reason=error.code.value,
            )
        return self._fail(error)

    def _make_error(self, decision: GiveUp) -> CallerError:
        code = _CODES[decision.end]
        late = self._context.now() >= self.view.deadline
        if late and decision.end in (AttemptEnd.LOST, AttemptEnd.BROKEN):
            code = ErrorCode.DEADLINE_EXCEEDED
        return CallerError(
            code=code,
            message=self._error_reply.message or _MESSAGES[decision.outcome],
            outcome=decision.outcome,
            retry_after_s=self._error_reply.retry_after_s or None,
        )

    def _fail(self, error: CallerError) -> RunResult:
        self._sink.fail(error, may_retry=self.view.idempotent)
        return RunResult(RequestOutcome(error.outcome.value), error)
