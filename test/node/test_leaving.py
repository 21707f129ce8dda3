"""Backend servers that are leaving get nothing new within seconds."""

import asyncio
import json

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, Equals

from chervilrock.generated.interfaces import ServiceEntry
from chervilrock.standin.service import ServiceOptions, ServiceStandIn
from chervilrock.tasks.clock import read_clock
from test.node.conftest import DATA_CENTRE
from test.node.test_entry import (
    apply,
    BODY,
    expect_text,
    send,
    wait_answer,
    wait_serving,
)

LEAVING_LIMIT_S = 3.0
"""Time after which a leaving backend server gets nothing new."""

CALLS_AFTER = 30
TOKEN_MS = 250.0
SERVICE = "slots"


def make_entry(address, leaving):
    """Return a second backend server as the host list shows it."""
    return ServiceEntry(
        service=SERVICE,
        address=address,
        data_centre=DATA_CENTRE,
        leaving=leaving,
    )


async def call_service(site):
    """Call the plain service and return the name of its backend server."""
    answer = await send(site, "POST", f"/services/{SERVICE}/17", {})
    if answer.status != 200:
        error = json.loads(answer.body)["error"]
        assert_that(error["outcome"], Equals("not_run"))
        return ""
    return json.loads(answer.body)["server"]


async def wait_both(site):
    """Call until both backend servers have answered."""
    seen: set[str] = set()
    while len(seen - {""}) < 2:
        seen.add(await call_service(site))


def count_runs(site):
    """Return how many completions the engines ran."""
    engines = site.installation.engines.values()
    return sum(sum(engine.executions.values()) for engine in engines)


def slow_down(site):
    """Make the answers of all engines take some seconds."""
    for engine in site.installation.engines.values():
        engine.options = engine.options._replace(token_ms=TOKEN_MS)


async def ask(site):
    """Ask for a completion and return the status of its answer."""
    answer = await send(site, "POST", "/v1/chat/completions", BODY)
    return answer.status


async def send_once(site):
    """Ask for a whole answer to a request that must run once."""
    body = BODY | {"stream": False}
    headers = {"X-Idempotent": "false"}
    path = "/v1/chat/completions"
    return await send(site, "POST", path, body, headers=headers)


def test_leaving_backend_server_of_a_service_gets_nothing_new(run_site):
    async def check(site):
        platform = site.installation.platform
        leaver = ServiceStandIn(options=ServiceOptions(server="leaver"))
        address = await leaver.start()
        platform.add_hosts((), (make_entry(address, leaving=False),))
        await site.add_node()
        await apply(site)
        await wait_both(site)
        platform.add_hosts((), (make_entry(address, leaving=True),))
        until = read_clock() + LEAVING_LIMIT_S
        while read_clock() < until:
            await call_service(site)
        before = leaver.arrivals
        servers = [await call_service(site) for _ in range(CALLS_AFTER)]
        assert_that(servers, AllMatch(Equals(f"{SERVICE}-0")))
        assert_that(leaver.arrivals, Equals(before))
        await leaver.stop()

    run_site(check)


def test_group_of_a_leaving_host_gets_nothing_new(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        await wait_answer(site)
        site.installation.mark_leaving(group["hosts"][-1])
        while await ask(site) == 200:
            await asyncio.sleep(0)
        before = count_runs(site)
        told = [await ask(site) for _ in range(CALLS_AFTER)]
        assert_that(told, AllMatch(Equals(503)))
        assert_that(count_runs(site), Equals(before))

    run_site(check, hosts=3)


def test_request_at_a_group_of_a_leaving_host_is_finished(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        await wait_answer(site)
        slow_down(site)
        running = asyncio.create_task(send_once(site))
        before = count_runs(site)
        while count_runs(site) == before:
            await asyncio.sleep(0)
        site.installation.mark_leaving(group["hosts"][-1])
        answer = await running
        assert_that(answer.status, Equals(200))
        assert_that(answer.body.decode(), Contains(expect_text()))
        assert_that(count_runs(site), Equals(before + 1))

    run_site(check, hosts=3)
