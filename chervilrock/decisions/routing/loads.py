"""Load of the groups, from own counts and from load reports that lag."""

import collections
from typing import NamedTuple

from chervilrock.decisions.routing import inflight
from chervilrock.generated import interfaces

REPORT_LIFETIME_S = 3.0
"""Age above which a load report is ignored."""

FULL_CACHE_SHARE = 0.9
"""Share of the KV cache in use from which new requests have to wait."""

BATCH_DECAY = 0.9999
"""Factor by which each load report lowers the greatest batch size seen."""


class _Report(NamedTuple):
    measured_at: float
    other_attempts: int
    waiting: int
    cache_used: float


class _CountChange(NamedTuple):
    time: float
    own_attempts: int


class GroupLoads:
    """Own attempts in progress, and those of other nodes as reported."""

    def __init__(self) -> None:
        """Create loads without reports and attempts."""
        self._in_flight = inflight.InFlightAttempts()
        self._reports: dict[str, _Report] = {}
        self._history: dict[str, collections.deque[_CountChange]] = {}
        self._max_batch = 0.0

    def count(self, group: str) -> int:
        """Return the number of own attempts in progress at a group."""
        return self._in_flight.count(group)

    def add(self, request_id: str, group: str, now: float) -> None:
        """Record the start of an own attempt."""
        self._in_flight.add(request_id, group)
        self._append_count(group, now)

    def discard(self, request_id: str, group: str, now: float) -> None:
        """Record the end of an own attempt."""
        self._in_flight.discard(request_id, group)
        self._append_count(group, now)

    def on_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Record a report, unless a newer one has been recorded.

        The report includes the requests of all nodes. What exceeds this
        node's own attempts at the time of the report counts as attempts of
        other nodes.
        """
        measured_at = now - load["age_ms"] / 1000.0
        known = self._reports.get(group)
        if known is not None and known.measured_at >= measured_at:
            return
        total = load["running"] + load["waiting"]
        self._reports[group] = _Report(
            measured_at=measured_at,
            other_attempts=max(0, total - self._count_at(group, measured_at)),
            waiting=load["waiting"],
            cache_used=load["cache_used"],
        )
        self._update_max_batch(load)

    def estimate(self, group: str, now: float) -> float | None:
        """Return the attempts of all nodes, or None without a fresh report."""
        report = self._find_fresh_report(group, now)
        if report is None:
            return None
        return float(self.count(group) + report.other_attempts)

    def waiting(self, group: str, now: float) -> int:
        """Return the number of requests that wait at a group, as reported."""
        report = self._find_fresh_report(group, now)
        return report.waiting if report is not None else 0

    def is_full(self, group: str, now: float) -> bool:
        """Return whether a new request would probably wait for the batch.

        A batch counts as full when one more request would reach the greatest
        size seen at any group. The KV cache counts as full when its reported
        use is at least `FULL_CACHE_SHARE`.
        """
        report = self._find_fresh_report(group, now)
        if report is None:
            return False
        if report.cache_used >= FULL_CACHE_SHARE:
            return True
        if not self._max_batch:
            return False
        return (
            self.count(group) + report.other_attempts >= self._max_batch - 1.0
        )

    def forget(self, group: str) -> None:
        """Discard the report and the earlier counts of a group."""
        self._reports.pop(group, None)
        if not self.count(group):
            self._history.pop(group, None)

    def _find_fresh_report(self, group: str, now: float) -> _Report | None:
        report = self._reports.get(group)
        if report is None or now - report.measured_at > REPORT_LIFETIME_S:
            return None
        return report

    def _update_max_batch(self, load: interfaces.EngineLoad) -> None:
        """Update the greatest batch size seen, which decays slowly."""
        self._max_batch = max(
            float(load["running"]), self._max_batch * BATCH_DECAY
        )

    def _append_count(self, group: str, now: float) -> None:
        history = self._history.setdefault(group, collections.deque())
        history.append(_CountChange(now, self.count(group)))
        while len(history) > 1 and history[1].time < now - REPORT_LIFETIME_S:
            history.popleft()

    def _count_at(self, group: str, time: float) -> int:
        """Return the number of own attempts in progress at a time."""
        count = 0
        for entry in self._history.get(group, ()):
            if entry.time > time:
                break
            count = entry.own_attempts
        return count
