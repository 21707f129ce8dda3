"""Requests that end servers, played through the nodes of an installation.

Each attempt goes to one node, which sends it as an exchange does: it asks
whether the request is withheld, waits for a verdict, sends, and sends once more
when the server ended. Each server that begins to run it ends.
"""

import asyncio
import random
from typing import NamedTuple

from chervilrock.decisions.serving.suspects import LEAST_TOLD, MAX_ENDS
from chervilrock.tasks.serving.suspicion import BrokenSend
from test.tasks.installation import Installation

RUN_S = 0.15
"""Time from a send to the end of the server."""

ATTEMPT_SENDS = 2
PATIENCE_S = 4.0
"""Time that a caller waits for an answer."""


class Sent(NamedTuple):
    """A send of a request that ends servers."""

    node: str
    began: float
    ended: float


class CrashingRequest:
    """One such request, which comes back as often as it is sent.

    Attributes:
      content: what it asks for.
      sends: all sends to servers.
      turned_away: attempts that were withheld.
    """

    def __init__(self, *, site: Installation, content: str) -> None:
        self._site = site
        self.content = content
        self.sends: list[Sent] = []
        self.turned_away = 0

    async def come(self, address: str) -> None:
        """Let an attempt come to a node and follow it to its end."""
        member = self._site.members[address]
        suspicion = member.task.suspicion
        loop = self._site.loop
        expires = loop.time() + PATIENCE_S
        ends = MAX_ENDS
        for _ in range(ATTEMPT_SENDS):
            await suspicion.wait_for_verdict(self.content, ends, expires)
            if address not in self._site.members:
                return
            if member.state.suspects.find_withheld(self.content) is not None:
                self.turned_away += 1
                return
            await self.send(address)
            ends = LEAST_TOLD

    async def send(self, address: str) -> None:
        """Let a node send it to one more server, which ends."""
        loop = self._site.loop
        began = loop.time()
        await asyncio.sleep(RUN_S)
        server = f"{self.content}-{len(self.sends)}"
        self._site.ended.add(server)
        self.sends.append(Sent(address, began, loop.time()))
        member = self._site.members.get(address)
        if member is None:
            return
        broken = BrokenSend(
            content=self.content,
            server=server,
            address=server,
            served_s=0.0,
            sent_s=RUN_S,
        )
        member.task.suspicion.note_broken(broken, loop.time())

    async def come_everywhere(self) -> None:
        """Let an attempt come to each node at once."""
        members = list(self._site.members)
        await asyncio.gather(*(self.come(one) for one in members))

    def count_needless(self) -> int:
        """Return the sends that began after the third end."""
        ends = sorted(one.ended for one in self.sends)
        if len(ends) < MAX_ENDS:
            return 0
        return sum(one.began > ends[MAX_ENDS - 1] for one in self.sends)


async def come_often(
    site: Installation,
    request: CrashingRequest,
    generator: random.Random,
    *,
    times: int,
    pause_s: float,
) -> None:
    """Let a request come to nodes that are drawn, one upon another."""
    for _ in range(times):
        await request.come(generator.choice(sorted(site.members)))
        await asyncio.sleep(generator.uniform(0.0, 2 * pause_s))
