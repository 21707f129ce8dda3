"""Creation of the digests that a node sends."""

from collections.abc import Mapping

from chervilrock.decisions.membership.localconfiguration import ShareTracker
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.generated.interfaces import (
    DataCentreReport,
    NodeUse,
    PeerDigest,
    Roster,
    RosterWant,
)

MAX_REPORTS = 16
"""Maximum number of reports of data centres in a digest."""

MAX_ROSTERS = 4
MAX_SHARES = 16
MAX_SHARING_NODES = 64
"""Number of nodes above which shares are not sent.

Dividing a quota by demand needs an update of every node within seconds. More
nodes than this get equal parts, which need no updates.
"""


class DigestWriter:
    """Writes the state that a node knows into digests."""

    def __init__(self, *, table: MemberTable, shares: ShareTracker) -> None:
        """Create a writer.

        Args:
          table: the known nodes
          shares: counts the requests of bounded workspaces
        """
        self._table = table
        self._shares = shares

    def write(
        self, receiver: str, known_clocks: Mapping[str, int], now: float
    ) -> PeerDigest:
        """Return a digest with the updates for a node of a data centre.

        Args:
          receiver: data centre of the receiver, empty if unknown
          known_clocks: clocks that the receiver knows by data centre
          now: present time
        """
        table = self._table
        is_local = receiver == table.own.data_centre
        reports = table.report_remotes(now, MAX_REPORTS, receiver, known_clocks)
        if is_local or table.may_report(now):
            reports = [table.report_own(now), *reports]
        digest = PeerDigest(sender=table.own)
        if is_local:
            digest["heartbeats"] = table.report_heartbeats(now)
        if reports:
            digest["data_centres"] = tuple(reports)
        shares = self._choose_shares(now)
        if shares:
            digest["shares"] = shares
        return digest

    def add_rosters(
        self, digest: PeerDigest, wants: tuple[RosterWant, ...], now: float
    ) -> None:
        """Add the members that the receiver requests, and their reports."""
        rosters: list[Roster] = []
        reports: list[DataCentreReport] = []
        for want in wants[:MAX_ROSTERS]:
            roster = self._table.make_roster(want, now)
            report = self._table.find_report(want.data_centre, now)
            if roster is not None and report is not None:
                rosters.append(roster)
                reports.append(report)
        if rosters:
            others = digest.get("data_centres", ())
            digest["rosters"] = tuple(rosters)
            digest["data_centres"] = (*others, *reports)

    def _choose_shares(self, now: float) -> tuple[NodeUse, ...]:
        """Return the newest shares, if they can reach every node in time."""
        if self._table.size > MAX_SHARING_NODES:
            return ()
        used = [use for use in self._shares.shares(now) if use.uses]
        used.sort(key=lambda use: use.age_ms)
        return tuple(used[:MAX_SHARES])


def add_wants(digest: PeerDigest, wants: list[RosterWant]) -> None:
    """Add requests for members to a digest."""
    if wants:
        digest["wants"] = tuple(wants[:MAX_ROSTERS])
