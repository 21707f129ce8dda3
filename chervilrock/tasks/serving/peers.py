"""Nodes to which a leader or a relay sends announcements."""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.admission.suspects import Suspect
from chervilrock.decisions.serving.servers.evacuations import list_versions
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    merge_summaries,
    NodeEntry,
    ServingView,
    summarize,
    Summary,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.peermessages import (
    encode_announcement,
    EncodedMessage,
)

UNRESPONSIVE_INTERVAL_S = 1.0
"""Time between two announcements to an unresponsive node."""

LIVE_INTERVALS = 4
"""Number of intervals after its last answer for which a node counts as live.
Three announcements in a row may be lost."""

DROP_AFTER_S = 30.0
"""Time without an answer after which a node gets no more announcements."""


class Peer:
    """State of the announcements to a node.

    Attributes:
      entry: the node.
      answered_at: time of its last answer, or of its addition.
      sent_at: time of the last announcement to it.
      is_answer_pending: whether an answer is pending.
      has_outcome: whether any announcement to it was answered or failed.
      announced_revision: newest revision that was announced to it.
      announced_evacuations: versions of the evacuations that were announced
        to it last.
      acknowledgement: its last answer, None before the first.
    """

    def __init__(self, *, entry: NodeEntry, now: float) -> None:
        """Create the state of a new node, which counts as live at first."""
        self.entry = entry
        self.answered_at = now
        self.sent_at = float("-inf")
        self.is_answer_pending = False
        self.has_outcome = False
        self.announced_revision = -1
        self.announced_evacuations: tuple[tuple[str, int, int], ...] = ()
        self.acknowledgement: Acknowledgement | None = None

    def is_live(self, interval_s: float, now: float) -> bool:
        """Return whether the node answered recently.

        Args:
          interval_s: time between two announcements.
          now: current time.
        """
        return now - self.answered_at <= LIVE_INTERVALS * interval_s

    def is_busy(self, relays: frozenset[str]) -> bool:
        """Return whether the node runs requests or is a relay."""
        if self.entry.incarnation in relays:
            return True
        answer = self.acknowledgement
        return answer is not None and bool(answer.loads)

    def is_due(self, update: "Update", *, has_update: bool, now: float) -> bool:
        """Return whether an announcement to the node is due.

        Args:
          update: the update with its intervals.
          has_update: whether the node lacks a part of the update, so that the
            announcement is more than a heartbeat.
          now: current time.
        """
        if self.is_answer_pending or now - self.answered_at > DROP_AFTER_S:
            return False
        if not self.is_live(update.interval_s, now):
            return now - self.sent_at >= UNRESPONSIVE_INTERVAL_S
        is_busy = self.is_busy(update.relays)
        pause_s = update.busy_pause_s if is_busy else update.idle_pause_s
        return has_update or now - self.sent_at >= pause_s

    def has_view(self, view: ServingView) -> bool:
        """Return whether the node has acknowledged a view."""
        answer = self.acknowledgement
        return answer is not None and answer.version >= view.version

    def has_nodes(self, version: tuple[int, int]) -> bool:
        """Return whether the node has acknowledged a list of nodes."""
        answer = self.acknowledgement
        return answer is not None and answer.nodes_version == version

    def has_suspects(self, version: tuple[int, int]) -> bool:
        """Return whether the node has acknowledged a list of suspects."""
        answer = self.acknowledgement
        return answer is not None and answer.suspects_version == version


class Update(NamedTuple):
    """Content and intervals of the next announcements.

    Attributes:
      base: the part that is common to all nodes.
      view: the view, sent to nodes that lack it.
      nodes: nodes that accept callers, sent to nodes that lack the list.
      nodes_version: term and sequence number of that list.
      interval_s: maximum time between two announcements.
      busy_pause_s: minimum time between two announcements to a node that runs
        requests or is a relay.
      idle_pause_s: minimum time between two announcements to any other node.
        Only nodes that run requests, 20 to 30 of 195, need frequent loads.
      relays: incarnations of the relays.
      suspects: suspect requests, sent to nodes that lack the list.
      suspects_version: term and sequence number of that list.
    """

    base: Announcement
    view: ServingView
    nodes: tuple[NodeEntry, ...]
    nodes_version: tuple[int, int]
    interval_s: float
    busy_pause_s: float
    idle_pause_s: float
    relays: frozenset[str] = frozenset()
    suspects: tuple[Suspect, ...] = ()
    suspects_version: tuple[int, int] = (-1, 0)


Send = Callable[[NodeEntry, EncodedMessage], Awaitable[None]]
"""Starts to send an encoded announcement; the result completes when the call
does."""


class Peers:
    """Sends announcements to a set of nodes and summarizes their answers."""

    def __init__(self, *, send: Send) -> None:
        """Create an empty set of nodes.

        Args:
          send: sends an announcement to a node.
        """
        self._send = send
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def sync(self, nodes: Iterable[NodeEntry], now: float) -> None:
        """Replace the set of nodes; the state of remaining nodes is kept."""
        current = {node.incarnation: node for node in nodes}
        for incarnation in set(self._peers) - set(current):
            del self._peers[incarnation]
        for incarnation, entry in current.items():
            if incarnation not in self._peers:
                self._peers[incarnation] = Peer(entry=entry, now=now)

    def count_busy(self, relays: frozenset[str]) -> int:
        """Return how many nodes run requests or are relays."""
        return sum(peer.is_busy(relays) for peer in self._peers.values())

    def find(self, incarnation: str) -> NodeEntry | None:
        """Return the entry of a node, None if it is not in the set."""
        peer = self._peers.get(incarnation)
        return None if peer is None else peer.entry

    def record_answer(
        self,
        incarnation: str,
        answer: Acknowledgement | None,
        interval_s: float,
        now: float,
    ) -> None:
        """Record the answer to an announcement, None for a failed call."""
        peer = self._peers.get(incarnation)
        if peer is None:
            return
        peer.is_answer_pending = False
        peer.has_outcome = True
        if answer is None or answer.node.incarnation != incarnation:
            return
        was_live = peer.acknowledgement is not None and peer.is_live(
            interval_s, now
        )
        peer.answered_at = now
        peer.acknowledgement = answer
        if not was_live:
            emit(Event.NODE_SEEN, node=peer.entry.node)

    def announce(
        self, update: Update, now: float, *, is_last: bool = False
    ) -> list[Awaitable[None]]:
        """Send announcements to the nodes for which one is due.

        Nodes that lack the same parts share one encoded body: with 77 nodes, a
        leader that encodes for each node spends most of its time on it.

        Args:
          update: the update to send.
          now: current time.
          is_last: whether this is the final announcement, which also goes to
            nodes with a pending answer.

        Returns:
          The calls, each of which completes with its answer or failure.
        """
        sends: list[Awaitable[None]] = []
        encoded: dict[tuple[bool, ...], EncodedMessage] = {}
        evacuations = list_versions(update.base.evacuations)
        for peer in self._peers.values():
            has_view = peer.has_view(update.view)
            has_nodes = peer.has_nodes(update.nodes_version)
            has_suspects = peer.has_suspects(update.suspects_version)
            has_revision = peer.announced_revision >= update.base.revision
            has_news = peer.announced_evacuations != evacuations
            has_lists = has_nodes and has_suspects
            has_update = has_news or not (
                has_view and has_lists and has_revision
            )
            is_due = peer.is_due(update, has_update=has_update, now=now)
            if not is_due and not is_last:
                continue
            is_relay = peer.entry.incarnation in update.relays
            variant = (has_view, has_nodes, has_suspects, is_relay)
            if variant not in encoded:
                encoded[variant] = encode_announcement(
                    update.base._replace(
                        view=None if has_view else update.view,
                        nodes=None if has_nodes else update.nodes,
                        suspects=None if has_suspects else update.suspects,
                        is_relay=is_relay,
                    )
                )
            peer.is_answer_pending = True
            peer.sent_at = now
            peer.announced_revision = update.base.revision
            peer.announced_evacuations = evacuations
            sends.append(self._send(peer.entry, encoded[variant]))
        return sends

    def has_all_outcomes(self) -> bool:
        """Return whether each node has answered or failed at least once."""
        return all(peer.has_outcome for peer in self._peers.values())

    def summarize(self, interval_s: float, now: float) -> Summary:
        """Return the summary of the answers of all live nodes."""
        return merge_summaries(
            summarize(peer.acknowledgement)
            for peer in self._peers.values()
            if peer.acknowledgement is not None
            and peer.is_live(interval_s, now)
        )
