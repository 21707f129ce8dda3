"""Groups that are slower than the others, and their way back.

A group is compared with the median of its peers, by two ratios that barely
depend on the requests: the time to the first token over the expected time,
and the time between tokens. It also counts as slow while one of its attempts
has given no token for far longer than expected, since a paused host sends
nothing that could be measured.

An ejected group gets single requests as probes, at growing intervals. It is
back when its probes are as fast as the others.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

FIRST_TOKEN_WEIGHT = 0.2
"""Weight of a new time to the first token in its moving mean."""

DECODING_MEMORY_S = 3.0
"""Time constant of the moving mean of the time between tokens.

A single long prompt slows the tokens of its group for about a second.
"""

MIN_SAMPLES = 4
SLOW_FIRST_TOKEN = 5.0
SLOW_DECODING = 3.0
"""Ratios to the median of all groups from which a group is ejected."""

FAST_FIRST_TOKEN = 1.4
FAST_DECODING = 1.0
"""Ratios to the median up to which a sample of a probe counts as fast.

An ejected group has few streams, and its tokens have to come faster than
those of the others.
"""

PROBES = 3
"""Fast samples in a row that bring a group back."""

MIN_EXPECTED_S = 0.001
SILENCE_S = 1.0
SILENCE_FACTOR = 5.0
"""An attempt is silent after this time and this multiple of the expected."""

FAILURES = 2
"""Failures in a row from which a group is ejected."""

MAX_EJECTED_SHARE = 0.34
"""Greatest share of the groups that is ejected at once."""

FIRST_PROBE_S = 1.0
MAX_PROBE_S = 8.0
SLOWNESS_MEMORY_S = 10.0
"""Time constant in which slowness that is not seen again is forgotten."""

CHECK_INTERVAL_S = 0.1
MEDIAN_INTERVAL_S = 0.1
FORGET_S = 60.0
"""Time after which a group without samples counts as unknown."""


class _Mean:
    """Exponentially weighted mean of a logarithm."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0
        self._updated = 0.0

    def observe(self, sample: float, weight: float) -> None:
        self.samples += 1
        weight = max(weight, 1.0 / self.samples)
        self.value += weight * (sample - self.value)

    def age(self, now: float) -> float:
        """Return the time since the last call in seconds."""
        age = max(0.0, now - self._updated)
        self._updated = now
        return age


class _Ejection(NamedTuple):
    next_probe: float
    interval: float
    fast_probes: int


class _Pending(NamedTuple):
    sent_at: float
    expected: float


class _Medians(NamedTuple):
    time: float
    first_token: float
    decoding: float


class _Group:
    def __init__(self) -> None:
        self.first_token = _Mean()
        self.decoding = _Mean()
        self.failures = 0
        self.pending: dict[str, _Pending] = {}
        self.ejection: _Ejection | None = None
        self.sampled_at = 0.0


class Stragglers:
    """Slowness of the groups, and which of them are ejected."""

    def __init__(self) -> None:
        """Start with no group known."""
        self._groups: dict[str, _Group] = {}
        self._known_medians = _Medians(float("-inf"), 0.0, 0.0)
        self._checked_at = float("-inf")

    def forget(self, group: str) -> None:
        """Forget a group, such as after a repair."""
        self._groups.pop(group, None)

    def on_sent(
        self, group: str, request_id: str, expected: float, now: float
    ) -> None:
        """Learn of an attempt with its expected time to the first token."""
        state = self._group(group)
        state.pending[request_id] = _Pending(now, expected)
        if state.ejection is not None:
            state.ejection = state.ejection._replace(
                next_probe=now + state.ejection.interval
            )

    def on_first_token(
        self, group: str, request_id: str, waited: float, now: float
    ) -> None:
        """Learn the time to a first token in seconds."""
        state = self._group(group)
        pending = state.pending.pop(request_id, None)
        state.failures = 0
        if pending is None:
            return
        sample = _log(waited / max(pending.expected, MIN_EXPECTED_S))
        self._refresh(state, now)
        state.first_token.observe(sample, FIRST_TOKEN_WEIGHT)
        difference = sample - self._medians(now).first_token
        if state.ejection is not None:
            self._judge_probe(state, difference, FAST_FIRST_TOKEN, now)
        elif self._is_slow(
            state.first_token, self._medians(now).first_token, SLOW_FIRST_TOKEN
        ):
            self._eject(state, now)

    def on_decoded(self, group: str, seconds: float, now: float) -> None:
        """Learn the time between tokens, a mean over a part of an answer."""
        state = self._group(group)
        sample = _log(seconds)
        self._refresh(state, now)
        age = state.decoding.age(now)
        weight = 1.0 - math.exp(-age / DECODING_MEMORY_S)
        state.decoding.observe(sample, weight)
        median = self._medians(now).decoding
        if state.ejection is not None:
            self._judge_probe(state, sample - median, FAST_DECODING, now)
        elif self._is_slow(state.decoding, median, SLOW_DECODING):
            self._eject(state, now)

    def on_end(self, group: str, request_id: str, ok: bool, now: float) -> None:
        """Learn that an attempt ended."""
        state = self._group(group)
        state.pending.pop(request_id, None)
        if ok:
            return
        state.failures += 1
        if state.failures >= FAILURES:
            self._eject(state, now)

    def slowness(self, group: str, now: float) -> float:
        """Return how many times slower than the median a group is.

        It goes back to 1 while there are no new samples, or a group that was
        slow once would get no request that could show the contrary.
        """
        state = self._groups.get(group)
        if state is None:
            return 1.0
        logarithm = 0.0
        if state.first_token.samples >= MIN_SAMPLES:
            logarithm = state.first_token.value - self._medians(now).first_token
        if state.decoding.samples >= MIN_SAMPLES:
            decoding = state.decoding.value - self._medians(now).decoding
            logarithm = max(logarithm, decoding)
        age = max(0.0, now - state.sampled_at)
        return math.exp(logarithm * math.exp(-age / SLOWNESS_MEMORY_S))

    def check(self, now: float) -> None:
        """Eject the groups with a silent attempt."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        usual = math.exp(max(0.0, self._medians(now).first_token))
        for state in self._groups.values():
            if state.ejection is None and _is_silent(state, usual, now):
                self._eject(state, now)

    def ejected(self) -> frozenset[str]:
        """Return the groups that are ejected now."""
        return frozenset(
            name
            for name, state in self._groups.items()
            if state.ejection is not None
        )

    def due_probes(self, now: float) -> list[str]:
        """Return the ejected groups that should get a request now."""
        return [
            name
            for name, state in self._groups.items()
            if state.ejection is not None
            and now >= state.ejection.next_probe
            and not state.pending
        ]

    def _group(self, group: str) -> _Group:
        if group not in self._groups:
            self._groups[group] = _Group()
        return self._groups[group]

    def _refresh(self, state: _Group, now: float) -> None:
        """Start anew after a long time without samples."""
        if now - state.sampled_at > FORGET_S:
            state.first_token = _Mean()
            state.decoding = _Mean()
        state.sampled_at = now

    def _is_slow(self, mean: _Mean, median: float, ratio: float) -> bool:
        if mean.samples < MIN_SAMPLES:
            return False
        return mean.value - median > math.log(ratio)

    def _judge_probe(
        self, state: _Group, difference: float, fast: float, now: float
    ) -> None:
        assert state.ejection is not None
        if difference > math.log(fast):
            interval = min(MAX_PROBE_S, state.ejection.interval * 2.0)
            state.ejection = _Ejection(now + interval, interval, 0)
            return
        probes = state.ejection.fast_probes + 1
        if probes < PROBES:
            state.ejection = state.ejection._replace(fast_probes=probes)
            return
        state.ejection = None
        state.first_token = _Mean()
        state.decoding = _Mean()

    def _eject(self, state: _Group, now: float) -> None:
        if state.ejection is not None:
            interval = min(MAX_PROBE_S, state.ejection.interval * 2.0)
            state.ejection = _Ejection(now + interval, interval, 0)
            return
        most = MAX_EJECTED_SHARE * len(self._groups)
        if len(self.ejected()) + 1 > most:
            return
        state.ejection = _Ejection(now + FIRST_PROBE_S, FIRST_PROBE_S, 0)

    def _medians(self, now: float) -> _Medians:
        """Return the medians over the groups, computed anew now and then."""
        if now - self._known_medians.time < MEDIAN_INTERVAL_S:
            return self._known_medians
        groups = self._groups.values()
        self._known_medians = _Medians(
            time=now,
            first_token=_median(each.first_token for each in groups),
            decoding=_median(each.decoding for each in groups),
        )
        return self._known_medians


def _median(means: Iterable[_Mean]) -> float:
    values = sorted(each.value for each in means if each.samples)
    if not values:
        return 0.0
    middle = len(values) // 2
    return (values[middle] + values[~middle]) / 2


def _is_silent(state: _Group, usual: float, now: float) -> bool:
    """Tell whether an attempt waits for its first token for far too long.

    Args:
      state: the group.
      usual: time to the first token over the expected one, at other groups.
      now: present time.
    """
    for pending in state.pending.values():
        limit = max(SILENCE_S, SILENCE_FACTOR * usual * pending.expected)
        if now - pending.sent_at > limit:
            return True
    return False


def _log(ratio: float) -> float:
    return math.log(max(ratio, 1e-6))
