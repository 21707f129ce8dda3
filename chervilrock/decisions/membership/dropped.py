"""Dropped nodes of other data centres, which are tried again later."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.generated.interfaces import PeerNode

RETENTION_S = 7200.0
MAX_DROPPED = 1024


class _Dropped(NamedTuple):
    peer: PeerNode
    dropped_at: float


class DroppedMembers:
    """The most recently dropped nodes by address."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._dropped: OrderedDict[str, _Dropped] = OrderedDict()

    def add(self, peers: Iterable[PeerNode], now: float) -> None:
        """Add nodes that are dropped now, and remove the oldest ones."""
        for peer in peers:
            self._dropped[peer.address] = _Dropped(peer, now)
            self._dropped.move_to_end(peer.address)
        while self._dropped:
            oldest = next(iter(self._dropped.values()))
            expired = now - oldest.dropped_at > RETENTION_S
            if not expired and len(self._dropped) <= MAX_DROPPED:
                return
            self._dropped.popitem(last=False)

    def peers(self) -> list[PeerNode]:
        """Return the dropped nodes."""
        return [dropped.peer for dropped in self._dropped.values()]
