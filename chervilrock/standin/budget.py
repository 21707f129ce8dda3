"""Rate limit of a stand-in: a token bucket."""


class Budget:
    """A token bucket that may go into debt for one large request."""

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Makes a full bucket.

        Args:
          rate: units added in a second.
          burst: units that the bucket holds.
          now: present time in seconds.
        """
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def take(self, amount: float, now: float) -> float:
        """Takes units when there are enough.

        A request for more than the bucket holds is granted when it is full.

        Args:
          amount: units wanted.
          now: present time in seconds.

        Returns:
          0 when granted, else the time to wait in seconds.
        """
        gained = (now - self._filled_at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._filled_at = now
        missing = min(amount, self._burst) - self._level
        if missing > 0:
            return missing / self._rate
        self._level -= amount
        return 0.0
