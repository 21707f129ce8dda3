"""Backend servers that restart cold, and a check of the requests they get."""

import asyncio
import random
from typing import Any

from bench.limits import count_most_within
from bench.statements import Disturbances
from chervilrock.decisions.serving.servers.warmups import DEFAULT_BOUNDS
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import make_configuration

WARMUP_S = 3.0
WARMUP_PER_S = 1.0
"""Requests per second that a cold server tolerates. Callers of a run send each
plain server about ten, and so more than a cold one may get."""

MAX_RESTART_INTERVAL_S = 2.5


def configure_warmups(version: int) -> dict[str, Any]:
    """Return a configuration in which the servers of all services warm up."""
    document = make_configuration(version)
    for service in document["services"]:
        service["warmup_s"] = WARMUP_S
        service["warmup_per_s"] = WARMUP_PER_S
    return document


class ColdServers:
    """Restarts servers, which are cold then, and checks what they get."""

    def __init__(self, *, servers: list[SiteServer], seed: int) -> None:
        """Let the servers of a run be cold after each restart.

        Args:
          servers: all servers of a run.
          seed: seed of the choices, for a generator of their own.
        """
        self._servers = servers
        self._generator = random.Random(f"warm-ups of {seed}")
        for server in servers:
            server.warmup_s = WARMUP_S

    async def run(self) -> None:
        """Restart random servers until cancelled."""
        generator = self._generator
        plain = [server for server in self._servers if not server.domain]
        while True:
            await asyncio.sleep(generator.uniform(0.5, MAX_RESTART_INTERVAL_S))
            servers = generator.choice((self._servers, plain))
            generator.choice(servers).depart()


def find_overloaded_cold_servers(
    servers: list[SiteServer], disturbances: Disturbances
) -> list[str]:
    """Return a description of each cold server that got too many requests.

    Restarted servers have new identifiers, so the bound holds from the first
    request on. Requests that a disturbed link delayed may arrive together.
    """
    allowed = DEFAULT_BOUNDS.find_allowed(WARMUP_PER_S)
    violations = []
    for server in servers:
        for period in server.cold_periods:
            if disturbances.has_any("", server, period.begin, period.end):
                continue
            most = count_most_within(1.0, server.list_cold_arrivals(period))
            if most > allowed:
                violations.append(
                    f"{period.server} may get {allowed} requests in a second "
                    f"while it is cold, and got {most}"
                )
    return violations
