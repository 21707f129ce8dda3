"""Checks of the answers of servers that stutter."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from bench.rollingrestarts import Answer, Attempt, GRACE_S
from bench.stutters import find_wrong, is_allowed_cut, is_at_exit, make_body

NAME = "1f"
STOP = 100.0


def make_attempt(
    kind: str,
    *,
    status: str = "200",
    missing: int = 0,
    is_whole: bool = True,
    owner: str = NAME,
    ended: float = STOP,
) -> Attempt:
    """Return a request whose answer lacks some bytes."""
    answer = Answer()
    attempt = Attempt(
        request_id=NAME,
        address="127.0.0.1:1",
        begun=ended,
        sent=ended,
        ended=ended,
        status=status if is_whole else "",
        kind=kind,
        tokens=5 if kind == "draft" else 0,
        answer=answer,
    )
    answer.status = status
    answer.is_whole = is_whole
    answer.headers = {"x-request-id": owner, "x-server-stamp": f"a.{owner}"}
    whole = make_body(attempt)
    answer.body += whole[: len(whole) - missing]
    return attempt


def list_wrong(attempt: Attempt, *, runs: int = 1, may_fail: bool) -> str:
    return " ".join(find_wrong(attempt, runs, may_fail))


@pytest.mark.parametrize("kind", ["draft", "book", "look"])
def test_a_whole_answer_is_not_wrong(kind: str) -> None:
    attempt = make_attempt(kind)
    assert_that(list_wrong(attempt, may_fail=False), HasLength(0))


# Failure: a soak whose checks pass whatever the answers are.
@pytest.mark.parametrize("kind", ["draft", "book", "look"])
@pytest.mark.parametrize("missing", [1, 16])
def test_an_answer_that_ends_early_is_wrong(kind: str, missing: int) -> None:
    attempt = make_attempt(kind, missing=missing)
    wrong = list_wrong(attempt, may_fail=True)
    assert_that(wrong, Contains("looks complete"))


def test_events_that_come_twice_are_wrong() -> None:
    attempt = make_attempt("draft", is_whole=False, missing=32)
    attempt.answer.body += attempt.answer.body[-16:]
    wrong = list_wrong(attempt, may_fail=True)
    assert_that(wrong, Contains("other bytes"))


def test_the_answer_to_another_request_is_wrong() -> None:
    attempt = make_attempt("look", owner="2e")
    wrong = list_wrong(attempt, may_fail=True)
    assert_that(wrong, Contains("another request"))


@pytest.mark.parametrize(("kind", "count"), [("book", 1), ("look", 0)])
def test_a_second_run_is_wrong_if_not_idempotent(kind: str, count: int) -> None:
    wrong = list(find_wrong(make_attempt(kind), 2, may_fail=True))
    assert_that(wrong, HasLength(count))


@pytest.mark.parametrize(("may_fail", "count"), [(False, 1), (True, 0)])
def test_a_failure_needs_a_cause(may_fail: bool, count: int) -> None:
    attempt = make_attempt("look", status="502")
    wrong = list(find_wrong(attempt, 1, may_fail))
    assert_that(wrong, HasLength(count))


@pytest.mark.parametrize(
    ("kind", "is_whole", "is_spoiled", "is_allowed"),
    [
        ("draft", False, True, True),
        ("draft", False, False, False),
        ("draft", True, True, False),
        ("look", False, True, False),
    ],
)
def test_only_spoiled_streams_may_be_cut(
    kind: str, is_whole: bool, is_spoiled: bool, is_allowed: bool
) -> None:
    attempt = make_attempt(kind, is_whole=is_whole)
    assert_that(is_allowed_cut(attempt, is_spoiled), Is(is_allowed))


@pytest.mark.parametrize(
    ("after_s", "is_late"),
    [(-0.1, False), (6.6, False), (6.7, True), (8.0, True), (8.1, False)],
)
def test_an_exit_is_late_in_the_grace_period(
    after_s: float, is_late: bool
) -> None:
    assert_that(GRACE_S, Equals(8.0))
    attempt = make_attempt("look", ended=STOP + after_s)
    assert_that(is_at_exit(attempt, [STOP]), Is(is_late))
    assert_that(is_at_exit(attempt, []), Is(False))
