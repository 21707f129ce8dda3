"""Resets of kept connections with a request read, and checks of what follows.

The store resets long polls that wait, and calls before or after they take
effect; servers reset requests, orders and reports. That no request that may
run once runs again is checked from what the servers ran: a server counts a
request that it has read and reset as run.
"""

import asyncio
from collections.abc import Iterable
import pathlib
import random
import re

import msgspec

from bench.evacuations import STORE
from bench.statements import Disturbances
from chervilrock.platform.store import TIMEOUT_S
from chervilrock.standin.site.resets import ResetMoment
from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import Site

STANDSTILL_S = 2.5
"""Longest time by which a node that was paused ends a call too late."""

MAX_RESETTING = 3
"""Most servers that reset connections at once."""

_CALL_FAILED = 7005
_WAIT = re.compile(r"wait_ms=(\d+)")
_DURATION = re.compile(r"timed out after (\d+) milliseconds")
_MS_PER_S = 1000


class KeptConnections:
    """Resets connections of the nodes to the store and to the servers."""

    def __init__(
        self, *, site: Site, disturbances: Disturbances, seed: int
    ) -> None:
        """Create a run in which nothing is reset yet.

        Args:
          site: the store and the servers.
          disturbances: gets the times in which the store resets calls.
          seed: seed of a generator of its own.
        """
        self._site = site
        self._disturbances = disturbances
        self._generator = random.Random(f"kept connections of {seed}")
        self._poll_generator = random.Random(f"long polls of {seed}")

    async def run(self) -> None:
        """Reset connections until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._reset_often())
            group.create_task(self._disturb())

    async def _reset_often(self) -> None:
        while True:
            await asyncio.sleep(self._poll_generator.uniform(0.1, 0.6))
            self.reset_polls()

    async def _disturb(self) -> None:
        actions = (
            self._disturb_store,
            self._reset_requests,
            self._reset_control,
        )
        while True:
            await asyncio.sleep(self._generator.uniform(0.1, 0.8))
            await self._generator.choice(actions)()

    def reset_polls(self) -> None:
        """Reset the long polls that began since the store was disturbed."""
        # Calls may overtake each other while the link is disturbed.
        ends = [end for _, end in self._disturbances.list_intervals(STORE)]
        self._site.store.door.reset_polls(max(ends, default=0.0))

    async def _disturb_store(self) -> None:
        seconds = self._generator.uniform(0.05, 0.6)
        now = asyncio.get_running_loop().time()
        self._disturbances.record(STORE, now, now + seconds)
        door = self._site.store.door
        door.resets = self._generator.choice(list(ResetMoment))
        await asyncio.sleep(seconds)
        door.resets = None

    async def _reset_requests(self) -> None:
        for server in self._choose_servers():
            server.resets = self._generator.choice(list(ResetMoment))
        await self._wait_and_end()

    async def _reset_control(self) -> None:
        # A server that resets requests as well would seem to have crashed.
        for server in self._choose_servers():
            server.control_resets = self._generator.choice(list(ResetMoment))
        await self._wait_and_end()

    def _choose_servers(self) -> list[SiteServer]:
        count = self._generator.randint(1, MAX_RESETTING)
        return self._generator.sample(self._site.servers, count)

    async def _wait_and_end(self) -> None:
        await asyncio.sleep(self._generator.uniform(0.1, 1.0))
        self.end()

    def end(self) -> None:
        """Reset no more connections."""
        self._site.store.door.resets = None
        for server in self._site.servers:
            server.resets = None
            server.control_resets = None

    def find_violations(self, logs: Iterable[pathlib.Path]) -> list[str]:
        """Return which calls were sent again or outlasted their limit.

        Args:
          logs: logs of the nodes.
        """
        door = self._site.store.door
        again = [
            f"{poll}: sent again after a reset" for poll in door.sent_again
        ]
        return again + [
            reason
            for log in logs
            for line in log.read_bytes().splitlines()
            if (reason := find_long_call(line))
        ]


def find_long_call(line: bytes) -> str:
    """Return the reason of a failed read that outlasted its limit, or ""."""
    try:
        entry = msgspec.json.decode(line)
    except msgspec.DecodeError:
        # A process that is killed may leave part of a line.
        return ""
    if not isinstance(entry, dict) or entry.get("number") != _CALL_FAILED:
        return ""
    reason = str(entry["reason"])
    duration = _DURATION.search(reason)
    if duration is None:
        return ""
    wait = _WAIT.search(reason)
    limit_s = TIMEOUT_S + (int(wait[1]) / _MS_PER_S if wait else 0.0)
    is_long = int(duration[1]) / _MS_PER_S > limit_s + STANDSTILL_S
    return reason if is_long else ""
