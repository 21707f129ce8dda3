"""Estimates of the time that loads take and of what groups are worth."""

from typing import NamedTuple

from chervilrock.decisions.actions import Prices
from chervilrock.decisions.planner.specs import get_weight
from chervilrock.generated.configuration import ModelSpec


class LoadTimes(NamedTuple):
    """How fast shards load.

    Attributes:
      shard_s: time to load one shard when the weight store is idle, seconds
      parallel: shards that the weight store feeds at full speed at once
    """

    shard_s: float = 180.0
    parallel: int = 8


def estimate_load(times: LoadTimes, shards: int) -> float:
    """Returns the time to load some shards at once, in seconds."""
    if shards == 0:
        return 0.0
    return times.shard_s * max(1.0, shards / times.parallel)


def estimate_worth(
    spec: ModelSpec, costs: Prices, accelerators: float
) -> float:
    """Returns what a serving group of a model saves in a second.

    Args:
      spec: the model.
      costs: costs that hold now.
      accelerators: accelerators of a host on average.
    """
    hosts = spec["hosts_per_group"]
    return hosts * (
        costs.downtime * get_weight(spec) + costs.stranded * accelerators
    )
