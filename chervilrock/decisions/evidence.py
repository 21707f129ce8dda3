"""Probe results of engines, stored compactly.

The shards of a group differ only in their ranks, so its hosts share one
value for all other fields.
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
    """State of an engine at the last probe.

    Attributes:
      sent_at: when the probe was sent, in seconds
      incarnation: identifier that changes when the engine restarts
      phase: phase of the engine
      fence: highest fencing number that the engine has seen
      checks_fence: whether it rejects old fencing numbers
      common_shard: shard that is loaded or loading, without the rank; None if
        there is none; shared with the other hosts of its group
      rank: rank of that shard
    """

    sent_at: float
    incarnation: str
    phase: EnginePhase
    fence: int
    checks_fence: bool
    common_shard: EngineShard | None
    rank: int = _ANY_RANK

    @property
    def shard(self) -> EngineShard | None:
        """Shard that is loaded or loading, None if there is none."""
        if self.common_shard is None:
            return None
        return EngineShard(**{**self.common_shard, "rank": self.rank})

    def holds_rank(self, group: Group, rank: int) -> bool:
        """Return whether the engine has this rank of a group."""
        return self.rank == rank and holds_rank(
            self.common_shard, group, _ANY_RANK
        )

    def agrees_with(self, state: EngineState) -> bool:
        """Return whether a newer state of the engine is the same."""
        return (
            self.incarnation == state["incarnation"]
            and self.phase == state["phase"]
            and self.fence == state["fence"]
            and self.checks_fence == state["checks_fence"]
            and self._has_shard(state.get("shard"))
        )

    def _has_shard(self, shard: EngineShard | None) -> bool:
        own = self.common_shard
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


class _SharedFields(NamedTuple):
    """Fields that the shards of a group have in common."""

    group: str
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...]
    size: int
    leader: str


class ShardPool:
    """Pool with one value for all shards that differ only in rank."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._shards: dict[_SharedFields, EngineShard] = {}

    def share(self, shard: EngineShard) -> EngineShard:
        """Return the shared value of a shard, without its rank."""
        key = _make_key(shard)
        known = self._shards.get(key)
        if known is None:
            known = EngineShard(**{**shard, "rank": _ANY_RANK})
            self._shards[key] = known
        return known

    def retain(self, shards: Iterable[EngineShard | None]) -> None:
        """Drop all values except these."""
        self._shards = {
            _make_key(shard): shard for shard in shards if shard is not None
        }


def make_evidence(
    state: EngineState, sent_at: float, pool: ShardPool
) -> Evidence:
    """Return the evidence from the response to a probe.

    Args:
      state: state that the engine reported.
      sent_at: when the probe was sent, in seconds.
      pool: shared shards of all hosts.
    """
    shard = state.get("shard")
    return Evidence(
        sent_at=sent_at,
        incarnation=state["incarnation"],
        phase=state["phase"],
        fence=state["fence"],
        checks_fence=state["checks_fence"],
        common_shard=None if shard is None else pool.share(shard),
        rank=_ANY_RANK if shard is None else shard["rank"],
    )


def _make_key(shard: EngineShard) -> _SharedFields:
    return _SharedFields(
        shard["group"],
        shard["fence"],
        shard["model"],
        shard["version"],
        tuple(shard["adapters"]),
        shard["size"],
        shard["leader"],
    )
