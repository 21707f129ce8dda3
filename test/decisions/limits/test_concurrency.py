"""Adaptive limits, and the estimates from which they are computed."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.limits import (
    concurrency,
    queueing,
    saturation,
    throughput,
)

NODES = 9


@pytest.fixture
def limit():
    return concurrency.GroupLimit(nodes=NODES)


def pass_interval(limit, interval):
    limit.adjust(interval * concurrency.ADJUST_INTERVAL_S)


def test_limit_falls_while_requests_wait_at_the_engine(limit):
    pass_interval(limit, 1)
    before = limit.limit
    limit.on_load(concurrency.MAX_ENGINE_WAITING + 1)
    pass_interval(limit, 2)
    assert_that(limit.limit, Equals(before * concurrency.DECREASE_FACTOR))


def test_limit_falls_while_every_first_token_is_late(limit):
    pass_interval(limit, 1)
    before = limit.limit
    for _ in range(3):
        limit.on_queueing(concurrency.TARGET_QUEUEING_S * 2)
    pass_interval(limit, 2)
    assert_that(limit.limit, LessThan(before))


def test_single_late_first_tokens_do_not_lower_the_limit(limit):
    pass_interval(limit, 1)
    before = limit.limit
    for queueing_s in (5.0, 0.0, 5.0):
        limit.on_queueing(queueing_s)
    pass_interval(limit, 2)
    assert_that(limit.limit, Equals(before))


def test_limit_rises_only_when_it_was_reached(limit):
    pass_interval(limit, 1)
    before = limit.limit
    pass_interval(limit, 2)
    assert_that(limit.limit, Equals(before))
    limit.on_saturated()
    pass_interval(limit, 3)
    assert_that(limit.limit, GreaterThan(before))


def test_limit_falls_once_in_an_interval(limit):
    pass_interval(limit, 1)
    before = limit.limit
    for _ in range(20):
        limit.on_overload()
        limit.adjust(1.5 * concurrency.ADJUST_INTERVAL_S)
    assert_that(limit.limit, Equals(before))
    pass_interval(limit, 2)
    assert_that(limit.limit, Equals(before * concurrency.DECREASE_FACTOR))


def test_maximum_over_all_nodes_holds_whatever_their_number(limit):
    for nodes in (9, 3, 1, 40):
        limit.set_bounds(nodes, 18.0)
        for interval in range(200):
            limit.on_saturated()
            limit.adjust(nodes * 1000.0 + interval * 2.0)
        assert_that(round(limit.limit * nodes, 6), Equals(18.0))


def test_queueing_time_is_the_excess_over_the_minimum_of_a_length():
    estimator = queueing.QueueingEstimator()
    estimator.observe(1000, 0.25, 0.0)
    estimator.observe(100, 0.125, 0.0)
    assert_that(estimator.observe(1000, 0.75, 1.0), Equals(0.5))
    assert_that(estimator.observe(100, 0.25, 1.0), Equals(0.125))


def test_minimum_time_expires():
    estimator = queueing.QueueingEstimator()
    estimator.observe(1000, 0.25, 0.0)
    later = 2 * queueing.MIN_RETENTION_S + 1.0
    estimator.observe(1000, 1.0, queueing.MIN_RETENTION_S + 0.5)
    assert_that(estimator.observe(1000, 1.0, later), Equals(0.0))


def test_release_rate_follows_the_releases():
    rate = throughput.ReleaseRate()
    for number in range(600):
        rate.on_release(number * 0.1)
    measured = rate.rate(60.0, running=0)
    assert_that(abs(measured - 10.0), LessThan(1.0))


def test_retry_delays_are_spaced_by_the_rate():
    times = throughput.RetrySchedule(max_delay_s=30.0)
    delays = [times.schedule_retry("w", 4, 2.0, 0.0) for _ in range(3)]
    assert_that(delays, Equals([2.5, 3.0, 3.5]))
    assert_that(times.schedule_retry("other", 0, 2.0, 0.0), Equals(0.5))


def test_retry_delay_is_bounded():
    times = throughput.RetrySchedule(max_delay_s=30.0)
    for _ in range(1000):
        delay = times.schedule_retry("w", 100, 1.0, 0.0)
        assert_that(delay, LessThan(30.5))


def test_wait_is_shortened_only_while_saturation_outlasts_a_burst():
    state = saturation.Saturation()
    now = 0.0
    while now <= saturation.BURST_S + 1.0:
        state.record(now)
        now += 0.25
    short = saturation.SATURATED_WAIT_SHARE * 2.0
    assert_that(state.longest_wait(2.0, now), Equals(short))
    now += saturation.MAX_GAP_S + 1.0
    assert_that(state.longest_wait(2.0, now), Equals(2.0))
    state.record(now)
    assert_that(state.longest_wait(2.0, now), Equals(2.0))
