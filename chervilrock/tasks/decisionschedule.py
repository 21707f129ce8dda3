"""Schedule of the decisions of the controller."""

MIN_INTERVAL_S = 0.3
"""Minimum time between two decisions while work is pending."""

IDLE_INTERVAL_S = 5.0
"""Time between two decisions while nothing changes and no work is pending."""

MAX_TIME_SHARE = 0.01
"""Maximum share of time that decisions may take, including planning."""

BURST_S = 0.5
"""Time that decisions may take beyond that share in a burst."""


class DecisionSchedule:
    """Determines when to decide, by pending work and the cost of decisions.

    Attributes:
      has_work: whether something has changed, is in progress or awaited
    """

    def __init__(self) -> None:
        """Create a schedule with a decision due."""
        self.has_work = True
        self._decided_at = float("-inf")
        self._spent_s = 0.0
        self._is_requested_now = False

    def record_change(self) -> None:
        """Record that there is something new to decide on."""
        self.has_work = True

    def request_now(self) -> None:
        """Make a decision due at once."""
        self.has_work = True
        self._is_requested_now = True

    def is_due(self, now: float) -> bool:
        """Return whether a decision is due."""
        wait_s = IDLE_INTERVAL_S
        if self.has_work:
            excess_s = self._spent_s - BURST_S
            wait_s = max(MIN_INTERVAL_S, excess_s / MAX_TIME_SHARE)
        return self._is_requested_now or now >= self._decided_at + wait_s

    def record_decided(
        self, now: float, *, cost_s: float, has_work: bool
    ) -> None:
        """Record a decision.

        Args:
          now: time before the decision, in seconds.
          cost_s: time that it took, in seconds.
          has_work: whether something is in progress or awaited.
        """
        refilled_s = MAX_TIME_SHARE * (now - self._decided_at)
        self._spent_s = max(0.0, self._spent_s - refilled_s) + cost_s
        self._decided_at = now
        self._is_requested_now = False
        self.has_work = has_work
