"""Groups that a policy has learnt something of, and when to forget it."""

from collections.abc import Sequence
from typing import NamedTuple

from chervilrock.decisions.routing import base

INTERVAL_S = 0.5
"""Time between two looks at the list of groups."""

FORGET_S = 600.0
"""Time after which a group that is no longer listed is forgotten."""


class _Known(NamedTuple):
    fence: int
    seen_at: float


class KnownGroups:
    """Fencing numbers of the groups that were listed."""

    def __init__(self) -> None:
        """Start with no group."""
        self._groups: dict[str, _Known] = {}
        self._next_look = float("-inf")

    def follow(
        self, endpoints: Sequence[base.Endpoint], now: float
    ) -> list[str]:
        """Look at the list, and return the groups to forget.

        These are the groups with other hosts than before, which a new
        fencing number shows, and those that have not been listed for long.
        """
        if now < self._next_look:
            return []
        self._next_look = now + INTERVAL_S
        changed = []
        for endpoint in endpoints:
            known = self._groups.get(endpoint.group)
            if known is not None and known.fence != endpoint.fence:
                changed.append(endpoint.group)
            self._groups[endpoint.group] = _Known(endpoint.fence, now)
        gone = [
            group
            for group, known in self._groups.items()
            if now - known.seen_at > FORGET_S
        ]
        for group in gone:
            del self._groups[group]
        return changed + gone
