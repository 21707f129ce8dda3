"""Token bucket that limits the rate of a stand-in."""


class Budget:
    """A token bucket whose level may go negative for one large request."""

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Creates a full bucket.

        Args:
          rate: units refilled per second.
          burst: capacity of the bucket in units.
          now: current time in seconds.
        """
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def take(self, amount: float, now: float) -> float:
        """Consumes units if there are enough.

        A request for more than the capacity is granted when the bucket is full.

        Args:
          amount: units requested.
          now: current time in seconds.

        Returns:
          0 when granted, otherwise the time to wait in seconds.
        """
        refilled = (now - self._filled_at) * self._rate
        self._level = min(self._burst, self._level + refilled)
        self._filled_at = now
        missing = min(amount, self._burst) - self._level
        if missing > 0:
            return missing / self._rate
        self._level -= amount
        return 0.0
