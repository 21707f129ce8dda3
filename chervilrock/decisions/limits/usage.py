"""Use of one model by the workspaces, measured against their shares."""

import collections
from collections.abc import Iterable, Mapping

from chervilrock.decisions.limits import throughput

ACTIVE_S = 300.0
"""Time for which a workspace counts as active after a request.

It is long, since the callers of a small workspace may use other nodes for
minutes, and the groups are shared by all nodes.
"""

MEASURED_S = 1.0
"""Time with requests in the queue after which their rate is measured."""


class Usage:
    """What the workspaces run, and at which rate their requests start."""

    def __init__(self) -> None:
        """Start without any request."""
        self._shares: Mapping[str, float] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._active: dict[str, float] = {}
        self._starts: dict[str, throughput.ReleaseRate] = {}
        self._ends = throughput.ReleaseRate()
        self._waiting_since: dict[str, float] = {}

    @property
    def total(self) -> int:
        """Requests that run."""
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

    def note_active(self, workspace: str, now: float) -> None:
        """Learn that a workspace sends requests."""
        self._active[workspace] = now

    def start(self, workspace: str, now: float) -> None:
        """Note that a request runs."""
        starts = self._starts.setdefault(workspace, throughput.ReleaseRate())
        starts.on_release(now)
        self._running[workspace] += 1
        self._total += 1

    def finish(self, workspace: str, now: float) -> None:
        """Note that a request has ended."""
        self._running[workspace] -= 1
        self._total -= 1
        self._ends.on_release(now)

    def update(self, waiting: Iterable[str], now: float) -> None:
        """Follow the queue, and forget workspaces that are idle.

        Args:
          waiting: workspaces with requests that wait.
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
        """Tell whether a workspace has less than its part of what runs."""
        part = self._fair_part(workspace)
        return part >= 1.0 or self._running[workspace] < part * self._total

    def is_over_share(self, workspace: str) -> bool:
        """Tell whether a workspace has more than its part of what runs."""
        part = self._fair_part(workspace)
        return part < 1.0 and self._running[workspace] > part * self._total

    def expected_rate(
        self, workspace: str, waiting: Iterable[str], now: float
    ) -> float:
        """Return the places a second that a workspace can expect.

        A workspace whose requests have waited for some time goes on with the
        rate at which they started; for others it follows from the shares.

        Args:
          workspace: name of the workspace.
          waiting: workspaces with requests that wait.
          now: present time.
        """
        since = self._waiting_since.get(workspace, now)
        if now - since > MEASURED_S and workspace in self._starts:
            return self._starts[workspace].rate(now, running=0)
        rate = self._ends.rate(now, running=self._total)
        names = {*waiting, workspace}
        return rate * self._part_among(workspace, names)

    def _fair_part(self, workspace: str) -> float:
        """Return the share of the places that a workspace may count on."""
        return self._part_among(workspace, {*self._active, workspace})

    def _part_among(self, workspace: str, names: Iterable[str]) -> float:
        total = sum(self.share_of(name) for name in names)
        return self.share_of(workspace) / total
