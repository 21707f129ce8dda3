"""Estimates how many groups of each model the callers need.

Load pattern: the need of a model differs from its configured share and changes
during bursts. A model that is short of groups runs few requests because it has
no slots for more, so its demand must not appear to fall.
"""

from collections.abc import Mapping
import math

from chervilrock.decisions.serving.site import EngineProfile

RESERVE_DEVIATIONS = 2.5
"""Slots beyond the running requests, in standard deviations of their number
(its square root, as arrivals are random). The fewer groups a model has, the
larger the fraction of their slots that has to stay free: with a fraction of 0.6
for all models, a large group was closed for a small one while it was the four
large groups that rejected callers."""

FULL_FRACTION = 0.85
"""Fraction of busy slots from which a model counts as full: demand beyond it
cannot be observed."""

RISE_TIME_CONSTANT_S = 2.0
"""Time constant with which the demand follows a rise, in seconds. Moving
a group takes two seconds, so waves of one second are smoothed out."""

FALL_TIME_CONSTANT_S = 5.0
"""Time constant with which the demand follows a fall. After a loss the number
of running requests falls at once, but the demand does not."""

FULLNESS_TIME_CONSTANT_S = 0.7
"""Time constant of the fraction of busy slots of a model, in seconds."""

OVERLOADED_FRACTION = 0.8
"""Fraction of busy slots from which groups of other models may be dissolved for
a model. At 0.75 first events are not yet delayed."""

OVERLOAD_DELAY_S = 0.7
"""Time for which a model must have been that full. A wave of requests or
the repair of a group is over by then."""

MIN_OBSERVATION_S = 3.0
"""Time from the first request until the demand counts as known."""

MIN_GROUPS = 2.0
"""Groups that each model should have, so that the loss of one does not make a
model unavailable."""

SERVING_FRACTION = 0.8
"""Fraction of the hosts that should serve while the demand is not known; the
others are standby hosts."""


class Demand:
    """The recent demand for each model."""

    def __init__(self) -> None:
        """Create a demand without observations."""
        self._started_at: float | None = None
        self._updated = 0.0
        self._requests: dict[str, float] = {}
        self._fullness: dict[str, float] = {}
        self._overloaded_since: dict[str, float] = {}

    def record(
        self,
        requests: Mapping[str, int],
        capacities: Mapping[str, int],
        now: float,
    ) -> None:
        """Record how many requests run and how many could run.

        Args:
          requests: number of running requests by model.
          capacities: number of requests that the open groups can run by model.
          now: current time.
        """
        if self._started_at is None:
            if not any(requests.values()):
                return
            self._started_at = now
            self._updated = now
        elapsed_s = now - self._updated
        self._updated = now
        for model, count in requests.items():
            known = self._requests.get(model, 0.0)
            is_full = count >= FULL_FRACTION * capacities.get(model, 0)
            if count < known and is_full:
                continue
            time_constant_s = (
                RISE_TIME_CONSTANT_S if count > known else FALL_TIME_CONSTANT_S
            )
            self._requests[model] = _smooth(
                known, count, elapsed_s, time_constant_s
            )
        for model, running in requests.items():
            count = capacities.get(model, 0)
            fullness = running / count if count else 1.0
            known = self._fullness.get(model, 0.0)
            self._fullness[model] = _smooth(
                known, fullness, elapsed_s, FULLNESS_TIME_CONSTANT_S
            )
        self._record_overloaded(now)

    def _record_overloaded(self, now: float) -> None:
        for model, fullness in self._fullness.items():
            if fullness < OVERLOADED_FRACTION:
                self._overloaded_since.pop(model, None)
            else:
                self._overloaded_since.setdefault(model, now)

    def list_overloaded(self, now: float) -> frozenset[str]:
        """Return the models whose groups have been nearly full for a while."""
        if not self.is_known(now):
            return frozenset()
        return frozenset(
            model
            for model, since in self._overloaded_since.items()
            if now - since >= OVERLOAD_DELAY_S
        )

    def is_known(self, now: float) -> bool:
        """Return whether requests were observed for long enough."""
        return (
            self._started_at is not None
            and now - self._started_at >= MIN_OBSERVATION_S
        )

    def find_needs(
        self,
        engine: EngineProfile,
        groups: Mapping[str, int],
        hosts: int,
        now: float,
    ) -> dict[str, float]:
        """Return the number of groups that each model needs.

        Args:
          engine: models that are served, and the slots of a group.
          groups: number of groups of each model that serve or are being formed.
          hosts: number of hosts that may be in groups.
          now: current time.
        """
        if not self.is_known(now):
            return _split_by_share(engine, hosts)
        needs = {}
        for model in engine.models:
            running = self._requests.get(model, 0.0)
            slots = running + RESERVE_DEVIATIONS * math.sqrt(running)
            need = slots / engine.slots
            if self._fullness.get(model, 0.0) > FULL_FRACTION:
                need = max(need, groups.get(model, 0) + 1.0)
            needs[model] = max(MIN_GROUPS, need)
        return needs


def _smooth(
    known: float, sample: float, elapsed_s: float, time_constant_s: float
) -> float:
    """Return an exponentially smoothed value after a sample."""
    return known + (sample - known) * (
        1.0 - math.exp(-elapsed_s / time_constant_s)
    )


def _split_by_share(engine: EngineProfile, hosts: int) -> dict[str, float]:
    """Return the number of groups of each model by its share of the hosts."""
    models = tuple(engine.models.values())
    total = sum(model.share for model in models) or 1.0
    serving = SERVING_FRACTION * hosts
    return {
        model.name: max(0.01, serving * model.share / total / model.size)
        for model in models
    }
