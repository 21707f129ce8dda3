"""Count of a node's own attempts in progress at each group."""

import collections


class Flights:
    """Attempts in progress by group.

    An attempt is known by the request and the group, so an end that comes
    twice, or after the attempt was forgotten, changes nothing.
    """

    def __init__(self) -> None:
        """Start with no attempt."""
        self._attempts: set[tuple[str, str]] = set()
        self._counts: collections.Counter[str] = collections.Counter()

    def __contains__(self, attempt: tuple[str, str]) -> bool:
        """Tell whether the attempt (request, group) is in progress."""
        return attempt in self._attempts

    def count(self, group: str) -> int:
        """Return the attempts in progress at a group."""
        return self._counts.get(group, 0)

    def total(self) -> int:
        """Return the attempts in progress at all groups."""
        return len(self._attempts)

    def add(self, request_id: str, group: str) -> None:
        """Note the start of an attempt."""
        if (request_id, group) in self._attempts:
            return
        self._attempts.add((request_id, group))
        self._counts[group] += 1

    def discard(self, request_id: str, group: str) -> bool:
        """Note the end of an attempt, and tell whether it was in progress."""
        if (request_id, group) not in self._attempts:
            return False
        self._attempts.remove((request_id, group))
        self._counts[group] -= 1
        if not self._counts[group]:
            del self._counts[group]
        return True
