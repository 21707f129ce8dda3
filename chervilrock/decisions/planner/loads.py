"""How fast shards load, learnt from groups that loaded."""

from collections import deque
from collections.abc import Iterable
import statistics
from typing import NamedTuple

from chervilrock.decisions.actions import GroupView
from chervilrock.decisions.planner.estimates import LoadTimes
from chervilrock.generated.records import GroupPhase

_REMEMBERED = 32
_LEAST_SAMPLES = 3
_SLOWED = 1.3
_GROWTH = 2.0
_DEFAULT_SHARD_S = 180.0
_DEFAULT_PARALLEL = 8
_HOSTS_PER_LOAD = 8


class _Load(NamedTuple):
    """A group that loads.

    Attributes:
      fence: fencing number under which it loads
      shards: shards that it loads
      since: time at which it began, in seconds
      before: integral of the shards in flight until then, in shard-seconds
    """

    fence: int
    shards: int
    since: float
    before: float


class _Sample(NamedTuple):
    """A load that ended well.

    Attributes:
      length: its time in seconds
      shards: shards in flight meanwhile, on average
    """

    length: float
    shards: float


class LoadHistory:
    """Times that groups took to load, against the load on the weight store."""

    def __init__(self) -> None:
        self._known: dict[str, GroupView] = {}
        self._loads: dict[str, _Load] = {}
        self._samples: deque[_Sample] = deque(maxlen=_REMEMBERED)
        self._integral = 0.0
        self._seen_at: float | None = None

    def observe(self, groups: Iterable[GroupView], now: float) -> None:
        """Notes which groups load and which have loaded.

        Args:
          groups: every group of the region.
          now: present time in seconds.
        """
        self._advance(now)
        before = self._known
        self._known = {group.name: group for group in groups}
        for name in [name for name in self._loads if name not in self._known]:
            del self._loads[name]
        for group in self._known.values():
            if before.get(group.name) != group:
                self._note(group, before.get(group.name), now)

    def count_in_flight(self) -> int:
        """Returns how many shards load now."""
        return sum(load.shards for load in self._loads.values())

    def estimate(self, hosts: int) -> LoadTimes:
        """Returns how fast shards load.

        Until enough loads were seen, it assumes a weight store that was made
        for the number of hosts.

        Args:
          hosts: number of hosts of the region.
        """
        parallel = float(max(_DEFAULT_PARALLEL, hosts // _HOSTS_PER_LOAD))
        in_flight = self.count_in_flight()
        if len(self._samples) < _LEAST_SAMPLES:
            return LoadTimes(_DEFAULT_SHARD_S, parallel, in_flight)
        shard_s = min(sample.length for sample in self._samples)
        slowed = [
            sample.shards * shard_s / sample.length
            for sample in self._samples
            if sample.length > _SLOWED * shard_s
        ]
        if slowed:
            parallel = statistics.median(slowed)
        else:
            most = max(sample.shards for sample in self._samples)
            parallel = max(parallel, _GROWTH * most)
        return LoadTimes(shard_s, max(1.0, parallel), in_flight)

    def _advance(self, now: float) -> None:
        if self._seen_at is not None:
            elapsed = max(0.0, now - self._seen_at)
            self._integral += elapsed * self.count_in_flight()
        self._seen_at = now

    def _note(
        self, group: GroupView, before: GroupView | None, now: float
    ) -> None:
        """Notes a change of one group."""
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
                _count_shards(group, before),
                now,
                self._integral,
            )

    def _finish(self, load: _Load, now: float) -> None:
        length = now - load.since
        if length > 0:
            shards = (self._integral - load.before) / length
            self._samples.append(_Sample(length, shards))


def _count_shards(group: GroupView, before: GroupView | None) -> int:
    """Returns how many shards a group loads after a change."""
    if before is None:
        return len(group.hosts)
    fresh = set(group.hosts).difference(before.hosts)
    return max(1, len(fresh))
