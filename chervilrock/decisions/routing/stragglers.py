"""Detection of straggling groups, their ejection and readmission.

A group is compared with the median of all groups by two measures that barely
depend on the requests: the ratio of the time to the first token to the
expected time, and the time between tokens. A group is also ejected while one
of its attempts has waited for its first token far longer than expected, since
a paused host sends nothing that could be measured.

An ejected group receives single requests as probes, at intervals that double
up to a limit. It is readmitted when its probes are as fast as the requests at
other groups.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

FIRST_TOKEN_WEIGHT = 0.2
"""Least weight of a new time to the first token in its moving mean."""

DECODING_TIME_CONSTANT_S = 3.0
"""Time constant of the moving mean of the time between tokens.

A single long prompt slows the decoding of its group for about a second.
"""

MIN_SAMPLES = 4
SLOW_FIRST_TOKEN_RATIO = 5.0
SLOW_DECODING_RATIO = 3.0
"""Ratios to the median of all groups above which a group is ejected."""

FAST_FIRST_TOKEN_RATIO = 1.4
FAST_DECODING_RATIO = 1.0
"""Ratios to the median up to which a sample of a probe counts as fast.

An ejected group has few attempts in progress, so its tokens have to come at
least as fast as the median.
"""

FAST_SAMPLES_TO_READMIT = 3
"""Consecutive fast samples after which a group is readmitted."""

MIN_EXPECTED_S = 0.001
MIN_STALL_S = 1.0
STALL_FACTOR = 5.0
"""An attempt is stalled when its first token takes longer than both bounds.

The factor is a multiple of the expected time to the first token.
"""

FAILURES_TO_EJECT = 2
"""Consecutive failures from which a group is ejected."""

MAX_EJECTED_SHARE = 0.34
"""Greatest share of the groups that may be ejected at the same time."""

FIRST_PROBE_S = 1.0
MAX_PROBE_S = 8.0
SLOWNESS_TIME_CONSTANT_S = 10.0
"""Time constant with which slowness decays while no new sample comes."""

CHECK_INTERVAL_S = 0.1
MEDIAN_INTERVAL_S = 0.1
SAMPLE_LIFETIME_S = 60.0
"""Time without samples after which the earlier samples are discarded."""


class _LogMean:
    """Exponentially weighted moving mean of a logarithm."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0
        self._updated_at = 0.0

    def observe(self, sample: float, weight: float) -> None:
        self.samples += 1
        weight = max(weight, 1.0 / self.samples)
        self.value += weight * (sample - self.value)

    def age(self, now: float) -> float:
        """Return the time since the last call in seconds."""
        age = max(0.0, now - self._updated_at)
        self._updated_at = now
        return age


class _Ejection(NamedTuple):
    next_probe_at: float
    interval_s: float
    fast_samples: int


class _PendingAttempt(NamedTuple):
    sent_at: float
    expected_s: float


class _Medians(NamedTuple):
    computed_at: float
    first_token: float
    decoding: float


class _GroupStats:
    def __init__(self) -> None:
        self.first_token = _LogMean()
        self.decoding = _LogMean()
        self.failures = 0
        self.pending: dict[str, _PendingAttempt] = {}
        self.ejection: _Ejection | None = None
        self.sampled_at = 0.0


class StragglerDetector:
    """Measures the slowness of the groups and ejects the stragglers."""

    def __init__(self) -> None:
        """Create a detector without data on any group."""
        self._groups: dict[str, _GroupStats] = {}
        self._cached_medians = _Medians(float("-inf"), 0.0, 0.0)
        self._checked_at = float("-inf")

    def forget(self, group: str) -> None:
        """Discard the data on a group, such as after a repair."""
        self._groups.pop(group, None)

    def on_sent(
        self, group: str, request_id: str, expected_s: float, now: float
    ) -> None:
        """Record an attempt and its expected time to the first token."""
        state = self._get_stats(group)
        state.pending[request_id] = _PendingAttempt(now, expected_s)
        if state.ejection is not None:
            state.ejection = state.ejection._replace(
                next_probe_at=now + state.ejection.interval_s
            )

    def on_first_token(
        self, group: str, request_id: str, waited_s: float, now: float
    ) -> None:
        """Record the time to the first token of an attempt, in seconds."""
        state = self._get_stats(group)
        pending = state.pending.pop(request_id, None)
        state.failures = 0
        if pending is None:
            return
        sample = _log(waited_s / max(pending.expected_s, MIN_EXPECTED_S))
        self._start_sample(state, now)
        state.first_token.observe(sample, FIRST_TOKEN_WEIGHT)
        log_ratio = sample - self._medians(now).first_token
        if state.ejection is not None:
            self._evaluate_probe(state, log_ratio, FAST_FIRST_TOKEN_RATIO, now)
        elif self._is_slow(
            state.first_token,
            self._medians(now).first_token,
            SLOW_FIRST_TOKEN_RATIO,
        ):
            self._eject(state, now)

    def on_decoded(self, group: str, s_per_token: float, now: float) -> None:
        """Record the mean time between tokens over a part of an answer."""
        state = self._get_stats(group)
        sample = _log(s_per_token)
        self._start_sample(state, now)
        age = state.decoding.age(now)
        weight = 1.0 - math.exp(-age / DECODING_TIME_CONSTANT_S)
        state.decoding.observe(sample, weight)
        median = self._medians(now).decoding
        if state.ejection is not None:
            self._evaluate_probe(
                state, sample - median, FAST_DECODING_RATIO, now
            )
        elif self._is_slow(state.decoding, median, SLOW_DECODING_RATIO):
            self._eject(state, now)

    def on_end(self, group: str, request_id: str, ok: bool, now: float) -> None:
        """Record the end of an attempt, and whether the group completed it."""
        state = self._get_stats(group)
        state.pending.pop(request_id, None)
        if ok:
            return
        state.failures += 1
        if state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now)

    def slowness(self, group: str, now: float) -> float:
        """Return the slowness of a group as a multiple of the median.

        It decays to 1 while no new samples come. Otherwise a group that was
        slow once would receive no request that could show its recovery.
        """
        state = self._groups.get(group)
        if state is None:
            return 1.0
        log_ratio = 0.0
        if state.first_token.samples >= MIN_SAMPLES:
            log_ratio = state.first_token.value - self._medians(now).first_token
        if state.decoding.samples >= MIN_SAMPLES:
            decoding = state.decoding.value - self._medians(now).decoding
            log_ratio = max(log_ratio, decoding)
        age = max(0.0, now - state.sampled_at)
        return math.exp(log_ratio * math.exp(-age / SLOWNESS_TIME_CONSTANT_S))

    def check(self, now: float) -> None:
        """Eject the groups with a stalled attempt."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        median_ratio = math.exp(max(0.0, self._medians(now).first_token))
        for state in self._groups.values():
            if state.ejection is None and _is_stalled(state, median_ratio, now):
                self._eject(state, now)

    def ejected(self) -> frozenset[str]:
        """Return the groups that are ejected now."""
        return frozenset(
            name
            for name, state in self._groups.items()
            if state.ejection is not None
        )

    def due_probes(self, now: float) -> list[str]:
        """Return the ejected groups that are due for a probe."""
        return [
            name
            for name, state in self._groups.items()
            if state.ejection is not None
            and now >= state.ejection.next_probe_at
            and not state.pending
        ]

    def _get_stats(self, group: str) -> _GroupStats:
        if group not in self._groups:
            self._groups[group] = _GroupStats()
        return self._groups[group]

    def _start_sample(self, state: _GroupStats, now: float) -> None:
        """Record the time of a sample, and discard outdated means."""
        if now - state.sampled_at > SAMPLE_LIFETIME_S:
            state.first_token = _LogMean()
            state.decoding = _LogMean()
        state.sampled_at = now

    def _is_slow(self, mean: _LogMean, median: float, ratio: float) -> bool:
        if mean.samples < MIN_SAMPLES:
            return False
        return mean.value - median > math.log(ratio)

    def _evaluate_probe(
        self,
        state: _GroupStats,
        log_ratio: float,
        fast_ratio: float,
        now: float,
    ) -> None:
        assert state.ejection is not None
        if log_ratio > math.log(fast_ratio):
            interval_s = min(MAX_PROBE_S, state.ejection.interval_s * 2.0)
            state.ejection = _Ejection(now + interval_s, interval_s, 0)
            return
        fast_samples = state.ejection.fast_samples + 1
        if fast_samples < FAST_SAMPLES_TO_READMIT:
            state.ejection = state.ejection._replace(fast_samples=fast_samples)
            return
        state.ejection = None
        state.first_token = _LogMean()
        state.decoding = _LogMean()

    def _eject(self, state: _GroupStats, now: float) -> None:
        if state.ejection is not None:
            interval_s = min(MAX_PROBE_S, state.ejection.interval_s * 2.0)
            state.ejection = _Ejection(now + interval_s, interval_s, 0)
            return
        max_ejected = MAX_EJECTED_SHARE * len(self._groups)
        if len(self.ejected()) + 1 > max_ejected:
            return
        state.ejection = _Ejection(now + FIRST_PROBE_S, FIRST_PROBE_S, 0)

    def _medians(self, now: float) -> _Medians:
        """Return the medians of all groups, cached for `MEDIAN_INTERVAL_S`."""
        if now - self._cached_medians.computed_at < MEDIAN_INTERVAL_S:
            return self._cached_medians
        groups = self._groups.values()
        self._cached_medians = _Medians(
            computed_at=now,
            first_token=_median(stats.first_token for stats in groups),
            decoding=_median(stats.decoding for stats in groups),
        )
        return self._cached_medians


def _median(means: Iterable[_LogMean]) -> float:
    values = sorted(stats.value for stats in means if stats.samples)
    if not values:
        return 0.0
    middle = len(values) // 2
    return (values[middle] + values[~middle]) / 2


def _is_stalled(state: _GroupStats, median_ratio: float, now: float) -> bool:
    """Return whether an attempt waits for its first token for far too long.

    Args:
      state: statistics and pending attempts of the group.
      median_ratio: median ratio of the time to the first token to the
        expected time, at least 1.
      now: present time.
    """
    for pending in state.pending.values():
        limit_s = max(
            MIN_STALL_S, STALL_FACTOR * median_ratio * pending.expected_s
        )
        if now - pending.sent_at > limit_s:
            return True
    return False


def _log(ratio: float) -> float:
    return math.log(max(ratio, 1e-6))
