"""The answer to one request on a caller's connection."""

import asyncio
from collections.abc import Iterable
import http.client

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

MAX_UNSENT_BYTES = 1024 * 1024
"""Bytes of an answer that are buffered for a caller that does not read.
Answers have some ten kilobytes, so a caller that leaves a megabyte unread
counts as disconnected."""


class CallerConnection:
    """Writes one answer, at once or as a stream.

    Attributes:
      has_begun: whether the head was written.
      is_done: whether the answer is complete or the connection is closed.
    """

    def __init__(
        self, *, connection: HTTP1Connection, is_stopping: bool
    ) -> None:
        """Create an answer that has not begun.

        Args:
          connection: Tornado connection on which the request was received.
          is_stopping: whether the node is stopping, so that the answer asks
            the caller to close the connection.
        """
        self._connection = connection
        self._is_stopping = is_stopping
        self.has_begun = False
        self.is_done = False

    def begin(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Write the head and the first bytes of a stream."""
        self._write_head(status, headers, None, body)

    def write(self, data: bytes) -> None:
        """Write further bytes of a stream."""
        if self.is_done:
            return
        self._discard_result(self._connection.write(data))
        if self._is_buffer_full():
            self.abort()

    def finish(self) -> None:
        """Complete a stream."""
        if self.is_done:
            return
        self.is_done = True
        self._connection.finish()

    def answer(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Write a complete answer."""
        self._write_head(status, headers, len(body), body)
        self.finish()

    def abort(self) -> None:
        """Close the connection to mark the answer as incomplete."""
        self.is_done = True
        self._connection.stream.close()

    def close(self) -> None:
        """Record that the caller has closed the connection."""
        self.is_done = True

    def _write_head(
        self,
        status: int,
        pairs: Iterable[tuple[str, str]],
        length: int | None,
        body: bytes,
    ) -> None:
        if self.is_done:
            return
        headers = httputil.HTTPHeaders()
        for name, value in pairs:
            headers.add(name, value)
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._is_stopping:
            headers["Connection"] = "close"
        reason = http.client.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.has_begun = True
        self._discard_result(
            self._connection.write_headers(line, headers, body)
        )

    def _is_buffer_full(self) -> bool:
        """Return whether the caller leaves too many bytes unread."""
        return len(self._connection.stream._write_buffer) > MAX_UNSENT_BYTES

    def _discard_result(self, future: "asyncio.Future[None]") -> None:
        """Ignore a failed write; the close callback reports a closed stream."""
        future.add_done_callback(_raise_unless_closed)


def _raise_unless_closed(future: "asyncio.Future[None]") -> None:
    error = future.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        raise error
