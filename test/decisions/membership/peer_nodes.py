"""Membership entries of nodes for tests."""

from chervilrock.generated.interfaces import NodePhase, PeerNode


def make_node(name: str, **fields: object) -> PeerNode:
    """Returns a serving node; `name` is also its incarnation and address."""
    node = PeerNode(
        node=name,
        incarnation=name,
        address=f"{name}:1",
        data_centre="d1",
        region="r1",
        heartbeat=0,
        phase=NodePhase.SERVING,
        load=0.0,
        revision=0,
    )
    return node._replace(**fields)  # type: ignore[arg-type]
