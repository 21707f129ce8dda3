"""The answer to one request on a caller's connection."""

import asyncio
from collections.abc import Iterable
import http.client

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

MAX_UNSENT_BYTES = 1024 * 1024
"""Bytes of an answer that wait for a caller who does not read. Answers have
some ten kilobytes, so a caller that leaves a megabyte is gone."""


class CallerConnection:
    """Writes one answer, whole or as a stream.

    Attributes:
      has_begun: whether the head was written.
      is_over: whether the answer is complete, or the connection closed.
    """

    def __init__(
        self, *, connection: HTTP1Connection, is_stopping: bool
    ) -> None:
        """Answer on a connection.

        Args:
          connection: connection of the library, which waits for an answer.
          is_stopping: whether the caller should close it afterwards.
        """
        self._connection = connection
        self._is_stopping = is_stopping
        self.has_begun = False
        self.is_over = False

    def begin(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Write the head and the first bytes of a stream."""
        self._write_head(status, headers, None, body)

    def write(self, data: bytes) -> None:
        """Write further bytes of a stream."""
        if self.is_over:
            return
        self._forget(self._connection.write(data))
        if self._is_clogged():
            self.abort()

    def finish(self) -> None:
        """End a stream as complete."""
        if self.is_over:
            return
        self.is_over = True
        self._connection.finish()

    def answer(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Write a whole answer."""
        self._write_head(status, headers, len(body), body)
        self.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.is_over = True
        self._connection.stream.close()

    def close(self) -> None:
        """Note that the caller has closed the connection."""
        self.is_over = True

    def _write_head(
        self,
        status: int,
        pairs: Iterable[tuple[str, str]],
        length: int | None,
        body: bytes,
    ) -> None:
        if self.is_over:
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
        self._forget(self._connection.write_headers(line, headers, body))

    def _is_clogged(self) -> bool:
        """Tell whether the caller has stopped to read."""
        return len(self._connection.stream._write_buffer) > MAX_UNSENT_BYTES

    def _forget(self, future: "asyncio.Future[None]") -> None:
        """Leave a failed write to the notice that the caller has left."""
        future.add_done_callback(_take_failure)


def _take_failure(future: "asyncio.Future[None]") -> None:
    error = future.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        raise error
