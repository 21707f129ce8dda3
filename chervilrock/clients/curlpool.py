"""Curl clients of tornado that are made when they are needed.

A curl client makes all its handles when it is made, each some kilobytes. A
node needs few of them most of the time, and many for a moment.
"""

import asyncio
from collections.abc import Iterator
import contextlib

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

HANDLES = 4
"""Handles of one client."""


class QuietCurlClient(CurlAsyncHTTPClient):
    """A curl client that may be closed while requests are under way.

    Closing makes libcurl set a timer once more, which would later run into
    the closed client.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class CurlPool:
    """Clients with a few handles each, for the running event loop.

    The first client with a free handle is taken, so that a small load stays
    on one client and finds its connections open.

    Attributes:
      is_closed: whether no more requests may be sent.
    """

    def __init__(
        self, *, max_requests: int, max_body_size: int, handles: int = HANDLES
    ) -> None:
        """Make an empty pool.

        Args:
          max_requests: greatest number of requests at once; more of them wait
            for a handle
          max_body_size: greatest body of an answer in bytes
          handles: handles of one client
        """
        self._handles = min(handles, max_requests)
        self._max_clients = -(-max_requests // self._handles)
        self._max_body_size = max_body_size
        self._clients: list[QuietCurlClient] = []
        self._running: list[int] = []
        self.is_closed = False

    @property
    def running(self) -> int:
        """Number of requests under way."""
        return sum(self._running)

    @contextlib.contextmanager
    def borrow(self) -> Iterator[CurlAsyncHTTPClient]:
        """Lend a client for one request."""
        index = self._take()
        try:
            yield self._clients[index]
        finally:
            self._give_back(index)

    def fetch(self, request: HTTPRequest) -> "asyncio.Future[HTTPResponse]":
        """Send a request; its handle is taken until it has ended.

        A handle that counted as free as soon as nobody waited any more was
        given to the next request, which then waited for the end of the first:
        for up to 26 s behind a read that the store never answers.
        """
        index = self._take()
        ended = self._clients[index].fetch(request, raise_error=False)
        ended.add_done_callback(lambda one: self._record_end(index, one))
        return ended

    def close(self) -> None:
        """Close all connections, and make no more."""
        self.is_closed = True
        for client in self._clients:
            client.close()
        self._clients.clear()
        self._running.clear()

    def _take(self) -> int:
        """Count a request at a client and return its number."""
        index = self._choose()
        self._running[index] += 1
        return index

    def _record_end(
        self, index: int, ended: "asyncio.Future[HTTPResponse]"
    ) -> None:
        """Count a request as ended, whether or not somebody waits for it."""
        self._give_back(index)
        if not ended.cancelled():
            # Else a failure that nobody waits for is logged as a fault.
            ended.exception()

    def _give_back(self, index: int) -> None:
        """Count a request as ended, unless all clients are closed."""
        if self._running:
            self._running[index] -= 1

    def _choose(self) -> int:
        """Return the number of a client, making one when all are busy."""
        for index, running in enumerate(self._running):
            if running < self._handles:
                return index
        if len(self._clients) >= self._max_clients:
            return self._running.index(min(self._running))
        client = QuietCurlClient(
            force_instance=True,
            max_clients=self._handles,
            max_body_size=self._max_body_size,
        )
        self._clients.append(client)
        self._running.append(0)
        return len(self._clients) - 1
