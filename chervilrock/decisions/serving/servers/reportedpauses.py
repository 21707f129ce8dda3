"""The pauses of group heads that the nodes report to the leader.

A group whose head pauses for a node has no free slots for that node, though it
may have for others. For the plan, each node that it pauses for takes an equal
part of its slots away.
"""

from collections.abc import Mapping


class ReportedPauses:
    """Until when each head pauses for each node."""

    def __init__(self) -> None:
        """Create a registry without pauses."""
        self._ends: dict[str, dict[str, float]] = {}

    def record(
        self, node: str, pauses: Mapping[str, float], now: float
    ) -> None:
        """Record the pauses of a node.

        Args:
          node: name of the node.
          pauses: seconds until the end of each pause, by head.
          now: current time.
        """
        for head, pause_s in pauses.items():
            self._ends.setdefault(head, {})[node] = now + pause_s

    def forget(self, head: str) -> None:
        """Forget the pauses of a head that has started again."""
        self._ends.pop(head, None)

    def find_usable(self, senders: int, now: float) -> Mapping[str, float]:
        """Return the fraction of its slots that nodes may use, by head.

        Args:
          senders: number of nodes that send requests.
          now: current time.

        Returns:
          The fractions of the heads that pause for any node.
        """
        usable = {}
        for head, ends in list(self._ends.items()):
            for node in [node for node, end in ends.items() if end <= now]:
                del ends[node]
            if ends:
                usable[head] = max(0.0, 1.0 - len(ends) / max(1, senders))
            else:
                del self._ends[head]
        return usable
