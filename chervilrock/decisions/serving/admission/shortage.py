"""Detects that requests that could be on time get no slot from this node.

Load pattern: for some seconds more requests arrive than the open groups of a
model can serve. Each slot that a late request gets then makes another request
late, whose caller retries and is late again: the groups stay busy, but hardly
any answer is on time. Groups that are merely well filled are no reason to
reject a late request.
"""

RECOVERY_S = 0.5
"""Time without a missed request after which a shortage ends."""


class Shortages:
    """Shortages of slots by model, detected by requests that were late."""

    def __init__(self) -> None:
        """Create a registry without shortages."""
        self._started_at: dict[str, float] = {}
        self._last_missed: dict[str, float] = {}

    def record_missed(self, model: str, now: float) -> None:
        """Record that a request got no slot while it could be on time."""
        if not self.has_shortage(model, now):
            self._started_at[model] = now
        self._last_missed[model] = now

    def has_shortage(self, model: str, now: float) -> bool:
        """Return whether a model has a shortage of slots."""
        last = self._last_missed.get(model)
        return last is not None and now - last <= RECOVERY_S

    def list_short(self, now: float) -> tuple[str, ...]:
        """Return the models that have a shortage of slots."""
        return tuple(
            model
            for model in self._last_missed
            if self.has_shortage(model, now)
        )

    def find_duration(self, model: str, now: float) -> float:
        """Return for how long a model has had a shortage, in seconds."""
        if not self.has_shortage(model, now):
            return 0.0
        return now - self._started_at[model]
