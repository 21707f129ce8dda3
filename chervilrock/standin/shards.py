"""Loading and unloading of the shard of an engine stand-in."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.generated.interfaces import (
    EngineOrder,
    EnginePhase,
    EngineShard,
)
from chervilrock.standin.fabric import Fabric, FabricMember, GroupCondition

_FETCH_TIMEOUT_S = 30.0
_FETCH_RETRY_S = 0.2
_STATUS_OK = 200


class ShardHolder:
    """The shard of one engine, with its phase and fencing number.

    Attributes:
      phase: loading phase of the engine.
      shard: shard that it holds, loads or unloads, None when empty.
      fence: highest fencing number received.
    """

    def __init__(
        self,
        *,
        member: FabricMember,
        fabric: Fabric | None,
        load_s: float,
        unload_s: float,
        weight_store: str,
        break_streams: Callable[[], None],
    ) -> None:
        """Creates an empty holder.

        Args:
          member: engine that holds the shard.
          fabric: registry of the group; without it every group counts as whole.
          load_s: time to load a shard in seconds.
          unload_s: time to unload a shard in seconds.
          weight_store: IP:port to fetch shards from, empty for none.
          break_streams: called when the shard or its fencing number changes.
        """
        self.phase = EnginePhase.EMPTY
        self.shard: EngineShard | None = None
        self.fence = 0
        self._member = member
        self._fabric = fabric
        self._load_s = load_s
        self._unload_s = unload_s
        self._weight_store = weight_store
        self._break_streams = break_streams
        self._task: asyncio.Task[None] | None = None

    def take_order(self, order: EngineOrder, *, ignore_fence: bool) -> bool:
        """Starts to carry out an order.

        Args:
          order: the order.
          ignore_fence: whether to accept an old fencing number.

        Returns:
          False when the fencing number is old.
        """
        if order["fence"] < self.fence and not ignore_fence:
            return False
        self.fence = max(self.fence, order["fence"])
        shard = order.get("shard")
        if shard is None:
            self._unload()
        elif shard != self.shard or self.phase is EnginePhase.UNLOADING:
            self._load(shard)
        return True

    def check_group(self) -> GroupCondition:
        """Returns the condition of the group of the shard."""
        if self.shard is None or self.phase is not EnginePhase.READY:
            return GroupCondition.BROKEN
        if self._fabric is None:
            return GroupCondition.WHOLE
        return self._fabric.check_group(self.shard)

    async def wait_resumed(self) -> None:
        """Waits while any host of the group is paused."""
        if self._fabric is not None and self.shard is not None:
            await self._fabric.wait_resumed(self.shard)

    def lose(self) -> None:
        """Drops the shard immediately, as a host failure does."""
        self._stop_task()
        self._leave()
        self.phase = EnginePhase.EMPTY
        self.shard = None
        self.fence = 0

    def _leave(self) -> None:
        ready = self.phase is EnginePhase.READY
        if ready and self.shard is not None and self._fabric is not None:
            self._fabric.leave(self._member, self.shard)
        self._break_streams()

    def _enter(self) -> None:
        self.phase = EnginePhase.READY
        if self._fabric is not None and self.shard is not None:
            self._fabric.enter(self._member, self.shard)

    def _load(self, shard: EngineShard) -> None:
        same_weights = self.shard is not None and _has_same_weights(
            self.shard, shard
        )
        if same_weights and self.phase is EnginePhase.LOADING:
            self.shard = shard
            return
        ready = same_weights and self.phase is EnginePhase.READY
        self._stop_task()
        self._leave()
        self.shard = shard
        if ready:
            self._enter()
            return
        self.phase = EnginePhase.LOADING
        self._task = asyncio.create_task(self._run_load(shard))

    def _unload(self) -> None:
        if self.phase in (EnginePhase.EMPTY, EnginePhase.UNLOADING):
            return
        self._stop_task()
        self._leave()
        self.phase = EnginePhase.UNLOADING
        self._task = asyncio.create_task(self._run_unload())

    def _stop_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run_load(self, shard: EngineShard) -> None:
        if self._weight_store:
            await self._fetch(shard)
        await asyncio.sleep(self._load_s)
        await self._member.faults.wait_resumed()
        self._enter()

    async def _run_unload(self) -> None:
        await asyncio.sleep(self._unload_s)
        await self._member.faults.wait_resumed()
        self.phase = EnginePhase.EMPTY
        self.shard = None

    async def _fetch(self, shard: EngineShard) -> None:
        url = (
            f"http://{self._weight_store}/weights/{shard['model']}"
            f"/{shard['version']}/{shard['rank']}?size={shard['size']}"
        )
        http = HttpClient(max_clients=1)
        try:
            while True:
                wait_s = await _try_fetch(http, url)
                if wait_s is None:
                    return
                await asyncio.sleep(wait_s)
        finally:
            http.close()


async def _try_fetch(http: HttpClient, url: str) -> float | None:
    """Fetches a shard; returns None if done, else the retry delay in s."""
    result = await http.request("GET", url, timeout_s=_FETCH_TIMEOUT_S)
    if not isinstance(result, Success):
        return _FETCH_RETRY_S
    answer: HttpAnswer = result.unwrap()
    if answer.status == _STATUS_OK:
        return None
    return max(_FETCH_RETRY_S, answer.retry_after_s)


def _has_same_weights(current: EngineShard, wanted: EngineShard) -> bool:
    return (
        current["model"] == wanted["model"]
        and current["version"] == wanted["version"]
        and current["rank"] == wanted["rank"]
        and current["size"] == wanted["size"]
    )
