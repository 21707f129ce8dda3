"""The own data centre: its nodes, its clock and its reports."""

from collections.abc import Iterable

from chervilrock.decisions.membership.clocks import Counter
from chervilrock.decisions.membership.contact import Contact
from chervilrock.decisions.membership.localmembers import (
    LocalMembers,
    report_data_centre,
    report_heartbeats,
    to_members,
)
from chervilrock.decisions.membership.timing import (
    DROP_AFTER_S,
    PeerTiming,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    HeartbeatReport,
    PeerNode,
    Roster,
    RosterWant,
)


class LocalDataCentre:
    """The state of the own data centre, and its reports to other nodes.

    Attributes:
      name: name of the data centre
      local_members: its nodes
      contact: tracks when this node exchanged with others
    """

    def __init__(self, *, own: PeerNode) -> None:
        """Create a data centre that contains only this node."""
        self.name = own.data_centre
        self.local_members = LocalMembers(own=own)
        self.contact = Contact()
        self._clock = Counter()
        self._lacks_members = False

    def beat(self, now: float) -> None:
        """Update the heartbeat and drop nodes without contact for too long."""
        self.local_members.beat(now)
        self.local_members.forget(now, DROP_AFTER_S)

    def report(self, now: float, timing: PeerTiming) -> DataCentreReport:
        """Return the report of the data centre."""
        view = self.local_members.view(now, timing.dead_after_s)
        return report_data_centre(view, self.name, self._clock.read(now))

    def report_heartbeats(
        self, now: float, timing: PeerTiming
    ) -> HeartbeatReport:
        """Return the heartbeats, for other nodes of the data centre."""
        self.local_members.beat(now)
        return report_heartbeats(
            self.local_members.view(now, timing.dead_after_s)
        )

    def may_report(self, now: float, timing: PeerTiming) -> bool:
        """Return whether this node may report for the data centre."""
        stable_after_s = timing.dead_after_s
        if self.contact.is_stable(now, stable_after_s):
            return True
        alone = not any(self.local_members.others) and not self._lacks_members
        return alone and self.contact.has_recent_exchange(now, stable_after_s)

    def compare(
        self,
        report: DataCentreReport,
        now: float,
        timing: PeerTiming,
        *,
        from_local: bool,
    ) -> RosterWant | None:
        """Compare a report of another node on the data centre.

        Args:
          report: the report
          now: present time
          timing: times of the exchange
          from_local: whether the other node is in this data centre too

        Returns:
          What to request from it, if it knows other members.
        """
        self._clock.advance(report.clock, now)
        if from_local:
            self.local_members.merge_holders(report)
        own = self.local_members.view(now, timing.dead_after_s).key
        if report.members == own and from_local:
            self.contact.record_agreement(now)
        named = self.local_members.roster_cache.find(report.members)
        self._lacks_members = named is None
        if named is not None:
            self._dispute(named, now, timing)
            return None
        return RosterWant(data_centre=self.name, base=own)

    def merge_roster(
        self, roster: Roster, now: float, timing: PeerTiming
    ) -> None:
        """Merge members that another node knows, and record disputed ones."""
        for peer in roster.added:
            if peer.data_centre == self.name:
                self.local_members.merge_entry(peer, now)
        self.local_members.roster_cache.read(roster)
        named = [peer.incarnation for peer in roster.added]
        self._dispute(named, now, timing)

    def pop_disputed(self) -> PeerNode | None:
        """Remove and return a disputed node, to check whether it is live."""
        disputed = self.local_members.disputed
        for member in self.local_members.others:
            if member.entry.incarnation in disputed:
                disputed.remove(member.entry.incarnation)
                return member.entry
        return None

    def make_roster(self, base: str, now: float, timing: PeerTiming) -> Roster:
        """Return the members as a difference from a set of members."""
        view = self.local_members.view(now, timing.dead_after_s)
        return self.local_members.roster_cache.make(
            to_members(view.members), base
        )

    def _dispute(
        self, named: Iterable[str], now: float, timing: PeerTiming
    ) -> None:
        """Record dead nodes that another node reported as live."""
        dead = {
            member.entry.incarnation
            for member in self.local_members.others
            if now - member.last_seen > timing.dead_after_s
        }
        self.local_members.disputed = dead.intersection(named)
