"""Backend servers that announce request limits, and checks of their load."""

import asyncio
import bisect
import math
import random
from typing import NamedTuple

from chervilrock.standin.site.servers import SiteServer

WINDOW_S = 4.0
"""Length of the windows in which requests are counted."""

FROM_S = 3.0
"""Time after the first announcement of a limit from which it must hold."""

SERVERS = 4
"""Number of servers of a run that announce limits."""


class _ServerLimit(NamedTuple):
    """A limit that a server announces.

    Attributes:
      server: stand-in of the server.
      identifier: identifier of the server at the first announcement.
      rate: limit in requests per second.
      since: time of the first announcement, in seconds.
    """

    server: SiteServer
    identifier: str
    rate: float
    since: float


class LimitedServers:
    """Sets limits on some servers, and checks that they are enforced."""

    def __init__(self, *, servers: list[SiteServer], seed: int) -> None:
        """Create the limits of a run, none of them set yet.

        Args:
          servers: all servers of a run.
          seed: seed of the choice of servers, times and rates. It seeds a
            generator of its own, so that other random choices of a run
            are unaffected.
        """
        self._servers = servers
        self._generator = random.Random(f"limits of {seed}")
        self._limits: list[_ServerLimit] = []

    async def run(self) -> None:
        """Set limits on random servers, one after the other."""
        generator = self._generator
        for server in generator.sample(self._servers, SERVERS):
            rate = round(generator.uniform(0.2, 6.0), 1)
            server.limit = str(rate)
            since = asyncio.get_running_loop().time()
            self._limits.append(
                _ServerLimit(server, server.server, rate, since)
            )
            await asyncio.sleep(generator.uniform(0.2, 1.5))

    def end(self) -> list[str]:
        """Remove all limits; return a description of each violation."""
        violations = []
        for limit in self._limits:
            limit.server.limit = ""
            if limit.server.server != limit.identifier:
                # A restarted server announces a limit of its own.
                continue
            times = [arrival.time for arrival in limit.server.arrivals]
            most = count_most(times, limit.since + FROM_S)
            if most > count_allowed(limit.rate):
                violations.append(
                    f"{limit.identifier} takes {limit.rate} a second and got "
                    f"{most} within {WINDOW_S} s"
                )
        return violations


def count_allowed(rate: float) -> float:
    """Return how many requests a server may receive in a window.

    Args:
      rate: limit in requests per second.
    """
    return 1.5 * rate * WINDOW_S + 5


def count_most(times: list[float], begin: float, end: float = math.inf) -> int:
    """Return the most of the sorted times in any window within a range."""
    kept = [arrival for arrival in times if begin <= arrival <= end]
    return count_most_within(WINDOW_S, kept)


def count_most_within(window_s: float, times: list[float]) -> int:
    """Return the most of the sorted times in any window of a length."""
    return max(
        (
            number + 1 - bisect.bisect_left(times, time - window_s)
            for number, time in enumerate(times)
        ),
        default=0,
    )
