"""Tests of how often a request runs when its reused connection is closed.

libcurl resends such a request on a new connection without reporting
it, so that the service runs it twice unless a `SendGuard` prevents this.
"""

import functools

import pycurl
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.sendguard import SendGuard
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.service import ServiceStandIn
from test.standin.calls import call, make_client

CALL_COUNT = 3


class NoGuard:
    """Leaves the automatic retries to libcurl."""

    def __init__(self, *, fresh: bool) -> None:
        self._fresh = fresh

    def prepare(self, curl: pycurl.Curl) -> None:
        """Configure a handle."""
        if self._fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)


@pytest.fixture
def service(runner):
    service = ServiceStandIn()
    runner.run(service.start())
    service.faults.add({"kind": FaultKind.CLOSE_REUSED})
    yield service
    runner.run(service.stop())


@pytest.fixture
def post(runner, service):
    """Posts the calls in sequence and returns how many were answered."""
    client = runner.run(make_client())

    async def post_all(make_guard) -> int:
        answered = 0
        for number in range(CALL_COUNT):
            guard = make_guard()
            got = await call(
                client,
                f"http://{service.address}/filings",
                body={},
                headers={"X-Request-Id": f"r{number}"},
                prepare=guard.prepare,
            )
            answered += got.whole
        return answered

    yield lambda make_guard: runner.run(post_all(make_guard))
    client.close()


def test_closed_reused_connection_causes_an_unreported_resend(post, service):
    answered = post(functools.partial(NoGuard, fresh=False))
    assert_that(answered, Equals(CALL_COUNT))
    assert_that(service.executions, Equals({"r0": 1, "r1": 2, "r2": 2}))


def test_fresh_connection_sends_once(post, service):
    answered = post(functools.partial(NoGuard, fresh=True))
    assert_that(answered, Equals(CALL_COUNT))
    assert_that(service.executions, Equals({"r0": 1, "r1": 1, "r2": 1}))


def test_guard_prevents_the_second_send(post, service):
    answered = post(SendGuard)
    assert_that(answered, Equals(CALL_COUNT - 1))
    assert_that(service.executions, Equals({"r0": 1, "r1": 1, "r2": 1}))


def test_fresh_connection_with_the_guard_sends_once(post, service):
    answered = post(functools.partial(SendGuard, fresh=True))
    assert_that(answered, Equals(CALL_COUNT))
    assert_that(service.executions, Equals({"r0": 1, "r1": 1, "r2": 1}))


def test_guard_reports_that_nothing_was_sent(runner, service, post):
    guard = SendGuard()
    service.kill()
    post(lambda: guard)
    assert_that(guard.sent, Equals(False))
    assert_that(service.executions.total(), Equals(0))
