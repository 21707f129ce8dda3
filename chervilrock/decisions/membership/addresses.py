"""Which addresses callers should use.

Callers cache the answer, so a node that leaves first disappears from it and
then waits until cached answers have aged.
"""

from chervilrock.generated.interfaces import (
    AddressAnswer,
    AddressEntry,
    NodePhase,
    PeerNode,
)

FULL_WEIGHT = 100
LEAST_WEIGHT = 1
OVERLOAD = 1.0


def weigh_node(load: float) -> int:
    """Return the share of new callers for a node with this load."""
    spare = 1.0 - min(max(load, 0.0), OVERLOAD)
    return max(LEAST_WEIGHT, round(FULL_WEIGHT * spare))


def answer_addresses(
    live: tuple[PeerNode, ...], *, data_centre: str, ttl_s: float
) -> AddressAnswer:
    """Return the addresses for a caller, nearest and least loaded first.

    Args:
      live: the nodes that live now
      data_centre: data centre of the caller, empty when not known
      ttl_s: time to live of the answer in seconds
    """
    serving = [peer for peer in live if peer.phase == NodePhase.SERVING]
    serving.sort(
        key=lambda peer: (
            peer.data_centre != data_centre,
            -weigh_node(peer.load),
            peer.node,
        )
    )
    entries = tuple(
        AddressEntry(
            address=peer.address,
            data_centre=peer.data_centre,
            weight=weigh_node(peer.load),
        )
        for peer in serving
    )
    return AddressAnswer(addresses=entries, ttl_s=ttl_s)
