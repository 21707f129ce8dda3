"""How many groups of each model the callers need.

Load pattern: what a model needs differs from the share that the configuration
names, and changes while bursts last. A model that is short of groups runs few
requests because it can run no more, so its demand must not seem to fall.
"""

from collections.abc import Mapping
import math

from chervilrock.decisions.serving.site import EngineProfile

RESERVE = 2.5
"""Slots beyond the requests that run, in standard deviations of their number
(its square root, as arrivals are random). The fewer groups a model has, the
larger the part of their slots that has to stay free: with a part of 0.6 for
all, a large group was closed for a small one while the four large groups were
the ones that turned callers away."""

FULL = 0.85
"""Part of the slots from which a model counts as full: what it could run
beyond is not seen."""

RISE_S = 2.0
"""Time constant with which the demand follows a rise, in seconds; a group takes
two seconds to move, so that a wave of one is not followed."""

FALL_S = 5.0
"""Time constant with which it follows a fall. After a loss the requests that
run fall at once, the demand does not."""

FULLNESS_S = 0.7
"""Time constant of how full the groups of a model are, in seconds."""

PRESSED = 0.8
"""Part of the slots from which a model may take the groups of another one. At
0.75 first events still come as fast as ever."""

PRESSED_S = 0.7
"""Time for which it must have been that full; a wave of requests is over by
then, and so is the repair of a group."""

LEARN_S = 3.0
"""Time from the first requests until the demand is taken for known."""

LEAST_GROUPS = 2.0
"""Groups that each model should have, so that one loss takes no model away."""

SERVING_PART = 0.8
"""Part of the hosts that should serve while the demand is not known; the
others stand by."""


class Demand:
    """Requests of each model, as they were seen lately."""

    def __init__(self) -> None:
        """Know nothing."""
        self._began: float | None = None
        self._updated = 0.0
        self._requests: dict[str, float] = {}
        self._fullness: dict[str, float] = {}
        self._pressed: dict[str, float] = {}

    def note(
        self, requests: Mapping[str, int], places: Mapping[str, int], now: float
    ) -> None:
        """Take how many requests run and could run.

        Args:
          requests: requests that run, by model.
          places: requests that the open groups run at once, by model.
          now: present time.
        """
        if self._began is None:
            if not any(requests.values()):
                return
            self._began = now
            self._updated = now
        elapsed = now - self._updated
        self._updated = now
        for model, count in requests.items():
            known = self._requests.get(model, 0.0)
            is_full = count >= FULL * places.get(model, 0)
            if count < known and is_full:
                continue
            time = RISE_S if count > known else FALL_S
            self._requests[model] = _follow(known, count, elapsed, time)
        for model, running in requests.items():
            count = places.get(model, 0)
            fullness = running / count if count else 1.0
            known = self._fullness.get(model, 0.0)
            self._fullness[model] = _follow(
                known, fullness, elapsed, FULLNESS_S
            )
        self._note_pressed(now)

    def _note_pressed(self, now: float) -> None:
        for model, fullness in self._fullness.items():
            if fullness < PRESSED:
                self._pressed.pop(model, None)
            else:
                self._pressed.setdefault(model, now)

    def list_pressed(self, now: float) -> frozenset[str]:
        """Return the models whose groups have been nearly full for a while."""
        if not self.is_known(now):
            return frozenset()
        return frozenset(
            model
            for model, since in self._pressed.items()
            if now - since >= PRESSED_S
        )

    def is_known(self, now: float) -> bool:
        """Tell whether requests were seen for long enough."""
        return self._began is not None and now - self._began >= LEARN_S

    def find_needs(
        self,
        engine: EngineProfile,
        groups: Mapping[str, int],
        hosts: int,
        now: float,
    ) -> dict[str, float]:
        """Return the groups that each model needs.

        Args:
          engine: models that are served, and the slots of a group.
          groups: groups of each model that serve or form.
          hosts: hosts that may be in groups.
          now: present time.
        """
        if not self.is_known(now):
            return _split_by_share(engine, hosts)
        needs = {}
        for model in engine.models:
            running = self._requests.get(model, 0.0)
            slots = running + RESERVE * math.sqrt(running)
            need = slots / engine.slots
            if self._fullness.get(model, 0.0) > FULL:
                need = max(need, groups.get(model, 0) + 1.0)
            needs[model] = max(LEAST_GROUPS, need)
        return needs


def _follow(known: float, seen: float, elapsed: float, time: float) -> float:
    """Return a smoothed value after some seconds."""
    return known + (seen - known) * (1.0 - math.exp(-elapsed / time))


def _split_by_share(engine: EngineProfile, hosts: int) -> dict[str, float]:
    """Return the groups of each model by its share of the hosts."""
    models = tuple(engine.models.values())
    total = sum(model.share for model in models) or 1.0
    serving = SERVING_PART * hosts
    return {
        model.name: max(0.01, serving * model.share / total / model.size)
        for model in models
    }
