"""Formation of groups, from the plan to the first request."""

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.effects import Effect, GroupStep
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.orders import (
    Join,
    Leave,
    Open,
    OrderReply,
)
from chervilrock.decisions.serving.groups.verification import QUERY_INTERVAL_S
from chervilrock.decisions.serving.planning.plan import (
    Formation,
    FreeHost,
    Preparation,
    Warmth,
)
from chervilrock.decisions.serving.planning.planning import Planner
from chervilrock.decisions.serving.site import EngineProfile

JOIN_S = 0.2
"""Duration of a join when the weights are in memory."""

FORM_TIMEOUT_S = 6.0
"""Time beyond the expected one after which a formation is abandoned."""


class Forming:
    """Orders hosts to join groups, and opens the groups that are ready."""

    def __init__(
        self, *, registry: GroupRegistry, planner: Planner, term: int
    ) -> None:
        """Create the formation of groups in a term.

        Args:
          registry: registry that receives the groups.
          planner: estimates the duration of loads, and limits their number.
          term: the term, from which the epochs are derived.
        """
        self._registry = registry
        self._planner = planner
        self._term = term
        self._last_number = 0

    def handle_join_reply(
        self,
        group: ManagedGroup,
        server: str,
        order: Join,
        reply: OrderReply | None,
        now: float,
    ) -> None:
        """Apply the answer to an order to join, None when there was none."""
        hosts = self._registry.hosts
        if reply is OrderReply.CONFLICT:
            hosts.forget_observation(server)
        if reply is OrderReply.DONE:
            group.ready.add(server)
            hosts.loaded[server] = group.model
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            group.joined.add(server)
            hosts.record_joined(server, order, now)
            observed = hosts.find_observation(server)
            if observed is not None:
                repeated = order._replace(expected=observed.obeyed)
                delayed_until = max(group.due, now + QUERY_INTERVAL_S)
                self._registry.dispatcher.delay(server, repeated, delayed_until)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            reason = f"{server} refused to join: {reply.value}"
            self._registry.dissolve(group, reason, now)

    def handle_open_reply(
        self, group: ManagedGroup, reply: OrderReply | None, now: float
    ) -> None:
        """Apply the answer to an order to open, None when there was none."""
        if group.phase is not Phase.OPENING:
            return
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            engine = self._registry.find_engine(group.service)
            form_s = 0.0 if engine is None else engine.form_s
            group.served_at = now + form_s
            group.joined.clear()
            group.enter(Phase.SERVING, now)
            self._registry.record_change(GroupStep.SERVING, group)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            self._registry.dissolve(
                group, f"its head refused to open: {reply.value}", now
            )

    def form(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return the effects for a group whose members are joining."""
        if self._dissolve_unless_available(group, now):
            return []
        if now - group.due > FORM_TIMEOUT_S:
            self._registry.dissolve(group, "it was not ready in time", now)
            return []
        if group.ready.issuperset(group.members):
            phase = Phase.STANDBY if group.is_standby else Phase.OPENING
            group.enter(phase, now)
            self._registry.record_change(GroupStep.READY, group)
            return [] if group.is_standby else self.open(group, now)
        effects: list[Effect] = []
        for server in group.members:
            if server not in group.ready:
                effects += self._order_join(group, server, now)
        return effects

    def _dissolve_unless_available(
        self, group: ManagedGroup, now: float
    ) -> bool:
        """Dissolve a group if a member is unavailable; return whether it is."""
        for server in group.members:
            entry = self._registry.hosts.servers.get(server)
            if entry is None or entry.is_leaving:
                self._registry.dissolve(
                    group, f"{server} is gone or leaves", now
                )
                return True
            if self._registry.hosts.is_evacuated(server):
                self._registry.dissolve(
                    group, "its data centre is evacuated", now
                )
                return True
            if server not in group.joined and self._registry.is_in_other_group(
                server, group.epoch
            ):
                self._registry.dissolve(
                    group, f"{server} is in another group", now
                )
                return True
        return False

    def _order_join(
        self, group: ManagedGroup, server: str, now: float
    ) -> list[Effect]:
        """Order a host to join, until it answers that the join is done.

        The order is repeated because its answer shows at once that the host is
        ready; the report shows it 0.2 to 0.3 s later.

        Since its report, a host may have executed an order of a former leader,
        or a late one to join its former group, whose head then serves with it.
        So each order depends on the number of orders after which the host was
        in no group that may be served. If it is in one, it has to leave first.
        """
        join = Join(group.name, group.epoch, group.model, group.members)
        observed = self._registry.hosts.find_observation(server)
        if observed is None:
            return self._registry.query(server, QUERY_INTERVAL_S, now)
        membership = observed.membership
        if (
            membership is not None
            and membership.epoch != group.epoch
            and self._registry.hosts.may_be_served(membership)
        ):
            leave = Leave(membership.group, membership.epoch)
            return self._registry.command(server, leave, now)
        return self._registry.command(
            server, join._replace(expected=observed.obeyed), now
        )

    def open(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return the effects for a group whose members are ready."""
        if self._dissolve_unless_available(group, now):
            return []
        if now - group.since > FORM_TIMEOUT_S:
            self._registry.dissolve(group, "its head did not open", now)
            return []
        group.may_be_open = True
        return self._registry.command(
            group.head, Open(group.name, group.epoch), now
        )

    def start_group(
        self,
        service: str,
        engine: EngineProfile,
        formation: Formation,
        now: float,
    ) -> list[Effect]:
        """Begin to form a group according to the plan."""
        return self._start(
            service, engine, formation.model, formation.members, False, now
        )

    def start_standby(
        self,
        service: str,
        engine: EngineProfile,
        preparation: Preparation,
        now: float,
    ) -> list[Effect]:
        """Let a standby host load a model if the weight store has capacity."""
        if preparation.needs_load and not self._planner.acquire_load(
            engine, now
        ):
            return []
        members = (preparation.server,)
        model = preparation.model
        return self._start(service, engine, model, members, True, now)

    def _start(
        self,
        service: str,
        engine: EngineProfile,
        model: str,
        members: tuple[str, ...],
        is_standby: bool,
        now: float,
    ) -> list[Effect]:
        """Begin to form a group, or a group of a single standby host."""
        for server in members:
            self._end_standby(server)
        self._last_number += 1
        epoch = groupnames.make_epoch(self._term, self._last_number)
        group = ManagedGroup(
            name=groupnames.make_name(model, epoch, is_standby=is_standby),
            epoch=epoch,
            model=model,
            service=service,
            members=members,
            is_standby=is_standby,
            phase=Phase.FORMING,
            now=now,
        )
        expected_s = max(
            self._estimate_join_s(engine, model, server) for server in members
        )
        group.due = now + expected_s
        for server in members:
            self._registry.hosts.loaded.pop(server, None)
        self._registry.groups[group.name] = group
        self._registry.record_change(
            GroupStep.PLANNED, group, f"ready in {expected_s:.1f} s"
        )
        return self.form(group, now)

    def _end_standby(self, server: str) -> None:
        """End the standby of a host.

        Its group can be removed at once, since it was never opened.
        """
        for group in list(self._registry.groups.values()):
            if group.phase is Phase.STANDBY and group.head == server:
                self._registry.remove(group)

    def _estimate_join_s(
        self, engine: EngineProfile, model: str, server: str
    ) -> float:
        """Return the expected time until a host is ready, in seconds."""
        shape = engine.models[model]
        host = FreeHost(
            server=server,
            loaded=self._registry.hosts.loaded.get(server, ""),
            staged=self._registry.hosts.servers[server].staged,
            is_standby=False,
        )
        warmth = host.find_warmth(model)
        if warmth is Warmth.IN_MEMORY:
            return JOIN_S
        if warmth is Warmth.ON_HOST:
            return shape.warm_s
        return self._planner.estimate_load_s(shape)
