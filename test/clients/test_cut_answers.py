"""Remote sides that end the connection within their answer.

Failure: an append whose answer is cut in its head was taken for rejected, and
a cancelled attempt for one that has ended.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import socket
import struct
from typing import TypeVar

import pytest
from returns.result import Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.http import HttpModelEngine
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.clients.serving import Topic
from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.serving.groups.orders import Leave
from chervilrock.decisions.serving.site import BackendServer
from chervilrock.platform.engines import HttpEngineControl
from chervilrock.platform.store import StoreClient

LIMIT_S = 10.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

STATUSES = [b"200 OK", b"204 No", b"304 No", b"404 No", b"409 No", b"412 No"]
WHOLE = b"HTTP/1.1 200 OK\r\nETag: x\r\nContent-Length: 2\r\n\r\n{}"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSED = b"Connection: close\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

T = TypeVar("T")
Call = Callable[[HttpClient, str], Awaitable[Result[T, PlatformError]]]


def make_head(status: bytes, *lines: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b"\r\n" + b"".join(lines) + b"\r\n"


def cut(answer: bytes) -> list[bytes]:
    """Return all beginnings of an answer."""
    return [answer[:length] for length in range(len(answer))]


class CuttingServer:
    """Writes one answer to each request, and closes.

    Attributes:
      answers: answers that are still to be written.
      arrived: heads of the requests that arrived.
      address: IP:port.
    """

    def __init__(self, *, resets: bool, keeps: int) -> None:
        """Create a server.

        Args:
          resets: whether connections end with a reset.
          keeps: number of answers after which it does not close.
        """
        self.answers: list[bytes] = []
        self.arrived: list[bytes] = []
        self.address = ""
        self._connections: list[asyncio.Task[None]] = []
        self._resets = resets
        self._keeps = keeps

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle a connection."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.append(task)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                self.arrived.append(head)
                writer.write(self.answers.pop(0))
                await writer.drain()
                if len(self.arrived) > self._keeps:
                    break
            if self._resets:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    async def wait_closed(self) -> None:
        """Wait for the end of all connections."""
        await asyncio.gather(*self._connections)


@contextlib.asynccontextmanager
async def run_server(
    *, resets: bool = False, keeps: int = 0
) -> AsyncIterator[CuttingServer]:
    server = CuttingServer(resets=resets, keeps=keeps)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    try:
        yield server
    finally:
        listener.close()
        await server.wait_closed()


def call_each(
    call: Call[T], answers: list[bytes], *, resets: bool = False
) -> list[Result[T, PlatformError]]:
    """Return the result of a call for each answer."""

    async def run() -> list[Result[T, PlatformError]]:
        results = []
        async with run_server(resets=resets) as server:
            for answer in answers:
                client = HttpClient(max_clients=1)
                server.answers = [answer]
                results.append(await call(client, server.address))
                client.close()
            assert_that(server.arrived, HasLength(len(answers)))
        return results

    return asyncio.run(run())


def list_wrong(
    call: Call[T], answers: list[bytes], *, resets: bool = False
) -> list[tuple[bytes, object]]:
    """Return the answers of which a call does not fail as an outage."""
    results = call_each(call, answers, resets=resets)
    return [
        (answer, result)
        for answer, result in zip(answers, results, strict=True)
        if isinstance(result, Success)
        or result.failure().kind is not PlatformErrorKind.OUTAGE
    ]


async def request(client: HttpClient, address: str):
    return await client.request("GET", f"http://{address}/", timeout_s=LIMIT_S)


async def request_once(client: HttpClient, address: str):
    return await client.request(
        "POST",
        f"http://{address}/",
        timeout_s=LIMIT_S,
        body=b"{}",
        send_once=True,
        is_fresh=True,
    )


async def append(client: HttpClient, address: str):
    store = StoreClient(client=client, address=address)
    return await store.append(Topic.NODES, "key", b"value", 7)


async def read(client: HttpClient, address: str):
    store = StoreClient(client=client, address=address)
    return await store.read(Topic.NODES, 0, 0.0)


async def fetch_newest(client: HttpClient, address: str):
    store = StoreClient(client=client, address=address)
    return await store.fetch_newest(Topic.NODES)


async def cancel(client: HttpClient, address: str):
    engine = HttpModelEngine(http=client, timeout_s=LIMIT_S)
    return await engine.cancel(address, "attempt")


async def poll(_client: HttpClient, address: str):
    poller = Poller()
    result = await poller.poll(f"http://{address}/", Decoder(object), LIMIT_S)
    poller.close()
    return result


def make_server(address: str) -> BackendServer:
    return BackendServer(
        server="s",
        service="m",
        address=address,
        data_centre="a",
        domain="",
        is_leaving=False,
        slots=1,
        staged=(),
        membership=None,
    )


async def order(client: HttpClient, address: str):
    control = HttpEngineControl(client=client)
    leave = Leave(group="g", epoch=1)
    return await control.send_order(make_server(address), leave, LIMIT_S)


async def fetch_report(client: HttpClient, address: str):
    control = HttpEngineControl(client=client)
    return await control.fetch_report(make_server(address), LIMIT_S)


CALLS = [
    request,
    request_once,
    append,
    read,
    fetch_newest,
    cancel,
    order,
    fetch_report,
    poll,
]


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_is_cut_in_its_head_has_no_answer(call) -> None:
    wrong = []
    for status in STATUSES:
        for framing in (LENGTH, CHUNKED, CLOSED):
            head = make_head(status, b"ETag: x\r\nStore-Era: 5\r\n", framing)
            wrong += list_wrong(call, cut(head))
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_is_reset_in_its_head_has_no_answer(call) -> None:
    head = make_head(b"412 No", b"X-Not-Run: true\r\n", LENGTH)
    assert_that(list_wrong(call, cut(head), resets=True), HasLength(0))


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_is_cut_after_an_interim_one_has_no_answer(
    call,
) -> None:
    head = make_head(b"412 No", b"X-Not-Run: true\r\n", LENGTH)
    answers = [INTERIM + beginning for beginning in cut(head)]
    assert_that(list_wrong(call, answers), HasLength(0))


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_is_cut_in_its_body_has_no_answer(call) -> None:
    by_length = make_head(b"200 OK", LENGTH)
    chunked = make_head(b"200 OK", CHUNKED)
    answers = [by_length + body for body in cut(b"{}")]
    answers += [chunked + body for body in cut(b"2\r\n{}\r\n0\r\n\r\n")]
    assert_that(list_wrong(call, answers), HasLength(0))


async def call_on_a_kept_connection(
    call: Call[T], answers: list[bytes]
) -> tuple[Result[T, PlatformError], int]:
    """Return the result of a call and how often it arrived."""
    async with run_server(keeps=1) as server:
        client = HttpClient(max_clients=1)
        server.answers = [WHOLE, *answers]
        await request(client, server.address)
        result = await call(client, server.address)
        client.close()
    return result, len(server.arrived) - 1


@pytest.mark.parametrize("call", [append, cancel])
def test_a_call_on_a_kept_connection_whose_answer_is_cut_is_not_repeated(
    call,
) -> None:
    for answer in cut(make_head(b"200 OK", LENGTH))[len(STATUS_LINE) :]:
        result, arrived = asyncio.run(call_on_a_kept_connection(call, [answer]))
        assert_that(result.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(arrived, Equals(1))


def test_a_call_that_may_be_sent_once_is_not_repeated_after_a_cut_answer() -> (
    None
):
    async def call(client: HttpClient, address: str):
        return await client.request(
            "GET", f"http://{address}/", timeout_s=LIMIT_S, send_once=True
        )

    for answer in cut(make_head(b"200 OK", LENGTH)):
        result, arrived = asyncio.run(call_on_a_kept_connection(call, [answer]))
        assert_that(result.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(arrived, Equals(1))


def test_a_call_on_a_kept_connection_is_repeated_only_without_a_status() -> (
    None
):
    # libcurl takes a part of the status line for no answer at all.
    for answer in cut(STATUS_LINE):
        result, arrived = asyncio.run(
            call_on_a_kept_connection(request, [answer, WHOLE])
        )
        assert_that(result.unwrap().body, Equals(b"{}"))
        assert_that(arrived, Equals(2))


def test_headers_of_an_interim_answer_are_not_those_of_the_final_one() -> None:
    interim = make_head(b"103 Hints", b"X-Not-Run: true\r\nStore-Era: 9\r\n")
    final = make_head(b"500 No", b"Content-Length: 0\r\n")

    async def call(client: HttpClient, address: str):
        return await client.request(
            "GET",
            f"http://{address}/",
            timeout_s=LIMIT_S,
            wanted_header="Store-Era",
        )

    answer = call_each(call, [interim + final])[0].unwrap()
    assert_that(answer.not_run, Equals(False))
    assert_that(answer.header, Equals(""))


def test_a_server_that_cuts_the_head_of_its_answer_is_not_reached() -> None:
    async def is_reached(client: HttpClient, address: str):
        control = HttpEngineControl(client=client)
        return Success(await control.is_reached("s", address, "/", LIMIT_S))

    head = make_head(b"200 OK", b"Content-Length: 0\r\n")
    reached = [r.unwrap() for r in call_each(is_reached, [*cut(head), head])]
    assert_that(reached, Equals([False] * len(head) + [True]))


@pytest.mark.parametrize("status", [b"200 OK", b"304 NM"])
def test_a_poll_whose_answer_is_cut_in_its_head_forgets_the_former_one(
    status: bytes,
) -> None:
    # The former value, or the tag of the cut answer, would seem to be current.
    async def check(answer: bytes) -> None:
        async with run_server(keeps=1) as server:
            poller = Poller()
            url = f"http://{server.address}/"
            decoder = Decoder(object)
            server.answers = [WHOLE, answer, WHOLE]
            await poller.poll(url, decoder, LIMIT_S)
            result = await poller.poll(url, decoder, LIMIT_S)
            assert_that(result.failure().kind, Equals(PlatformErrorKind.OUTAGE))
            await poller.poll(url, decoder, LIMIT_S)
            poller.close()
        conditional = [
            b"if-none-match" in head.lower() for head in server.arrived
        ]
        assert_that(conditional, Equals([False, True, False]))

    head = make_head(status, b"ETag: y\r\n", LENGTH)
    for answer in cut(head)[len(STATUS_LINE) :]:
        asyncio.run(check(answer))


def test_the_tag_of_an_interim_answer_is_not_that_of_the_final_one() -> None:
    interim = make_head(b"103 Hints", b"ETag: y\r\n")
    final = make_head(b"200 OK", LENGTH) + b"{}"

    async def check() -> None:
        async with run_server(keeps=1) as server:
            poller = Poller()
            url = f"http://{server.address}/"
            decoder = Decoder(object)
            server.answers = [interim + final, WHOLE]
            await poller.poll(url, decoder, LIMIT_S)
            await poller.poll(url, decoder, LIMIT_S)
            poller.close()
        assert_that(b"if-none-match" in server.arrived[1].lower(), Is(False))

    asyncio.run(check())
