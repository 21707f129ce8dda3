"""The own data centre: its nodes, its clock, and who may speak for it."""

from collections.abc import Iterable

from chervilrock.decisions.membership.clocks import Counter
from chervilrock.decisions.membership.contact import Contact
from chervilrock.decisions.membership.near import (
    NearMembers,
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
    """What a node knows and says of its own data centre.

    Attributes:
      name: name of the data centre
      near: its nodes
      contact: when this node was in touch with others
    """

    def __init__(self, *, own: PeerNode) -> None:
        """Know only this node."""
        self.name = own.data_centre
        self.near = NearMembers(own=own)
        self.contact = Contact()
        self._clock = Counter()
        self._seeks_members = False

    def beat(self, now: float) -> None:
        """Bring the heartbeat up to date and drop nodes silent for long."""
        self.near.beat(now)
        self.near.forget(now, DROP_AFTER_S)

    def report(self, now: float, timing: PeerTiming) -> DataCentreReport:
        """Return the report of the data centre."""
        view = self.near.view(now, timing.dead_after_s)
        return report_data_centre(view, self.name, self._clock.read(now))

    def report_heartbeats(
        self, now: float, timing: PeerTiming
    ) -> HeartbeatReport:
        """Return the news of the nodes, for other nodes here."""
        self.near.beat(now)
        return report_heartbeats(self.near.view(now, timing.dead_after_s))

    def may_report(self, now: float, timing: PeerTiming) -> bool:
        """Say whether this node may speak for the data centre elsewhere."""
        settle_s = timing.dead_after_s
        if self.contact.is_settled(now, settle_s):
            return True
        alone = not any(self.near.others) and not self._seeks_members
        return alone and self.contact.is_in_touch(now, settle_s)

    def compare(
        self,
        report: DataCentreReport,
        now: float,
        timing: PeerTiming,
        *,
        from_near: bool,
    ) -> RosterWant | None:
        """Compare what another node says of the data centre.

        Args:
          report: what it says
          now: present time
          timing: times of the exchange
          from_near: whether the other node stands here too

        Returns:
          What to ask it for, when it knows other members.
        """
        self._clock.advance(report.clock, now)
        if from_near:
            self.near.merge_holders(report)
        own = self.near.view(now, timing.dead_after_s).key
        if report.members == own and from_near:
            self.contact.note_agreement(now)
        named = self.near.book.find(report.members)
        self._seeks_members = named is None
        if named is not None:
            self._dispute(named, now, timing)
            return None
        return RosterWant(data_centre=self.name, base=own)

    def merge_roster(
        self, roster: Roster, now: float, timing: PeerTiming
    ) -> None:
        """Take members that another node knows, and note disputed ones."""
        for peer in roster.added:
            if peer.data_centre == self.name:
                self.near.merge_entry(peer, now)
        self.near.book.read(roster)
        named = [peer.incarnation for peer in roster.added]
        self._dispute(named, now, timing)

    def take_disputed(self) -> PeerNode | None:
        """Return a node to ask whether it lives, each one once."""
        disputed = self.near.disputed
        for member in self.near.others:
            if member.entry.incarnation in disputed:
                disputed.remove(member.entry.incarnation)
                return member.entry
        return None

    def make_roster(self, base: str, now: float, timing: PeerTiming) -> Roster:
        """Return the members, as a difference to a set of members."""
        view = self.near.view(now, timing.dead_after_s)
        return self.near.book.make(to_members(view.members), base)

    def _dispute(
        self, named: Iterable[str], now: float, timing: PeerTiming
    ) -> None:
        """Note the silent ones of nodes that another node named as live."""
        silent = {
            member.entry.incarnation
            for member in self.near.others
            if now - member.heard > timing.dead_after_s
        }
        self.near.disputed = silent.intersection(named)
