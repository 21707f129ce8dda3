"""Which of its own requests are included in the sums that a node receives.

The leader adds up the last answers of the nodes, so that its sums include the
requests of a node as of one answer ago, and as of two answers ago if a relay
forwards them. Requests that the node has sent since must be added. A node that
subtracted its current requests from the sums instead would ignore the requests
that it has just sent with each announcement.
"""

from collections import deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Generic, TypeVar

LONGEST_LAG = 2
"""Answers after which the requests of a node are included in every sum."""

NO_LOADS: Mapping[str, Any] = MappingProxyType({})

Count = TypeVar("Count")


class ReportedCounts(Generic[Count]):
    """The requests that a node has reported to a leader.

    They are counted by endpoint, or by what they wait for.
    """

    def __init__(self) -> None:
        """Create a record without reports."""
        self._term = -1
        self._reported: deque[Mapping[str, Count]] = deque(maxlen=LONGEST_LAG)

    def record(self, term: int, loads: Mapping[str, Count]) -> None:
        """Record the loads that are reported now to the leader of a term."""
        if term != self._term:
            self._term = term
            self._reported.clear()
        self._reported.append(dict(loads))

    def find_included(self, term: int, lag: int) -> Mapping[str, Count]:
        """Return the requests of this node that a sum of the leader includes.

        Args:
          term: term of that leader; a new one has no answer of this node yet.
          lag: number of the answer that the sum includes, counted back from
            the last one, which is 1.
        """
        if term != self._term or lag > len(self._reported):
            return NO_LOADS
        return self._reported[-lag]


class ReportedLoads(ReportedCounts[int]):
    """The requests that a node has reported to a leader, by endpoint."""
