"""Simulation of requests that crash each server that runs them.

Each attempt goes to one node of an installation, which sends the request as an
exchange does: it waits for a verdict, checks whether the request is withheld,
sends it, and retries once after the server has crashed.
"""

import asyncio
import random
from typing import NamedTuple

from chervilrock.decisions.serving.admission.suspecttracker import (
    MAX_CRASHES,
    MIN_ANNOUNCED_CRASHES,
)
from chervilrock.tasks.serving.poisondetector import BrokenSend
from test.tasks.installation import Installation

CRASH_DELAY_S = 0.15
"""Time from a send to the crash of the server."""

MAX_SENDS_PER_ATTEMPT = 2
CALLER_TIMEOUT_S = 4.0
"""Longest time that a caller waits for an answer."""


class CrashingSend(NamedTuple):
    """A send of a request, which crashed the server."""

    node: str
    sent_at: float
    crashed_at: float


class CrashingRequest:
    """A request that crashes servers, with all its attempts.

    Attributes:
      content: identifier of the content of the request.
      sends: all sends to servers.
      withheld_attempts: number of attempts that ended because the request was
        withheld.
    """

    def __init__(self, *, site: Installation, content: str) -> None:
        self._site = site
        self.content = content
        self.sends: list[CrashingSend] = []
        self.withheld_attempts = 0

    async def attempt(self, address: str) -> None:
        """Make an attempt at a node and wait for its outcome."""
        member = self._site.running_nodes[address]
        poisondetector = member.task.poisondetector
        loop = self._site.loop
        expires = loop.time() + CALLER_TIMEOUT_S
        min_crashes = MAX_CRASHES
        for _ in range(MAX_SENDS_PER_ATTEMPT):
            await poisondetector.wait_for_verdict(
                self.content, min_crashes, expires
            )
            if address not in self._site.running_nodes:
                return
            if member.state.suspects.find_withheld(self.content) is not None:
                self.withheld_attempts += 1
                return
            await self.send(address)
            min_crashes = MIN_ANNOUNCED_CRASHES

    async def send(self, address: str) -> None:
        """Let a node send the request to one more server, which crashes."""
        loop = self._site.loop
        sent_at = loop.time()
        await asyncio.sleep(CRASH_DELAY_S)
        server = f"{self.content}-{len(self.sends)}"
        self._site.crashed_servers.add(server)
        self.sends.append(CrashingSend(address, sent_at, loop.time()))
        member = self._site.running_nodes.get(address)
        if member is None:
            return
        broken = BrokenSend(
            content=self.content,
            server=server,
            address=server,
            since_first_byte_s=0.0,
            since_sent_s=CRASH_DELAY_S,
        )
        member.task.poisondetector.record_broken(broken, loop.time())

    async def attempt_everywhere(self) -> None:
        """Make an attempt at each node at the same time."""
        addresses = list(self._site.running_nodes)
        await asyncio.gather(*(self.attempt(address) for address in addresses))

    def count_excess_sends(self) -> int:
        """Return the sends that began after the third crash."""
        crashed_at = sorted(send.crashed_at for send in self.sends)
        if len(crashed_at) < MAX_CRASHES:
            return 0
        return sum(
            send.sent_at > crashed_at[MAX_CRASHES - 1] for send in self.sends
        )


async def attempt_repeatedly(
    site: Installation,
    request: CrashingRequest,
    generator: random.Random,
    *,
    attempts: int,
    mean_pause_s: float,
) -> None:
    """Make attempts at random nodes, one after the other."""
    for _ in range(attempts):
        await request.attempt(generator.choice(sorted(site.running_nodes)))
        await asyncio.sleep(generator.uniform(0.0, 2 * mean_pause_s))
