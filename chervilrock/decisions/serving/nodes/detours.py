"""Which other node sends a request of a node that reaches no server."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from chervilrock.decisions.serving.view import NodeEntry

if TYPE_CHECKING:
    import random

MAX_DETOURS = 3
"""Nodes that are tried for one request. Those that were cut off at the same
time are listed until the leader has heard of it."""

MIN_RETRY_AFTER_S = 0.5
RETRY_AFTER_SPREAD_S = 1.0
"""When callers are asked to retry where no node reaches servers: from the least
time on, spread, so that they do not all return at once."""

MIN_NEAR_NODES = 2
"""Nodes of the own data centre from which on the others are left out, as for
callers: a single one would get the requests of all the others there."""


def choose_detour(
    nodes: Iterable[NodeEntry],
    *,
    own: NodeEntry,
    tried: frozenset[str],
    generator: "random.Random",
) -> NodeEntry | None:
    """Return a node that may reach servers, None if all were tried.

    Args:
      nodes: nodes that callers are directed to.
      own: this node.
      tried: names of nodes that were tried already.
      generator: draws one of the nodes.
    """
    others = [node for node in nodes if node.node != own.node]
    near = [node for node in others if node.data_centre == own.data_centre]
    candidates = near if len(near) >= MIN_NEAR_NODES else others
    untried = [node for node in candidates if node.node not in tried]
    if not untried:
        untried = [node for node in others if node.node not in tried]
    return generator.choice(untried) if untried else None


def find_retry_after(draw: float) -> float:
    """Return after how many seconds a caller that no node can serve retries.

    Args:
      draw: random number from 0 to 1.
    """
    return MIN_RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * draw
