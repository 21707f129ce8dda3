"""Load of the groups: own counts, and reports that come with a lag."""

import collections
from typing import NamedTuple

from chervilrock.decisions.routing import flights
from chervilrock.generated import interfaces

LIFETIME_S = 3.0
"""Age after which a load report no longer counts."""

MEMORY_FULL = 0.9
"""Share of the KV cache in use from which new requests have to wait."""

BATCH_MEMORY = 0.9999
"""Share of the greatest batch that a report leaves."""


class _Report(NamedTuple):
    taken_at: float
    others: int
    waiting: int
    cache_used: float


class _Change(NamedTuple):
    time: float
    attempts: int


class Loads:
    """Own attempts in progress, and those of others as reported."""

    def __init__(self) -> None:
        """Start without any report."""
        self._flights = flights.Flights()
        self._reports: dict[str, _Report] = {}
        self._history: dict[str, collections.deque[_Change]] = {}
        self._batch = 0.0

    def count(self, group: str) -> int:
        """Return the own attempts in progress at a group."""
        return self._flights.count(group)

    def add(self, request_id: str, group: str, now: float) -> None:
        """Note the start of an own attempt."""
        self._flights.add(request_id, group)
        self._remember(group, now)

    def discard(self, request_id: str, group: str, now: float) -> None:
        """Note the end of an own attempt."""
        self._flights.discard(request_id, group)
        self._remember(group, now)

    def on_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Take in a report, unless a newer one is known.

        What the engine ran beyond this node's own attempts of that time
        belongs to other nodes.
        """
        taken_at = now - load["age_ms"] / 1000.0
        known = self._reports.get(group)
        if known is not None and known.taken_at >= taken_at:
            return
        total = load["running"] + load["waiting"]
        self._reports[group] = _Report(
            taken_at=taken_at,
            others=max(0, total - self._count_at(group, taken_at)),
            waiting=load["waiting"],
            cache_used=load["cache_used"],
        )
        self._learn_batch(load)

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

    def is_full(self, group: str, now: float) -> bool:
        """Tell whether a new request would probably wait for the batch.

        The batch of a group is full near the greatest size seen at any group;
        its memory is full by the report.
        """
        report = self._fresh(group, now)
        if report is None:
            return False
        if report.cache_used >= MEMORY_FULL:
            return True
        if not self._batch:
            return False
        return self.count(group) + report.others >= self._batch - 1.0

    def forget(self, group: str) -> None:
        """Forget the report and the old counts of a group."""
        self._reports.pop(group, None)
        if not self.count(group):
            self._history.pop(group, None)

    def _fresh(self, group: str, now: float) -> _Report | None:
        report = self._reports.get(group)
        if report is None or now - report.taken_at > LIFETIME_S:
            return None
        return report

    def _learn_batch(self, load: interfaces.EngineLoad) -> None:
        """Learn the greatest batch; it is forgotten slowly."""
        self._batch = max(float(load["running"]), self._batch * BATCH_MEMORY)

    def _remember(self, group: str, now: float) -> None:
        history = self._history.setdefault(group, collections.deque())
        history.append(_Change(now, self.count(group)))
        while len(history) > 1 and history[1].time < now - LIFETIME_S:
            history.popleft()

    def _count_at(self, group: str, time: float) -> int:
        """Return how many own attempts were in progress at a time."""
        count = 0
        for entry in self._history.get(group, ()):
            if entry.time > time:
                break
            count = entry.attempts
        return count
