"""Timeliness of requests, and waits before retries."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.admission.lateness import (
    judge_timeliness,
    Timeliness,
    UsualLimits,
)
from chervilrock.decisions.serving.admission.placement import (
    BEGUN_BOUND,
    find_group_bound,
    GROUP_BOUND,
    LATE_PATIENCE_S,
    Load,
)

LIMIT_S = 6.0


def make_limits(count: int) -> list[float]:
    """Return time limits of first attempts, which differ slightly."""
    generator = random.Random(2)
    return [generator.uniform(0.85, 1.0) * LIMIT_S for _ in range(count)]


@pytest.mark.parametrize(
    ("has_begun", "waited_s", "expected"),
    [
        (False, 0.1, Timeliness.ON_TIME),
        (False, 0.3, Timeliness.LATE),
        (True, 3.0, Timeliness.BEGUN),
    ],
)
def test_timeliness_depends_on_events_and_time_waited(
    has_begun: bool, waited_s: float, expected: Timeliness
) -> None:
    judged = judge_timeliness(
        has_begun=has_begun, waited_s=waited_s, target_s=0.3
    )
    assert_that(judged, Is(expected))


@pytest.mark.parametrize("known", [0, 4, 64])
def test_first_attempts_have_no_previous_wait(known: int) -> None:
    usual = UsualLimits()
    for limit_s in make_limits(known):
        usual.record("r", limit_s)
    waits = [
        usual.estimate_wait("r", limit_s, LIMIT_S)
        for limit_s in make_limits(300)
    ]
    assert_that(max(waits), Equals(0.0))


def test_retries_after_an_outage_are_recognized_as_late() -> None:
    # The callers waited for two seconds of an outage, and the node has just
    # started.
    usual = UsualLimits()
    late = 0
    for limit_s in make_limits(100):
        left_s = limit_s - 2.0
        waited_s = usual.estimate_wait("r", left_s, LIMIT_S)
        late += waited_s > 0.3
    assert_that(late, Equals(100))


def test_limits_of_one_route_do_not_affect_another() -> None:
    usual = UsualLimits()
    for _ in range(64):
        usual.record("long", 60.0)
    assert_that(usual.estimate_wait("short", 5.5, LIMIT_S), Equals(0.0))


def test_an_interrupted_stream_may_exceed_the_bound_of_new_requests() -> None:
    # All slots of the groups of a model are busy.
    full = Load(own=2, others=7, slots=9, is_deprioritized=False)
    cut = find_group_bound(Timeliness.BEGUN, nodes=7)
    assert_that(cut == BEGUN_BOUND, Is(True))
    assert_that(cut.allows(full), Is(True))
    assert_that(GROUP_BOUND.allows(full), Is(False))


def test_a_late_request_gets_any_free_slot_after_a_while() -> None:
    filled = Load(own=0, others=8, slots=9, is_deprioritized=False)
    early = find_group_bound(Timeliness.LATE, nodes=7)
    later = find_group_bound(Timeliness.LATE, nodes=7, waited_s=LATE_PATIENCE_S)
    assert_that(early.allows(filled), Is(False))
    assert_that(later.allows(filled), Is(True))


def test_a_late_request_gets_no_slot_during_a_shortage() -> None:
    filled = Load(own=0, others=8, slots=9, is_deprioritized=False)
    bound = find_group_bound(
        Timeliness.LATE, nodes=7, waited_s=5.0, has_shortage=True
    )
    assert_that(bound.allows(filled), Is(False))


def test_a_request_is_late_when_its_first_event_cannot_be_in_time() -> None:
    def judge(first_event_s: float) -> Timeliness:
        return judge_timeliness(
            has_begun=False,
            waited_s=0.1,
            target_s=0.3,
            first_event_s=first_event_s,
        )

    assert_that(judge(0.15), Is(Timeliness.ON_TIME))
    assert_that(judge(0.25), Is(Timeliness.LATE))
