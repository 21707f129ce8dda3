"""Detection of peers that were lost or recovered since the last check."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.membership.rosters import is_departing
from chervilrock.generated.interfaces import PeerNode

MAX_LOST = 1024


class PeerChanges(NamedTuple):
    """Peers that changed since the last check.

    Attributes:
      lost: were live, did not leave, and are no longer live
      recovered: were lost and are live again, restarted or not
    """

    lost: tuple[PeerNode, ...]
    recovered: tuple[PeerNode, ...]


class LossDetector:
    """Compares the live peers with those of the last check, by name."""

    def __init__(self) -> None:
        """Create a detector that knows no peer."""
        self._live: dict[str, PeerNode] = {}
        self._lost: dict[str, PeerNode] = {}

    def observe(self, live: Iterable[PeerNode]) -> PeerChanges:
        """Set the peers that are live now, and return the changes."""
        now_live = {peer.node: peer for peer in live}
        lost = tuple(
            peer
            for name, peer in self._live.items()
            if name not in now_live and not is_departing(peer.phase)
        )
        back = tuple(now_live[name] for name in self._lost if name in now_live)
        for peer in back:
            del self._lost[peer.node]
        for peer in lost:
            self._lost[peer.node] = peer
        while len(self._lost) > MAX_LOST:
            del self._lost[next(iter(self._lost))]
        self._live = now_live
        return PeerChanges(lost, back)
