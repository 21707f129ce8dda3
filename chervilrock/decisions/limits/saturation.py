"""Saturation of a model, and how long requests may wait under it."""

SATURATED_S = 5.0
"""Time after a request without a slot for which a model is saturated."""

BURST_S = 5.0
"""Duration of saturation up to which it counts as a burst."""

MAX_GAP_S = 1.0
"""Maximum gap between requests without a slot in one saturated period."""

SATURATED_WAIT_SHARE = 0.25
"""Fraction of the maximum wait that applies after a burst."""


class Saturation:
    """Tracks the times at which requests of one model got no slot."""

    def __init__(self) -> None:
        """Create a tracker for a model that is not saturated."""
        self._since = float("-inf")
        self._last = float("-inf")

    def record(self, now: float) -> None:
        """Record that a request got no slot."""
        if now - self._last > MAX_GAP_S:
            self._since = now
        self._last = now

    def is_recent(self, now: float) -> bool:
        """Return whether a request got no slot recently."""
        return now - self._last < SATURATED_S

    def longest_wait(self, configured: float, now: float) -> float:
        """Return the maximum wait of a request in seconds.

        A queue should absorb bursts. Under saturation that outlasts a burst,
        it only delays every request, so the wait is shortened.

        Args:
          configured: maximum wait of the configuration in seconds.
          now: present time.
        """
        is_standing = (
            now - self._last <= MAX_GAP_S and now - self._since >= BURST_S
        )
        return configured * SATURATED_WAIT_SHARE if is_standing else configured
