"""What a node knows of the other nodes.

A node is known by its incarnation, which changes at every start, so a
restarted node is a new entry and an old one only times out. A node lives
while its heartbeat counts up; each node counts the time since the last
increase on its own clock.
"""

from typing import NamedTuple

from chervilrock.generated.interfaces import NodePhase, PeerNode

DEAD_AFTER_S = 3.0
FORGET_AFTER_S = 60.0


class Member(NamedTuple):
    """A node and when its heartbeat last went up.

    Attributes:
      peer: what the node says of itself
      heard: time of the last increase, in seconds of the local clock
    """

    peer: PeerNode
    heard: float


class MemberTable:
    """The nodes that this node has heard of."""

    def __init__(
        self,
        *,
        own: PeerNode,
        dead_after_s: float = DEAD_AFTER_S,
        forget_after_s: float = FORGET_AFTER_S,
    ) -> None:
        self._own = own
        self._dead_after = dead_after_s
        self._forget_after = forget_after_s
        self._members: dict[str, Member] = {}

    @property
    def own(self) -> PeerNode:
        """What this node says of itself."""
        return self._own

    def update_own(
        self, *, phase: NodePhase, load: float, revision: int
    ) -> None:
        """Set what this node says of itself."""
        self._own = self._own._replace(
            phase=phase, load=load, revision=revision
        )

    def beat(self) -> None:
        """Count the own heartbeat up; called once an exchange interval."""
        self._own = self._own._replace(heartbeat=self._own.heartbeat + 1)

    def merge(self, peers: tuple[PeerNode, ...], now: float) -> None:
        """Take over what another node knows, where it is newer."""
        for peer in peers:
            self._merge_one(peer, now)

    def _merge_one(self, peer: PeerNode, now: float) -> None:
        if peer.incarnation == self._own.incarnation:
            return
        known = self._members.get(peer.incarnation)
        if known is not None and peer.heartbeat <= known.peer.heartbeat:
            return
        self._members[peer.incarnation] = Member(peer=peer, heard=now)

    def forget(self, now: float) -> None:
        """Drop nodes that have been dead for long."""
        gone = [
            incarnation
            for incarnation, member in self._members.items()
            if now - member.heard > self._forget_after
        ]
        for incarnation in gone:
            del self._members[incarnation]

    def is_live(self, member: Member, now: float) -> bool:
        """Say whether a node lives and has not stopped."""
        if member.peer.phase == NodePhase.STOPPED:
            return False
        return now - member.heard <= self._dead_after

    def live(self, now: float) -> tuple[PeerNode, ...]:
        """Return the live nodes, this one first."""
        others = (
            member.peer
            for member in self._members.values()
            if self.is_live(member, now)
        )
        return (self._own, *sorted(others, key=lambda peer: peer.node))

    def known(self, now: float) -> tuple[tuple[PeerNode, bool], ...]:
        """Return every node that was heard of, and whether it lives."""
        others = [
            (member.peer, self.is_live(member, now))
            for member in self._members.values()
        ]
        others.sort(key=lambda item: item[0].node)
        return ((self._own, True), *others)

    def find(self, incarnation: str, now: float) -> PeerNode | None:
        """Return a live node by its incarnation."""
        if incarnation == self._own.incarnation:
            return self._own
        member = self._members.get(incarnation)
        if member is None or not self.is_live(member, now):
            return None
        return member.peer

    def digest(self, now: float) -> tuple[PeerNode, ...]:
        """Return what an exchange tells of nodes: the live ones.

        Dead nodes are left out, or two nodes would keep an entry alive for
        each other after both had forgotten it.
        """
        return self.live(now)
