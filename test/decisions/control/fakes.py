"""Fakes of the platform: a log stream and model engines."""

from typing import Any

from chervilrock.clients.base import LogPage
from chervilrock.generated.interfaces import EnginePhase, EngineShard, HostEntry
from chervilrock.generated.records import StoredRecord

STEP_S = 0.5
LOAD_S = 3.0


class Log:
    """A stream that keeps trimmed records for the oracle."""

    def __init__(self):
        self.stored: list[StoredRecord] = []
        self.first_offset = 1

    def append(self, record):
        self.stored.append(StoredRecord(len(self.stored) + 1, record))

    def trim(self, first_offset):
        self.first_offset = max(
            self.first_offset, min(first_offset, len(self.stored) + 1)
        )

    def read(self, start):
        index = max(start, self.first_offset) - 1
        records = tuple(self.stored[index : index + 50])
        return LogPage(records, self.first_offset, len(self.stored) + 1)


class Engine:
    """A model engine; while `paused`, it delays the orders that it receives."""

    def __init__(self, name, checks):
        self.name = name
        self.checks = checks
        self.incarnation = 1
        self.fence = 0
        self.shard: EngineShard | None = None
        self.phase = EnginePhase.EMPTY
        self.load_left_s = 0.0
        self.paused = False
        self.delayed_orders: list[Any] = []
        self.last_ready_at: dict[tuple[str, int, int], float] = {}

    def entry(self, leaving=False) -> HostEntry:
        return HostEntry(
            host=self.name,
            address=self.name + ":1",
            data_centre="d",
            domain="f",
            region="r",
            accelerators=1,
            leaving=leaving,
            checks_fence=self.checks,
        )

    def state(self):
        return {
            "host": self.name,
            "incarnation": str(self.incarnation),
            "phase": self.phase,
            "fence": self.fence,
            "checks_fence": self.checks,
            "shard": self.shard,
        }

    def apply_order(self, order):
        if self.checks and order["fence"] < self.fence:
            return False
        self.fence = max(self.fence, order["fence"])
        shard = order.get("shard")
        if shard is None:
            self.shard = None
            self.phase = EnginePhase.EMPTY
        elif shard != self.shard:
            self.shard = shard
            self.phase = EnginePhase.LOADING
            self.load_left_s = LOAD_S
        return True

    def restart(self):
        self.incarnation += 1
        self.fence = 0
        self.shard = None
        self.phase = EnginePhase.EMPTY
        self.delayed_orders.clear()

    def step(self, now):
        if self.paused:
            return
        if self.phase == EnginePhase.LOADING:
            self.load_left_s -= STEP_S
            if self.load_left_s <= 0:
                self.phase = EnginePhase.READY
        if self.phase == EnginePhase.READY and self.shard is not None:
            group_key = (self.shard["group"], self.shard["fence"])
            self.last_ready_at[(*group_key, self.shard["rank"])] = now
