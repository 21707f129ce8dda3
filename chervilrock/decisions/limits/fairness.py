"""Queue that divides slots between workspaces by weight.

Start-time fair queueing: each workspace has a virtual finish time that
advances by the cost of its requests divided by its share, and the workspace
with the earliest virtual time is served next. A workspace that was idle
starts at the current virtual time, so that it neither accumulates credit
while idle nor is penalized for having used an otherwise idle system. Within a
workspace, requests are ordered by priority, then by arrival; a priority has
no effect between workspaces.
"""

import bisect
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chervilrock.decisions.routing import base


class WaitingRequest(NamedTuple):
    """A waiting request; the fields before `request` give its order.

    Attributes:
      priority: 0 (first) to 9 (last)
      sequence: order of arrival
      request: the request
      since: arrival time
      cost: estimated cost in tokens
    """

    priority: int
    sequence: int
    request: base.RequestView
    since: float
    cost: float


class FairQueue:
    """Requests that wait for a slot, in the order of fair shares."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: dict[str, list[WaitingRequest]] = {}
        self._finish: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over all waiting requests in arbitrary order."""
        for queue in self._waiting.values():
            yield from queue

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return len(self._waiting.get(workspace, ()))

    def count_before(self, workspace: str, priority: int) -> int:
        """Return how many requests of a workspace precede a new one."""
        queue = self._waiting.get(workspace, [])
        return sum(1 for entry in queue if entry.priority <= priority)

    def workspaces(self) -> list[str]:
        """Return the workspaces with waiting requests."""
        return list(self._waiting)

    def push(self, request: base.RequestView, cost: float, now: float) -> None:
        """Add a request."""
        self._sequence += 1
        entry = WaitingRequest(
            priority=request.priority,
            sequence=self._sequence,
            request=request,
            since=now,
            cost=cost,
        )
        queue = self._waiting.setdefault(request.workspace, [])
        bisect.insort(queue, entry, key=_order_key)
        self._length += 1

    def pop(
        self,
        share_of: Callable[[str], float],
        may_run: Callable[[str], bool],
    ) -> WaitingRequest | None:
        """Remove and return the next request, and charge its workspace.

        Args:
          share_of: returns the weight of a workspace.
          may_run: returns whether a workspace may get a slot now.

        Returns:
          The request, or None if no workspace with waiting requests may run.
        """
        eligible = [name for name in self._waiting if may_run(name)]
        if not eligible:
            return None
        workspace = min(eligible, key=self._start_time)
        entry = self._waiting[workspace][0]
        self._remove_at(workspace, 0)
        self.charge(workspace, entry.cost, share_of(workspace))
        return entry

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Advance the virtual time of a workspace by a request that starts."""
        start = self._start_time(workspace)
        self._virtual_time = max(self._virtual_time, start)
        self._finish[workspace] = start + cost / share

    def correct(self, workspace: str, difference: float, share: float) -> None:
        """Correct an earlier charge to the actual cost of a request.

        Args:
          workspace: workspace of the request.
          difference: actual cost minus the estimate, in tokens.
          share: weight of the workspace.
        """
        if workspace in self._finish:
            self._finish[workspace] += difference / share

    def remove(self, request: base.RequestView) -> WaitingRequest | None:
        """Remove a request, or return None if it does not wait."""
        queue = self._waiting.get(request.workspace, [])
        for index, entry in enumerate(queue):
            if entry.request.request_id == request.request_id:
                self._remove_at(request.workspace, index)
                return entry
        return None

    def find_displaced(
        self, request: base.RequestView, share_of: Callable[[str], float]
    ) -> base.RequestView | None:
        """Return the request to displace from a full queue.

        It is the last request of the workspace with the longest queue
        relative to its weight, or a request of the same workspace with a
        lower priority, or None if the new request itself ranks last.

        Args:
          request: the new request.
          share_of: returns the weight of a workspace.
        """
        own = request.workspace
        lengths = {
            name: len(queue) / share_of(name)
            for name, queue in self._waiting.items()
        }
        if not lengths:
            return None
        longest = max(lengths, key=lengths.__getitem__)
        own_length = (self.count(own) + 1) / share_of(own)
        if longest != own and lengths[longest] > own_length:
            return self._waiting[longest][-1].request
        if own not in self._waiting:
            return None
        last = self._waiting[own][-1].request
        return last if last.priority > request.priority else None

    def _start_time(self, workspace: str) -> float:
        return max(self._virtual_time, self._finish.get(workspace, 0.0))

    def _remove_at(self, workspace: str, index: int) -> None:
        queue = self._waiting[workspace]
        del queue[index]
        self._length -= 1
        if not queue:
            del self._waiting[workspace]


def _order_key(entry: WaitingRequest) -> tuple[int, int]:
    return entry.priority, entry.sequence
