"""Decisions of the controller while the log is unavailable.

No ownership may change: no host joins a group unless the log reserved it for
that group, and no group is formed, drained or dissolved. The one exception
was granted in advance. A serving group may have a reserve fencing number and
spares, by an accepted record of the current controller. With that number the
controller may reload the group once, with spares in place of lost hosts.

The reserve number is greater than the one in force, so an engine that has
accepted it rejects all orders with the old one. It is less than any number
that another controller can get later, so the orders of that controller take
precedence. This requires that every engine of the group rejects old numbers,
and that it remembers the numbers it has seen, so an engine that was restarted
since the grant is not used.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from chervilrock.decisions.control.effects import SendOrder
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.lease import LeaseView
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.shards import order_load
from chervilrock.generated.interfaces import EnginePhase, HostEntry
from chervilrock.generated.records import GroupPhase


class OutageTiming(NamedTuple):
    """Waiting times while the log is unavailable, in seconds.

    Attributes:
      out_after_s: time without the log after which an outage is assumed
      lost_after_s: absence of a host after which it is replaced
      order_timeout_s: longest time for which an order may be in flight
    """

    out_after_s: float = 5.0
    lost_after_s: float = 10.0
    order_timeout_s: float = 2.0


_DEFAULT_TIMING = OutageTiming()


class _OutageContext(NamedTuple):
    """State and input of one decision."""

    region: RegionState
    presence: PresenceTable
    hosts: Mapping[str, HostEntry]
    progress: Progress
    timing: OutageTiming
    now: float


def decide_outage(
    *,
    region: RegionState,
    presence: PresenceTable,
    hosts: Iterable[HostEntry],
    pending: Progress,
    lease: LeaseView,
    outage_since: float | None,
    now: float,
    timing: OutageTiming = _DEFAULT_TIMING,
) -> tuple[SendOrder, ...]:
    """Return the orders that may be sent while the log is unavailable.

    Args:
      region: state of the region as last read.
      presence: evidence of the hosts.
      hosts: host list of this region as last read.
      pending: holds the hosts that were chosen for each reserve number.
      lease: the lease of the region from the point of view of this process;
        it may have expired, but no claim of another process may have been
        read.
      outage_since: when the log was last read, None if it is available.
      now: current time in seconds.
      timing: waiting times.
    """
    if outage_since is None or now < outage_since + timing.out_after_s:
        return ()
    if region.epoch == 0 or lease.granted_epoch != region.epoch:
        return ()
    outage = _OutageContext(
        region=region,
        presence=presence,
        hosts={entry["host"]: entry for entry in hosts},
        progress=pending,
        timing=timing,
        now=now,
    )
    return tuple(
        order
        for group in region.groups.values()
        if _may_use_reserve(outage, group)
        for order in _list_group_orders(outage, group)
    )


def _may_use_reserve(outage: _OutageContext, group: Group) -> bool:
    """Return whether the group may use its reserve number.

    The number must be of the current epoch, and every engine must reject old
    fencing numbers.
    """
    if group.phase is not GroupPhase.SERVING:
        return False
    if group.reserve <= outage.region.epoch:
        return False
    return all(_checks_fence(outage, host) for host in group.hosts)


def _list_group_orders(
    outage: _OutageContext, group: Group
) -> Iterator[SendOrder]:
    chosen = outage.progress.compositions.get(group.reserve)
    if chosen is None:
        if outage.presence.whole(group, outage.now):
            return
        chosen = _choose_hosts(outage, group)
        if chosen is None:
            return
        outage.progress.compositions[group.reserve] = chosen
    repaired = group._replace(
        hosts=chosen,
        fence=group.reserve,
        incarnations=tuple(group.find_incarnation(host) for host in chosen),
    )
    leader = outage.hosts.get(chosen[0])
    if leader is None:
        return
    for rank, host in enumerate(chosen):
        yield from _list_host_orders(
            outage, repaired, rank, host, leader["address"]
        )


def _choose_hosts(
    outage: _OutageContext, group: Group
) -> tuple[str, ...] | None:
    """Return the hosts by rank, with spares in place of lost hosts.

    Returns:
      None if a missing host is not lost yet or there are too few spares.
    """
    spares = [
        host for host in group.spares if _is_usable_spare(outage, host, group)
    ]
    chosen: list[str] = []
    for host in group.hosts:
        if outage.presence.is_unchanged(group, host, outage.now):
            chosen.append(host)
        elif spares and _is_host_lost(outage, host):
            chosen.append(spares.pop(0))
        else:
            return None
    return tuple(chosen)


def _is_host_lost(outage: _OutageContext, host: str) -> bool:
    """Return whether a host was restarted or missing for too long."""
    since = outage.presence.missing_since(host, outage.now)
    return since is None or (outage.now >= since + outage.timing.lost_after_s)


def _is_usable_spare(outage: _OutageContext, host: str, group: Group) -> bool:
    evidence = outage.presence.find(host, outage.now)
    if evidence is None or not _checks_fence(outage, host):
        return False
    if not outage.presence.is_unchanged(group, host, outage.now):
        return False
    empty = (
        evidence.phase == EnginePhase.EMPTY and evidence.common_shard is None
    )
    return empty and evidence.fence < group.reserve


def _checks_fence(outage: _OutageContext, host: str) -> bool:
    entry = outage.hosts.get(host)
    evidence = outage.presence.find_last(host)
    if entry is None or evidence is None:
        return False
    return entry["checks_fence"] and evidence.checks_fence


def _list_host_orders(
    outage: _OutageContext, group: Group, rank: int, host: str, leader: str
) -> Iterator[SendOrder]:
    entry = outage.hosts.get(host)
    evidence = outage.presence.find(host, outage.now)
    if entry is None or evidence is None or evidence.fence > group.fence:
        return
    if not outage.presence.is_unchanged(group, host, outage.now):
        return
    if evidence.holds_rank(group, rank):
        return
    order = order_load(group, rank, leader)
    if outage.progress.is_due(host, order, outage.now):
        until = outage.now + outage.timing.order_timeout_s
        yield SendOrder(host, entry["address"], order, until)
