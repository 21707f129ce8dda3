"""Metrics of a region: groups, group downtime and stranded accelerators."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import (
    count_missing_groups,
    EndpointTable,
    list_stranded,
)
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry
from chervilrock.generated.records import GroupPhase
from chervilrock.metrics import Metrics

INTERVAL_S = 5.0
COUNTING_INTERVAL_S = 1.0
"""Interval at the node that counts for the region, the controller."""


class RegionSample(NamedTuple):
    """State of a region at one measurement.

    Attributes:
      region: folded state of the region
      presence: evidence of the hosts
      endpoints: groups that may get requests
      hosts: host list of the region, by name
      models: wanted models
      counts: whether this node counts for the region, which the controller does
    """

    region: RegionState
    presence: PresenceTable
    endpoints: EndpointTable
    hosts: Mapping[str, HostEntry]
    models: tuple[ModelSpec, ...]
    counts: bool


class RegionMeter:
    """Sets the gauges of a region and counts downtime and stranded time.

    The state of one measurement is counted until the next one, so a measurement
    is needed at every change of the serving groups.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Create a meter without a measurement."""
        self._metrics = metrics
        self._measured_at = 0.0
        self._counts = False
        self._stranded = 0
        self._missing: dict[str, int] = {}

    def is_due(self, now: float) -> bool:
        """Return whether a measurement is due even without a change."""
        interval_s = COUNTING_INTERVAL_S if self._counts else INTERVAL_S
        return now >= self._measured_at + interval_s

    def measure(self, sample: RegionSample, now: float) -> None:
        """Count the state since the last measurement and measure again."""
        if self._counts and sample.counts:
            self._count(now - self._measured_at)
        self._measured_at = now
        self._counts = sample.counts
        self._stranded = sum(
            entry["accelerators"]
            for entry in list_stranded(
                sample.endpoints.list_servable(),
                sample.presence,
                sample.hosts,
                now,
            )
        )
        serving = (timed.endpoint for timed in sample.endpoints.endpoints)
        self._missing = count_missing_groups(sample.models, serving)
        self._set_gauges(sample.region)

    def _count(self, elapsed_s: float) -> None:
        self._metrics.stranded_accelerator_seconds.inc(
            self._stranded * elapsed_s
        )
        for model, count in self._missing.items():
            self._metrics.count_downtime(model=model, seconds=count * elapsed_s)

    def _set_gauges(self, region: RegionState) -> None:
        phases = dict.fromkeys(GroupPhase, 0)
        for group in region.groups.values():
            phases[group.phase] += 1
        self._metrics.set_groups(phases)
        self._metrics.quarantined_hosts.set(len(region.quarantined))
        self._metrics.stranded_accelerators.set(self._stranded)
