"""Nodes that were dropped: to be tried again, and not to be revived."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.generated.interfaces import PeerNode

KEEP_S = 7200.0
MAX_FORMER = 1024


class _Dropped(NamedTuple):
    peer: PeerNode
    dropped: float


class FormerMembers:
    """The nodes that were dropped last."""

    def __init__(self) -> None:
        self._dropped: OrderedDict[str, _Dropped] = OrderedDict()

    def add(self, peers: Iterable[PeerNode], now: float) -> None:
        """Remember nodes that are dropped now, and forget the oldest."""
        for peer in peers:
            self._dropped[peer.incarnation] = _Dropped(peer, now)
            self._dropped.move_to_end(peer.incarnation)
        while self._dropped:
            oldest = next(iter(self._dropped.values()))
            expired = now - oldest.dropped > KEEP_S
            if not expired and len(self._dropped) <= MAX_FORMER:
                return
            self._dropped.popitem(last=False)

    def admits(self, peer: PeerNode) -> bool:
        """Say whether an entry is newer than when its node was dropped."""
        known = self._dropped.get(peer.incarnation)
        return known is None or peer.heartbeat > known.peer.heartbeat

    def remove(self, incarnation: str) -> None:
        """Forget a node, since it is known again."""
        self._dropped.pop(incarnation, None)

    def peers(self) -> list[PeerNode]:
        """Return the nodes."""
        return [dropped.peer for dropped in self._dropped.values()]
