"""How many requests a node may have at a group, so that all fit together.

Load pattern: all groups of a model are full and requests wait at every node.
When an update shows a free slot, or a group that has just opened, each node
sends its waiting requests there, and the group gets several times what it has
slots for. So each node keeps to its share of the free slots. What a node had
when the totals were computed, and its share of what they left free, add up to
the slots over all nodes, however old the totals are. Where priorities compete,
the free slots go first to the nodes whose more urgent requests wait for them.
"""

from collections.abc import Mapping
import math
from types import MappingProxyType
from typing import TYPE_CHECKING

from chervilrock.decisions.serving.admission.priorityadmission import SlotDemand

if TYPE_CHECKING:
    import random

RESERVED_FRACTION = 0.08
"""Fraction of the slots that is not allocated. Shares below one slot are drawn
at random, so that the nodes together sometimes use more than is free."""

MAX_TOTALS_AGE_S = 1.0
"""Age after which totals are too old to allocate by; nodes without a leader go
by their own requests alone."""

NO_LIMIT = math.inf


class SlotShares:
    """The share of one node in the slots of each group."""

    def __init__(self, *, generator: "random.Random") -> None:
        """Create shares without any totals.

        Args:
          generator: draws shares of less than a slot.
        """
        self._generator = generator
        self._totals: Mapping[str, int] = MappingProxyType({})
        self._own: Mapping[str, int] = MappingProxyType({})
        self._senders = 0
        self._recorded_at = -math.inf
        self._limits: dict[str, int] = {}

    def record_totals(
        self,
        totals: Mapping[str, int],
        own: Mapping[str, int],
        senders: int,
        now: float,
    ) -> None:
        """Record the requests of all nodes at each group.

        Args:
          totals: requests by head.
          own: those of this node that are in the totals.
          senders: nodes whose requests are in the totals, 0 when it is unknown.
          now: current time.
        """
        self._totals = totals
        self._own = dict(own)
        is_newcomer = senders > 0 and not any(own.values())
        self._senders = senders + is_newcomer
        self._recorded_at = now
        self._limits.clear()

    def find_limit(
        self,
        server: str,
        slots: int,
        now: float,
        demand: SlotDemand | None = None,
    ) -> float:
        """Return how many requests this node may have at a group.

        Args:
          server: head of the group.
          slots: requests that the group runs at once.
          now: current time.
          demand: part of the free slots that is due to this node, None to
            share them out by node; the same until the next totals.
        """
        if not self._senders or now - self._recorded_at > MAX_TOTALS_AGE_S:
            return NO_LIMIT
        limit = self._limits.get(server)
        if limit is None:
            limit = self._own.get(server, 0) + self._allocate(
                server, slots, demand
            )
            self._limits[server] = limit
        return limit

    def _allocate(
        self, server: str, slots: int, demand: SlotDemand | None
    ) -> int:
        """Return this node's share of the free slots, below 0 if overfull."""
        reserved = RESERVED_FRACTION * slots
        free = slots - reserved - self._totals.get(server, 0)
        share = free / self._senders
        if demand is not None and free > 0:
            share = free * demand.waiting + demand.rest * share
        whole = math.floor(share)
        return whole + (self._generator.random() < share - whole)
