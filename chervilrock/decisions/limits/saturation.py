"""Whether requests find no place, and for how long they may then wait."""

SATURATED_S = 5.0
"""Time for which a model counts as saturated after the last such request."""

BURST_S = 5.0
"""Time of saturation that is taken for a burst."""

GAP_S = 1.0
"""Greatest gap between requests without a place in such a time."""

STANDING_WAIT = 0.25
"""Share of the longest wait that is left after a burst."""


class Saturation:
    """Requests of one model that found no place."""

    def __init__(self) -> None:
        """Start without any."""
        self._since = float("-inf")
        self._last = float("-inf")

    def note(self, now: float) -> None:
        """Learn that a request found no place."""
        if now - self._last > GAP_S:
            self._since = now
        self._last = now

    def is_recent(self, now: float) -> bool:
        """Tell whether requests found no place lately."""
        return now - self._last < SATURATED_S

    def longest_wait(self, configured: float, now: float) -> float:
        """Return how long a request may wait in seconds.

        A queue should take up bursts. While requests have found no place for
        longer than a burst, it only delays every request, so it is made short.

        Args:
          configured: longest wait of the configuration.
          now: present time.
        """
        stands = now - self._last <= GAP_S and now - self._since >= BURST_S
        return configured * STANDING_WAIT if stands else configured
