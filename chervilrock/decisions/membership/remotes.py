"""What a node knows of all other data centres."""

from collections.abc import Mapping

from chervilrock.decisions.membership.remote import RemoteDataCentre
from chervilrock.generated.interfaces import (
    DataCentreReport,
    PeerNode,
    Roster,
    RosterWant,
)

MAX_DATA_CENTRES = 256


class RemoteDataCentres:
    """The other data centres by name.

    Attributes:
      departures: counts the nodes that were seen to leave or stop
    """

    def __init__(self) -> None:
        self._remotes: dict[str, RemoteDataCentre] = {}
        self.departures = 0

    def take_report(
        self, report: DataCentreReport, now: float
    ) -> RosterWant | None:
        """Take a report; return what to ask its sender for."""
        remote = self._remotes.get(report.data_centre)
        if remote is None:
            if len(self._remotes) >= MAX_DATA_CENTRES:
                return None
            remote = RemoteDataCentre(name=report.data_centre, now=now)
            self._remotes[report.data_centre] = remote
        before = remote.departures
        want = remote.take_report(report, now)
        self.departures += remote.departures - before
        return want

    def take_roster(self, roster: Roster) -> None:
        """Take the members of a data centre."""
        remote = self._remotes.get(roster.data_centre)
        if remote is not None:
            remote.take_roster(roster)

    def make_roster(
        self, want: RosterWant, now: float, lost_after_s: float
    ) -> Roster | None:
        """Return the members that another node asks for, if known.

        The members of a lost data centre are told to nobody: a new node
        there would take them for live.
        """
        remote = self._remotes.get(want.data_centre)
        if remote is None or now - remote.heard > lost_after_s:
            return None
        return remote.make_roster(want.base)

    def report_one(self, name: str) -> DataCentreReport | None:
        """Return the last report of a data centre, if there is one."""
        remote = self._remotes.get(name)
        return None if remote is None else remote.report

    def report_to_members(
        self, name: str, now: float
    ) -> DataCentreReport | None:
        """Return the report of a data centre for its own members."""
        remote = self._remotes.get(name)
        return None if remote is None else remote.report_to_members(now)

    def report_fresh(
        self, now: float, fresh_s: float, limit: int, told: Mapping[str, int]
    ) -> list[DataCentreReport]:
        """Return the newest reports, to be handed on.

        Args:
          now: present time
          fresh_s: greatest age of a report in seconds
          limit: greatest number of reports
          told: clocks that the receiver knows by data centre
        """
        fresh = [
            remote
            for remote in self._remotes.values()
            if now - remote.heard <= fresh_s
        ]
        fresh.sort(key=lambda remote: -remote.heard)
        reports = [
            remote.report
            for remote in fresh
            if remote.report is not None
            and remote.report.clock > told.get(remote.name, -1)
        ]
        return reports[:limit]

    def live(self, now: float, lost_after_s: float) -> list[PeerNode]:
        """Return the members of the data centres that are not lost."""
        return [
            peer
            for remote in self._remotes.values()
            if now - remote.heard <= lost_after_s
            for peer in remote.peers
        ]

    def peers(self) -> list[PeerNode]:
        """Return all members, those of lost data centres too."""
        return [
            peer for remote in self._remotes.values() for peer in remote.peers
        ]

    def entries(self) -> list[PeerNode]:
        """Return all members, without their load and revision."""
        return [
            peer for remote in self._remotes.values() for peer in remote.entries
        ]

    def share_reachable(self) -> float:
        """Return which share of the members is known to be reachable."""
        entries = self.entries()
        if not entries:
            return 1.0
        return sum(peer.reachable for peer in entries) / len(entries)

    def find_late(
        self, now: float, late_s: float, lost_after_s: float
    ) -> str | None:
        """Return the data centre with the oldest report, if it is late."""
        late = [
            remote
            for remote in self._remotes.values()
            if late_s < now - remote.heard <= lost_after_s
        ]
        if not late:
            return None
        return min(late, key=lambda remote: remote.heard).name

    def has_lost(self, now: float, lost_after_s: float) -> bool:
        """Say whether a data centre is lost."""
        return any(
            now - remote.heard > lost_after_s
            for remote in self._remotes.values()
        )

    def forget(self, now: float, after_s: float) -> list[PeerNode]:
        """Drop data centres that are lost for long; return their members."""
        gone: list[PeerNode] = []
        for name, remote in list(self._remotes.items()):
            if now - remote.heard > after_s:
                gone += remote.peers
                del self._remotes[name]
        return gone
