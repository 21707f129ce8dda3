"""Processor time of planning, by the number of hosts.

Fabric domains of 66 hosts are spread over up to 15 data centres. Groups of 16
hosts of four models fill the domains, which leaves two spare hosts in each
(`spares`) or none (`full`, domains of 64). For each number of hosts:

* `plan_host_loss_ms`: an indexed planner handles the loss of one random host,
  which returns afterwards; repeated for many hosts. The median and the worst
  time are given for `spares`, for `full`, where another group must give up
  its hosts, and for `forming`, where nine of ten groups are not formed yet.
* `replan_all_ms`: a full plan from a view, including the rebuild of the index:
  to form all groups (`form`), with nothing to do (`steady`), and after the
  loss of a whole domain and of one host in a hundred (`faults`).

The last result holds the worst figures at 12,000 hosts.
"""

from collections.abc import Iterable
import random
import statistics
import time
from typing import NamedTuple

from chervilrock.decisions.actions import (
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner import plan, Planner
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.records import GroupPhase

SIZES = (50, 500, 3_000, 12_000)
QUICK_SIZES = (50, 500)
GROUP_HOSTS = 16
DOMAIN_GROUPS = 4
DOMAIN_SPARES = 2
DATA_CENTRES = 15
MODELS = 4
LOSSES = 200
QUICK_LOSSES = 20
REPEATS = 3
NOW_S = 10_000.0
MISSING_FOR_S = 1_000.0


class Timing(NamedTuple):
    """Processor times in milliseconds."""

    median: float
    worst: float


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yields times for each number of hosts, then the worst of the largest."""
    losses = QUICK_LOSSES if quick else LOSSES
    result: dict[str, object] = {}
    for size in QUICK_SIZES if quick else SIZES:
        result = _run_size(size, losses)
        yield result
    if not quick:
        yield {
            "plan_host_loss_ms_12000": max(
                _to_float(result[f"plan_host_loss_ms_{name}_worst"])
                for name in ("spares", "full", "forming")
            ),
            "replan_all_ms_12000": max(
                _to_float(result[f"replan_all_ms_{name}"])
                for name in ("form", "steady", "faults")
            ),
        }


def make_hosts(count: int, spares: int) -> tuple[HostView, ...]:
    """Returns free hosts in fabric domains of equal size."""
    size = DOMAIN_GROUPS * GROUP_HOSTS + spares
    return tuple(
        HostView(
            host=f"host-{number}",
            data_centre=f"dc-{number // size % DATA_CENTRES}",
            domain=f"fabric-{number // size}",
            accelerators=1,
            checks_fence=True,
            present=True,
            leaving=False,
            free=True,
            loaded=None,
        )
        for number in range(count)
    )


def make_models(hosts: int, spares: int) -> tuple[ModelSpec, ...]:
    """Returns models whose wanted groups fill the fabric domains."""
    size = DOMAIN_GROUPS * GROUP_HOSTS + spares
    groups = hosts // size * DOMAIN_GROUPS
    groups += hosts % size // GROUP_HOSTS
    return tuple(
        ModelSpec(
            name=f"model-{number}",
            version="v1",
            groups=len(range(number, groups, MODELS)),
            hosts_per_group=GROUP_HOSTS,
            weight=1.0 + number,
        )
        for number in range(MODELS)
    )


def make_serving(
    models: tuple[ModelSpec, ...], hosts: tuple[HostView, ...]
) -> PlanInput:
    """Returns a view in which all groups serve, the models taking turns."""
    by_domain: dict[str, list[str]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, []).append(host.host)
    chunks = [
        (domain, tuple(names[start : start + GROUP_HOSTS]))
        for domain, names in by_domain.items()
        for start in range(0, len(names) - GROUP_HOSTS + 1, GROUP_HOSTS)
    ]
    groups = tuple(
        _make_group(number, models[number % MODELS]["name"], domain, members)
        for number, (domain, members) in enumerate(chunks)
    )
    return _make_view(models, hosts, groups)


def _make_group(
    number: int, model: str, domain: str, hosts: tuple[str, ...]
) -> GroupView:
    return GroupView(
        name=f"group-{number}",
        model=model,
        version="v1",
        adapters=(),
        hosts=hosts,
        domain=domain,
        fence=number + 1,
        phase=GroupPhase.SERVING,
        missing=(),
        missing_since=None,
    )


def _make_view(
    models: tuple[ModelSpec, ...],
    hosts: tuple[HostView, ...],
    groups: tuple[GroupView, ...],
) -> PlanInput:
    owned = {name for group in groups for name in group.hosts}
    updated_hosts = tuple(
        host._replace(free=host.host not in owned) for host in hosts
    )
    return PlanInput(models, Prices(), updated_hosts, groups)


def _run_size(size: int, losses: int) -> dict[str, object]:
    result: dict[str, object] = {"hosts": size}
    full = make_serving(make_models(size, 0), make_hosts(size, 0))
    for name, view in (
        ("spares", _make_view_with_spares(size)),
        ("full", full),
        ("forming", _make_forming(size)),
    ):
        timing = _time_losses(view, losses)
        result[f"plan_host_loss_ms_{name}"] = timing.median
        result[f"plan_host_loss_ms_{name}_worst"] = timing.worst
    serving = _make_view_with_spares(size)
    for name, view in (
        ("form", _make_view(serving.models, serving.hosts, ())),
        ("steady", serving),
        ("faults", _apply_faults(serving)),
    ):
        result[f"replan_all_ms_{name}"] = _time_plan(view)
    return result


def _make_view_with_spares(size: int) -> PlanInput:
    """Returns a view in which each domain has spare hosts."""
    models = make_models(size, DOMAIN_SPARES)
    return make_serving(models, make_hosts(size, DOMAIN_SPARES))


def _make_forming(size: int) -> PlanInput:
    """Returns a view in which one of ten groups is formed so far."""
    view = _make_view_with_spares(size)
    return _make_view(view.models, view.hosts, view.groups[::10])


def _time_losses(view: PlanInput, losses: int) -> Timing:
    """Times the planning after host losses that last longer than a pause."""
    generator = random.Random(1)
    planner = Planner()
    planner.plan(view, NOW_S)
    owned = [name for group in view.groups for name in group.hosts]
    by_name = {host.host: host for host in view.hosts}
    groups = {name: group for group in view.groups for name in group.hosts}
    durations_s: list[float] = []
    for _ in range(losses):
        name = generator.choice(owned)
        group = groups[name]
        planner.put_group(group._replace(missing_since=NOW_S - MISSING_FOR_S))
        begin = time.process_time()
        planner.handle_lost_host(name, NOW_S)
        durations_s.append(time.process_time() - begin)
        planner.handle_returned_host(by_name[name], NOW_S)
        planner.put_group(group)
    return Timing(
        round(1000 * statistics.median(durations_s), 3),
        round(1000 * max(durations_s), 3),
    )


def _time_plan(view: PlanInput) -> float:
    """Returns the median time of a full plan in milliseconds."""
    durations_s: list[float] = []
    for _ in range(REPEATS):
        begin = time.process_time()
        plan(view, NOW_S)
        durations_s.append(time.process_time() - begin)
    return round(1000 * statistics.median(durations_s), 1)


def _apply_faults(view: PlanInput) -> PlanInput:
    """Returns the view after the loss of a domain and of one host in 100."""
    generator = random.Random(2)
    lost_domain = view.hosts[0].domain
    lost = {
        host.host
        for host in view.hosts
        if host.domain == lost_domain or generator.random() < 1 / 100
    }
    hosts = tuple(
        host._replace(present=host.host not in lost) for host in view.hosts
    )
    return view._replace(
        hosts=hosts,
        groups=tuple(_mark_missing_hosts(group, lost) for group in view.groups),
    )


def _mark_missing_hosts(group: GroupView, lost: set[str]) -> GroupView:
    missing = tuple(name for name in group.hosts if name in lost)
    since = NOW_S - MISSING_FOR_S if missing else None
    return group._replace(missing=missing, missing_since=since)


def _to_float(value: object) -> float:
    if not isinstance(value, float):
        raise TypeError(f"{value!r} is no time")
    return value
