import asyncio
from collections.abc import Callable
import time

import openai
from openai.types.chat import ChatCompletionMessageParam
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.text import expected_text
from test.edges.sites import join_stream, read_error, Site

TOKENS = 40
EXPECTED = "".join(expected_text("m", "hello", TOKENS))
RUN_ONCE = {"X-Idempotent": "false"}


def add_fault(site: Site, kind: FaultKind, **members: int) -> None:
    """Adds a fault to the leader of each group."""
    for group in site.groups:
        rule = FaultRule(kind=kind, path="/v1/", **members)  # type: ignore[typeddict-item]
        group.leader.faults.add(rule)


def set_token_time(site: Site, token_ms: float) -> None:
    for group in site.groups:
        for engine in group.engines:
            engine.options = engine.options._replace(token_ms=token_ms)


def test_stream_is_whole(loop: asyncio.Runner, site: Site) -> None:
    answer = loop.run(site.complete(stream=True, max_tokens=TOKENS))
    assert_that(answer.status, Equals(200))
    assert_that(join_stream(answer.body), Equals(EXPECTED))


def test_answer_is_whole(loop: asyncio.Runner, site: Site) -> None:
    answer = loop.run(site.complete(max_tokens=TOKENS))
    assert_that(answer.status, Equals(200))
    assert EXPECTED.encode() in answer.body
    assert_that(answer.headers["X-Node"], Equals("n1"))


async def call_with_model_client(site: Site) -> list[str]:
    """Returns a plain answer, a streamed one and the names of all models."""
    url = f"http://{site.address}/v1"
    messages: list[ChatCompletionMessageParam] = [
        {"role": "user", "content": "hello"}
    ]
    async with openai.AsyncOpenAI(base_url=url, api_key="none") as client:
        whole = await client.chat.completions.create(
            model="m:a", messages=messages, max_tokens=TOKENS
        )
        stream = await client.chat.completions.create(
            model="m:a", messages=messages, max_tokens=TOKENS, stream=True
        )
        deltas = [chunk.choices[0].delta async for chunk in stream]
        models = await client.models.list()
    return [
        whole.choices[0].message.content or "",
        "".join(delta.content or "" for delta in deltas),
        ",".join(model.id for model in models.data),
    ]


def test_model_client_reads_answers(loop: asyncio.Runner, site: Site) -> None:
    expected = "".join(expected_text("m:a", "user: hello", TOKENS))
    contents = loop.run(call_with_model_client(site))
    assert_that(contents, Equals([expected, expected, "m,m:a"]))


EVENT_FAULTS = [
    (FaultKind.REPEAT_EVENT, {}),
    (FaultKind.FOREIGN_EVENT, {}),
    (FaultKind.HOLD_EVENT, {}),
    (FaultKind.HOLD_EVENT, {"count": 1}),
    (FaultKind.BREAK_STREAM, {"after_events": 7, "count": 1}),
    (FaultKind.CLOSE_REUSED, {}),
    (FaultKind.SLOW_TOKEN, {"delay_ms": 1}),
]


@pytest.mark.parametrize(("kind", "members"), EVENT_FAULTS)
@pytest.mark.parametrize("headers", [{}, RUN_ONCE])
def test_faults_of_events_never_change_a_whole_stream(
    loop: asyncio.Runner,
    site: Site,
    kind: FaultKind,
    members: dict[str, int],
    headers: dict[str, str],
) -> None:
    add_fault(site, kind, **members)
    answer = loop.run(site.complete(headers, stream=True, max_tokens=TOKENS))
    if headers and kind is FaultKind.BREAK_STREAM:
        assert b"event: error" in answer.body
        assert b"[DONE]" not in answer.body
        assert_that(site.count_runs(), Equals(1))
    else:
        assert_that(join_stream(answer.body), Equals(EXPECTED))


LOSSES = [
    FaultRule(kind=FaultKind.BREAK_STREAM, path="/v1/", after_events=0),
    FaultRule(kind=FaultKind.LOSE_ANSWER, path="/v1/"),
    FaultRule(kind=FaultKind.OUTAGE, path="/v1/"),
]


@pytest.mark.parametrize("rule", LOSSES)
@pytest.mark.parametrize("stream", [False, True])
def test_idempotent_request_is_retried_after_a_loss(
    loop: asyncio.Runner, site: Site, rule: FaultRule, stream: bool
) -> None:
    site.groups[0].leader.faults.add(rule | {"count": 1})
    answer = loop.run(site.complete(stream=stream, max_tokens=TOKENS))
    assert_that(answer.status, Equals(200))
    if stream:
        assert_that(join_stream(answer.body), Equals(EXPECTED))


@pytest.mark.parametrize(
    ("rule", "stream"),
    [(rule, True) for rule in LOSSES] + [(rule, False) for rule in LOSSES[1:]],
)
def test_request_that_may_run_once_is_not_retried_after_a_loss(
    loop: asyncio.Runner, site: Site, rule: FaultRule, stream: bool
) -> None:
    for group in site.groups:
        group.leader.faults.add(rule)
    answer = loop.run(site.complete(RUN_ONCE, stream=stream, max_tokens=TOKENS))
    error = read_error(answer)
    assert_that(answer.status, Equals(502))
    assert error["outcome"] in ("unknown", "failed")
    assert_that(answer.headers["X-Outcome"], Equals(error["outcome"]))
    assert_that(answer.headers["X-Should-Retry"], Equals("false"))
    assert_that(site.count_arrivals(), Equals(1))


def test_rejected_request_is_sent_to_another_group(
    loop: asyncio.Runner, site: Site
) -> None:
    rule = FaultRule(kind=FaultKind.REFUSE, path="/v1/", count=1)
    for group in site.groups:
        group.leader.faults.add(rule)
    answer = loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS))
    assert_that(answer.status, Equals(503))
    assert_that(read_error(answer)["outcome"], Equals("not_run"))
    assert_that(answer.headers["X-Should-Retry"], Equals("true"))
    assert_that(site.count_runs(), Equals(0))
    answer = loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS))
    assert_that(answer.status, Equals(200))
    assert_that(site.count_runs(), Equals(1))


def test_leader_with_another_fence_runs_nothing(
    loop: asyncio.Runner, site: Site
) -> None:
    stale = site.context.serving[0]._replace(fence=3)
    site.context.set_serving([stale, site.context.serving[1]])
    answers = [
        loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS)) for _ in range(4)
    ]
    statuses = {answer.status for answer in answers}
    assert statuses <= {200, 503}
    assert_that(
        site.count_runs(),
        Equals(sum(answer.status == 200 for answer in answers)),
    )


def test_dead_group_is_skipped(loop: asyncio.Runner, site: Site) -> None:
    site.groups[0].leader.kill()
    for _ in range(4):
        answer = loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS))
        assert_that(answer.status, Equals(200))
    assert_that(site.count_runs(), Equals(4))


def test_missing_groups_are_reported_at_once(
    loop: asyncio.Runner, site: Site
) -> None:
    for group in site.groups:
        group.leader.kill()
    answer = loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS))
    error = read_error(answer)
    assert_that(error["outcome"], Equals("not_run"))
    assert_that(error["code"], Equals("backend_unreachable"))
    site.context.set_serving([])
    answer = loop.run(site.complete(RUN_ONCE, max_tokens=TOKENS))
    error = read_error(answer)
    assert_that(error["outcome"], Equals("not_run"))
    assert_that(error["code"], Equals("no_group"))
    assert error["retry_after_ms"] > 0
    assert "Retry-After" in answer.headers


def test_many_calls_over_closing_connections_run_once_each(
    loop: asyncio.Runner, site: Site
) -> None:
    add_fault(site, FaultKind.CLOSE_REUSED)

    async def call_often() -> list[int]:
        calls = [site.complete(RUN_ONCE) for _ in range(12)]
        return [(await call).status for call in calls]

    assert_that(loop.run(call_often()), Equals([200] * 12))
    assert_that(site.count_runs(), Equals(12))


def test_deadline_aborts_a_request(loop: asyncio.Runner, site: Site) -> None:
    add_fault(site, FaultKind.ANSWER_LATE, delay_ms=60000)
    headers = RUN_ONCE | {"X-Deadline-Ms": "50"}
    error = read_error(loop.run(site.complete(headers)))
    assert_that(error["code"], Equals("deadline_exceeded"))
    assert_that(error["outcome"], Equals("unknown"))


def test_disconnected_caller_frees_the_engine(
    loop: asyncio.Runner, site: Site
) -> None:
    set_token_time(site, 1.0)

    async def disconnect() -> None:
        reader, writer = await asyncio.open_connection(*site.address.split(":"))
        body = b'{"model":"m","prompt":"p","max_tokens":900000,"stream":true}'
        head = b"POST /v1/completions HTTP/1.1\r\nHost: n\r\n"
        head += b"Content-Length: %d\r\n\r\n"
        writer.write(head % len(body) + body)
        await reader.readuntil(b"/3\ndata")
        writer.close()
        while site.path.in_flight or site.count_running():
            await asyncio.sleep(0)

    loop.run(disconnect())


def test_leaving_node_rejects_new_and_finishes_running_requests(
    loop: asyncio.Runner, site: Site
) -> None:
    set_token_time(site, 1.0)

    def leave(_chunk: bytes) -> None:
        site.context.is_leaving = True

    answer = loop.run(
        site.complete(on_chunk=leave, stream=True, max_tokens=TOKENS)
    )
    assert_that(join_stream(answer.body), Equals(EXPECTED))
    error = read_error(loop.run(site.complete()))
    assert_that(error["code"], Equals("leaving"))
    assert_that(error["outcome"], Equals("not_run"))


def kill_leader(site: Site) -> None:
    """Kills the leader of the group that runs the stream."""
    for group in site.groups:
        if group.leader.executions:
            group.leader.kill()
            return


def kill_follower(site: Site) -> None:
    """Kills the second host of the group that runs the stream."""
    for group in site.groups:
        if group.leader.executions:
            group.engines[1].kill()
            return


@pytest.mark.parametrize("kill_host", [kill_leader, kill_follower])
def test_stream_continues_when_its_group_loses_a_host(
    loop: asyncio.Runner, site: Site, kill_host: Callable[[Site], None]
) -> None:
    set_token_time(site, 2.0)
    chunks: list[bytes] = []

    def kill_after_five_chunks(chunk: bytes) -> None:
        chunks.append(chunk)
        if len(chunks) == 5:
            kill_host(site)

    answer = loop.run(
        site.complete(
            on_chunk=kill_after_five_chunks, stream=True, max_tokens=TOKENS
        )
    )
    assert_that(join_stream(answer.body), Equals(EXPECTED))
    assert_that(site.count_runs(), GreaterThan(1))


@pytest.mark.parametrize("kill_host", [kill_leader, kill_follower])
def test_stream_that_may_run_once_ends_with_a_marked_error(
    loop: asyncio.Runner, site: Site, kill_host: Callable[[Site], None]
) -> None:
    set_token_time(site, 2.0)
    chunks: list[bytes] = []

    def kill_after_five_chunks(chunk: bytes) -> None:
        chunks.append(chunk)
        if len(chunks) == 5:
            kill_host(site)

    answer = loop.run(
        site.complete(
            RUN_ONCE,
            on_chunk=kill_after_five_chunks,
            stream=True,
            max_tokens=TOKENS,
        )
    )
    assert answer.whole
    assert b'event: error\ndata: {"error":{"code":"answer_broken"' in (
        answer.body
    )
    assert b'"outcome":"failed"' in answer.body
    assert_that(site.count_runs(), Equals(1))


def test_stream_moves_away_from_a_stalled_group(
    loop: asyncio.Runner, site: Site
) -> None:
    chunks: list[bytes] = []
    set_token_time(site, 2.0)

    def freeze_group(chunk: bytes) -> None:
        chunks.append(chunk)
        if len(chunks) != 5:
            return
        frozen = next(g for g in site.groups if g.leader.executions)
        frozen.engines[1].faults.set_paused(True)
        site.context.set_serving(
            [e for e in site.context.serving if e.group != frozen.name]
        )
        site.context.clock = lambda: time.monotonic() + len(chunks)

    answer = loop.run(
        site.complete(on_chunk=freeze_group, stream=True, max_tokens=TOKENS)
    )
    assert_that(join_stream(answer.body), Equals(EXPECTED))
    assert_that(site.count_runs(), Equals(2))


def test_all_streams_of_a_lost_group_continue(
    loop: asyncio.Runner, site: Site
) -> None:
    set_token_time(site, 2.0)

    async def kill_group_leader() -> list[str]:
        calls = [
            asyncio.create_task(site.complete(stream=True, max_tokens=TOKENS))
            for _ in range(8)
        ]
        while site.path.in_flight < len(calls):
            await asyncio.sleep(0)
        while any(run.count_tokens() < 3 for run in site.path.list_runs()):
            await asyncio.sleep(0)
        site.groups[0].leader.kill()
        return [join_stream((await call).body) for call in calls]

    assert_that(loop.run(kill_group_leader()), Equals([EXPECTED] * 8))
