"""Calls over kept connections that the remote side resets."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import socket
import struct
from typing import Any

import pycurl
import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.serving import Topic
from chervilrock.platform.store import StoreClient
from test.tasks.virtual_time import run_virtually

LIMIT_S = 20.0
"""Time limit of calls that end before it, and of each test."""

SETTLE_S = 0.01
"""Time after which an opened connection has reached its server."""

KEPT = 4
"""Number of connections that a client keeps."""

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
EMPTY_PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + struct.pack(
    ">QQ", 0, 0
)
_LINGER = struct.pack("ii", 1, 0)


class ResettingServer:
    """Answers the first request and resets when it has read the second.

    Attributes:
      arrived: requests that arrived, each with its method.
      address: IP:port.
    """

    def __init__(self, *, answers: bool) -> None:
        self.arrived: list[str] = []
        self._answers = answers
        self.address = ""
        self._writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection."""
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.arrived.append(head.split(b" ", 1)[0].decode())
                if len(self.arrived) == 2:
                    # Closing with SO_LINGER of 0 sends a reset.
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER
                    )
                    writer.close()
                    return
                if len(self.arrived) == 1 or self._answers:
                    writer.write(ANSWER)

    async def close(self) -> None:
        """Close all connections, also one that was just opened."""
        await asyncio.sleep(SETTLE_S)
        for writer in self._writers:
            writer.close()


@contextlib.asynccontextmanager
async def run_server(*, answers: bool) -> AsyncIterator[ResettingServer]:
    server = ResettingServer(answers=answers)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    try:
        yield server
    finally:
        await server.close()
        listener.close()


Scenario = Callable[[HttpClient, ResettingServer], Awaitable[None]]


def run(scenario: Scenario, *, answers: bool = True) -> None:
    """Run a scenario with a client that keeps a connection to a server."""

    async def check() -> None:
        async with (
            asyncio.timeout(LIMIT_S),
            run_server(answers=answers) as server,
        ):
            client = HttpClient()
            try:
                url = f"http://{server.address}/"
                await client.request("GET", url, timeout_s=LIMIT_S)
                await scenario(client, server)
            finally:
                client.close()

    asyncio.run(check())


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_call_that_may_be_sent_once_is_not_repeated(method) -> None:
    async def scenario(client: HttpClient, server: ResettingServer) -> None:
        answer = await client.request(
            method,
            f"http://{server.address}/",
            timeout_s=LIMIT_S,
            body=b"" if method == "POST" else None,
            send_once=True,
        )
        kind = answer.failure().kind
        assert_that(kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(server.arrived, Equals(["GET", method]))

    run(scenario)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_call_is_repeated_once_if_its_kept_connection_is_reset(
    method,
) -> None:
    async def scenario(client: HttpClient, server: ResettingServer) -> None:
        answer = await client.request(
            method,
            f"http://{server.address}/",
            timeout_s=LIMIT_S,
            body=b"" if method == "POST" else None,
        )
        assert_that(answer.unwrap().status, Equals(200))
        assert_that(server.arrived, Equals(["GET", method, method]))
        assert_that(client.calls_sent_again, Equals(1))

    run(scenario)


def test_a_long_poll_is_not_repeated_when_its_connection_is_reset() -> None:
    # libcurl sent it again, for its whole duration, and the answer to the
    # second one came after the time limit of the read.
    async def scenario(client: HttpClient, server: ResettingServer) -> None:
        store = StoreClient(client=client, address=server.address)
        answer = await store.read(Topic.NODES, 0, LIMIT_S)
        kind = answer.failure().kind
        assert_that(kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(server.arrived, Equals(["GET", "GET"]))

    run(scenario, answers=False)


def test_a_read_after_a_failed_one_uses_a_new_connection() -> None:
    # Other kept connections may be dead as well. A second failure over one of
    # them looked like an outage of the store.
    connections: list[asyncio.StreamWriter] = []
    heads: list[tuple[int, bytes]] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)
        number = len(connections)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                heads.append((number, head))
                if b"wait_ms=0" in head:
                    while len(connections) < KEPT:
                        await asyncio.sleep(0)
                    writer.write(EMPTY_PAGE)
                else:
                    writer.close()
                    return

    async def check() -> None:
        async with asyncio.timeout(LIMIT_S):
            listener = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = listener.sockets[0].getsockname()
            client = HttpClient()
            store = StoreClient(client=client, address=f"{host}:{port}")
            await asyncio.gather(
                *(store.read(Topic.NODES, 0, 0.0) for _ in range(KEPT))
            )
            failed = await store.read(Topic.NODES, 0, LIMIT_S)
            assert_that(isinstance(failed, Failure), Equals(True))
            await store.read(Topic.NODES, 0, 0.0)
            client.close()
            for writer in connections:
                writer.close()
            listener.close()

    asyncio.run(check())
    assert_that([number for number, _ in heads][-1], Equals(KEPT + 1))


class _Handle:
    """A libcurl handle of which only the callback before a send is used."""

    def __init__(self) -> None:
        self.before_send: Callable[[], int] = lambda: pycurl.PREREQFUNC_OK

    def setopt(self, option: int, value: Any) -> None:
        if option == pycurl.PREREQFUNCTION:
            self.before_send = value


class SilentPool:
    """A pool whose requests are sent and never answered.

    Attributes:
      limits_s: time limit of each request.
      handles: handle of each request.
    """

    is_closed = False

    def __init__(
        self, *, sends: bool = True, reset_after_s: float | None = None
    ) -> None:
        """Create a pool.

        Args:
          sends: whether requests are sent, rather than waiting for a handle.
          reset_after_s: time after which the connection of the first request
            is reset, as libcurl handles it.
        """
        self.limits_s: list[float] = []
        self.handles: list[_Handle] = []
        self._sends = sends
        self._reset_after_s = reset_after_s

    def fetch(self, request: HTTPRequest) -> "asyncio.Future[HTTPResponse]":
        assert request.request_timeout is not None
        self.limits_s.append(request.request_timeout)
        handle = _Handle()
        self.handles.append(handle)
        assert request.prepare_curl_callback is not None
        request.prepare_curl_callback(handle)
        if self._sends:
            handle.before_send()
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[HTTPResponse] = loop.create_future()
        if self._reset_after_s is not None and len(self.limits_s) == 1:
            loop.call_later(self._reset_after_s, self._reset, handle, answer)
        return answer

    def _reset(
        self, handle: _Handle, answer: "asyncio.Future[HTTPResponse]"
    ) -> None:
        """Send again on a new connection, as libcurl does, unless aborted."""
        result = handle.before_send()
        if result == pycurl.PREREQFUNC_ABORT and not answer.done():
            answer.set_exception(
                CurlError(pycurl.E_ABORTED_BY_CALLBACK, "aborted")
            )


async def measure_call(pool: SilentPool, kind: PlatformErrorKind) -> float:
    """Return the seconds until an unanswered call fails in a certain way."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    client = HttpClient()
    client._pool = pool  # type: ignore[assignment]
    result = await client.request("GET", "http://a/", timeout_s=LIMIT_S)
    assert_that(result.failure().kind, Equals(kind))
    return loop.time() - began


def test_a_call_that_libcurl_does_not_end_ends_at_its_limit() -> None:
    call = measure_call(SilentPool(), PlatformErrorKind.TIMEOUT)
    assert_that(run_virtually(call), Equals(LIMIT_S))


def test_a_repeated_call_has_the_time_that_is_left() -> None:
    # libcurl counted the limit anew from the second send: 36 s instead of 21 s.
    pool = SilentPool(reset_after_s=15.0)
    call = measure_call(pool, PlatformErrorKind.TIMEOUT)
    assert_that(run_virtually(call), Equals(LIMIT_S))
    assert_that(pool.limits_s, Equals([LIMIT_S, LIMIT_S - 15.0]))


def test_a_call_that_has_ended_is_not_sent_later() -> None:
    pool = SilentPool(sends=False)
    call = measure_call(pool, PlatformErrorKind.REFUSED)
    assert_that(run_virtually(call), Equals(LIMIT_S))
    result = pool.handles[0].before_send()
    assert_that(result, Equals(pycurl.PREREQFUNC_ABORT))
