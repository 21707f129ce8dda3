"""Engines that are full, and callers who leave while much is in progress."""

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

ONCE = {"X-Idempotent": "false"}
TOKENS = 40
EXPECTED = "".join(expected_text(MODEL, "hello", TOKENS))
LONG = {"model": MODEL, "prompt": "p", "max_tokens": 900_000, "stream": True}


async def start_full_site() -> Site:
    """Starts a node whose engines run one request each and queue none."""
    site = Site()
    for group in site.groups:
        for engine in group.engines:
            engine.options = engine.options._replace(
                max_running=1, max_waiting=0, token_ms=1.0
            )
    await site.start()
    return site


@pytest.fixture
def small_site(loop: asyncio.Runner) -> Iterator[Site]:
    site = loop.run(start_full_site())
    yield site
    loop.run(site.stop())


async def open_stream(
    address: str, headers: tuple[str, ...] = ()
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Asks for an endless stream and returns after its third event."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    body = msgspec.json.encode(LONG)
    writer.write(make_request("/v1/completions", body, headers=headers))
    await reader.readuntil(b"/3\ndata")
    return reader, writer


async def fill_engine(site: Site, group: int) -> asyncio.StreamWriter:
    """Fills an engine with a request that does not come from the node."""
    leader = site.groups[group].leader
    fence = f"X-Fence: {site.groups[group].fence}"
    return (await open_stream(leader.address, (fence,)))[1]


async def complete_often(site: Site, count: int) -> list[Call]:
    return [await site.complete(ONCE, max_tokens=2) for _ in range(count)]


def test_full_engines_are_told_as_not_run(
    loop: asyncio.Runner, small_site: Site
) -> None:
    site = small_site

    async def ask_while_full() -> Call:
        writers = [await fill_engine(site, group) for group in range(2)]
        answer = await site.complete(ONCE)
        for writer in writers:
            writer.close()
        return answer

    answer = loop.run(ask_while_full())
    error = read_error(answer)
    assert_that(answer.status, Equals(503))
    assert_that(error["code"], Equals("backend_refused"))
    assert_that(error["outcome"], Equals("not_run"))
    assert_that(error["retry_after_ms"], Equals(1000))
    assert_that(answer.headers["X-Should-Retry"], Equals("true"))
    assert_that(site.count_runs(), Equals(2))


def test_full_engine_is_left_for_another(
    loop: asyncio.Runner, small_site: Site
) -> None:
    site = small_site
    admission = site.context.admission

    def read_limit(group: str) -> float:
        limits = admission.snapshot()["models"][MODEL]["limits"]
        return float(limits[group])

    async def ask_often() -> list[Call]:
        writer = await fill_engine(site, 0)
        before = site.groups[0].leader.arrivals
        answers = await complete_often(site, 8)
        assert_that(site.groups[0].leader.arrivals - before, GreaterThan(0))
        writer.close()
        return answers

    limit = read_limit("g0")
    answers = loop.run(ask_often())
    assert_that({answer.status for answer in answers}, Equals({200}))
    assert_that(site.groups[1].leader.arrivals, Equals(8))
    admission.admit(site.context.now())
    assert_that(read_limit("g0"), LessThan(limit))
    assert_that(read_limit("g1"), Equals(limit))


def test_callers_who_leave_free_the_engines_under_load(
    loop: asyncio.Runner, site: Site
) -> None:
    leavers = 24
    stayers = 6
    for group in site.groups:
        for engine in group.engines:
            engine.options = engine.options._replace(token_ms=1.0)

    async def leave() -> list[str]:
        opened = await asyncio.gather(
            *(open_stream(site.address) for _ in range(leavers))
        )
        staying = [
            asyncio.create_task(
                site.complete(ONCE, stream=True, max_tokens=TOKENS)
            )
            for _ in range(stayers)
        ]
        while site.path.in_flight < leavers + stayers:
            await asyncio.sleep(0)
        for _, writer in opened:
            writer.close()
        texts = [join_stream((await task).body) for task in staying]
        while site.path.in_flight or site.count_running():
            await asyncio.sleep(0)
        return texts

    assert_that(loop.run(leave()), Equals([EXPECTED] * stayers))
    assert_that(site.count_runs(), Equals(leavers + stayers))
