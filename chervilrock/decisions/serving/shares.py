"""How many requests a node may have at a group, so that all fit together.

Load pattern: all groups of a model are full and requests wait at every node.
When the news shows a free slot, or a group that has just opened, each node
sends what waits there, and the group gets several times what it has room for.
So each node keeps to its share of the free slots. What it had when the sums
were made, and its share of what they left free, add up to the slots over all
nodes, however old the sums are.
"""

from collections.abc import Mapping
import math
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

KEPT_BACK_PART = 0.08
"""Part of the slots that is not dealt out. Shares below one slot are drawn, so
that the nodes together now and then take more than there is."""

NEWS_LIFE_S = 1.0
"""Time after which sums are too old to deal by; nodes without a leader go by
their own requests alone."""

NO_LIMIT = math.inf


class SlotShares:
    """The share of one node in the slots of each group."""

    def __init__(self, *, generator: "random.Random") -> None:
        """Know of no sums yet.

        Args:
          generator: draws shares of less than a slot.
        """
        self._generator = generator
        self._sums: Mapping[str, int] = MappingProxyType({})
        self._own: Mapping[str, int] = MappingProxyType({})
        self._senders = 0
        self._taken = -math.inf
        self._limits: dict[str, int] = {}

    def note_sums(
        self,
        sums: Mapping[str, int],
        own: Mapping[str, int],
        senders: int,
        now: float,
    ) -> None:
        """Take the requests of all nodes at each group.

        Args:
          sums: requests by head.
          own: those of this node that are in the sums.
          senders: nodes whose requests are in the sums, 0 when it is unknown.
          now: present time.
        """
        self._sums = sums
        self._own = dict(own)
        is_newcomer = senders > 0 and not any(own.values())
        self._senders = senders + is_newcomer
        self._taken = now
        self._limits.clear()

    def find_limit(self, server: str, slots: int, now: float) -> float:
        """Return how many requests this node may have at a group.

        Args:
          server: head of the group.
          slots: requests that the group runs at once.
          now: present time.
        """
        if not self._senders or now - self._taken > NEWS_LIFE_S:
            return NO_LIMIT
        limit = self._limits.get(server)
        if limit is None:
            limit = self._own.get(server, 0) + self._deal(server, slots)
            self._limits[server] = limit
        return limit

    def _deal(self, server: str, slots: int) -> int:
        """Return this node's share of the free slots, below 0 if overfull."""
        kept_back = KEPT_BACK_PART * slots
        free = slots - kept_back - self._sums.get(server, 0)
        share = free / self._senders
        whole = math.floor(share)
        return whole + (self._generator.random() < share - whole)
