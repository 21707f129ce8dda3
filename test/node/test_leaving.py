"""Leaving backend servers and hosts get no new requests after a few seconds."""

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
"""Time after which a leaving backend server gets no new requests."""

CALLS_AFTER_LEAVING = 30
TOKEN_MS = 250.0
SERVICE = "slots"


def make_entry(address, leaving):
    """Return the host list entry of a second backend server."""
    return ServiceEntry(
        service=SERVICE,
        address=address,
        data_centre=DATA_CENTRE,
        leaving=leaving,
    )


async def call_service(site):
    """Call the plain service; return its backend server, "" if not run."""
    answer = await send(site, "POST", f"/services/{SERVICE}/17", {})
    if answer.status != 200:
        error = json.loads(answer.body)["error"]
        assert_that(error["outcome"], Equals("not_run"))
        return ""
    return json.loads(answer.body)["server"]


async def wait_both_answered(site):
    """Call the service until both backend servers have answered."""
    seen: set[str] = set()
    while len(seen - {""}) < 2:
        seen.add(await call_service(site))


def count_runs(site):
    """Return the number of completions that the engines ran."""
    engines = site.installation.engines.values()
    return sum(sum(engine.executions.values()) for engine in engines)


def slow_down(site):
    """Delay the tokens of all engines so that an answer takes seconds."""
    for engine in site.installation.engines.values():
        engine.options = engine.options._replace(token_ms=TOKEN_MS)


async def request_completion(site):
    """Request a completion and return the status of the answer."""
    answer = await send(site, "POST", "/v1/chat/completions", BODY)
    return answer.status


async def send_non_idempotent(site):
    """Send a non-idempotent request for an unstreamed completion."""
    body = BODY | {"stream": False}
    headers = {"X-Idempotent": "false"}
    path = "/v1/chat/completions"
    return await send(site, "POST", path, body, headers=headers)


def test_leaving_backend_server_of_a_service_gets_no_new_requests(run_site):
    async def check(site):
        platform = site.installation.platform
        leaver = ServiceStandIn(options=ServiceOptions(server="leaver"))
        address = await leaver.start()
        platform.add_hosts((), (make_entry(address, leaving=False),))
        await site.add_node()
        await apply(site)
        await wait_both_answered(site)
        platform.add_hosts((), (make_entry(address, leaving=True),))
        until = read_clock() + LEAVING_LIMIT_S
        while read_clock() < until:
            await call_service(site)
        arrivals_before = leaver.arrivals
        servers = [await call_service(site) for _ in range(CALLS_AFTER_LEAVING)]
        assert_that(servers, AllMatch(Equals(f"{SERVICE}-0")))
        assert_that(leaver.arrivals, Equals(arrivals_before))
        await leaver.stop()

    run_site(check)


def test_group_of_a_leaving_host_gets_no_new_requests(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        await wait_answer(site)
        site.installation.mark_leaving(group["hosts"][-1])
        while await request_completion(site) == 200:
            await asyncio.sleep(0)
        runs_before = count_runs(site)
        statuses = [
            await request_completion(site) for _ in range(CALLS_AFTER_LEAVING)
        ]
        assert_that(statuses, AllMatch(Equals(503)))
        assert_that(count_runs(site), Equals(runs_before))

    run_site(check, hosts=3)


def test_running_request_at_a_group_of_a_leaving_host_completes(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        await wait_answer(site)
        slow_down(site)
        running = asyncio.create_task(send_non_idempotent(site))
        runs_before = count_runs(site)
        while count_runs(site) == runs_before:
            await asyncio.sleep(0)
        site.installation.mark_leaving(group["hosts"][-1])
        answer = await running
        assert_that(answer.status, Equals(200))
        assert_that(answer.body.decode(), Contains(expect_text()))
        assert_that(count_runs(site), Equals(runs_before + 1))

    run_site(check, hosts=3)
