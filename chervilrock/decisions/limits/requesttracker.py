"""Running and waiting requests of this node."""

import collections
from typing import NamedTuple

from chervilrock.decisions.routing import base


class RunningRequest(NamedTuple):
    """A running request.

    Attributes:
      request: the request
      cost: tokens that its workspace was charged for it
      group: group that returned its first token, empty before
    """

    request: base.RequestView
    cost: float
    group: str = ""


class RequestTracker:
    """Tracks running and waiting requests by identity and by workspace."""

    def __init__(self) -> None:
        """Create an empty tracker."""
        self._running: dict[str, RunningRequest] = {}
        self._waiting: dict[str, base.RequestView] = {}
        self._running_of: collections.Counter[str] = collections.Counter()
        self._waiting_of: collections.Counter[str] = collections.Counter()

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request runs or waits."""
        return request_id in self._running or request_id in self._waiting

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def running_of(self, workspace: str) -> int:
        """Return how many requests of a workspace run."""
        return self._running_of.get(workspace, 0)

    def waiting_of(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return self._waiting_of.get(workspace, 0)

    def find_running(self, request_id: str) -> RunningRequest | None:
        """Return a running request, or None if it does not run."""
        return self._running.get(request_id)

    def record_group(self, request_id: str, group: str) -> None:
        """Record which group returned the first token of a running request."""
        entry = self._running[request_id]
        self._running[request_id] = entry._replace(group=group)

    def start(self, request: base.RequestView, cost: float) -> None:
        """Add a running request."""
        self._running[request.request_id] = RunningRequest(request, cost)
        self._running_of[request.workspace] += 1

    def finish(self, request_id: str) -> RunningRequest | None:
        """Remove and return a running request, or None if it does not run."""
        entry = self._running.pop(request_id, None)
        if entry is not None:
            _decrease(self._running_of, entry.request.workspace)
        return entry

    def add_waiting(self, request: base.RequestView) -> None:
        """Add a waiting request."""
        self._waiting[request.request_id] = request
        self._waiting_of[request.workspace] += 1

    def remove_waiting(self, request_id: str) -> base.RequestView | None:
        """Remove and return a waiting request, or None if it does not wait."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            _decrease(self._waiting_of, request.workspace)
        return request


def _decrease(counts: collections.Counter[str], workspace: str) -> None:
    counts[workspace] -= 1
    if not counts[workspace]:
        del counts[workspace]
