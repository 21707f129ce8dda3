"""Which nodes callers are told to use.

Load pattern: a large installation has many more nodes than its traffic needs,
so that any of them may be lost. A node knows its own requests at once and those
of the others some tenths of a second later; with two requests a second at each
of 195 nodes it knows next to nothing of the groups by itself, and many nodes
choose the same group by the same old news. So callers are told of as many nodes
as the traffic needs with room to spare, and the others stand by.
"""

from collections import deque
from collections.abc import Iterable, Sequence

from chervilrock.decisions.serving.view import NodeEntry

LEAST_NODES = 4
"""Nodes of a data centre that callers are told of at least, so that the loss of
one of them cuts no more than a quarter of the streams there."""

REQUESTS_PER_CORE = 60
"""Requests at once for each core of a node: a request takes some 4 ms of a core
and lasts about a second, so that a node works for a quarter of its time."""

SPARE = 2.0
"""Room for a data centre that has more than its part of all requests."""

HOLD_S = 5.0
"""Time for which the greatest number of requests counts: callers give up
connections to nodes that they are no longer told of."""


class ActiveNodes:
    """Chooses the nodes that callers are told of."""

    def __init__(self) -> None:
        """Know of no requests yet."""
        self._seen: deque[tuple[float, int]] = deque()

    def choose(
        self,
        nodes: Iterable[NodeEntry],
        *,
        data_centre: str,
        leader: str | None,
        running: int,
        now: float,
    ) -> Sequence[NodeEntry]:
        """Return the nodes that callers of a data centre are told of.

        They are nodes of the same data centre, so that requests do not cross
        twice; of all when fewer than two are left there. Strong nodes come
        first, and the leader last, which has enough to do. The longer choice
        contains the shorter one, so that nodes whose news differ agree on most.

        Args:
          nodes: those that take callers.
          data_centre: where the caller stands.
          leader: name of the node that leads, None while it is not heard: then
            nobody tells which nodes live, and callers are told of all.
          running: requests of all nodes at present.
          now: present time.
        """
        everywhere = list(nodes)
        near = [one for one in everywhere if one.data_centre == data_centre]
        pool = near if len(near) > 1 else everywhere
        running = self._find_most(running, now)
        if leader is None:
            return pool
        # A relay is the first of the strongest by its name.
        pool.sort(key=lambda one: one.node, reverse=True)
        pool.sort(key=lambda one: (one.node == leader, -one.cores))
        places = len({one.data_centre for one in everywhere})
        share = running if pool is everywhere else running / places
        return pool[: _find_width(pool, SPARE * share)]

    def _find_most(self, running: int, now: float) -> int:
        """Return the greatest number of requests of the last seconds."""
        seen = self._seen
        while seen and seen[0][0] < now - HOLD_S:
            seen.popleft()
        while seen and seen[-1][1] <= running:
            seen.pop()
        seen.append((now, running))
        return seen[0][1]


def _find_width(ranked: Sequence[NodeEntry], requests: float) -> int:
    """Return how many nodes bear requests that are spread over them evenly."""
    width = LEAST_NODES
    while width < len(ranked):
        weakest = ranked[width - 1].cores
        if requests <= width * REQUESTS_PER_CORE * weakest:
            break
        width += 1
    return width
