import asyncio
from collections.abc import Callable, Coroutine, Iterator
import functools
from typing import Any

import msgspec
import openai
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    MatchesStructure,
    Not,
    StartsWith,
)

from chervilrock.clients.base import AttemptPhase
from chervilrock.clients.http import HttpModelEngine
from chervilrock.generated.interfaces import EngineOrder
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.text import expected_text, format_prompt
from test.standin.calls import (
    Call,
    call,
    HEADERS,
    list_events,
    make_answer,
    make_body,
    make_client,
    make_shard,
    wait_ready,
    wait_until,
)

LONG_TOKENS = 3000

Caller = Callable[..., Coroutine[Any, Any, Call]]


@pytest.fixture
def leader(group: list[EngineStandIn]) -> EngineStandIn:
    return group[0]


@pytest.fixture
def caller(runner: asyncio.Runner) -> Iterator[Caller]:
    client = runner.run(make_client())
    yield functools.partial(call, client)
    client.close()


@pytest.fixture
def ask(leader: EngineStandIn, caller: Caller) -> Caller:
    def _ask(
        body: dict[str, Any], **arguments: Any
    ) -> Coroutine[Any, Any, Call]:
        path = "chat/completions" if "messages" in body else "completions"
        headers = HEADERS | arguments.pop("headers", {})
        url = f"http://{leader.address}/v1/{path}"
        return caller(url, body=body, headers=headers, **arguments)

    return _ask


@pytest.fixture
def open_ai(
    runner: asyncio.Runner, leader: EngineStandIn
) -> Iterator[openai.AsyncOpenAI]:
    client = openai.AsyncOpenAI(
        base_url=f"http://{leader.address}/v1",
        api_key="none",
        max_retries=0,
        default_headers=HEADERS,
    )
    yield client
    runner.run(client.close())


def test_openai_client_reads_a_chat(runner, open_ai):
    messages = [{"role": "user", "content": "hello"}]
    answer = runner.run(
        open_ai.chat.completions.create(
            model="m:a", messages=messages, max_tokens=5
        )
    )
    prompt = format_prompt({"messages": messages})
    wanted = "".join(expected_text("m:a", prompt, 5))
    assert_that(answer.id, Equals("r1"))
    assert_that(answer.choices[0].message.content, Equals(wanted))
    assert_that(answer.usage.completion_tokens, Equals(5))


def test_openai_client_reads_a_streamed_chat(runner, open_ai):
    messages = [{"role": "user", "content": "hello"}]

    async def read():
        stream = await open_ai.chat.completions.create(
            model="m",
            messages=messages,
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        return [chunk async for chunk in stream]

    chunks = runner.run(read())
    texts = [chunk.choices[0].delta.content for chunk in chunks[:-1]]
    wanted = expected_text("m", format_prompt({"messages": messages}), 5)
    assert_that(tuple(texts), Equals(wanted))
    assert_that([chunk.id for chunk in chunks], AllMatch(Equals("r1")))
    assert_that(chunks[-1].usage.completion_tokens, Equals(5))


def test_openai_client_reads_a_streamed_completion(runner, open_ai):
    async def read():
        stream = await open_ai.completions.create(
            model="m", prompt="hello", max_tokens=4, stream=True
        )
        return [chunk.choices[0].text async for chunk in stream]

    wanted = expected_text("m", "hello", 4)
    assert_that(tuple(runner.run(read())), Equals(wanted))


def test_stream_is_a_sequence_of_numbered_events(runner, ask):
    body = make_body(stream=True, max_tokens=2)
    got = runner.run(ask(body))
    blocks = got.body.decode().split("\n\n")
    assert_that(
        [block.split("\n")[0] for block in blocks[:3]],
        Equals(["id: r1/1", "id: r1/2", "id: r1/3"]),
    )
    assert_that(blocks[2:], Equals(["id: r1/3\ndata: [DONE]", ""]))
    data = msgspec.json.decode(blocks[0].split("data: ")[1])
    assert_that(data["id"], Equals("r1"))
    for name, value in HEADERS.items():
        assert_that(got.headers[name], Equals(value))


@pytest.mark.parametrize(
    ("headers", "members", "status", "code"),
    [
        ({"X-Fence": "6"}, {}, 409, "not_leader"),
        ({"X-Fence": "8"}, {}, 409, "not_leader"),
        ({"X-Fence": ""}, {}, 409, "not_leader"),
        ({}, {"model": "other"}, 404, "model_not_found"),
        ({}, {"model": "m:other"}, 404, "model_not_found"),
        ({"Last-Event-ID": "r1/2"}, {}, 409, "unknown_attempt"),
        (
            {},
            {"continuation": {"events": 1, "text": "wrong"}},
            400,
            "wrong_continuation",
        ),
    ],
)
def test_rejected_request_has_not_run(
    runner, ask, leader, headers, members, status, code
):
    got = runner.run(ask(make_body(**members), headers=headers))
    error = msgspec.json.decode(got.body)["error"]
    assert_that((got.status, error["code"]), Equals((status, code)))
    assert_that(got.headers["X-Not-Run"], Equals("true"))
    assert_that(leader.executions.total(), Equals(0))


def test_only_rank_0_runs_requests(runner, group, caller):
    url = f"http://{group[1].address}/v1/completions"
    got = runner.run(caller(url, body=make_body(), headers=HEADERS))
    assert_that(got.status, Equals(409))


def test_full_queue_rejects_requests(runner, caller):
    options = EngineOptions(max_running=0, max_waiting=0)
    engine = EngineStandIn(options=options)

    async def send_to_full_engine():
        await engine.start()
        shard = make_shard(0, engine.address)
        engine.take_order(EngineOrder(fence=7, group="g", shard=shard))
        await wait_ready([engine])
        url = f"http://{engine.address}/v1/completions"
        got = await caller(url, body=make_body(), headers=HEADERS)
        await engine.stop()
        return got

    got = runner.run(send_to_full_engine())
    assert_that(got.status, Equals(429))
    assert_that(engine.executions.total(), Equals(0))


def test_broken_stream_resumes_without_lost_or_duplicate_events(
    runner, ask, leader
):
    leader.faults.add(
        {"kind": FaultKind.BREAK_STREAM, "after_events": 2, "count": 1}
    )
    body = make_body(stream=True)
    first = runner.run(ask(body))
    second = runner.run(ask(body, headers={"Last-Event-ID": "r1/2"}))
    assert_that(first.whole, Equals(False))
    assert_that(
        first.body + second.body, Equals(list_events(make_answer(body)))
    )
    assert_that(leader.executions, Equals({"r1": 1}))


def test_finished_stream_resumes_at_its_end(runner, ask, leader):
    body = make_body(stream=True)
    runner.run(ask(body))
    got = runner.run(ask(body, headers={"Last-Event-ID": "r1/6"}))
    assert_that(got.body, Equals(b"id: r1/7\ndata: [DONE]\n\n"))
    assert_that(leader.executions, Equals({"r1": 1}))


def test_another_engine_continues_an_answer(runner, ask, leader):
    body = make_body(stream=True)
    answer = make_answer(body)
    text = answer.join_text(4)
    got = runner.run(ask(body | {"continuation": {"events": 4, "text": text}}))
    assert_that(got.body, Equals(list_events(answer, 4)))


@pytest.mark.parametrize("lose_shard", [False, True])
def test_losing_any_host_breaks_the_streams_of_its_group(
    runner, ask, group, lose_shard
):
    def lose_peer(_chunk: bytes) -> None:
        if lose_shard:
            group[2].take_order({"fence": 8, "group": "g"})
        else:
            group[2].kill()

    body = make_body(stream=True, max_tokens=LONG_TOKENS)
    got = runner.run(ask(body, on_chunk=lose_peer))
    assert_that(got, MatchesStructure.byEquality(status=200, whole=False))
    assert_that(got.body, Not(Contains(b"[DONE]")))
    whole = list_events(make_answer(body))
    assert_that(whole, StartsWith(got.body))


def test_group_that_lost_a_host_rejects_requests(runner, ask, group, leader):
    group[1].kill()
    got = runner.run(ask(make_body()))
    assert_that(got.status, Equals(503))
    assert_that(got.headers["X-Not-Run"], Equals("true"))
    assert_that(leader.executions.total(), Equals(0))


def test_group_stalls_while_a_host_is_paused(runner, ask, group):
    async def ask_while_paused():
        group[2].faults.set_paused(True)
        task = asyncio.create_task(ask(make_body()))
        await wait_until(lambda: group[0].read_load()["waiting"] > 0)
        ran = group[0].executions.total()
        group[2].faults.set_paused(False)
        return ran, await task

    ran, got = runner.run(ask_while_paused())
    assert_that((ran, got.status), Equals((0, 200)))


def test_cancel_ends_a_stream_without_done(runner, ask, leader, control):
    body = make_body(stream=True, max_tokens=LONG_TOKENS)
    attempts: list[asyncio.Task[Any]] = []

    def cancel(_chunk: bytes) -> None:
        if not attempts:
            attempts.append(
                asyncio.create_task(control.cancel(leader.address, "a1"))
            )

    async def ask_and_cancel():
        got = await ask(body, on_chunk=cancel)
        return got, await attempts[0]

    got, cancelled = runner.run(ask_and_cancel())
    assert_that(cancelled.unwrap(), Equals(True))
    assert_that(got.whole, Equals(False))
    assert_that(got.body, Not(Contains(b"[DONE]")))
    phase = runner.run(control.read_attempt(leader.address, "a1"))
    assert_that(phase.unwrap(), Equals(AttemptPhase.DONE))


def test_unknown_attempt_is_reported_as_unknown(
    runner, leader, control: HttpModelEngine
):
    phase = runner.run(control.read_attempt(leader.address, "none"))
    cancelled = runner.run(control.cancel(leader.address, "none"))
    assert_that(phase.unwrap(), Equals(AttemptPhase.UNKNOWN))
    assert_that(cancelled.unwrap(), Equals(False))


def test_faults_add_repeated_and_foreign_events(runner, ask, leader):
    leader.faults.add({"kind": FaultKind.REPEAT_EVENT, "count": 1})
    leader.faults.add({"kind": FaultKind.FOREIGN_EVENT, "count": 1})
    body = make_body(stream=True, max_tokens=2)
    got = runner.run(ask(body))
    lines = got.body.decode().split("\n")
    ids = [line for line in lines if line.startswith("id: ")]
    assert_that(
        ids,
        Equals(
            ["id: foreign/1", "id: r1/1", "id: r1/1", "id: r1/2", "id: r1/3"]
        ),
    )


def test_request_sent_twice_runs_twice(runner, ask, leader):
    leader.faults.add({"kind": FaultKind.LOSE_ANSWER, "count": 1})
    lost = runner.run(ask(make_body()))
    got = runner.run(ask(make_body()))
    assert_that((lost.whole, got.status), Equals((False, 200)))
    assert_that(leader.executions, Equals({"r1": 2}))
