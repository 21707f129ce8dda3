"""Times of the peer exchange, which grow with the number of nodes.

The traffic of a node is proportional to the exchanges per second and to the
number of nodes, so larger systems exchange less often and wait longer before
they consider a node dead.
"""

from typing import NamedTuple

DOUBLING_NODES = 400
"""Number of nodes that doubles the interval."""

OVERDUE_INTERVALS = 3
DEAD_INTERVALS = 7
LATE_INTERVALS = 4
LOST_INTERVALS = 8
FRESH_INTERVALS = 4
FORGET_AFTER_S = 60.0
"""Time without a heartbeat after which a node is no longer listed."""

DROP_AFTER_S = 7200.0
"""Time without a heartbeat after which a local node is dropped."""


class PeerTiming(NamedTuple):
    """Times of the peer exchange in seconds.

    Attributes:
      interval_s: time between two exchanges that a node begins
      overdue_s: age of the last heartbeat at which a node is contacted directly
      dead_after_s: age of the last heartbeat at which a node of the own data
        centre is dead
      late_s: age of the last report at which a node of a data centre is
        contacted directly
      lost_after_s: age of the last report at which a data centre is lost
      fresh_s: maximum age of reports that are forwarded
    """

    interval_s: float
    overdue_s: float
    dead_after_s: float
    late_s: float
    lost_after_s: float
    fresh_s: float


def make_timing(interval_s: float, nodes: int) -> PeerTiming:
    """Return the times for a number of live nodes.

    Args:
      interval_s: interval of a small system, from the settings
      nodes: live nodes
    """
    interval = interval_s * (1.0 + nodes / DOUBLING_NODES)
    return PeerTiming(
        interval_s=interval,
        overdue_s=OVERDUE_INTERVALS * interval,
        dead_after_s=DEAD_INTERVALS * interval,
        late_s=LATE_INTERVALS * interval,
        lost_after_s=LOST_INTERVALS * interval,
        fresh_s=FRESH_INTERVALS * interval,
    )
