"""Counts of a node's own attempts in progress at each group."""

import collections


class InFlightAttempts:
    """Attempts in progress by group.

    An attempt is identified by its request and group, so a second end of the
    same attempt, or the end of an unknown one, has no effect.
    """

    def __init__(self) -> None:
        """Create an empty set of attempts."""
        self._attempts: set[tuple[str, str]] = set()
        self._counts: collections.Counter[str] = collections.Counter()

    def __contains__(self, attempt: tuple[str, str]) -> bool:
        """Return whether the attempt (request, group) is in progress."""
        return attempt in self._attempts

    def count(self, group: str) -> int:
        """Return the number of attempts in progress at a group."""
        return self._counts.get(group, 0)

    def total(self) -> int:
        """Return the number of attempts in progress at all groups."""
        return len(self._attempts)

    def add(self, request_id: str, group: str) -> None:
        """Record the start of an attempt."""
        if (request_id, group) in self._attempts:
            return
        self._attempts.add((request_id, group))
        self._counts[group] += 1

    def discard(self, request_id: str, group: str) -> bool:
        """Record the end of an attempt; return whether it was in progress."""
        if (request_id, group) not in self._attempts:
            return False
        self._attempts.remove((request_id, group))
        self._counts[group] -= 1
        if not self._counts[group]:
            del self._counts[group]
        return True
