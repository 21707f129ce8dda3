"""Adaptive limit on the requests that a node has at one replica group.

Additive increase, multiplicative decrease. The sign of overload is a standing
queue: within an interval even the least queueing time of a first token is
above a target, or the load report shows more requests that wait than the
batch will soon take. The least one is taken, since a long prompt or a prefix
that is not cached delays single requests of an idle group as well.

Every node sees the same standing queue, so all nodes lower their limits
together and raise them by the same step, which evens them out.
"""

INITIAL_LIMIT = 4.0
MIN_LIMIT = 0.1
"""Less than one: a node among many has less than a place in each group."""

MAX_LIMIT = 256.0
INCREASE = 0.3
DECREASE = 0.85
INTERVAL_S = 1.0
"""Time over which evidence is gathered before the limit changes."""

MIN_SAMPLES = 2
TARGET_QUEUEING_S = 0.2
"""Standing queue in seconds that is taken for overload."""

WAITING_SHARE = 0.1
"""Waiting requests for each running one that are taken for overload."""


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
        self._maximum = max(MIN_LIMIT, maximum)
        self._limit = min(initial, self._maximum)
        self._interval_end = 0.0
        self._least = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False

    @property
    def limit(self) -> float:
        """Requests in flight allowed now; not a whole number."""
        return self._limit

    def set_maximum(self, maximum: float) -> None:
        """Set the most requests in flight that may ever be allowed."""
        self._maximum = max(MIN_LIMIT, maximum)
        self._limit = min(self._limit, self._maximum)

    def on_queueing(self, queueing: float) -> None:
        """Learn the time in seconds that a request waited at the engine."""
        self._least = min(self._least, queueing)
        self._samples += 1

    def on_load(self, running: int, waiting: int) -> None:
        """Learn from a load report how many requests run and wait."""
        if waiting > 1 + running * WAITING_SHARE:
            self._overloaded = True

    def on_overload(self) -> None:
        """Learn that the group refused a request because of overload."""
        self._overloaded = True

    def on_saturated(self) -> None:
        """Learn that a request found no place because of the limits."""
        self._saturated = True

    def adjust(self, now: float) -> None:
        """Change the limit by the evidence, once in an interval."""
        if now < self._interval_end:
            return
        standing = (
            self._samples >= MIN_SAMPLES and self._least > TARGET_QUEUEING_S
        )
        if self._overloaded or standing:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE)
        elif self._saturated:
            self._limit = min(self._maximum, self._limit + INCREASE)
        self._interval_end = now + INTERVAL_S
        self._least = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False
