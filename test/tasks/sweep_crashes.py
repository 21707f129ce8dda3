"""Servers that end under one request, over seeds, sizes and faults.

`python -m test.tasks.sweep_crashes --nodes 195 --seeds 20 --fault leader`
prints the worst of all seeds: servers that ended, sends that began after the
third end, and the time after it until the last node withheld the request.
"""

import argparse
import asyncio
import enum
import random
import time
from typing import NamedTuple

import pytest

from chervilrock.decisions.serving.suspects import MAX_ENDS
from test.tasks.crashing_requests import come_often, CrashingRequest
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

CONTENT = "brokers/0123456789abcdef"
TIMES = 12
PAUSE_S = 0.05
PLACES = 3
LONGEST_S = 6.0
"""Time for which the news is waited for."""


class Trouble(enum.Enum):
    """What happens when the second server has ended."""

    NONE = "none"
    LEADER = "leader"
    STORE = "store"
    BOTH = "both"
    RELAYS = "relays"


class Figures(NamedTuple):
    """What one run gave."""

    ends: int
    needless: int
    news_s: float


async def _play(
    site: Installation, nodes: int, trouble: Trouble, generator: random.Random
) -> Figures:
    await site.start(nodes=nodes, places=PLACES)
    await asyncio.sleep(generator.uniform(3.0, 4.0))
    request = CrashingRequest(site=site, content=CONTENT)
    coming = asyncio.ensure_future(
        come_often(site, request, generator, times=TIMES, pause_s=PAUSE_S)
    )
    await site.wait(lambda: len(request.sends) >= MAX_ENDS - 1, LONGEST_S)
    await asyncio.sleep(generator.uniform(0.0, 0.2))
    _disturb(site, trouble)
    await site.wait(lambda: len(request.sends) >= MAX_ENDS, LONGEST_S)
    third = site.loop.time()
    await site.wait(lambda: _is_known(site), LONGEST_S)
    news_s = site.loop.time() - third
    await coming
    await site.stop()
    return Figures(len(request.sends), request.count_needless(), news_s)


def _disturb(site: Installation, trouble: Trouble) -> None:
    leader = site.find_leader()
    if trouble in (Trouble.STORE, Trouble.BOTH):
        site.begin(Fault.SILENT)
    if trouble in (Trouble.LEADER, Trouble.BOTH) and leader is not None:
        site.kill(leader)
    if trouble is Trouble.RELAYS:
        for address, member in list(site.members.items()):
            if member.task.is_relay:
                site.kill(address)


def _is_known(site: Installation) -> bool:
    return all(
        one.state.suspects.find_withheld(CONTENT) is not None
        for one in site.members.values()
    )


def play(seed: int, nodes: int, trouble: Trouble) -> Figures:
    """Return what one seed gives."""
    generator = random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:

        async def run() -> Figures:
            site = Installation(monkeypatch=patch, seed=seed)
            return await _play(site, nodes, trouble, generator)

        return run_virtually(run())


def main() -> None:
    """Print the worst of some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--fault", choices=[one.value for one in Trouble])
    arguments = parser.parse_args()
    troubles = list(Trouble)
    if arguments.fault:
        troubles = [Trouble(arguments.fault)]
    for trouble in troubles:
        began = time.monotonic()
        runs = [
            play(seed, arguments.nodes, trouble)
            for seed in range(arguments.seeds)
        ]
        print(
            f"{arguments.nodes} nodes, {trouble.value}, {len(runs)} seeds: "
            f"ends {max(one.ends for one in runs)}, "
            f"after the third end {max(one.needless for one in runs)}, "
            f"known everywhere after {max(one.news_s for one in runs):.2f} s "
            f"({time.monotonic() - began:.0f} s)",
            flush=True,
        )


if __name__ == "__main__":
    main()
