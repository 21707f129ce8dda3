"""How long requests without a slot wait, and when callers retry."""

import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.waiting import (
    Availability,
    decide_wait,
    find_give_up,
    MAX_RETRY_AFTER_S,
    REPAIR_S,
    RETRY_AFTER_JITTER,
    WaitDecision,
    WaitingRequest,
)

FULL = Availability(has_endpoints=True, is_forming=False)
SHORTAGE = FULL._replace(shortage_s=2.0 * REPAIR_S)
NEW = WaitingRequest(
    Timeliness.ON_TIME, limit_s=4.0, on_time_s=0.15, gives_up_s=1.7
)
LATE = NEW._replace(timeliness=Timeliness.LATE, on_time_s=-0.1)


def decide(
    request: WaitingRequest, availability: Availability, draw: float = 0.5
) -> WaitDecision:
    return decide_wait(request, availability, draw)


def test_a_new_request_waits_while_it_can_be_on_time() -> None:
    assert_that(decide(NEW, FULL).wait_s, Equals(NEW.on_time_s))


def test_a_late_request_waits_longer_than_a_new_one() -> None:
    late = decide(LATE, FULL).wait_s
    assert_that(late, GreaterThan(decide(NEW, FULL).wait_s))
    begun = decide(NEW._replace(timeliness=Timeliness.BEGUN), FULL)
    assert_that(begun.wait_s, GreaterThan(1.0))


# Failure: streams were cut although their time limit was far away.
@pytest.mark.parametrize(
    "availability",
    [
        FULL,
        SHORTAGE,
        Availability(has_endpoints=False, is_forming=False),
        Availability(has_endpoints=False, is_forming=True),
        FULL._replace(limit_wait_s=math.inf),
        FULL._replace(pause_wait_s=3.0),
        FULL._replace(pause_wait_s=9.0),
    ],
)
def test_a_stream_that_has_begun_waits_until_its_time_limit(
    availability: Availability,
) -> None:
    begun = NEW._replace(timeliness=Timeliness.BEGUN, limit_s=7.0)
    assert_that(decide(begun, availability).wait_s, Equals(7.0))


@pytest.mark.parametrize("timeliness", [Timeliness.ON_TIME, Timeliness.LATE])
def test_nothing_waits_for_a_model_that_no_group_will_serve(timeliness) -> None:
    nothing = Availability(has_endpoints=False, is_forming=False)
    request = NEW._replace(timeliness=timeliness)
    assert_that(decide(request, nothing).wait_s, Equals(0.0))


def test_no_request_waits_longer_than_its_caller() -> None:
    # Callers without an event give up two seconds after they sent the request.
    late = LATE._replace(limit_s=60.0)
    assert_that(decide(late, FULL).wait_s, Equals(late.gives_up_s))
    given_up = LATE._replace(gives_up_s=-0.2)
    assert_that(decide(given_up, FULL).wait_s, Equals(0.0))


def test_a_late_request_is_rejected_at_once_during_a_long_shortage() -> None:
    decision = decide(LATE, SHORTAGE)
    assert_that(decision.wait_s, Equals(0.0))
    assert_that(decision.retry_after_s, Equals(SHORTAGE.shortage_s))


def test_a_request_waits_for_a_forming_group_despite_a_long_shortage() -> None:
    forming = SHORTAGE._replace(has_endpoints=False, is_forming=True)
    assert_that(decide(LATE, forming).wait_s, Equals(LATE.gives_up_s))


def test_callers_that_are_rejected_together_do_not_retry_together() -> None:
    long_shortage = SHORTAGE._replace(shortage_s=100.0)
    times = [
        decide(LATE, long_shortage, draw).retry_after_s
        for draw in (0.0, 0.5, 1.0)
    ]
    assert_that(times[1], Equals(MAX_RETRY_AFTER_S))
    assert_that(times[0], LessThan(times[1]))
    assert_that(
        times[2] - times[0],
        Equals(2.0 * RETRY_AFTER_JITTER * MAX_RETRY_AFTER_S),
    )


@pytest.mark.parametrize(
    ("target_s", "pause_s", "give_up_s"),
    [(0.3, 0.2, 2.0), (0.8, 0.2, 3.2), (0.3, 0.5, 4.0), (0.3, 0.0, 2.0)],
)
def test_callers_give_up_after_the_longest_of_three(
    target_s: float, pause_s: float, give_up_s: float
) -> None:
    assert_that(find_give_up(target_s, pause_s), Equals(give_up_s))


NEVER = FULL._replace(limit_wait_s=math.inf)
SOON = FULL._replace(limit_wait_s=0.1)


def test_a_request_waits_for_limited_servers_that_allow_it_in_time() -> None:
    assert_that(decide(NEW, SOON), Equals(decide(NEW, FULL)))
    begun = NEW._replace(timeliness=Timeliness.BEGUN)
    later = FULL._replace(limit_wait_s=1.0)
    assert_that(decide(begun, later), Equals(decide(begun, FULL)))


@pytest.mark.parametrize("timeliness", [Timeliness.ON_TIME, Timeliness.LATE])
def test_no_request_waits_for_servers_that_this_node_may_not_use(
    timeliness,
) -> None:
    decision = decide(NEW._replace(timeliness=timeliness), NEVER)
    assert_that(decision.wait_s, Equals(0.0))
    assert_that(decision.retry_after_s, GreaterThan(0.0))


def test_late_requests_do_not_wait_for_limited_servers() -> None:
    assert_that(decide(LATE, SOON).wait_s, Equals(0.0))


def test_a_caller_retries_when_limited_servers_accept_a_request() -> None:
    later = FULL._replace(limit_wait_s=3.0)
    assert_that(decide(NEW, later).retry_after_s, Equals(3.0))
    far = FULL._replace(limit_wait_s=60.0)
    assert_that(decide(NEW, far).retry_after_s, Equals(MAX_RETRY_AFTER_S))


PAUSE = FULL._replace(pause_wait_s=1.0)


@pytest.mark.parametrize("timeliness", Timeliness)
def test_requests_wait_for_the_end_of_a_short_pause(timeliness) -> None:
    # Failure: the callers are rejected although a server takes them in time.
    request = NEW._replace(timeliness=timeliness)
    assert_that(decide(request, PAUSE).wait_s, GreaterThan(0.0))


@pytest.mark.parametrize("timeliness", [Timeliness.ON_TIME, Timeliness.LATE])
@pytest.mark.parametrize("draw", [0.0, 1.0])
def test_requests_are_rejected_at_once_during_a_long_pause(
    timeliness, draw
) -> None:
    # Failure: they wait until their callers give up.
    request = NEW._replace(timeliness=timeliness)
    decision = decide(request, FULL._replace(pause_wait_s=3.0), draw)
    assert_that(decision.wait_s, Equals(0.0))
    assert_that(3.0 <= decision.retry_after_s <= 3.75, Equals(True))


def test_nobody_is_asked_to_retry_after_minutes_of_a_pause() -> None:
    decision = decide(NEW, FULL._replace(pause_wait_s=1e9), 0.0)
    assert_that(decision.retry_after_s, Equals(MAX_RETRY_AFTER_S))


def test_a_late_request_waits_for_a_pause_despite_a_shortage() -> None:
    # Slots were short because all servers paused.
    during = SHORTAGE._replace(pause_wait_s=0.5)
    assert_that(decide(LATE, during).wait_s, GreaterThan(0.5))
