"""Tests of the components that stand-ins are built from."""

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
)

from chervilrock.clients.base import AttemptPhase
from chervilrock.standin.batch import Attempt, Batch
from chervilrock.standin.budget import Budget
from chervilrock.standin.cache import PrefixCache
from chervilrock.standin.faults import FaultKind, Faults
from chervilrock.standin.lag import LaggedValue
from chervilrock.standin.text import (
    BLOCK_CHARACTERS,
    expected_text,
    format_prompt,
    list_prefix_blocks,
)
from test.standin.calls import make_answer, make_body


def make_attempt(priority: int, max_tokens: int = 1) -> Attempt:
    answer = make_answer(make_body(max_tokens=max_tokens))
    return Attempt(answer=answer, priority=priority)


def list_endings(attempts: list[Attempt]) -> list[str]:
    return [str(attempt.ending or "") for attempt in attempts]


@given(st.lists(st.integers(0, 9), max_size=12))
def test_batch_takes_the_first_priority_first(priorities):
    batch = Batch(max_running=2, max_waiting=20)
    attempts = [make_attempt(priority) for priority in priorities]
    for attempt in attempts:
        batch.offer(attempt)
    order = []
    while not batch.idle:
        while taken := batch.take_next():
            taken.start(0.0)
            order.append(taken)
        assert_that(len(batch.running), LessThan(3))
        batch.step(0.0)
    wanted = sorted(attempts, key=lambda attempt: attempt.priority)
    assert_that(order, Equals(wanted))
    assert_that(list_endings(order), AllMatch(Equals("whole")))


def test_batch_waits_for_the_prefill():
    batch = Batch(max_running=2, max_waiting=0)
    batch.offer(make_attempt(5))
    attempt = batch.take_next()
    assert attempt is not None
    attempt.start(1.0)
    events = (batch.step(0.9), batch.step(1.0))
    assert_that(events, Equals((0, 1)))


def test_broken_batch_marks_waiting_attempts_as_not_run():
    batch = Batch(max_running=1, max_waiting=1)
    running, waiting, rejected = (make_attempt(5) for _ in range(3))
    taken = [batch.offer(item) for item in (running, waiting, rejected)]
    batch.take_next()
    running.start(0.0)
    batch.break_all()
    assert_that(taken, Equals([True, True, False]))
    endings = list_endings([running, waiting, rejected])
    assert_that(endings, Equals(["broken", "not_run", ""]))
    assert_that(running.phase, Equals(AttemptPhase.DONE))


def test_budget_refills_over_time():
    budget = Budget(rate=10.0, burst=5.0, now=0.0)
    waits = [budget.take(5.0, now) for now in (0.0, 0.25, 0.5)]
    assert_that(waits, Equals([0.0, 0.25, 0.0]))


def test_budget_grants_more_than_the_burst_when_full():
    budget = Budget(rate=1.0, burst=2.0, now=0.0)
    waits = (budget.take(6.0, 0.0), budget.take(1.0, 0.0))
    assert_that(waits, Equals((0.0, 5.0)))


def test_lagged_value_delays_each_change():
    value = LaggedValue(value="a", lag_s=2.0, now=0.0)
    value.set("b", 1.0)
    value.set("c", 2.0)
    seen = [value.get(now) for now in (2.9, 3.0, 3.9, 4.0)]
    assert_that(seen, Equals(["a", "b", "b", "c"]))


def test_cache_evicts_the_least_recently_used_block():
    cache = PrefixCache(capacity=2, lag_s=0.0)
    cache.store(("a", "b"), 0.0)
    cache.store(("a",), 0.0)
    hits = cache.store(("a", "c"), 0.0)
    events = [
        (event["block"], event["stored"])
        for event in cache.list_events(1, 0.0)["events"]
    ]
    assert_that(hits, Equals(1))
    wanted = [("a", True), ("b", True), ("c", True), ("b", False)]
    assert_that(events, Equals(wanted))


def test_fault_applies_by_path_method_and_count():
    faults = Faults()
    faults.add(
        {
            "kind": FaultKind.REFUSE,
            "path": "/log/",
            "method": "POST",
            "count": 1,
        }
    )
    strikes = [
        faults.strike(FaultKind.REFUSE, path, method) is not None
        for path, method in (
            ("/hosts", "POST"),
            ("/log/a", "GET"),
            ("/log/a", "POST"),
            ("/log/a", "POST"),
        )
    ]
    assert_that(strikes, Equals([False, False, True, False]))


def test_fault_probability_draws_from_its_seeded_generator():
    def count(seed: int) -> int:
        faults = Faults(rng=random.Random(seed))
        faults.add({"kind": FaultKind.REFUSE, "probability": 0.5})
        strikes = (faults.strike(FaultKind.REFUSE) for _ in range(100))
        return sum(strike is not None for strike in strikes)

    assert_that(count(1), Equals(count(1)))
    assert_that(count(1), GreaterThan(20))
    assert_that(count(1), LessThan(80))


def test_clear_removes_the_rules_of_a_kind():
    faults = Faults()
    faults.add({"kind": FaultKind.REFUSE})
    faults.add({"kind": FaultKind.OUTAGE})
    faults.clear(FaultKind.REFUSE)
    kinds = [rule["kind"] for rule in faults.list_rules()]
    faults.clear()
    assert_that(kinds, Equals([FaultKind.OUTAGE]))
    assert_that(faults.list_rules(), HasLength(0))


@given(st.text(), st.text(), st.integers(1, 40))
def test_text_tells_prompts_and_places_apart(prompt, other, count):
    tokens = expected_text("m", prompt, count)
    assert_that(set(tokens), HasLength(count))
    assert_that(expected_text("m", prompt, count + 1)[:count], Equals(tokens))
    same = expected_text("m", other, count) == tokens
    assert_that(same, Equals(prompt == other))


def test_prompt_of_a_chat_joins_its_text_parts():
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]
    body = {
        "messages": [
            {"role": "system", "content": "s"},
            {"role": "user", "content": parts},
        ]
    }
    assert_that(format_prompt(body), Equals("system: s\nuser: ab"))


def test_common_prefixes_share_blocks():
    prefix = "x" * BLOCK_CHARACTERS * 2
    first = list_prefix_blocks("m", prefix + "a" * BLOCK_CHARACTERS)
    second = list_prefix_blocks("m", prefix + "b" * BLOCK_CHARACTERS)
    assert_that(first[:2], Equals(second[:2]))
    assert_that(first[2] == second[2], Equals(False))
