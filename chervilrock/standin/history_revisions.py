"""Checks of the configurations that nodes and operators observed."""

from chervilrock.standin.history import (
    ApplyTold,
    ConfigurationAppended,
    FaultsEnded,
    Killed,
    NodeStarted,
    RevisionSeen,
    StopBegan,
)
from chervilrock.standin.history_findings import (
    Entries,
    Finding,
    Findings,
    pick,
    Promise,
)

IN_FORCE_S = 5.0
"""Time after the faults by which the last configuration is in force."""


def fold_configurations(entries: Entries) -> dict[int, str]:
    """Return the operators of the accepted configurations by revision.

    A record whose sequence number does not exceed that of the preceding
    record of its writer is a duplicate or out of order and is ignored.
    """
    accepted: dict[int, str] = {}
    sequences: dict[str, int] = {}
    revision = 0
    for _, appended in pick(entries, ConfigurationAppended):
        if appended.sequence <= sequences.get(appended.writer, 0):
            continue
        sequences[appended.writer] = appended.sequence
        if appended.base == revision:
            revision = appended.offset
            accepted[revision] = appended.operator
    return accepted


def check_configurations(entries: Entries) -> Findings:
    """Check that revisions never decrease and operators get true outcomes."""
    accepted = fold_configurations(entries)
    seen: dict[str, int] = {}
    found = []
    for place, (_, event) in enumerate(entries):
        message = ""
        if isinstance(event, RevisionSeen):
            if event.revision < seen.get(event.node, 0):
                message = f"{event.node} went back to {event.revision}"
            elif event.revision and event.revision not in accepted:
                message = f"{event.node} has {event.revision}, not accepted"
            seen[event.node] = event.revision
        elif isinstance(event, ApplyTold) and event.accepted is not None:
            message = _judge_apply(event, accepted)
        if message:
            found.append(Finding(Promise.CONFIGURATION, place, message))
    return found


def _judge_apply(told: ApplyTold, accepted: dict[int, str]) -> str:
    if told.accepted and accepted.get(told.revision) != told.operator:
        return f"{told.operator} was told that {told.revision} is accepted"
    if not told.accepted and told.operator in accepted.values():
        return f"{told.operator} was told that it is not accepted"
    return ""


def check_in_force(entries: Entries) -> Findings:
    """Check that live nodes get the last configuration soon after faults."""
    last = max(fold_configurations(entries), default=0)
    ended = [place for place, _ in pick(entries, FaultsEnded)]
    if not ended:
        return []
    appended_at = [
        entries[place].at
        for place, appended in pick(entries, ConfigurationAppended)
        if appended.offset == last
    ]
    limit = max([entries[ended[0]].at, *appended_at]) + IN_FORCE_S
    outdated_nodes: set[str] = set()
    for at, event in entries:
        if at > limit:
            break
        if isinstance(event, NodeStarted):
            outdated_nodes.add(event.node)
        elif isinstance(event, Killed):
            outdated_nodes.discard(event.name)
        elif isinstance(event, StopBegan):
            outdated_nodes.discard(event.node)
        elif isinstance(event, RevisionSeen):
            outdated_nodes -= {event.node} if event.revision >= last else set()
    return [
        Finding(Promise.IN_FORCE, ended[0], f"{node} lacks revision {last}")
        for node in sorted(outdated_nodes)
    ]
