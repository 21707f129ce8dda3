"""Detects groups that fail requests by themselves.

Load pattern: some servers report that they are healthy and fail every request
at once. They are always the least loaded, since a failure takes tens of
milliseconds and an answer a second, so that placement by load sends them more
requests than all other groups together. A failing group is avoided with an
exponential backoff and probed by single requests in between; meanwhile requests
wait for a slot of another group. When more than half of the groups fail, the
requests are as likely to be the cause, and no group is avoided.
"""

from collections.abc import Callable, Sequence
from typing import TypeVar

Group = TypeVar("Group")

MAX_AVOIDED_FRACTION = 0.5
"""Greatest fraction of the groups of a model that is avoided."""

FIRST_AVOIDANCE_S = 0.5
"""Time for which a group is avoided after its first failure."""

MAX_AVOIDANCE_S = 8.0
"""Longest time until a group gets a request again."""

BACKOFF_FACTOR = 2.0
"""Factor on this time for each further failure without a success."""


class GroupFailures:
    """Counts the failures of each group since its last success."""

    def __init__(self) -> None:
        """Create counts without failures."""
        self._counts: dict[str, int] = {}

    def record_failure(self, group: str) -> float:
        """Record that a group failed a request.

        Returns:
          Seconds for which the group should be avoided.
        """
        count = self._counts.get(group, 0)
        self._counts[group] = count + 1
        return min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * BACKOFF_FACTOR**count)

    def record_success(self, group: str) -> None:
        """Record that a group answered a request."""
        self._counts.pop(group, None)

    def keep_only(self, groups: frozenset[str]) -> None:
        """Forget all groups but these."""
        for group in set(self._counts) - groups:
            del self._counts[group]


def exclude_failing(
    groups: Sequence[Group], is_failing: Callable[[Group], bool]
) -> Sequence[Group]:
    """Return the groups that do not fail, or all groups if too many fail."""
    healthy = [group for group in groups if not is_failing(group)]
    avoided = len(groups) - len(healthy)
    return groups if avoided > MAX_AVOIDED_FRACTION * len(groups) else healthy
