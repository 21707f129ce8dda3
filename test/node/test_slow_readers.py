"""Callers that do not read their answers, or send many bodies at once."""

import asyncio
import enum
import re
import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
    Not,
)

from chervilrock.decisions.serving.admission.callerbuffers import (
    BufferUse,
    find_budget,
)
from chervilrock.edges.serving.connection import ENDED_REASON
from chervilrock.standin.site.site import make_configuration
from test.node.serving_site import make_events, run_world, World

MEMORY_MB = 4.0
BUDGET = find_budget(MEMORY_MB)
CALLERS = 16
EVENTS = 100
PADDING = 8_000
"""A stream has 0.8 MB, far more than the sockets buffer."""

SOCKET_BYTES = 16_384
"""Send buffer of the sockets of nodes and servers; by default, a socket that is
not read takes up to 4 MB."""


class Caller:
    """A caller that reads only when it is told to."""

    def __init__(self, world: World, *, node: int = 0) -> None:
        self._world = world
        self._address = world.nodes[node].own.callers_address
        self.request_id = ""

    async def send(
        self,
        path: str = "/draft/x",
        *,
        version: str = "1.1",
        body: bytes = b"pad-%d" % PADDING,
        length: int | None = None,
        **changes: str,
    ) -> None:
        """Send a request, of which the body may be a part."""
        headers = self._world.make_headers(**changes)
        self.request_id = headers["X-Request-Id"]
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        host, port = self._address.split(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=4096
        )
        headers["Content-Length"] = str(len(body) if length is None else length)
        lines = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        head = f"POST {path} HTTP/{version}\r\n{lines}\r\n"
        self.writer.write(head.encode() + body)

    async def read(self) -> tuple[bytes, bytes]:
        """Return the head and what arrives of the body, as it was sent."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        body = b""
        try:
            while not body.endswith(b"\r\n0\r\n\r\n"):
                if length is not None and len(body) == int(length[1]):
                    break
                data = await self.reader.read(65536)
                if not data:
                    break
                body += data
        except ConnectionResetError:
            body += b"(reset)"
        return head, body


def use(world: World) -> BufferUse:
    """Return what the first node holds for callers."""
    return world.nodes[0]._callers.memory.describe()


def remove_chunking(body: bytes) -> bytes:
    """Return a body without its chunked encoding, which must be complete."""
    parts = []
    start = 0
    while size := int(body[start : (end := body.index(b"\r\n", start))], 16):
        parts.append(body[end + 2 : end + 2 + size])
        start = end + 2 + size + 2
    return b"".join(parts)


def make_padded_events(request_id: str) -> bytes:
    events = make_events(request_id, EVENTS).decode()
    return events.replace("\n\n", "." * PADDING + "\n\n").encode()


async def add_slots(world: World) -> None:
    """Let groups run many long streams, and sockets buffer little of them."""
    listeners = world.nodes[0]._callers_binding.sockets
    for server in world.site.servers:
        if server._http is not None:
            listeners = [*listeners, *server._http._sockets.values()]
    for listener in listeners:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
    document = make_configuration(2)
    document["services"][0]["engine"]["slots"] = 64
    for route in document["routes"]:
        route["timeout_ms"] = 30_000
    world.site.store.write_configuration(document)
    await world.wait(
        lambda: world.nodes[0].state.revision == 2, "revision 2 in force"
    )


async def start_slow_callers(world: World) -> list[Caller]:
    """Start streams that nobody reads and wait until they are paused."""
    await add_slots(world)
    callers = [Caller(world) for _ in range(CALLERS)]
    for caller in callers:
        await caller.send(X_Token_Count=f"10,{EVENTS}", X_Deadline_Ms="30000")
    await world.wait(lambda: use(world).paused > 0, "a stream is paused")
    return callers


def test_unread_streams_of_many_callers_stay_within_the_budget() -> None:
    # Failure: each connection holds up to 1 MiB, and the process is killed.
    async def scenario(world: World) -> None:
        for server in world.site.servers:
            server.patience_s = 60.0
        callers = await start_slow_callers(world)
        most = 0
        for _ in range(100):
            await asyncio.sleep(0.01)
            most = max(most, use(world).unread)
        assert_that(most, LessThan(BUDGET))
        assert_that(use(world).paused, GreaterThan(CALLERS // 2))
        # Others are served meanwhile.
        quick = Caller(world)
        await quick.send(X_Token_Count=f"10,{EVENTS}", X_Deadline_Ms="30000")
        for caller in (quick, *callers):
            _, body = await caller.read()
            assert_that(
                remove_chunking(body),
                Equals(make_padded_events(caller.request_id)),
            )
        await world.wait(lambda: use(world).unread == 0, "all was read")
        assert_that(use(world).paused, Equals(0))
        # Paused streams are no sign of a stalled group.
        runs = [run for server in world.site.servers for run in server.runs]
        assert_that(runs, HasLength(CALLERS + 1))

    run_world(scenario, memory_mb=MEMORY_MB)


def test_a_stream_that_its_server_cuts_off_unread_is_resumed() -> None:
    # Failure: the caller gets an incomplete stream, or events twice, or the
    # group is avoided although the node did not read.
    async def scenario(world: World) -> None:
        for server in world.site.servers:
            server.patience_s = 0.3
        callers = await start_slow_callers(world)
        await world.wait(
            lambda: any(server.cut_off for server in world.site.servers),
            "a server cut off a stream",
        )
        for server in world.site.servers:
            server.patience_s = 30.0
        answers = await asyncio.gather(*(caller.read() for caller in callers))
        whole = 0
        for caller, (_, body) in zip(callers, answers, strict=True):
            if body.endswith(b"\r\n0\r\n\r\n"):
                whole += 1
                assert_that(
                    remove_chunking(body),
                    Equals(make_padded_events(caller.request_id)),
                )
        # The retry budget of a node that has just started permits some.
        assert_that(whole, GreaterThan(2))
        assert_that(world.nodes[0].state.list_avoided(0.0), HasLength(0))

    run_world(scenario, memory_mb=MEMORY_MB)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("interval_s", [0.0, 0.1])
def test_answers_that_exceed_the_budget_end_and_look_incomplete(
    version: str, interval_s: float
) -> None:
    # Failure: answers that are not streams cannot be paused, and grow beyond
    # the memory; or one that was ended looks like a whole one.
    async def scenario(world: World) -> None:
        await add_slots(world)
        callers = [Caller(world) for _ in range(8)]
        for caller in callers:
            await caller.send(
                "/look/x", version=version, body=b"pad-400000", X_Model=""
            )
            await asyncio.sleep(interval_s)
            assert_that(use(world).unread, LessThan(BUDGET))
        outcomes = [await read_outcome(caller) for caller in callers]
        assert_that(outcomes, Contains(AnswerOutcome.WHOLE))
        ended = {AnswerOutcome.CUT, AnswerOutcome.REJECTED}
        assert_that(ended.intersection(outcomes), Not(HasLength(0)))

    run_world(scenario, memory_mb=MEMORY_MB)


def test_answers_that_arrive_at_once_stay_within_the_budget() -> None:
    # Failure: all that had arrived was taken before the largest answers ended,
    # and the body of an ended answer was counted again.
    most = 0

    async def watch(world: World) -> None:
        nonlocal most
        while True:
            held = use(world)
            most = max(most, held.bodies + held.unread + held.collected)
            await asyncio.sleep(0)

    async def scenario(world: World) -> None:
        await add_slots(world)
        for server in world.site.servers:
            assert server._http is not None
            for listener in server._http._sockets.values():
                listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000
                )
        watching = asyncio.ensure_future(watch(world))
        callers = [Caller(world) for _ in range(8)]
        for caller in callers:
            await caller.send("/look/x", body=b"pad-400000", X_Model="")
        outcomes = [await read_outcome(caller) for caller in callers]
        watching.cancel()
        assert_that(outcomes, Contains(AnswerOutcome.WHOLE))
        await world.wait(
            lambda: use(world) == (BUDGET, 0, 0, 0, 0), "all is released"
        )

    run_world(scenario, memory_mb=MEMORY_MB)
    assert_that(most, GreaterThan(BUDGET // 2))
    assert_that(most, LessThan(BUDGET + 1))


REJECTIONS = {502: ENDED_REASON, 503: "no memory for the body"}
"""Reasons of answers that had not begun, by status."""


class AnswerOutcome(enum.Enum):
    """How an answer ended; one that had not begun is rejected."""

    WHOLE = "whole"
    CUT = "cut"
    REJECTED = "rejected"


async def read_outcome(caller: Caller) -> AnswerOutcome:
    """Return how the answer to a caller ends."""
    try:
        answer = await caller.read()
    except ConnectionResetError:
        # It was reset before its head was read: the reader lets go of all that
        # it has received.
        return AnswerOutcome.CUT
    return find_outcome(answer, caller.request_id)


def find_outcome(answer: tuple[bytes, bytes], request_id: str) -> AnswerOutcome:
    """Return how an answer ended, which must not look like another outcome."""
    head, body = answer
    for status, reason in REJECTIONS.items():
        if head.startswith(f"HTTP/1.1 {status} ".encode()):
            assert_that(body, Contains(reason.encode()))
            return AnswerOutcome.REJECTED
    wanted = len(f"answer to {request_id}") + 400_000
    assert_that(head, Contains(f"Content-Length: {wanted}".encode()))
    is_whole = len(body) == wanted and not body.endswith(b"(reset)")
    return AnswerOutcome.WHOLE if is_whole else AnswerOutcome.CUT


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_stream_that_is_ended_looks_incomplete(version: str) -> None:
    # Failure: the end of an answer of HTTP/1.0 is the end of its connection,
    # so that a closed one looks complete.
    async def scenario(world: World) -> None:
        await add_slots(world)
        caller = Caller(world)
        await caller.send(
            version=version,
            X_Token_Count=f"10,{EVENTS}",
            X_Deadline_Ms="30000",
        )
        await world.wait(lambda: use(world).unread > 0, "bytes are unread")
        memory = world.nodes[0]._callers.memory
        (connection,) = memory._buffers.list_unread()
        connection.end_early()
        _, body = await caller.read()
        assert_that(body.endswith(b"(reset)"), Is(True))
        await world.wait(
            lambda: not world.nodes[0]._callers.exchanges, "the request ended"
        )
        assert_that(len(world.nodes[0].state.own_loads), Equals(0))

    run_world(scenario)


@pytest.mark.parametrize("kind", ["stated", "expected", "growing"])
def test_a_body_that_does_not_fit_is_rejected_at_once(kind: str) -> None:
    # Failure: bodies that are being received take any amount of memory.
    async def scenario(world: World) -> None:
        part = b"b" * 100_000
        senders = [Caller(world) for _ in range(4)]
        for sender in senders:
            await sender.send(body=part, length=200_000)
        await world.wait(lambda: use(world).bodies == 400_000, "all arrived")
        late = Caller(world)
        if kind == "stated":
            await late.send(body=part[:10], length=200_000)
        elif kind == "expected":
            await late.send(body=b"", length=200_000, Expect="100-continue")
        else:
            await late.send(body=part[:10], length=70_000)
            await world.wait(lambda: use(world).bodies > 400_000, "it began")
            senders[0].writer.write(part[:90_000])
            await world.wait(lambda: use(world).bodies > 490_000, "it arrived")
            late.writer.write(part[:60_000])
        head, body = await late.read()
        assert_that(head.startswith(b"HTTP/1.1 503"), Is(True))
        assert_that(head, Contains(b"Retry-After: "))
        assert_that(body, Contains(b"no memory"))
        assert_that(world.find_runs(late.request_id), HasLength(0))
        assert_that(use(world).bodies, LessThan(490_001))
        for sender in senders:
            sender.writer.close()
        await world.wait(lambda: use(world).bodies < 200_000, "released")

    run_world(scenario, memory_mb=MEMORY_MB)
