"""Stand-in of a model engine, one on each host."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import time
from typing import NamedTuple

from chervilrock.clients.base import AttemptPhase
from chervilrock.generated.interfaces import (
    EngineLoad,
    EngineOrder,
    EngineState,
)
from chervilrock.standin.answers import Answer
from chervilrock.standin.batch import Attempt, Batch, Ending
from chervilrock.standin.cache import PrefixCache
from chervilrock.standin.enginehandlers import list_engine_routes
from chervilrock.standin.fabric import Fabric, GroupCondition
from chervilrock.standin.faults import FaultKind, Faults
from chervilrock.standin.lag import LaggedValue
from chervilrock.standin.server import Route, StandIn
from chervilrock.standin.shards import ShardHolder
from chervilrock.standin.text import list_prefix_blocks

_MS_PER_S = 1000.0
_MAX_ATTEMPTS = 4096
_MAX_STEP_WAIT_S = 0.02


class EngineOptions(NamedTuple):
    """Options of an engine stand-in.

    Attributes:
      host: name of its host.
      checks_fence: whether it rejects orders with an old fencing number.
      load_ms: time to load a shard.
      unload_ms: time to unload a shard.
      token_ms: time of one step of the batch, which releases one token of
        each attempt.
      prefill_ms: base time before the first token of an attempt.
      prefill_block_ms: additional time for each prefix block missing from
        the cache.
      max_running: maximum number of attempts that run together.
      max_waiting: maximum number of attempts in the queue.
      load_lag_ms: age of load reports.
      event_lag_ms: delay before a cache event can be read.
      cache_blocks: capacity of the prefix cache in blocks.
      weight_store: IP:port to fetch shards from, empty for none.
    """

    host: str = "host-1"
    checks_fence: bool = True
    load_ms: float = 0.0
    unload_ms: float = 0.0
    token_ms: float = 0.0
    prefill_ms: float = 0.0
    prefill_block_ms: float = 0.0
    max_running: int = 16
    max_waiting: int = 64
    load_lag_ms: float = 0.0
    event_lag_ms: float = 0.0
    cache_blocks: int = 1024
    weight_store: str = ""


class _LoadCounts(NamedTuple):
    running: int = 0
    waiting: int = 0
    cache_used: float = 0.0


class EngineStandIn(StandIn):
    """A model engine on one host.

    `kill` simulates a host failure: the engine loses its shard and all
    attempts, and leaves its group. The next `start` creates an empty engine;
    only the counts in `executions` are kept.
    """

    def __init__(
        self,
        *,
        options: EngineOptions | None = None,
        fabric: Fabric | None = None,
        clock: Callable[[], float] = time.monotonic,
        faults: Faults | None = None,
    ) -> None:
        """Creates an engine that does not listen yet.

        Args:
          options: speed, sizes and lags.
          fabric: registry of the engines of this process; without it the
            engine assumes that its peers are present.
          clock: source of the current time in seconds.
          faults: faults to inject.
        """
        super().__init__(faults=faults)
        self.options = options or EngineOptions()
        self.clock = clock
        self.shards = ShardHolder(
            member=self,
            fabric=fabric,
            load_s=self.options.load_ms / _MS_PER_S,
            unload_s=self.options.unload_ms / _MS_PER_S,
            weight_store=self.options.weight_store,
            break_streams=self.break_streams,
        )
        self._runner: asyncio.Task[None] | None = None
        self._reset()

    def _reset(self) -> None:
        options = self.options
        self._batch = Batch(
            max_running=options.max_running, max_waiting=options.max_waiting
        )
        self.cache = PrefixCache(
            capacity=options.cache_blocks,
            lag_s=options.event_lag_ms / _MS_PER_S,
        )
        self._load = LaggedValue(
            value=_LoadCounts(),
            lag_s=options.load_lag_ms / _MS_PER_S,
            now=self.clock(),
        )
        self._attempts: collections.OrderedDict[str, Attempt]
        self._attempts = collections.OrderedDict()
        self._by_request: dict[str, Attempt] = {}
        self._work_available = asyncio.Event()

    def _list_routes(self) -> list[Route]:
        return list_engine_routes()

    def _begin(self) -> None:
        self._reset()
        self._runner = asyncio.create_task(self._run())

    def _end(self) -> None:
        if self._runner is not None:
            self._runner.cancel()
        self.shards.lose()
        self.break_streams()

    async def stop(self) -> None:
        """See base class."""
        await super().stop()
        if self._runner is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await self._runner

    @property
    def incarnation(self) -> str:
        """Identifier of the engine process since its last start."""
        return f"{self.options.host}-{self.starts}"

    def ignores_fence(self) -> bool:
        """Returns whether a fault makes it accept old fencing numbers."""
        return self.faults.strike(FaultKind.IGNORE_FENCE) is not None

    def take_order(self, order: EngineOrder) -> bool:
        """Starts to carry out an order; returns False when it is rejected."""
        ignore = not self.options.checks_fence or self.ignores_fence()
        return self.shards.take_order(order, ignore_fence=ignore)

    def read_state(self) -> EngineState:
        """Returns the state of the engine and its shard."""
        state = EngineState(
            host=self.options.host,
            incarnation=self.incarnation,
            phase=self.shards.phase,
            fence=self.shards.fence,
            checks_fence=self.options.checks_fence,
        )
        if self.shards.shard is not None:
            state["shard"] = self.shards.shard
        return state

    def read_load(self) -> EngineLoad:
        """Returns the load as it was `load_lag_ms` ago."""
        counts = self._load.get(self.clock())
        token_s = self.options.token_ms / _MS_PER_S
        return EngineLoad(
            running=counts.running,
            waiting=counts.waiting,
            cache_used=counts.cache_used,
            tokens_per_s=counts.running / token_s if token_s else 0.0,
            age_ms=int(self.options.load_lag_ms),
        )

    def read_attempt(self, attempt_id: str) -> AttemptPhase:
        """Returns the phase of an attempt, `UNKNOWN` if it is not known."""
        attempt = self._attempts.get(attempt_id)
        return AttemptPhase.UNKNOWN if attempt is None else attempt.phase

    def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt; returns False when it is not known."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return False
        self._batch.cancel(attempt)
        self._record_load()
        return True

    def find_attempt(self, request_id: str, position: int) -> Attempt | None:
        """Returns the attempt of a request that can resume after an event."""
        attempt = self._by_request.get(request_id)
        if attempt is None or attempt.ending not in (None, Ending.WHOLE):
            return None
        return attempt if position <= attempt.emitted else None

    def link_attempt(self, attempt_id: str, attempt: Attempt) -> None:
        """Registers an attempt under an additional identifier."""
        self._attempts[attempt_id] = attempt
        self._by_request[attempt.answer.request_id] = attempt
        while len(self._attempts) > _MAX_ATTEMPTS:
            _, oldest = self._attempts.popitem(last=False)
            request_id = oldest.answer.request_id
            if self._by_request.get(request_id) is oldest:
                del self._by_request[request_id]

    def offer(
        self, attempt_id: str, answer: Answer, priority: int, emitted: int
    ) -> Attempt | None:
        """Queues an attempt; returns None when the queue is full."""
        attempt = Attempt(answer=answer, priority=priority, emitted=emitted)
        if not self._batch.offer(attempt):
            return None
        self.link_attempt(attempt_id, attempt)
        self._record_load()
        self._work_available.set()
        return attempt

    def break_streams(self) -> None:
        """Ends all attempts because the group lost a host."""
        self._batch.break_all()
        self._record_load()

    def check_group(self) -> GroupCondition:
        """Returns the condition of the group of the engine."""
        return self.shards.check_group()

    def _record_load(self) -> None:
        counts = _LoadCounts(
            len(self._batch.running),
            self._batch.waiting_count,
            self.cache.used,
        )
        self._load.set(counts, self.clock())

    async def _run(self) -> None:
        """Runs steps of the batch, and waits while it is idle."""
        step_at = self.clock()
        while True:
            if self._batch.idle:
                self._work_available.clear()
                await self._work_available.wait()
                step_at = self.clock()
            await self._wait_resumed()
            self._admit()
            step_at = await self._wait_step(step_at)
            await self._wait_resumed()
            if self._batch.step(self.clock()):
                self._record_load()

    async def _wait_resumed(self) -> None:
        await self.faults.wait_resumed()
        await self.shards.wait_resumed()

    async def _wait_step(self, step_at: float) -> float:
        """Waits for the next step and returns its due time in seconds."""
        rule = self.faults.strike(FaultKind.SLOW_TOKEN)
        extra_ms = rule.get("delay_ms", 0) if rule else 0
        token_s = (self.options.token_ms + extra_ms) / _MS_PER_S
        now = self.clock()
        due = max(now, step_at + token_s)
        if token_s == 0:
            ready_at = self._batch.find_ready_time()
            due = max(due, min(ready_at, now + _MAX_STEP_WAIT_S))
        await asyncio.sleep(due - now)
        return due

    def _admit(self) -> None:
        """Moves attempts from the queue into the batch."""
        now = self.clock()
        while attempt := self._batch.take_next():
            answer = attempt.answer
            self.executions[answer.request_id] += 1
            attempt.start(now + self._prefill(answer, now) / _MS_PER_S)
            self._record_load()

    def _prefill(self, answer: Answer, now: float) -> float:
        """Stores the prompt in the cache and returns the prefill time in ms."""
        blocks = list_prefix_blocks(answer.model, answer.prompt)
        drop = self.faults.strike(FaultKind.DROP_CACHE_EVENT) is not None
        hits = self.cache.store(blocks, now, drop=drop)
        missing = len(blocks) - hits
        return self.options.prefill_ms + missing * self.options.prefill_block_ms
