"""State of the servers, from their entries in the store and their reports.

Entries may be stale, so a server's own report takes precedence over an older
entry, and a host gets no group before it has reported in this term.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.orders import Join, ServerReport
from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)

SLOW_TIME_FACTOR = 2.0
"""Time factor from which a server counts as slow. A group is as slow as its
slowest host, and a group that takes twice as long exceeds the longest pause
between events that counts as on time."""

SLOW_EXCLUSION_S = 6.0
"""Time for which a slow server gets no new group; its status is then queried
again."""

SLOW_PERIOD_S = 8.0
"""Time after a report of a slow server during which others may be slow too."""

FRESH_REPORT_S = 2.0
"""Age up to which the time factor in a report counts as current."""

UNRESPONSIVE_S = 2.0
"""Time for which an unresponsive server gets no new group."""

MAX_REPORT_AGE_S = 0.6
"""Greatest age of a report; servers answer a status query with a state that
is some hundred milliseconds old."""


class IncarnationOrder(enum.Enum):
    """How the incarnation in a message relates to the known one of its server.

    Attributes:
      SAME: it is the known one.
      NEW: it is a later one.
      FORMER: it is an earlier one, so the message is out of date.
    """

    SAME = "same"
    NEW = "new"
    FORMER = "former"


class Observation(NamedTuple):
    """The group of a server after a number of orders.

    Attributes:
      membership: its group, None when it was in none.
      obeyed: number of orders that it had executed since its start.
      is_current: whether no order is known that may have changed the group
        since. Otherwise the server has executed at least as many orders, and
        has to report again.
    """

    membership: Membership | None
    obeyed: int
    is_current: bool


class HostRegistry:
    """Registry of servers, their models, and which may join a group.

    Attributes:
      servers: servers that have an entry.
      loaded: model that each server has in memory, where known.
      dissolved: groups whose heads have left, as pairs of name and epoch. They
        are not planned with again, but a late order or one of a former leader
        may open them once more.
      last_added_at: when the last new server was added.
      first_entry_at: when the first entry was received.
      last_report_at: when any server last reported.
      evacuated: since when each evacuated data centre is known here to be so.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self.servers: dict[str, BackendServer] = {}
        self.loaded: dict[str, str] = {}
        self.dissolved: set[tuple[str, int]] = set()
        self.last_added_at = float("-inf")
        self.first_entry_at = float("inf")
        self.last_report_at = float("-inf")
        self.evacuated: dict[str, float] = {}
        self._former: dict[str, BackendServer] = {}
        self._reporting: set[str] = set()
        self._joined: set[str] = set()
        self._observations: dict[str, Observation] = {}
        self._unopened: set[tuple[str, int]] = set()
        self._reported: dict[str, Membership | None] = {}
        self._left: dict[tuple[str, int], float] = {}
        self._ordered_at: dict[str, float] = {}
        self._unresponsive: dict[str, float] = {}
        self._slow_until: dict[str, float] = {}
        self._started_ms: dict[str, int] = {}
        self._restarted_at: dict[str, float] = {}
        self._departed: set[str] = set()
        self._unanswered: set[str] = set()
        self._misdirected: dict[str, str] = {}
        self._reported_at: dict[str, float] = {}
        self._slow_seen_at = float("-inf")

    def record_incarnation(
        self, server: str, started_ms: int, now: float
    ) -> "IncarnationOrder":
        """Record the incarnation in a message and compare it to the known one.

        A server that restarts under its identifier has no state, so its record
        is reset. Otherwise its earlier report would count as newer than the
        first entry of the new incarnation, and the server as a member of its
        former group.
        """
        known = self._started_ms.get(server, 0)
        if not known:
            self._started_ms[server] = started_ms
        if not known or started_ms in (known, 0):
            # A message without an incarnation does not contradict it.
            return IncarnationOrder.SAME
        if started_ms < known:
            return IncarnationOrder.FORMER
        self._started_ms[server] = started_ms
        self._restarted_at[server] = now
        self._forget(server)
        return IncarnationOrder.NEW

    def find_start(self, server: str) -> int:
        """Return the latest start of a server in Unix ms, 0 if unknown."""
        return self._started_ms.get(server, 0)

    def _forget(self, server: str) -> None:
        """Reset all state of a server except that it exists."""
        self._reporting.discard(server)
        self._joined.discard(server)
        self._departed.discard(server)
        self.loaded.pop(server, None)
        self._observations.pop(server, None)
        self._unanswered.discard(server)
        self._misdirected.pop(server, None)
        for times in (self._ordered_at, self._unresponsive, self._slow_until):
            times.pop(server, None)
        self._reported.pop(server, None)
        self._left = {
            left: left_at
            for left, left_at in self._left.items()
            if left[0] != server
        }
        entry = self.servers.get(server)
        if entry is not None:
            self.servers[server] = entry._replace(membership=None)

    def record_departure(self, server: str, stated_at: float) -> bool:
        """Record that a server says that it leaves, whatever its entry says.

        Args:
          server: identifier of the server.
          stated_at: when it last said so; before its restart under the same
            identifier it does not count.

        Returns:
          Whether the server was not known to leave.
        """
        entry = self.servers.get(server)
        if stated_at < self._restarted_at.get(server, float("-inf")):
            return False
        if entry is None or entry.is_leaving:
            return False
        self._departed.add(server)
        self.servers[server] = entry._replace(is_leaving=True)
        return True

    def set_evacuated(self, evacuated: frozenset[str], now: float) -> None:
        """Set the evacuated data centres.

        Hosts of a data centre that is no longer evacuated have to report
        again: they may have lost their weights in the meantime.
        """
        returned = set(self.evacuated) - evacuated
        for name in returned:
            del self.evacuated[name]
        for name in evacuated:
            self.evacuated.setdefault(name, now)
        if returned:
            self._reporting -= {
                server.server
                for server in self.servers.values()
                if server.data_centre in returned
            }

    def is_evacuated(self, server: str) -> bool:
        """Return whether the data centre of a server is evacuated."""
        if not self.evacuated:
            return False
        entry = self.find(server)
        return entry is not None and entry.data_centre in self.evacuated

    def find(self, server: str) -> BackendServer | None:
        """Return a server, including one whose entry was removed."""
        return self.servers.get(server) or self._former.get(server)

    def apply_entry(
        self, entry: BackendServer, now: float
    ) -> Membership | None:
        """Apply the entry of a server and return its membership."""
        if entry.server not in self.servers:
            self.last_added_at = now
        self.first_entry_at = min(self.first_entry_at, now)
        corrected = self._correct(entry)
        if entry.server in self._departed:
            corrected = corrected._replace(is_leaving=True)
        self.servers[entry.server] = corrected
        membership = corrected.membership
        if membership is None:
            return None
        name = groupnames.parse_name(membership.group)
        if name is not None and membership.state is not MemberState.JOINING:
            self.loaded[entry.server] = name.model
        return membership

    def remove_entry(self, server: str) -> None:
        """Apply the removal of a server's entry."""
        self._departed.discard(server)
        removed = self.servers.pop(server, None)
        if removed is not None:
            self._former[server] = removed

    def apply_report(
        self, server: str, report: ServerReport, now: float
    ) -> bool:
        """Apply the report of a server.

        Returns:
          Whether the server has rejoined a group that it had left.
        """
        self.last_report_at = now
        self._unanswered.discard(server)
        self._reported_at[server] = now
        if report.time_factor >= SLOW_TIME_FACTOR:
            self._slow_until[server] = now + SLOW_EXCLUSION_S
            self._slow_seen_at = now
        else:
            self._slow_until.pop(server, None)
        self._reporting.add(server)
        if self._is_outdated(server, report, now):
            return False
        self._reported[server] = report.membership
        self._observations[server] = Observation(
            report.membership, report.obeyed, True
        )
        entry = self.servers.get(server)
        if entry is not None:
            self.servers[server] = entry._replace(
                membership=report.membership, staged=report.staged
            )
        membership = report.membership
        if membership is None:
            return False
        return self._left.pop((server, membership.epoch), None) is not None

    def _is_outdated(
        self, server: str, report: ServerReport, now: float
    ) -> bool:
        """Return whether a report shows a state before the last known order."""
        ordered_at = self._ordered_at.get(server, float("-inf"))
        if now - ordered_at > MAX_REPORT_AGE_S:
            return False
        known = self._observations.get(server)
        if known is not None:
            return report.obeyed < known.obeyed
        membership = report.membership
        return membership is not None and (
            (server, membership.epoch) in self._left
        )

    def record_left(
        self, server: str, epoch: int, now: float, *, by_order: bool
    ) -> None:
        """Record that a server is not in a group any more.

        If the server has joined that group in this term, only the order to
        leave can have changed its state by one order: any other group of this
        leader has a lower epoch, and one of a later leader a higher one than
        this leader may use. Otherwise an order of a former leader may have
        moved it to another group, so it has to report again.

        Args:
          server: the server.
          epoch: epoch of the group.
          now: current time.
          by_order: whether the server has answered that it left.
        """
        self._left[server, epoch] = now
        self._ordered_at[server] = now
        known = self._observations.get(server)
        if known is None or known.membership is None:
            return
        if known.membership.epoch == epoch:
            is_current = by_order and known.is_current
            self._observations[server] = Observation(
                None, known.obeyed + 1, is_current and server in self._joined
            )

    def record_joined(self, server: str, order: Join, now: float) -> None:
        """Record that a server has executed an order to join.

        The order depended on the number of orders before it, which is one
        greater now.
        """
        self._reporting.add(server)
        self._joined.add(server)
        known = self._observations.get(server)
        if known is None or order.expected != known.obeyed:
            return
        former = known.membership
        if former is not None and former.epoch == order.epoch:
            return
        rank = order.members.index(server)
        self._ordered_at[server] = now
        self._observations[server] = Observation(
            Membership(order.group, order.epoch, rank, MemberState.JOINING),
            known.obeyed + 1,
            True,
        )

    def record_order(self, server: str, now: float, *, has_begun: bool) -> None:
        """Record an order that changes no membership, such as one to stage.

        Args:
          server: the server.
          now: current time.
          has_begun: whether the server has answered that it began to execute
            the order, which then counts. A recent report may have counted it.
        """
        known = self._observations.get(server)
        if known is None or not has_begun:
            return
        reported_at = self._reported_at.get(server, float("-inf"))
        is_counted_once = now - reported_at > MAX_REPORT_AGE_S
        is_current = known.is_current and server in self._joined
        self._ordered_at[server] = now
        self._observations[server] = known._replace(
            obeyed=known.obeyed + 1, is_current=is_current and is_counted_once
        )

    def require_report(self, server: str) -> None:
        """Record an order that may or may not have counted."""
        known = self._observations.get(server)
        if known is not None:
            self._observations[server] = known._replace(is_current=False)

    def record_unopened(self, group: str, epoch: int) -> None:
        """Record that a group has ended and no order to open it was sent."""
        self._unopened.add((group, epoch))

    def forget_observation(self, server: str) -> None:
        """Record that a server has executed other orders than those known."""
        self._observations.pop(server, None)

    def find_observation(self, server: str) -> Observation | None:
        """Return the state of a server, None if it has to report first."""
        known = self._observations.get(server)
        return known if known is not None and known.is_current else None

    def may_be_served(self, membership: Membership | None) -> bool:
        """Return whether the head of a group may serve, whoever opened it.

        That the group was dissolved does not count: until a server has seen a
        higher epoch, it may join the same group again.

        Args:
          membership: the group, as a member reports it.
        """
        if membership is None:
            return False
        if (membership.group, membership.epoch) in self._unopened:
            return False
        name = groupnames.parse_name(membership.group)
        if name is not None and name.is_standby:
            return False
        is_head = membership.rank == 0
        return not (is_head and membership.state is MemberState.JOINING)

    def record_unresponsive(self, server: str, now: float) -> None:
        """Record that a server is unresponsive; it is unused until it reports.

        Its entry remains for some seconds. A new group with such a server as a
        member would have to be dissolved again.
        """
        self._unresponsive[server] = now + UNRESPONSIVE_S
        self._reporting.discard(server)
        self._unanswered.add(server)

    def record_misdirected(self, server: str, now: float) -> None:
        """Record that another server has the address of a server.

        The server has ended, whatever an old entry says, and reports from this
        address are those of the other one.
        """
        entry = self.find(server)
        if entry is not None:
            self._misdirected[server] = entry.address
        self.record_unresponsive(server, now)

    def is_misdirected(self, server: str) -> bool:
        """Return whether another server has the address of a server."""
        entry = self.find(server)
        return (
            entry is not None and self._misdirected.get(server) == entry.address
        )

    def record_unanswered(self, server: str) -> None:
        """Record that a server did not answer a status query."""
        self._unanswered.add(server)
        self._reporting.discard(server)

    def may_be_slow(self, server: str, now: float) -> bool:
        """Return whether a server's time factor has to be queried before use.

        Hosts tend to become slow several at a time. During such a period, a
        host without a recent report has an even chance of making its next
        group slow, and it takes two seconds to form that group and to detect
        the slowness.
        """
        if now - self._slow_seen_at > SLOW_PERIOD_S:
            return False
        reported = self._reported_at.get(server, float("-inf"))
        return now - reported > FRESH_REPORT_S

    def is_answering(self, server: str) -> bool:
        """Return whether a server answered its last status query, if any."""
        return server not in self._unanswered

    def has_reported(self, server: str) -> bool:
        """Return whether a server has reported its state in this term."""
        return server in self._reporting

    def is_slow(self, server: str, now: float) -> bool:
        """Return whether a server is much slower than others."""
        return self._slow_until.get(server, now) > now

    def may_be_in_open_group(self, host: BackendServer) -> bool:
        """Return whether an entry names a group that may still be open."""
        return self._may_be_open_member(host.server, host.membership)

    def find_reported_membership(self, server: str) -> Membership | None:
        """Return the membership that a server reported, unless it has ended.

        Unlike an entry, a report reflects all orders executed before it.
        """
        reported = self._reported.get(server)
        return reported if self._may_be_open_member(server, reported) else None

    def list_memberships(self, server: str) -> list[Membership]:
        """Return the memberships of a server that may not have ended.

        Its entry and its last report may name different groups.
        """
        entry = self.servers.get(server)
        named = (
            None if entry is None else entry.membership,
            self._reported.get(server),
        )
        return [
            membership
            for membership in named
            if membership is not None
            and self._may_be_open_member(server, membership)
        ]

    def _may_be_open_member(
        self, server: str, membership: Membership | None
    ) -> bool:
        """Return whether the group of a server may still be open."""
        if membership is None:
            return False
        key = (membership.group, membership.epoch)
        left = (server, membership.epoch)
        return key not in self.dissolved and left not in self._left

    def list_domains(
        self, service: str, now: float
    ) -> dict[str, list[BackendServer]]:
        """Return the hosts that may be in a group, by fabric domain."""
        domains: dict[str, list[BackendServer]] = {}
        for name, server in self.servers.items():
            if name in self._slow_until and not self.is_slow(name, now):
                # Its status is queried again before it may be used.
                del self._slow_until[name]
                self._reporting.discard(name)
            is_unusable = (
                server.is_leaving
                or server.data_centre in self.evacuated
                or self._unresponsive.get(name, now) > now
                or self.is_misdirected(name)
                or self.is_slow(name, now)
            )
            if server.service == service and not is_unusable:
                domains.setdefault(server.domain, []).append(server)
        return domains

    def _correct(self, entry: BackendServer) -> BackendServer:
        """Replace an older membership in an entry by the reported one."""
        reported = self._reported.get(entry.server)
        if reported is None:
            return entry
        entry_membership = entry.membership
        if (
            entry_membership is not None
            and entry_membership.epoch >= reported.epoch
        ):
            return entry
        return entry._replace(membership=reported)
