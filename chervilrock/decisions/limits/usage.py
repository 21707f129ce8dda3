"""Use of one model by workspaces, compared with their shares."""

import collections
from collections.abc import Iterable, Mapping

from chervilrock.decisions.limits import throughput

ACTIVE_S = 300.0
"""Time for which a workspace counts as active after a request.

It is long, since the callers of a small workspace may use other nodes for
minutes, and the groups are shared by all nodes.
"""

MIN_QUEUED_S = 1.0
"""Time in the queue after which the measured rate of starts is used."""


class Usage:
    """Running requests of workspaces, and the rate at which they start."""

    def __init__(self) -> None:
        """Create usage without requests."""
        self._shares: Mapping[str, float] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._active: dict[str, float] = {}
        self._starts: dict[str, throughput.ReleaseRate] = {}
        self._completions = throughput.ReleaseRate()
        self._waiting_since: dict[str, float] = {}

    @property
    def total(self) -> int:
        """Number of running requests."""
        return self._total

    def running(self) -> dict[str, int]:
        """Return how many requests each workspace runs."""
        return dict(+self._running)

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the weight of each workspace; others have weight 1."""
        self._shares = shares

    def share_of(self, workspace: str) -> float:
        """Return the weight of a workspace."""
        return self._shares.get(workspace, 1.0)

    def record_active(self, workspace: str, now: float) -> None:
        """Record that a workspace sends requests."""
        self._active[workspace] = now

    def start(self, workspace: str, now: float) -> None:
        """Record that a request has started."""
        starts = self._starts.setdefault(workspace, throughput.ReleaseRate())
        starts.on_release(now)
        self._running[workspace] += 1
        self._total += 1

    def finish(self, workspace: str, now: float) -> None:
        """Record that a request has ended."""
        self._running[workspace] -= 1
        self._total -= 1
        self._completions.on_release(now)

    def update(self, waiting: Iterable[str], now: float) -> None:
        """Update from the queue, and remove idle workspaces.

        Args:
          waiting: workspaces with waiting requests.
          now: present time.
        """
        self._waiting_since = {
            name: self._waiting_since.get(name, now) for name in waiting
        }
        for workspace, seen in list(self._active.items()):
            if now - seen > ACTIVE_S and not self._running[workspace]:
                del self._active[workspace]
                del self._running[workspace]
                self._starts.pop(workspace, None)

    def is_within_share(self, workspace: str) -> bool:
        """Return whether a workspace runs less than its fair fraction."""
        fraction = self._fair_fraction(workspace)
        return (
            fraction >= 1.0 or self._running[workspace] < fraction * self._total
        )

    def is_over_share(self, workspace: str) -> bool:
        """Return whether a workspace runs more than its fair fraction."""
        fraction = self._fair_fraction(workspace)
        return (
            fraction < 1.0 and self._running[workspace] > fraction * self._total
        )

    def expected_rate(
        self, workspace: str, waiting: Iterable[str], now: float
    ) -> float:
        """Return the slots per second that a workspace can expect.

        For a workspace whose requests have waited for some time, it is the
        rate at which they started; for others it follows from the shares.

        Args:
          workspace: name of the workspace.
          waiting: workspaces with waiting requests.
          now: present time.
        """
        since = self._waiting_since.get(workspace, now)
        if now - since > MIN_QUEUED_S and workspace in self._starts:
            return self._starts[workspace].rate(now, running=0)
        rate = self._completions.rate(now, running=self._total)
        names = {*waiting, workspace}
        return rate * self._fraction_among(workspace, names)

    def _fair_fraction(self, workspace: str) -> float:
        """Return the fraction of the slots to which a workspace is entitled."""
        return self._fraction_among(workspace, {*self._active, workspace})

    def _fraction_among(self, workspace: str, names: Iterable[str]) -> float:
        total = sum(self.share_of(name) for name in names)
        return self.share_of(workspace) / total
