"""Reports to the leader of what servers state of themselves."""

from collections.abc import Mapping

from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.leading import LeaderRole
from chervilrock.tasks.serving.messages import (
    DepartureReported,
    LimitReported,
    PausesReported,
    StatementReport,
)
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

MIN_REPORT_INTERVAL_S = 0.2
"""Shortest time between two reports. The leader's announcement with what was
reported arrives within it."""


class StatementReports:
    """Reports statements of servers to the leader.

    Limits and departures are repeated until the leader announces them. Pauses
    are reported when there is a new one, and end by themselves.
    """

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Create a reporter that has sent no report.

        Args:
          state: state of the node.
          outbound: calls to other nodes.
        """
        self._state = state
        self._outbound = outbound
        self._reported_at = float("-inf")
        self._reported_ends: Mapping[str, float] = {}
        self._recipient: NodeEntry | None = None

    def act(
        self,
        now: float,
        *,
        leading: LeaderRole | None,
        leader: NodeEntry | None,
    ) -> None:
        """Report what the leader has not announced, if due.

        Args:
          now: current time.
          leading: role of this node as the leader, None if it does not lead.
          leader: entry of the leader, None if it is not known.
        """
        recipient = self._state.own if leading is not None else leader
        if not self._state.statements or recipient is None:
            return
        if now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return
        if recipient != self._recipient:
            self._recipient = recipient
            self._reported_ends = {}
        reports: tuple[StatementReport, ...] = (
            *self._list_limits(),
            *self._list_departures(now),
            *self._list_pauses(now),
        )
        for report in reports:
            self._reported_at = now
            if leading is not None:
                leading.record_statement(report, now)
            else:
                self._outbound.send_statement(recipient, report)

    def _list_limits(self) -> list[LimitReported]:
        """Return the limits that the leader has not announced."""
        unannounced = self._state.statements.limits.list_unannounced()
        return [LimitReported(*limit) for limit in unannounced.items()]

    def _list_departures(self, now: float) -> list[DepartureReported]:
        """Return the departures of servers that the view still lists."""
        departures = self._state.statements.departures
        if not departures:
            return []
        return [
            DepartureReported(server, departures.find_age(server, now))
            for server in sorted(self._state.view.list_targets())
            if server in departures
        ]

    def _list_pauses(self, now: float) -> list[PausesReported]:
        """Return the pauses of heads of groups if there is a new one."""
        pausing = self._state.statements.pauses.list_pausing(now)
        heads = {group.server for group in self._state.view.groups}
        ends = {
            server: round(now + pause_s, 3)
            for server, pause_s in pausing.items()
            if server in heads
        }
        is_known = ends.items() <= self._reported_ends.items()
        self._reported_ends = ends
        if is_known:
            return []
        pauses = {server: end - now for server, end in ends.items()}
        return [PausesReported(self._state.own.node, pauses)]
