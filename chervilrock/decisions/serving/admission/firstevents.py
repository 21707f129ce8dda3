"""Estimates how long a group takes until the first event of a request.

Load pattern: under load a request that is sent in the last moment of its
target is late all the same, and occupies a slot that a new request could use
in time. The time to the first event differs by model and load, so it is
estimated from the requests that this node sent.
"""

from collections import deque
import statistics

MAX_SAMPLES = 32
"""Recent first events of a model that are kept."""

MIN_SAMPLES = 8
"""First events of a model that an estimate needs."""

EXPECTED_QUANTILE = 0.7
"""Quantile of the times of first events that serves as the estimate."""

DEFAULT_TARGET_FRACTION = 0.4
"""Fraction of the target that a first event is expected to take while too few
are known."""

MAX_TARGET_FRACTION = 0.7
"""Upper bound of an estimate, as a fraction of the target: slow groups must not
make all requests count as late before they are sent."""


class FirstEventTimes:
    """Times from a send to the first event, by model."""

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._samples: dict[str, deque[float]] = {}

    def record(self, model: str, seconds: float) -> None:
        """Record how long a first event took."""
        samples = self._samples.setdefault(model, deque(maxlen=MAX_SAMPLES))
        samples.append(max(0.0, seconds))

    def estimate(self, model: str, target_s: float) -> float:
        """Return the estimated time to a first event in seconds.

        Args:
          model: model that is requested, empty for a plain service.
          target_s: time to the first event that counts as on time.
        """
        samples = self._samples.get(model, ())
        if len(samples) < MIN_SAMPLES:
            return DEFAULT_TARGET_FRACTION * target_s
        deciles = statistics.quantiles(samples, n=10)
        estimate_s = deciles[round(EXPECTED_QUANTILE * 10) - 1]
        return min(MAX_TARGET_FRACTION * target_s, estimate_s)
