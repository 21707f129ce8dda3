"""Transfers to backend servers that are held back or abandoned."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from typing import Any, NamedTuple

import pycurl
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    HasLength,
    Is,
    IsInstance,
    LessThan,
    Not,
)
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from chervilrock.clients.curlpool import CurlPool
from chervilrock.clients.heads import MAX_HEAD_BYTES
from chervilrock.edges import relay
from chervilrock.edges.heads import Head, parse_head
from chervilrock.edges.relay import (
    BackendRequest,
    Receiver,
    Transfer,
    TransferEnd,
)
from test.tasks.virtual_time import run_virtually

TIMEOUT_S = 10.0
HEAD = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\n"
BODY = b"busy"


class RecordingReceiver(Receiver):
    """Records what is received."""

    def __init__(self) -> None:
        self.inspected: list[Head] = []
        self.heads: list[Head] = []
        self.data = b""
        self.room = 1_000_000
        self.asked: list[int] = []

    def inspect_head(self, head: Head) -> None:
        self.inspected.append(head)

    def handle_head(self, head: Head) -> None:
        self.heads.append(head)

    def has_room(self, size: int) -> bool:
        self.asked.append(size)
        return self.room >= size

    def handle_data(self, data: bytes) -> None:
        self.data += data


class Sent(NamedTuple):
    """A transfer in progress and the connection that reached the server."""

    transfer: Transfer
    receiver: RecordingReceiver
    end: "asyncio.Task[TransferEnd]"
    connections: "asyncio.Queue[tuple[bytes, asyncio.StreamWriter]]"


Scenario = Callable[[Sent], Awaitable[None]]


@pytest.fixture
def run_transfer() -> Callable[..., None]:
    """Start a transfer to a server that the test answers for."""

    def run(
        scenario: Scenario,
        may_send: Callable[[], bool] = lambda: True,
        target: str = "/",
        body: bytes | None = None,
    ) -> None:
        async def run_all() -> None:
            connections: asyncio.Queue[tuple[bytes, asyncio.StreamWriter]] = (
                asyncio.Queue()
            )

            writers: list[asyncio.StreamWriter] = []

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                writers.append(writer)
                connections.put_nowait((await reader.read(1024), writer))

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            pool = CurlPool(max_requests=4, max_body_size=1024)
            receiver = RecordingReceiver()
            transfer = Transfer(
                request=BackendRequest(
                    method="GET",
                    url=f"http://127.0.0.1:{port}{target}",
                    headers=(),
                    body=body,
                    timeout_s=TIMEOUT_S,
                    send_once=True,
                ),
                receiver=receiver,
                may_send=may_send,
            )
            with pool.borrow() as client:
                end = asyncio.create_task(transfer.run(client))
                async with asyncio.timeout(TIMEOUT_S):
                    await scenario(Sent(transfer, receiver, end, connections))
            pool.close()
            server.close()
            for writer in writers:
                writer.close()

        asyncio.run(run_all())

    return run


def test_a_request_that_its_server_refuses_by_now_is_not_sent(
    run_transfer,
) -> None:
    # Failure: the server has asked for a pause since it was chosen.
    async def scenario(sent: Sent) -> None:
        end = await sent.end
        assert_that(end.is_held, Is(True))
        assert_that(end.sent, Is(False))
        assert_that(end.is_broken, Is(False))
        received, _ = await sent.connections.get()
        assert_that(received, Equals(b""))

    run_transfer(scenario, lambda: False)


@pytest.mark.parametrize(
    "target", ["/look/%e9%2f%2F", "/a/../b//c?x=%3a&y=1#z", "/?q"]
)
def test_the_target_of_a_request_is_not_changed(run_transfer, target) -> None:
    # Failure: the server gets percent-encoded octets in upper case, and
    # nothing after a number sign.
    async def scenario(sent: Sent) -> None:
        received, writer = await sent.connections.get()
        line = received.partition(b"\r\n")[0].decode()
        assert_that(line, Equals(f"GET {target} HTTP/1.1"))
        writer.write(HEAD + BODY)
        await sent.end

    run_transfer(scenario, target=target)


def test_a_head_is_inspected_before_its_body_arrives(run_transfer) -> None:
    # Failure: a pause is obeyed only when the slow body is complete.
    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        writer.write(HEAD)
        while not sent.receiver.inspected:
            await asyncio.sleep(0.01)
        assert_that(sent.end.done(), Is(False))
        writer.write(BODY)
        end = await sent.end
        assert_that(end.error, Equals(""))
        assert_that(sent.receiver.inspected, Equals(sent.receiver.heads))
        assert_that(sent.receiver.data, Equals(BODY))

    run_transfer(scenario, lambda: True)


def test_an_interim_head_is_not_inspected(run_transfer) -> None:
    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        writer.write(b"HTTP/1.1 103 Early Hints\r\nRetry-After: 9\r\n\r\n")
        writer.write(HEAD + BODY)
        await sent.end
        (head,) = sent.receiver.inspected
        assert_that(head.status, Equals(503))
        assert_that(head.headers, Contains(("Retry-After", "3")))

    run_transfer(scenario, lambda: True)


def test_the_head_of_an_answer_to_an_abandoned_transfer_is_inspected(
    run_transfer,
) -> None:
    # Failure: a pause is not obeyed because the caller has left.
    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        writer.write(HEAD + BODY)
        sent.transfer.abandon()
        end = await sent.end
        assert_that(end.error, IsInstance(str))
        assert_that(sent.receiver.heads, HasLength(0))
        (head,) = sent.receiver.inspected
        assert_that(head.status, Equals(503))
        with contextlib.suppress(OSError):
            writer.close()

    run_transfer(scenario, lambda: True)


def test_a_body_of_a_get_request_is_sent(run_transfer) -> None:
    # Failure: it was sent to no server, and its caller was told that all are
    # full.
    async def scenario(sent: Sent) -> None:
        received, writer = await sent.connections.get()
        head, _, body = received.partition(b"\r\n\r\n")
        assert_that(head, Contains(b"GET / HTTP/1.1\r\n"))
        assert_that(head, Contains(b"Content-Length: 4"))
        assert_that(body, Equals(b"body"))
        writer.write(HEAD + BODY)
        end = await sent.end
        assert_that(end.error, Equals(""))

    run_transfer(scenario, body=b"body")


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


def test_interim_answers_without_end_are_read_once(
    run_transfer, monkeypatch
) -> None:
    # Failure: all earlier ones were parsed again with each further one.
    parsed = 0

    def count(lines: list[bytes]) -> Head | None:
        nonlocal parsed
        parsed += len(lines)
        return parse_head(lines)

    monkeypatch.setattr(relay, "parse_head", count)

    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        with contextlib.suppress(OSError):
            while not sent.end.done():
                writer.write(INTERIM * 100)
                await writer.drain()
                await asyncio.sleep(0)
        end = await sent.end
        assert_that(end.is_faulty, Is(True))
        assert_that(end.error, Contains(str(MAX_HEAD_BYTES)))
        assert_that(end.is_broken, Is(False))
        # Each line of an interim answer has eight bytes at least.
        assert_that(parsed, LessThan(MAX_HEAD_BYTES // 8))

    run_transfer(scenario)


def test_the_final_head_may_follow_interim_answers(run_transfer) -> None:
    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        writer.write(INTERIM * 100 + HEAD + BODY)
        end = await sent.end
        assert_that(end.error, Equals(""))
        assert_that(sent.receiver.heads, HasLength(1))
        assert_that(sent.receiver.heads[0].status, Equals(503))
        assert_that(sent.receiver.data, Equals(BODY))

    run_transfer(scenario)


def test_bytes_without_room_are_received_later(run_transfer) -> None:
    # Failure: they are kept beyond the memory, or lost.
    async def scenario(sent: Sent) -> None:
        sent.receiver.room = 0
        _, writer = await sent.connections.get()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy")
        await writer.drain()
        while not sent.receiver.asked:
            await asyncio.sleep(0)
        assert_that(sent.transfer.paused, Is(True))
        assert_that(sent.receiver.data, Equals(b""))
        assert_that(sent.receiver.heads, HasLength(1))
        sent.receiver.room = 4
        sent.transfer.resume()
        end = await sent.end
        assert_that(end.error, Equals(""))
        assert_that(sent.receiver.data, Equals(b"busy"))

    run_transfer(scenario)


def test_a_transfer_ends_when_its_receiver_finds_a_fault(run_transfer) -> None:
    # Failure: what was known to be no answer was read until the time limit.
    async def scenario(sent: Sent) -> None:
        _, writer = await sent.connections.get()
        sent.receiver.fault = "no answer"
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nx")
        await writer.drain()
        end = await sent.end
        assert_that(end.is_faulty, Is(True))
        assert_that(end.error, Equals("no answer"))

    run_transfer(scenario)


class HandleThatRepeats:
    """A libcurl handle whose request is sent twice and never answered.

    Attributes:
      ended: the future of the transfer.
    """

    def __init__(self, *, repeats_after_s: float) -> None:
        self._repeats_after_s = repeats_after_s
        self._send: Callable[[], int] = lambda: pycurl.PREREQFUNC_OK
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[Any] = loop.create_future()

    def fetch(
        self, request: HTTPRequest, **_options: Any
    ) -> "asyncio.Future[Any]":
        """Stand for the client of Tornado."""
        assert request.prepare_curl_callback is not None
        request.prepare_curl_callback(self)
        self._send()
        loop = asyncio.get_running_loop()
        loop.call_later(self._repeats_after_s, self._send)
        return self.ended

    def setopt(self, option: int, value: Any) -> None:
        if option == pycurl.PREREQFUNCTION:
            self._send = value

    def getinfo(self, _option: int) -> int:
        return -1

    def pause(self, _state: int) -> None:
        if not self.ended.done():
            error = CurlError(pycurl.E_RECV_ERROR, "the connection is closed")
            self.ended.set_exception(error)


def test_a_transfer_that_libcurl_repeats_ends_at_its_limit() -> None:
    # The limit was counted from the second send: a caller's connection was
    # closed without an answer after the time that the caller waited.
    async def measure() -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        client: Any = HandleThatRepeats(repeats_after_s=0.75 * TIMEOUT_S)
        request = BackendRequest(
            method="GET",
            url="http://127.0.0.1:1/",
            headers=(),
            body=None,
            timeout_s=TIMEOUT_S,
            send_once=False,
        )
        transfer = Transfer(request=request, receiver=RecordingReceiver())
        end = await transfer.run(client)
        assert_that((end.repeated, end.is_broken), Equals((True, False)))
        return loop.time() - began

    assert_that(run_virtually(measure()), Equals(TIMEOUT_S))


class HandleThatEndsQuietly(HandleThatRepeats):
    """The same, of an answer that nothing but its connection delimits."""

    def fetch(
        self, request: HTTPRequest, **options: Any
    ) -> "asyncio.Future[Any]":
        """Stand for the client of Tornado."""
        self._sent = request
        return super().fetch(request, **options)

    def setopt(self, option: int, value: Any) -> None:
        super().setopt(option, value)
        if option == pycurl.HEADERFUNCTION:
            value(b"HTTP/1.1 200 OK\r\n")
            value(b"\r\n")

    def pause(self, _state: int) -> None:
        if not self.ended.done():
            self.ended.set_result(HTTPResponse(self._sent, 200))


def test_an_answer_that_ends_with_its_time_is_not_complete() -> None:
    # Failure: a node that closes the connection at the limit of a repeated
    # send took the cut body for a whole one.
    async def receive() -> TransferEnd:
        client: Any = HandleThatEndsQuietly(repeats_after_s=0.75 * TIMEOUT_S)
        request = BackendRequest(
            method="GET",
            url="http://127.0.0.1:1/",
            headers=(),
            body=None,
            timeout_s=TIMEOUT_S,
            send_once=False,
        )
        transfer = Transfer(request=request, receiver=RecordingReceiver())
        return await transfer.run(client)

    end = run_virtually(receive())
    assert_that(end.error, Equals("no whole answer in time"))
    assert_that(end.is_broken, Is(False))


class HandleThatKeepsItsLimit(HandleThatRepeats):
    """The same, and records the time limit that it gets."""

    limit_ms = 0

    def setopt(self, option: int, value: Any) -> None:
        super().setopt(option, value)
        if option == pycurl.TIMEOUT_MS:
            self.limit_ms = value


# Failure: Tornado rounded the limit down, so that a request which ended at the
# time limit of its caller counted as one that its server had lost.
@pytest.mark.parametrize("timeout_s", [0.0209, 0.05, 0.0999, 1.001])
def test_libcurl_does_not_end_a_transfer_before_its_limit(timeout_s) -> None:
    async def receive() -> HandleThatKeepsItsLimit:
        client: Any = HandleThatKeepsItsLimit(repeats_after_s=0.01)
        request = BackendRequest(
            method="GET",
            url="http://127.0.0.1:1/",
            headers=(),
            body=None,
            timeout_s=timeout_s,
            send_once=False,
        )
        transfer = Transfer(request=request, receiver=RecordingReceiver())
        await transfer.run(client)
        handle: HandleThatKeepsItsLimit = client
        return handle

    limit_ms = run_virtually(receive()).limit_ms
    assert_that(limit_ms, IsInstance(int))
    assert_that(limit_ms / 1000, Not(LessThan(timeout_s)))
