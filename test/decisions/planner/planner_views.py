"""Builders of views for the tests of the planner."""

from chervilrock.decisions.actions import (
    GroupView,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner import plan
from chervilrock.generated.interfaces import EngineShard
from chervilrock.generated.records import GroupPhase


def make_spec(name="quotes", groups=1, size=2, **rest):
    return {
        "name": name,
        "version": "v1",
        "groups": groups,
        "hosts_per_group": size,
        **rest,
    }


def make_shard(model="quotes", rank=0, size=2, version="v1"):
    return EngineShard(
        group="old",
        fence=1,
        model=model,
        version=version,
        adapters=(),
        rank=rank,
        size=size,
        leader="",
    )


def make_host(name, domain="d1", data_centre="dc1", **rest):
    host = HostView(
        host=name,
        data_centre=data_centre,
        domain=domain,
        accelerators=1,
        checks_fence=True,
        present=True,
        leaving=False,
        free=True,
        loaded=None,
    )
    return host._replace(**rest)


def make_group(name, hosts, model="quotes", domain="d1", **rest):
    group = GroupView(
        name=name,
        model=model,
        version="v1",
        adapters=(),
        hosts=tuple(hosts),
        domain=domain,
        fence=1,
        phase=GroupPhase.SERVING,
        missing=(),
        missing_since=None,
    )
    return group._replace(**rest)


def make_input(models, hosts, groups=(), costs=None):
    owned = {name for group in groups for name in group.hosts}
    host_views = tuple(
        host._replace(free=host.free and host.host not in owned)
        for host in hosts
    )
    return PlanInput(
        tuple(models), costs or Prices(), host_views, tuple(groups)
    )


def make_plan(view, now=0.0):
    return plan(view, now)
