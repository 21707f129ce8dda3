import asyncio
from collections.abc import Iterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.text import expected_text
from test.edges.conftest import make_site
from test.edges.sites import read_error, Site
from test.standin.calls import Call

KEY = {"Idempotency-Key": "quote-17"}
EXPECTED = "".join(expected_text("m", "hello", 6))


@pytest.fixture
def other_site(loop: asyncio.Runner, site: Site) -> Iterator[Site]:
    """Another node that shares the key log."""
    other_site = loop.run(make_site("i2"))
    other_site.context.key_log = site.context.key_log
    yield other_site
    loop.run(other_site.stop())


async def complete_twice(site: Site) -> list[Call]:
    calls = (site.complete(KEY), site.complete(KEY))
    return list(await asyncio.gather(*calls))


def test_repeats_with_a_key_get_one_answer(
    loop: asyncio.Runner, site: Site
) -> None:
    answers = loop.run(complete_twice(site)) + loop.run(complete_twice(site))
    assert_that({answer.status for answer in answers}, Equals({200}))
    assert_that(len({answer.body for answer in answers}), Equals(1))
    assert_that(site.count_runs(), Equals(1))


def test_other_node_does_not_run_a_key_again(
    loop: asyncio.Runner, site: Site, other_site: Site
) -> None:
    loop.run(site.complete(KEY))
    error = read_error(loop.run(other_site.complete(KEY)))
    assert_that(error["outcome"], Equals("unknown"))
    assert_that(other_site.count_runs(), Equals(0))


def test_key_runs_nothing_and_is_unknown_without_the_log(
    loop: asyncio.Runner, site: Site, other_site: Site
) -> None:
    site.context.key_log.is_available = False
    error = read_error(loop.run(site.complete(KEY)))
    assert_that(error["outcome"], Equals("unknown"))
    assert_that(error["code"], Equals("key_unavailable"))
    assert_that(site.count_runs(), Equals(0))
    site.context.key_log.is_available = True
    assert EXPECTED.encode() in loop.run(other_site.complete(KEY)).body
    error = read_error(loop.run(site.complete(KEY)))
    assert_that(error["outcome"], Equals("unknown"))
    assert_that(site.count_runs() + other_site.count_runs(), Equals(1))


def test_key_whose_request_did_not_run_is_free(
    loop: asyncio.Runner, site: Site, other_site: Site
) -> None:
    for group in site.groups:
        group.leader.faults.add(FaultRule(kind=FaultKind.REFUSE, path="/v1/"))
    error = read_error(loop.run(site.complete(KEY)))
    assert_that(error["outcome"], Equals("not_run"))
    assert_that(loop.run(other_site.complete(KEY)).status, Equals(200))


def test_key_is_for_one_request(loop: asyncio.Runner, site: Site) -> None:
    loop.run(site.complete(KEY))
    error = read_error(loop.run(site.complete(KEY, prompt="another")))
    assert_that(error["code"], Equals("ticket_mismatch"))
