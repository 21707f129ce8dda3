"""The membership table of a node.

A node is identified by its incarnation, which changes at every start, so a
restarted node is a new entry and the old one times out. The table contains
each heartbeat of the own data centre; for other data centres it contains what
their members report.
"""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.membership.clocks import TICK_S
from chervilrock.decisions.membership.dropped import DroppedMembers
from chervilrock.decisions.membership.local import LocalDataCentre
from chervilrock.decisions.membership.localmembers import LocalMember
from chervilrock.decisions.membership.remotes import RemoteDataCentres
from chervilrock.decisions.membership.rosters import is_departing
from chervilrock.decisions.membership.timing import (
    FORGET_AFTER_S,
    make_timing,
    PeerTiming,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    HeartbeatReport,
    NodePhase,
    PeerNode,
    Roster,
    RosterWant,
)

DEFAULT_INTERVAL_S = 0.5
MAX_SNAPSHOT_AGE_S = 0.1
"""Maximum age of the cached list of live nodes."""


class _Snapshot(NamedTuple):
    live: tuple[PeerNode, ...]
    changes: int
    made_at: float


class MemberTable:
    """The nodes that this node knows.

    Attributes:
      size: number of nodes that are considered live
      timing: times of the exchange for this number of nodes
      share_reachable: share of the nodes of other data centres that are
        reachable from elsewhere
    """

    def __init__(
        self, *, own: PeerNode, interval_s: float = DEFAULT_INTERVAL_S
    ) -> None:
        """Create a table that contains only this node.

        Args:
          own: the entry of this node
          interval_s: time between two exchanges in a small system
        """
        self._interval_s = interval_s
        self._local = LocalDataCentre(own=own)
        self._members = self._local.local_members
        self._remotes = RemoteDataCentres()
        self._dropped_members = DroppedMembers()
        self._departures = 0
        self._changes = 0
        self._snapshot = _Snapshot((own,), -1, 0.0)
        self.size = 1
        self.share_reachable = 1.0
        self.timing: PeerTiming = make_timing(interval_s, 1)

    @property
    def own(self) -> PeerNode:
        """The entry of this node, as it reports it."""
        return self._members.own.peer

    @property
    def departures(self) -> int:
        """Number of nodes that were observed to leave or stop."""
        return (
            self._departures
            + self._members.departures
            + self._remotes.departures
        )

    def update_own(
        self, *, phase: NodePhase, load: float, revision: int
    ) -> None:
        """Set the state that this node reports of itself."""
        own = self._members.own
        if is_departing(phase) and phase != own.phase:
            self._departures += 1
        own.phase = phase
        own.load = load
        own.revision = revision
        self._changes += 1

    def beat(self, now: float) -> None:
        """Update the own heartbeat and drop nodes without contact for too long.

        It is called once per exchange interval.
        """
        self._local.beat(now)
        self._dropped_members.add(
            self._remotes.forget(now, FORGET_AFTER_S), now
        )
        self._changes += 1
        self.size = (
            1 + len(self.list_local_live(now)) + len(self._remotes.entries())
        )
        self.timing = make_timing(self._interval_s, self.size)
        self.share_reachable = self._remotes.share_reachable()

    def record_reached(self) -> None:
        """Record that a node of another data centre reached this one."""
        self._members.own.reachable = True

    def record_exchange(self, sender: PeerNode, now: float) -> None:
        """Record an exchange with a node and merge its entry."""
        self._local.contact.record_exchange(now, self.timing.overdue_s)
        if sender.data_centre == self._local.name:
            self._members.merge_entry(sender, now)
            self._changes += 1

    def expect_heartbeat(self, peer: PeerNode, now: float) -> int:
        """Return the heartbeat to send to a node whose clock stood still.

        Returns:
          0 if the node is not known here or its heartbeat is not late.
        """
        expected = self._members.expect_heartbeat(peer.incarnation, now)
        late = (expected - peer.heartbeat) * TICK_S
        return expected if late > self.timing.interval_s else 0

    def advance_heartbeat(self, heartbeat: int, now: float) -> None:
        """Advance the own heartbeat to the value that another node expects."""
        self._members.advance_own(heartbeat, now)

    def merge_heartbeats(self, report: HeartbeatReport, now: float) -> None:
        """Merge heartbeats of the nodes of the own data centre."""
        self._members.merge_heartbeats(report, now)
        self._changes += 1

    def merge_report(
        self, report: DataCentreReport, now: float, *, from_local: bool
    ) -> RosterWant | None:
        """Merge the report of a data centre.

        Args:
          report: the report
          now: present time
          from_local: whether a node of the own data centre sent it

        Returns:
          The members to request from the sender, if it knows others.
        """
        self._changes += 1
        if report.data_centre == self._local.name:
            return self._local.compare(
                report, now, self.timing, from_local=from_local
            )
        return self._remotes.apply_report(report, now)

    def merge_roster(self, roster: Roster, now: float) -> None:
        """Merge the members of a data centre."""
        self._changes += 1
        if roster.data_centre == self._local.name:
            self._local.merge_roster(roster, now, self.timing)
        else:
            self._remotes.apply_roster(roster)

    def make_roster(self, want: RosterWant, now: float) -> Roster | None:
        """Return the members that another node requests, if known."""
        if want.data_centre == self._local.name:
            return self._local.make_roster(want.base, now, self.timing)
        lost_after_s = self.timing.lost_after_s
        return self._remotes.make_roster(want, now, lost_after_s)

    def report_heartbeats(self, now: float) -> HeartbeatReport:
        """Return the heartbeats of the nodes of the own data centre."""
        return self._local.report_heartbeats(now, self.timing)

    def report_own(self, now: float) -> DataCentreReport:
        """Return the report of the own data centre."""
        return self._local.report(now, self.timing)

    def may_report(self, now: float) -> bool:
        """Return whether this node may report for its data centre."""
        return self._local.may_report(now, self.timing)

    def report_remotes(
        self,
        now: float,
        limit: int,
        receiver: str,
        known_clocks: Mapping[str, int],
    ) -> list[DataCentreReport]:
        """Return the newest reports of other data centres.

        Args:
          now: present time
          limit: maximum number of reports
          receiver: data centre of the receiver; its report is included at any
            age, with the clock that is expected now
          known_clocks: clocks that the receiver knows by data centre
        """
        fresh_s = self.timing.fresh_s
        receiver_report = self._remotes.report_to_members(receiver, now)
        if receiver_report is None:
            return self._remotes.report_fresh(now, fresh_s, limit, known_clocks)
        known_clocks = {**known_clocks, receiver: receiver_report.clock}
        reports = self._remotes.report_fresh(now, fresh_s, limit, known_clocks)
        return [*reports, receiver_report]

    def find_report(
        self, data_centre: str, now: float
    ) -> DataCentreReport | None:
        """Return the report of a data centre, None if there is none."""
        if data_centre == self._local.name:
            return self.report_own(now)
        return self._remotes.find_report(data_centre)

    def live(self, now: float) -> tuple[PeerNode, ...]:
        """Return the live nodes, this one first."""
        snapshot = self._snapshot
        if (
            snapshot.changes == self._changes
            and 0 <= now - snapshot.made_at <= MAX_SNAPSHOT_AGE_S
        ):
            return snapshot.live
        live = (
            self.own,
            *(member.peer for member in self.list_local_live(now)),
            *self._remotes.live(now, self.timing.lost_after_s),
        )
        self._snapshot = _Snapshot(live, self._changes, now)
        return live

    def known(self, now: float) -> tuple[tuple[PeerNode, bool], ...]:
        """Return every node that is listed, and whether it is live."""
        live = {peer.incarnation for peer in self.live(now)}
        others = [member.peer for member in self._list_local(now)]
        others += self._remotes.peers()
        return (
            (self.own, True),
            *((peer, peer.incarnation in live) for peer in sorted(others)),
        )

    def list_names(self, now: float) -> list[str]:
        """Return the names of all nodes that are listed, live or not."""
        names = [self.own.node]
        names += [member.entry.node for member in self._list_local(now)]
        names += [peer.node for peer in self._remotes.entries()]
        return names

    def find(self, incarnation: str, now: float) -> PeerNode | None:
        """Return a live node by its incarnation."""
        for peer in self.live(now):
            if peer.incarnation == incarnation:
                return peer
        return None

    def list_local_live(self, now: float) -> list[LocalMember]:
        """Return the other live nodes of the own data centre."""
        return self._members.live(now, self.timing.dead_after_s)

    def list_dead(self, now: float) -> list[LocalMember]:
        """Return the nodes of the own data centre that are dead."""
        limit = self.timing.dead_after_s
        return [
            member
            for member in self._members.others
            if now - member.last_seen > limit
        ]

    def pop_disputed(self) -> PeerNode | None:
        """Remove and return a dead node that another one reported as live."""
        return self._local.pop_disputed()

    def find_late(self, now: float) -> str | None:
        """Return the data centre that will soon count as lost, if any."""
        timing = self.timing
        return self._remotes.find_late(now, timing.late_s, timing.lost_after_s)

    def has_lost(self, now: float) -> bool:
        """Return whether a data centre is lost."""
        return self._remotes.has_lost(now, self.timing.lost_after_s)

    def list_trial_candidates(self, now: float) -> dict[str, list[PeerNode]]:
        """Return the nodes for occasional trials.

        These are nodes of other data centres, and nodes that are dead or were
        dropped and may recover after a partition.

        Returns:
          Entries by data centre.
        """
        local_members = [member.entry for member in self.list_dead(now)]
        dropped = self._dropped_members.peers()
        found: dict[str, list[PeerNode]] = {}
        for peer in (*local_members, *self._remotes.entries(), *dropped):
            found.setdefault(peer.data_centre, []).append(peer)
        return found

    def _list_local(self, now: float) -> list[LocalMember]:
        """Return the nodes of the own data centre that are listed."""
        return [
            member
            for member in self._members.others
            if now - member.last_seen <= FORGET_AFTER_S
        ]
