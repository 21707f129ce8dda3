"""Applies records of nodes, leadership claims and suspects from the store."""

from collections.abc import Callable, Iterable

import msgspec

from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.serving.nodes.leadership import Claim, Leadership
from chervilrock.decisions.serving.nodes.terms import make_term
from chervilrock.decisions.serving.store.polling import is_designated
from chervilrock.decisions.serving.view import LeaderEntry, NodeEntry
from chervilrock.tasks.serving.messages import RecordsRead
from chervilrock.tasks.serving.outbound import (
    LEADER_KEY,
    NODE_PREFIX,
    SUSPECT_PREFIX,
)
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.state import ServingState

_NODE_DECODER = Decoder(NodeEntry)
_LEADER_DECODER = Decoder(LeaderEntry)


class NodeRecords:
    """The nodes and claims that one node knows from the store and its peers.

    Attributes:
      next_offset: offset behind the last record that was read.
      first_read_time: when the topic was first read, None before that.
      first_term: term of the leader at that time.
      is_designated: whether this node reads the store for others.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        state: ServingState,
        leadership: Leadership,
        poisondetector: PoisonDetector,
        apply_claim: Callable[[Claim, float], None],
    ) -> None:
        """Create records of a node that has read nothing yet.

        Args:
          own: this node.
          state: state that is shared with the request handlers.
          leadership: tracker of the leader.
          poisondetector: receives the records of suspects.
          apply_claim: is called with each claim and the current time.
        """
        self._own = own
        self._state = state
        self._leadership = leadership
        self._poisondetector = poisondetector
        self._apply_claim = apply_claim
        self._era: int | None = None
        self.next_offset = 0
        self.first_read_time: float | None = None
        self.first_term = -1
        self.is_designated = True

    @property
    def has_own_record(self) -> bool:
        """Whether the record of this node has been read back from the store."""
        return self._state.known_nodes.get(self._own.node) == self._own

    def apply(self, read: RecordsRead, now: float) -> bool:
        """Apply records of nodes, of leadership claims and of suspects.

        Returns:
          Whether this node has to register again, since the store was restored
          from a backup without its record.
        """
        former_era = self._era
        is_restored = former_era is not None and read.page.era > former_era
        if read.is_snapshot:
            self._era = read.page.era
            self._poisondetector.forget_stored()
        if read.is_snapshot and not is_restored:
            self._state.known_nodes.clear()
        self._state.faults.apply_records(
            read,
            lambda record: self._apply_record(
                record.key,
                record.value,
                make_term(read.page.era, record.offset),
                now,
            ),
        )
        # This process may itself be the successor of the leader's process.
        self._leadership.record_node(self._leadership.own_entry, now)
        self.next_offset = read.page.next_offset
        if self.first_read_time is None:
            self.first_read_time = now
            self.first_term = self._leadership.term
            self._state.startup.record_found(self.first_term)
        return is_restored and not self._contains_own_record(read)

    def add(self, entry: NodeEntry, now: float) -> None:
        """Add the entry of a node process."""
        self._state.known_nodes[entry.node] = entry
        self._leadership.record_node(
            LeaderEntry(entry.node, entry.incarnation), now
        )

    def add_announced(self, nodes: Iterable[NodeEntry], now: float) -> None:
        """Add announced nodes, whether or not the store returned them."""
        for entry in nodes:
            if self._state.known_nodes.get(entry.node) != entry:
                self.add(entry, now)
        self.is_designated = is_designated(self._own, nodes)

    def find_leader(self) -> NodeEntry | None:
        """Return the entry of the leader, None if its process is not known."""
        claim = self._leadership.claim
        if claim is None:
            return None
        known = self._state.known_nodes.get(claim.entry.node)
        if known is None or known.incarnation != claim.entry.incarnation:
            return None
        return known

    def _apply_record(
        self, key: str, value: bytes, term: int, now: float
    ) -> None:
        """Apply a record.

        Raises:
          UnreadableError: the value cannot be decoded.
        """
        if key == LEADER_KEY:
            self._apply_claim(Claim(term, _LEADER_DECODER.decode(value)), now)
        elif key.startswith(SUSPECT_PREFIX):
            content = key.removeprefix(SUSPECT_PREFIX)
            self._poisondetector.record_stored(content, value, now)
        elif not value:
            self._state.known_nodes.pop(key.removeprefix(NODE_PREFIX), None)
        elif key.startswith(NODE_PREFIX):
            self.add(_NODE_DECODER.decode(value), now)

    def _contains_own_record(self, read: RecordsRead) -> bool:
        """Return whether the page contains the record of this process."""
        value = msgspec.json.encode(self._own)
        return any(
            record.key == f"{NODE_PREFIX}{self._own.node}"
            and record.value == value
            for record in read.page.records
        )
