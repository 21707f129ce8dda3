"""Tests full engines, and callers who disconnect under load."""

import asyncio
from collections.abc import Iterator

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.standin.text import expected_text
from test.edges.raw import make_request
from test.edges.sites import join_stream, MODEL, read_error, Site
from test.standin.calls import Call

RUN_ONCE = {"X-Idempotent": "false"}
TOKENS = 40
EXPECTED = "".join(expected_text(MODEL, "hello", TOKENS))
LONG_REQUEST = {
    "model": MODEL,
    "prompt": "p",
    "max_tokens": 900_000,
    "stream": True,
}


async def start_full_site() -> Site:
    """Starts a node whose engines run one request each without a queue."""
    site = Site()
    for group in site.groups:
        for engine in group.engines:
            engine.options = engine.options._replace(
                max_running=1, max_waiting=0, token_ms=1.0
            )
    await site.start()
    return site


@pytest.fixture
def full_site(loop: asyncio.Runner) -> Iterator[Site]:
    site = loop.run(start_full_site())
    yield site
    loop.run(site.stop())


async def open_stream(
    address: str, headers: tuple[str, ...] = ()
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Requests a very long stream and returns after its third event."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    body = msgspec.json.encode(LONG_REQUEST)
    writer.write(make_request("/v1/completions", body, headers=headers))
    await reader.readuntil(b"/3\ndata")
    return reader, writer


async def fill_engine(site: Site, group: int) -> asyncio.StreamWriter:
    """Fills an engine with a request sent to it directly."""
    leader = site.groups[group].leader
    fence = f"X-Fence: {site.groups[group].fence}"
    return (await open_stream(leader.address, (fence,)))[1]


async def complete_often(site: Site, count: int) -> list[Call]:
    return [await site.complete(RUN_ONCE, max_tokens=2) for _ in range(count)]


def test_requests_to_full_engines_are_reported_as_not_run(
    loop: asyncio.Runner, full_site: Site
) -> None:
    site = full_site

    async def complete_while_full() -> Call:
        writers = [await fill_engine(site, group) for group in range(2)]
        answer = await site.complete(RUN_ONCE)
        for writer in writers:
            writer.close()
        return answer

    answer = loop.run(complete_while_full())
    error = read_error(answer)
    assert_that(answer.status, Equals(503))
    assert_that(error["code"], Equals("backend_refused"))
    assert_that(error["outcome"], Equals("not_run"))
    assert_that(error["retry_after_ms"], Equals(1000))
    assert_that(answer.headers["X-Should-Retry"], Equals("true"))
    assert_that(site.count_runs(), Equals(2))


def test_requests_to_a_full_engine_move_to_another(
    loop: asyncio.Runner, full_site: Site
) -> None:
    site = full_site
    admission = site.context.admission

    def read_limit(group: str) -> float:
        limits = admission.snapshot()["models"][MODEL]["limits"]
        return float(limits[group])

    async def complete_beside_full_engine() -> list[Call]:
        writer = await fill_engine(site, 0)
        before = site.groups[0].leader.arrivals
        answers = await complete_often(site, 8)
        assert_that(site.groups[0].leader.arrivals - before, GreaterThan(0))
        writer.close()
        return answers

    limit = read_limit("g0")
    answers = loop.run(complete_beside_full_engine())
    assert_that({answer.status for answer in answers}, Equals({200}))
    assert_that(site.groups[1].leader.arrivals, Equals(8))
    admission.admit(site.context.now())
    assert_that(read_limit("g0"), LessThan(limit))
    assert_that(read_limit("g1"), Equals(limit))


def test_disconnected_callers_free_the_engines_under_load(
    loop: asyncio.Runner, site: Site
) -> None:
    leaving_count = 24
    staying_count = 6
    for group in site.groups:
        for engine in group.engines:
            engine.options = engine.options._replace(token_ms=1.0)

    async def disconnect_some() -> list[str]:
        opened = await asyncio.gather(
            *(open_stream(site.address) for _ in range(leaving_count))
        )
        staying = [
            asyncio.create_task(
                site.complete(RUN_ONCE, stream=True, max_tokens=TOKENS)
            )
            for _ in range(staying_count)
        ]
        while site.path.in_flight < leaving_count + staying_count:
            await asyncio.sleep(0)
        for _, writer in opened:
            writer.close()
        texts = [join_stream((await task).body) for task in staying]
        while site.path.in_flight or site.count_running():
            await asyncio.sleep(0)
        return texts

    assert_that(loop.run(disconnect_some()), Equals([EXPECTED] * staying_count))
    assert_that(site.count_runs(), Equals(leaving_count + staying_count))
