"""Formation of new groups from free hosts."""

from chervilrock.decisions.actions import HostView
from chervilrock.decisions.planner.draft import Draft
from chervilrock.decisions.planner.inventory import Domain
from chervilrock.decisions.planner.placement import caches_model, choose_hosts
from chervilrock.decisions.planner.specs import may_cross, may_stand_in
from chervilrock.generated.configuration import ModelSpec


def form_group(draft: Draft, spec: ModelSpec) -> bool:
    """Forms one group of a model from free hosts.

    Returns:
      Whether there were enough free hosts.
    """
    domain = _choose_domain(draft, spec)
    if domain is not None:
        hosts = choose_hosts(spec, draft.list_free(domain))
        draft.form(spec, hosts, domain.name)
        return True
    if may_cross(spec):
        return _form_across(draft, spec)
    return False


def _choose_domain(draft: Draft, spec: ModelSpec) -> Domain | None:
    """Returns the domain where a group loads least and fits best."""
    needed = spec["hosts_per_group"] + spec.get("spares", 0)
    domains = [
        domain
        for domain in _list_domains(draft, spec)
        if draft.count_free(domain) >= needed
    ]
    if not domains:
        return None
    return min(
        domains,
        key=lambda each: (
            -_count_cached(draft, spec, each),
            draft.count_free(each),
            each,
        ),
    )


def _list_domains(draft: Draft, spec: ModelSpec) -> list[Domain]:
    """Returns the domains with free hosts where a model may stand."""
    return [each for each in draft.inventory.free if may_stand_in(spec, each)]


def _count_cached(draft: Draft, spec: ModelSpec, domain: Domain) -> int:
    """Returns the number of ranks that free hosts of a domain cache."""
    ranks = {
        host.loaded["rank"]
        for host in draft.list_free(domain)
        if host.loaded is not None and caches_model(spec, host)
    }
    return len(ranks)


def _form_across(draft: Draft, spec: ModelSpec) -> bool:
    """Forms a group over several domains, of as few as possible."""
    size = spec["hosts_per_group"]
    spares = spec.get("spares", 0)
    hosts: list[HostView] = []
    domains = _list_domains(draft, spec)
    domains.sort(key=lambda each: (-draft.count_free(each), each))
    for domain in domains:
        free = draft.list_free(domain)
        usable = max(0, len(free) - spares)
        hosts.extend(free[: min(usable, size - len(hosts))])
        if len(hosts) == size:
            draft.form(spec, choose_hosts(spec, hosts), "")
            return True
    return False
