"""How long a group takes until the first event of a request.

Load pattern: under load a request that is sent in the last moment of its
target is late all the same, and holds a slot that one which has just come
could use in time. How long a first event takes differs by model and load, so
it is learned from the requests that this node sent.
"""

from collections import deque
import statistics

KEPT = 32
"""First events of a model that are remembered."""

ENOUGH = 8
"""First events from which on they are gone by."""

PART_IN_TIME = 0.7
"""Part of the first events that come within what is expected."""

UNKNOWN_PART = 0.4
"""Part of the target that a first event is expected to take while too few are
known."""

LONGEST_PART = 0.7
"""Greatest part of the target that is expected: slow groups must not make all
requests count as late before they are sent."""


class FirstEvents:
    """Times from a send to the first event, by model."""

    def __init__(self) -> None:
        """Know of no event."""
        self._seen: dict[str, deque[float]] = {}

    def note(self, model: str, seconds: float) -> None:
        """Take how long a first event took."""
        seen = self._seen.setdefault(model, deque(maxlen=KEPT))
        seen.append(max(0.0, seconds))

    def expect(self, model: str, target_s: float) -> float:
        """Return how long a first event will take, in seconds.

        Args:
          model: model that is asked for, empty for a plain service.
          target_s: time to the first event that counts as on time.
        """
        seen = self._seen.get(model, ())
        if len(seen) < ENOUGH:
            return UNKNOWN_PART * target_s
        tenths = statistics.quantiles(seen, n=10)
        expected = tenths[round(PART_IN_TIME * 10) - 1]
        return min(LONGEST_PART * target_s, expected)
