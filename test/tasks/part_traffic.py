"""Simulation of prompts whose parts crash servers, at any number of nodes.

Sound requests and requests with such a part go to random nodes, which handle
them as an exchange does: they wait for a verdict, check whether the request is
withheld, send it, and retry it once after its server has crashed. Everything
that ran on the server is interrupted with it.
"""

import asyncio
from collections.abc import Sequence
import random
from typing import NamedTuple

from chervilrock.decisions.serving.admission.features import identify_parts
from chervilrock.decisions.serving.admission.suspecttracker import (
    MAX_CRASHES,
    MIN_ANNOUNCED_CRASHES,
)
from chervilrock.tasks.serving.poisondetector import BrokenSend
from test.tasks.installation import Installation, RunningNode

WORKSPACE = "brokers"
COMMON = "c0117"
FIRST_BYTE_S = 0.1
RUN_S = (0.2, 0.8)
"""Shortest and longest time that a sound request runs."""

RESTART_S = 3.0
"""Time after which a crashed server is replaced."""

CALLER_TIMEOUT_S = 4.0
MAX_SENDS = 2
STABLE_S = 3.0
"""Time after the fifth crash from which requests with the part count."""

CRASHES_BEFORE_BOUND = 5


class _Send(NamedTuple):
    """A request that runs on a server."""

    member: RunningNode
    content: str
    parts: tuple[str, ...]
    sent_at: float
    crashed: "asyncio.Future[None]"


class SoundAttempt(NamedTuple):
    """A sound request, sent once by its caller.

    Attributes:
      at: when it was sent.
      is_withheld: whether it was rejected as one that crashes servers.
    """

    at: float
    is_withheld: bool


class PartTraffic:
    """Requests and servers of one installation.

    Attributes:
      crashes: times of the crashes by the part that caused them.
      arrivals: times at which requests with such a part reached a server.
      sound: the sound requests.
    """

    def __init__(
        self, *, site: Installation, servers: int, seed: int = 1
    ) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._running: dict[str, list[_Send]] = {
            f"s{number}": [] for number in range(servers)
        }
        self._number = servers
        self.crashes: dict[str, list[float]] = {}
        self.arrivals: dict[str, list[float]] = {}
        self.sound: list[SoundAttempt] = []

    async def send_sound(
        self, seconds: float, rate: float, parts: Sequence[Sequence[str]]
    ) -> None:
        """Send sound requests with each list of parts in turn."""
        attempts = []
        for number in range(int(seconds * rate)):
            shared = parts[number % len(parts)]
            attempts.append(asyncio.ensure_future(self._attempt(shared)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*attempts)

    async def send_crashing(
        self, seconds: float, rate: float, parts: Sequence[str], part: str
    ) -> None:
        """Send requests with a part that crashes servers."""
        self.crashes[part] = []
        self.arrivals[part] = []
        attempts = []
        for _ in range(int(seconds * rate)):
            attempts.append(asyncio.ensure_future(self._attempt(parts, part)))
            await asyncio.sleep(self._random.uniform(0.0, 2.0 / rate))
        await asyncio.gather(*attempts)

    async def crash_others(self, seconds: float, rate: float) -> None:
        """Let random servers crash for reasons that no request has."""
        for _ in range(int(seconds * rate)):
            if self._running:
                self._crash(self._random.choice(list(self._running)))
            await asyncio.sleep(1.0 / rate)

    def count_late(self, part: str) -> int:
        """Return the requests with a part that arrived after the bound held."""
        crashes = self.crashes[part]
        if len(crashes) < CRASHES_BEFORE_BOUND:
            return 0
        bound = crashes[CRASHES_BEFORE_BOUND - 1] + STABLE_S
        return sum(time > bound for time in self.arrivals[part])

    def count_withheld_sound(self, since: float = 0.0) -> int:
        """Return the sound requests that were withheld from a time on."""
        return sum(one.is_withheld for one in self.sound if one.at >= since)

    async def _attempt(self, shared: Sequence[str], cause: str = "") -> None:
        loop = self._site.loop
        address = self._random.choice(sorted(self._site.running_nodes))
        member = self._site.running_nodes[address]
        self._number += 1
        content = f"{WORKSPACE}/{self._number:016x}"
        parts = identify_parts(WORKSPACE, shared)
        began = loop.time()
        min_crashes = MAX_CRASHES
        is_withheld = False
        for _ in range(MAX_SENDS):
            await member.task.poisondetector.wait_for_verdict(
                content, min_crashes, began + CALLER_TIMEOUT_S, parts
            )
            if address not in self._site.running_nodes:
                return
            suspects = member.state.suspects
            is_withheld = (
                suspects.find_withheld(content, parts) is not None
                and suspects.begin_trial(address, content, parts) is None
            )
            if is_withheld:
                break
            if await self._send(member, content, parts, cause):
                break
            min_crashes = MIN_ANNOUNCED_CRASHES
        if not cause:
            self.sound.append(SoundAttempt(began, is_withheld))

    async def _send(
        self,
        member: RunningNode,
        content: str,
        parts: tuple[str, ...],
        cause: str,
    ) -> bool:
        """Run a request on a server; return whether it ran to its end."""
        loop = self._site.loop
        sent_at = loop.time()
        while not self._running:
            await asyncio.sleep(0.1)
        server = self._random.choice(list(self._running))
        send = _Send(member, content, parts, sent_at, loop.create_future())
        self._running[server].append(send)
        if cause:
            self.arrivals[cause].append(sent_at)
        run_s = FIRST_BYTE_S + 0.001 if cause else self._random.uniform(*RUN_S)
        await asyncio.wait([send.crashed], timeout=run_s)
        if send.crashed.done():
            return False
        if cause:
            self.crashes[cause].append(loop.time())
            self._crash(server)
            return False
        self._running[server].remove(send)
        member.task.poisondetector.record_pass(
            (content, *parts), sent_at=sent_at, now=loop.time()
        )
        return True

    def _crash(self, server: str) -> None:
        """End a server, interrupt all that runs on it, and replace it."""
        now = self._site.loop.time()
        self._site.crashed_servers.add(server)
        for send in self._running.pop(server):
            send.crashed.set_result(None)
            broken = BrokenSend(
                content=send.content,
                server=server,
                address=server,
                since_first_byte_s=max(0.0, now - send.sent_at - FIRST_BYTE_S),
                since_sent_s=now - send.sent_at,
                parts=send.parts,
            )
            if send.member in self._site.running_nodes.values():
                send.member.task.poisondetector.record_broken(broken, now)
        self._number += 1
        self._site.loop.call_later(
            RESTART_S, self._running.setdefault, f"s{self._number}", []
        )
