"""How a request stands: begun, still on time, or late for good.

Load pattern: after all nodes were lost for two seconds, some two hundred
callers come back at once, while new ones arrive as before. Those that come
back cannot be on time any more, the new ones can. A caller that comes back
waits only for the rest of its time limit, which tells how long it has waited
already; counted from their arrival at a node, all of them seemed new and
filled the groups: of the requests of the two seconds after the start 51 of 170
were on time.
"""

from collections import deque
import enum
import statistics


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
    *,
    has_begun: bool,
    waited_s: float,
    target_s: float,
    first_event_s: float = 0.0,
) -> Standing:
    """Return how a request stands.

    Args:
      has_begun: whether its caller has any event.
      waited_s: how long its caller has waited, in seconds.
      target_s: time to the first event that counts as on time.
      first_event_s: expected time from the send to the first event.
    """
    if has_begun:
        return Standing.BEGUN
    is_on_time = waited_s + first_event_s < target_s
    return Standing.ON_TIME if is_on_time else Standing.LATE


KEPT = 64
"""Time limits of callers of a route that are remembered."""

ENOUGH = 8
"""Time limits from which on their median is taken for the usual one."""

FIRST_PART = 0.85
"""Part of the usual time limit that callers who come first have at least. They
do not all wait equally long: of 299 callers of a route all but two named 0.9
of the median or more, and those two may have come back. With the most frequent
limit in place of the median two of five were taken for late though they had
just come."""

TYPICAL_PART = 0.92
"""Usual limit as a part of the longest time of a route, while few are known."""


class UsualLimits:
    """The time limits with which the callers of each route come."""

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

        A caller that comes back names what is left of its limit. Short waits
        are within what the limits of callers differ by, and count as none.

        Args:
          route: name of the route.
          limit_s: time limit that the caller names now.
          longest_s: longest time for a request of the route.
        """
        seen = self._seen.get(route, ())
        usual_s = TYPICAL_PART * longest_s
        if len(seen) >= ENOUGH:
            usual_s = statistics.median(seen)
        if limit_s >= FIRST_PART * usual_s:
            return 0.0
        return usual_s - limit_s
