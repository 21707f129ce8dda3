import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.admission.durations import (
    compute_full_load_duration,
    MARGIN_FACTOR,
    MIN_SAMPLES,
    MIN_TOKENS,
    RequestDurations,
    RequestKind,
)
from chervilrock.decisions.serving.site import EngineProfile

BOOK = RequestKind("book", "desk", 0)
DRAFT = RequestKind("draft", "large", 100)


@pytest.fixture
def durations() -> RequestDurations:
    return RequestDurations()


def record(
    durations: RequestDurations,
    kind: RequestKind,
    *seconds: float,
    is_complete: bool = True,
) -> None:
    for number, duration in enumerate(seconds):
        durations.record_sent(number, kind, 0.0)
        durations.record_ended(number, duration, is_complete=is_complete)


def test_the_default_holds_while_too_few_requests_are_known(durations) -> None:
    record(durations, BOOK, *[1.0] * (MIN_SAMPLES - 1))
    assert_that(durations.estimate_usual(BOOK, 5.0), Equals(5.0))
    assert_that(durations.estimate_longest(BOOK, 5.0, 0.0), Equals(5.0))
    # Slower ones count all the same.
    longest_s = durations.estimate_longest(BOOK, 0.5, 0.0)
    assert_that(longest_s, Equals(MARGIN_FACTOR))


def test_longest_time_includes_the_slowest_request(durations) -> None:
    record(durations, BOOK, *[0.1] * MIN_SAMPLES, 2.0)
    assert_that(durations.estimate_usual(BOOK, 5.0), Equals(0.1))
    longest_s = durations.estimate_longest(BOOK, 5.0, 0.0)
    assert_that(longest_s, Equals(MARGIN_FACTOR * 2.0))


def test_longer_streams_are_expected_to_take_longer(durations) -> None:
    record(durations, DRAFT, *[1.0] * MIN_SAMPLES)
    long = DRAFT._replace(output_tokens=400)
    assert_that(durations.estimate_usual(long, 9.0), Equals(4.0))
    # The time to the first event does not shrink with the length.
    shortest = DRAFT._replace(output_tokens=1)
    usual_s = durations.estimate_usual(shortest, 9.0)
    assert_that(usual_s, Equals(MIN_TOKENS / 100))


def test_a_request_that_is_still_running_shows_a_slow_server(durations) -> None:
    record(durations, BOOK, *[0.1] * MIN_SAMPLES)
    durations.record_sent("running", BOOK, 10.0)
    longest_s = durations.estimate_longest(BOOK, 5.0, 13.0)
    assert_that(longest_s, Equals(3.0))


def test_answers_that_are_not_complete_show_nothing(durations) -> None:
    record(durations, BOOK, *[0.1] * MIN_SAMPLES, is_complete=False)
    assert_that(durations.estimate_usual(BOOK, 5.0), Equals(5.0))


def test_a_new_route_is_estimated_from_its_pool(durations) -> None:
    record(durations, BOOK, *[0.5] * MIN_SAMPLES)
    new = BOOK._replace(route="new")
    assert_that(durations.estimate_usual(new, 5.0), Equals(0.5))
    other = RequestKind("other", "shop", 0)
    assert_that(durations.estimate_usual(other, 5.0), Equals(5.0))


def test_an_unknown_stream_is_expected_to_meet_a_full_group() -> None:
    engine = EngineProfile(
        slots=4,
        step_s=0.006,
        per_request_s=0.001,
        steps_per_pass=5,
        prompt_tokens_per_s=46_000.0,
        prompt_chunk=2048,
        usual_prompt_tokens=1000.0,
        form_s=0.3,
        loads_per_s=1.0,
        loads_at_once=1,
        staged_models=1,
        models={},
    )

    def compute(tokens: int) -> float:
        return compute_full_load_duration(
            engine, time_factor=1.0, output_tokens=tokens, target_s=0.5
        )

    assert_that(compute(0), Equals(0.5))
    assert_that(compute(100), GreaterThan(0.5 + 100 * 0.010))
    assert_that(compute(100), LessThan(math.inf))
