"""Account of the requests that run and wait at this node."""

import collections
from typing import NamedTuple

from chervilrock.decisions.routing import base


class Running(NamedTuple):
    """A request that runs.

    Attributes:
      request: the request
      cost: what its workspace was charged for it
      group: group of its first token, empty before
    """

    request: base.RequestView
    cost: float
    group: str = ""


class Ledger:
    """Requests that run and wait, by identity and by workspace."""

    def __init__(self) -> None:
        """Start without any request."""
        self._running: dict[str, Running] = {}
        self._waiting: dict[str, base.RequestView] = {}
        self._running_of: collections.Counter[str] = collections.Counter()
        self._waiting_of: collections.Counter[str] = collections.Counter()

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request runs or waits."""
        return request_id in self._running or request_id in self._waiting

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def running_of(self, workspace: str) -> int:
        """Return how many requests of a workspace run."""
        return self._running_of.get(workspace, 0)

    def waiting_of(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return self._waiting_of.get(workspace, 0)

    def find_running(self, request_id: str) -> Running | None:
        """Return a request that runs."""
        return self._running.get(request_id)

    def note_group(self, request_id: str, group: str) -> None:
        """Note which group gave the first token of a running request."""
        entry = self._running[request_id]
        self._running[request_id] = entry._replace(group=group)

    def start(self, request: base.RequestView, cost: float) -> None:
        """Note that a request runs."""
        self._running[request.request_id] = Running(request, cost)
        self._running_of[request.workspace] += 1

    def finish(self, request_id: str) -> Running | None:
        """Take out a request that ran, if it did."""
        entry = self._running.pop(request_id, None)
        if entry is not None:
            _decrease(self._running_of, entry.request.workspace)
        return entry

    def wait(self, request: base.RequestView) -> None:
        """Note that a request waits."""
        self._waiting[request.request_id] = request
        self._waiting_of[request.workspace] += 1

    def leave(self, request_id: str) -> base.RequestView | None:
        """Take out a request that waited, if it did."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            _decrease(self._waiting_of, request.workspace)
        return request


def _decrease(counts: collections.Counter[str], workspace: str) -> None:
    counts[workspace] -= 1
    if not counts[workspace]:
        del counts[workspace]
