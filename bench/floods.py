"""Servers that answer with bytes without end, and a check of what is read."""

import asyncio
from collections.abc import Sequence
import random

from chervilrock.standin.site.floods import Flood
from chervilrock.standin.site.servers import SiteServer

MAX_READ_BYTES = 32 * 1024 * 1024
"""Most bytes that a node reads of such an answer: the limit of a body, and what
the sockets on the way hold."""

MAX_FLOODING = 3
"""Most servers that do this at once."""


class FloodingServers:
    """Servers in trouble that send no answers for some seconds."""

    def __init__(self, *, servers: Sequence[SiteServer], seed: int) -> None:
        """Create servers that work.

        Args:
          servers: all servers.
          seed: seed of the choices, for a generator of their own.
        """
        self._servers = servers
        self._generator = random.Random(f"floods of {seed}")

    async def run(self) -> None:
        """Let some servers send bytes without end until cancelled."""
        generator = self._generator
        while True:
            await asyncio.sleep(generator.uniform(0.5, 3.0))
            count = generator.randint(1, MAX_FLOODING)
            for server in generator.sample(self._servers, count):
                server.flood = generator.choice(list(Flood))
            await asyncio.sleep(generator.uniform(0.3, 2.5))
            self.end()

    def end(self) -> None:
        """Let all servers work again."""
        for server in self._servers:
            server.flood = None

    def find_violations(self) -> list[str]:
        """Return which answers without end were read on."""
        return [
            f"{request_id}: {size} bytes that are no answer were read"
            for server in self._servers
            for request_id, size in server.flooded.items()
            if size > MAX_READ_BYTES
        ]
