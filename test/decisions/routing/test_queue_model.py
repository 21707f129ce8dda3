"""Queueing model of an engine that the routing benchmark uses."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from bench import queue_model


def make_job(attempt, *, priority=5, blocks=(), tokens=640, answer=10):
    return queue_model.Job(
        attempt=attempt,
        priority=priority,
        blocks=blocks,
        prompt_tokens=tokens,
        answer_tokens=answer,
        answer_blocks=blocks,
    )


@pytest.fixture
def engine():
    return queue_model.Engine()


def run(engine):
    """Run until idle; return the attempts by first token and by last token."""
    first = []
    finished = []
    while not engine.is_idle():
        result = engine.step()
        first += result.first
        finished += result.finished
        assert_that(engine.cache_used, LessThan(1.0 + 1e-9))
        assert_that(engine.running, LessThan(queue_model.MAX_BATCH + 1))
    return first, finished


def test_every_request_gets_its_first_and_last_token_once(engine):
    for attempt in range(100):
        tokens = 9000 if attempt % 10 == 0 else 500
        engine.submit(make_job(attempt, tokens=tokens, answer=1 + attempt))
    first, finished = run(engine)
    assert_that(sorted(first), Equals(list(range(100))))
    assert_that(sorted(finished), Equals(list(range(100))))
    assert_that(engine.cache_used, Equals(0.0))


def test_cached_prefix_is_not_computed_again(engine):
    blocks = tuple(range(10))
    engine.submit(make_job(1, blocks=blocks))
    run(engine)
    assert_that(engine.cached_tokens, Equals(0))
    engine.submit(make_job(2, blocks=blocks))
    run(engine)
    assert_that(engine.cached_tokens, Equals(639))


def test_prompt_with_priority_is_computed_first(engine):
    engine.submit(make_job(1, priority=5, tokens=5000))
    engine.submit(make_job(2, priority=1, tokens=5000))
    first, _ = run(engine)
    assert_that(first, Equals([2, 1]))


def test_cancelled_request_gets_no_token_and_holds_no_memory(engine):
    for attempt in range(40):
        engine.submit(make_job(attempt))
    engine.step()
    for attempt in (0, 20, 39):
        engine.cancel(attempt)
    _, finished = run(engine)
    assert_that(len({0, 20, 39} & set(finished)), Equals(0))
    assert_that(len(finished), Equals(37))
    assert_that(engine.cache_used, Equals(0.0))
