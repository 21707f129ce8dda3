"""Adaptive limit on the requests that a node has at one replica group.

Additive increase, multiplicative decrease. The sign of overload is a
standing queue: the least queueing time among the last first tokens of a
group stays above a target. The least one is taken, since a long prompt or a
prefix that is not cached delays single requests of an idle group as well.
"""

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
INCREASE = 0.5
DECREASE = 0.85
SAMPLES = 6
"""First tokens after which the least queueing time counts."""

TARGET_QUEUEING_S = 0.15
"""Standing queue in seconds that is taken for overload."""

MIN_DECREASE_INTERVAL_S = 1.0


class GroupLimit:
    """Limit on the requests in flight from this node to one group."""

    def __init__(
        self, *, initial: float = INITIAL_LIMIT, maximum: float = MAX_LIMIT
    ) -> None:
        """Start with a limit.

        Args:
          initial: requests in flight allowed at first.
          maximum: requests in flight allowed at most.
        """
        self._limit = min(initial, maximum)
        self._maximum = maximum
        self._least = float("inf")
        self._samples = 0
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> float:
        """Requests in flight allowed now; not a whole number."""
        return self._limit

    def set_maximum(self, maximum: float) -> None:
        """Set the most requests in flight that may ever be allowed."""
        self._maximum = max(MIN_LIMIT, maximum)
        self._limit = min(self._limit, self._maximum)

    def on_queueing(self, queueing: float, saturated: bool, now: float) -> None:
        """Learn the queueing time of a request in seconds.

        Args:
          queueing: time in the queue of the engine.
          saturated: whether the node could use a greater limit.
          now: present time.
        """
        self._least = min(self._least, queueing)
        self._samples += 1
        if self._samples < SAMPLES:
            return
        if self._least > TARGET_QUEUEING_S:
            self.on_overload(now)
        elif saturated:
            self._increase()
        self._least = float("inf")
        self._samples = 0

    def on_overload(self, now: float) -> None:
        """Learn that the group is overloaded, such as from a refusal."""
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE)

    def _increase(self) -> None:
        self._limit = min(self._maximum, self._limit + INCREASE)
