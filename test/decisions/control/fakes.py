"""The platform of the model: a log stream and model engines."""

from typing import Any

from chervilrock.clients.base import LogPage
from chervilrock.generated.interfaces import EnginePhase, EngineShard, HostEntry
from chervilrock.generated.records import StoredRecord

STEP = 0.5
LOAD_S = 3.0


class Log:
    """A stream that keeps every record for the oracle, also when trimmed."""

    def __init__(self):
        self.stored: list[StoredRecord] = []
        self.first = 1

    def append(self, record):
        self.stored.append(StoredRecord(len(self.stored) + 1, record))

    def trim(self, first):
        self.first = max(self.first, min(first, len(self.stored) + 1))

    def read(self, start):
        kept = max(start, self.first) - 1
        records = tuple(self.stored[kept : kept + 50])
        return LogPage(records, self.first, len(self.stored) + 1)


class Engine:
    """A model engine; `paused` keeps its orders until it goes on."""

    def __init__(self, name, checks):
        self.name = name
        self.checks = checks
        self.incarnation = 1
        self.fence = 0
        self.shard: EngineShard | None = None
        self.phase = EnginePhase.EMPTY
        self.left = 0.0
        self.paused = False
        self.waiting: list[Any] = []
        self.held: dict[tuple[str, int, int], float] = {}

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

    def take(self, order):
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
            self.left = LOAD_S
        return True

    def restart(self):
        self.incarnation += 1
        self.fence = 0
        self.shard = None
        self.phase = EnginePhase.EMPTY
        self.waiting.clear()

    def step(self, now):
        if self.paused:
            return
        if self.phase == EnginePhase.LOADING:
            self.left -= STEP
            if self.left <= 0:
                self.phase = EnginePhase.READY
        if self.phase == EnginePhase.READY and self.shard is not None:
            key = (self.shard["group"], self.shard["fence"])
            self.held[(*key, self.shard["rank"])] = now
