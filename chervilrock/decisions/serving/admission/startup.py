"""How many late requests a node serves in the seconds after a start.

Load pattern: all nodes are lost for two seconds while traffic continues. The
callers of that time return at once when the nodes have a view again, some
hundred requests more than the slots of all groups, and none of them can be on
time. A node that has just started knows neither the loads of the other nodes
nor the usual time limits of its callers: with one late request for each node
and group, 88 nodes fill all slots, and new requests are late as well. Late
requests therefore get a fraction of the slots of their model, of which each
node has an equal share. The others are rejected at once and return later.

This applies to nodes that started without a leader. A node that starts while a
leader announces gets the loads at once, and few callers return to it.
"""

from collections import Counter
import math
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    import random

STARTUP_S = 3.0
"""Time after the first view for which late requests are limited. Callers that
are rejected return within a third of the time that they have left, at most
2.7 s of 8 s; they must not return to nodes without the limit."""

LATE_SLOTS_FRACTION = 0.15
"""Fraction of the slots of a model for the late requests of all nodes. The
others are for new requests, at least 0.9 of which have to be on time from 2 s
after the start."""

DRAW_INTERVAL_S = 1.0
"""Time between two draws of a share of less than a slot."""

RETRY_AFTER_S = 2.0
"""Mean time after which a rejected caller is asked to return."""

RETRY_AFTER_SPREAD = 0.5
"""Fraction of that time by which it varies to either side, so that callers that
were rejected together do not return together."""


class Startup:
    """The late requests of one node in the seconds after its start.

    Attributes:
      rejected: number of late requests that were rejected.
    """

    def __init__(self, *, generator: "random.Random") -> None:
        """Create the state of a node that has read nothing.

        Args:
          generator: draws shares of less than a slot and retry times.
        """
        self._generator = generator
        self._found_term: int | None = None
        self._has_view = False
        self._until = -math.inf
        self._running: Counter[str] = Counter()
        self._draws: dict[str, tuple[float, float]] = {}
        self.rejected = 0

    def record_found(self, term: int) -> None:
        """Record the term of the leader when the store was first read.

        Args:
          term: the term, -1 without a claim.
        """
        if self._found_term is None:
            self._found_term = term

    def record_view(self, term: int, now: float) -> bool:
        """Record a view; the first one may begin the limited time.

        It does if the leader that this process found at its start has been
        replaced since. It does not if there was none, as at the first start of
        an installation, or if this is not known.

        Args:
          term: term of the leader that made the view.
          now: current time.

        Returns:
          Whether late requests are limited from now on.
        """
        is_first = not self._has_view
        self._has_view = True
        found_term = self._found_term
        if not is_first or found_term is None or found_term < 0:
            return False
        if term <= found_term:
            return False
        self._until = now + STARTUP_S
        return True

    def is_limiting(self, now: float) -> bool:
        """Return whether late requests are limited."""
        return now < self._until

    def is_starting(self, now: float) -> bool:
        """Return whether there is no view yet or late requests are limited."""
        return not self._has_view or self.is_limiting(now)

    def may_send(self, model: str, share: float, now: float) -> bool:
        """Return whether another late request of this node may be sent.

        Args:
          model: requested model.
          share: this node's equal share of the slots of the model.
          now: current time.
        """
        if not self.is_limiting(now):
            return True
        allowed = LATE_SLOTS_FRACTION * share
        whole = math.floor(allowed)
        drawn = self._draw(model, now) < allowed - whole
        return self._running[model] < whole + drawn

    def record_sent(self, model: str) -> None:
        """Record that a late request got a slot."""
        self._running[model] += 1

    def record_ended(self, model: str) -> None:
        """Record that a late request has released its slot."""
        self._running[model] -= 1

    def reject(self) -> float:
        """Count a rejection; return after how many seconds to retry."""
        self.rejected += 1
        deviation = RETRY_AFTER_SPREAD * (2.0 * self._generator.random() - 1.0)
        return RETRY_AFTER_S * (1.0 + deviation)

    def describe(self, now: float) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "limited_s": round(max(0.0, self._until - now), 3),
            "running": dict(+self._running),
            "rejected": self.rejected,
        }

    def _draw(self, model: str, now: float) -> float:
        """Return a number from 0 to 1 that is the same for a while."""
        draw, drawn_at = self._draws.get(model, (0.0, -math.inf))
        if now - drawn_at >= DRAW_INTERVAL_S:
            draw = self._generator.random()
            self._draws[model] = (draw, now)
        return draw
