"""Load of the groups: own counts, and reports that come with a lag."""

from typing import NamedTuple

from chervilrock.decisions.routing import flights
from chervilrock.generated import interfaces

LIFETIME_S = 3.0
"""Age after which a load report no longer counts."""


class _Report(NamedTuple):
    taken_at: float
    others: int
    waiting: int


class Loads(flights.Flights):
    """Own attempts in progress, and those of others as reported."""

    def __init__(self) -> None:
        """Start without any report."""
        super().__init__()
        self._reports: dict[str, _Report] = {}

    def on_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Take in a report, unless a newer one is known.

        What the engine runs beyond this node's own attempts belongs to other
        nodes. Own attempts come and go while the report is on its way, so
        the part of the others is only an estimate.
        """
        taken_at = now - load["age_ms"] / 1000.0
        known = self._reports.get(group)
        if known is not None and known.taken_at >= taken_at:
            return
        total = load["running"] + load["waiting"]
        others = max(0, total - self.count(group))
        self._reports[group] = _Report(taken_at, others, load["waiting"])

    def estimate(self, group: str, now: float) -> float | None:
        """Return all attempts at a group, or None without a fresh report."""
        report = self._fresh(group, now)
        if report is None:
            return None
        return float(self.count(group) + report.others)

    def waiting(self, group: str, now: float) -> int:
        """Return the requests that wait at a group as last reported."""
        report = self._fresh(group, now)
        return report.waiting if report is not None else 0

    def forget(self, group: str) -> None:
        """Forget the report of a group."""
        self._reports.pop(group, None)

    def _fresh(self, group: str, now: float) -> _Report | None:
        report = self._reports.get(group)
        if report is None or now - report.taken_at > LIFETIME_S:
            return None
        return report
