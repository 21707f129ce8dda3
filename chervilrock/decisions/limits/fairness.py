"""Queue that shares places between workspaces by weight.

Start-time fair queueing: each workspace has a virtual finish time that moves
on by the cost of its requests divided by its share, and the workspace that is
furthest behind is served next. A workspace that was idle starts at the
present virtual time, so that it neither saves up places nor pays for having
had the system to itself. Within a workspace the priority decides, then the
order of arrival; a priority buys no place from another workspace.
"""

import bisect
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chervilrock.decisions.routing import base


class Waiting(NamedTuple):
    """A request that waits; the fields before `request` give its order.

    Attributes:
      priority: 0 (first) to 9 (last)
      sequence: order of arrival
      request: the request
      since: time at which it came
      cost: estimated cost in tokens
    """

    priority: int
    sequence: int
    request: base.RequestView
    since: float
    cost: float


class FairQueue:
    """Requests that wait for a place, in the order of fair shares."""

    def __init__(self) -> None:
        """Make an empty queue."""
        self._waiting: dict[str, list[Waiting]] = {}
        self._finish: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return self._length

    def __iter__(self) -> Iterator[Waiting]:
        """Go through all requests that wait, in no set order."""
        for queue in self._waiting.values():
            yield from queue

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return len(self._waiting.get(workspace, ()))

    def count_before(self, workspace: str, priority: int) -> int:
        """Return how many requests of a workspace go before a new one."""
        queue = self._waiting.get(workspace, [])
        return sum(1 for entry in queue if entry.priority <= priority)

    def workspaces(self) -> list[str]:
        """Return the workspaces with requests that wait."""
        return list(self._waiting)

    def push(self, request: base.RequestView, cost: float, now: float) -> None:
        """Add a request."""
        self._sequence += 1
        entry = Waiting(
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
    ) -> Waiting | None:
        """Take the request that is next, and charge its workspace.

        Args:
          share_of: gives the weight of a workspace.
          may_run: tells whether a workspace may get a place now.

        Returns:
          The request, or None when no workspace that may run waits.
        """
        eligible = [name for name in self._waiting if may_run(name)]
        if not eligible:
            return None
        workspace = min(eligible, key=self._start_time)
        entry = self._waiting[workspace][0]
        self._drop(workspace, 0)
        self.charge(workspace, entry.cost, share_of(workspace))
        return entry

    def charge(self, workspace: str, cost: float, share: float) -> None:
        """Move a workspace on by a request that gets a place."""
        start = self._start_time(workspace)
        self._virtual_time = max(self._virtual_time, start)
        self._finish[workspace] = start + cost / share

    def correct(self, workspace: str, difference: float, share: float) -> None:
        """Correct an earlier charge by what a request really cost.

        Args:
          workspace: workspace of the request.
          difference: real cost less the estimate, in tokens.
          share: weight of the workspace.
        """
        if workspace in self._finish:
            self._finish[workspace] += difference / share

    def remove(self, request: base.RequestView) -> Waiting | None:
        """Take a request out, or return None when it does not wait."""
        queue = self._waiting.get(request.workspace, [])
        for index, entry in enumerate(queue):
            if entry.request.request_id == request.request_id:
                self._drop(request.workspace, index)
                return entry
        return None

    def find_displaced(
        self, request: base.RequestView, share_of: Callable[[str], float]
    ) -> base.RequestView | None:
        """Return the request that loses its place in a full queue.

        It is the last one of the workspace with the longest queue for its
        weight, or one of the same workspace with a lower priority, or None
        when the new request has the least right to a place.

        Args:
          request: the new request.
          share_of: gives the weight of a workspace.
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

    def _drop(self, workspace: str, index: int) -> None:
        queue = self._waiting[workspace]
        del queue[index]
        self._length -= 1
        if not queue:
            del self._waiting[workspace]


def _order_key(entry: Waiting) -> tuple[int, int]:
    return entry.priority, entry.sequence
