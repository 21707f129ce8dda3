"""Calls that are answered with bytes without end.

Failure: 64 MB of each answer were kept, of many servers at once, and a node
that called them ran out of memory.
"""

import asyncio
import contextlib
import gzip
from typing import Any

import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance, LessThan

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.heads import MAX_HEAD_BYTES
from chervilrock.clients.httpclient import HttpClient, MAX_ANSWER_BYTES
from chervilrock.clients.polling import Poller
from chervilrock.decisions.decoding import Decoder
from chervilrock.platform.store import MAX_PAGE_BYTES
from test.clients.test_cut_answers import (
    call_each,
    CALLS,
    fetch_newest,
    LIMIT_S,
    make_head,
    read,
    request,
)

SOCKET_BYTES = 8 * 1024 * 1024
"""Most bytes that the sockets of a connection hold."""

SHORT_LIMIT_S = 1.0
"""Time limit within which a request is sent also on a busy machine."""

PIECE = 16 * 1024
OK = make_head(b"200 OK")
CHUNKED = make_head(b"200 OK", b"Transfer-Encoding: chunked\r\n")
LONG = make_head(b"200 OK", b"Content-Length: 99999999999\r\n")
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PIECE, b"x" * PIECE)
FIELD = b"X-More: x\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

FLOODS = {
    "body": (OK, b"x" * PIECE),
    "length": (LONG, b"x" * PIECE),
    "chunks": (CHUNKED, CHUNK),
    "trailers": (CHUNKED + b"0\r\n", FIELD * 1000),
    "fields": (STATUS, FIELD * 1000),
    "field": (STATUS + b"X-More: ", b"x" * PIECE),
    "folds": (STATUS + b"X-More: x\r\n", b" x\r\n" * 1000),
    "name": (STATUS, b"x" * PIECE),
    "interim": (b"", INTERIM * 1000),
    "reason": (b"HTTP/1.1 200 ", b"x" * PIECE),
    "nothing": (b"", b"x" * PIECE),
    "lines": (b"", b"\r\n" * PIECE),
}
"""What a server sends first, and then again and again."""


class FloodingServer:
    """Answers each request with bytes without end.

    Attributes:
      address: IP:port.
      is_answering: whether it has sent a part of an answer.
      written: number of bytes that were written to each connection that was
        closed by the other side.
    """

    def __init__(
        self, first: bytes, piece: bytes, *, interval_s: float = 0.0
    ) -> None:
        """Create a server.

        Args:
          first: what it sends first.
          piece: what it sends again and again.
          interval_s: pause between two pieces.
        """
        self._first = first
        self._piece = piece
        self._interval_s = interval_s
        self.address = ""
        self.is_answering = False
        self.written: asyncio.Queue[int] = asyncio.Queue()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection."""
        await reader.readuntil(b"\r\n\r\n")
        written = 0
        data = self._first
        with contextlib.suppress(OSError):
            while True:
                writer.write(data)
                await writer.drain()
                written += len(data)
                self.is_answering = True
                data = self._piece
                await asyncio.sleep(self._interval_s)
        writer.close()
        self.written.put_nowait(written)


@contextlib.asynccontextmanager
async def run_flood(first: bytes, piece: bytes, **options: Any):
    server = FloodingServer(first, piece, **options)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    async with asyncio.timeout(LIMIT_S):
        yield server
    listener.close()


def find_limit(call: Any) -> int:
    """Return the most bytes that a call may receive."""
    limit = MAX_PAGE_BYTES if call in (read, fetch_newest) else MAX_ANSWER_BYTES
    return limit + MAX_HEAD_BYTES + SOCKET_BYTES


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("flood", FLOODS)
def test_a_call_does_not_keep_bytes_without_end(flood, call) -> None:
    async def check() -> None:
        async with run_flood(*FLOODS[flood]) as server:
            client = HttpClient(max_clients=1)
            result = await call(client, server.address)
            written = await server.written.get()
            client.close()
        assert_that(result, IsInstance(Failure))
        assert_that(written, LessThan(find_limit(call)))

    asyncio.run(check())


def test_a_compressed_body_is_limited_by_its_size_afterwards() -> None:
    body = gzip.compress(bytes(32 * MAX_ANSWER_BYTES))
    lines = (
        b"Content-Encoding: gzip\r\n",
        b"Content-Length: %d\r\n" % len(body),
    )
    answer = make_head(b"200 OK", *lines) + body
    assert_that(len(body), LessThan(MAX_ANSWER_BYTES))

    async def call(client: HttpClient, address: str):
        url = f"http://{address}/"
        return await client.request(
            "GET", url, timeout_s=LIMIT_S, decompress=True
        )

    (result,) = call_each(call, [answer])
    error = result.failure()
    assert_that(error.kind, Equals(PlatformErrorKind.OUTAGE))
    assert_that(error.message, Contains(f"more than {MAX_ANSWER_BYTES} bytes"))


def test_a_body_of_the_greatest_size_is_an_answer() -> None:
    body = b"x" * MAX_ANSWER_BYTES
    head = make_head(b"200 OK", b"Content-Length: %d\r\n" % len(body))
    results = call_each(request, [head + body, make_head(b"200 OK") + body])
    for result in results:
        assert_that(len(result.unwrap().body), Equals(MAX_ANSWER_BYTES))


# The bytes come too slowly to exceed a limit of bytes, or libcurl discards
# them, as it does the extension of a chunk.
@pytest.mark.parametrize(
    ("first", "piece", "interval_s"),
    [
        (OK, b"x", 0.01),
        (CHUNKED, b"1\r\nx\r\n", 0.01),
        (STATUS, FIELD, 0.01),
        (b"", INTERIM, 0.01),
        (CHUNKED + b"1;", b"x" * PIECE, 0.0),
    ],
    ids=["body", "chunks", "fields", "interim", "extension"],
)
def test_the_connection_of_a_call_is_closed_at_its_time_limit(
    first, piece, interval_s
) -> None:
    async def check() -> None:
        async with run_flood(first, piece, interval_s=interval_s) as server:
            client = HttpClient(max_clients=1)
            url = f"http://{server.address}/"
            result = await client.request("GET", url, timeout_s=SHORT_LIMIT_S)
            await server.written.get()
            client.close()
        assert_that(result.failure().kind, Equals(PlatformErrorKind.TIMEOUT))

    asyncio.run(check())


async def request_page(client: HttpClient, address: str):
    return await client.request(
        "GET",
        f"http://{address}/",
        timeout_s=LIMIT_S,
        max_bytes=MAX_PAGE_BYTES,
    )


async def poll_page(_client: HttpClient, address: str):
    poller = Poller()
    try:
        return await poller.poll(
            f"http://{address}/",
            Decoder(object),
            LIMIT_S,
            max_bytes=MAX_PAGE_BYTES,
        )
    except asyncio.CancelledError:
        # The transfer goes on without its caller.
        POLLERS.append(poller)
        raise


POLLERS: list[Poller] = []


# Failure: the body was received until its limit, though nobody waited.
@pytest.mark.parametrize("call", [request_page, poll_page])
def test_the_body_is_not_received_after_a_call_was_cancelled(call) -> None:
    async def check() -> None:
        async with run_flood(OK, b"x", interval_s=0.01) as server:
            client = HttpClient(max_clients=1)
            task = asyncio.create_task(call(client, server.address))
            while not server.is_answering:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await server.written.get()
            client.close()
            while POLLERS:
                POLLERS.pop().close()

    asyncio.run(check())
