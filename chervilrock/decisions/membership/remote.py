"""The state of another data centre.

Only the members of a data centre report its membership; nodes elsewhere
forward these reports. The members of a data centre share a clock, so that nodes
elsewhere know the age of a report on any path. A data centre without new
reports is lost, with all its nodes.
"""

from collections.abc import Iterable

from chervilrock.decisions.membership.clocks import (
    ClockEstimate,
    MAX_COUNTER,
)
from chervilrock.decisions.membership.rosters import (
    decode_holders,
    is_departing,
    Members,
    PERCENT,
    rank_phase,
    RosterCache,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    NodePhase,
    PeerNode,
    Roster,
    RosterWant,
)

MAX_ROSTER = 1024


class RemoteDataCentre:
    """The nodes of another data centre, as reported by its members.

    Attributes:
      name: name of the data centre
      last_seen: estimated time at which the last report was sent, in seconds
        of the local clock
      report: the last report applied, None before the first one
      departures: number of nodes that were observed to leave or stop
    """

    def __init__(self, *, name: str, now: float) -> None:
        """Create a data centre without members."""
        self.name = name
        self.last_seen = now
        self.report: DataCentreReport | None = None
        self.departures = 0
        self._clock: ClockEstimate | None = None
        self._roster_cache = RosterCache(data_centre=name)
        self._members: Members = {}
        self._phases: dict[str, NodePhase] = {}
        self._revisions: dict[str, int] = {}
        self._peers: list[PeerNode] | None = []

    @property
    def entries(self) -> Iterable[PeerNode]:
        """The members of the last roster, with outdated load and revision."""
        return self._members.values()

    @property
    def peers(self) -> list[PeerNode]:
        """The members with load and revision of the last report."""
        if self._peers is None:
            self._peers = self._make_peers()
        return self._peers

    def apply_roster(self, roster: Roster) -> None:
        """Cache members, for the report that has their hash."""
        is_own = all(peer.data_centre == self.name for peer in roster.added)
        if is_own and len(roster.added) <= MAX_ROSTER:
            self._roster_cache.read(roster)

    def apply_report(
        self, report: DataCentreReport, now: float
    ) -> RosterWant | None:
        """Apply a report, if it is newer and its members are known.

        Returns:
          The members to request, if those of the report are not known.
        """
        known = self.report
        if report.clock >= MAX_COUNTER:
            return None
        if known is not None and report.clock <= known.clock:
            return None
        members = self._roster_cache.find(report.members)
        if members is None:
            base = "" if known is None else known.members
            return RosterWant(data_centre=self.name, base=base)
        if known is None or known.members != report.members:
            self._replace_members(members)
        self._apply_revision(report)
        self.report = report
        self.last_seen = self._estimate(report.clock, now)
        self._peers = None
        return None

    def make_roster(self, base: str) -> Roster | None:
        """Return the members as a difference from a set of members."""
        if self.report is None:
            return None
        members = self._roster_cache.find(self.report.members)
        return (
            None if members is None else self._roster_cache.make(members, base)
        )

    def report_to_members(self, now: float) -> DataCentreReport | None:
        """Return the last report, with the clock that is expected now.

        It is sent to the members, which may have lost their clock at a
        restart.
        """
        if self.report is None or self._clock is None:
            return None
        clock = max(self.report.clock, self._clock.expect(now))
        return self.report._replace(clock=clock)

    def _estimate(self, clock: int, now: float) -> float:
        """Return the estimated time at which a report was sent."""
        if self._clock is None:
            self._clock = ClockEstimate(counter=clock, now=now)
        return self._clock.update(clock, now)

    def _replace_members(self, members: Members) -> None:
        """Replace the members; phases and revisions never decrease."""
        phases = {}
        for key, peer in members.items():
            old = self._phases.get(key, NodePhase.STARTING)
            newer = rank_phase(peer.phase) > rank_phase(old)
            phases[key] = peer.phase if newer else old
            if newer and is_departing(peer.phase):
                self.departures += 1
        self._members = members
        self._phases = phases
        self._revisions = {
            key: max(self._revisions.get(key, 0), peer.revision)
            for key, peer in members.items()
        }

    def _apply_revision(self, report: DataCentreReport) -> None:
        known = self.report
        if (
            known is not None
            and known.revision == report.revision
            and known.holders == report.holders
            and known.members == report.members
        ):
            return
        for key in decode_holders(list(self._members), report.holders):
            self._revisions[key] = max(self._revisions[key], report.revision)

    def _make_peers(self) -> list[PeerNode]:
        load = 0.0 if self.report is None else self.report.load / PERCENT
        return [
            peer._replace(
                phase=self._phases[key],
                load=load,
                revision=self._revisions[key],
            )
            for key, peer in self._members.items()
        ]
