import asyncio
from collections.abc import Iterator

import pytest

from chervilrock.clients.http import HttpModelEngine
from chervilrock.clients.httpclient import HttpClient
from chervilrock.generated.interfaces import EngineOrder
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.fabric import Fabric
from test.standin.calls import GROUP_SIZE, make_shard, wait_ready


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as runner:
        yield runner


async def make_http() -> HttpClient:
    return HttpClient(max_clients=16)


@pytest.fixture
def http(runner: asyncio.Runner) -> Iterator[HttpClient]:
    client = runner.run(make_http())
    yield client
    client.close()


@pytest.fixture
def control(http: HttpClient) -> HttpModelEngine:
    return HttpModelEngine(http=http)


@pytest.fixture
def engine(runner: asyncio.Runner) -> Iterator[EngineStandIn]:
    engine = EngineStandIn(options=EngineOptions(host="host-1"))
    runner.run(engine.start())
    yield engine
    runner.run(engine.stop())


async def start_group(fabric: Fabric) -> list[EngineStandIn]:
    engines = [
        EngineStandIn(options=EngineOptions(host=f"host-{rank}"), fabric=fabric)
        for rank in range(GROUP_SIZE)
    ]
    leader = await engines[0].start()
    for engine in engines[1:]:
        await engine.start()
    for rank, engine in enumerate(engines):
        shard = make_shard(rank, leader)
        engine.take_order(EngineOrder(fence=7, group="g", shard=shard))
    await wait_ready(engines)
    return engines


@pytest.fixture
def group(runner: asyncio.Runner) -> Iterator[list[EngineStandIn]]:
    engines = runner.run(start_group(Fabric()))
    yield engines
    for engine in engines:
        runner.run(engine.stop())
