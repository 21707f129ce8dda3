"""What an engine said when it was probed, kept in little memory.

The shards of a group differ in their ranks alone, so its hosts share one
value for everything else.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.shards import holds_rank
from chervilrock.generated.interfaces import (
    EnginePhase,
    EngineShard,
    EngineState,
)

_ANY_RANK = 0


class Evidence(NamedTuple):
    """What an engine said when it was last probed.

    Attributes:
      sent_at: when the probe was sent, in seconds
      incarnation: changes when the engine restarts
      phase: what the engine does
      fence: greatest fencing number that the engine has seen
      checks_fence: whether it refuses old fencing numbers
      own_shard: what it holds or loads but for the rank, None for nothing;
        shared with the other hosts of its group
      rank: rank of what it holds or loads
    """

    sent_at: float
    incarnation: str
    phase: EnginePhase
    fence: int
    checks_fence: bool
    own_shard: EngineShard | None
    rank: int = _ANY_RANK

    @property
    def shard(self) -> EngineShard | None:
        """What the engine holds or loads, None for nothing."""
        if self.own_shard is None:
            return None
        return EngineShard(**{**self.own_shard, "rank": self.rank})

    def holds_rank(self, group: Group, rank: int) -> bool:
        """Return whether the engine holds this rank of a group."""
        return self.rank == rank and holds_rank(
            self.own_shard, group, _ANY_RANK
        )

    def agrees_with(self, state: EngineState) -> bool:
        """Return whether an engine says the same again."""
        return (
            self.incarnation == state["incarnation"]
            and self.phase == state["phase"]
            and self.fence == state["fence"]
            and self.checks_fence == state["checks_fence"]
            and self._has_shard(state.get("shard"))
        )

    def _has_shard(self, shard: EngineShard | None) -> bool:
        own = self.own_shard
        if shard is None or own is None:
            return shard is own
        return (
            self.rank == shard["rank"]
            and own["fence"] == shard["fence"]
            and own["group"] == shard["group"]
            and own["model"] == shard["model"]
            and own["version"] == shard["version"]
            and own["size"] == shard["size"]
            and own["leader"] == shard["leader"]
            and own["adapters"] == shard["adapters"]
        )


class _Key(NamedTuple):
    """What the shards of a group share."""

    group: str
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...]
    size: int
    leader: str


class ShardPool:
    """One value for all shards that differ in their ranks alone."""

    def __init__(self) -> None:
        """Start without shards."""
        self._shards: dict[_Key, EngineShard] = {}

    def share(self, shard: EngineShard) -> EngineShard:
        """Return the value for a shard, without its rank."""
        key = _find_key(shard)
        known = self._shards.get(key)
        if known is None:
            known = EngineShard(**{**shard, "rank": _ANY_RANK})
            self._shards[key] = known
        return known

    def retain(self, shards: Iterable[EngineShard | None]) -> None:
        """Forget all values but these."""
        self._shards = {
            _find_key(shard): shard for shard in shards if shard is not None
        }


def make_evidence(
    state: EngineState, sent_at: float, pool: ShardPool
) -> Evidence:
    """Return the evidence of an answer to a probe.

    Args:
      state: what the engine answered.
      sent_at: when the probe was sent, in seconds.
      pool: shards of all hosts.
    """
    shard = state.get("shard")
    return Evidence(
        sent_at=sent_at,
        incarnation=state["incarnation"],
        phase=state["phase"],
        fence=state["fence"],
        checks_fence=state["checks_fence"],
        own_shard=None if shard is None else pool.share(shard),
        rank=_ANY_RANK if shard is None else shard["rank"],
    )


def _find_key(shard: EngineShard) -> _Key:
    return _Key(
        shard["group"],
        shard["fence"],
        shard["model"],
        shard["version"],
        tuple(shard["adapters"]),
        shard["size"],
        shard["leader"],
    )
