"""Spares granted in advance, for repairs while the log is unavailable.

A serving group whose engines all reject old fencing numbers gets free hosts of
its fabric domain, up to the number of spares configured for its model, and a
reserve fencing number to load them with. When the planner needs such a host,
the grant is withdrawn.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from chervilrock.decisions.actions import FormGroup, RepairGroup
from chervilrock.decisions.control.context import ControlContext
from chervilrock.decisions.control.effects import append, AppendRecord
from chervilrock.decisions.ownership import Group
from chervilrock.generated.interfaces import EnginePhase, HostEntry
from chervilrock.generated.records import SparesGranted


class _Domain(NamedTuple):
    """A fabric domain of a data centre."""

    data_centre: str
    name: str


class _SparePool:
    """Hosts that may become spares, and spares granted, by fabric domain."""

    def __init__(self, *, context: ControlContext) -> None:
        """Create a pool of the hosts that may become spares now."""
        self._context = context
        self._free: dict[_Domain, list[str]] = {}
        self._held: Counter[tuple[str, _Domain]] = Counter()
        requested = _find_requested(context)
        releasing = _find_releasing(context)
        for host in sorted(_list_unowned(context) - requested):
            domain = _find_domain(context.hosts[host])
            if domain not in releasing and _can_become_spare(context, host):
                self._free.setdefault(domain, []).append(host)

    def may_change(self, group: Group) -> bool:
        """Return whether the spares of a group may have to change."""
        if tuple(self.list_kept(group)) != group.spares:
            return True
        if group.spares and not group.reserve:
            return True
        return any(
            self._can_add_spare(group, domain)
            for domain in self._find_domains(group)
        )

    def choose(self, group: Group) -> tuple[str, ...]:
        """Return the spares of a group: those that it keeps, and new ones."""
        chosen = self.list_kept(group)
        for domain in self._find_domains(group):
            while self._can_add_spare(group, domain):
                chosen.append(self._free[domain].pop(0))
                self._held[group.model, domain] += 1
        return tuple(chosen)

    def list_kept(self, group: Group) -> list[str]:
        """Return the spares of a group that can still replace a host of it."""
        return [
            host
            for host in group.spares
            if _can_keep_spare(self._context, group, host)
        ]

    def count_held(self, group: Group) -> None:
        """Count the spares that a group keeps."""
        for host in self.list_kept(group):
            domain = _find_domain(self._context.hosts[host])
            self._held[group.model, domain] += 1

    def _can_add_spare(self, group: Group, domain: _Domain) -> bool:
        """Return whether a group lacks a spare that a domain can provide."""
        if not self._free.get(domain):
            return False
        spec = self._context.models.get(group.model)
        limit = spec.get("spares", 0) if spec else 0
        return self._held[group.model, domain] < limit

    def _find_domains(self, group: Group) -> list[_Domain]:
        """Return the domains of a group; none if no domain has a free host."""
        if not self._free:
            return []
        entries = [self._context.hosts.get(host) for host in group.hosts]
        if group.domain:
            entries = entries[:1]
        found = {_find_domain(entry) for entry in entries if entry is not None}
        return sorted(found)


def grant_spares(context: ControlContext) -> Iterator[AppendRecord]:
    """Yield a grant for each serving group that lacks a spare."""
    if not any(spec.get("spares", 0) for spec in context.models.values()):
        return
    pool = _SparePool(context=context)
    groups = list(context.region.groups.values())
    for group in groups:
        pool.count_held(group)
    for group in groups:
        if not pool.may_change(group) or not _may_have_spares(context, group):
            continue
        spares = pool.choose(group)
        if spares == group.spares and (group.reserve or not spares):
            continue
        yield from _grant(context, group, spares)


def return_spares(
    context: ControlContext, hosts: Sequence[str]
) -> Iterator[AppendRecord]:
    """Yield grants that withdraw hosts from the groups they are spares of."""
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


def _find_requested(context: ControlContext) -> set[str]:
    """Return the hosts that actions request or pending records assign."""
    requested = context.progress.find_assigned_hosts(context.now)
    for action in context.actions:
        if isinstance(action, FormGroup | RepairGroup):
            requested.update(action.hosts)
    return requested


def _list_unowned(context: ControlContext) -> set[str]:
    """Return the listed hosts that have no owner."""
    return context.hosts.keys() - context.region.owners.keys()


def _find_releasing(context: ControlContext) -> set[_Domain]:
    """Return the domains in which a host is about to become free.

    With such a host the planner may have enough hosts for a group, and may
    even have requested that host already. If another host of the domain
    became a spare meanwhile, the planner would repeat the request again and
    again.
    """
    entries = (context.hosts.get(host) for host in context.region.revoked)
    return {_find_domain(entry) for entry in entries if entry is not None}


def _may_have_spares(context: ControlContext, group: Group) -> bool:
    if not context.is_serving(group):
        return False
    return all(context.checks_fence(host) for host in group.hosts)


def _can_keep_spare(context: ControlContext, group: Group, host: str) -> bool:
    """Return whether a spare of a group can still replace a host of it."""
    entry = context.hosts.get(host)
    since = context.presence.missing_since(host, context.now)
    if entry is None or entry["leaving"]:
        return False
    if since is not None:
        return context.now < since + context.timing.lost_after_s
    return context.presence.is_unchanged(group, host, context.now)


def _can_become_spare(context: ControlContext, host: str) -> bool:
    """Return whether a free host can become a spare."""
    if context.hosts[host]["leaving"]:
        return False
    evidence = context.find_evidence(host)
    if evidence is None or not context.checks_fence(host):
        return False
    return evidence.phase == EnginePhase.EMPTY and evidence.common_shard is None


def _find_domain(entry: HostEntry) -> _Domain:
    return _Domain(entry["data_centre"], entry["domain"])
