"""How the part of an answer that was received is judged."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import BackendRequest, Transfer, TransferEnd
from chervilrock.edges.serving.receiver import (
    AnswerReceiver,
    MAX_BODY_BYTES,
    MAX_UNUSED_BYTES,
)

REQUEST_ID = "r1"
EVENT = b"id: 1\ndata: x\n\n"
CHUNKED = ("Transfer-Encoding", "chunked")
CLOSED = ("Connection", "close")


@pytest.fixture
def receiver() -> AnswerReceiver:
    return AnswerReceiver(
        request_id=REQUEST_ID,
        last_event="",
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
    )


def receive(
    receiver: AnswerReceiver,
    framing: tuple[str, str],
    data: bytes,
    *,
    status: int = 200,
    content: str = "text/event-stream",
) -> Head:
    head = Head(
        status=status,
        headers=(
            ("X-Request-Id", REQUEST_ID),
            ("X-Server-Stamp", "s"),
            ("Content-Type", content),
            framing,
        ),
    )
    receiver.inspect_head(head)
    receiver.handle_head(head)
    if data:
        receiver.handle_data(data)
    return head


def classify(receiver: AnswerReceiver, end: TransferEnd) -> SendOutcome:
    request = BackendRequest("GET", "http://x/", (), None, 1.0, True)
    transfer = Transfer(request=request, receiver=receiver)
    transfer.sent = True
    return receiver.classify(transfer, end)


# Failure: a server that crashed while it answered with neither a length nor
# chunks was not counted; 35 crashed under one request.
@pytest.mark.parametrize(
    ("framing", "data", "is_broken_off"),
    [
        (CLOSED, EVENT, False),
        (CLOSED, EVENT + b"id: 2\nda", True),
        (CLOSED, b"id: 1\nda", True),
        (CLOSED, b"", True),
        (CHUNKED, EVENT, False),
        (CHUNKED, EVENT + b"id: 2\nda", True),
        (CHUNKED, b"", False),
    ],
)
def test_a_stream_that_ends_inside_an_event_is_broken_off(
    receiver: AnswerReceiver,
    framing: tuple[str, str],
    data: bytes,
    is_broken_off: bool,
) -> None:
    head = receive(receiver, framing, data)
    end = TransferEnd(sent=True, head=head, error="")
    outcome = SendOutcome.LOST if is_broken_off else SendOutcome.COMPLETE
    assert_that(receiver.is_broken_off(end), Is(is_broken_off))
    assert_that(classify(receiver, end), Equals(outcome))


# Failure: a stream that was sent again ended as complete after the events of
# the first send.
@pytest.mark.parametrize(
    ("status", "content", "framing", "data", "is_complete"),
    [
        (200, "text/event-stream", CLOSED, b"", False),
        (200, "text/event-stream", CLOSED, b"id: 4\nda", False),
        (200, "text/event-stream", CLOSED, b"id: 4\ndata: x\n\n", True),
        (200, "text/event-stream", CHUNKED, b"", True),
        (206, "text/event-stream", CHUNKED, b"id: 4\ndata: x\n\n", True),
        (204, "text/event-stream", CLOSED, b"", True),
        (204, "", CLOSED, b"", False),
        (200, "text/plain", CHUNKED, b"x", False),
        (200, "", CLOSED, b"id: 4\ndata: x\n\n", False),
    ],
)
def test_only_a_stream_completes_one_that_has_begun(
    status: int,
    content: str,
    framing: tuple[str, str],
    data: bytes,
    is_complete: bool,
) -> None:
    receiver = AnswerReceiver(
        request_id=REQUEST_ID,
        last_event="3",
        is_continuation=True,
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
    )
    head = receive(receiver, framing, data, status=status, content=content)
    end = TransferEnd(sent=True, head=head, error="")
    outcome = SendOutcome.COMPLETE if is_complete else SendOutcome.LOST
    assert_that(classify(receiver, end), Equals(outcome))


def test_a_transfer_that_was_abandoned_is_not_broken_off(
    receiver: AnswerReceiver,
) -> None:
    head = receive(receiver, CLOSED, b"id: 1\nda")
    end = TransferEnd(sent=True, head=head, error="abandoned")
    assert_that(receiver.is_broken_off(end), Is(False))
    assert_that(receiver.is_broken_off(SendOutcome.LOST), Is(False))


def receive_body(
    receiver: AnswerReceiver, status: int, sizes: list[int]
) -> Head:
    head = Head(
        status=status,
        headers=(("X-Request-Id", REQUEST_ID), ("X-Server-Stamp", "s")),
    )
    receiver.inspect_head(head)
    receiver.handle_head(head)
    for size in sizes:
        receiver.handle_data(b"x" * size)
    return head


def test_a_body_that_has_lost_bytes_is_not_whole(
    receiver: AnswerReceiver,
) -> None:
    # Failure: a piece beyond the limit was dropped, a later one that fitted was
    # appended, and the rest counted as the whole answer.
    head = receive_body(receiver, 200, [MAX_BODY_BYTES - 10, 100, 5])
    end = TransferEnd(sent=True, head=head, error="")
    assert_that(classify(receiver, end), Equals(SendOutcome.LOST))
    assert_that(receiver.find_error(end), Contains(str(MAX_BODY_BYTES + 90)))
    assert_that(receiver.body, HasLength(0))


@pytest.mark.parametrize("status", [200, 503])
def test_a_body_that_nobody_needs_is_not_kept(status: int) -> None:
    # Failure: 16 MiB were buffered of answers that cannot be used.
    held: list[int] = []
    receiver = AnswerReceiver(
        request_id="another",
        last_event="",
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
        record_collected=held.append,
    )
    receive_body(receiver, status, [MAX_UNUSED_BYTES, 1])
    assert_that(receiver.fault, Contains(str(MAX_UNUSED_BYTES)))
    assert_that(receiver.body, HasLength(0))
    assert_that(held, HasLength(0))


def test_the_part_of_an_event_counts_as_memory() -> None:
    # Failure: many streams without the end of an event exceeded the memory,
    # each within its own limit.
    held: list[int] = []
    receiver = AnswerReceiver(
        request_id=REQUEST_ID,
        last_event="",
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
        record_collected=held.append,
    )
    receive(receiver, CHUNKED, b"id: 1\n" + b"x" * 1000)
    receiver.handle_data(b"\n\nid: 2\n")
    assert_that(held, Equals([1006, 6]))


# Failure: a HEAD request to a stream counted as broken off by each server.
@pytest.mark.parametrize("framing", [CLOSED, CHUNKED, ("Content-Length", "9")])
def test_an_answer_without_a_body_needs_no_event(
    framing: tuple[str, str],
) -> None:
    receiver = AnswerReceiver(
        request_id=REQUEST_ID,
        last_event="",
        has_body=False,
        deliver=lambda _head, _events: None,
        progress=lambda _receiver: None,
    )
    head = receive(receiver, framing, b"")
    end = TransferEnd(sent=True, head=head, error="")
    assert_that(receiver.is_broken_off(end), Is(False))
    assert_that(receiver.is_relayed, Is(False))
    assert_that(classify(receiver, end), Equals(SendOutcome.COMPLETE))
