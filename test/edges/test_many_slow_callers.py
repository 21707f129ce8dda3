"""Tests a thousand callers who do not read their streams, over sockets."""

import asyncio
import socket

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.decisions.routing.base import Endpoint
from chervilrock.edges import runs, sinks
from test.edges.raw import make_request
from test.edges.sites import MODEL, Site

STREAMS = 1000
GROUPS = 40
BUFFER_BYTES = 4096
EVENT_BYTES = 8 * 1024
MAX_BUFFERED_BYTES = 192 * 1024
"""Bytes that a node may accept of a stream that nobody reads: the limit that
the test sets, a chunk of libcurl, and the socket buffers, whose sizes the
system doubles."""

LOOP_ITERATIONS = 2000

STREAM_TIMEOUT_S = 600
"""Timeout of requests and of unread streams, longer than the test may run."""


async def stream_until_blocked(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers a request with large events until the connection closes."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        echoed_names = ("X-Request-Id", "X-Attempt-Id", "X-Fence")
        echoed_headers = "".join(
            f"{name}: {lines[name]}\r\n" for name in echoed_names
        )
        writer.write(f"HTTP/1.1 200 OK\r\n{echoed_headers}\r\n".encode())
        text = "x" * EVENT_BYTES
        number = 0
        while True:
            number += 1
            event = f"id: {lines['X-Request-Id']}/{number}\ndata: {text}\n\n"
            writer.write(event.encode())
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


def make_endpoint(number: int, address: str) -> Endpoint:
    return Endpoint(
        group=f"g{number}",
        fence=1,
        model=MODEL,
        version="1",
        adapters=(),
        address=address,
        data_centre="d1",
        size=1,
    )


async def open_stream(site: Site) -> socket.socket:
    """Requests a stream and reads nothing of it."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    host, port = site.address.split(":")
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    body = msgspec.json.encode({"model": MODEL, "prompt": "p", "stream": True})
    request = make_request("/v1/completions", body)
    await loop.sock_sendall(connection, request)
    return connection


def count_blocked(site: Site) -> int:
    return sum(run.blocked for run in site.path.list_runs())


async def count_buffered_events(site: Site) -> int:
    """Returns the largest number of events the node accepted of a stream."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=STREAMS)
    # Accepted connections inherit the size. Without it, the events that the
    # server has written take 2 GB of the memory that the system has for TCP.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    server = await asyncio.start_server(stream_until_blocked, sock=listener)
    port = listener.getsockname()[1]
    address = f"127.0.0.1:{port}"
    site.context.set_serving(
        [make_endpoint(number, address) for number in range(GROUPS)]
    )
    callers = [await open_stream(site) for _ in range(STREAMS)]
    while count_blocked(site) < STREAMS:
        await asyncio.sleep(0)
    runs = site.path.list_runs()
    before = [run.count_tokens() for run in runs]
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    assert_that([run.count_tokens() for run in runs], Equals(before))
    for caller in callers:
        caller.close()
    while site.path.in_flight:
        await asyncio.sleep(0)
    server.close()
    return max(before)


def test_streams_that_nobody_reads_are_held_back(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    # On a busy machine the last stream is blocked only after the usual
    # timeouts have ended the first ones, so that never all streams would be
    # blocked at the same time.
    site.context.timeout_ms = STREAM_TIMEOUT_S * 1000
    monkeypatch.setattr(runs, "CALLER_STALL_S", float(STREAM_TIMEOUT_S))
    monkeypatch.setattr(sinks, "MAX_UNSENT_BYTES", BUFFER_BYTES)
    max_events = loop.run(count_buffered_events(site))
    assert_that(max_events * EVENT_BYTES, LessThan(MAX_BUFFERED_BYTES))
