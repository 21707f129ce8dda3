"""Which of its own requests a node finds in the leader's sums.

The leader adds up what the nodes last answered, so its sums hold a node's
requests as they were one answer ago, and two answers ago where a relay passes
them on. What a node sent since has to be counted on top: when its present
requests were taken off the sums, each announcement made it forget what it had
just sent.
"""

from collections import deque
from collections.abc import Mapping
from types import MappingProxyType

LONGEST_LAG = 2
"""Answers after which a node's requests are in every sum."""

NO_LOADS: Mapping[str, int] = MappingProxyType({})


class ToldLoads:
    """The requests that a node told a leader, by endpoint."""

    def __init__(self) -> None:
        """Have told nobody yet."""
        self._term = -1
        self._told: deque[Mapping[str, int]] = deque(maxlen=LONGEST_LAG)

    def note(self, term: int, loads: Mapping[str, int]) -> None:
        """Note what the leader of a term is told now."""
        if term != self._term:
            self._term = term
            self._told.clear()
        self._told.append(dict(loads))

    def find_counted(self, term: int, lag: int) -> Mapping[str, int]:
        """Return the own requests that are in a sum of the leader.

        Args:
          term: term of that leader; a new one knows nothing of this node.
          lag: answers of this node since those that are in the sum, one for
            the last answer.
        """
        if term != self._term or lag > len(self._told):
            return NO_LOADS
        return self._told[-lag]
