"""Planned work of the platform that hits all nodes of a soak run at once."""

import asyncio
from collections.abc import Callable, Sequence
import random

from chervilrock.standin.site.store import SiteStore

TOPICS = ("keyed.servers", "keyed.op")
"""Topics of which the platform may delete old records at any time."""


class PlannedWork:
    """Stops all nodes at once, and deletes old records of the store."""

    def __init__(
        self, *, store: SiteStore, stop: Sequence[Callable[[], None]], seed: int
    ) -> None:
        """Create the planned work of a run.

        Args:
          store: the store.
          stop: send SIGTERM, one function for each node.
          seed: seed of a generator of its own.
        """
        self._store = store
        self._stop = stop
        self._generator = random.Random(f"planned work of {seed}")

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stop_all())
            group.create_task(self._delete_records())

    async def _stop_all(self) -> None:
        while True:
            await asyncio.sleep(self._generator.uniform(4.0, 30.0))
            for stop in self._stop:
                stop()

    async def _delete_records(self) -> None:
        while True:
            await asyncio.sleep(self._generator.uniform(0.05, 2.0))
            topic = self._generator.choice(TOPICS)
            self._store.topic(topic).compact()
