"""Answers of services and engines that are failures without end."""

from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from chervilrock.edges import enginecalls, servicecalls
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import Receiver

PIECE = b"x" * 16_384
PIECES = 200


class ErrorReceiver(enginecalls.EngineReceiver):
    """A receiver that needs no answer."""

    def handle_answer(self, data: bytes) -> None:
        raise AssertionError(data)

    def judge_answer(self, whole: bool) -> Any:
        raise AssertionError(whole)


def feed(receiver: Receiver, status: int) -> None:
    receiver.handle_head(Head(status=status, headers=(("X-Run", "2"),)))
    for _ in range(PIECES):
        if receiver.fault:
            return
        receiver.handle_data(PIECE)


def test_a_failure_of_a_service_is_not_kept_without_end() -> None:
    # Failure: it was buffered until the time limit, whatever its size.
    sink: Any = None
    receiver = servicecalls.ServiceReceiver(
        method="GET", expected=(("x-run", "1"),), sink=sink
    )
    feed(receiver, 200)
    limit = servicecalls.MAX_BUFFERED_BYTES
    assert_that(receiver.fault, Contains(str(limit)))
    kept = sum(len(data) for data in receiver._buffered)
    assert_that(kept, LessThan(limit + 1))


def test_an_error_of_an_engine_is_not_read_without_end() -> None:
    # Failure: it was read until the time limit.
    view: Any = type("View", (), {"request_id": "r"})()
    send: Any = type("Send", (), {"attempt": "a"})()
    receiver = ErrorReceiver(view=view, fence=1, send=send)
    feed(receiver, 500)
    limit = enginecalls.MAX_ERROR_BYTES
    assert_that(receiver.fault, Contains(str(limit)))
    assert_that(len(receiver._error_body), Equals(limit))
