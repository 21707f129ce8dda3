"""Resets of connections by the store and the servers of the platform."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.httpclient import HttpClient
from chervilrock.standin.site.resets import ResetMoment
from chervilrock.standin.site.site import Site

LIMIT_S = 20.0
TOPIC = "keyed.op"

Scenario = Callable[[Site, HttpClient], Awaitable[None]]


def run(scenario: Scenario) -> None:
    """Run a scenario with a site that has one plain server."""

    async def check() -> None:
        site = Site()
        client = HttpClient()
        try:
            site.start(model_servers=0, plain_servers=1)
            async with asyncio.timeout(LIMIT_S):
                await scenario(site, client)
        finally:
            client.close()
            await site.stop()

    asyncio.run(check())


async def read(site: Site, client: HttpClient, wait_ms: int) -> None:
    """Read the topic from its end."""
    end = site.store.topic(TOPIC).end
    await client.request(
        "GET",
        f"http://{site.store_address}/log-read"
        f"?topic={TOPIC}&from={end}&wait_ms={wait_ms}",
        timeout_s=LIMIT_S,
        send_once=True,
    )


async def reset_a_poll(site: Site, client: HttpClient) -> None:
    """Reset a long poll while it waits."""
    poll = asyncio.create_task(read(site, client, 10_000))
    while not site.store.door.polls_reset:
        await asyncio.sleep(0.01)
        site.store.door.reset_polls(0.0)
    await poll


@pytest.mark.parametrize(("wait_ms", "count"), [(10, 1), (0, 0)])
def test_a_long_poll_that_comes_again_after_a_reset_is_counted(
    wait_ms, count
) -> None:
    async def scenario(site: Site, client: HttpClient) -> None:
        await reset_a_poll(site, client)
        await read(site, client, wait_ms)
        await read(site, client, 10)
        assert_that(len(site.store.door.sent_again), Equals(count))

    run(scenario)


@pytest.mark.parametrize(
    ("moment", "added"), [(ResetMoment.READ, 0), (ResetMoment.DONE, 1)]
)
def test_appends_are_reset_before_or_after_they_take_effect(
    moment, added
) -> None:
    async def scenario(site: Site, client: HttpClient) -> None:
        before = site.store.topic(TOPIC).end
        site.store.door.resets = moment
        answer = await client.request(
            "POST",
            f"http://{site.store_address}/log-append?topic={TOPIC}",
            timeout_s=LIMIT_S,
            body=b"\0\0\0\3\1kv",
            send_once=True,
        )
        assert_that(answer.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(site.store.topic(TOPIC).end - before, Equals(added))

    run(scenario)


@pytest.mark.parametrize("moment", list(ResetMoment))
def test_a_request_that_is_reset_counts_as_run(moment) -> None:
    async def scenario(site: Site, client: HttpClient) -> None:
        (server,) = site.servers
        server.resets = moment
        answer = await client.request(
            "POST",
            f"http://{server.address}/book/x",
            timeout_s=LIMIT_S,
            body=b"body",
            send_once=True,
        )
        assert_that(answer.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(len(server.runs), Equals(1))

    run(scenario)


@pytest.mark.parametrize(
    ("moment", "carried_out"), [(ResetMoment.READ, 0), (ResetMoment.DONE, 1)]
)
def test_orders_are_reset_before_or_after_they_are_carried_out(
    moment, carried_out
) -> None:
    async def scenario(site: Site, client: HttpClient) -> None:
        (server,) = site.servers
        server.control_resets = moment
        answer = await client.request(
            "POST",
            f"http://{server.address}/order",
            timeout_s=LIMIT_S,
            body=b'{"op": "stage", "model": "large"}',
            send_once=True,
        )
        assert_that(answer.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(len(server.staged), Equals(carried_out))

    run(scenario)
