"""How often the controller decides."""

SHORTEST_S = 0.3
"""Least time between two decisions while something is under way."""

IDLE_S = 5.0
"""Time between two decisions while nothing changes and nothing is awaited."""

SHARE = 0.01
"""Greatest share of the time that decisions take, with their planning."""

BURST_S = 0.5
"""Time that decisions may take beyond that share for a while."""


class Pace:
    """Tells when to decide, by what changes and by what a decision costs.

    Attributes:
      awaits: whether something has changed, is under way or waited for
    """

    def __init__(self) -> None:
        """Start with a decision that is due."""
        self.awaits = True
        self._decided_at = float("-inf")
        self._spent_s = 0.0
        self._hurries = False

    def record_change(self) -> None:
        """Note that there is something new to decide on."""
        self.awaits = True

    def hurry(self) -> None:
        """Decide as soon as possible."""
        self.awaits = True
        self._hurries = True

    def is_due(self, now: float) -> bool:
        """Return whether it is time to decide."""
        wait_s = IDLE_S
        if self.awaits:
            over_s = self._spent_s - BURST_S
            wait_s = max(SHORTEST_S, over_s / SHARE)
        return self._hurries or now >= self._decided_at + wait_s

    def record_decided(
        self, now: float, *, cost_s: float, awaits: bool
    ) -> None:
        """Note a decision.

        Args:
          now: time before the decision, in seconds.
          cost_s: time that it took in seconds.
          awaits: whether something is under way or waited for.
        """
        earned_s = SHARE * (now - self._decided_at)
        self._spent_s = max(0.0, self._spent_s - earned_s) + cost_s
        self._decided_at = now
        self._hurries = False
        self.awaits = awaits
