"""Rate at which slots are released, and retry delays derived from it."""

import math

TIME_CONSTANT_S = 10.0
"""Time constant of the exponential mean of the rate."""

MIN_RATE = 0.1
"""Minimum rate in slots per second, which keeps delays finite."""


class ReleaseRate:
    """Slots released per second, as an exponentially weighted mean."""

    def __init__(self) -> None:
        """Create a rate without samples."""
        self._weight = 0.0
        self._count = 0.0
        self._updated: float | None = None

    def on_release(self, now: float) -> None:
        """Record that a slot was released."""
        self._decay(now)
        self._count += 1.0

    def rate(self, now: float, *, running: int) -> float:
        """Return the rate in slots per second.

        Args:
          now: present time.
          running: number of running requests; while there are no samples,
            each is assumed to end within a second.
        """
        self._decay(now)
        if self._weight <= 0.0:
            return max(MIN_RATE, float(running))
        measured = self._count / (TIME_CONSTANT_S * self._weight)
        # A short history is unreliable, so the assumed rate fills in for it.
        assumed = float(running) * (1.0 - self._weight)
        return max(MIN_RATE, measured * self._weight + assumed)

    def _decay(self, now: float) -> None:
        """Decay the count; `_weight` grows from 0 to 1 with the history."""
        if self._updated is None:
            self._updated = now
            return
        factor = math.exp(-max(0.0, now - self._updated) / TIME_CONSTANT_S)
        self._count *= factor
        self._weight = 1.0 - (1.0 - self._weight) * factor
        self._updated = now


class RetrySchedule:
    """Staggered retry times of rejected callers.

    Each rejected caller gets the next free time after the queue and after the
    callers rejected before it, so that callers do not all retry at once and
    each can expect a slot at its retry time.
    """

    def __init__(self, *, max_delay_s: float) -> None:
        """Create an empty schedule.

        Args:
          max_delay_s: maximum retry delay in seconds.
        """
        self._max_delay_s = max_delay_s
        self._next_at: dict[str, float] = {}

    def schedule_retry(
        self, workspace: str, queued: int, rate: float, now: float
    ) -> float:
        """Schedule the retry of a rejected caller; return its delay in seconds.

        Args:
          workspace: workspace of the caller.
          queued: number of waiting requests of the workspace.
          rate: slots per second that the workspace can expect.
          now: present time.
        """
        interval = 1.0 / max(MIN_RATE, rate)
        after_queue = now + (queued + 1) * interval
        after_others = self._next_at.get(workspace, now) + interval
        retry_at = min(max(after_queue, after_others), now + self._max_delay_s)
        self._next_at[workspace] = retry_at
        return retry_at - now
