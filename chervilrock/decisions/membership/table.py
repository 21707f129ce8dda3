"""What a node knows of the other nodes.

A node is known by its incarnation, which changes at every start, so a
restarted node is a new entry and an old one only times out. Of its own data
centre a node knows each heartbeat; of others, what their members report.
"""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.membership.clocks import TICK_S
from chervilrock.decisions.membership.former import FormerMembers
from chervilrock.decisions.membership.local import LocalDataCentre
from chervilrock.decisions.membership.near import NearMember
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
SNAPSHOT_S = 0.1
"""Greatest age of the list of live nodes that is given out again."""


class _Snapshot(NamedTuple):
    live: tuple[PeerNode, ...]
    changes: int
    made: float


class MemberTable:
    """The nodes that this node has heard of.

    Attributes:
      size: number of nodes that are taken for live
      timing: times of the exchange for this number of nodes
      share_reachable: share of the nodes of other data centres that are
        reachable from elsewhere
    """

    def __init__(
        self, *, own: PeerNode, interval_s: float = DEFAULT_INTERVAL_S
    ) -> None:
        """Know only this node.

        Args:
          own: entry of this node
          interval_s: time between two exchanges in a small system
        """
        self._interval_s = interval_s
        self._local = LocalDataCentre(own=own)
        self._near = self._local.near
        self._remotes = RemoteDataCentres()
        self._former = FormerMembers()
        self._departures = 0
        self._changes = 0
        self._snapshot = _Snapshot((own,), -1, 0.0)
        self.size = 1
        self.share_reachable = 1.0
        self.timing: PeerTiming = make_timing(interval_s, 1)

    @property
    def own(self) -> PeerNode:
        """What this node says of itself."""
        return self._near.own.peer

    @property
    def departures(self) -> int:
        """Count of the nodes that were seen to leave or stop."""
        return (
            self._departures + self._near.departures + self._remotes.departures
        )

    def update_own(
        self, *, phase: NodePhase, load: float, revision: int
    ) -> None:
        """Set what this node says of itself."""
        own = self._near.own
        if is_departing(phase) and phase != own.phase:
            self._departures += 1
        own.phase = phase
        own.load = load
        own.revision = revision
        self._changes += 1

    def beat(self, now: float) -> None:
        """Bring the own entry up to date, and drop nodes silent for long.

        It is called once an exchange interval.
        """
        self._local.beat(now)
        self._former.add(self._remotes.forget(now, FORGET_AFTER_S), now)
        self._changes += 1
        self.size = 1 + len(self.near_live(now)) + len(self._remotes.entries())
        self.timing = make_timing(self._interval_s, self.size)
        self.share_reachable = self._remotes.share_reachable()

    def note_reached(self) -> None:
        """Note that a node of another data centre reached this one."""
        self._near.own.reachable = True

    def note_exchange(self, sender: PeerNode, now: float) -> None:
        """Note an exchange with a node and take what it says of itself."""
        self._local.contact.note_exchange(now, self.timing.overdue_s)
        if sender.data_centre == self._local.name:
            self._near.merge_entry(sender, now)
            self._changes += 1

    def expect_heartbeat(self, peer: PeerNode, now: float) -> int:
        """Return the heartbeat to tell a node whose clock stood still.

        Returns:
          0 when the node is not known here or its heartbeat is not late.
        """
        expected = self._near.expect_heartbeat(peer.incarnation, now)
        late = (expected - peer.heartbeat) * TICK_S
        return expected if late > self.timing.interval_s else 0

    def advance_heartbeat(self, heartbeat: int, now: float) -> None:
        """Take the heartbeat that another node expects of this one."""
        self._near.advance_own(heartbeat, now)

    def merge_heartbeats(self, report: HeartbeatReport, now: float) -> None:
        """Take news of the nodes of the own data centre."""
        self._near.merge_heartbeats(report, now)
        self._changes += 1

    def merge_report(
        self, report: DataCentreReport, now: float, *, from_near: bool
    ) -> RosterWant | None:
        """Take the report of a data centre.

        Args:
          report: the report
          now: present time
          from_near: whether a node of the own data centre sent it

        Returns:
          What to ask the sender for, when it knows other members.
        """
        self._changes += 1
        if report.data_centre == self._local.name:
            return self._local.compare(
                report, now, self.timing, from_near=from_near
            )
        return self._remotes.take_report(report, now)

    def merge_roster(self, roster: Roster, now: float) -> None:
        """Take the members of a data centre."""
        self._changes += 1
        if roster.data_centre == self._local.name:
            self._local.merge_roster(roster, now, self.timing)
        else:
            self._remotes.take_roster(roster)

    def make_roster(self, want: RosterWant, now: float) -> Roster | None:
        """Return the members that another node asks for, if known."""
        if want.data_centre == self._local.name:
            return self._local.make_roster(want.base, now, self.timing)
        lost_after_s = self.timing.lost_after_s
        return self._remotes.make_roster(want, now, lost_after_s)

    def report_heartbeats(self, now: float) -> HeartbeatReport:
        """Return the news of the nodes of the own data centre."""
        return self._local.report_heartbeats(now, self.timing)

    def report_own(self, now: float) -> DataCentreReport:
        """Return the report of the own data centre."""
        return self._local.report(now, self.timing)

    def may_report(self, now: float) -> bool:
        """Say whether this node may speak for its data centre elsewhere."""
        return self._local.may_report(now, self.timing)

    def report_remotes(
        self, now: float, limit: int, receiver: str, told: Mapping[str, int]
    ) -> list[DataCentreReport]:
        """Return the newest reports of other data centres.

        Args:
          now: present time
          limit: greatest number of reports
          receiver: data centre of the receiver; its report comes at any
            age, with the clock that is expected
          told: clocks that the receiver knows by data centre
        """
        fresh_s = self.timing.fresh_s
        theirs = self._remotes.report_to_members(receiver, now)
        if theirs is None:
            return self._remotes.report_fresh(now, fresh_s, limit, told)
        told = {**told, receiver: theirs.clock}
        reports = self._remotes.report_fresh(now, fresh_s, limit, told)
        return [*reports, theirs]

    def report_one(
        self, data_centre: str, now: float
    ) -> DataCentreReport | None:
        """Return the report of a data centre, None when there is none."""
        if data_centre == self._local.name:
            return self.report_own(now)
        return self._remotes.report_one(data_centre)

    def live(self, now: float) -> tuple[PeerNode, ...]:
        """Return the live nodes, this one first."""
        kept = self._snapshot
        if kept.changes == self._changes and 0 <= now - kept.made <= SNAPSHOT_S:
            return kept.live
        live = (
            self.own,
            *(member.peer for member in self.near_live(now)),
            *self._remotes.live(now, self.timing.lost_after_s),
        )
        self._snapshot = _Snapshot(live, self._changes, now)
        return live

    def known(self, now: float) -> tuple[tuple[PeerNode, bool], ...]:
        """Return every node that is listed, and whether it lives."""
        live = {peer.incarnation for peer in self.live(now)}
        others = [member.peer for member in self._list_near(now)]
        others += self._remotes.peers()
        return (
            (self.own, True),
            *((peer, peer.incarnation in live) for peer in sorted(others)),
        )

    def list_names(self, now: float) -> list[str]:
        """Return the names of all nodes that are listed, live or not."""
        names = [self.own.node]
        names += [member.entry.node for member in self._list_near(now)]
        names += [peer.node for peer in self._remotes.entries()]
        return names

    def find(self, incarnation: str, now: float) -> PeerNode | None:
        """Return a live node by its incarnation."""
        for peer in self.live(now):
            if peer.incarnation == incarnation:
                return peer
        return None

    def near_live(self, now: float) -> list[NearMember]:
        """Return the other live nodes of the own data centre."""
        return self._near.live(now, self.timing.dead_after_s)

    def list_silent(self, now: float) -> list[NearMember]:
        """Return the nodes of the own data centre that do not live."""
        limit = self.timing.dead_after_s
        return [one for one in self._near.others if now - one.heard > limit]

    def take_disputed(self) -> PeerNode | None:
        """Return a silent node that another one named as live, if any."""
        return self._local.take_disputed()

    def find_late(self, now: float) -> str | None:
        """Return the data centre that will soon count as lost, if any."""
        timing = self.timing
        return self._remotes.find_late(now, timing.late_s, timing.lost_after_s)

    def has_lost(self, now: float) -> bool:
        """Say whether a data centre is lost."""
        return self._remotes.has_lost(now, self.timing.lost_after_s)

    def list_distant(self, now: float) -> dict[str, list[PeerNode]]:
        """Return nodes that are worth a try now and then.

        These are nodes of other data centres and nodes that are dead or were
        dropped, for they may come back after a partition.

        Returns:
          Entries by data centre.
        """
        near = [member.entry for member in self.list_silent(now)]
        former = self._former.peers()
        found: dict[str, list[PeerNode]] = {}
        for peer in (*near, *self._remotes.entries(), *former):
            found.setdefault(peer.data_centre, []).append(peer)
        return found

    def _list_near(self, now: float) -> list[NearMember]:
        """Return the nodes of the own data centre that are listed."""
        return [
            member
            for member in self._near.others
            if now - member.heard <= FORGET_AFTER_S
        ]
