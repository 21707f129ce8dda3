"""Rate at which places get free, and delays that follow from it."""

import math

MEMORY_S = 10.0
"""Time constant of the measured rate in seconds."""

MIN_RATE = 0.1
"""Least rate in places a second, so that delays stay finite."""


class ReleaseRate:
    """Places that get free in a second, as an exponentially weighted mean."""

    def __init__(self) -> None:
        """Start without any sample."""
        self._weight = 0.0
        self._count = 0.0
        self._updated: float | None = None

    def on_release(self, now: float) -> None:
        """Learn that a place got free."""
        self._decay(now)
        self._count += 1.0

    def rate(self, now: float, *, running: int) -> float:
        """Return places a second.

        Args:
          now: present time.
          running: requests that run; while there is no measurement, each is
            taken to end within a second.
        """
        self._decay(now)
        if self._weight <= 0.0:
            return max(MIN_RATE, float(running))
        measured = self._count / (MEMORY_S * self._weight)
        # A short history says little: lean on the assumption until then.
        assumed = float(running) * (1.0 - self._weight)
        return max(MIN_RATE, measured * self._weight + assumed)

    def _decay(self, now: float) -> None:
        """Age the count; `weight` grows from 0 to 1 with the history."""
        if self._updated is None:
            self._updated = now
            return
        factor = math.exp(-max(0.0, now - self._updated) / MEMORY_S)
        self._count *= factor
        self._weight = 1.0 - (1.0 - self._weight) * factor
        self._updated = now


class ComeBackTimes:
    """Times at which rejected callers may come back, one after the other.

    Every rejected caller is given the next free time after the queue and
    after those rejected before, so that they do not all come back at once and
    a place can be expected at the time they were told.
    """

    def __init__(self, *, longest: float) -> None:
        """Start with no rejected caller.

        Args:
          longest: greatest delay to give in seconds.
        """
        self._longest = longest
        self._next: dict[str, float] = {}

    def book(
        self, workspace: str, queued: int, rate: float, now: float
    ) -> float:
        """Return the delay in seconds for a rejected caller.

        Args:
          workspace: workspace of the caller.
          queued: requests of the workspace that wait now.
          rate: places in a second that the workspace can expect.
          now: present time.
        """
        interval = 1.0 / max(MIN_RATE, rate)
        after_queue = now + (queued + 1) * interval
        after_others = self._next.get(workspace, now) + interval
        booked = min(max(after_queue, after_others), now + self._longest)
        self._next[workspace] = booked
        return booked - now
