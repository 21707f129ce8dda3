import asyncio

import msgspec
import pycurl
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.sites import read_error, Site
from test.standin.calls import Call

PATH = "/services/filing/a%20b/../c?x=1&y=%2F"


def add_fault(site: Site, rule: FaultRule) -> None:
    for service in site.services:
        service.faults.add(rule)


def keep_path(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.PATH_AS_IS, 1)


async def call_often(site: Site, method: str, count: int) -> list[Call]:
    return [
        await site.call(
            "/services/filing/x",
            method=method,
            body=None if method in ("GET", "HEAD") else [n],
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
def test_call_reaches_a_backend_server_unchanged(
    loop: asyncio.Runner, site: Site, method: str
) -> None:
    body = None if method in ("GET", "DELETE") else {"amount": 7}
    answer = loop.run(
        site.call(PATH, method=method, body=body, prepare=keep_path)
    )
    assert_that(answer.status, Equals(200))
    echoed = msgspec.json.decode(answer.body)
    assert_that(echoed["method"], Equals(method))
    assert_that(echoed["uri"], Equals("/a%20b/../c?x=1&y=%2F"))
    assert_that(echoed["body"], Equals('{"amount":7}' if body else ""))
    assert_that(echoed["request_id"], Equals(answer.headers["X-Request-Id"]))


def test_head_has_no_body(loop: asyncio.Runner, site: Site) -> None:
    (answer,) = loop.run(call_often(site, "HEAD", 1))
    assert_that((answer.status, answer.body), Equals((200, b"")))


@pytest.mark.parametrize(
    "kind", [FaultKind.LOSE_ANSWER, FaultKind.CLOSE_REUSED, FaultKind.OUTAGE]
)
def test_call_that_may_run_once_runs_once(
    loop: asyncio.Runner, site: Site, kind: FaultKind
) -> None:
    add_fault(site, FaultRule(kind=kind))
    answers = loop.run(call_often(site, "POST", 10))
    for answer in answers:
        if kind is FaultKind.LOSE_ANSWER:
            assert_that(read_error(answer)["outcome"], Equals("unknown"))
    for service in site.services:
        assert set(service.executions.values()) <= {1}
    assert_that(sum(s.arrivals for s in site.services), Equals(10))


def test_rejected_call_is_reported_as_not_run(
    loop: asyncio.Runner, site: Site
) -> None:
    add_fault(site, FaultRule(kind=FaultKind.REFUSE))
    for answer in loop.run(call_often(site, "POST", 10)):
        assert_that(read_error(answer)["outcome"], Equals("not_run"))
    assert_that(site.count_calls(), Equals(0))


def test_dead_backend_server_is_skipped(
    loop: asyncio.Runner, site: Site
) -> None:
    site.services[0].kill()
    answers = loop.run(call_often(site, "POST", 10))
    assert_that({answer.status for answer in answers}, Equals({200}))
    assert_that(site.count_calls(), Equals(10))


def test_idempotent_call_is_retried(loop: asyncio.Runner, site: Site) -> None:
    rule = FaultRule(kind=FaultKind.LOSE_ANSWER, count=1)
    site.services[0].faults.add(rule)
    answers = loop.run(call_often(site, "GET", 10))
    assert_that({answer.status for answer in answers}, Equals({200}))
    assert_that(site.count_calls(), Equals(11))


def test_unknown_service_is_not_found(loop: asyncio.Runner, site: Site) -> None:
    answer = loop.run(site.call("/services/other/x", method="GET"))
    assert_that(read_error(answer)["code"], Equals("not_found"))
    assert_that(answer.status, Equals(404))


def test_slow_call_that_may_run_once_outlives_its_caller(
    loop: asyncio.Runner, site: Site
) -> None:
    add_fault(site, FaultRule(kind=FaultKind.ANSWER_LATE, delay_ms=50))

    async def disconnect() -> None:
        host, port = site.address.split(":")
        _reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /services/filing/x HTTP/1.1\r\nHost: n\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        while not site.count_calls():
            await asyncio.sleep(0)
        writer.close()
        while site.path.in_flight:
            await asyncio.sleep(0)

    loop.run(disconnect())
    assert_that(site.count_calls(), Equals(1))
