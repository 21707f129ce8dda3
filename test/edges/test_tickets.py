import asyncio
from typing import Any

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.text import expected_text
from test.edges.cutanswers import cut
from test.edges.sites import join_stream, read_error, Site
from test.standin.calls import Call

EXPECTED = "".join(expected_text("m", "hello", 6))


@pytest.fixture
def ticket(loop: asyncio.Runner, site: Site) -> str:
    answer = loop.run(site.call("/v1/tickets", body={}))
    issued = msgspec.json.decode(answer.body)
    assert issued["expires_s"] > 0
    return str(issued["ticket"])


async def call_twice(site: Site, ticket: str, **members: Any) -> list[Call]:
    headers = {"Idempotency-Key": ticket}
    return list(
        await asyncio.gather(
            site.complete(headers, **members), site.complete(headers, **members)
        )
    )


@pytest.mark.parametrize("stream", [False, True])
def test_repeats_get_the_answer_of_one_run(
    loop: asyncio.Runner, site: Site, ticket: str, stream: bool
) -> None:
    joined = loop.run(call_twice(site, ticket, stream=stream))
    replayed = loop.run(call_twice(site, ticket, stream=stream))
    bodies = {answer.body for answer in joined + replayed}
    assert_that(len(bodies), Equals(1))
    assert_that(site.count_runs(), Equals(1))
    if stream:
        assert_that(join_stream(bodies.pop()), Equals(EXPECTED))


def test_repeat_after_a_loss_runs_nothing(
    loop: asyncio.Runner, site: Site, ticket: str
) -> None:
    for group in site.groups:
        rule = FaultRule(kind=FaultKind.LOSE_ANSWER, path="/v1/", count=1)
        group.leader.faults.add(rule)
    for _ in range(3):
        for answer in loop.run(call_twice(site, ticket)):
            assert_that(read_error(answer)["outcome"], Equals("unknown"))
    assert_that(site.count_runs(), Equals(1))


def test_repeat_after_not_run_runs(
    loop: asyncio.Runner, site: Site, ticket: str
) -> None:
    serving = site.context.serving
    site.context.set_serving([])
    for answer in loop.run(call_twice(site, ticket)):
        assert_that(read_error(answer)["outcome"], Equals("not_run"))
    site.context.set_serving(serving)
    for answer in loop.run(call_twice(site, ticket)):
        assert_that(answer.status, Equals(200))
    assert_that(site.count_runs(), Equals(1))


def test_ticket_is_for_one_request(
    loop: asyncio.Runner, site: Site, ticket: str
) -> None:
    headers = {"Idempotency-Key": ticket}
    loop.run(site.complete(headers))
    answer = loop.run(site.complete(headers, prompt="another"))
    assert_that(read_error(answer)["code"], Equals("ticket_mismatch"))
    other = headers | {"X-Workspace": "other"}
    answer = loop.run(site.complete(other))
    assert_that(read_error(answer)["code"], Equals("ticket_mismatch"))
    assert_that(site.count_runs(), Equals(1))


def test_ticket_of_an_unreachable_node_is_unknown(
    loop: asyncio.Runner, site: Site
) -> None:
    for key in ("tk.gone.1", "tk.i1.99"):
        answer = loop.run(site.complete({"Idempotency-Key": key}))
        error = read_error(answer)
        assert_that(error["code"], Equals("ticket_unknown"))
        assert_that(error["outcome"], Equals("unknown"))
    site.context.peers["gone"] = "127.0.0.1:1"
    answer = loop.run(site.complete({"Idempotency-Key": "tk.gone.1"}))
    assert_that(read_error(answer)["outcome"], Equals("unknown"))
    assert_that(site.count_runs(), Equals(0))


def test_run_outlives_its_caller(
    loop: asyncio.Runner, site: Site, ticket: str
) -> None:
    for group in site.groups:
        rule = FaultRule(
            kind=FaultKind.ANSWER_LATE, path="/v1/", delay_ms=50, count=1
        )
        group.leader.faults.add(rule)

    async def disconnect() -> Call:
        body = b'{"model":"m","prompt":"hello","max_tokens":6}'
        host, port = site.address.split(":")
        _reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: n\r\n"
            b"Idempotency-Key: %b\r\nContent-Length: %d\r\n\r\n%b"
            % (ticket.encode(), len(body), body)
        )
        while not site.count_arrivals():
            await asyncio.sleep(0)
        writer.close()
        return await site.complete({"Idempotency-Key": ticket})

    answer = loop.run(disconnect())
    assert EXPECTED.encode() in answer.body
    assert_that(site.count_runs(), Equals(1))


def test_other_node_forwards_a_ticket(loop: asyncio.Runner) -> None:
    async def call_two_nodes() -> tuple[int, set[str], set[str]]:
        issuer, other = Site("i1"), Site("i2")
        await issuer.start()
        await other.start()
        other.context.peers["i1"] = issuer.address
        issued = await issuer.call("/v1/tickets", body={})
        ticket = msgspec.json.decode(issued.body)["ticket"]
        headers = {"Idempotency-Key": ticket}
        answers = await asyncio.gather(
            *(site.complete(headers, stream=True) for site in (issuer, other))
        )
        issuer.services[0].faults.add(FaultRule(kind=FaultKind.LOSE_ANSWER))
        issuer.services[1].faults.add(FaultRule(kind=FaultKind.LOSE_ANSWER))
        issued = await issuer.call("/v1/tickets", body={})
        ticket = msgspec.json.decode(issued.body)["ticket"]
        headers = {"Idempotency-Key": ticket}
        lost = [
            await site.call("/services/filing/x", body=[1], headers=headers)
            for site in (other, issuer, other)
        ]
        runs = issuer.count_runs() + other.count_runs()
        calls = issuer.count_calls() + other.count_calls()
        await issuer.stop()
        await other.stop()
        texts = {join_stream(answer.body) for answer in answers}
        return runs + calls, texts, {read_error(a)["outcome"] for a in lost}

    expected = (2, {EXPECTED}, {"unknown"})
    assert_that(loop.run(call_two_nodes()), Equals(expected))


def test_an_answer_that_the_node_of_a_ticket_cuts_is_unknown(
    loop: asyncio.Runner, site: Site
) -> None:
    # Failure: a body without a length or chunks was taken for whole, though
    # nodes state where their answers end.
    body = b'{"id":"r","choices":[]}'
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    answers: list[bytes] = []
    for framing, framed in (
        (b"Content-Length: %d\r\n" % len(body), body),
        (b"Transfer-Encoding: chunked\r\n", chunks),
    ):
        answers += cut(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + framed)
    closed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
    answers += [*cut(closed), closed]
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

    async def forward_all() -> list[Call]:
        remaining = [*answers, whole]

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining.pop(0))
            await writer.drain()
            writer.close()
            await writer.wait_closed()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        site.context.peers["gone"] = f"127.0.0.1:{port}"
        headers = {"Idempotency-Key": "tk.gone.1"}
        forwarded = [await site.complete(headers) for _ in (*answers, whole)]
        server.close()
        return forwarded

    *cut_ones, last = loop.run(forward_all())
    assert_that(last.body, Equals(b"{}"))
    assert_that(
        {read_error(answer)["outcome"] for answer in cut_ones},
        Equals({"unknown"}),
    )
