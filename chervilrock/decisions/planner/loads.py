"""Load times of shards, estimated from completed loads of groups."""

from collections import deque
from collections.abc import Iterable
import statistics
from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.estimates import LoadTimes
from chervilrock.generated.records import GroupPhase

_MAX_SAMPLES = 32
_MIN_SAMPLES = 3
_SLOWDOWN_FACTOR = 1.3
"""A load longer than this multiple of the shortest counts as slowed down."""
_PARALLEL_MARGIN = 2.0
"""Assumed capacity relative to the most shards seen without a slowdown."""
_DEFAULT_SHARD_S = 180.0
_DEFAULT_PARALLEL = 8
_HOSTS_PER_PARALLEL_LOAD = 8


class _Load(NamedTuple):
    """A load of a group in progress.

    Attributes:
      fence: fencing number of the group during the load
      shards: shards that it loads
      started_at: start time, in seconds
      shard_seconds_before: integral of the shards in flight until the start
    """

    fence: int
    shards: int
    started_at: float
    shard_seconds_before: float


class _Sample(NamedTuple):
    """A completed load.

    Attributes:
      length_s: duration in seconds
      shards: average number of shards in flight during the load
    """

    length_s: float
    shards: float


class LoadHistory:
    """Load times of groups, related to the load on the weight store."""

    def __init__(self) -> None:
        self._known: dict[str, GroupView] = {}
        self._loads: dict[str, _Load] = {}
        self._samples: deque[_Sample] = deque(maxlen=_MAX_SAMPLES)
        self._integral = 0.0
        self._seen_at: float | None = None

    def observe(self, groups: Iterable[GroupView], now: float) -> None:
        """Records which groups are loading and which have loaded.

        Args:
          groups: every group of the region.
          now: current time in seconds.
        """
        self._advance(now)
        previous = self._known
        self._known = {group.name: group for group in groups}
        for name in [name for name in self._loads if name not in self._known]:
            del self._loads[name]
        for group in self._known.values():
            if previous.get(group.name) != group:
                self._record_change(group, previous.get(group.name), now)

    def count_in_flight(self) -> int:
        """Returns how many shards are being loaded."""
        return sum(load.shards for load in self._loads.values())

    def estimate(self, hosts: int) -> LoadTimes:
        """Estimates the parameters of the load times.

        Until enough loads have completed, the weight store is assumed to be
        dimensioned for the number of hosts.

        Args:
          hosts: number of hosts of the region.
        """
        parallel = float(
            max(_DEFAULT_PARALLEL, hosts // _HOSTS_PER_PARALLEL_LOAD)
        )
        in_flight = self.count_in_flight()
        if len(self._samples) < _MIN_SAMPLES:
            return LoadTimes(_DEFAULT_SHARD_S, parallel, in_flight)
        shard_s = min(sample.length_s for sample in self._samples)
        slowed = [
            sample.shards * shard_s / sample.length_s
            for sample in self._samples
            if sample.length_s > _SLOWDOWN_FACTOR * shard_s
        ]
        if slowed:
            parallel = statistics.median(slowed)
        else:
            most = max(sample.shards for sample in self._samples)
            parallel = max(parallel, _PARALLEL_MARGIN * most)
        return LoadTimes(shard_s, max(1.0, parallel), in_flight)

    def _advance(self, now: float) -> None:
        if self._seen_at is not None:
            elapsed = max(0.0, now - self._seen_at)
            self._integral += elapsed * self.count_in_flight()
        self._seen_at = now

    def _record_change(
        self, group: GroupView, previous: GroupView | None, now: float
    ) -> None:
        """Records a change of one group."""
        load = self._loads.get(group.name)
        if group.phase != GroupPhase.LOADING:
            if load is not None:
                del self._loads[group.name]
                if group.phase == GroupPhase.SERVING:
                    self._finish(load, now)
            return
        if load is None or load.fence != group.fence:
            self._loads[group.name] = _Load(
                group.fence,
                _count_shards(group, previous),
                now,
                self._integral,
            )

    def _finish(self, load: _Load, now: float) -> None:
        length_s = now - load.started_at
        if length_s > 0:
            shards = (self._integral - load.shard_seconds_before) / length_s
            self._samples.append(_Sample(length_s, shards))


def _count_shards(group: GroupView, previous: GroupView | None) -> int:
    """Returns how many shards a group loads after a change."""
    if previous is None:
        return len(group.hosts)
    fresh = set(group.hosts).difference(previous.hosts)
    return max(1, len(fresh))
