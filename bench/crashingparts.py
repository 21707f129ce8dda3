"""Prompts whose parts crash servers, and servers that crash by themselves.

Callers send bursts of requests that share nothing but the parts of their
prompts. Sound requests have the first one as well.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import random

from chervilrock.standin.site.servers import CrashForm, SiteServer
from chervilrock.standin.site.site import Site

COMMON = "c0117"
"""First part of all prompts."""

SOUND_PARTS = ("50f0", "50f1", "50f2")
BAD_PARTS = ("bad0", "bad1", "bad2")

STABLE_S = 3.0
"""Time after a burst from which nodes must withhold its part."""

ALLOWED_SENDS = 3
"""Requests with a part that may reach servers after that."""

BURST = (3, 12)
"""Fewest and most requests of a burst."""

SendPrompt = Callable[[str, Sequence[str], bytes], Awaitable[None]]
"""Sends a prompt with some shared parts to the address of a node."""


def describe_prompt(parts: Sequence[str], own: str) -> str:
    """Return the header that lists the parts of a prompt, its own one last."""
    return ",".join(f"{part}:40" for part in (*parts, own))


class CrashingParts:
    """Sends requests that crash servers, and checks how many reach them."""

    def __init__(
        self,
        *,
        site: Site,
        addresses: Sequence[str],
        send: SendPrompt,
        seed: int,
    ) -> None:
        """Choose how servers crash under each part.

        Args:
          site: the servers.
          addresses: addresses of the nodes.
          send: sends a prompt to a node.
          seed: seed of all choices.
        """
        self._site = site
        self._addresses = addresses
        self._send = send
        self._random = random.Random(f"parts {seed}")
        self._number = 0
        for part in BAD_PARTS:
            form = self._random.choice(list(CrashForm))
            site.crashing_parts[part] = form

    async def run(self) -> None:
        """Send bursts, and crash servers for other reasons, until cancelled."""
        actions = (self._send_burst, self._send_burst, self._crash_server)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._random.uniform(0.5, 3.0))
                group.create_task(self._random.choice(actions)())

    async def check_end(self) -> list[str]:
        """Send each part once more to all nodes; return broken guarantees."""
        violations = []
        for part in BAD_PARTS:
            begin = self._count_crashes(part)
            for address in self._addresses:
                await self._send_part(address, part)
            await asyncio.sleep(STABLE_S)
            before = self._count_crashes(part)
            for address in self._addresses:
                await self._send_part(address, part)
            count = self._count_crashes(part) - before
            if count > ALLOWED_SENDS:
                violations.append(
                    f"part {part} crashed {count} more servers, after {begin} "
                    f"in the run and {before - begin} at its end"
                )
        return violations

    async def _send_burst(self) -> None:
        part = self._random.choice(BAD_PARTS)
        for _ in range(self._random.randint(*BURST)):
            await self._send_part(self._random.choice(self._addresses), part)
            await asyncio.sleep(self._random.uniform(0.0, 0.4))

    async def _send_part(self, address: str, part: str) -> None:
        self._number += 1
        sound = self._random.choice(SOUND_PARTS)
        body = f"part {self._number}".encode()
        await self._send(address, (COMMON, part, sound), body)

    async def _crash_server(self) -> None:
        self._choose_server().crash(b"")

    def _choose_server(self) -> SiteServer:
        return self._random.choice(self._site.servers)

    def _count_crashes(self, part: str) -> int:
        return sum(
            crash.part == part
            for server in self._site.servers
            for crash in server.crashes
        )
