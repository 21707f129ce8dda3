"""Reports to other nodes of servers that crashed while they ran a request.

The leader gets a report of each crash at once; a new leader gets all crashes
that this node has observed. If the leader does not answer, or does not withhold
a request that this node would withhold, the crashes are broadcast to all nodes,
so that each of them can evaluate them itself.
"""

from collections.abc import Iterable

from chervilrock.decisions.serving.admission.suspects import (
    CrashReport,
    ServerCrash,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.messages import CrashReportAnswered
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

REPORT_RETRY_DELAY_S = 0.2
"""Delay after a report that the leader did not accept."""

MAX_REPORTED_CRASHES = 256
"""Features and crashes in one report."""

MAX_RETAINED_FEATURES = 512
"""Features whose crashes are retained to report them to each new leader."""

CrashKey = tuple[str, str]
"""A feature and a server that crashed while it ran a request with it."""


class CrashReports:
    """Crashes that this node observed, and which nodes it reported them to.

    Attributes:
      is_rejected: whether the leader did not accept the last report.
    """

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Create a reporter without crashes.

        Args:
          state: state of the node.
          outbound: calls to other nodes.
        """
        self._state = state
        self._outbound = outbound
        self._seen: dict[str, dict[str, ServerCrash]] = {}
        self._unsent: dict[CrashKey, ServerCrash] = {}
        self._unsent_cleared: list[str] = []
        self._broadcast_done: set[CrashKey] = set()
        self._leader = ""
        self._is_awaiting_answer = False
        self._retry_at = float("-inf")
        self.is_rejected = False

    def record_crash(self, content: str, crash: ServerCrash) -> None:
        """Record a crash of a server under a feature, to report it."""
        while len(self._seen) >= MAX_RETAINED_FEATURES:
            self.drop(next(iter(self._seen)))
        self._seen.setdefault(content, {})[crash.server] = crash
        self._unsent[(content, crash.server)] = crash

    def record_completion(self, content: str) -> None:
        """Record that a request with a feature ran normally, to report it."""
        self.drop(content)
        self._unsent_cleared.append(content)

    def drop(self, content: str) -> None:
        """Drop the crashes of a feature, which are not reported any more."""
        for server in self._seen.pop(content, ()):
            self._unsent.pop((content, server), None)
            self._broadcast_done.discard((content, server))

    def send_due(self, leader: NodeEntry | None, now: float) -> None:
        """Send a report to the leader, or to all nodes if there is none."""
        if leader is not None and leader.incarnation != self._leader:
            # A new leader has only the crashes that nodes report to it.
            self._leader = leader.incarnation
            self._is_awaiting_answer = False
            self._retry_at = now
            self.is_rejected = False
            self._unsent = {
                (content, server): crash
                for content, crashes in self._seen.items()
                for server, crash in crashes.items()
            }
        if not self._unsent and not self._unsent_cleared:
            return
        if leader is None:
            self._broadcast_unsent()
        elif not self._is_awaiting_answer and now >= self._retry_at:
            self._is_awaiting_answer = True
            report = CrashReport(
                crashes=self._list_crashes(self._unsent),
                cleared=tuple(self._unsent_cleared[:MAX_REPORTED_CRASHES]),
            )
            self._outbound.send_crash_report(leader, report)

    def discard_unsent(self) -> None:
        """Discard unsent reports, as this node is the leader itself."""
        self._unsent.clear()
        self._unsent_cleared.clear()

    def record_answered(
        self, answered: CrashReportAnswered, now: float
    ) -> None:
        """Handle the answer to a report."""
        if answered.incarnation != self._leader:
            return
        self._is_awaiting_answer = False
        self.is_rejected = not answered.is_accepted
        if not answered.is_accepted:
            self._retry_at = now + REPORT_RETRY_DELAY_S
            self._broadcast_unsent()
            return
        for content, crash in answered.report.crashes:
            self._unsent.pop((content, crash.server), None)
        reported = set(answered.report.cleared)
        self._unsent_cleared = [
            content
            for content in self._unsent_cleared
            if content not in reported
        ]

    def broadcast(self, contents: Iterable[str]) -> None:
        """Report the crashes of some features to all nodes, each crash once."""
        self._broadcast_keys(self._list_keys(dict.fromkeys(contents)))

    def _broadcast_unsent(self) -> None:
        """Report to all nodes what no leader has accepted."""
        if self._unsent_cleared:
            cleared = tuple(self._unsent_cleared[:MAX_REPORTED_CRASHES])
            del self._unsent_cleared[:MAX_REPORTED_CRASHES]
            self._send_to_all(CrashReport(cleared=cleared))
        self._broadcast_keys(self._unsent)

    def _broadcast_keys(self, keys: Iterable[CrashKey]) -> None:
        fresh = [key for key in keys if key not in self._broadcast_done]
        if not fresh:
            return
        report = CrashReport(crashes=self._list_crashes(fresh))
        self._broadcast_done.update(
            (content, crash.server) for content, crash in report.crashes
        )
        self._send_to_all(report)

    def _send_to_all(self, report: CrashReport) -> None:
        for entry in self._state.known_nodes.values():
            if entry.incarnation != self._state.own.incarnation:
                self._outbound.send_crash_report(entry, report)

    def _list_keys(self, contents: Iterable[str]) -> list[CrashKey]:
        return [
            (content, server)
            for content in contents
            for server in self._seen.get(content, ())
        ]

    def _list_crashes(
        self, keys: Iterable[CrashKey]
    ) -> tuple[tuple[str, ServerCrash], ...]:
        known = [
            (content, self._seen[content][server])
            for content, server in keys
            if server in self._seen.get(content, ())
        ]
        return tuple(known[:MAX_REPORTED_CRASHES])
