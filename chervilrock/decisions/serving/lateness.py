"""How a request stands: begun, still on time, or late for good.

Load pattern: after all nodes were lost for two seconds, some two hundred
callers come back at once, while new ones arrive as before. Those that come
back cannot be on time any more, the new ones can. A caller that comes back
waits only for the rest of its time limit, which tells how long it has waited
already; counted from their arrival at a node, all of them seemed new and
filled the groups: of the requests of the two seconds after the start 51 of 170
were on time.
"""

from collections import Counter, deque
import enum


class Standing(enum.IntEnum):
    """How a request stands; a smaller value goes first.

    Attributes:
      BEGUN: its caller has events of a stream that was cut, and gives it up
        after a short gap.
      ON_TIME: its first event can come in time.
      LATE: it cannot, but is worth something until its time limit.
    """

    BEGUN = 0
    ON_TIME = 1
    LATE = 2


def judge_standing(
    *, has_begun: bool, waited_s: float, target_s: float
) -> Standing:
    """Return how a request stands.

    Args:
      has_begun: whether its caller has any event.
      waited_s: how long its caller has waited, in seconds.
      target_s: time to the first event that counts as on time.
    """
    if has_begun:
        return Standing.BEGUN
    return Standing.ON_TIME if waited_s < target_s else Standing.LATE


KEPT = 32
"""Time limits of callers of a route that are remembered."""

ALIKE = 3
"""Equal ones among them from which on they are taken for the usual limit."""


class UsualLimits:
    """The time limits with which the callers of each route come first."""

    def __init__(self) -> None:
        """Know of no caller."""
        self._seen: dict[str, deque[float]] = {}

    def note(self, route: str, limit_s: float) -> None:
        """Take the time limit of a request, in seconds."""
        seen = self._seen.setdefault(route, deque(maxlen=KEPT))
        seen.append(limit_s)

    def estimate_wait(
        self, route: str, limit_s: float, longest_s: float
    ) -> float:
        """Return how long a caller has waited before it came, in seconds.

        Callers that come first all name the same limit, those that come back
        what is left of it.

        Args:
          route: name of the route.
          limit_s: time limit that the caller names now.
          longest_s: longest time for a request of the route.
        """
        counts = Counter(self._seen.get(route, ()))
        usual_s = longest_s
        if counts:
            limit, count = max(counts.items(), key=lambda one: (one[1], one[0]))
            usual_s = limit if count >= ALIKE else longest_s
        return max(0.0, usual_s - limit_s)
