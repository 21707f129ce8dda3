import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.http import HttpHostListSource
from chervilrock.generated.interfaces import HostEntry, ServiceEntry
from chervilrock.standin.engine import EngineOptions
from chervilrock.standin.platform import PlatformOptions
from chervilrock.standin.process import (
    Listen,
    parse_listen,
    run_engines,
    run_platform,
    run_service,
)
from chervilrock.standin.service import ServiceOptions
from test.standin.calls import wait_until

MAX_FETCHES = 1000

HOST = HostEntry(
    host="host-1",
    address="127.0.0.1:0",
    data_centre="dc-1",
    domain="d-1",
    region="north",
    accelerators=8,
    leaving=False,
    checks_fence=False,
)
SERVICE = ServiceEntry(
    service="filings", address="127.0.0.1:0", data_centre="dc-1", leaving=False
)


def test_processes_register_in_the_host_list(runner, http, control):
    addresses: list[str] = []
    tasks: list[asyncio.Task[None]] = []

    async def start_process(process) -> str:
        count = len(addresses)
        tasks.append(asyncio.create_task(process))
        await wait_until(lambda: len(addresses) > count)
        return addresses[-1]

    async def run_all():
        platform = await start_process(
            run_platform(
                listen=Listen(),
                options=PlatformOptions(),
                models={},
                announce=addresses.append,
            )
        )
        engine = await start_process(
            run_engines(
                hosts=(HOST,),
                options=EngineOptions(),
                platform=platform,
                announce=addresses.append,
            )
        )
        service = await start_process(
            run_service(
                entry=SERVICE,
                options=ServiceOptions(),
                platform=platform,
                announce=addresses.append,
            )
        )
        source = HttpHostListSource(http=http, address=platform)
        for _ in range(MAX_FETCHES):
            listed = (await source.fetch()).unwrap()
            if listed["hosts"] and listed["services"]:
                break
        state = await control.read_state(engine)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return listed, state.unwrap(), engine, service

    listed, state, engine, service = runner.run(run_all())
    assert_that(listed["hosts"][0]["address"], Equals(engine))
    assert_that(listed["services"][0]["address"], Equals(service))
    shown = (state["host"], state["checks_fence"])
    assert_that(shown, Equals(("host-1", False)))


def test_listen_address_is_split_into_host_and_port():
    assert_that(parse_listen("127.0.0.1:80"), Equals(Listen("127.0.0.1", 80)))
