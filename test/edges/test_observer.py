"""Tests what the routing policy is notified of while requests run."""

import asyncio
from collections.abc import Iterator
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from chervilrock.decisions.routing.base import (
    Endpoint,
    PROGRESS_TOKENS,
    RequestView,
)
from chervilrock.decisions.routing.baselines import LeastInFlight
from chervilrock.edges import path, sinks
from chervilrock.edges.enginecalls import read_usage
from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.conftest import make_site
from test.edges.sites import join_stream, MODEL, Site
from test.edges.test_slow_callers import open_slow_stream

TOKENS = 200
BREAK_AFTER_EVENTS = 30
BUFFER_BYTES = 4096


class RecordingPolicy(LeastInFlight):
    """Records the sends, first tokens, progress and completions."""

    def __init__(self) -> None:
        super().__init__(rng=random.Random(0))
        self.sent: list[str] = []
        self.first: list[str] = []
        self.progress: list[int] = []
        self.done: list[tuple[str, int]] = []

    def on_sent(
        self, request: RequestView, endpoint: Endpoint, now: float
    ) -> None:
        super().on_sent(request, endpoint, now)
        self.sent.append(endpoint.group)

    def on_first_token(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        waited_s: float,
    ) -> None:
        assert waited_s >= 0.0
        self.first.append(endpoint.group)

    def on_progress(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        self.progress.append(tokens)

    def on_done(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        super().on_done(request, endpoint, now, ok, tokens)
        self.done.append((endpoint.group, tokens))


@pytest.fixture
def policy() -> RecordingPolicy:
    return RecordingPolicy()


@pytest.fixture
def observed_site(
    loop: asyncio.Runner,
    policy: RecordingPolicy,
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Site]:
    monkeypatch.setattr(path, "SWEEP_INTERVAL_S", 0.0)
    site = loop.run(make_site())
    site.context._policy = policy
    for group in site.groups:
        group.leader.options = group.leader.options._replace(token_ms=1.0)
    yield site
    loop.run(site.stop())


def test_each_send_reports_its_own_first_token_and_tokens(
    loop: asyncio.Runner, observed_site: Site, policy: RecordingPolicy
) -> None:
    for group in observed_site.groups:
        rule = FaultRule(
            kind=FaultKind.BREAK_STREAM,
            path="/v1/",
            after_events=BREAK_AFTER_EVENTS,
            count=1,
        )
        group.leader.faults.add(rule)
    answer = loop.run(observed_site.complete(stream=True, max_tokens=TOKENS))
    assert join_stream(answer.body)
    assert_that(policy.sent, Equals(policy.first))
    assert_that(len(policy.sent), GreaterThan(1))
    assert_that([group for group, _ in policy.done], Equals(policy.sent))
    assert_that(policy.done[0][1], Equals(BREAK_AFTER_EVENTS))
    # The last event carries no token, only the reason of completion.
    total = sum(tokens for _, tokens in policy.done)
    assert_that(total, Equals(TOKENS + 1))


def test_progress_is_reported_in_steps(
    loop: asyncio.Runner, observed_site: Site, policy: RecordingPolicy
) -> None:
    loop.run(observed_site.complete(stream=True, max_tokens=TOKENS))
    totals = [0, *policy.progress]
    steps = [new - old for old, new in zip(totals, totals[1:], strict=False)]
    assert_that(len(steps), GreaterThan(1))
    assert min(steps) >= PROGRESS_TOKENS


@pytest.mark.parametrize("stream", [False, True])
def test_tokens_of_streams_and_whole_answers_are_counted(
    loop: asyncio.Runner, site: Site, stream: bool
) -> None:
    loop.run(site.complete(stream=stream, max_tokens=TOKENS))
    registry = site.context.metrics.registry
    counted = registry.get_sample_value(
        "chervilrock_tokens_total", {"model": MODEL}
    )
    assert counted == TOKENS


@given(
    st.none()
    | st.integers()
    | st.dictionaries(st.text(), st.integers())
    | st.fixed_dictionaries({"completion_tokens": st.integers() | st.text()})
)
def test_any_usage_is_read(usage: object) -> None:
    assert read_usage(usage) >= 0


def test_slow_caller_does_not_make_a_group_look_slow(
    loop: asyncio.Runner,
    observed_site: Site,
    policy: RecordingPolicy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sinks, "MAX_UNSENT_BYTES", BUFFER_BYTES)
    for group in observed_site.groups:
        group.leader.options = group.leader.options._replace(token_ms=0.0)

    async def read_late() -> None:
        reader, writer = await open_slow_stream(observed_site)
        before = len(policy.progress)
        await reader.read()
        writer.close()
        while observed_site.path.in_flight:
            await asyncio.sleep(0)
        assert_that(len(policy.progress), Equals(before))

    loop.run(read_late())
    assert_that([tokens for _, tokens in policy.done], Equals([0]))
