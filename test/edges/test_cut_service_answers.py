"""Answers of plain services, engines and nodes that end before they are whole.

Failure: an answer that is cut was taken for a whole one, or for the statement
that nothing ran.
"""

from collections.abc import Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.requests.attempts import Send, SendMode
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.edges.enginecalls import StreamReceiver, WholeReceiver
from chervilrock.edges.relay import Transfer
from chervilrock.edges.servicecalls import ServiceReceiver
from chervilrock.edges.sinks import AnswerHead, AnswerSink
from test.edges.cutanswers import CHUNKED, CLOSED, cut, STREAM, transfer_each

FENCE = 3
OWN = b"X-Request-Id: r1\r\nX-Attempt-Id: r1.1\r\nX-Fence: 3\r\n"
EXPECTED = (("x-request-id", "r1"), ("x-attempt-id", "r1.1"))
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: true\r\n\r\n"
WHOLE_BODY = b'{"id":"r1","choices":[]}'
LAST_EVENT = b"id: r1/2\ndata: [DONE]\n\n"
EVENTS = b"id: r1/1\ndata: {}\n\n" + LAST_EVENT


class ListSink(AnswerSink):
    """Collects an answer.

    Attributes:
      body: the body so far.
      is_finished: whether the answer was ended as complete.
    """

    blocked_since = None

    def __init__(self) -> None:
        self.body = b""
        self.is_finished = False

    def start(self, head: AnswerHead) -> None:
        self.started = True

    def write(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.is_finished = True

    def fail(self, error: Any, *, may_retry: bool) -> None:
        raise AssertionError(error)

    def abort(self) -> None:
        raise AssertionError

    def attach(self, transfer: Transfer | None) -> None:
        raise AssertionError(transfer)


def make_send(after: int) -> Send:
    mode = SendMode.RESUME if after else SendMode.START
    return Send(number=1, attempt="r1.1", target="t", mode=mode, after=after)


def make_view() -> Any:
    return type("View", (), {"request_id": "r1"})()


def make_service_receiver() -> ServiceReceiver:
    return ServiceReceiver(method="POST", expected=EXPECTED, sink=ListSink())


def make_stream_receiver(after: int = 0) -> StreamReceiver:
    return StreamReceiver(
        view=make_view(),
        fence=FENCE,
        send=make_send(after),
        deliver=lambda _events: None,
        stop=lambda: None,
    )


def make_resumed_receiver() -> StreamReceiver:
    return make_stream_receiver(after=1)


def make_whole_receiver() -> WholeReceiver:
    return WholeReceiver(
        view=make_view(), fence=FENCE, send=make_send(0), stop=lambda: None
    )


RECEIVERS = [
    make_service_receiver,
    make_stream_receiver,
    make_resumed_receiver,
    make_whole_receiver,
]


def make_answer(status: bytes, *lines: bytes, body: bytes = b"") -> bytes:
    head = b"HTTP/1.1 " + status + b"\r\n" + b"".join(lines) + b"\r\n"
    return head + body


def by_length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n" % len(body)


def in_chunks(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def judge_each(
    make: Callable[[], Any], answers: list[bytes], **options: bool
) -> list[AttemptEnd]:
    """Return how each of some answers is judged, each by its own receiver."""
    return [
        ended.receiver.judge(ended.end)
        for ended in transfer_each(answers, make, **options)
    ]


def list_wrong(
    make: Callable[[], Any],
    answers: list[bytes],
    right: frozenset[AttemptEnd],
    **options: bool,
) -> list[tuple[bytes, AttemptEnd]]:
    """Return the answers that are judged in another way than allowed."""
    ends = judge_each(make, answers, **options)
    return [
        (answer, end)
        for answer, end in zip(answers, ends, strict=True)
        if end not in right
    ]


LOST = frozenset({AttemptEnd.LOST})
CUT = frozenset({AttemptEnd.LOST, AttemptEnd.BROKEN})


@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_that_is_cut_in_its_head_is_lost(make) -> None:
    wrong = []
    for status in (b"200 OK", b"409 No", b"503 No"):
        for framing in (by_length(WHOLE_BODY), CHUNKED, CLOSED):
            lines = (b"X-Not-Run: true\r\n", OWN, STREAM, framing)
            answers = cut(make_answer(status, *lines))
            wrong += list_wrong(make, answers, LOST)
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS)
@pytest.mark.parametrize("status", [b"200 OK", b"204 No", b"429 No"])
def test_an_answer_that_is_cut_in_its_head_is_lost_if_it_may_be_repeated(
    make, status
) -> None:
    answers = cut(make_answer(status, OWN, CLOSED))
    wrong = list_wrong(make, answers, LOST, send_once=False)
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_that_is_reset_in_its_head_is_lost(make) -> None:
    head = make_answer(b"503 No", b"X-Not-Run: true\r\n", OWN, CHUNKED)
    wrong = list_wrong(make, cut(head), LOST, resets=True)
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_that_is_cut_after_an_interim_one_is_lost(make) -> None:
    head = make_answer(b"503 No", b"X-Not-Run: true\r\n", OWN, CHUNKED)
    answers = [INTERIM + beginning for beginning in cut(head)]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))


@pytest.mark.parametrize(
    ("make", "body"),
    [
        (make_service_receiver, WHOLE_BODY),
        (make_service_receiver, EVENTS),
        (make_whole_receiver, WHOLE_BODY),
        (make_stream_receiver, EVENTS),
        (make_resumed_receiver, LAST_EVENT),
    ],
)
def test_an_answer_that_is_cut_in_its_body_is_not_complete(make, body) -> None:
    lines = (OWN, b"" if body is WHOLE_BODY else STREAM)
    head = make_answer(b"200 OK", *lines, by_length(body))
    answers = [head + beginning for beginning in cut(body)]
    head = make_answer(b"200 OK", *lines, CHUNKED)
    answers += [head + beginning for beginning in cut(in_chunks(body))]
    if make in (make_stream_receiver, make_resumed_receiver):
        # The last event completes the answer, whatever follows.
        answers = [answer for answer in answers if LAST_EVENT not in answer]
    assert_that(list_wrong(make, answers, CUT), HasLength(0))


@pytest.mark.parametrize(
    ("make", "events"),
    [(make_stream_receiver, EVENTS), (make_resumed_receiver, LAST_EVENT)],
)
def test_an_engine_stream_without_its_last_event_is_broken(
    make, events
) -> None:
    # Neither a length nor chunks tells where it ends.
    head = make_answer(b"200 OK", OWN, STREAM, CLOSED)
    answers = [head + beginning for beginning in cut(events)]
    answers.append(make_answer(b"204 No", OWN))
    answers.append(make_answer(b"200 OK", OWN, by_length(b"x"), body=b"x"))
    assert_that(list_wrong(make, answers, CUT), HasLength(0))


def test_an_engine_answer_that_ends_inside_its_body_is_broken() -> None:
    head = make_answer(b"200 OK", OWN, CLOSED)
    answers = [head + beginning for beginning in cut(WHOLE_BODY)]
    answers.append(make_answer(b"204 No", OWN))
    assert_that(list_wrong(make_whole_receiver, answers, CUT), HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS[1:])
def test_a_conflict_of_an_engine_that_is_cut_in_its_body_is_lost(make) -> None:
    # Its code, which tells whether the request ran, is in the body.
    body = b'{"error":{"code":"not_leader"}}'
    answers = []
    for lines, framed in (
        ((OWN, by_length(body)), body),
        ((OWN, CHUNKED), in_chunks(body)),
        ((OWN, CLOSED), body),
    ):
        head = make_answer(b"409 No", *lines)
        answers += [head + beginning for beginning in cut(framed)]
    answers = [answer for answer in answers if body not in answer]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_an_event_stream_of_a_service_that_ends_inside_an_event_is_broken(
    line_end: bytes,
) -> None:
    events = EVENTS.replace(b"\n", line_end)
    event_end = 2 * line_end
    head = make_answer(b"200 OK", OWN, STREAM, CLOSED)
    beginnings = [*cut(events), events]
    ends = judge_each(make_service_receiver, [head + b for b in beginnings])
    expected = [
        AttemptEnd.COMPLETE if b.endswith(event_end) else AttemptEnd.BROKEN
        for b in beginnings
    ]
    assert_that(ends, Equals(expected))


@pytest.mark.parametrize("framing", [by_length(EVENTS), CHUNKED, CLOSED])
def test_a_caller_gets_no_part_of_an_event_before_the_error_event(
    framing: bytes,
) -> None:
    # The error event would have become a part of it.
    sinks: list[ListSink] = []

    def make() -> ServiceReceiver:
        sinks.append(ListSink())
        return ServiceReceiver(method="POST", expected=EXPECTED, sink=sinks[-1])

    body = in_chunks(EVENTS) if framing is CHUNKED else EVENTS
    head = make_answer(b"200 OK", OWN, STREAM, framing)
    judge_each(make, [head + beginning for beginning in cut(body)])
    first = EVENTS[: -len(LAST_EVENT)]
    assert_that({sink.body for sink in sinks} <= {b"", first, EVENTS}, Is(True))


def test_a_whole_stream_of_a_service_is_passed_on_unchanged() -> None:
    # Its length tells that it is whole, with any end.
    sink = ListSink()
    receiver = ServiceReceiver(method="POST", expected=EXPECTED, sink=sink)
    body = EVENTS + b"data: x"
    answer = make_answer(b"200 OK", OWN, STREAM, by_length(body), body=body)
    ends = judge_each(lambda: receiver, [answer])
    receiver.finish()
    assert_that(ends, Equals([AttemptEnd.COMPLETE]))
    assert_that(sink.body, Equals(body))
    assert_that(sink.is_finished, Is(True))


@pytest.mark.parametrize(
    ("lines", "end"),
    [
        (b"", AttemptEnd.COMPLETE),
        (b"X-Request-Id: r1\r\n", AttemptEnd.COMPLETE),
        (b"X-Request-Id: r2\r\n", AttemptEnd.FOREIGN),
        (b"X-Attempt-Id: r1.2\r\n", AttemptEnd.FOREIGN),
    ],
)
@pytest.mark.parametrize("status", [b"200 OK", b"204 No", b"304 No"])
def test_an_answer_of_a_service_to_another_request_is_not_taken(
    status, lines, end
) -> None:
    # Services need not know the headers of nodes.
    answer = make_answer(status, lines, by_length(b""))
    judged = judge_each(make_service_receiver, [answer])
    assert_that(judged, Equals([end]))


@pytest.mark.parametrize("make", RECEIVERS[1:])
@pytest.mark.parametrize("lines", [b"", OWN.replace(b"r1.1", b"r1.2")])
def test_an_answer_of_an_engine_to_another_attempt_is_not_taken(
    make, lines
) -> None:
    answer = make_answer(
        b"200 OK", lines, by_length(WHOLE_BODY), body=WHOLE_BODY
    )
    assert_that(judge_each(make, [answer]), Equals([AttemptEnd.FOREIGN]))


@pytest.mark.parametrize("make", RECEIVERS[1:])
@pytest.mark.parametrize(
    ("lines", "end"),
    [
        (b"", AttemptEnd.REFUSED),
        (OWN, AttemptEnd.REFUSED),
        (b"X-Request-Id: r1\r\nX-Fence: 9\r\n", AttemptEnd.REFUSED),
        (b"X-Request-Id: r2\r\n", AttemptEnd.FOREIGN),
        (OWN.replace(b"r1.1", b"r1.2"), AttemptEnd.FOREIGN),
    ],
)
@pytest.mark.parametrize("status", [b"429 No", b"503 No"])
def test_a_late_rejection_of_another_attempt_promises_nothing(
    make, status, lines, end
) -> None:
    lines += b"X-Not-Run: true\r\n"
    answer = make_answer(status, lines, by_length(b""))
    assert_that(judge_each(make, [answer]), Equals([end]))
