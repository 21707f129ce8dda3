"""Base classes of the handlers for callers."""

from typing import Any

import msgspec
from returns.result import Failure
from tornado import web
from tornado.http1connection import HTTP1Connection

from chervilrock.edges import errors
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.parsing import (
    CallerHeaders,
    format_findings,
    parse_count,
    parse_headers,
)
from chervilrock.edges.path import BodyReader, RequestPath
from chervilrock.edges.sinks import CallerSink
from chervilrock.edges.state import CallerState
from chervilrock.generated.interfaces import Outcome

DRAIN_LIMIT_FACTOR = 4
"""A body of up to this many times the limit is read completely before it is
rejected, since a caller that is still sending may miss the answer."""

DRAIN_TIMEOUT_S = 30.0
"""Time that a caller has to read the rest of its answer."""

_STATUS_NO_CONTENT = 204
_STATUS_NOT_FOUND = 404
_STATUS_NOT_ALLOWED = 405


class CallerHandler(web.RequestHandler):
    """Sets the common headers and error format of all answers to callers."""

    state: CallerState
    path: RequestPath
    request_id = ""
    allowed_methods = "GET, HEAD, OPTIONS"

    def initialize(self, state: CallerState) -> None:
        """Stores the shared state and assigns a request ID."""
        self.state = state
        self.path = state.path
        self.request_id = self.path.make_request_id()
        self.set_default_headers()

    def set_default_headers(self) -> None:
        """Sets the headers of every answer.

        Tornado calls this once before `initialize`.
        """
        self.clear_header("Server")
        if not self.request_id:
            return
        self.set_header("X-Request-Id", self.request_id)
        self.set_header("X-Node", self.path.context.node_id)

    def set_etag_header(self) -> None:
        """Adds no ETag; answers of backend servers are forwarded unchanged."""

    def check_etag_header(self) -> bool:
        """Returns False; only backend servers decide about ETags."""
        return False

    def write_json(self, value: object) -> None:
        """Answers with a JSON body."""
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(msgspec.json.encode(value))

    def reject(self, error: CallerError) -> None:
        """Answers with an error for a request that no server received."""
        self.set_status(error.status)
        for name, value in errors.make_headers(error, may_retry=True):
            self.set_header(name, value)
        self.finish(errors.make_body(error, self.request_id))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with an error for an unexpected exception or status."""
        del kwargs
        self.reject(make_unexpected_error(status_code, self.get_outcome()))

    def get_outcome(self) -> Outcome:
        """Returns the outcome to report after an internal error."""
        return Outcome.NOT_RUN

    def options(self, *_args: str) -> None:
        """Answers with the allowed methods."""
        self.set_status(_STATUS_NO_CONTENT)
        self.set_header("Allow", self.allowed_methods)
        self.finish()


def make_unexpected_error(status: int, outcome: Outcome) -> CallerError:
    """Makes the error for a status that was set by Tornado."""
    if status == _STATUS_NOT_FOUND:
        return CallerError(ErrorCode.NOT_FOUND, "there is no such path")
    if status == _STATUS_NOT_ALLOWED:
        return CallerError(ErrorCode.METHOD_NOT_ALLOWED, "not for this path")
    if 400 <= status < 500:
        return CallerError(ErrorCode.BAD_REQUEST, "the request is malformed")
    return CallerError(ErrorCode.INTERNAL, "this node failed", outcome)


class NotFoundHandler(CallerHandler):
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Rejects the request for any method."""
        self.reject(CallerError(ErrorCode.NOT_FOUND, "there is no such path"))


@web.stream_request_body
class BodyHandler(CallerHandler, BodyReader):
    """Reads the body of a request with limits on its size and duration."""

    allowed_methods = "POST, OPTIONS"
    forwards_options = False

    def prepare(self) -> None:
        """Checks the request headers before the body is read."""
        self._chunks: list[bytes] = []
        self._body_size = 0
        self.arrived_at = self.path.context.now()
        self.headers = CallerHeaders("", 0, None, None, "")
        if self.request.method == "OPTIONS" and not self.forwards_options:
            return
        error = self._check_head()
        if error is not None:
            self.reject(error)
            return
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.set_max_body_size(self._compute_max_drain_bytes())
        self.path.track_body(self)

    def data_received(self, chunk: bytes) -> None:
        """Buffers a chunk, or drops the body once it exceeds the limit."""
        self._body_size += len(chunk)
        if self._body_size <= self.state.limits.max_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def on_finish(self) -> None:
        """Stops the timeout check of the body."""
        self.path.untrack_body(self)

    def on_connection_close(self) -> None:
        """Stops the timeout check after the caller has disconnected."""
        self.path.untrack_body(self)

    def collect_body(self) -> bytes | None:
        """Returns the body, or None if the request has been rejected."""
        self.path.untrack_body(self)
        if self._finished:
            return None
        if self._body_size > self.state.limits.max_bytes:
            self.reject(self._make_size_error())
            return None
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def make_sink(self) -> CallerSink:
        """Makes the sink for the answer to this request."""
        return CallerSink(
            handler=self,
            request_id=self.request_id,
            now=self.path.context.now,
        )

    def compute_deadline(self) -> float:
        """Returns the time in seconds until which the caller waits.

        The configured request timeout limits it.
        """
        limits = self.path.context.limits()
        longest = limits.get("request_timeout_ms", 120000) / 1000.0
        wanted = self.headers.timeout_s
        return self.arrived_at + min(longest, wanted or longest)

    def _check_head(self) -> CallerError | None:
        """Returns an error if the headers of the request are invalid."""
        parsed = parse_headers(self.request.headers)
        if isinstance(parsed, Failure):
            message = format_findings(parsed.failure())
            return CallerError(ErrorCode.BAD_REQUEST, message)
        self.headers = parsed.unwrap()
        if self.path.context.leaving and not self.headers.key:
            # A repeat with a key may still get the answer of its earlier run.
            return CallerError(ErrorCode.LEAVING, "this node is leaving")
        length = parse_count(self.request.headers.get("Content-Length", "0"))
        if (
            length is None
            or length > DRAIN_LIMIT_FACTOR * self.state.limits.max_bytes
        ):
            return self._make_size_error()
        return None

    def _compute_max_drain_bytes(self) -> int:
        return DRAIN_LIMIT_FACTOR * self.state.limits.max_bytes

    def _make_size_error(self) -> CallerError:
        longest = self.state.limits.max_bytes
        message = f"the body is greater than {longest} bytes"
        return CallerError(ErrorCode.BODY_TOO_LARGE, message)

    def check_body(self, now: float) -> None:
        """Rejects the request if its body has not arrived in time."""
        if now - self.arrived_at < self.state.limits.timeout_s:
            return
        self.path.untrack_body(self)
        if not self._finished:
            message = "the body did not come in time"
            self.reject(CallerError(ErrorCode.BODY_TIMEOUT, message))
