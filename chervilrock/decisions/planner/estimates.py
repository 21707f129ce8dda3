"""Estimates of load times and of the worth of groups."""

from typing import NamedTuple

from chervilrock.decisions.actions import Prices
from chervilrock.decisions.planner.specs import get_weight
from chervilrock.generated.configuration import ModelSpec


class LoadTimes(NamedTuple):
    """Parameters of the load times of shards.

    Attributes:
      shard_s: time to load one shard when the weight store is idle, seconds
      parallel: shards that the weight store can deliver at full speed at once
      in_flight: shards that are being loaded already
    """

    shard_s: float = 180.0
    parallel: float = 8.0
    in_flight: int = 0


def estimate_load(times: LoadTimes, shards: int) -> float:
    """Returns the time to load shards in parallel, in seconds."""
    if shards == 0:
        return 0.0
    together = shards + times.in_flight
    return times.shard_s * max(1.0, together / times.parallel)


def estimate_worth(
    spec: ModelSpec, costs: Prices, accelerators: float
) -> float:
    """Returns the cost that a serving group of a model saves per second.

    Args:
      spec: the model.
      costs: costs that apply now.
      accelerators: average number of accelerators per host.
    """
    hosts = spec["hosts_per_group"]
    return hosts * (
        costs.downtime * get_weight(spec) + costs.stranded * accelerators
    )
