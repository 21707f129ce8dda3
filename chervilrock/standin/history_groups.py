"""Checks of where requests ran against the shards of each host."""

from collections import Counter

from chervilrock.standin.history import (
    Arrived,
    Executed,
    GroupsSeen,
    Held,
    Leaving,
    Shard,
)
from chervilrock.standin.history_findings import (
    Entries,
    Finding,
    Findings,
    pick,
    Promise,
)

LEAVING_S = 3.0
"""Time after which a leaving backend server receives no new requests."""

GONE_S = 3.0
"""Time after which a group that lost a host receives no new requests, even
when its remaining hosts do not detect the loss."""


class _ShardTracker:
    """Tracks the shard of each host and when a group lost a rank."""

    def __init__(self) -> None:
        self.shards: dict[str, Shard] = {}
        self._lost: dict[tuple[str, int, int], float] = {}

    def apply(self, held: Held, at: float) -> None:
        before = self.shards.pop(held.host, None)
        if before is not None:
            self._lost[before.group, before.fence, before.rank] = at
        if held.shard is not None:
            shard = held.shard
            self.shards[held.host] = shard
            self._lost.pop((shard.group, shard.fence, shard.rank), None)

    def list_members(self, shard: Shard) -> list[str]:
        """Return the hosts that have a rank of a group."""
        return [
            host
            for host, held in self.shards.items()
            if (held.group, held.fence) == (shard.group, shard.fence)
        ]

    def is_whole(self, shard: Shard) -> bool:
        """Return whether exactly one host has each rank of a group."""
        ranks = [self.shards[host].rank for host in self.list_members(shard)]
        return sorted(ranks) == list(range(shard.size))

    def find_loss(self, shard: Shard) -> float | None:
        """Return the time of the earliest loss among the missing ranks."""
        lost = [
            at
            for (group, fence, _), at in self._lost.items()
            if (group, fence) == (shard.group, shard.fence)
        ]
        return min(lost, default=None)


def check_groups(entries: Entries) -> Findings:
    """Check that no request starts in a group with missing hosts."""
    tracker = _ShardTracker()
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            tracker.apply(event, at)
        if not isinstance(event, Executed) or event.shard is None:
            continue
        if tracker.is_whole(event.shard):
            continue
        members = tracker.list_members(event.shard)
        message = (
            f"{event.shard.group} ran operation {event.operation}"
            f" with only {members}"
        )
        found.append(Finding(Promise.WHOLE_GROUP, place, message))
    return found


def check_lost_groups(entries: Entries) -> Findings:
    """Check that a group that lost a host soon gets no new requests.

    This check is for runs in which the hosts of a group do not detect the
    loss of a member, so that only the nodes can stop using the group.
    """
    tracker = _ShardTracker()
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            tracker.apply(event, at)
        elif isinstance(event, Arrived) and event.shard is not None:
            lost = tracker.find_loss(event.shard)
            if lost is not None and at - lost > GONE_S:
                message = (
                    f"{event.shard.group} got operation {event.operation}"
                    f" {at - lost:.1f} s after it had lost a host"
                )
                found.append(Finding(Promise.WHOLE_GROUP, place, message))
    return found


def check_one_group(entries: Entries) -> Findings:
    """Check that no node reports a host as serving in two groups."""
    found = []
    for place, seen in pick(entries, GroupsSeen):
        counts = Counter(host for _, hosts in seen.groups for host in hosts)
        for host, count in counts.items():
            if count > 1:
                message = f"{seen.node} has {host} in {count} groups"
                found.append(Finding(Promise.ONE_GROUP, place, message))
    return found


def check_leaving(entries: Entries) -> Findings:
    """Check that leaving backend servers receive no new requests."""
    tracker = _ShardTracker()
    leaving_since: dict[str, float] = {}
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            tracker.apply(event, at)
        elif isinstance(event, Leaving):
            leaving_since[event.backend] = at
        elif isinstance(event, Arrived):
            members = [event.backend]
            if event.shard is not None:
                members = tracker.list_members(event.shard)
            for member in members:
                age = at - leaving_since.get(member, at)
                if age > LEAVING_S:
                    message = (
                        f"{member} got operation {event.operation}"
                        f" {age:.1f} s after it was said to leave"
                    )
                    found.append(Finding(Promise.LEAVING, place, message))
    return found
