"""Answers that another node passes on and that end before they are whole.

Failure: a rejection of another node that is cut would seem to promise that the
request was not run.
"""

import itertools
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.edges.serving.detours import CUT_OFF_PAIR, Detour
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
from test.malformed import BAD_FIELDS, BAD_STATUSES

BUSY = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\n"
CUT_OFF = BUSY + ": ".join(CUT_OFF_PAIR).encode() + b"\r\n"
DENIED = b"HTTP/1.1 404 Not Found\r\n"
FAILED = b"HTTP/1.1 502 Bad Gateway\r\n"
LENGTH = b"Content-Length: 8\r\n"
BODY = b"01234567"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def make_detour() -> Detour:
    state: Any = None
    request: Any = None
    return Detour(state=state, request=request)


def classify_each(
    answers: list[bytes], *, last_event: str = "", resets: bool = False
) -> list[tuple[SendOutcome, Detour]]:
    """Return the outcome for each answer of another node, and its detour."""

    def make_receiver() -> AnswerReceiver:
        return AnswerReceiver(
            request_id=REQUEST_ID,
            last_event=last_event,
            is_continuation=bool(last_event),
            deliver=lambda _head, _events: None,
            progress=lambda _receiver: None,
        )

    outcomes = []
    for receiver, transfer, end in transfer_each(
        answers, make_receiver, resets=resets
    ):
        detour = make_detour()
        outcomes.append((detour.classify(transfer, receiver, end), detour))
    return outcomes


def list_wrong(answers: list[bytes], **options: Any) -> list[bytes]:
    """Return the answers after which the request may not count as lost."""
    return [
        answer
        for answer, (outcome, detour) in zip(
            answers, classify_each(answers, **options), strict=True
        )
        if outcome is not SendOutcome.LOST
        or detour.is_rejected
        or detour.retry_after_s
    ]


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("interim", [b"", INTERIM])
def test_an_answer_of_a_node_that_is_cut_in_its_head_promises_nothing(
    interim: bytes, resets: bool
) -> None:
    wrong = []
    for first, framing in itertools.product(
        [BUSY, CUT_OFF, DENIED, FAILED, STATUS + OWN_HEADERS],
        [LENGTH, CHUNKED, CLOSED],
    ):
        answers = [interim + head for head in cut(first + framing + BLANK)]
        wrong += list_wrong(answers, resets=resets)
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("last_event", ["", "1"])
def test_an_answer_that_a_node_passes_on_and_cuts_is_lost(
    last_event: str,
) -> None:
    answers = []
    for content, body in ((PLAIN, BODY), (STREAM, EVENTS)):
        head = STATUS + OWN_HEADERS + content
        length = b"Content-Length: %d\r\n" % len(body)
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        answers += [head + length + BLANK + part for part in cut(body)]
        answers += [head + CHUNKED + BLANK + part for part in cut(chunks)]
    assert_that(list_wrong(answers, last_event=last_event), HasLength(0))


@pytest.mark.parametrize(
    ("head", "outcome", "is_rejected"),
    [
        (BUSY, SendOutcome.NOT_RUN, True),
        (CUT_OFF, SendOutcome.NOT_RUN, False),
        (DENIED, SendOutcome.NOT_RUN, False),
        (FAILED, SendOutcome.LOST, False),
        (STATUS, SendOutcome.LOST, False),
    ],
)
def test_a_rejection_of_a_node_with_a_whole_head_counts(
    head: bytes, outcome: SendOutcome, is_rejected: bool
) -> None:
    # Its head states it, whether or not the body is whole.
    for body in (*cut(BODY), BODY):
        judged, detour = classify_each([head + LENGTH + BLANK + body])[0]
        assert_that(judged, Equals(outcome))
        assert_that(detour.is_rejected, Equals(is_rejected))


def test_an_answer_of_a_node_without_the_identifier_is_lost() -> None:
    receipt = OWN_HEADERS.partition(b"\r\n")[2]
    other = b"X-Request-Id: 51\r\n"
    answers = [
        STATUS + identifier + receipt + PLAIN + LENGTH + BLANK + BODY
        for identifier in (b"", other)
    ]
    assert_that(list_wrong(answers), HasLength(0))


def test_a_rejection_with_two_receipts_promises_nothing() -> None:
    # Failure: the request may have run, and was sent to a server again.
    other = b"X-Server-Stamp: 51\r\n"
    answers = [
        BUSY + OWN_HEADERS + other + LENGTH + BLANK + BODY,
        BUSY + b"X-Request-Id: 51\r\n" + OWN_HEADERS + LENGTH + BLANK + BODY,
        BUSY + b"X-Request-Id: 51\r\nX-Request-Id: 52\r\n" + LENGTH + BLANK,
    ]
    assert_that(list_wrong(answers), HasLength(0))


# Failure: the malformed line was dropped, and the rest was believed.
@pytest.mark.parametrize("status", [STATUS, CUT_OFF, DENIED, FAILED])
@pytest.mark.parametrize("last_event", ["", "3"])
def test_a_malformed_answer_of_another_node_promises_nothing(
    last_event: str, status: bytes
) -> None:
    answers = [
        status + OWN_HEADERS + line + LENGTH + BLANK + BODY
        for line in BAD_FIELDS
    ]
    answers += [INTERIM[:-2] + line + BLANK + answers[0] for line in BAD_FIELDS]
    wrong = list_wrong(answers, last_event=last_event)
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("status", BAD_STATUSES)
def test_an_undefined_status_of_another_node_promises_nothing(
    status: bytes,
) -> None:
    lines = STATUS.replace(b"200", status) + OWN_HEADERS + LENGTH + BLANK
    assert_that(list_wrong([lines + BODY]), HasLength(0))
