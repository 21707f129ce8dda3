import asyncio
import socket

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.edges import runs, sinks
from chervilrock.standin.text import expected_text
from test.edges.raw import make_request
from test.edges.sites import join_stream, Site

TOKENS = 2_000
BUFFER_BYTES = 4096


async def open_slow_stream(
    site: Site,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Requests a long stream and waits until unread data blocks it."""
    host, port = site.address.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=BUFFER_BYTES
    )
    body = {"model": "m", "prompt": "p", "max_tokens": TOKENS, "stream": True}
    writer.write(make_request("/v1/completions", msgspec.json.encode(body)))
    while not any(run.blocked for run in site.path.list_runs()):
        await asyncio.sleep(0)
    return reader, writer


def remove_chunking(data: bytes) -> bytes:
    """Returns the body of an answer in chunked encoding."""
    rest = data.partition(b"\r\n\r\n")[2]
    parts = []
    start = 0
    while size := int(rest[start : (end := rest.index(b"\r\n", start))], 16):
        parts.append(rest[end + 2 : end + 2 + size])
        start = end + 2 + size + 2
    return b"".join(parts)


@pytest.fixture(autouse=True)
def limit_unsent_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sinks, "MAX_UNSENT_BYTES", BUFFER_BYTES)


def test_slow_caller_pauses_the_stream_and_gets_all_of_it(
    loop: asyncio.Runner, site: Site
) -> None:
    async def read_slowly() -> bytes:
        reader, writer = await open_slow_stream(site)
        for _ in range(2000):
            await asyncio.sleep(0)
        (run,) = site.path.list_runs()
        assert run.blocked
        assert run.count_tokens() < TOKENS
        data = await reader.read()
        writer.close()
        return data

    text = join_stream(remove_chunking(loop.run(read_slowly())))
    assert_that(text, Equals("".join(expected_text("m", "p", TOKENS))))


def test_caller_that_stops_reading_is_disconnected(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(runs, "CALLER_STALL_S", 0.0)

    async def read_nothing() -> None:
        _reader, writer = await open_slow_stream(site)
        while site.path.in_flight or site.count_running():
            await asyncio.sleep(0)
        writer.close()

    loop.run(read_nothing())


def test_unread_answer_is_in_progress_until_its_caller_disconnects(
    loop: asyncio.Runner, site: Site
) -> None:
    async def disconnect_unread() -> None:
        host, port = site.address.split(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        connection.connect((host, int(port)))
        body = {"model": "m", "prompt": "p", "max_tokens": 20 * TOKENS}
        request = make_request("/v1/completions", msgspec.json.encode(body))
        connection.sendall(request)
        while not site.count_runs() or site.path.list_runs():
            await asyncio.sleep(0)
        assert_that(site.path.in_flight, Equals(1))
        connection.close()
        while site.path.in_flight:
            await asyncio.sleep(0)

    loop.run(disconnect_unread())
