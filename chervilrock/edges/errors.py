"""Error responses for callers."""

import enum
import math
from typing import NamedTuple

import msgspec

from chervilrock.generated.interfaces import ErrorBody, ErrorDetail, Outcome

OUTCOME_HEADER = "X-Outcome"
SHOULD_RETRY_HEADER = "X-Should-Retry"
"""Header that controls the automatic retries of common model clients.

Without it these clients retry a failed request on their own."""

DEFAULT_RETRY_AFTER_S = 1.0
_MS_PER_S = 1000


class ErrorType(enum.StrEnum):
    """Error types that common model clients recognize."""

    INVALID_REQUEST = "invalid_request_error"
    NOT_FOUND = "not_found_error"
    RATE_LIMIT = "rate_limit_error"
    SERVER = "server_error"


class ErrorCode(enum.StrEnum):
    """Stable error codes.

    The codes from `DEADLINE_EXCEEDED` to `WORKSPACE_LIMIT` have the same names
    as in the admission control.
    """

    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    MODEL_NOT_FOUND = "model_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TIMEOUT = "body_timeout"
    BODY_TOO_LARGE = "body_too_large"
    LEAVING = "leaving"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_GROUP = "no_group"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    WORKSPACE_LIMIT = "workspace_limit"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_DENIED = "backend_denied"
    BACKEND_ERROR = "backend_error"
    BACKEND_LOST = "backend_lost"
    ANSWER_BROKEN = "answer_broken"
    TICKET_UNKNOWN = "ticket_unknown"
    TICKET_MISMATCH = "ticket_mismatch"
    TICKET_RUNNING = "ticket_running"
    KEY_UNAVAILABLE = "key_unavailable"
    LOG_UNAVAILABLE = "log_unavailable"
    INTERNAL = "internal"


class ErrorSpec(NamedTuple):
    """Properties that all errors of a code share.

    Attributes:
      status: HTTP status.
      error_type: class of error.
      retry_after_s: time in seconds to wait before a retry, 0 if the same
        request would fail again.
    """

    status: int
    error_type: ErrorType
    retry_after_s: float = 0.0


_INVALID = ErrorSpec(400, ErrorType.INVALID_REQUEST)
_MISSING = ErrorSpec(404, ErrorType.NOT_FOUND)
_LIMITED = ErrorSpec(429, ErrorType.RATE_LIMIT, DEFAULT_RETRY_AFTER_S)
_UNAVAILABLE = ErrorSpec(503, ErrorType.SERVER, DEFAULT_RETRY_AFTER_S)
_BAD_GATEWAY = ErrorSpec(502, ErrorType.SERVER, DEFAULT_RETRY_AFTER_S)
_TIMED_OUT = ErrorSpec(504, ErrorType.SERVER, DEFAULT_RETRY_AFTER_S)

SPECS: dict[ErrorCode, ErrorSpec] = {
    ErrorCode.BAD_REQUEST: _INVALID,
    ErrorCode.NOT_FOUND: _MISSING,
    ErrorCode.MODEL_NOT_FOUND: _MISSING,
    ErrorCode.METHOD_NOT_ALLOWED: ErrorSpec(405, ErrorType.INVALID_REQUEST),
    ErrorCode.BODY_TIMEOUT: ErrorSpec(408, ErrorType.INVALID_REQUEST),
    ErrorCode.BODY_TOO_LARGE: ErrorSpec(413, ErrorType.INVALID_REQUEST),
    ErrorCode.LEAVING: _UNAVAILABLE,
    ErrorCode.DEADLINE_EXCEEDED: _TIMED_OUT,
    ErrorCode.NO_GROUP: _UNAVAILABLE,
    ErrorCode.OVERLOADED: _UNAVAILABLE,
    ErrorCode.QUEUE_FULL: _UNAVAILABLE,
    ErrorCode.QUEUE_TIMEOUT: _UNAVAILABLE,
    ErrorCode.WORKSPACE_LIMIT: _LIMITED,
    ErrorCode.BACKEND_UNREACHABLE: _UNAVAILABLE,
    ErrorCode.BACKEND_REFUSED: _UNAVAILABLE,
    ErrorCode.BACKEND_DENIED: _INVALID,
    ErrorCode.BACKEND_ERROR: _BAD_GATEWAY,
    ErrorCode.BACKEND_LOST: _BAD_GATEWAY,
    ErrorCode.ANSWER_BROKEN: _BAD_GATEWAY,
    ErrorCode.TICKET_UNKNOWN: ErrorSpec(409, ErrorType.INVALID_REQUEST),
    ErrorCode.TICKET_MISMATCH: ErrorSpec(422, ErrorType.INVALID_REQUEST),
    ErrorCode.TICKET_RUNNING: _TIMED_OUT,
    ErrorCode.KEY_UNAVAILABLE: _UNAVAILABLE,
    ErrorCode.LOG_UNAVAILABLE: _UNAVAILABLE,
    ErrorCode.INTERNAL: ErrorSpec(500, ErrorType.SERVER, DEFAULT_RETRY_AFTER_S),
}


class CallerError(NamedTuple):
    """An error that is sent to a caller.

    Attributes:
      code: error code.
      message: human-readable description.
      outcome: what is known of the request.
      retry_after_s: time in seconds to wait before a retry, None for the
        default of the code.
    """

    code: ErrorCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of the error."""
        return SPECS[self.code].status

    @property
    def delay_s(self) -> float:
        """Time in seconds to wait before a retry."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return SPECS[self.code].retry_after_s


def make_body(error: CallerError, request_id: str) -> bytes:
    """Makes the JSON body of an error."""
    detail = ErrorDetail(
        code=error.code.value,
        message=error.message,
        outcome=error.outcome,
        retry_after_ms=math.ceil(error.delay_s * _MS_PER_S),
        request_id=request_id,
        type=SPECS[error.code].error_type.value,
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def make_headers(
    error: CallerError, *, may_retry: bool
) -> list[tuple[str, str]]:
    """Makes the headers of an error.

    Args:
      error: the error.
      may_retry: whether the request may run a second time.
    """
    headers = [
        ("Content-Type", "application/json; charset=UTF-8"),
        (OUTCOME_HEADER, error.outcome.value),
        (SHOULD_RETRY_HEADER, format_should_retry(error, may_retry)),
    ]
    if error.delay_s > 0:
        headers.append(("Retry-After", str(math.ceil(error.delay_s))))
    return headers


def format_should_retry(error: CallerError, may_retry: bool) -> str:
    """Returns the header value that allows or forbids automatic retries."""
    if error.delay_s <= 0:
        return "false"
    if error.outcome is Outcome.NOT_RUN or may_retry:
        return "true"
    return "false"


def make_event(error: CallerError, request_id: str) -> bytes:
    """Makes the event that ends a failed stream."""
    return b"event: error\ndata: " + make_body(error, request_id) + b"\n\n"
