"""Callers whose prompts share a part that crashes servers, and sound ones.

`python -m test.node.crashing_parts --form chunked --nodes 9` plays one of them
and prints how many requests with the part reached servers, and how sound
requests fared.
"""

import argparse
import asyncio
from collections.abc import Sequence
import itertools
import random
from typing import NamedTuple

from chervilrock.standin.site.servers import CrashForm
from test.node.serving_site import make_events, run_world, World

COMMON = "c0117"
"""First part of all prompts."""

STABLE_S = 3.0
"""Time after the fifth crash from which requests with the part count."""

CRASHES_BEFORE_BOUND = 5
"""Crashes of servers under a part before the bound holds."""

ALLOWED_SENDS = 3
"""Requests with the part that may reach servers after that time."""

EVENTS = 30
"""Events of each stream."""

MAX_SENDS = 2
"""Number of times that a caller sends a request with the part."""

SOUND_PARTS = 6
"""Number of different second parts of sound prompts."""

WARM_UP_S = 2.0
"""Time with sound requests alone, at the start."""


class Scenario(NamedTuple):
    """What callers send.

    Attributes:
      form: how servers crash under a part.
      parts: the parts that crash servers.
      is_first: whether they come first in a prompt, not second.
      rider: another part that comes with each of them, empty for none; half of
        the sound prompts have it too.
      attempts_per_s: attempts with such a part.
      sound_callers: callers that send sound requests one after the other.
      seconds: time for which requests with such a part come.
      is_same_content: whether all of these requests have the same content.
      other_crashes_per_s: heads of groups that crash for other reasons.
      kills_leader: whether the node that leads is lost after the second crash.
      sound_delay_s: time after the first of these requests until sound ones
        begin, which then have not run before; 0 if they run before it.
    """

    form: CrashForm
    parts: tuple[str, ...] = ("bad1",)
    is_first: bool = False
    rider: str = ""
    attempts_per_s: float = 8.0
    sound_callers: int = 12
    seconds: float = 8.0
    is_same_content: bool = False
    other_crashes_per_s: float = 0.0
    kills_leader: bool = False
    sound_delay_s: float = 0.0


class SoundRequest(NamedTuple):
    """A sound request, sent once.

    Attributes:
      sent_at: when it was sent, on the clock of the event loop.
      is_served: whether the whole stream arrived.
    """

    sent_at: float
    is_served: bool


class Outcome(NamedTuple):
    """What happened.

    Attributes:
      sends: requests with each part that reached servers.
      late_sends: those that did so after the bound began to hold.
      before: sound requests before the first one with such a part, as served
        and sent.
      after: those from twice STABLE_S after the fifth crash.
      delayed: those from twice STABLE_S after the first sound request.
    """

    sends: dict[str, int]
    late_sends: dict[str, int]
    before: tuple[int, int]
    after: tuple[int, int]
    delayed: tuple[int, int]


class PartTraffic:
    """Sends requests to random nodes and records what becomes of them."""

    def __init__(self, *, world: World, scenario: Scenario, seed: int) -> None:
        self._world = world
        self._scenario = scenario
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._sound: list[SoundRequest] = []
        self._part_by_request: dict[str, str] = {}
        self._is_over = False
        self._began = float("inf")

    async def play(self) -> Outcome:
        """Send all requests and return what happened."""
        scenario = self._scenario
        loop = asyncio.get_running_loop()
        for part in scenario.parts:
            self._world.site.crashing_parts[part] = scenario.form
        callers = [
            asyncio.create_task(self._keep_sending())
            for _ in range(scenario.sound_callers)
        ]
        if not scenario.sound_delay_s:
            await asyncio.sleep(WARM_UP_S)
        self._began = loop.time()
        await asyncio.gather(self._attack(), self._crash_others(), self._kill())
        self._is_over = True
        await asyncio.gather(*callers)
        return self._judge()

    async def _keep_sending(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._scenario.sound_delay_s)
        while not self._is_over:
            second = f"50f{self._random.randrange(SOUND_PARTS)}"
            parts = [COMMON, second]
            if self._scenario.rider and self._random.random() < 0.5:
                parts.append(self._scenario.rider)
            headers = self._make_headers(parts)
            sent_at = loop.time()
            body = f"sound {next(self._number)}".encode()
            answer = await self._call(headers, body)
            request_id = headers["X-Request-Id"]
            is_served = answer == make_events(request_id, EVENTS)
            self._sound.append(SoundRequest(sent_at, is_served))
            await asyncio.sleep(0.02)

    async def _attack(self) -> None:
        """Attempt requests with the parts in turn, each on its own."""
        scenario = self._scenario
        attempts = []
        for number in range(int(scenario.seconds * scenario.attempts_per_s)):
            if not scenario.parts:
                await asyncio.sleep(scenario.seconds)
                return
            part = scenario.parts[number % len(scenario.parts)]
            attempts.append(asyncio.create_task(self._attempt(part)))
            await asyncio.sleep(1.0 / scenario.attempts_per_s)
        await asyncio.gather(*attempts)

    async def _attempt(self, part: str) -> None:
        scenario = self._scenario
        parts = [part, COMMON] if scenario.is_first else [COMMON, part]
        if scenario.rider:
            parts.append(scenario.rider)
        number = 0 if scenario.is_same_content else next(self._number)
        for _ in range(MAX_SENDS):
            headers = self._make_headers(parts)
            self._part_by_request[headers["X-Request-Id"]] = part
            answer = await self._call(headers, f"poison {number}".encode())
            if answer:
                return

    async def _call(self, headers: dict[str, str], body: bytes) -> bytes:
        """Return the body of a complete answer with status 200, or nothing."""
        node = self._random.choice(self._world.nodes)
        answer = await self._world.call_address(
            node.own.callers_address, "/draft/x", headers=headers, body=body
        )
        return answer.body if answer.status == 200 else b""

    def _make_headers(self, parts: Sequence[str]) -> dict[str, str]:
        listed = [*parts, f"{next(self._number):x}"]
        return self._world.make_headers(
            X_Token_Count=f"10,{EVENTS}",
            X_Prompt_Prefix=",".join(f"{part}:40" for part in listed),
        )

    async def _crash_others(self) -> None:
        """Let heads of groups crash for reasons that no request has."""
        rate = self._scenario.other_crashes_per_s
        for _ in range(int(self._scenario.seconds * rate)):
            heads = [one for one in self._world.site.servers if one.is_head]
            if heads:
                self._random.choice(heads).crash(b"")
            await asyncio.sleep(1.0 / rate)

    async def _kill(self) -> None:
        """Close the node that leads after the second crash."""
        if not self._scenario.kills_leader:
            return
        while len(self._list_crashes(self._scenario.parts[0])) < 2:
            await asyncio.sleep(0.01)
        leader = next(one for one in self._world.nodes if one.is_leader)
        self._world.nodes.remove(leader)
        await leader.close()

    def _list_crashes(self, part: str) -> list[float]:
        """Return when servers crashed under a part, in order."""
        return sorted(
            crash.time
            for server in self._world.site.servers
            for crash in server.crashes
            if crash.part == part
        )

    def _find_bound(self, part: str) -> float:
        """Return when the bound for a part began to hold, inf if it did not."""
        crashes = self._list_crashes(part)
        if len(crashes) < CRASHES_BEFORE_BOUND:
            return float("inf")
        return crashes[CRASHES_BEFORE_BOUND - 1] + STABLE_S

    def _judge(self) -> Outcome:
        arrivals: dict[str, list[float]] = {
            part: [] for part in self._scenario.parts
        }
        for server in self._world.site.servers:
            for arrival in server.arrivals:
                part = self._part_by_request.get(arrival.request_id)
                if part is not None:
                    arrivals[part].append(arrival.time)
        bounds = {part: self._find_bound(part) for part in arrivals}
        last = max(
            (self._list_crashes(part)[:CRASHES_BEFORE_BOUND] or [self._began])[
                -1
            ]
            for part in self._scenario.parts or ("",)
        )
        return Outcome(
            sends={part: len(times) for part, times in arrivals.items()},
            late_sends={
                part: sum(time > bounds[part] for time in times)
                for part, times in arrivals.items()
            },
            before=self._count_served(0.0, self._began),
            after=self._count_served(last + 2 * STABLE_S, float("inf")),
            delayed=self._count_served(
                min(one.sent_at for one in self._sound) + 2 * STABLE_S,
                float("inf"),
            ),
        )

    def _count_served(self, begin: float, end: float) -> tuple[int, int]:
        """Return how many sound requests of a time were served and sent."""
        chosen = [one for one in self._sound if begin <= one.sent_at < end]
        return sum(one.is_served for one in chosen), len(chosen)


def play(
    scenario: Scenario,
    *,
    nodes: int = 3,
    model_servers: int = 24,
    seed: int = 1,
) -> Outcome:
    """Play a scenario against nodes and stand-ins in one event loop."""
    outcomes: list[Outcome] = []

    async def run(world: World) -> None:
        traffic = PartTraffic(world=world, scenario=scenario, seed=seed)
        outcomes.append(await traffic.play())

    run_world(run, nodes=nodes, model_servers=model_servers, plain_servers=2)
    return outcomes[0]


def main() -> None:
    """Play one scenario and print its outcome."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--form", default="headers")
    parser.add_argument("--parts", type=int, default=1)
    parser.add_argument("--first", action="store_true")
    parser.add_argument("--rider", default="")
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--same", action="store_true")
    parser.add_argument("--other-crashes", type=float, default=0.0)
    parser.add_argument("--kill-leader", action="store_true")
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=24)
    options = parser.parse_args()
    scenario = Scenario(
        form=CrashForm(options.form),
        parts=tuple(f"bad{number}" for number in range(options.parts)),
        is_first=options.first,
        rider=options.rider,
        attempts_per_s=options.rate,
        sound_callers=options.callers,
        seconds=options.seconds,
        is_same_content=options.same,
        other_crashes_per_s=options.other_crashes,
        kills_leader=options.kill_leader,
    )
    outcome = play(
        scenario, nodes=options.nodes, model_servers=36, seed=options.seed
    )
    print(scenario)
    print(outcome, flush=True)


if __name__ == "__main__":
    main()
