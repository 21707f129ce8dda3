"""Estimates of how long hosts stay absent, from their past absences."""

from bisect import bisect_right, insort
from collections import deque

_MAX_ABSENCES = 256
_PRIOR_S = (
    4.0,
    8.0,
    15.0,
    30.0,
    240.0,
    360.0,
    480.0,
    600.0,
    900.0,
    3_600.0,
    14_400.0,
    43_200.0,
)
"""Assumed lengths of absences before any is recorded."""
_MIN_SAVING_FRACTION = 0.1
"""Fraction of the cost of a replacement that a wait has to save."""


class AbsenceHistory:
    """The lengths of past absences of hosts, in seconds.

    The history starts with a few assumed lengths, from short pauses to
    repairs. Observed lengths replace them over time.
    """

    def __init__(self) -> None:
        self._recent = deque(_PRIOR_S, maxlen=_MAX_ABSENCES)
        self._sorted = sorted(_PRIOR_S)

    def add(self, length_s: float) -> None:
        """Records the length of an absence that ended."""
        if len(self._recent) == self._recent.maxlen:
            oldest = self._recent[0]
            del self._sorted[bisect_right(self._sorted, oldest) - 1]
        self._recent.append(length_s)
        insort(self._sorted, length_s)

    def estimate_remaining_s(self, age_s: float) -> float:
        """Returns the expected time until a missing host is back.

        A host that has been absent for longer than any recorded absence is
        expected to stay absent for as long again.

        Args:
          age_s: time that the host has been missing, in seconds.
        """
        first = bisect_right(self._sorted, age_s)
        count = len(self._sorted) - first
        if count == 0:
            return age_s
        return sum(self._sorted[first:]) / count - age_s

    def is_wait_better(self, age_s: float, cost_s: float) -> bool:
        """Returns whether to wait longer before a missing host is replaced.

        The cost of a replacement now is compared with the expected cost for
        each possible time limit of the wait. A host that is still missing at
        the limit is replaced then. Waiting has to save a minimum fraction.

        Args:
          age_s: time that the host has been missing, in seconds.
          cost_s: time that a replacement takes, in seconds.
        """
        first = bisect_right(self._sorted, age_s)
        longer_absences = self._sorted[first:]
        bound_s = cost_s * (1 - _MIN_SAVING_FRACTION)
        waited_s = 0.0
        for index, length_s in enumerate(longer_absences):
            wait_s = length_s - age_s
            if wait_s > cost_s:
                return False
            waited_s += wait_s
            longer_count = len(longer_absences) - index - 1
            mean_s = (waited_s + longer_count * (wait_s + cost_s)) / len(
                longer_absences
            )
            if mean_s < bound_s:
                return True
        return False
