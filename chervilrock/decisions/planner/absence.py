"""How long hosts stay away, learnt from their past absences."""

from bisect import bisect_right, insort
from collections import deque

_REMEMBERED = 256
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
_MIN_GAIN = 0.1


class AbsenceHistory:
    """The lengths of past absences of hosts, in seconds.

    It starts with a few assumed lengths, from short pauses to repairs, which
    real ones push out.
    """

    def __init__(self) -> None:
        self._recent = deque(_PRIOR_S, maxlen=_REMEMBERED)
        self._sorted = sorted(_PRIOR_S)

    def add(self, length: float) -> None:
        """Remembers an absence that ended."""
        if len(self._recent) == self._recent.maxlen:
            oldest = self._recent[0]
            del self._sorted[bisect_right(self._sorted, oldest) - 1]
        self._recent.append(length)
        insort(self._sorted, length)

    def estimate_rest(self, age: float) -> float:
        """Returns the expected time until a missing host is back.

        A host that is away for longer than any before is expected to stay
        away for as long again.

        Args:
          age: time that it has been missing, in seconds.
        """
        first = bisect_right(self._sorted, age)
        count = len(self._sorted) - first
        if count == 0:
            return age
        return sum(self._sorted[first:]) / count - age

    def is_wait_better(self, age: float, cost_s: float) -> bool:
        """Tells whether to wait a little longer before a host is replaced.

        It compares a replacement now with the best time limit for the wait:
        a host that is still missing at the limit is replaced then.

        Args:
          age: time that the host has been missing, in seconds.
          cost_s: time that its replacement takes, in seconds.
        """
        first = bisect_right(self._sorted, age)
        rest = self._sorted[first:]
        bound = cost_s * (1 - _MIN_GAIN)
        waited = 0.0
        for index, length in enumerate(rest):
            wait = length - age
            if wait > cost_s:
                return False
            waited += wait
            longer = len(rest) - index - 1
            mean = (waited + longer * (wait + cost_s)) / len(rest)
            if mean < bound:
                return True
        return False
