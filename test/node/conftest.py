"""A small installation with entry nodes, in one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from loguru import logger
import pytest

from chervilrock.clients.base import ModelEntry
from chervilrock.clients.httpclient import HttpClient
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.generated.settings import NodeSettings
from chervilrock.node import EntryNode
from chervilrock.standin.engine import EngineOptions
from chervilrock.standin.installation import Installation

REGION = "north"
DATA_CENTRE = "north-1"
MODEL = "writer"
DOCUMENT = {
    "name": "test",
    "data_centres": [DATA_CENTRE],
    "models": [
        {
            "name": MODEL,
            "version": "1",
            "groups": 1,
            "hosts_per_group": 3,
        }
    ],
    "services": [{"name": "slots", "idempotent_methods": ["GET"]}],
}


class Site:
    """Stand-ins and entry nodes.

    Attributes:
      installation: the stand-ins
      nodes: the entry nodes that were started
      http: client for requests of callers and operators
    """

    def __init__(self, *, hosts: int) -> None:
        """Create stand-ins for `hosts` hosts in one fabric domain."""
        host_list = HostList(
            hosts=tuple(make_host(number) for number in range(hosts)),
            services=(
                ServiceEntry(
                    service="slots",
                    address="127.0.0.1:0",
                    data_centre=DATA_CENTRE,
                    leaving=False,
                ),
            ),
            age_ms=0,
        )
        model_entry = ModelEntry(versions=("1", "2"), adapters=(), bytes=1)
        self.installation = Installation(
            hosts=host_list,
            models={MODEL: model_entry},
            engine_options=EngineOptions(),
        )
        self.nodes: list[EntryNode] = []
        self.http = HttpClient()

    async def add_node(self, seeds: str | None = None) -> EntryNode:
        """Start another entry node, by default with all others as seeds."""
        others = ",".join(node.address for node in self.nodes)
        settings = NodeSettings(
            node=f"entry-{len(self.nodes)}",
            listen="127.0.0.1:0",
            region=REGION,
            data_centre=DATA_CENTRE,
            log_service=self.installation.platform.address,
            peers=others if seeds is None else seeds,
            lease_ms=600,
            probe_interval_ms=100,
            presence_limit_ms=1000,
            exchange_interval_ms=100,
            address_ttl_s=0.1,
        )
        node = EntryNode(settings=settings)
        await node.start()
        self.nodes.append(node)
        return node

    async def stop(self) -> None:
        """Stop all nodes and stand-ins without a drain."""
        for node in self.nodes:
            await node.kill()
        await self.installation.stop()
        self.http.close()


def make_host(number: int) -> HostEntry:
    """Return an entry of the host list."""
    return HostEntry(
        host=f"host-{number}",
        address="127.0.0.1:0",
        data_centre=DATA_CENTRE,
        domain="north-1-a",
        region=REGION,
        accelerators=8,
        leaving=False,
        checks_fence=number % 2 == 0,
    )


@pytest.fixture
def run_site() -> Callable[..., None]:
    """Run a test against a site that is stopped also when the test fails."""

    def run(test: Callable[[Site], Awaitable[None]], hosts: int = 4) -> None:
        async def run_all() -> None:
            site = Site(hosts=hosts)
            await site.installation.start()
            try:
                async with asyncio.timeout(15):
                    await test(site)
            finally:
                await site.stop()

        asyncio.run(run_all())

    return run


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    """Lines logged during a test."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)
