"""Loading of groups, and reloading after an engine was restarted."""

from collections.abc import Iterator

from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import (
    append,
    AppendRecord,
    Effect,
    SendOrder,
)
from chervilrock.decisions.control.progress import WatchKind
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.shards import order_load
from chervilrock.generated.records import (
    GroupPhase,
    GroupPhaseChanged,
    GroupRepaired,
)


def change_phase(
    context: ControlContext,
    group: Group,
    phase: GroupPhase,
    incarnations: tuple[str, ...] = (),
) -> Iterator[AppendRecord]:
    """Yield the record of a phase change unless one is pending."""
    body = GroupPhaseChanged(
        epoch=context.region.epoch,
        group=group.name,
        fence=group.fence,
        phase=phase,
        incarnations=incarnations,
    )
    if not context.progress.is_pending(body, context.now):
        yield append(body)


def repair(
    context: ControlContext,
    group: Group,
    hosts: tuple[str, ...],
    domain: str,
    reserve: int = 0,
) -> Iterator[AppendRecord]:
    """Yield the record of a repair unless one is pending."""
    body = GroupRepaired(
        epoch=context.region.epoch,
        group=group.name,
        fence=group.fence,
        hosts=hosts,
        domain=domain,
        reserve=reserve,
    )
    if not context.progress.is_pending(body, context.now):
        yield append(body)


def load_group(context: ControlContext, group: Group) -> Iterator[Effect]:
    """Yield load orders for a group, or its change to serving once complete."""
    if context.is_whole(group):
        incarnations = context.presence.find_incarnations(group.hosts)
        yield from change_phase(
            context, group, GroupPhase.SERVING, incarnations
        )
        return
    leader = context.hosts.get(group.hosts[0])
    if leader is None:
        return
    for rank, host in enumerate(group.hosts):
        yield from _load_host(context, group, rank, host, leader["address"])


def adopt_reserve(
    context: ControlContext, group: Group
) -> Iterator[AppendRecord]:
    """Yield the records of a repair made while the log was unavailable."""
    repaired = context.presence.compose_reserve(group, context.now)
    if repaired is None or not context.is_whole(repaired):
        return
    domain = _find_domain(context, repaired.hosts)
    yield from repair(
        context, group, repaired.hosts, domain, reserve=group.reserve
    )
    incarnations = context.presence.find_incarnations(repaired.hosts)
    yield from change_phase(context, repaired, GroupPhase.SERVING, incarnations)


def reload_restarted(
    context: ControlContext, group: Group
) -> Iterator[AppendRecord]:
    """Yield a repair with the same hosts after an engine was restarted.

    An engine that lost its shard is inconsistent with the other ranks, so
    all of them get a new fencing number.
    """
    if is_restarted(context, group):
        yield from repair(context, group, group.hosts, group.domain)


def is_restarted(context: ControlContext, group: Group) -> bool:
    """Return whether all hosts are present but one lost its shard."""
    value = (group.fence, group.phase)
    since = context.progress.stable_since(
        WatchKind.GROUP, group.name, value, context.now
    )
    found = [context.find_evidence(host) for host in group.hosts]
    if any(evidence is None or evidence.sent_at <= since for evidence in found):
        return False
    return not context.is_whole(group)


def _load_host(
    context: ControlContext, group: Group, rank: int, host: str, leader: str
) -> Iterator[SendOrder]:
    entry = context.hosts.get(host)
    if entry is None:
        return
    evidence = context.find_evidence(host)
    if evidence is not None and evidence.holds_rank(group, rank):
        return
    order = order_load(group, rank, leader)
    if context.progress.is_due(host, order, context.now):
        yield SendOrder(host, entry["address"], order, context.lease_ends_at)


def _find_domain(context: ControlContext, hosts: tuple[str, ...]) -> str:
    entries = [context.hosts.get(host) for host in hosts]
    domains = {entry["domain"] if entry else "" for entry in entries}
    return domains.pop() if len(domains) == 1 else ""
