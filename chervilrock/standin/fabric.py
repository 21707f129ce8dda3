"""Registry that connects the engine stand-ins of one process."""

import enum
from typing import Protocol

from chervilrock.generated.interfaces import EngineShard
from chervilrock.standin.faults import Faults

_GroupKey = tuple[str, int]


class GroupCondition(enum.StrEnum):
    """Whether the hosts of a group can serve together.

    WHOLE: every host holds its shard.
    FROZEN: every host holds its shard, but one of them is paused.
    BROKEN: a host is dead or does not hold its shard.
    """

    WHOLE = "whole"
    FROZEN = "frozen"
    BROKEN = "broken"


class FabricMember(Protocol):
    """An engine in the fabric."""

    faults: Faults

    def break_streams(self) -> None:
        """Breaks all streams because the group lost a host."""


class Fabric:
    """Registry of the shards that engines hold ready.

    It models the fast network among the hosts of a group, over which the
    host with rank 0 detects the loss of another host immediately.
    """

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._holders: dict[_GroupKey, dict[int, FabricMember]] = {}

    def enter(self, member: FabricMember, shard: EngineShard) -> None:
        """Records that an engine holds a shard ready."""
        holders = self._holders.setdefault(_make_key(shard), {})
        holders[shard["rank"]] = member

    def leave(self, member: FabricMember, shard: EngineShard) -> None:
        """Records that an engine lost a shard; breaks its group's streams."""
        key = _make_key(shard)
        holders = self._holders.get(key, {})
        if holders.get(shard["rank"]) is not member:
            return
        del holders[shard["rank"]]
        leader = holders.get(0)
        if leader is not None:
            leader.break_streams()
        if not holders:
            del self._holders[key]

    def check_group(self, shard: EngineShard) -> GroupCondition:
        """Returns the condition of the group of a shard."""
        holders = self._holders.get(_make_key(shard), {})
        if len(holders) < shard["size"]:
            return GroupCondition.BROKEN
        if any(member.faults.paused for member in holders.values()):
            return GroupCondition.FROZEN
        return GroupCondition.WHOLE

    async def wait_resumed(self, shard: EngineShard) -> None:
        """Waits while any host in the group of a shard is paused."""
        for member in list(self._holders.get(_make_key(shard), {}).values()):
            await member.faults.wait_resumed()


def _make_key(shard: EngineShard) -> _GroupKey:
    return shard["group"], shard["fence"]
