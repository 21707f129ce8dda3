"""Requests that come late in the grace period of a stopping node.

They may not be repeated, and their servers take from a moment to longer than
the grace period. Each one that the node has read needs an answer.
"""

import asyncio
import contextlib
import itertools
from typing import NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, HasLength, Not

from chervilrock.decisions.serving.admission.durations import MIN_SAMPLES
from chervilrock.standin.site.site import make_configuration
from test.node.serving_site import run_world, World
from test.node.test_begun_streams import has_revision

GRACES_S = (3.0, 5.0)
"""Grace periods: in the shorter one requests are still running at the exit."""

LIMIT_MS = 8000
"""Time limit of the requests and of their routes."""

INTERVAL_S = 0.05
"""Interval between two requests."""

REQUESTS_BEFORE = 20
"""Requests that are sent before the node begins to stop."""

WORK_S = (0.2, 0.6, 1.5, 3.0, 30.0)
"""Times for which the servers run a request, the last one longer than the grace
period."""

PATHS = ("/book/x", "/draft/x")
"""Paths of requests that may not be repeated, and of streams."""

CLOSED = 0
"""Status of a request whose connection was closed without a whole answer."""


class Sent(NamedTuple):
    """A request and what came back.

    Attributes:
      request_id: its identifier.
      status: status of the whole answer, else `CLOSED`.
      size: bytes of the answer that arrived.
    """

    request_id: str
    status: int
    size: int


class KeptConnections:
    """Sends requests, on connections that are kept until a node closes them.

    Attributes:
      sent: requests that have ended.
      refused: number of connections that were not accepted.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._address = world.nodes[0].own.callers_address
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.sent: list[Sent] = []
        self.refused = 0

    async def open(self, count: int) -> None:
        """Open connections that the next requests use."""
        host, port = self._address.split(":")
        for _ in range(count):
            self._idle.append(await asyncio.open_connection(host, int(port)))

    async def send(self, path: str) -> None:
        """Send a request and wait for the end of its answer."""
        try:
            if not self._idle:
                await self.open(1)
        except OSError:
            self.refused += 1
            return
        reader, writer = self._idle.pop()
        is_stream = path.startswith("/draft/")
        headers = self._world.make_headers(
            X_Deadline_Ms=str(LIMIT_MS),
            X_Token_Count="10,60" if is_stream else "",
            **({} if is_stream else {"X_Model": ""}),
        )
        lines = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        head = f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 4\r\n\r\nbody"
        received = bytearray()
        status = CLOSED
        try:
            writer.write(head.encode())
            is_kept = await read_answer(reader, received)
            status = int(received.split(b" ", 2)[1])
            if is_kept:
                self._idle.append((reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            is_kept = False
        if not is_kept:
            writer.close()
        request_id = headers["X-Request-Id"]
        self.sent.append(Sent(request_id, status, len(received)))

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self._idle:
            writer.close()


async def read_answer(
    reader: asyncio.StreamReader, received: bytearray
) -> bool:
    """Read a whole answer; return whether its connection is kept.

    Raises:
      IncompleteReadError: the connection was closed before.
    """
    head = await read_until(reader, b"\r\n\r\n", received)
    fields = dict(
        line.split(b": ", 1) for line in head.lower().splitlines()[1:-1]
    )
    if b"content-length" in fields:
        received += await reader.readexactly(int(fields[b"content-length"]))
    else:
        size = b""
        while size != b"0\r\n":
            size = await read_until(reader, b"\r\n", received)
            received += await reader.readexactly(int(size, 16) + 2)
    return fields.get(b"connection") != b"close"


async def read_until(
    reader: asyncio.StreamReader, end: bytes, received: bytearray
) -> bytes:
    """Return what arrives up to an end, and append it to what was received.

    Raises:
      IncompleteReadError: the connection was closed before.
    """
    data = b""
    while not data.endswith(end):
        data += await reader.readexactly(1)
        received += data[-1:]
    return data


async def send_until_exit(world: World, connections: KeptConnections) -> None:
    """Send requests in turn, stop the node, and go on until it has exited."""
    calls = []
    stopping: asyncio.Future[None] | None = None
    for number, path in enumerate(itertools.cycle(PATHS)):
        if number == REQUESTS_BEFORE:
            stopping = asyncio.ensure_future(world.nodes[0].stop())
        if stopping is not None and stopping.done():
            break
        calls.append(asyncio.create_task(connections.send(path)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*calls)


def list_unanswered(
    connections: KeptConnections, log_lines: list[str]
) -> list[Sent]:
    """Return the requests that the node has read and that got no answer.

    The log names each request that a node has read.
    """
    log = "".join(log_lines)
    return [
        sent
        for sent in connections.sent
        if sent.status == CLOSED and (sent.size or sent.request_id in log)
    ]


async def set_routes(world: World) -> None:
    """Let requests outlast the grace period, and streams not be repeated."""
    document = make_configuration(2)
    for route in document["routes"]:
        route["timeout_ms"] = LIMIT_MS
        route.pop("stream_resume", None)
    world.site.store.write_configuration(document)
    await world.wait(
        lambda: all(has_revision(node, 2) for node in world.nodes),
        "the revision is in force",
    )


async def learn_durations(world: World) -> None:
    """Let the node learn how long requests take."""
    for _ in range(MIN_SAMPLES):
        await world.call("/draft/x")
        headers = world.make_headers(X_Model="", X_Token_Count="")
        await world.call("/book/x", headers=headers)


@pytest.mark.parametrize("nodes", [1, 2])
@pytest.mark.parametrize("grace_s", GRACES_S)
@pytest.mark.parametrize("knows_durations", [False, True])
def test_requests_that_come_until_the_exit_are_answered(
    log_lines: list[str], knows_durations: bool, grace_s: float, nodes: int
) -> None:
    async def scenario(world: World) -> None:
        await set_routes(world)
        if knows_durations:
            await learn_durations(world)
        for server, work_s in zip(
            world.list_plain_servers(), WORK_S, strict=True
        ):
            server.work_s = work_s
        connections = KeptConnections(world)
        with contextlib.closing(connections):
            await connections.open(20)
            await send_until_exit(world, connections)
        assert_that(list_unanswered(connections, log_lines), HasLength(0))
        statuses = {sent.status for sent in connections.sent}
        assert_that(statuses, Contains(200))
        assert_that(statuses, Contains(503))
        for sent in connections.sent:
            if sent.status == 503:
                assert_that(world.find_runs(sent.request_id), HasLength(0))
        assert_that("".join(log_lines), Not(Contains("answer-cut-at-exit")))

    run_world(scenario, nodes=nodes, grace_s=grace_s, plain_servers=len(WORK_S))
