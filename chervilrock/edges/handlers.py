"""Base of the handlers for callers."""

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

DRAIN_FACTOR = 4
"""A body of up to this many times the bound is read to its end before it is
refused, since a caller that still sends may miss the answer."""

DRAIN_TIMEOUT_S = 30.0
"""Time that a caller has to take the end of its answer."""

_STATUS_NO_CONTENT = 204
_STATUS_NOT_FOUND = 404
_STATUS_NOT_ALLOWED = 405


class CallerHandler(web.RequestHandler):
    """Gives every answer of a handler the form that callers expect."""

    state: CallerState
    path: RequestPath
    request_id = ""
    allowed = "GET, HEAD, OPTIONS"

    def initialize(self, state: CallerState) -> None:
        """Takes the state that all handlers share."""
        self.state = state
        self.path = state.path
        self.request_id = self.path.make_request_id()
        self.set_default_headers()

    def set_default_headers(self) -> None:
        """Sets the headers of every answer.

        The library calls it once before `initialize`.
        """
        self.clear_header("Server")
        if not self.request_id:
            return
        self.set_header("X-Request-Id", self.request_id)
        self.set_header("X-Node", self.path.context.node_id)

    def set_etag_header(self) -> None:
        """Adds nothing; the answers of backend servers are passed as are."""

    def check_etag_header(self) -> bool:
        """Leaves it to backend servers whether an answer has changed."""
        return False

    def write_json(self, value: object) -> None:
        """Answers with a JSON body."""
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(msgspec.json.encode(value))

    def refuse(self, error: CallerError) -> None:
        """Answers with an error about a request that was sent nowhere."""
        self.set_status(error.status)
        for name, value in errors.make_headers(error, may_retry=True):
            self.set_header(name, value)
        self.finish(errors.make_body(error, self.request_id))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with an error that a handler did not foresee."""
        del kwargs
        self.refuse(make_unforeseen_error(status_code, self.get_outcome()))

    def get_outcome(self) -> Outcome:
        """Returns what is known of the request after a fault of this node."""
        return Outcome.NOT_RUN

    def options(self, *_args: str) -> None:
        """Tells which methods there are."""
        self.set_status(_STATUS_NO_CONTENT)
        self.set_header("Allow", self.allowed)
        self.finish()


def make_unforeseen_error(status: int, outcome: Outcome) -> CallerError:
    """Makes the error for a status that the library chose."""
    if status == _STATUS_NOT_FOUND:
        return CallerError(ErrorCode.NOT_FOUND, "there is no such path")
    if status == _STATUS_NOT_ALLOWED:
        return CallerError(ErrorCode.METHOD_NOT_ALLOWED, "not for this path")
    if 400 <= status < 500:
        return CallerError(ErrorCode.BAD_REQUEST, "the request is malformed")
    return CallerError(ErrorCode.INTERNAL, "this node failed", outcome)


class NotFoundHandler(CallerHandler):
    """Answers all paths that no other handler has."""

    def prepare(self) -> None:
        """Refuses the request whatever its method is."""
        self.refuse(CallerError(ErrorCode.NOT_FOUND, "there is no such path"))


@web.stream_request_body
class BodyHandler(CallerHandler, BodyReader):
    """Reads the body of a request for a backend server within bounds."""

    allowed = "POST, OPTIONS"
    relays_options = False

    def prepare(self) -> None:
        """Checks the head, before the body is read."""
        self._chunks: list[bytes] = []
        self._size = 0
        self.arrived = self.path.context.now()
        self.headers = CallerHeaders("", 0, None, None, "")
        if self.request.method == "OPTIONS" and not self.relays_options:
            return
        error = self._check_head()
        if error is not None:
            self.refuse(error)
            return
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.set_max_body_size(self._find_longest_drain())
        self.path.await_body(self)

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._size += len(chunk)
        if self._size <= self.state.limits.max_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def on_finish(self) -> None:
        """Forgets the body."""
        self.path.forget_body(self)

    def on_connection_close(self) -> None:
        """Takes note that the caller is gone."""
        self.path.forget_body(self)

    def take_body(self) -> bytes | None:
        """Returns the body, or None when the request has been refused."""
        self.path.forget_body(self)
        if self._finished:
            return None
        if self._size > self.state.limits.max_bytes:
            self.refuse(self._make_size_error())
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

    def find_deadline(self) -> float:
        """Returns the time in seconds until which the caller waits."""
        limits = self.path.context.limits()
        longest = limits.get("request_timeout_ms", 120000) / 1000.0
        wanted = self.headers.timeout_s
        return self.arrived + min(longest, wanted or longest)

    def _check_head(self) -> CallerError | None:
        """Returns why the request is refused before its body is read."""
        parsed = parse_headers(self.request.headers)
        if isinstance(parsed, Failure):
            message = format_findings(parsed.failure())
            return CallerError(ErrorCode.BAD_REQUEST, message)
        self.headers = parsed.unwrap()
        if self.path.context.leaving and not self.headers.key:
            # A repeat with a key may still learn what became of its run.
            return CallerError(ErrorCode.LEAVING, "this node is leaving")
        length = parse_count(self.request.headers.get("Content-Length", "0"))
        if (
            length is None
            or length > DRAIN_FACTOR * self.state.limits.max_bytes
        ):
            return self._make_size_error()
        return None

    def _find_longest_drain(self) -> int:
        return DRAIN_FACTOR * self.state.limits.max_bytes

    def _make_size_error(self) -> CallerError:
        longest = self.state.limits.max_bytes
        message = f"the body is greater than {longest} bytes"
        return CallerError(ErrorCode.BODY_TOO_LARGE, message)

    def check_body(self, now: float) -> None:
        """Refuses the request when its body does not come."""
        if now - self.arrived < self.state.limits.timeout_s:
            return
        self.path.forget_body(self)
        if not self._finished:
            message = "the body did not come in time"
            self.refuse(CallerError(ErrorCode.BODY_TIMEOUT, message))
