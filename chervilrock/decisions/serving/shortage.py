"""Whether requests that could be on time find no place at this node.

Load pattern: more requests come than the open groups of a model can serve,
for seconds. Each slot that a late request gets then makes another one late,
which comes back late itself: the groups are as busy as ever, and hardly an
answer is in time. Groups that are merely well filled are no reason to turn a
late request away.
"""

CALM_S = 0.5
"""Time without a missed request after which a shortage is over."""


class Shortages:
    """Requests that missed their time for want of a place, by model."""

    def __init__(self) -> None:
        """Know of none."""
        self._began: dict[str, float] = {}
        self._last: dict[str, float] = {}

    def note_missed(self, model: str, now: float) -> None:
        """Note that a request got no place while it could be on time."""
        if not self.is_short(model, now):
            self._began[model] = now
        self._last[model] = now

    def is_short(self, model: str, now: float) -> bool:
        """Tell whether places of a model are short."""
        last = self._last.get(model)
        return last is not None and now - last <= CALM_S

    def list_short(self, now: float) -> tuple[str, ...]:
        """Return the models whose places are short."""
        return tuple(one for one in self._last if self.is_short(one, now))

    def find_duration(self, model: str, now: float) -> float:
        """Return for how long places have been short, in seconds."""
        if not self.is_short(model, now):
            return 0.0
        return now - self._began[model]
