import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.shutdown import (
    ACCEPT_S,
    EXIT_MARGIN_S,
    MIN_STOP_S,
    Shutdown,
    STOP_MARGIN_S,
)
from chervilrock.decisions.serving.admission.waiting import (
    START_RETRY_AFTER_S,
)

GRACE_S = 8.0
BEGIN = 100.0


@pytest.fixture
def shutdown() -> Shutdown:
    shutdown = Shutdown()
    shutdown.begin(GRACE_S, BEGIN, may_serve=True)
    return shutdown


def test_a_node_that_is_not_stopping_may_send_at_any_time() -> None:
    latest = Shutdown().find_latest_send(5.0, math.inf, trusts_estimate=False)
    assert_that(latest, Equals(math.inf))


def test_requests_are_sent_only_as_long_as_they_can_end(shutdown) -> None:
    latest = shutdown.find_latest_send(5.0, math.inf, trusts_estimate=True)
    assert_that(latest, Equals(BEGIN + GRACE_S - STOP_MARGIN_S - 5.0))
    planned = shutdown.find_latest_send(5.0, math.inf, trusts_estimate=False)
    assert_that(planned, Equals(shutdown.planned_end - 5.0))
    assert_that(planned, LessThan(latest))


def test_a_short_estimate_is_not_trusted_late_in_the_grace_period(
    shutdown,
) -> None:
    # Failure: a server falls silent after the request was accepted.
    latest = shutdown.find_latest_send(0.1, math.inf, trusts_estimate=False)
    assert_that(latest, Equals(BEGIN + ACCEPT_S))
    latest = shutdown.find_latest_send(0.1, math.inf, trusts_estimate=True)
    assert_that(latest, Equals(shutdown.serves_until - 0.1))


def test_a_request_whose_time_limit_ends_before_the_exit_is_accepted(
    shutdown,
) -> None:
    expires = shutdown.serves_until
    latest = shutdown.find_latest_send(9.0, expires, trusts_estimate=False)
    assert_that(latest, Equals(shutdown.serves_until))


def test_answers_are_sent_until_shortly_before_the_kill(shutdown) -> None:
    assert_that(shutdown.exits_at, Equals(BEGIN + GRACE_S - EXIT_MARGIN_S))
    assert_that(shutdown.answers_until, LessThan(shutdown.exits_at))


def test_a_second_signal_does_not_extend_the_grace_period(shutdown) -> None:
    shutdown.begin(GRACE_S, BEGIN + 5.0, may_serve=True)
    assert_that(shutdown.exits_at, LessThan(BEGIN + GRACE_S))


def test_a_node_without_a_working_task_accepts_nothing() -> None:
    shutdown = Shutdown()
    shutdown.begin(GRACE_S, BEGIN, may_serve=False)
    latest = shutdown.find_latest_send(0.0, math.inf, trusts_estimate=True)
    assert_that(latest, Equals(BEGIN))
    # Requests that were sent before still get their answers.
    assert_that(shutdown.answers_until, GreaterThan(BEGIN + 1.0))
    idle = shutdown.may_exit(BEGIN, is_busy=False, has_other_nodes=True)
    assert_that(idle, Is(True))


@pytest.mark.parametrize(
    ("age_s", "is_busy", "has_other_nodes", "expected"),
    [
        (0.1, False, False, True),
        (0.1, False, True, False),
        (MIN_STOP_S, False, True, True),
        (MIN_STOP_S, True, True, False),
        (MIN_STOP_S, True, False, False),
    ],
)
def test_a_node_exits_when_nobody_waits_for_it(
    shutdown, age_s, is_busy, has_other_nodes, expected
) -> None:
    may_exit = shutdown.may_exit(
        BEGIN + age_s, is_busy=is_busy, has_other_nodes=has_other_nodes
    )
    assert_that(may_exit, Is(expected))


def test_callers_turn_to_another_node_at_once(shutdown) -> None:
    retry_after_s = shutdown.find_retry_after(BEGIN, 0.5, has_other_nodes=True)
    assert_that(retry_after_s, LessThan(0.2))


def test_callers_without_another_node_return_after_the_restart(
    shutdown,
) -> None:
    late = shutdown.answers_until - 1.0
    retry_after_s = shutdown.find_retry_after(late, 0.0, has_other_nodes=False)
    assert_that(retry_after_s, Equals(1.0 + START_RETRY_AFTER_S))
