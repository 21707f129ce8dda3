"""Release of hosts that left a group: unload, prove empty, free.

An engine that rejects old fencing numbers is proved empty when it reports that
it is empty and has seen the number of the record that revoked its ownership: no
order of an earlier owner takes effect after that. An engine loses that number
when it restarts, so the host is released only when no order to load can be in
flight any more. For any other engine a fencing number proves nothing. It is
proved empty by an order to unload that was sent when the leases of all earlier
controllers had certainly expired and no order to load could be in flight, that
the engine confirmed, and that was followed by a probe which shows it empty.
"""

from collections.abc import Iterator

from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import (
    append,
    AppendRecord,
    Effect,
    SendOrder,
)
from chervilrock.decisions.control.progress import WatchKind
from chervilrock.decisions.evidence import Evidence
from chervilrock.decisions.ownership import Ownership
from chervilrock.decisions.records import Body
from chervilrock.decisions.shards import order_unload
from chervilrock.generated.interfaces import EnginePhase
from chervilrock.generated.records import (
    HostCleared,
    HostQuarantined,
    HostReleased,
)

UNREACHABLE = "unreachable"
NOT_EMPTY = "not proved empty"


def release_hosts(context: ControlContext) -> Iterator[Effect]:
    """Yield the effects that release hosts which left their group."""
    for host in context.region.revoked:
        yield from _release_host(context, host)


def clear_hosts(context: ControlContext) -> Iterator[Effect]:
    """Yield the effects that clear quarantined hosts that are present again."""
    for host in context.region.quarantined:
        ownership = context.region.owners[host]
        if is_proved_empty(context, host, ownership):
            yield from _append(
                context,
                HostCleared(context.region.epoch, host, ownership.fence),
            )
        elif context.find_evidence(host) is not None:
            yield from _unload(context, host, ownership)


def unload_free_hosts(context: ControlContext) -> Iterator[Effect]:
    """Yield orders to unload free hosts that still hold a shard.

    Only an engine that does not check fencing numbers needs this; any other
    engine is emptied by its next order to load.
    """
    if context.now < context.quiet_at:
        return
    assigned = context.progress.find_assigned_hosts(context.now)
    for host in context.hosts:
        if host in assigned or not context.region.is_free(host):
            continue
        evidence = context.find_evidence(host)
        if evidence is None or evidence.common_shard is None:
            continue
        if not context.checks_fence(host):
            shard = evidence.common_shard
            ownership = Ownership(shard["group"], 0, revoked=shard["fence"])
            yield from _unload(context, host, ownership)


def is_proved_empty(
    context: ControlContext, host: str, ownership: Ownership
) -> bool:
    """Return whether a host is empty and no earlier order can change that."""
    evidence = context.find_evidence(host)
    if evidence is None or not _is_empty(evidence):
        return False
    quiet_at = find_quiet_time(context, host)
    if context.checks_fence(host):
        seen = evidence.fence >= ownership.revoked
        return seen and context.now >= quiet_at
    unloaded_at = context.progress.find_unload_time(host)
    if unloaded_at is None or unloaded_at < quiet_at:
        return False
    return evidence.sent_at > unloaded_at


def find_quiet_time(context: ControlContext, host: str) -> float:
    """Return the time from which no order to load can be in flight."""
    loaded_at = context.progress.find_load_time(host)
    if loaded_at is None:
        return context.quiet_at
    return max(context.quiet_at, loaded_at + context.timing.order_timeout_s)


def _release_host(context: ControlContext, host: str) -> Iterator[Effect]:
    ownership = context.region.owners[host]
    epoch = context.region.epoch
    if is_proved_empty(context, host, ownership):
        yield from _append(context, HostReleased(epoch, host, ownership.fence))
        return
    since = context.progress.stable_since(
        WatchKind.REVOCATION, host, ownership.revoked, context.now
    )
    if context.now >= since + context.timing.quarantine_after_s:
        present = context.find_evidence(host) is not None
        reason = NOT_EMPTY if present else UNREACHABLE
        yield from _append(
            context, HostQuarantined(epoch, host, ownership.fence, reason)
        )
        return
    yield from _unload(context, host, ownership)


def _unload(
    context: ControlContext, host: str, ownership: Ownership
) -> Iterator[SendOrder]:
    entry = context.hosts.get(host)
    if entry is None:
        return
    progress = context.progress
    quiet_at = find_quiet_time(context, host)
    checks_fence = context.checks_fence(host)
    unloaded_at = progress.find_unload_time(host)
    if not checks_fence and unloaded_at is not None and unloaded_at >= quiet_at:
        evidence = context.find_evidence(host)
        if evidence is None or evidence.sent_at <= unloaded_at:
            return
    order = order_unload(ownership.group, ownership.revoked)
    if progress.is_due(host, order, context.now):
        yield SendOrder(host, entry["address"], order, context.lease_ends_at)


def _append(context: ControlContext, body: Body) -> Iterator[AppendRecord]:
    if not context.progress.is_pending(body, context.now):
        yield append(body)


def _is_empty(evidence: Evidence) -> bool:
    return evidence.phase == EnginePhase.EMPTY and evidence.common_shard is None
