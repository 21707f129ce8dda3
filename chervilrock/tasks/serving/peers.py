"""The other nodes as the leader sees them."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.view import Acknowledgement, NodeEntry

LOST_INTERVAL_S = 1.0
"""The same for a node that does not answer."""

LIVE_INTERVALS = 4
"""Intervals after the last answer for which a node counts as live: three
announcements may be lost."""

FORGET_S = 30.0
"""Time without an answer after which a node is no longer spoken to."""


class Peer:
    """What the leader knows of a node.

    Attributes:
      entry: the node.
      answered: when it last answered, or was first known.
      sent: when it was last spoken to.
      is_asked: whether an answer is awaited.
      acknowledgement: its last answer, None before the first.
    """

    def __init__(self, *, entry: NodeEntry, now: float) -> None:
        """Count a new node as live for now."""
        self.entry = entry
        self.answered = now
        self.sent = float("-inf")
        self.is_asked = False
        self.acknowledgement: Acknowledgement | None = None

    def is_live(self, interval_s: float, now: float) -> bool:
        """Tell whether the node answered lately.

        Args:
          interval_s: time between two announcements.
          now: present time.
        """
        return now - self.answered <= LIVE_INTERVALS * interval_s

    def is_due(self, interval_s: float, *, has_news: bool, now: float) -> bool:
        """Tell whether to speak to the node now."""
        if self.is_asked or now - self.answered > FORGET_S:
            return False
        if not self.is_live(interval_s, now):
            return now - self.sent >= LOST_INTERVAL_S
        return has_news or now - self.sent >= interval_s


class Summary(NamedTuple):
    """What the answers of all nodes come to."""

    nodes: tuple[NodeEntry, ...]
    loads: dict[str, int]
    silent: dict[str, int]
    has_traffic: bool
    newest_revision: int
    newest_holder: NodeEntry | None


def summarize(peers: Iterable[Peer], interval_s: float, now: float) -> Summary:
    """Add the answers of the live nodes up."""
    nodes: list[NodeEntry] = []
    loads: dict[str, int] = {}
    silent: dict[str, int] = {}
    has_traffic = False
    revision = -1
    holder: NodeEntry | None = None
    for peer in peers:
        answer = peer.acknowledgement
        if answer is None or not peer.is_live(interval_s, now):
            continue
        has_traffic = has_traffic or answer.has_traffic
        if answer.is_taking_callers:
            nodes.append(peer.entry)
        for server, count in answer.loads.items():
            loads[server] = loads.get(server, 0) + count
        for server in answer.silent:
            silent[server] = silent.get(server, 0) + 1
        if answer.revision > revision:
            revision, holder = answer.revision, peer.entry
    return Summary(
        tuple(sorted(nodes)), loads, silent, has_traffic, revision, holder
    )
