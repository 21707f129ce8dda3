"""Adaptive limit on the requests of a node in flight at one replica group.

Additive increase, multiplicative decrease (AIMD). A standing queue indicates
overload: the minimum queueing time of first tokens within an interval exceeds
a target, or a load report shows waiting requests. The minimum is used because
a long prompt or a prefix that is not cached delays single requests of an idle
group too.

All nodes see the same standing queue, so they lower their limits together and
raise them by the same step, which makes the limits converge. The step and the
initial limit are divided by the number of nodes, so that the load of a group
rises at the same rate whatever the number of nodes.
"""

INITIAL_LIMIT = 36.0
"""Initial number of requests at a group over all nodes."""

INCREASE_STEP = 2.7
"""Increase over all nodes, in requests per interval."""

MIN_LIMIT = 0.05
"""Minimum limit of a node.

It is below 1 because a node among many has less than one slot in each group.
"""

MAX_LIMIT = 256.0
DECREASE_FACTOR = 0.85
ADJUST_INTERVAL_S = 1.0
"""Time over which samples are collected before the limit changes."""

MIN_SAMPLES = 2
TARGET_QUEUEING_S = 0.2
"""Minimum queueing time above which a group counts as overloaded."""

MAX_ENGINE_WAITING = 1
"""Requests waiting at the engine above which it counts as overloaded."""


class GroupLimit:
    """Limit on the requests in flight from this node to one group."""

    def __init__(self, *, nodes: int, maximum: float = MAX_LIMIT) -> None:
        """Create a limit with an equal part of the initial limit of all nodes.

        Args:
          nodes: number of nodes that send requests.
          maximum: maximum requests in flight from all nodes.
        """
        self._nodes = nodes
        self._maximum = maximum
        self._limit = min(INITIAL_LIMIT, maximum) / nodes
        self._interval_end = 0.0
        self._min_queueing_s = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False

    @property
    def limit(self) -> float:
        """Requests in flight allowed now, not rounded to an integer."""
        return self._limit

    def set_bounds(self, nodes: int, maximum: float) -> None:
        """Set the number of nodes and the maximum over all nodes."""
        self._limit *= self._nodes / nodes
        self._nodes = nodes
        self._maximum = maximum
        self._limit = min(self._limit, maximum / nodes)

    def on_queueing(self, queueing_s: float) -> None:
        """Record the time in seconds that a request waited at the engine."""
        self._min_queueing_s = min(self._min_queueing_s, queueing_s)
        self._samples += 1

    def on_load(self, waiting: int) -> None:
        """Record how many requests wait according to a load report."""
        if waiting > MAX_ENGINE_WAITING:
            self._overloaded = True

    def on_overload(self) -> None:
        """Record that the group rejected a request because of overload."""
        self._overloaded = True

    def on_saturated(self) -> None:
        """Record that a request got no slot because of the limits."""
        self._saturated = True

    def adjust(self, now: float) -> None:
        """Adjust the limit from the recorded samples, once per interval."""
        if now < self._interval_end:
            return
        has_standing_queue = (
            self._samples >= MIN_SAMPLES
            and self._min_queueing_s > TARGET_QUEUEING_S
        )
        if self._overloaded or has_standing_queue:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        elif self._saturated:
            raised = self._limit + INCREASE_STEP / self._nodes
            self._limit = min(self._maximum / self._nodes, raised)
        self._interval_end = now + ADJUST_INTERVAL_S
        self._min_queueing_s = float("inf")
        self._samples = 0
        self._overloaded = False
        self._saturated = False
