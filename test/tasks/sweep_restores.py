"""Simulates restores of the store from backups over many seeds.

`python -m test.tasks.sweep_restores --nodes 36 --seeds 20` draws earlier
changes, the age of the backup, the outage, whether some nodes are rejected for
longer, whether the leader or all nodes are lost, and a second restore. It
prints the worst times after a restore with their seeds, and each seed that did
not recover.
"""

import argparse
import asyncio
import random
from typing import NamedTuple

import pytest

from chervilrock.clients.serving import Topic
from test.tasks.installation import Fault, Installation
from test.tasks.test_store_restores import is_led_by_one, list_leaders
from test.tasks.virtual_time import run_virtually

DATA_CENTRES = 3
OLDEST_BACKUP_S = 10.0
LONGEST_OUTAGE_S = 3.0
LIMIT_S = 15.0
"""Longest wait for each measured condition."""


class Result(NamedTuple):
    """Result of one run.

    Attributes:
      led_s: time from a restore until one node leads and all use its view.
      revision_s: time from the confirmation of a revision until all have it.
      is_recovered: whether at the end one node led, all used its view, and the
        store had the records of all nodes.
    """

    led_s: float
    revision_s: float
    is_recovered: bool


class _Scenario:
    """One installation and the random events for it."""

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

    async def play(self) -> Result:
        draw = self._generator
        await self._site.start(nodes=self._nodes, data_centres=DATA_CENTRES)
        await asyncio.sleep(draw.uniform(0.0, 12.0))
        for _ in range(draw.randint(0, 4)):
            self._change_something()
            await asyncio.sleep(draw.uniform(0.0, 3.0))
        for _ in range(draw.choice((1, 1, 2))):
            await self._restore_store()
            await asyncio.sleep(draw.uniform(0.0, 2.0))
        await asyncio.sleep(6.0)
        records = {
            record.key for record in self._site.store.topics[Topic.NODES]
        }
        wanted = {f"node/{name}" for name in self._site.running_nodes}
        is_recovered = is_led_by_one(self._site) and wanted <= records
        await self._site.stop()
        return Result(self.led_s, self.revision_s, is_recovered)

    def _change_something(self) -> None:
        draw = self._generator.random()
        if draw < 0.4:
            self._kill_leader()
        elif draw < 0.7:
            self._confirm()
        else:
            self._added += 1
            data_centre = self._generator.randrange(DATA_CENTRES)
            self._site.add(f"x{self._added}", f"p{data_centre}")

    def _kill_leader(self) -> None:
        leaders = list_leaders(self._site)
        if leaders and len(self._site.running_nodes) > DATA_CENTRES:
            self._site.kill(leaders[0])

    def _confirm(self) -> None:
        self._revision += 1
        self._site.confirm_revision(self._revision)

    def _restart_all(self) -> None:
        running_nodes = list(self._site.running_nodes.items())
        for address, _ in running_nodes:
            self._site.kill(address)
        for address, member in running_nodes:
            self._site.add(address, member.state.own.data_centre)

    async def _restore_store(self) -> None:
        draw = self._generator
        site = self._site
        site.begin_fault(draw.choice(list(Fault)))
        outage_s = draw.uniform(0.05, LONGEST_OUTAGE_S)
        await asyncio.sleep(outage_s)
        site.store.restore(outage_s + draw.uniform(0.0, OLDEST_BACKUP_S))
        site.end_fault()
        restored = site.loop.time()
        if draw.random() < 0.3:
            self._kill_leader()
        if draw.random() < 0.2:
            self._restart_all()
        if draw.random() < 0.3:
            rejected = sorted(site.running_nodes)[::2]
            site.begin_fault(Fault.BUSY, rejected)
            await asyncio.sleep(draw.uniform(0.0, LONGEST_OUTAGE_S))
            site.end_fault()
        await asyncio.sleep(draw.uniform(0.0, 1.0))
        self._confirm()
        confirmed = site.loop.time()
        await site.wait_until(self._has_revision, LIMIT_S)
        lateness_s = site.loop.time() - confirmed
        self.revision_s = max(self.revision_s, lateness_s)
        await site.wait_until(lambda: is_led_by_one(site), LIMIT_S)
        self.led_s = max(self.led_s, site.loop.time() - restored)

    def _has_revision(self) -> bool:
        return all(
            member.state.revision >= self._revision
            for member in self._site.running_nodes.values()
        )


def play(seed: int, nodes: int) -> Result:
    """Return the result of one seed."""
    with pytest.MonkeyPatch.context() as patch:

        async def run() -> Result:
            site = Installation(monkeypatch=patch, seed=seed)
            generator = random.Random(seed)
            scenario = _Scenario(site=site, generator=generator, nodes=nodes)
            return await scenario.play()

        return run_virtually(run())


def main() -> None:
    """Print the worst results over a range of seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    runs = {seed: play(seed, arguments.nodes) for seed in seeds}
    led = max(runs, key=lambda seed: runs[seed].led_s)
    revision = max(runs, key=lambda seed: runs[seed].revision_s)
    unrecovered = [seed for seed, run in runs.items() if not run.is_recovered]
    print(
        f"{arguments.nodes} nodes, {len(runs)} seeds: led after "
        f"{runs[led].led_s:.2f} s (seed {led}), a revision after "
        f"{runs[revision].revision_s:.2f} s (seed {revision}), "
        f"not recovered: {unrecovered or 'none'}",
        flush=True,
    )


if __name__ == "__main__":
    main()
