"""The state of all other data centres."""

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
      departures: number of nodes that were observed to leave or stop
    """

    def __init__(self) -> None:
        self._remotes: dict[str, RemoteDataCentre] = {}
        self.departures = 0

    def apply_report(
        self, report: DataCentreReport, now: float
    ) -> RosterWant | None:
        """Apply a report; return the members to request from its sender."""
        remote = self._remotes.get(report.data_centre)
        if remote is None:
            if len(self._remotes) >= MAX_DATA_CENTRES:
                return None
            remote = RemoteDataCentre(name=report.data_centre, now=now)
            self._remotes[report.data_centre] = remote
        before = remote.departures
        want = remote.apply_report(report, now)
        self.departures += remote.departures - before
        return want

    def apply_roster(self, roster: Roster) -> None:
        """Apply the members of a data centre."""
        remote = self._remotes.get(roster.data_centre)
        if remote is not None:
            remote.apply_roster(roster)

    def make_roster(
        self, want: RosterWant, now: float, lost_after_s: float
    ) -> Roster | None:
        """Return the members that another node requests, if known.

        The members of a lost data centre are not sent: a new node there
        would consider them live.
        """
        remote = self._remotes.get(want.data_centre)
        if remote is None or now - remote.last_seen > lost_after_s:
            return None
        return remote.make_roster(want.base)

    def find_report(self, name: str) -> DataCentreReport | None:
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
        self,
        now: float,
        fresh_s: float,
        limit: int,
        known_clocks: Mapping[str, int],
    ) -> list[DataCentreReport]:
        """Return the newest reports, to forward them.

        Args:
          now: present time
          fresh_s: maximum age of a report in seconds
          limit: maximum number of reports
          known_clocks: clocks that the receiver knows by data centre
        """
        fresh = [
            remote
            for remote in self._remotes.values()
            if now - remote.last_seen <= fresh_s
        ]
        fresh.sort(key=lambda remote: -remote.last_seen)
        reports = [
            remote.report
            for remote in fresh
            if remote.report is not None
            and remote.report.clock > known_clocks.get(remote.name, -1)
        ]
        return reports[:limit]

    def live(self, now: float, lost_after_s: float) -> list[PeerNode]:
        """Return the members of the data centres that are not lost."""
        return [
            peer
            for remote in self._remotes.values()
            if now - remote.last_seen <= lost_after_s
            for peer in remote.peers
        ]

    def peers(self) -> list[PeerNode]:
        """Return all members, including those of lost data centres."""
        return [
            peer for remote in self._remotes.values() for peer in remote.peers
        ]

    def entries(self) -> list[PeerNode]:
        """Return all members, with outdated load and revision."""
        return [
            peer for remote in self._remotes.values() for peer in remote.entries
        ]

    def share_reachable(self) -> float:
        """Return the share of members known to be reachable, 1 without any."""
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
            if late_s < now - remote.last_seen <= lost_after_s
        ]
        if not late:
            return None
        return min(late, key=lambda remote: remote.last_seen).name

    def has_lost(self, now: float, lost_after_s: float) -> bool:
        """Return whether a data centre is lost."""
        return any(
            now - remote.last_seen > lost_after_s
            for remote in self._remotes.values()
        )

    def forget(self, now: float, after_s: float) -> list[PeerNode]:
        """Drop data centres without reports for `after_s`; return members."""
        dropped: list[PeerNode] = []
        for name, remote in list(self._remotes.items()):
            if now - remote.last_seen > after_s:
                dropped += remote.peers
                del self._remotes[name]
        return dropped
