"""Servers that name limits, and what they get."""

import asyncio
import bisect
import math
import random
from typing import NamedTuple

from chervilrock.standin.site.servers import SiteServer

WINDOW_S = 4.0
"""Length of the windows in which requests are counted."""

FROM_S = 3.0
"""Time after a server first named a limit from which it has to hold."""

SERVERS = 4
"""Servers of a run that name limits."""


class _Named(NamedTuple):
    """A limit that a server names.

    Attributes:
      server: the server.
      identifier: its identifier when it began.
      rate: requests a second.
      since: when it began.
    """

    server: SiteServer
    identifier: str
    rate: float
    since: float


class LimitedServers:
    """Lets servers name limits, and checks what they got."""

    def __init__(self, *, servers: list[SiteServer], seed: int) -> None:
        """Draw from some servers.

        Args:
          servers: all servers of a run.
          seed: draws which ones, when and how many requests they take; from a
            generator of its own, so that other draws of a run stay as they
            are.
        """
        self._servers = servers
        self._generator = random.Random(f"limits of {seed}")
        self._named: list[_Named] = []

    async def run(self) -> None:
        """Let servers name limits, one after the other."""
        generator = self._generator
        for server in generator.sample(self._servers, SERVERS):
            rate = round(generator.uniform(0.2, 6.0), 1)
            server.limit = str(rate)
            since = asyncio.get_running_loop().time()
            self._named.append(_Named(server, server.server, rate, since))
            await asyncio.sleep(generator.uniform(0.2, 1.5))

    def end(self) -> list[str]:
        """End all limits; return what was wrong, in plain words."""
        violations = []
        for named in self._named:
            named.server.limit = ""
            if named.server.server != named.identifier:
                # It has started again, and its next start names its own.
                continue
            most = count_most(named.server.arrivals, named.since + FROM_S)
            if most > count_allowed(named.rate):
                violations.append(
                    f"{named.identifier} takes {named.rate} a second and got "
                    f"{most} within {WINDOW_S} s"
                )
        return violations


def count_allowed(rate: float) -> float:
    """Return how many requests a server may get in a window.

    Args:
      rate: requests a second that it takes.
    """
    return 1.5 * rate * WINDOW_S + 5


def count_most(times: list[float], begin: float, end: float = math.inf) -> int:
    """Return the most of some sorted times in a window between two others."""
    kept = [one for one in times if begin <= one <= end]
    return max(
        (
            number + 1 - bisect.bisect_left(kept, time - WINDOW_S)
            for number, time in enumerate(kept)
        ),
        default=0,
    )
