"""Handlers for operators: apply, status, dump, metrics, health."""

import abc
from typing import Any

import msgspec
from tornado import routing, web

from chervilrock import metrics
from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.edges.errors import CallerError, ErrorCode, make_body
from chervilrock.generated.interfaces import Outcome
from chervilrock.generated.operators import (
    ApplyAnswer,
    ApplyFinding,
    ApplyRequest,
    StatusAnswer,
)

_APPLY_DECODER = Decoder(ApplyRequest)
_STATUS_CONFLICT = 409
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503


class OperatorContext(abc.ABC):
    """State of a node as the handlers for operators see it."""

    @abc.abstractmethod
    async def apply(self, request: ApplyRequest) -> ApplyAnswer | CallerError:
        """Append a configuration to the log and wait until it is read back.

        Returns:
          The result, or an error whose outcome shows whether the configuration
          may still come into force.
        """

    @abc.abstractmethod
    async def report_status(self) -> StatusAnswer:
        """Return the state of the installation in the view of this node."""

    @abc.abstractmethod
    async def dump_state(self) -> dict[str, Any]:
        """Return the complete state of this process as JSON values."""

    @abc.abstractmethod
    def render_metrics(self) -> bytes:
        """Return the metrics as Prometheus text."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether callers should use this node."""


class _Handler(web.RequestHandler):
    """Base of the handlers for operators."""

    context: OperatorContext

    def initialize(self, context: OperatorContext) -> None:
        """Store the state of the node."""
        self.context = context

    def write_json(self, value: object, status: int = 200) -> None:
        """Answer with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(msgspec.json.encode(value, enc_hook=str))

    def write_failure(self, error: CallerError) -> None:
        """Answer with an `ErrorBody`."""
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(make_body(error, ""))


class _ApplyHandler(_Handler):
    """Applies a configuration."""

    async def post(self) -> None:
        try:
            request = _APPLY_DECODER.decode(self.request.body)
        except UnreadableError as error:
            self.write_json(
                make_bad_request_answer(str(error)), _STATUS_BAD_REQUEST
            )
            return
        answer = await self.context.apply(request)
        if isinstance(answer, CallerError):
            self.write_failure(answer)
            return
        self.write_json(answer, choose_status(answer))


def make_bad_request_answer(message: str) -> ApplyAnswer:
    """Return the answer to a body that cannot be decoded."""
    finding = ApplyFinding(code="bad-request", message=message, hint="")
    return ApplyAnswer(accepted=False, revision=0, findings=(finding,))


def choose_status(answer: ApplyAnswer) -> int:
    """Return the HTTP status for the answer to an apply request."""
    if answer["accepted"]:
        return 200
    if answer["findings"]:
        return _STATUS_BAD_REQUEST
    return _STATUS_CONFLICT


class _StatusHandler(_Handler):
    """Returns the state of the installation."""

    async def get(self) -> None:
        self.write_json(await self.context.report_status())


class _StateHandler(_Handler):
    """Dumps the state of this process."""

    async def get(self) -> None:
        self.write_json(await self.context.dump_state())


class _MetricsHandler(_Handler):
    """Returns the metrics as Prometheus text."""

    def get(self) -> None:
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(self.context.render_metrics())


class _HealthHandler(_Handler):
    """Answers as long as the process runs (liveness check)."""

    def get(self) -> None:
        self.write_json({"healthy": True})


class _ReadyHandler(_Handler):
    """Returns whether callers should use this node (readiness check)."""

    def get(self) -> None:
        ready = self.context.ready
        self.write_json({"ready": ready}, 200 if ready else _STATUS_UNAVAILABLE)


def make_operator_routes(context: OperatorContext) -> list[routing.URLSpec]:
    """Return the routes for operators."""
    arguments = {"context": context}
    handlers: tuple[tuple[str, type[_Handler]], ...] = (
        ("/admin/apply", _ApplyHandler),
        ("/admin/status", _StatusHandler),
        ("/state", _StateHandler),
        ("/metrics", _MetricsHandler),
        ("/health", _HealthHandler),
        ("/ready", _ReadyHandler),
    )
    return [
        routing.URLSpec(path, handler, arguments) for path, handler in handlers
    ]


def make_unavailable_error(message: str, *, sent: bool) -> CallerError:
    """Return the error for an apply request that the log did not confirm.

    Args:
      message: human-readable description.
      sent: whether the record was sent and so may still be in the log.
    """
    outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
    return CallerError(ErrorCode.LOG_UNAVAILABLE, message, outcome)
