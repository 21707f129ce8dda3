"""Reports to the leader of the rate limits that servers return."""

from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.leading import LeaderRole
from chervilrock.tasks.serving.messages import LimitReported
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

MIN_REPORT_INTERVAL_S = 0.2
"""Shortest time between two reports. The leader's announcement with the
reported limits arrives within it."""


class LimitReports:
    """Reports new limits to the leader until the leader announces them."""

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Create a reporter that has sent no report.

        Args:
          state: state of the node.
          outbound: calls to other nodes.
        """
        self._state = state
        self._outbound = outbound
        self._reported_at = float("-inf")

    def act(
        self,
        now: float,
        *,
        leading: LeaderRole | None,
        leader: NodeEntry | None,
    ) -> None:
        """Report the limits that the leader has not announced, if due.

        Args:
          now: current time.
          leading: role of this node as the leader, None if it does not lead.
          leader: entry of the leader, None if it is not known.
        """
        unannounced = self._state.statements.limits.list_unannounced()
        if not unannounced or now - self._reported_at < MIN_REPORT_INTERVAL_S:
            return
        self._reported_at = now
        for server, rate in unannounced.items():
            if leading is not None:
                leading.record_limit(server, rate)
            elif leader is not None:
                self._outbound.send_limit_report(
                    leader, LimitReported(server, rate)
                )
