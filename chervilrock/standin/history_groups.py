"""Checks of where requests ran against what each host held."""

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
"""Time after which a leaving backend server gets no new work."""

GONE_S = 3.0
"""Time after which a group without one of its hosts gets no new work, also
when its own hosts do not notice the loss."""


class _Hosts:
    """What each host holds, and since when a group lacks one of its ranks."""

    def __init__(self) -> None:
        self.held: dict[str, Shard] = {}
        self._lost: dict[tuple[str, int, int], float] = {}

    def take(self, held: Held, at: float) -> None:
        before = self.held.pop(held.host, None)
        if before is not None:
            self._lost[before.group, before.fence, before.rank] = at
        if held.shard is not None:
            shard = held.shard
            self.held[held.host] = shard
            self._lost.pop((shard.group, shard.fence, shard.rank), None)

    def list_members(self, shard: Shard) -> list[str]:
        """Return the hosts that hold a rank of a group."""
        return [
            host
            for host, held in self.held.items()
            if (held.group, held.fence) == (shard.group, shard.fence)
        ]

    def is_whole(self, shard: Shard) -> bool:
        """Return whether exactly one host holds each rank of a group."""
        ranks = [self.held[host].rank for host in self.list_members(shard)]
        return sorted(ranks) == list(range(shard.size))

    def find_loss(self, shard: Shard) -> float | None:
        """Return when a group lost the first rank that it lacks."""
        lost = [
            at
            for (group, fence, _), at in self._lost.items()
            if (group, fence) == (shard.group, shard.fence)
        ]
        return min(lost, default=None)


def check_groups(entries: Entries) -> Findings:
    """Check that no request begins to run in a group that is not whole."""
    hosts = _Hosts()
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            hosts.take(event, at)
        if not isinstance(event, Executed) or event.shard is None:
            continue
        if hosts.is_whole(event.shard):
            continue
        members = hosts.list_members(event.shard)
        message = (
            f"{event.shard.group} ran operation {event.operation}"
            f" with only {members}"
        )
        found.append(Finding(Promise.WHOLE_GROUP, place, message))
    return found


def check_lost_groups(entries: Entries) -> Findings:
    """Check that a group that lost a host gets no new work after a while.

    This is the check for runs in which the hosts of a group do not notice
    that one of them is gone, so that only the nodes keep the promise.
    """
    hosts = _Hosts()
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            hosts.take(event, at)
        elif isinstance(event, Arrived) and event.shard is not None:
            lost = hosts.find_loss(event.shard)
            if lost is not None and at - lost > GONE_S:
                message = (
                    f"{event.shard.group} got operation {event.operation}"
                    f" {at - lost:.1f} s after it had lost a host"
                )
                found.append(Finding(Promise.WHOLE_GROUP, place, message))
    return found


def check_one_group(entries: Entries) -> Findings:
    """Check that no node ever says that a host serves in two groups."""
    found = []
    for place, seen in pick(entries, GroupsSeen):
        counts = Counter(host for _, hosts in seen.groups for host in hosts)
        for host, count in counts.items():
            if count > 1:
                message = f"{seen.node} has {host} in {count} groups"
                found.append(Finding(Promise.ONE_GROUP, place, message))
    return found


def check_leaving(entries: Entries) -> Findings:
    """Check that backend servers get no new work once they are leaving."""
    hosts = _Hosts()
    since: dict[str, float] = {}
    found = []
    for place, (at, event) in enumerate(entries):
        if isinstance(event, Held):
            hosts.take(event, at)
        elif isinstance(event, Leaving):
            since[event.backend] = at
        elif isinstance(event, Arrived):
            members = [event.backend]
            if event.shard is not None:
                members = hosts.list_members(event.shard)
            for member in members:
                age = at - since.get(member, at)
                if age > LEAVING_S:
                    message = (
                        f"{member} got operation {event.operation}"
                        f" {age:.1f} s after it was said to leave"
                    )
                    found.append(Finding(Promise.LEAVING, place, message))
    return found
