"""Shards of the hosts of a group, and the orders to load them."""

from chervilrock.decisions.ownership import Group
from chervilrock.generated.interfaces import EngineOrder, EngineShard


def make_shard(group: Group, rank: int, leader: str) -> EngineShard:
    """Return the shard of one rank.

    Args:
      group: the group.
      rank: rank of the host in the group.
      leader: IP:port of the engine with rank 0.
    """
    return EngineShard(
        group=group.name,
        fence=group.fence,
        model=group.model,
        version=group.version,
        adapters=group.adapters,
        rank=rank,
        size=len(group.hosts),
        leader=leader,
    )


def order_load(group: Group, rank: int, leader: str) -> EngineOrder:
    """Return the order to load the shard of one rank."""
    return EngineOrder(
        fence=group.fence,
        group=group.name,
        shard=make_shard(group, rank, leader),
    )


def order_unload(group: str, fence: int) -> EngineOrder:
    """Return the order to unload whatever the engine has loaded."""
    return EngineOrder(fence=fence, group=group)


def holds_rank(shard: EngineShard | None, group: Group, rank: int) -> bool:
    """Return whether a shard matches a group and a rank of it."""
    if shard is None:
        return False
    return (
        shard["rank"] == rank
        and shard["fence"] == group.fence
        and shard["group"] == group.name
        and shard["size"] == len(group.hosts)
        and shard["model"] == group.model
        and shard["version"] == group.version
        and tuple(shard["adapters"]) == group.adapters
    )
