"""Selection of the node addresses that callers should use.

Callers cache the answer, some for a long time, and many always use the first
address. The order is therefore random for each answer, weighted by spare
capacity, and an answer contains nodes of several data centres, so that a
caller still has an address when its data centre is lost. A node that leaves
is first omitted from the answers and then waits until cached ones expire.
"""

import math
from typing import TYPE_CHECKING

from chervilrock.generated.interfaces import (
    AddressAnswer,
    AddressEntry,
    NodePhase,
    PeerNode,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

FULL_WEIGHT = 100
MIN_WEIGHT = 1
FULL_LOAD = 1.0

MAX_ADDRESSES = 16
"""Maximum number of addresses in an answer."""

MAX_NEAR = 12
"""Maximum number of addresses of the caller's data centre, if others exist."""

SPILL_SPARE = 0.2
"""Mean spare capacity of a data centre below which callers spill over."""

MAX_DRAWN = 24
"""Maximum sample of nodes of other data centres, per same or other region."""

REGION_DIVISOR = 20.0
"""Factor by which nodes of another region are drawn less often."""


def weigh_node(load: float) -> int:
    """Return the weight for new callers of a node with this load."""
    spare = 1.0 - min(max(load, 0.0), FULL_LOAD)
    return max(MIN_WEIGHT, round(FULL_WEIGHT * spare))


def answer_addresses(
    live: "Sequence[PeerNode]",
    *,
    own: PeerNode,
    data_centre: str,
    ttl_s: float,
    generator: "random.Random",
) -> AddressAnswer:
    """Return the addresses for a caller in the order to try them.

    The answer is never empty: without any serving node it contains the
    answering node.

    Args:
      live: the live nodes
      own: the entry of the answering node
      data_centre: data centre of the caller
      ttl_s: time to live of the answer in seconds
      generator: the source of randomness for the order
    """
    serving = [peer for peer in live if peer.phase == NodePhase.SERVING]
    near = [peer for peer in serving if peer.data_centre == data_centre]
    region = near[0].region if near else own.region
    far = _draw_far(serving, data_centre, region, generator)
    share = _share_near(near)
    near_first = generator.random() < share
    near = _draw_order(near, region, generator)
    far = _draw_order(far, region, generator)
    chosen = _join(near, far) if near_first else _join(far, near)
    entries = tuple(
        _make_entry(peer, 1.0 if peer.data_centre == data_centre else 1 - share)
        for peer in chosen or [own]
    )
    return AddressAnswer(addresses=entries, ttl_s=ttl_s)


def _share_near(near: "Sequence[PeerNode]") -> float:
    """Return the share of callers that stay in their data centre, 0 to 1."""
    if not near:
        return 0.0
    spare = sum(1.0 - min(max(peer.load, 0.0), FULL_LOAD) for peer in near)
    return min(1.0, spare / len(near) / SPILL_SPARE)


def _draw_far(
    serving: "Sequence[PeerNode]",
    data_centre: str,
    region: str,
    generator: "random.Random",
) -> list[PeerNode]:
    """Sample nodes of other data centres, in the same and other regions.

    Weighting all of 400 nodes would cost more than the rest of an answer.
    """
    drawn = []
    for same in (True, False):
        peers = [
            peer
            for peer in serving
            if peer.data_centre != data_centre
            and (peer.region == region) is same
        ]
        drawn += generator.sample(peers, min(MAX_DRAWN, len(peers)))
    return drawn


def _draw_order(
    peers: "Sequence[PeerNode]", region: str, generator: "random.Random"
) -> list[PeerNode]:
    """Draw a random order in which the first node is chosen by weight."""

    def draw(peer: PeerNode) -> float:
        divisor = 1.0 if peer.region == region else REGION_DIVISOR
        uniform = 1.0 - generator.random()
        return -math.log(uniform) * divisor / weigh_node(peer.load)

    return sorted(peers, key=draw)


def _join(first: list[PeerNode], rest: list[PeerNode]) -> list[PeerNode]:
    """Join two lists, reserving space for some entries of the second."""
    kept = first[: max(MAX_NEAR, MAX_ADDRESSES - len(rest))]
    return [*kept, *rest][:MAX_ADDRESSES]


def _make_entry(peer: PeerNode, share: float) -> AddressEntry:
    """Return the entry of a node; nodes used only as fallback have weight 0."""
    return AddressEntry(
        address=peer.address,
        data_centre=peer.data_centre,
        weight=round(weigh_node(peer.load) * share),
    )
