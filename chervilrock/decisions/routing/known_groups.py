"""Groups that a policy keeps data on, and when to discard that data."""

from collections.abc import Sequence
from typing import NamedTuple

from chervilrock.decisions.routing import base

CHECK_INTERVAL_S = 0.5
"""Least time between two checks of the list of groups."""

FORGET_AFTER_S = 600.0
"""Time after which a group that is no longer listed is forgotten."""


class _KnownGroup(NamedTuple):
    fence: int
    listed_at: float


class KnownGroups:
    """Fencing numbers of the groups that have been listed."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._groups: dict[str, _KnownGroup] = {}
        self._next_check_at = float("-inf")

    def update(
        self, endpoints: Sequence[base.Endpoint], now: float
    ) -> list[str]:
        """Update the registry from the list, and return the groups to forget.

        These are the groups whose hosts have changed, which a new fencing
        number shows, and those that have not been listed for
        `FORGET_AFTER_S`.
        """
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_S
        changed = []
        for endpoint in endpoints:
            known = self._groups.get(endpoint.group)
            if known is not None and known.fence != endpoint.fence:
                changed.append(endpoint.group)
            self._groups[endpoint.group] = _KnownGroup(endpoint.fence, now)
        expired = [
            group
            for group, known in self._groups.items()
            if now - known.listed_at > FORGET_AFTER_S
        ]
        for group in expired:
            del self._groups[group]
        return changed + expired
