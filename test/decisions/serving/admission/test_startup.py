"""Limits on late requests in the seconds after a start of all nodes.

Guards against late requests that take the slots of new ones, and against
limits where a single node restarts beside a live leader.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.lateness import (
    Timeliness,
    UsualLimits,
)
from chervilrock.decisions.serving.admission.placement import (
    find_group_bound,
    Load,
)
from chervilrock.decisions.serving.admission.startup import (
    LATE_SLOTS_FRACTION,
    RETRY_AFTER_S,
    Startup,
    STARTUP_S,
)

FOUND_TERM = 5
SLOTS = 340
MODEL = "large"


def start(seed: int = 1) -> Startup:
    """Return the state of a node whose first view is of a new leader."""
    startup = Startup(generator=random.Random(seed))
    startup.record_found(FOUND_TERM)
    startup.record_view(FOUND_TERM + 1, 0.0)
    return startup


@pytest.mark.parametrize("found", [None, -1, FOUND_TERM])
def test_late_requests_are_limited_only_if_the_leader_was_lost(found) -> None:
    startup = Startup(generator=random.Random(1))
    if found is not None:
        startup.record_found(found)
    startup.record_view(FOUND_TERM, 0.0)
    # A later change of the leader is no start.
    startup.record_view(FOUND_TERM + 1, 0.1)
    assert_that(startup.is_limiting(0.2), Is(False))
    assert_that(startup.may_send(MODEL, 0.0, 0.2), Is(True))


def test_the_limit_ends() -> None:
    startup = start()
    assert_that(startup.is_limiting(STARTUP_S - 0.1), Is(True))
    assert_that(startup.may_send(MODEL, 0.0, STARTUP_S - 0.1), Is(False))
    assert_that(startup.may_send(MODEL, 0.0, STARTUP_S), Is(True))


@pytest.mark.parametrize("nodes", [6, 88, 300])
def test_late_requests_of_all_nodes_fit_into_their_fraction(nodes: int) -> None:
    sent = 0
    for number in range(nodes):
        startup = start(number)
        while startup.may_send(MODEL, SLOTS / nodes, 0.1):
            startup.record_sent(MODEL)
            sent += 1
    assert_that(sent, GreaterThan(0.7 * LATE_SLOTS_FRACTION * SLOTS))
    assert_that(sent, LessThan(1.3 * LATE_SLOTS_FRACTION * SLOTS))


def test_a_slot_is_used_again_after_the_end_of_a_request() -> None:
    startup = start()
    share = 1 / LATE_SLOTS_FRACTION
    startup.record_sent(MODEL)
    assert_that(startup.may_send(MODEL, share, 0.1), Is(False))
    assert_that(startup.may_send("small", share, 0.1), Is(True))
    startup.record_ended(MODEL)
    assert_that(startup.may_send(MODEL, share, 0.1), Is(True))


def test_rejected_callers_do_not_return_together() -> None:
    startup = start()
    times = [startup.reject() for _ in range(400)]
    assert_that(min(times), LessThan(0.6 * RETRY_AFTER_S))
    assert_that(max(times), GreaterThan(1.4 * RETRY_AFTER_S))
    assert_that(startup.rejected, Equals(400))


@pytest.mark.parametrize("timeliness", list(Timeliness))
def test_only_late_requests_are_held_back(timeliness: Timeliness) -> None:
    # Also those that have waited for longer than usual late requests wait.
    bound = find_group_bound(timeliness, 88, waited_s=1.0, may_send_late=False)
    is_late = timeliness is Timeliness.LATE
    assert_that(bound.allows(Load(0, 0, 17, False)), Is(not is_late))


def test_most_known_limits_are_of_returning_callers_after_a_start() -> None:
    limits = UsualLimits()
    for limit_s in [3.5] * 16 + [5.8] * 4:
        limits.record("r", limit_s)

    def estimate(limit_s: float, *, is_starting: bool) -> float:
        return limits.estimate_wait("r", limit_s, 6.0, is_starting=is_starting)

    assert_that(estimate(3.5, is_starting=False), Equals(0.0))
    assert_that(estimate(3.5, is_starting=True), GreaterThan(2.0))
    assert_that(estimate(5.5, is_starting=True), Equals(0.0))
