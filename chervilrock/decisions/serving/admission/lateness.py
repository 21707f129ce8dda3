"""Classifies requests as begun, still on time or irrecoverably late.

Load pattern: after an outage of all nodes for two seconds, about two hundred
callers retry at once, while new callers arrive as before. The retries can no
longer be on time, the new requests can. A retrying caller states only the rest
of its time limit, from which the time that it has waited already follows.
Counted from their arrival at a node, all requests appeared new and filled the
groups: only 51 of the 170 requests of the first two seconds were on time.
"""

from collections import deque
import enum
import statistics


class Timeliness(enum.IntEnum):
    """Timeliness of a request; smaller values have precedence.

    Attributes:
      BEGUN: its caller has events of an interrupted stream, and gives up after
        a short gap.
      ON_TIME: its first event can be on time.
      LATE: its first event cannot be on time, but the answer is still of use
        until the time limit.
    """

    BEGUN = 0
    ON_TIME = 1
    LATE = 2


def judge_timeliness(
    *,
    has_begun: bool,
    waited_s: float,
    target_s: float,
    first_event_s: float = 0.0,
) -> Timeliness:
    """Return the timeliness of a request.

    Args:
      has_begun: whether its caller has received any event.
      waited_s: how long its caller has waited, in seconds.
      target_s: longest time to the first event that counts as on time, in
        seconds.
      first_event_s: expected time from the send to the first event, in seconds.
    """
    if has_begun:
        return Timeliness.BEGUN
    is_on_time = waited_s + first_event_s < target_s
    return Timeliness.ON_TIME if is_on_time else Timeliness.LATE


MAX_KEPT_LIMITS = 64
"""Number of time limits that are kept for each route."""

MIN_KNOWN_LIMITS = 8
"""Number of known time limits from which their median is the usual limit."""

FIRST_ARRIVAL_FRACTION = 0.85
"""Least time limit of a first attempt as a fraction of the usual limit. Limits
differ between callers: of 299 callers of a route all but two stated 0.9 of the
median or more, and those two may have been retries. With the most frequent
limit instead of the median, two of five first attempts were classified as
late."""

DEFAULT_LIMIT_FRACTION = 0.92
"""Usual limit as a fraction of the longest time for a request of a route, while
few limits are known."""


START_QUANTILE = 0.9
"""Quantile of the known limits that is the usual limit after a start, instead
of the median. Most callers of the first second return, and state only the rest
of their limits."""


class UsualLimits:
    """The usual time limits of the callers of each route."""

    def __init__(self) -> None:
        """Create a registry without time limits."""
        self._limits: dict[str, deque[float]] = {}

    def record(self, route: str, limit_s: float) -> None:
        """Record the time limit of a request, in seconds."""
        limits = self._limits.setdefault(route, deque(maxlen=MAX_KEPT_LIMITS))
        limits.append(limit_s)

    def estimate_wait(
        self,
        route: str,
        limit_s: float,
        longest_s: float,
        *,
        is_starting: bool = False,
    ) -> float:
        """Return how long a caller waited before this attempt, in seconds.

        A retrying caller states the rest of its limit. Short waits are within
        the variation of the limits and count as none.

        Args:
          route: name of the route.
          limit_s: time limit that the caller states now.
          longest_s: longest time for a request of the route.
          is_starting: whether most callers may be returning ones.
        """
        limits = self._limits.get(route, ())
        usual_s = DEFAULT_LIMIT_FRACTION * longest_s
        if len(limits) >= MIN_KNOWN_LIMITS:
            usual_s = statistics.median(limits)
            if is_starting:
                ordered = sorted(limits)
                usual_s = ordered[int(START_QUANTILE * len(ordered))]
        if limit_s >= FIRST_ARRIVAL_FRACTION * usual_s:
            return 0.0
        return usual_s - limit_s
