import asyncio
from collections.abc import Iterator

import pytest

from chervilrock.clients.http import HttpLogService
from chervilrock.clients.httpclient import HttpClient
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn


class Clock:
    """A clock that advances only when it is set."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


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
def platform(runner: asyncio.Runner, clock: Clock) -> Iterator[PlatformStandIn]:
    options = PlatformOptions(
        keep_s=100.0,
        host_lag_s=5.0,
        weight_bytes_per_s=10.0,
        weight_burst_bytes=10.0,
    )
    platform = PlatformStandIn(
        options=options,
        models={"m": {"versions": ("1",), "adapters": ("a",), "bytes": 20}},
        clock=clock,
    )
    runner.run(platform.start())
    yield platform
    runner.run(platform.stop())


@pytest.fixture
def log(http: HttpClient, platform: PlatformStandIn) -> HttpLogService:
    return HttpLogService(http=http, address=platform.address)
