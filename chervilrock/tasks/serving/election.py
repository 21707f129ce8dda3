"""Registers a node in the store and claims leadership when no node leads."""

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.nodes.leadership import (
    Leadership,
    should_register,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    RegistrationAnswered,
)
from chervilrock.tasks.serving.noderecords import NodeRecords
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.reads import StoreReads
from chervilrock.tasks.serving.state import ServingState

NO_OFFSET = -1
"""Marks the absence of a topic offset."""


class Election:
    """The registration and the claims of one node.

    Attributes:
      is_registered: whether the store has the record of this process.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        state: ServingState,
        leadership: Leadership,
        records: NodeRecords,
        outbound: Outbound,
        reads: StoreReads,
    ) -> None:
        """Create the election of a node that has written nothing yet.

        Args:
          own: this node.
          state: state that is shared with the request handlers.
          leadership: tracker of the leader.
          records: nodes and claims that were read.
          outbound: makes calls.
          reads: reads of the store.
        """
        self._own = own
        self._state = state
        self._leadership = leadership
        self._records = records
        self._outbound = outbound
        self._reads = reads
        self._claimed_offset = NO_OFFSET
        self._is_claiming = False
        self._is_registering = False
        self.is_registered = False

    def act(self, now: float) -> None:
        """Register and claim leadership if due."""
        self._register(now)
        self._reads.update()
        self._claim(now)

    def record_registration(self, answered: RegistrationAnswered) -> None:
        """Record that this node is registered, or allow another attempt."""
        if answered.offset is None:
            self._is_registering = False
            return
        self.is_registered = True
        emit(
            Event.NODE_REGISTERED,
            node=self._own.node,
            offset=answered.offset,
        )

    def record_claim(self, answered: ClaimAnswered, now: float) -> None:
        """Record whether a claim was written, and read the topic again."""
        self._is_claiming = False
        if not answered.is_answered:
            self.forget_claim()
            self._reads.store.record_failure(
                Topic.NODES.value, now, is_timeout=True
            )
        elif answered.is_outdated:
            # The records written in the meantime have to be read first.
            self._leadership.record_claim_conflict()
        else:
            self.forget_claim()
        # The pending long poll may be one that is never answered.
        self._reads.renew(Topic.NODES)

    def forget_registration(self) -> None:
        """Register again, since the store has lost the record."""
        self._is_registering = False
        self.is_registered = False

    def forget_claim(self) -> None:
        """Allow another claim at the offset of the last one."""
        self._claimed_offset = NO_OFFSET

    def find_rank(self) -> int:
        """Return the rank of this node in the order of claims.

        Nodes with more processor time come first: on a host with an eighth of
        a core, the leader's orders and status queries time out. The previous
        leader comes last, since it has just been lost, and so does a node that
        reaches no server.
        """
        claim = self._leadership.claim
        last_incarnation = None if claim is None else claim.entry.incarnation

        def make_sort_key(node: NodeEntry) -> tuple[bool, float, NodeEntry]:
            return (node.incarnation == last_incarnation, -node.cores, node)

        own = make_sort_key(self._own)
        others = [
            node
            for node in self._state.known_nodes.values()
            if node.node != self._own.node
        ]
        if self._state.reachability.is_cut_off:
            return len(others)
        return sum(make_sort_key(node) < own for node in others)

    def _register(self, now: float) -> None:
        """Write the record of this node when due, once per incarnation."""
        first_read_time = self._records.first_read_time
        if self._is_registering or first_read_time is None:
            return
        leadership = self._leadership
        claim = leadership.claim
        is_new = leadership.term > self._records.first_term
        if not should_register(
            rank=self.find_rank(),
            has_leader=is_new
            or leadership.has_contact(now)
            or leadership.has_indirect_contact,
            was_leader=claim is not None and claim.entry.node == self._own.node,
            waited_s=now - first_read_time,
        ):
            return
        self._is_registering = True
        self._outbound.register(self._own)

    def _claim(self, now: float) -> None:
        """Claim leadership if no node leads."""
        leadership = self._leadership
        state = self._state
        # Otherwise the record of this node would overtake its own claim.
        is_able = self._records.has_own_record and state.routes is not None
        # While reads fail, a claim would be billed without any use.
        is_able = is_able and self._reads.is_current(Topic.NODES)
        if not is_able or self._is_claiming or state.is_stopping:
            return
        next_offset = self._records.next_offset
        if next_offset == self._claimed_offset:
            return
        nodes = len(state.known_nodes)
        if not leadership.should_claim(self.find_rank(), nodes, now):
            return
        leadership.record_claim_attempt(now)
        self._is_claiming = True
        self._claimed_offset = next_offset
        self._outbound.claim(leadership.own_entry, next_offset)
