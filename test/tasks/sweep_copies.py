"""Returns of the store from copies, over seeds.

`python -m test.tasks.sweep_copies --nodes 36 --seeds 20` draws what happened
before, the age of the copy, the silence, whether a part of the nodes is turned
away longer, whether the leader is lost with it or all nodes are, and a second
return; it prints the worst times after the return with their seeds, and each
seed that did not settle.
"""

import argparse
import asyncio
import random
from typing import NamedTuple

import pytest

from chervilrock.clients.serving import Topic
from test.tasks.installation import Fault, Installation
from test.tasks.test_store_copies import is_settled, list_leaders
from test.tasks.virtual_time import run_virtually

PLACES = 3
OLDEST_S = 10.0
LONGEST_AWAY_S = 3.0
LIMIT_S = 15.0
"""Longest wait for what is measured."""


class Figures(NamedTuple):
    """What one run gave.

    Attributes:
      led_s: time from a return until one leads and all use its view.
      revision_s: time from the confirmation of a revision until all have it.
      is_whole: whether all was settled, and all nodes recorded, at the end.
    """

    led_s: float
    revision_s: float
    is_whole: bool


class _Run:
    """One installation and what is drawn for it."""

    def __init__(
        self, *, site: Installation, generator: random.Random, nodes: int
    ) -> None:
        self._site = site
        self._generator = generator
        self._nodes = nodes
        self._revision = 1
        self._added = 0
        self.led_s = 0.0
        self.revision_s = 0.0

    async def play(self) -> Figures:
        draw = self._generator
        await self._site.start(nodes=self._nodes, places=PLACES)
        await asyncio.sleep(draw.uniform(0.0, 12.0))
        for _ in range(draw.randint(0, 4)):
            self._change_something()
            await asyncio.sleep(draw.uniform(0.0, 3.0))
        for _ in range(draw.choice((1, 1, 2))):
            await self._come_back()
            await asyncio.sleep(draw.uniform(0.0, 2.0))
        await asyncio.sleep(6.0)
        records = {one.key for one in self._site.store.topics[Topic.NODES]}
        wanted = {f"node/{one}" for one in self._site.members}
        is_whole = is_settled(self._site) and wanted <= records
        await self._site.stop()
        return Figures(self.led_s, self.revision_s, is_whole)

    def _change_something(self) -> None:
        draw = self._generator.random()
        if draw < 0.4:
            self._kill_leader()
        elif draw < 0.7:
            self._confirm()
        else:
            self._added += 1
            place = self._generator.randrange(PLACES)
            self._site.add(f"x{self._added}", f"p{place}")

    def _kill_leader(self) -> None:
        leaders = list_leaders(self._site)
        if leaders and len(self._site.members) > PLACES:
            self._site.kill(leaders[0])

    def _confirm(self) -> None:
        self._revision += 1
        self._site.change(self._revision)

    def _restart_all(self) -> None:
        members = list(self._site.members.items())
        for address, _ in members:
            self._site.kill(address)
        for address, member in members:
            self._site.add(address, member.state.own.data_centre)

    async def _come_back(self) -> None:
        draw = self._generator
        site = self._site
        site.begin(draw.choice(list(Fault)))
        away_s = draw.uniform(0.05, LONGEST_AWAY_S)
        await asyncio.sleep(away_s)
        site.store.restore(away_s + draw.uniform(0.0, OLDEST_S))
        site.end()
        back = site.loop.time()
        if draw.random() < 0.3:
            self._kill_leader()
        if draw.random() < 0.2:
            self._restart_all()
        if draw.random() < 0.3:
            turned_away = sorted(site.members)[::2]
            site.begin(Fault.BUSY, turned_away)
            await asyncio.sleep(draw.uniform(0.0, LONGEST_AWAY_S))
            site.end()
        await asyncio.sleep(draw.uniform(0.0, 1.0))
        self._confirm()
        confirmed = site.loop.time()
        await site.wait(self._has_revision, LIMIT_S)
        late_s = site.loop.time() - confirmed
        self.revision_s = max(self.revision_s, late_s)
        await site.wait(lambda: is_settled(site), LIMIT_S)
        self.led_s = max(self.led_s, site.loop.time() - back)

    def _has_revision(self) -> bool:
        return all(
            member.state.revision >= self._revision
            for member in self._site.members.values()
        )


def play(seed: int, nodes: int) -> Figures:
    """Return what one seed gives."""
    with pytest.MonkeyPatch.context() as patch:

        async def run() -> Figures:
            site = Installation(monkeypatch=patch, seed=seed)
            generator = random.Random(seed)
            one = _Run(site=site, generator=generator, nodes=nodes)
            return await one.play()

        return run_virtually(run())


def main() -> None:
    """Print the worst of some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    runs = {seed: play(seed, arguments.nodes) for seed in seeds}
    led = max(runs, key=lambda seed: runs[seed].led_s)
    revision = max(runs, key=lambda seed: runs[seed].revision_s)
    unsettled = [seed for seed, one in runs.items() if not one.is_whole]
    print(
        f"{arguments.nodes} nodes, {len(runs)} seeds: led after "
        f"{runs[led].led_s:.2f} s (seed {led}), a revision after "
        f"{runs[revision].revision_s:.2f} s (seed {revision}), "
        f"not settled: {unsettled or 'none'}",
        flush=True,
    )


if __name__ == "__main__":
    main()
