"""Which groups, standby hosts and stagings the leader wants next.

It looks at all that the leader knows of a service and returns what to begin;
the controller carries it out.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.serving.composition import compose
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.hosts import HostBook
from chervilrock.decisions.serving.orders import OrderReply, Stage
from chervilrock.decisions.serving.plan import (
    DomainPlan,
    Formation,
    FreeHost,
    plan_domain,
    Preparation,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    MemberState,
    ModelShape,
)
from chervilrock.decisions.serving.staging import HostWeights, StagingBook

SETTLE_S = 1.0
"""Time without a new server after which the first plan is made: servers
register one by one within some seconds of their start."""

REPORT_WAIT_S = 0.3
"""Time for the report of a host that was just asked; a sound one answers
within some milliseconds, and one question may be lost."""

WARM_UP_FACTOR = 0.1
"""Part of the time that loads take before the first request."""


class Staging(NamedTuple):
    """A model that a host should stage."""

    server: str
    order: Stage


class Plan(NamedTuple):
    """What to begin.

    Attributes:
      unheard: free hosts that have to tell their state first.
      formations: groups to form.
      preparations: hosts that should stand by.
      stagings: hosts that should stage a second model.
    """

    unheard: tuple[BackendServer, ...] = ()
    formations: tuple[Formation, ...] = ()
    preparations: tuple[Preparation, ...] = ()
    stagings: tuple[Staging, ...] = ()


class Planner:
    """Plans over the hosts and groups that the leader knows.

    Attributes:
      has_traffic: whether callers have begun to send requests, after which
        loads take their full time.
    """

    def __init__(
        self, *, hosts: HostBook, groups: Mapping[str, ManagedGroup]
    ) -> None:
        """Plan over what others keep current.

        Args:
          hosts: what is known of the hosts.
          groups: groups by name.
        """
        self._hosts = hosts
        self._groups = groups
        self._stagings = StagingBook()
        self._last_load = float("-inf")
        self._unheard: dict[str, float] = {}
        self.has_traffic = False

    def plan(self, service: str, engine: EngineProfile, now: float) -> Plan:
        """Return what to begin for a service now."""
        if not self.has_traffic and now - self._hosts.last_new < SETTLE_S:
            return Plan()
        domains = self._hosts.list_domains(service, now)
        for server in list(self._unheard):
            if self._hosts.has_reported(server):
                del self._unheard[server]
        plan = Plan()
        for domain, hosts in sorted(domains.items()):
            free = self._list_free(hosts)
            unheard = [
                one.server
                for one in free
                if not self._hosts.has_reported(one.server)
            ]
            asked = tuple(self._hosts.servers[one] for one in unheard)
            plan = plan._replace(unheard=plan.unheard + asked)
            free = [one for one in free if one.server not in unheard]
            if not free or self._waits_for(unheard, now):
                continue
            part = self._plan_domain(service, engine, domain, len(hosts), free)
            plan = plan._replace(
                formations=plan.formations + part.formations,
                preparations=plan.preparations + part.preparations,
            )
        return plan._replace(
            stagings=self._choose_stagings(service, engine, domains, now)
        )

    def take_load(self, engine: EngineProfile, now: float) -> bool:
        """Count a load if the weight store takes one more now."""
        if not self.has_traffic:
            return True
        loading = self._stagings.count(now) + sum(
            1
            for group in self._groups.values()
            if group.is_standby and group.phase is Phase.FORMING
        )
        pause = 1.0 / max(engine.loads_per_s, 0.1)
        if loading >= engine.loads_at_once or now - self._last_load < pause:
            return False
        self._last_load = now
        return True

    def expect_load(self, shape: ModelShape) -> float:
        """Return how long a load takes now, in seconds."""
        factor = 1.0 if self.has_traffic else WARM_UP_FACTOR
        return factor * shape.load_s

    def note_staging(
        self, staging: Staging, engine: EngineProfile, now: float
    ) -> None:
        """Note that a host was told to stage a model."""
        model = staging.order.model
        load_s = self.expect_load(engine.models[model])
        self._stagings.note_ordered(staging.server, model, load_s, now)

    def note_staging_reply(
        self, server: str, order: Stage, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order to stage."""
        self._stagings.note_reply(server, order, reply, now)

    def forget(self, server: str) -> None:
        """Forget what a server was told, since it has started again."""
        self._stagings.forget(server)

    def _plan_domain(
        self,
        service: str,
        engine: EngineProfile,
        domain: str,
        hosts: int,
        free: list[FreeHost],
    ) -> DomainPlan:
        """Return what to do with the free hosts of a domain."""
        models = tuple(engine.models.values())
        present, elsewhere = self._count_groups(service, domain)
        return plan_domain(
            free,
            models=models,
            wanted=compose(hosts, models, elsewhere),
            present=present,
            urgency=self._rate_models(engine, present, elsewhere),
            may_load=not self.has_traffic,
        )

    def _waits_for(self, unheard: Iterable[str], now: float) -> bool:
        """Tell whether a domain should wait for hosts that have not reported.

        A host that was asked a moment ago may complete a group; one that does
        not answer must not hold up the others of its domain.
        """
        waits = False
        for server in unheard:
            since = self._unheard.setdefault(server, now)
            is_new = now - since < REPORT_WAIT_S
            waits = waits or (is_new and self._hosts.is_answering(server))
        return waits

    def _list_free(self, hosts: Iterable[BackendServer]) -> list[FreeHost]:
        """Return the hosts that are in no group, or stand by."""
        taken: set[str] = set()
        standby: set[str] = set()
        for group in self._groups.values():
            if group.phase is Phase.STANDBY:
                standby.update(group.members)
            elif group.phase is Phase.CLEARING:
                taken.update(group.awaited)
            else:
                taken.update(group.members)
        free = []
        for host in hosts:
            if host.server in taken or self.is_unknown_member(host):
                continue
            free.append(
                FreeHost(
                    server=host.server,
                    loaded=self._hosts.loaded.get(host.server, ""),
                    staged=host.staged,
                    is_standby=host.server in standby,
                )
            )
        return free

    def is_unknown_member(self, host: BackendServer) -> bool:
        """Tell whether a host is in a group that was not looked at yet."""
        membership = host.membership
        if membership is None or membership.group in self._groups:
            return False
        return self._hosts.is_unknown_member(host)

    def _count_groups(
        self, service: str, domain: str
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return the groups of each model in a domain and in all others."""
        present: dict[str, int] = {}
        elsewhere: dict[str, int] = {}
        passing = (Phase.CLOSING, Phase.CLEARING, Phase.STANDBY)
        for group in self._groups.values():
            is_counted = group.service == service and not group.is_standby
            if not is_counted or group.phase in passing:
                continue
            head = self._hosts.servers.get(group.head)
            is_here = head is not None and head.domain == domain
            counts = present if is_here else elsewhere
            counts[group.model] = counts.get(group.model, 0) + 1
        return present, elsewhere

    def _rate_models(
        self,
        engine: EngineProfile,
        present: Mapping[str, int],
        elsewhere: Mapping[str, int],
    ) -> dict[str, float]:
        """Return what orders the models: groups in relation to their share."""
        rates = {}
        for name, model in engine.models.items():
            groups = present.get(name, 0) + elsewhere.get(name, 0)
            rates[name] = groups / max(model.share, 0.01)
        return rates

    def _choose_stagings(
        self,
        service: str,
        engine: EngineProfile,
        domains: Mapping[str, list[BackendServer]],
        now: float,
    ) -> tuple[Staging, ...]:
        """Return which hosts stage a second model, the most wanted first."""
        present, elsewhere = self._count_groups(service, "")
        rates = self._rate_models(engine, present, elsewhere)
        hosts = [
            HostWeights(
                host.server, self._hosts.loaded[host.server], host.staged
            )
            for servers in domains.values()
            for host in servers
            if self._has_settled(host)
        ]
        chosen = self._stagings.choose(hosts, engine, rates, now)
        return tuple(Staging(server, order) for server, order in chosen)

    def _has_settled(self, host: BackendServer) -> bool:
        """Tell whether a host has a model in memory and loads none."""
        membership = host.membership
        is_joining = (
            membership is not None and membership.state is MemberState.JOINING
        )
        return host.server in self._hosts.loaded and not is_joining
