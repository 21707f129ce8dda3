"""A thousand callers who do not read, over sockets."""

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
MAX_TAKEN_BYTES = 192 * 1024
"""What a node may take of one stream that nobody reads: the bound of the
test, a chunk of libcurl, and the socket buffers, which the system doubles."""

TURNS = 2000

LONGEST_S = 600
"""Time limits of the streams, longer than the test may run."""


async def pour(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers a request with large events for as long as they are taken."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        own = ("X-Request-Id", "X-Attempt-Id", "X-Fence")
        copied = "".join(f"{name}: {lines[name]}\r\n" for name in own)
        writer.write(f"HTTP/1.1 200 OK\r\n{copied}\r\n".encode())
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
    """Asks for a stream and reads nothing of it."""
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


async def leave_unread(site: Site) -> int:
    """Returns the most events that the node took of any stream."""
    server = await asyncio.start_server(pour, "127.0.0.1", 0, backlog=STREAMS)
    port = server.sockets[0].getsockname()[1]
    address = f"127.0.0.1:{port}"
    site.context.set_serving(
        [make_endpoint(number, address) for number in range(GROUPS)]
    )
    callers = [await open_stream(site) for _ in range(STREAMS)]
    while count_blocked(site) < STREAMS:
        await asyncio.sleep(0)
    runs = site.path.list_runs()
    before = [run.count_tokens() for run in runs]
    for _ in range(TURNS):
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
    # On a busy machine it takes longer than the usual limits until the last
    # stream is blocked; those that had reached them were ended meanwhile, so
    # that all of them never were at once.
    site.context.timeout_ms = LONGEST_S * 1000
    monkeypatch.setattr(runs, "CALLER_STALL_S", float(LONGEST_S))
    monkeypatch.setattr(sinks, "MAX_UNSENT_BYTES", BUFFER_BYTES)
    most = loop.run(leave_unread(site))
    assert_that(most * EVENT_BYTES, LessThan(MAX_TAKEN_BYTES))
