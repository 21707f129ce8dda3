import asyncio
from collections.abc import Iterator

import pytest

from test.edges.sites import Site


async def make_site(incarnation: str = "i1") -> Site:
    site = Site(incarnation)
    await site.start()
    return site


@pytest.fixture
def loop() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture
def site(loop: asyncio.Runner) -> Iterator[Site]:
    site = loop.run(make_site())
    yield site
    loop.run(site.stop())
