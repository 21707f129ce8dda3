"""Checks the history of a run against the guarantees of the system.

Each check is a function of the list of events alone. The checks use plain
dictionaries and sets and share no code with the system.
"""

from collections import Counter
from collections.abc import Callable

from chervilrock.standin import (
    history_answers,
    history_groups,
    history_revisions,
)
from chervilrock.standin.history import Ended
from chervilrock.standin.history_findings import (
    Entries,
    Finding,
    Findings,
    pick,
)

COMMON_CHECKS: tuple[Callable[[Entries], Findings], ...] = (
    history_answers.check_answers,
    history_answers.check_not_run,
    history_answers.check_at_most_once,
    history_answers.check_stops,
    history_groups.check_one_group,
    history_groups.check_leaving,
    history_revisions.check_configurations,
    history_revisions.check_in_force,
)


def check_history(
    entries: Entries, *, blind: bool = False
) -> tuple[Finding, ...]:
    """Return all violated guarantees in a history, ordered by place.

    Args:
      entries: the history.
      blind: whether the hosts of a group do not detect the loss of another;
        then requests may reach the group until the nodes detect the loss.
    """
    check_whole = history_groups.check_groups
    if blind:
        check_whole = history_groups.check_lost_groups
    checks = (*COMMON_CHECKS, check_whole)
    found = [finding for check in checks for finding in check(entries)]
    return tuple(sorted(found, key=lambda finding: finding.place))


def count_events(entries: Entries) -> dict[str, int]:
    """Return the number of events of each kind."""
    counts = Counter(type(entry.event).__name__ for entry in entries)
    return dict(sorted(counts.items()))


def count_told(entries: Entries) -> dict[str, int]:
    """Return the number of operations by their outcome for the caller."""
    counts = Counter(ended.told.value for _, ended in pick(entries, Ended))
    return dict(sorted(counts.items()))
