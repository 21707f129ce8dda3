"""Servers that end the connection within the head of their answer.

Failure: callers got a 200 with an empty body, or a stream that ended as
complete before its last event.
"""

import asyncio
import itertools
import socket
import struct
from typing import Any, NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength, Is

from chervilrock.clients.curlpool import CurlPool
from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.edges.relay import BackendRequest, Transfer, TransferEnd
from chervilrock.edges.serving.receiver import AnswerReceiver

REQUEST_ID = "9c41d07be2a35f68"
TIMEOUT_S = 10.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

STATUS = b"HTTP/1.1 200 OK\r\n"
OWN_HEADERS = (
    b"X-Request-Id: 9c41d07be2a35f68\r\n"
    b"X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
)
STREAM = b"Content-Type: text/event-stream\r\n"
PLAIN = b"Content-Type: text/plain\r\n"
LENGTH = b"Content-Length: 800\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSED = b"Connection: close\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
BLANK = b"\r\n"


class Judged(NamedTuple):
    """How an answer was judged."""

    outcome: SendOutcome
    is_broken_off: bool
    end: TransferEnd


async def receive(
    sent: bytes, *, send_once: bool, last_event: str, resets: bool
) -> Judged:
    """Send a request to a server that writes some bytes and closes."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await writer.drain()
        if resets:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    receiver = AnswerReceiver(
        request_id=REQUEST_ID,
        last_event=last_event,
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
    )
    transfer = Transfer(
        request=BackendRequest(
            method="POST",
            url=f"http://127.0.0.1:{port}/",
            headers=(),
            body=b"",
            timeout_s=TIMEOUT_S,
            send_once=send_once,
        ),
        receiver=receiver,
    )
    pool = CurlPool(max_requests=4, max_body_size=1 << 20)
    with pool.borrow() as client:
        end = await transfer.run(client)
    pool.close()
    server.close()
    return Judged(
        receiver.classify(transfer, end), receiver.is_broken_off(end), end
    )


def receive_each(
    answers: list[bytes],
    *,
    send_once: bool = True,
    last_event: str = "",
    resets: bool = False,
) -> list[Judged]:
    """Return how each of some answers is judged."""

    async def receive_all() -> list[Judged]:
        return [
            await receive(
                answer,
                send_once=send_once,
                last_event=last_event,
                resets=resets,
            )
            for answer in answers
        ]

    return asyncio.run(receive_all())


def cut(head: bytes) -> list[bytes]:
    """Return all beginnings of a head."""
    return [head[:length] for length in range(len(head))]


def list_wrong(heads: list[bytes], **options: Any) -> list[bytes]:
    """Return the heads whose end does not count as that of the server."""
    return [
        head
        for head, judged in zip(
            heads, receive_each(heads, **options), strict=True
        )
        if judged.outcome is not SendOutcome.LOST or not judged.is_broken_off
    ]


def test_an_answer_that_is_cut_in_its_head_is_broken_off() -> None:
    wrong = []
    for content, framing, last_event, send_once in itertools.product(
        [PLAIN, STREAM], [LENGTH, CHUNKED, CLOSED], ["", "3"], [True, False]
    ):
        head = STATUS + OWN_HEADERS + content + framing + BLANK
        wrong += list_wrong(
            cut(head), send_once=send_once, last_event=last_event
        )
    assert_that(wrong, HasLength(0))


def test_an_answer_that_is_reset_in_its_head_is_broken_off() -> None:
    head = STATUS + OWN_HEADERS + STREAM + CHUNKED + BLANK
    assert_that(list_wrong(cut(head), resets=True), HasLength(0))


def test_an_answer_that_is_cut_after_an_interim_one_is_broken_off() -> None:
    head = STATUS + OWN_HEADERS + PLAIN + LENGTH + BLANK
    answers = [INTERIM + beginning for beginning in cut(head)]
    assert_that(list_wrong(answers), HasLength(0))


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, CLOSED])
def test_a_rejection_that_is_cut_in_its_head_promises_nothing(
    framing: bytes,
) -> None:
    # A repeat of the request could run it twice.
    lines = b"X-Not-Executed: 1\r\nRetry-After: 1\r\n"
    head = b"HTTP/1.1 503 Busy\r\n" + lines + framing + BLANK
    assert_that(list_wrong(cut(head)), HasLength(0))


# Failure: libcurl ignores these lengths, so that a body that was cut, or
# chunks, counted as the whole body.
@pytest.mark.parametrize("content", [PLAIN, STREAM])
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 99999999999999999999999\r\n",
        b"Content-Length : 800\r\n",
        b"Content-Length: 800\r\nTransfer-Encoding: identity\r\n",
        b"Transfer-Encoding : chunked\r\n",
    ],
)
def test_a_body_that_is_not_framed_as_stated_is_lost(
    framing: bytes, content: bytes
) -> None:
    answer = STATUS + OWN_HEADERS + content + framing + BLANK
    (judged,) = receive_each([answer + b"id: 1\ndata: x\n\n"])
    assert_that(judged.outcome, Is(SendOutcome.LOST))


# Failure: sound answers are lost as well.
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 15\r\n",
        b"Content-Length: 0015, 15\r\n",
        b"Content-Length : 15\r\n",
        b"Content-Length: 15\r\nTransfer-Encoding: identity\r\n",
        CLOSED,
    ],
)
def test_a_body_of_the_stated_length_is_complete(framing: bytes) -> None:
    answer = STATUS + OWN_HEADERS + STREAM + framing + BLANK
    (judged,) = receive_each([answer + b"id: 1\ndata: x\n\n"])
    assert_that(judged.outcome, Is(SendOutcome.COMPLETE))


# Failure: a failure of a server was passed on with the status of another
# answer, whose head was cut in a header and followed by the next answer.
@pytest.mark.parametrize(
    "first",
    [
        b"X-Request-Id: 0000000000000000\r\nX-Trace: a",
        OWN_HEADERS.replace(b"600", b"599") + b"X-Trace: a",
    ],
)
def test_a_head_that_two_answers_make_up_is_that_of_none(first: bytes) -> None:
    failure = b"HTTP/1.1 500 Failed\r\n" + OWN_HEADERS + LENGTH + BLANK
    (judged,) = receive_each([STATUS + first + failure + bytes(800)])
    assert_that(judged.outcome, Is(SendOutcome.LOST))


# Failure: a rejection of another request, cut and followed by the answer, was
# taken for that of a request which has run.
def test_a_rejection_that_another_answer_follows_promises_nothing() -> None:
    rejection = (
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
        b"X-Request-Id: 0000000000000000\r\nX-Trace: a"
    )
    answer = STATUS + OWN_HEADERS + LENGTH + BLANK + bytes(800)
    (judged,) = receive_each([rejection + answer])
    assert_that(judged.outcome, Is(SendOutcome.LOST))
