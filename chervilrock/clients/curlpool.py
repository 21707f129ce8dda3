"""Pool of tornado curl clients that are created on demand.

A curl client allocates all its handles on creation, each a few kilobytes. A
node needs few of them most of the time and many during short bursts.
"""

import asyncio
from collections.abc import Iterator
import contextlib

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

HANDLES_PER_CLIENT = 4
"""Default number of handles of one client."""


def break_error_cycle(response: HTTPResponse) -> None:
    """Drop the error of a response with a status other than 2xx.

    The error refers to the response, and the response to its request, so that
    their bodies would stay in memory until the garbage collector finds them.
    """
    response.error = None


class QuietCurlClient(CurlAsyncHTTPClient):
    """A curl client that may be closed while requests are in progress.

    On closing, libcurl sets its timer once more. The timer would later fire
    on the closed client and fail.
    """

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class CurlPool:
    """Pool of clients with a few handles each, for the running event loop.

    A request uses the first client with a free handle, so that a small load
    stays on one client and reuses its open connections.

    Attributes:
      is_closed: whether the pool is closed and accepts no more requests.
    """

    def __init__(
        self,
        *,
        max_requests: int,
        max_body_size: int,
        handles: int = HANDLES_PER_CLIENT,
        source_ip: str = "",
    ) -> None:
        """Create an empty pool.

        Args:
          max_requests: maximum number of concurrent requests; further
            requests wait for a handle
          max_body_size: maximum size of a response body in bytes
          handles: number of handles of one client
          source_ip: IP address to connect from, empty for any
        """
        self._handles = min(handles, max_requests)
        self._max_clients = -(-max_requests // self._handles)
        self._max_body_size = max_body_size
        self._defaults = {"network_interface": source_ip} if source_ip else {}
        self._clients: list[QuietCurlClient] = []
        self._running: list[int] = []
        self.is_closed = False

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return sum(self._running)

    @contextlib.contextmanager
    def borrow(self) -> Iterator[CurlAsyncHTTPClient]:
        """Reserve a handle of a client for one request."""
        index = self._acquire()
        try:
            yield self._clients[index]
        finally:
            self._release(index)

    def fetch(self, request: HTTPRequest) -> "asyncio.Future[HTTPResponse]":
        """Send a request; its handle stays reserved until the request ends.

        This holds also when the caller is cancelled. If the handle were
        released on cancellation, the next request would get it and wait for
        the first one to end: up to 26 s for a read that the store never
        answers.
        """
        index = self._acquire()
        response = self._clients[index].fetch(request, raise_error=False)
        response.add_done_callback(
            lambda future: self._handle_completion(index, future)
        )
        return response

    def close(self) -> None:
        """Close all connections and prevent new ones."""
        self.is_closed = True
        for client in self._clients:
            client.close()
        self._clients.clear()
        self._running.clear()

    def _acquire(self) -> int:
        """Reserve a handle and return the index of its client."""
        index = self._select_client()
        self._running[index] += 1
        return index

    def _handle_completion(
        self, index: int, response: "asyncio.Future[HTTPResponse]"
    ) -> None:
        """Release the handle of a completed request, also an abandoned one."""
        self._release(index)
        # asyncio logs exceptions that are never retrieved.
        if not response.cancelled() and response.exception() is None:
            break_error_cycle(response.result())

    def _release(self, index: int) -> None:
        """Release a handle, unless the pool is closed."""
        if self._running:
            self._running[index] -= 1

    def _select_client(self) -> int:
        """Return the index of a client, creating one if all are busy."""
        for index, running in enumerate(self._running):
            if running < self._handles:
                return index
        if len(self._clients) >= self._max_clients:
            return self._running.index(min(self._running))
        client = QuietCurlClient(
            force_instance=True,
            max_clients=self._handles,
            max_body_size=self._max_body_size,
            defaults=self._defaults,
        )
        self._clients.append(client)
        self._running.append(0)
        return len(self._clients) - 1
