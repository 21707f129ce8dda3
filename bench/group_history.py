"""Fault histories for the bench of replica groups.

The history was fixed before any planner was measured, and is the same for
every planner of a run. Rates come from what the users expect at their target
(for 12,000 hosts a day: 100 failures, 2,800 restarts or replacements; a
data centre once or twice a year), taken per host. Domain outages are taken
more often than the one a week of the whole target, so that some occur.

* A failed host comes back repaired after 4 hours in the median (log-normal,
  minutes to days).
* Of the planned removals four in five are restarts (8 minutes in the median),
  the others replacements (an hour in the median). Seven in ten are announced
  2 to 10 minutes ahead; the others just happen.
* A paused host keeps its shard and resumes after 20 s in the median, with a
  long tail; it is powered all the time.
* A dark domain takes all its hosts at once, for half an hour in the median;
  a dark data centre all its domains, for an hour.

A host that was down has lost its shard.
"""

from collections.abc import Iterator
import enum
import math
import random
from typing import NamedTuple

from chervilrock.generated.interfaces import HostEntry

DAY_S = 86_400.0
FAILURES_PER_DAY = 100 / 12_000
PLANNED_PER_DAY = 2_800 / 12_000
PAUSES_PER_DAY = 0.1
DOMAIN_OUTAGES_PER_DAY = 1 / 180
DATA_CENTRE_OUTAGES_PER_DAY = 1.5 / 365 / 3
RESTART_SHARE = 0.8
ANNOUNCED_SHARE = 0.7
NOTICE_S = (120.0, 600.0)
SHORTEST_S = 1.0


class Duration(NamedTuple):
    """A log-normal distribution of durations.

    Attributes:
      median_s: median in seconds
      sigma: standard deviation of the logarithm
    """

    median_s: float
    sigma: float

    def draw(self, generator: random.Random) -> float:
        """Returns a duration in seconds."""
        return max(
            SHORTEST_S,
            generator.lognormvariate(math.log(self.median_s), self.sigma),
        )


FAILURE = Duration(4 * 3600.0, 1.2)
RESTART = Duration(480.0, 0.5)
REPLACEMENT = Duration(3600.0, 0.8)
PAUSE = Duration(20.0, 1.2)
DOMAIN_OUTAGE = Duration(1800.0, 1.0)
DATA_CENTRE_OUTAGE = Duration(3600.0, 0.7)


class FaultKind(enum.StrEnum):
    """What happens to a host."""

    DOWN = "down"
    UP = "up"
    PAUSED = "paused"
    RESUMED = "resumed"
    LEAVING = "leaving"


class Fault(NamedTuple):
    """One change of the state of a host.

    Attributes:
      time: time in seconds from the start
      kind: what happens
      host: name of the host
    """

    time: float
    kind: FaultKind
    host: str


def make_history(
    hosts: tuple[HostEntry, ...], days: float, seed: int
) -> list[Fault]:
    """Returns the faults of some days in the order of time."""
    generator = random.Random(seed)
    faults: list[Fault] = []
    for host in hosts:
        faults.extend(_make_host_faults(host["host"], days, generator))
    domains = sorted({(host["data_centre"], host["domain"]) for host in hosts})
    for domain in domains:
        names = [
            host["host"]
            for host in hosts
            if (host["data_centre"], host["domain"]) == domain
        ]
        for start in _draw_times(DOMAIN_OUTAGES_PER_DAY, days, generator):
            faults.extend(_make_outage(names, start, DOMAIN_OUTAGE, generator))
    for data_centre in sorted({host["data_centre"] for host in hosts}):
        names = [
            host["host"] for host in hosts if host["data_centre"] == data_centre
        ]
        for start in _draw_times(DATA_CENTRE_OUTAGES_PER_DAY, days, generator):
            faults.extend(
                _make_outage(names, start, DATA_CENTRE_OUTAGE, generator)
            )
    return sorted(faults)


def _make_host_faults(
    host: str, days: float, generator: random.Random
) -> Iterator[Fault]:
    for start in _draw_times(FAILURES_PER_DAY, days, generator):
        yield from _make_absence(host, start, FAILURE.draw(generator))
    for start in _draw_times(PLANNED_PER_DAY, days, generator):
        restart = generator.random() < RESTART_SHARE
        duration = RESTART if restart else REPLACEMENT
        if generator.random() < ANNOUNCED_SHARE:
            notice_s = generator.uniform(*NOTICE_S)
            yield Fault(max(0.0, start - notice_s), FaultKind.LEAVING, host)
        yield from _make_absence(host, start, duration.draw(generator))
    for start in _draw_times(PAUSES_PER_DAY, days, generator):
        yield Fault(start, FaultKind.PAUSED, host)
        end = start + PAUSE.draw(generator)
        yield Fault(end, FaultKind.RESUMED, host)


def _make_absence(host: str, start: float, length: float) -> Iterator[Fault]:
    yield Fault(start, FaultKind.DOWN, host)
    yield Fault(start + length, FaultKind.UP, host)


def _make_outage(
    hosts: list[str],
    start: float,
    duration: Duration,
    generator: random.Random,
) -> Iterator[Fault]:
    """Takes hosts down together; they come back within two minutes."""
    length = duration.draw(generator)
    for host in hosts:
        late = generator.uniform(0.0, 120.0)
        yield from _make_absence(host, start, length + late)


def _draw_times(
    per_day: float, days: float, generator: random.Random
) -> Iterator[float]:
    time = generator.expovariate(per_day / DAY_S)
    while time < days * DAY_S:
        yield time
        time += generator.expovariate(per_day / DAY_S)
