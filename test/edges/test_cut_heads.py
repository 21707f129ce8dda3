"""Servers that end the connection within the head of their answer.

Failure: callers got a 200 with an empty body, or a stream that ended as
complete before its last event.
"""

import itertools
from typing import Any, NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength, Is

from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.edges.serving.receiver import AnswerReceiver
from test.edges.cutanswers import (
    BLANK,
    CHUNKED,
    CLOSED,
    cut,
    INTERIM,
    OWN_HEADERS,
    PLAIN,
    REQUEST_ID,
    STATUS,
    STREAM,
    transfer_each,
)

LENGTH = b"Content-Length: 800\r\n"


class Judged(NamedTuple):
    """How an answer was judged."""

    outcome: SendOutcome
    is_broken_off: bool


def receive_each(
    answers: list[bytes], *, last_event: str = "", **options: bool
) -> list[Judged]:
    """Return how each of some answers is judged."""

    def make_receiver() -> AnswerReceiver:
        return AnswerReceiver(
            request_id=REQUEST_ID,
            last_event=last_event,
            deliver=lambda _head, _events: None,
            progress=lambda _receiver: None,
        )

    return [
        Judged(receiver.classify(transfer, end), receiver.is_broken_off(end))
        for receiver, transfer, end in transfer_each(
            answers, make_receiver, **options
        )
    ]


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
        b"Content-Length : 15\r\n",
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
