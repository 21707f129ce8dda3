"""Which groups answer requests with failures of their own.

Load pattern: some servers tell that they are well and fail every request at
once. They are always the emptiest, since a failure takes some tens of
milliseconds and an answer a second, so that placing by fullness sends them
more requests than all others together. A group that fails is avoided, longer
each time it fails again, and tried by single requests in between; rather than
go there, a request waits for a place elsewhere. When more than half of the
groups fail, it is as likely the requests that are at fault, and none is
avoided.
"""

from collections.abc import Callable, Sequence
from typing import TypeVar

Group = TypeVar("Group")

MOST_AVOIDED_PART = 0.5
"""Greatest part of the groups of a model that is avoided."""

FIRST_S = 0.5
"""Time for which a group is avoided after its first failure."""

LONGEST_S = 8.0
"""Longest time until a group is tried again."""

GROWTH = 2.0
"""Factor on this time for each further failure without a success."""


class Failures:
    """Failures of groups since their last success."""

    def __init__(self) -> None:
        """Know of none."""
        self._counts: dict[str, int] = {}

    def note_failure(self, group: str) -> float:
        """Take that a group failed a request.

        Returns:
          Seconds for which it should be avoided.
        """
        count = self._counts.get(group, 0)
        self._counts[group] = count + 1
        return min(LONGEST_S, FIRST_S * GROWTH**count)

    def note_success(self, group: str) -> None:
        """Take that a group answered a request."""
        self._counts.pop(group, None)

    def keep_only(self, groups: frozenset[str]) -> None:
        """Forget groups that are gone."""
        for group in set(self._counts) - groups:
            del self._counts[group]


def leave_out(
    groups: Sequence[Group], is_failing: Callable[[Group], bool]
) -> Sequence[Group]:
    """Return the groups that do not fail, all of them if too many do."""
    sound = [one for one in groups if not is_failing(one)]
    avoided = len(groups) - len(sound)
    return groups if avoided > MOST_AVOIDED_PART * len(groups) else sound
