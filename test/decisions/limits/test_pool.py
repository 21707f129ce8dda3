"""Headroom, priorities and hedges of one model."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from chervilrock.decisions.limits import hedging
from chervilrock.decisions.limits import pool as pools
from chervilrock.decisions.routing import base

GROUPS = tuple(f"g{i}" for i in range(12))


def make_request(number, workspace, **fields):
    values = {
        "request_id": str(number),
        "workspace": workspace,
        "model": "m",
        "adapter": "",
        "prefix_blocks": (),
        "prompt_tokens": 100,
        "max_tokens": 100,
        "priority": 5,
        "idempotent": True,
        "deadline": 1e9,
    }
    return base.RequestView(**(values | fields))


@pytest.fixture
def pool():
    made = pools.Pool()
    made.set_groups(GROUPS, 9, 256.0)
    return made


def flood(pool, now):
    """Fill the slots from one workspace beside another active one."""
    pool.usage.record_active("small", now)
    pool.usage.record_active("large", now)
    pool.usage.start("small", now)
    while pool.has_slot("large"):
        pool.usage.start("large", now)
    pool.record_saturated(now)


def test_groups_are_reserved_for_workspaces_within_their_share(pool):
    flood(pool, 0.0)
    assert_that(pool.has_slot("small"), Equals(True))
    reserved = pool.reserved_groups("large", 0.0)
    assert_that(reserved, HasLength(2))
    assert_that(pool.reserved_groups("small", 0.0), HasLength(0))


def test_same_groups_are_reserved_in_any_order(pool):
    other = pools.Pool()
    other.set_groups(tuple(reversed(GROUPS)), 9, 256.0)
    flood(pool, 0.0)
    flood(other, 0.0)
    assert_that(
        other.reserved_groups("large", 0.0),
        Equals(pool.reserved_groups("large", 0.0)),
    )


def test_no_group_is_reserved_without_saturation(pool):
    flood(pool, 0.0)
    assert_that(pool.reserved_groups("large", 60.0), HasLength(0))


def test_sole_workspace_may_use_every_group(pool):
    pool.usage.record_active("large", 0.0)
    pool.usage.start("large", 0.0)
    pool.record_saturated(0.0)
    assert_that(pool.reserved_groups("large", 0.0), HasLength(0))


def test_priority_gains_nothing_over_workspaces_within_their_share(pool):
    flood(pool, 0.0)
    first = make_request(1, "large", priority=0)
    last = make_request(2, "small", priority=9, prompt_tokens=9000)
    assert_that(
        pool.engine_priority(last, 0.0),
        LessThan(pool.engine_priority(first, 0.0)),
    )


def test_long_prompt_is_computed_after_short_ones(pool):
    short = pool.engine_priority(make_request(1, "w"), 0.0)
    long = make_request(2, "w", prompt_tokens=9000)
    assert_that(pool.engine_priority(long, 0.0), GreaterThan(short))


@pytest.mark.parametrize("priority", range(10))
@pytest.mark.parametrize("tokens", [10, 9000])
def test_engine_priority_is_in_range(pool, priority, tokens):
    flood(pool, 0.0)
    for workspace in ("small", "large"):
        request = make_request(
            1, workspace, priority=priority, prompt_tokens=tokens
        )
        sent = pool.engine_priority(request, 0.0)
        assert_that(sent in range(10), Equals(True))


def test_hedges_stop_when_they_do_not_win():
    hedges = hedging.Hedging()
    for _ in range(30):
        hedges.observe_hedge(False)
    assert_that(hedges.is_worthwhile(0.1, 0.0), Equals(True))
    assert_that(hedges.is_worthwhile(0.1, 1.0), Equals(False))
    for _ in range(30):
        hedges.observe_hedge(True)
    assert_that(hedges.is_worthwhile(0.1, 1.0), Equals(True))


def test_no_hedge_above_the_load_limit():
    hedges = hedging.Hedging()
    assert_that(
        hedges.is_worthwhile(hedging.MAX_LOAD + 0.01, 0.0), Equals(False)
    )


def test_hedge_waits_longer_than_nearly_all_first_tokens():
    hedges = hedging.Hedging()
    for number in range(400):
        hedges.observe_first_token(1000, 0.1 + 0.001 * (number % 100))
    delay = hedges.delay(1000)
    assert delay is not None
    assert_that(delay, GreaterThan(0.19))
    assert_that(hedges.delay(9) is None, Equals(True))
