"""Spares that are granted ahead, for a repair while the log is out.

A serving group whose engines all refuse old fencing numbers gets free hosts of
its fabric domain, as far as its model wants spares, and a reserve fencing
number to load them with. When the planner wants such a host, it is taken back.
"""

from collections.abc import Iterator, Sequence

from chervilrock.decisions.actions import FormGroup, RepairGroup
from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import append, AppendRecord
from chervilrock.decisions.ownership import Group
from chervilrock.generated.interfaces import EnginePhase
from chervilrock.generated.records import SparesGranted


def grant_spares(context: ControlContext) -> Iterator[AppendRecord]:
    """Yield a grant for each serving group that lacks a spare."""
    wanted = _find_wanted(context)
    taken: set[str] = set()
    if not any(spec.get("spares", 0) for spec in context.models.values()):
        return
    for group in context.region.groups.values():
        if not _may_hold(context, group):
            continue
        spares = _choose(context, group, wanted | taken)
        taken.update(spares)
        if spares == group.spares and (group.reserve or not spares):
            continue
        yield from _grant(context, group, spares)


def return_spares(
    context: ControlContext, hosts: Sequence[str]
) -> Iterator[AppendRecord]:
    """Yield grants that take hosts back from the groups they are spares of."""
    for group in context.region.groups.values():
        kept = tuple(host for host in group.spares if host not in hosts)
        if len(kept) < len(group.spares):
            yield from _grant(context, group, kept)


def _grant(
    context: ControlContext, group: Group, spares: tuple[str, ...]
) -> Iterator[AppendRecord]:
    body = SparesGranted(
        epoch=context.region.epoch,
        group=group.name,
        fence=group.fence,
        spares=spares,
        incarnations=context.presence.find_incarnations(spares),
    )
    if not context.progress.is_pending(body, context.now):
        yield append(body)


def _find_wanted(context: ControlContext) -> set[str]:
    """Return the hosts that actions and records under way name."""
    wanted = context.progress.find_claimed(context.now)
    for action in context.actions:
        if isinstance(action, FormGroup | RepairGroup):
            wanted.update(action.hosts)
    return wanted


def _may_hold(context: ControlContext, group: Group) -> bool:
    if not context.is_serving(group):
        return False
    return all(context.checks_fence(host) for host in group.hosts)


def _choose(
    context: ControlContext, group: Group, excluded: set[str]
) -> tuple[str, ...]:
    """Return the spares of a group: those it has, and new ones."""
    spec = context.models.get(group.model)
    limit = spec.get("spares", 0) if spec else 0
    domains = _find_domains(context, group)
    held = sum(
        len(other.spares)
        for other in context.find_groups(group.model)
        if domains & _find_domains(context, other)
    )
    found = [host for host in group.spares if _is_kept(context, group, host)]
    held -= len(group.spares) - len(found)
    for host in sorted(context.hosts):
        if held >= limit:
            break
        if host in excluded or not _is_fit(context, host, domains):
            continue
        found.append(host)
        held += 1
    return tuple(found)


def _find_domains(context: ControlContext, group: Group) -> set[str]:
    entries = (context.hosts.get(host) for host in group.hosts)
    return {entry["domain"] for entry in entries if entry is not None}


def _is_kept(context: ControlContext, group: Group, host: str) -> bool:
    """Return whether a spare of a group can still replace a host."""
    entry = context.hosts.get(host)
    since = context.presence.missing_since(host, context.now)
    if entry is None or entry["leaving"]:
        return False
    if since is not None:
        return context.now < since + context.timing.lost_after_s
    return context.presence.is_unchanged(group, host, context.now)


def _is_fit(context: ControlContext, host: str, domains: set[str]) -> bool:
    entry = context.hosts[host]
    if entry["domain"] not in domains or entry["leaving"]:
        return False
    evidence = context.find_evidence(host)
    if evidence is None or not context.region.is_free(host):
        return False
    empty = evidence.phase == EnginePhase.EMPTY and evidence.shard is None
    return empty and context.checks_fence(host)
