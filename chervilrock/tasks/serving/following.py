"""Applies the announcements of the leader and acknowledges them."""

from collections.abc import Callable, Mapping

from chervilrock.decisions.serving.nodes.leadership import Claim, Leadership
from chervilrock.decisions.serving.nodes.reportedloads import (
    ReportedCounts,
    ReportedLoads,
)
from chervilrock.decisions.serving.store.storehealth import StoreStatus
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    LeaderEntry,
    NodeEntry,
)
from chervilrock.tasks.serving.configuration import ConfigurationKeeper
from chervilrock.tasks.serving.evacuationkeeper import EvacuationKeeper
from chervilrock.tasks.serving.noderecords import NodeRecords
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.reads import StoreReads
from chervilrock.tasks.serving.relay import Relay
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue


class LeaderFollowing:
    """What one node learns from the leaders that announce to it.

    Attributes:
      leader: the leader that announced last, None before the first.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        state: ServingState,
        leadership: Leadership,
        records: NodeRecords,
        relay: Relay,
        poisondetector: PoisonDetector,
        configuration: ConfigurationKeeper,
        evacuations: EvacuationKeeper,
        reads: StoreReads,
        waitqueue: WaitQueue,
        apply_claim: Callable[[Claim, float], None],
        renew_reads: Callable[[str], None],
    ) -> None:
        """Create the follower of a node that has got no announcement.

        Args:
          own: this node.
          state: state that is shared with the request handlers.
          leadership: tracker of the leader.
          records: known nodes and claims.
          relay: forwards announcements to other nodes.
          poisondetector: receives the announced suspects.
          configuration: receives the announced revision.
          evacuations: receives the announced evacuations.
          reads: reads of the store.
          waitqueue: queue of the requests that wait for a slot.
          apply_claim: is called with the claim of a newer leader and the
            current time.
          renew_reads: restarts all reads of the store, with the reason.
        """
        self._own = own
        self._state = state
        self._leadership = leadership
        self._records = records
        self._relay = relay
        self._poisondetector = poisondetector
        self._configuration = configuration
        self._evacuations = evacuations
        self._reads = reads
        self._waitqueue = waitqueue
        self._apply_claim = apply_claim
        self._renew_reads = renew_reads
        self._reported_loads = ReportedLoads()
        self._reported_waiting: ReportedCounts[Mapping[int, int]] = (
            ReportedCounts()
        )
        self.leader: NodeEntry | None = None

    def handle(self, announcement: Announcement, now: float) -> Acknowledgement:
        """Apply an announcement of a leader and return its acknowledgement."""
        state = self._state
        relayed = None
        if announcement.term >= self._leadership.term:
            self._apply(announcement, now)
            relayed = self._relay.forward(announcement, now)
        waiting = self._waitqueue.count_all()
        self._reported_loads.record(announcement.term, state.own_loads)
        self._reported_waiting.record(announcement.term, waiting)
        return Acknowledgement(
            term=self._leadership.term,
            node=self._own,
            is_taking_callers=not state.is_stopping
            and state.routes is not None
            and not state.reachability.is_withdrawn(now),
            version=state.view.version,
            nodes_version=state.nodes_version,
            revision=state.revision,
            loads=state.own_loads,
            stalled=()
            if state.reachability.is_cut_off
            else state.list_avoided(now),
            has_traffic=state.has_traffic,
            relayed=relayed,
            suspects_version=state.suspects.version,
            evacuations=state.evacuations.list_states(now),
            waiting=waiting,
        )

    def _apply(self, announcement: Announcement, now: float) -> None:
        """Apply an announcement of the present leader or a newer one."""
        state = self._state
        if announcement.term > self._leadership.term:
            leader = announcement.leader
            entry = LeaderEntry(leader.node, leader.incarnation)
            self._apply_claim(Claim(announcement.term, entry), now)
        self._leadership.record_announcement(
            announcement.term,
            lost_after_s=announcement.lost_after_s,
            is_stepping_down=announcement.is_store_unreachable
            or announcement.is_stopping,
            now=now,
        )
        if announcement.nodes is not None:
            state.nodes = announcement.nodes
            self._records.add_announced(announcement.nodes, now)
            state.nodes_version = (
                announcement.term,
                announcement.nodes_sequence,
            )
        if announcement.suspects is not None:
            self._poisondetector.record_announced(
                (announcement.term, announcement.suspects_sequence),
                announcement.suspects,
                now,
            )
        # Before the view, which may be the first one of this node.
        self._evacuations.merge_announced(announcement, now)
        self._apply_loads(announcement, now)
        self._apply_waiting(announcement, now)
        view = announcement.view
        if view is not None and view.version > state.view.version:
            state.apply_view(view, now)
        if state.view.version == (announcement.term, announcement.sequence):
            state.view_time = now
        self._apply_store_status(announcement, now)
        self._configuration.record_reported(announcement.revision, now)
        self.leader = announcement.leader
        self._waitqueue.notify()

    def _apply_loads(self, announcement: Announcement, now: float) -> None:
        """Apply the requests of all nodes at each endpoint."""
        state = self._state
        counted = self._reported_loads.find_included(
            announcement.term, announcement.loads_lag
        )
        state.apply_loads(
            announcement.loads,
            counted,
            senders=announcement.senders,
            now=now,
        )
        state.has_traffic = state.has_traffic or announcement.has_traffic

    def _apply_waiting(self, announcement: Announcement, now: float) -> None:
        """Apply the waiting requests of all nodes."""
        if announcement.waiting is None:
            return
        included = self._reported_waiting.find_included(
            announcement.term, announcement.loads_lag
        )
        self._state.apply_waiting(
            announcement.waiting, included, self._waitqueue.count_all(), now
        )

    def _apply_store_status(
        self, announcement: Announcement, now: float
    ) -> None:
        """Restart reads that may never be answered after a store outage."""
        if announcement.is_store_unreachable:
            self._reads.store.record_leader_outage(now)
        status = StoreStatus(announcement.term, announcement.store_recoveries)
        if self._reads.store.record_status(status):
            self._renew_reads("the leader announced that the store recovered")
