"""Servers of the relay bench, each in a separate operating-system process.

The upstream stands in for all engines: it answers each request with events at
a fixed interval. The relays are the product's and a bare one made of the same
libraries, which only forwards chunks.
"""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import enum
import functools
import json
from multiprocessing.connection import Connection
import random
import resource
import time
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bench.relay_context import BenchContext, MODEL
from chervilrock.edges.callers import make_caller_routes
from chervilrock.edges.path import RequestPath
from chervilrock.events import configure_logging

PAGE_KB = 4


class Order(enum.StrEnum):
    """Commands of the bench to a relay process."""

    MEASURE = "measure"
    STOP = "stop"


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resources that a process has used so far.

    Attributes:
      cpu_s: processor time in seconds.
      memory_kb: resident memory in KB.
    """

    cpu_s: float
    memory_kb: int


def read_usage() -> Usage:
    """Returns the resources that this process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return Usage(used.ru_utime + used.ru_stime, pages * PAGE_KB)


def run_upstream(pipe: Connection) -> None:
    """Runs the upstream until it receives `Order.STOP`."""
    asyncio.run(_serve(pipe, _start_upstream))


def run_bare(pipe: Connection, upstream: str) -> None:
    """Runs the bare relay until it receives `Order.STOP`."""
    asyncio.run(_serve(pipe, functools.partial(_start_bare, upstream)))


def run_product(pipe: Connection, upstream: str, limited: bool) -> None:
    """Runs the product's relay until it receives `Order.STOP`."""
    start = functools.partial(_start_product, upstream, limited)
    asyncio.run(_serve(pipe, start))


Start = Callable[[], Coroutine[Any, Any, int]]


async def _serve(pipe: Connection, start: Start) -> None:
    """Starts a server, sends its port and handles orders."""
    pipe.send(await start())
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()

    def handle_order() -> None:
        if _receive_order(pipe) is Order.STOP:
            loop.remove_reader(pipe.fileno())
            stopped.set()
        else:
            pipe.send(read_usage())

    loop.add_reader(pipe.fileno(), handle_order)
    await stopped.wait()


def _receive_order(pipe: Connection) -> Order:
    """Returns the next order; STOP when the bench has closed the pipe."""
    try:
        order: Order = pipe.recv()
    except EOFError:
        order = Order.STOP
    return order


async def _start_upstream() -> int:
    server = await asyncio.start_server(_answer_requests, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


async def _answer_requests(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            headers = _parse_headers(head)
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
            if head.startswith(b"POST /control/"):
                writer.write(b"HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n")
            else:
                await _answer_request(writer, headers, json.loads(body))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin1").split("\r\n")[1:]
    pairs = (line.split(": ", 1) for line in lines if ": " in line)
    return {name.lower(): value for name, value in pairs}


async def _answer_request(
    writer: asyncio.StreamWriter, headers: dict[str, str], body: dict[str, Any]
) -> None:
    request_id = headers.get("x-request-id", "r")
    own = (
        f"X-Request-Id: {request_id}\r\n"
        f"X-Attempt-Id: {headers.get('x-attempt-id', '')}\r\n"
        f"X-Fence: {headers.get('x-fence', '')}\r\n"
    )
    if not body.get("stream"):
        answer = json.dumps({"id": request_id, "choices": []}).encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\n{own}Content-Length: {len(answer)}\r\n"
            "Content-Type: application/json\r\n\r\n".encode()
            + answer
        )
        return
    writer.write(
        f"HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n"
        "Content-Type: text/event-stream\r\n\r\n".encode()
    )
    await _send_events(writer, request_id, body)


async def _send_events(
    writer: asyncio.StreamWriter, request_id: str, body: dict[str, Any]
) -> None:
    interval_s = body["interval_ms"] / 1000.0
    loop = asyncio.get_running_loop()
    due = loop.time() + random.random() * interval_s
    for number in range(1, body["max_tokens"] + 1):
        await asyncio.sleep(max(0.0, due - loop.time()))
        due += interval_s
        writer.write(_format_chunk(_format_event(request_id, number)))
        await writer.drain()
    done = f"id: {request_id}/{body['max_tokens'] + 1}\ndata: [DONE]\n\n"
    writer.write(_format_chunk(done.encode()) + b"0\r\n\r\n")


def _format_event(request_id: str, number: int) -> bytes:
    data = json.dumps(
        {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": MODEL,
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": f" word-{number}"},
                    "finish_reason": None,
                }
            ],
        }
    )
    return f"id: {request_id}/{number}\ndata: {data}\n\n".encode()


def _format_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _BareHandler(RequestHandler):
    """Forwards a request, and its answer chunk by chunk."""

    def initialize(self, client: CurlAsyncHTTPClient, upstream: str) -> None:
        self._client = client
        self._upstream = upstream

    async def post(self) -> None:
        await self._client.fetch(
            HTTPRequest(
                f"http://{self._upstream}{self.request.path}",
                method="POST",
                body=self.request.body,
                headers={"Content-Type": "application/json"},
                streaming_callback=self._forward_chunk,
                request_timeout=600.0,
            )
        )
        self.finish()

    def _forward_chunk(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


async def _start_bare(upstream: str) -> int:
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=2048)
    options = {"client": client, "upstream": upstream}
    return _listen([(r"/v1/.*", _BareHandler, options)])


async def _start_product(upstream: str, limited: bool = True) -> int:
    configure_logging(level="WARNING")
    context = BenchContext(
        upstream=upstream, now=time.monotonic, limited=limited
    )
    path = RequestPath(context=context)
    return _listen(make_caller_routes(context, path=path))


def _listen(routes: Any) -> int:
    application = Application(routes, log_function=lambda _handler: None)
    sockets = bind_sockets(0, "127.0.0.1", backlog=4096, reuse_port=False)
    server = HTTPServer(application)
    server.add_sockets(sockets)
    port: int = sockets[0].getsockname()[1]
    return port
