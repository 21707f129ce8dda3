"""Tests automatic retries of a model client for requests that run once."""

import asyncio

import openai
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from chervilrock.edges import errors
from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.sites import Site

MAX_RETRIES = 3
STATUS_BAD_GATEWAY = 502


async def complete_with_model_client(site: Site) -> int:
    """Returns the error status the client ends with, or 0 on success."""
    url = f"http://{site.address}/v1"
    async with openai.AsyncOpenAI(
        base_url=url, api_key="none", max_retries=MAX_RETRIES
    ) as client:
        try:
            await client.chat.completions.create(
                model="m",
                messages=[{"role": "user", "content": "the price"}],
                extra_headers={"X-Idempotent": "false"},
            )
        except openai.APIStatusError as error:
            return error.status_code
    return 0


@pytest.fixture
def losing_site(site: Site, monkeypatch: pytest.MonkeyPatch) -> Site:
    """A site whose engines lose all answers; the client retries at once."""
    for group in site.groups:
        rule = FaultRule(kind=FaultKind.LOSE_ANSWER, path="/v1/")
        group.leader.faults.add(rule)
    monkeypatch.setattr(
        openai.AsyncOpenAI,
        "_calculate_retry_timeout",
        lambda *_arguments: 0.0,
    )
    return site


def test_client_does_not_retry_what_must_run_once(
    loop: asyncio.Runner, losing_site: Site
) -> None:
    status = loop.run(complete_with_model_client(losing_site))
    assert_that(status, Equals(STATUS_BAD_GATEWAY))
    assert_that(losing_site.count_arrivals(), Equals(1))
    assert_that(losing_site.count_runs(), Equals(1))


def test_client_would_retry_without_the_header(
    loop: asyncio.Runner, losing_site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(errors, "format_should_retry", lambda *_: "true")
    loop.run(complete_with_model_client(losing_site))
    assert_that(losing_site.count_runs(), GreaterThan(1))


def test_client_retries_what_was_not_run(
    loop: asyncio.Runner, losing_site: Site
) -> None:
    for group in losing_site.groups:
        group.leader.faults.clear()
        rule = FaultRule(kind=FaultKind.REFUSE, path="/v1/", count=1)
        group.leader.faults.add(rule)
    assert_that(loop.run(complete_with_model_client(losing_site)), Equals(0))
    assert_that(losing_site.count_runs(), Equals(1))
