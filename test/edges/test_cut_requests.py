"""Requests whose connection ends before they are whole.

Failure: a request that is cut would run with a part of its body.
"""

import asyncio
import math
import socket
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.callers import CallerEdge
from chervilrock.edges.serving.simpleedge import Reply, SimpleEdge
from chervilrock.serving_metrics import ServingMetrics
from test.edges.cutanswers import cut, RESET_ON_CLOSE

MAX_BODY_BYTES = 4096
BODY = b"01234567"
LIMIT_S = 10.0
ANSWER_END = b"\r\n\r\nok"

GET = b"GET /a HTTP/1.1\r\nHost: n\r\nX-Request-Id: r\r\n\r\n"
BY_LENGTH = (
    b"POST /a HTTP/1.1\r\nHost: n\r\nContent-Length: 8\r\n"
    b"X-Request-Id: r\r\n\r\n" + BODY
)
IN_CHUNKS = (
    b"POST /a HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\n012\r\n5\r\n34567\r\n0\r\n\r\n"
)
WHOLE = [(GET, b""), (BY_LENGTH, BODY), (IN_CHUNKS, BODY)]
WITH_TRAILER = IN_CHUNKS[: -len(b"\r\n")] + b"X-Sum: 1\r\n\r\n"


class Server(HTTPServer):
    """A server that tells when a connection has ended.

    Attributes:
      ended: set when the server is done with a connection.
    """

    ended: asyncio.Event

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.ended.set()


class RecordingEdge(CallerEdge):
    """Answers each request of a caller and records its body."""

    def __init__(self, bodies: list[bytes]) -> None:
        context: Any = SimpleNamespace(
            state=SimpleNamespace(routes=None, is_stopping=False),
            metrics=ServingMetrics(),
        )
        super().__init__(
            context=context, budget=math.inf, idle_timeout_s=LIMIT_S
        )
        self._bodies = bodies

    def start(
        self, request: CallerRequest, connection: HTTP1Connection
    ) -> None:
        self._bodies.append(request.body)
        answer = self._make_answer(connection)
        answer.answer(200, (("Content-Type", "text/plain"),), b"ok")


def make_simple_edge(bodies: list[bytes]) -> SimpleEdge:
    def answer(_path: str, _query: dict[str, str], body: bytes) -> Reply:
        bodies.append(body)
        return Reply(status=200, body=b"ok")

    return SimpleEdge(answer=answer)


def make_application(bodies: list[bytes]) -> Application:
    class Handler(RequestHandler):
        def post(self) -> None:
            bodies.append(self.request.body)
            self.write(b"ok")

        get = post

    return Application([(".*", Handler)], log_function=lambda _handler: None)


EDGES = [RecordingEdge, make_simple_edge, make_application]


class Ending(NamedTuple):
    """How a caller ends its connection.

    Attributes:
      resets: whether by a reset.
      is_half: whether it only ends its own direction, and reads the answer.
      waits: what it reads of an answer before.
    """

    resets: bool = False
    is_half: bool = False
    waits: bytes = b""


ENDINGS = [Ending(), Ending(resets=True), Ending(is_half=True)]


async def send(port: int, data: bytes, ending: Ending) -> bytes:
    """Send bytes and end the connection; return what was answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await writer.drain()
    answer = b""
    if ending.waits:
        answer = await reader.readuntil(ending.waits)
    if ending.is_half:
        writer.write_eof()
        answer = await reader.read()
    if ending.resets:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.close()
    return answer


def run_requests(
    make: Any, requests: list[bytes], ending: Ending
) -> list[tuple[list[bytes], bytes]]:
    """Return for each connection the bodies that ran, and the answers."""

    async def run_all() -> list[tuple[list[bytes], bytes]]:
        bodies: list[bytes] = []
        server = Server(make(bodies), max_body_size=MAX_BODY_BYTES)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        results = []
        async with asyncio.timeout(LIMIT_S):
            for data in requests:
                bodies.clear()
                server.ended = asyncio.Event()
                answer = await send(port, data, ending)
                await server.ended.wait()
                results.append((list(bodies), answer))
        server.stop()
        return results

    return asyncio.run(run_all())


def list_wrong(
    make: Any, requests: list[bytes], ending: Ending, bodies: list[bytes]
) -> list[bytes]:
    """Return the requests of which not exactly these bodies ran."""
    results = run_requests(make, requests, ending)
    return [
        request
        for request, (ran, _answer) in zip(requests, results, strict=True)
        if ran != bodies
    ]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("make", EDGES)
def test_a_request_that_is_cut_does_not_run(make, ending) -> None:
    requests = [*cut(GET)[1:], *cut(BY_LENGTH)[1:], *cut(IN_CHUNKS)[1:]]
    assert_that(list_wrong(make, requests, ending, []), HasLength(0))


@pytest.mark.parametrize("make", EDGES)
def test_a_whole_request_is_answered(make) -> None:
    for request, body in WHOLE:
        results = run_requests(make, [request], Ending(waits=ANSWER_END))
        assert_that(results[0][0], Equals([body]))
        assert_that(results[0][1], Contains(b" 200 "))


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("make", EDGES)
def test_a_whole_request_of_a_closed_connection_runs_at_most_once(
    make, ending
) -> None:
    # The end may be read with the request, whose caller has then gone.
    for request, body in WHOLE:
        results = run_requests(make, [request], ending)
        assert_that(results[0][0] in ([], [body]), Is(True))


@pytest.mark.parametrize("make", EDGES)
def test_a_cut_request_behind_a_whole_one_does_not_run(make) -> None:
    for second, _body in WHOLE:
        requests = [BY_LENGTH + part for part in cut(second)]
        wrong = list_wrong(make, requests, Ending(waits=ANSWER_END), [BODY])
        assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("make", EDGES)
def test_a_request_with_trailers_is_rejected_and_does_not_run(make) -> None:
    results = run_requests(make, [WITH_TRAILER], Ending(waits=b"\r\n\r\n"))
    assert_that(results[0][0], HasLength(0))
    assert_that(results[0][1], Contains(b" 400 "))
