"""Adaptive limit on the requests that a node has at one replica group.

Additive increase, multiplicative decrease. The sign of overload is a standing
queue: within an interval even the least queueing time of a first token is
above a target, or a load report shows requests that wait. The least time is
taken, since a long prompt or a prefix that is not cached delays single
requests of an idle group as well.

Every node sees the same standing queue, so all nodes lower their limits
together and raise them by the same step, which evens them out. The step and
the first limit are divided by the number of nodes, so that all together raise
the load of a group at the same pace whatever their number.
"""

INITIAL_LIMIT = 36.0
"""Requests at a group that all nodes together allow at first."""

INCREASE = 2.7
"""Step of all nodes together in an interval."""

MIN_LIMIT = 0.05
"""Less than one: a node among many has less than a place in each group."""

MAX_LIMIT = 256.0
DECREASE = 0.85
INTERVAL_S = 1.0
"""Time over which evidence is gathered before the limit changes."""

MIN_SAMPLES = 2
TARGET_QUEUEING_S = 0.2
"""Standing queue in seconds that is taken for overload."""

MAX_WAITING = 1
"""Requests that may wait at the engine before it is taken for overload."""


class GroupLimit:
    """Limit on the requests in flight from this node to one group."""

    def __init__(self, *, nodes: int, maximum: float = MAX_LIMIT) -> None:
        """Start with an equal part of the first limit of all nodes.

        Args:
          nodes: number of nodes that send requests.
          maximum: requests in flight allowed at most from all nodes.
        """
        self._nodes = nodes
        self._maximum = maximum
        self._limit = min(INITIAL_LIMIT, maximum) / nodes
        self._interval_end = 0.0
        self._least = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False

    @property
    def limit(self) -> float:
        """Requests in flight allowed now; not a whole number."""
        return self._limit

    def set_bounds(self, nodes: int, maximum: float) -> None:
        """Set the number of nodes and the maximum over all of them."""
        self._limit *= self._nodes / nodes
        self._nodes = nodes
        self._maximum = maximum
        self._limit = min(self._limit, maximum / nodes)

    def on_queueing(self, queueing: float) -> None:
        """Learn the time in seconds that a request waited at the engine."""
        self._least = min(self._least, queueing)
        self._samples += 1

    def on_load(self, waiting: int) -> None:
        """Learn from a load report how many requests wait."""
        if waiting > MAX_WAITING:
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
            raised = self._limit + INCREASE / self._nodes
            self._limit = min(self._maximum / self._nodes, raised)
        self._interval_end = now + INTERVAL_S
        self._least = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False
