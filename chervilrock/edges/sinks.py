"""Sinks that receive the answer to a request.

A run writes its answer to a sink. The sink of a caller that reads slowly
pauses the transfer from the backend server.
"""

import abc
import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tornado import web
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream

from chervilrock.edges import errors
from chervilrock.edges.relay import Transfer

MAX_UNSENT_BYTES = 64 * 1024
"""Unsent bytes to a slow caller above which its transfer is paused."""

Headers = tuple[tuple[str, str], ...]


class AnswerHead(NamedTuple):
    """Status and headers of an answer to a caller.

    Attributes:
      status: HTTP status.
      headers: names and values of the headers.
      events: whether the body is an event stream.
    """

    status: int
    headers: Headers
    events: bool


class AnswerSink(abc.ABC):
    """Receives one answer: a head, data and an end.

    Attributes:
      started: whether the head was written, so that no other can follow.
    """

    started = False

    @property
    @abc.abstractmethod
    def blocked_since(self) -> float | None:
        """Time in seconds since which the caller reads too slowly, or None."""

    @abc.abstractmethod
    def start(self, head: AnswerHead) -> None:
        """Writes the head of the answer."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Writes bytes of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends a complete answer."""

    def answer(self, head: AnswerHead, body: bytes) -> None:
        """Writes a complete answer at once."""
        self.start(head)
        if body:
            self.write(body)
        self.finish()

    @abc.abstractmethod
    def fail(self, error: errors.CallerError, *, may_retry: bool) -> None:
        """Ends the answer with an error.

        Args:
          error: the error.
          may_retry: whether the request may run a second time.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Drops the rest so that the caller can detect a broken answer."""

    @abc.abstractmethod
    def attach(self, transfer: Transfer | None) -> None:
        """Sets the transfer to pause while too much data is unsent."""


def get_stream(handler: web.RequestHandler) -> IOStream:
    """Returns the stream of a connection from a caller."""
    connection = handler.request.connection
    assert isinstance(connection, HTTP1Connection)
    return connection.stream


class CallerSink(AnswerSink):
    """Writes the answer to the connection of a caller."""

    def __init__(
        self,
        *,
        handler: web.RequestHandler,
        request_id: str,
        now: Callable[[], float],
    ) -> None:
        """Creates a sink for one answer.

        Args:
          handler: handler of the request.
          request_id: identifier of the request.
          now: returns the current time in seconds.
        """
        self._handler = handler
        self._stream = get_stream(handler)
        self._request_id = request_id
        self._now = now
        self._transfer: Transfer | None = None
        self._events = False
        self._unsent = 0
        self._closed = False
        self._blocked_since: float | None = None
        self._finished: asyncio.Future[None] | None = None
        self._disconnected: asyncio.Future[None] | None = None

    @property
    def blocked_since(self) -> float | None:
        """See base class."""
        return self._blocked_since

    def start(self, head: AnswerHead) -> None:
        """See base class."""
        if self._closed:
            return
        self.started = True
        self._events = head.events
        self._handler.set_status(head.status)
        self._handler.clear_header("Content-Type")
        for name, value in head.headers:
            self._handler.add_header(name, value)
        if head.events:
            # Each event must be sent immediately.
            self._stream.set_nodelay(True)

    def write(self, data: bytes) -> None:
        """See base class."""
        if self._closed:
            return
        self._handler.write(data)
        flushed = self._handler.flush()
        if not flushed.done():
            self._count_unsent(len(data), flushed)
        elif flushed.exception() is not None:
            self.close()

    def finish(self) -> None:
        """See base class."""
        if not self._closed:
            self._closed = True
            self._finished = self._handler.finish()

    def answer(self, head: AnswerHead, body: bytes) -> None:
        """See base class."""
        if not self._closed:
            self.start(head)
            self._closed = True
            self._finished = self._handler.finish(body or None)

    def fail(self, error: errors.CallerError, *, may_retry: bool) -> None:
        """See base class."""
        if self._closed:
            return
        if not self.started:
            self._send_error(error, may_retry)
        elif self._events:
            self.write(errors.make_event(error, self._request_id))
            self.finish()
        else:
            self.abort()

    def abort(self) -> None:
        """See base class."""
        self._closed = True
        self._stream.close()

    async def drain(self, timeout_s: float) -> None:
        """Waits until the complete answer is sent to the caller.

        Args:
          timeout_s: time in seconds after which the connection is closed.
        """
        if self._finished is None or self._finished.done():
            return
        # Tornado does not complete a write to a connection that closes.
        self._disconnected = asyncio.get_running_loop().create_future()
        await asyncio.wait(
            {self._finished, self._disconnected},
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not self._finished.done():
            self.abort()

    def close(self) -> None:
        """Records that the caller has disconnected."""
        self._closed = True
        if self._disconnected is not None and not self._disconnected.done():
            self._disconnected.set_result(None)
        self._resume_transfer()

    def attach(self, transfer: Transfer | None) -> None:
        """See base class."""
        self._transfer = transfer
        if transfer is not None and self._blocked_since is not None:
            transfer.pause()

    def _count_unsent(self, size: int, flushed: "asyncio.Future[None]") -> None:
        """Pauses the transfer once too much data is unsent."""
        self._unsent += size
        # Tornado completes only the future of the last write, and does so when
        # any write before it is done.
        flushed.add_done_callback(self._record_flushed)
        if self._unsent > MAX_UNSENT_BYTES and self._blocked_since is None:
            self._blocked_since = self._now()
            if self._transfer is not None:
                self._transfer.pause()

    def _record_flushed(self, flushed: "asyncio.Future[None]") -> None:
        """Resumes the transfer once all data is written."""
        if flushed.exception() is not None:
            self.close()
        elif self._stream.writing():
            if not self._closed:
                self._handler.flush().add_done_callback(self._record_flushed)
        else:
            self._resume_transfer()

    def _resume_transfer(self) -> None:
        """Resumes a paused transfer."""
        self._unsent = 0
        self._blocked_since = None
        if self._transfer is not None:
            self._transfer.resume()

    def _send_error(self, error: errors.CallerError, may_retry: bool) -> None:
        self.started = True
        self._closed = True
        self._handler.set_status(error.status)
        for name, value in errors.make_headers(error, may_retry=may_retry):
            self._handler.set_header(name, value)
        body = errors.make_body(error, self._request_id)
        self._finished = self._handler.finish(body)
