"""Which nodes are announced to callers.

Load pattern: a large installation has many more nodes than its traffic needs,
so that any of them may be lost. A node knows its own requests at once and those
of the others some tenths of a second later. With two requests a second at each
of 195 nodes its own requests say almost nothing about the load of the
groups, and many nodes choose the same group on the same outdated loads. Callers
therefore get as many nodes as the traffic needs, with headroom, and the others
stand by.
"""

from collections import deque
from collections.abc import Iterable, Sequence

from chervilrock.decisions.serving.view import NodeEntry

MIN_ACTIVE_NODES = 4
"""Least number of nodes of a data centre that callers get, so that the loss of
one node interrupts no more than a quarter of the streams there."""

REQUESTS_PER_CORE = 60
"""Concurrent requests for each core of a node. A request takes some 4 ms of a
core and lasts about a second, so that a core is busy for a quarter of the
time."""

HEADROOM = 2.0
"""Factor for data centres with more than an equal share of all requests."""

PEAK_WINDOW_S = 5.0
"""Time for which a peak of requests counts. Callers close connections to nodes
that they no longer get, so the list must not shrink at once."""


class ActiveNodes:
    """Chooses the nodes that are announced to callers."""

    def __init__(self) -> None:
        """Create a chooser without recorded requests."""
        self._recent_counts: deque[tuple[float, int]] = deque()

    def choose(
        self,
        nodes: Iterable[NodeEntry],
        *,
        data_centre: str,
        leader: str | None,
        running: int,
        now: float,
    ) -> Sequence[NodeEntry]:
        """Return the nodes that are announced to callers of a data centre.

        They are nodes of the same data centre, so that requests do not cross
        between data centres twice, or of all data centres if fewer than two
        are left there. Nodes with more cores come first and the leader last,
        since it has other work. A longer choice contains a shorter one, so
        that nodes with different load figures agree on most of the list.

        Args:
          nodes: nodes that accept callers.
          data_centre: data centre of the caller.
          leader: name of the leader, None without contact to it: it is then
            unknown which nodes live, and callers get all of them.
          running: number of requests of all nodes at present.
          now: current time.
        """
        all_nodes = list(nodes)
        near = [node for node in all_nodes if node.data_centre == data_centre]
        candidates = near if len(near) > 1 else all_nodes
        running = self._find_peak(running, now)
        if leader is None:
            return candidates
        # The relay is the first by name of the strongest nodes, so it comes
        # after the other nodes with as many cores.
        candidates.sort(key=lambda node: node.node, reverse=True)
        candidates.sort(key=lambda node: (node.node == leader, -node.cores))
        data_centres = len({node.data_centre for node in all_nodes})
        share = running if candidates is all_nodes else running / data_centres
        return candidates[: _count_needed_nodes(candidates, HEADROOM * share)]

    def _find_peak(self, running: int, now: float) -> int:
        """Return the peak number of requests of the last seconds."""
        counts = self._recent_counts
        while counts and counts[0][0] < now - PEAK_WINDOW_S:
            counts.popleft()
        while counts and counts[-1][1] <= running:
            counts.pop()
        counts.append((now, running))
        return counts[0][1]


def _count_needed_nodes(
    ranked_nodes: Sequence[NodeEntry], requests: float
) -> int:
    """Return how many nodes are needed for requests that are spread evenly."""
    count = MIN_ACTIVE_NODES
    while count < len(ranked_nodes):
        weakest = ranked_nodes[count - 1].cores
        if requests <= count * REQUESTS_PER_CORE * weakest:
            break
        count += 1
    return count
