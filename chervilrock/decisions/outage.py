"""What the controller may still do while the log is out.

Nothing may change hands: no host enters a group that the log did not reserve
it for, and no group is formed, drained or dissolved. One thing was granted
ahead. A serving group may have a reserve fencing number and spares, by an
accepted record of the controller in force. With that number the controller
may once load the group anew, with spares in place of hosts that are lost.

The number is greater than the one in force, so an engine that takes it
refuses all orders under the old one; and it is less than any number that
another controller can get from now on, so the orders of that one win. This
holds only for engines that refuse old numbers, hence every engine of the
group must. And it holds only while an engine remembers the numbers it has
seen, hence no engine that was restarted since the grant is used.
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
    """Waiting times while the log is out, in seconds.

    Attributes:
      out_after_s: time without the log after which this counts as an outage
      lost_after_s: absence of a host after which it is replaced
      order_timeout_s: longest time for which an order may be under way
    """

    out_after_s: float = 5.0
    lost_after_s: float = 10.0
    order_timeout_s: float = 2.0


_DEFAULT_TIMING = OutageTiming()


class _Outage(NamedTuple):
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
    out_since: float | None,
    now: float,
    timing: OutageTiming = _DEFAULT_TIMING,
) -> tuple[SendOrder, ...]:
    """Return the orders that may be sent while the log is out.

    Args:
      region: state of the region as last read.
      presence: evidence of the hosts.
      hosts: host list as last read, of this region.
      pending: remembers which hosts were chosen for a reserve number.
      lease: the lease of the region as this process knows it; it may have
        lapsed, but no claim of another process may have been read.
      out_since: when the log was last read, if it cannot be read now.
      now: present time in seconds.
      timing: waiting times.
    """
    if out_since is None or now < out_since + timing.out_after_s:
        return ()
    if region.epoch == 0 or lease.granted != region.epoch:
        return ()
    outage = _Outage(
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
        for order in _order_group(outage, group)
    )


def _may_use_reserve(outage: _Outage, group: Group) -> bool:
    """Return whether this controller was granted the reserve number."""
    if group.phase is not GroupPhase.SERVING:
        return False
    if group.reserve <= outage.region.epoch:
        return False
    return all(_is_fenced(outage, host) for host in group.hosts)


def _order_group(outage: _Outage, group: Group) -> Iterator[SendOrder]:
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
        yield from _order_host(outage, repaired, rank, host, leader["address"])


def _choose_hosts(outage: _Outage, group: Group) -> tuple[str, ...] | None:
    """Return hosts by rank with spares for those that are lost.

    Returns:
      None when nothing is lost for long enough or spares are wanting.
    """
    spares = [host for host in group.spares if _is_fit(outage, host, group)]
    chosen: list[str] = []
    for host in group.hosts:
        if outage.presence.is_unchanged(group, host, outage.now):
            chosen.append(host)
        elif spares and _is_lost(outage, host):
            chosen.append(spares.pop(0))
        else:
            return None
    return tuple(chosen)


def _is_lost(outage: _Outage, host: str) -> bool:
    """Return whether a host was restarted, or is missing for long enough."""
    since = outage.presence.missing_since(host, outage.now)
    return since is None or (outage.now >= since + outage.timing.lost_after_s)


def _is_fit(outage: _Outage, host: str, group: Group) -> bool:
    evidence = outage.presence.find(host, outage.now)
    if evidence is None or not _is_fenced(outage, host):
        return False
    if not outage.presence.is_unchanged(group, host, outage.now):
        return False
    empty = evidence.phase == EnginePhase.EMPTY and evidence.own_shard is None
    return empty and evidence.fence < group.reserve


def _is_fenced(outage: _Outage, host: str) -> bool:
    entry = outage.hosts.get(host)
    evidence = outage.presence.find_last(host)
    if entry is None or evidence is None:
        return False
    return entry["checks_fence"] and evidence.checks_fence


def _order_host(
    outage: _Outage, group: Group, rank: int, host: str, leader: str
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
