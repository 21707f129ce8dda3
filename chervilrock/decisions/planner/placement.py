"""Assignment of hosts to the ranks of a group that reuses cached shards."""

from collections.abc import Iterable

from chervilrock.decisions.actions import HostView
from chervilrock.generated.configuration import ModelSpec


def caches_model(spec: ModelSpec, host: HostView) -> bool:
    """Returns whether a host caches a shard that the model can use."""
    shard = host.loaded
    return (
        shard is not None
        and shard["model"] == spec["name"]
        and shard["version"] == spec["version"]
        and shard["size"] == spec["hosts_per_group"]
    )


def _get_cached_rank(spec: ModelSpec, host: HostView) -> int | None:
    """Returns the rank of the model that a host caches, None for none."""
    if host.loaded is None or not caches_model(spec, host):
        return None
    return host.loaded["rank"]


def caches_rank(spec: ModelSpec, host: HostView, rank: int) -> bool:
    """Returns whether a host caches the shard of one rank of the model."""
    return _get_cached_rank(spec, host) == rank


def choose_hosts(
    spec: ModelSpec, hosts: Iterable[HostView]
) -> tuple[HostView, ...]:
    """Chooses the hosts of a new group, in the order of their ranks.

    Each cached rank is assigned to one host that caches it. The other ranks go
    first to hosts that cache nothing of the model, then to hosts that cache a
    rank that is already assigned.

    Args:
      spec: the model.
      hosts: at least as many hosts as a group needs.
    """
    size = spec["hosts_per_group"]
    by_rank: dict[int, HostView] = {}
    others: list[HostView] = []
    for host in hosts:
        rank = _get_cached_rank(spec, host)
        if rank is None or rank >= size or rank in by_rank:
            others.append(host)
        else:
            by_rank[rank] = host
    others.sort(key=lambda host: (caches_model(spec, host), host.host))
    rest = iter(others)
    return tuple(
        by_rank[rank] if rank in by_rank else next(rest) for rank in range(size)
    )


def choose_substitutes(
    spec: ModelSpec,
    ranks: Iterable[int],
    hosts: Iterable[HostView],
) -> dict[int, HostView]:
    """Chooses the hosts that fill ranks of a broken group.

    Args:
      spec: the model of the group.
      ranks: the ranks to fill.
      hosts: at least as many hosts as ranks.
    """
    pool = sorted(hosts, key=lambda host: (caches_model(spec, host), host.host))
    chosen: dict[int, HostView] = {}
    open_ranks: list[int] = []
    for rank in ranks:
        match = next((h for h in pool if caches_rank(spec, h, rank)), None)
        if match is None:
            open_ranks.append(rank)
            continue
        pool.remove(match)
        chosen[rank] = match
    for rank, host in zip(open_ranks, pool, strict=False):
        chosen[rank] = host
    return chosen
