"""Detection of draining groups that have no requests left."""

from collections.abc import Iterable

from chervilrock.decisions.ownership import Group
from chervilrock.generated.records import GroupPhase
from chervilrock.tasks.loads import GroupLoad

PROPAGATION_S = 2.0
"""Time in seconds within which every node has read that a group drains."""


class IdleTable:
    """Load reports of draining groups.

    A group counts as idle only when a report shows no requests and was made
    after every node had stopped sending requests to the group.
    """

    def __init__(self) -> None:
        """Create a table without groups."""
        self._since: dict[str, float] = {}
        self._idle: set[str] = set()

    def record_load(self, message: GroupLoad) -> None:
        """Record a load report."""
        since = self._since.get(message.group)
        if since is None or message.reported_at < since + PROPAGATION_S:
            return
        load = message.load
        if load["running"] == 0 and load["waiting"] == 0:
            self._idle.add(message.group)
        else:
            self._idle.discard(message.group)

    def retain(self, groups: Iterable[Group], now: float) -> None:
        """Track the groups that are draining and drop all others."""
        draining = {
            group.name for group in groups if group.phase is GroupPhase.DRAINING
        }
        for name in draining - self._since.keys():
            self._since[name] = now
        for name in self._since.keys() - draining:
            del self._since[name]
        self._idle &= draining

    def find_idle(self) -> frozenset[str]:
        """Return the names of the groups that are idle."""
        return frozenset(self._idle)
