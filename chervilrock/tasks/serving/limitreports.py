"""Reports to the leader of the limits that servers name."""

from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.leading import Leading
from chervilrock.tasks.serving.messages import LimitHeard
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

REPORT_PAUSE_S = 0.2
"""Least time between two reports; what the leader tells is back by then."""


class LimitReports:
    """Tells the leader what this node has heard, until the leader tells it."""

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Report nothing yet.

        Args:
          state: what the node knows.
          outbound: makes calls.
        """
        self._state = state
        self._outbound = outbound
        self._reported = float("-inf")

    def act(
        self, now: float, *, leading: Leading | None, leader: NodeEntry | None
    ) -> None:
        """Report what is due.

        Args:
          now: present time.
          leading: the term of this node as the leader, None if it is not.
          leader: the node that leads, None if it is not known.
        """
        untold = self._state.limits.list_untold()
        if not untold or now - self._reported < REPORT_PAUSE_S:
            return
        self._reported = now
        for server, rate in untold.items():
            if leading is not None:
                leading.note_limit(server, rate)
            elif leader is not None:
                self._outbound.tell_limit(leader, LimitHeard(server, rate))
