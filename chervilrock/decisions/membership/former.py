"""Nodes of other data centres that were dropped, to be tried again."""

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
    """The nodes that were dropped last, by address."""

    def __init__(self) -> None:
        """Remember no node."""
        self._dropped: OrderedDict[str, _Dropped] = OrderedDict()

    def add(self, peers: Iterable[PeerNode], now: float) -> None:
        """Remember nodes that are dropped now, and forget the oldest."""
        for peer in peers:
            self._dropped[peer.address] = _Dropped(peer, now)
            self._dropped.move_to_end(peer.address)
        while self._dropped:
            oldest = next(iter(self._dropped.values()))
            expired = now - oldest.dropped > KEEP_S
            if not expired and len(self._dropped) <= MAX_FORMER:
                return
            self._dropped.popitem(last=False)

    def peers(self) -> list[PeerNode]:
        """Return the nodes."""
        return [dropped.peer for dropped in self._dropped.values()]
