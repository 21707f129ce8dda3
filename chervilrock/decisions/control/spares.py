"""Spares that are granted ahead, for a repair while the log is out.

A serving group whose engines all refuse old fencing numbers gets free hosts of
its fabric domain, as far as its model wants spares, and a reserve fencing
number to load them with. When the planner wants such a host, it is taken back.
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


class _Pool:
    """Hosts that may become spares, and spares held, by fabric domain."""

    def __init__(self, *, context: ControlContext) -> None:
        """Look at each host once."""
        self._context = context
        self._free: dict[_Domain, list[str]] = {}
        self._held: Counter[tuple[str, _Domain]] = Counter()
        wanted = _find_wanted(context)
        releasing = _find_releasing(context)
        for host in sorted(_list_free(context) - wanted):
            domain = _find_domain(context.hosts[host])
            if domain not in releasing and _is_fit(context, host):
                self._free.setdefault(domain, []).append(host)

    def may_change(self, group: Group) -> bool:
        """Return whether a group may get other spares than it has."""
        if tuple(self.keep(group)) != group.spares:
            return True
        if group.spares and not group.reserve:
            return True
        return any(
            self._is_wanting(group, domain)
            for domain in self._find_domains(group)
        )

    def choose(self, group: Group) -> tuple[str, ...]:
        """Return the spares of a group: those it has, and new ones."""
        chosen = self.keep(group)
        for domain in self._find_domains(group):
            while self._is_wanting(group, domain):
                chosen.append(self._free[domain].pop(0))
                self._held[group.model, domain] += 1
        return tuple(chosen)

    def keep(self, group: Group) -> list[str]:
        """Return the spares of a group that can still replace a host."""
        return [
            host
            for host in group.spares
            if _is_kept(self._context, group, host)
        ]

    def count_held(self, group: Group) -> None:
        """Count the spares that a group keeps."""
        for host in self.keep(group):
            domain = _find_domain(self._context.hosts[host])
            self._held[group.model, domain] += 1

    def _is_wanting(self, group: Group, domain: _Domain) -> bool:
        """Return whether a domain has a host that a group lacks."""
        if not self._free.get(domain):
            return False
        spec = self._context.models.get(group.model)
        limit = spec.get("spares", 0) if spec else 0
        return self._held[group.model, domain] < limit

    def _find_domains(self, group: Group) -> list[_Domain]:
        """Return the domains of a group, as far as there are free hosts."""
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
    pool = _Pool(context=context)
    groups = list(context.region.groups.values())
    for group in groups:
        pool.count_held(group)
    for group in groups:
        if not pool.may_change(group) or not _may_hold(context, group):
            continue
        spares = pool.choose(group)
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


def _list_free(context: ControlContext) -> set[str]:
    """Return the listed hosts that no group owns."""
    return context.hosts.keys() - context.region.owners.keys()


def _find_releasing(context: ControlContext) -> set[_Domain]:
    """Return the domains in which a host will soon be free.

    With it the planner may have enough hosts for a group. It could even have
    asked for that host, and would ask for it again and again if another host
    of the domain became a spare meanwhile.
    """
    entries = (context.hosts.get(host) for host in context.region.revoked)
    return {_find_domain(entry) for entry in entries if entry is not None}


def _may_hold(context: ControlContext, group: Group) -> bool:
    if not context.is_serving(group):
        return False
    return all(context.checks_fence(host) for host in group.hosts)


def _is_kept(context: ControlContext, group: Group, host: str) -> bool:
    """Return whether a spare of a group can still replace a host."""
    entry = context.hosts.get(host)
    since = context.presence.missing_since(host, context.now)
    if entry is None or entry["leaving"]:
        return False
    if since is not None:
        return context.now < since + context.timing.lost_after_s
    return context.presence.is_unchanged(group, host, context.now)


def _is_fit(context: ControlContext, host: str) -> bool:
    """Return whether a free host can become a spare."""
    if context.hosts[host]["leaving"]:
        return False
    evidence = context.find_evidence(host)
    if evidence is None or not context.checks_fence(host):
        return False
    return evidence.phase == EnginePhase.EMPTY and evidence.own_shard is None


def _find_domain(entry: HostEntry) -> _Domain:
    return _Domain(entry["data_centre"], entry["domain"])
