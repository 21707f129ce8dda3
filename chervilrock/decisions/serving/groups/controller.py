"""Control of replica groups by the leader, from formation to dissolution.

A group serves only after all of its members have reported ready under its name
and epoch. No host gets another membership unless it is known to be in no group
that may be served, after as many orders as the order to join names. Orders may
be lost, or be executed seconds later. Epochs only grow, so a server that has
joined a later group rejects a late order; one that has only left its group does
not.
"""

from collections.abc import Mapping
import math

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.adoption import Adoption
from chervilrock.decisions.serving.groups.effects import (
    Command,
    Effect,
    GroupStep,
)
from chervilrock.decisions.serving.groups.forming import Forming
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.orders import (
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderReply,
    ServerReport,
    Stage,
)
from chervilrock.decisions.serving.groups.verification import (
    GroupVerifier,
    QUERY_INTERVAL_S,
)
from chervilrock.decisions.serving.planning.hostcounts import (
    count_hosts,
    ModelCount,
)
from chervilrock.decisions.serving.planning.plan import Move
from chervilrock.decisions.serving.planning.planning import Planner, Staging
from chervilrock.decisions.serving.servers.hosts import IncarnationOrder
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Membership,
    MemberState,
    SiteConfiguration,
)
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

RESEND_DELAY_S = 0.4
"""Time after which an order without an answer is sent again."""

RETRY_DELAY_S = 0.15
"""Time after which an order that was answered is sent again if the group still
needs it."""

CONTRADICTORY_QUERY_INTERVAL_S = 1.0
"""Time between two status queries of a host that is held back because its entry
or its last report contradicts the groups. Reports are up to 0.6 s old."""

UNRESPONSIVE_QUERY_INTERVAL_S = 1.0
"""Time between two status queries of a free host that did not answer the last
one. Each query has a cost, and the entry of a lost host is removed within some
seconds."""

CLOSING_QUERY_INTERVAL_S = 0.25
"""Time between two status queries of a head that is finishing its requests."""

CLOSE_MARGIN_S = 1.0
"""Time beyond the time limits of its requests after which a closing group is
dissolved. Nodes send to it until they know that it closes."""

EVACUATION_CLOSE_S = 3.0
"""Time after which the groups of an evacuated data centre close. By then others
have formed elsewhere and no node sends to them: nodes stop at most 2 s after
they know, and the announcement takes up to a second."""


class Controller:
    """Decides what the leader does with groups and servers.

    Attributes:
      is_superseded: whether a server is known to have got orders of a later
        leader. This one then gives none any more: it could only disturb that
        leader.
    """

    def __init__(self, *, term: int) -> None:
        """Create the controller of a term, without servers or groups."""
        self._registry = GroupRegistry()
        self._planner = Planner(registry=self._registry)
        self._verifier = GroupVerifier(registry=self._registry)
        self._adoption = Adoption(
            registry=self._registry, verifier=self._verifier, term=term
        )
        self._term = term
        self.is_superseded = False
        self._forming = Forming(
            registry=self._registry, planner=self._planner, term=term
        )
        self._closed: frozenset[str] = frozenset()

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Set the configuration in force."""
        self._registry.configuration = configuration

    def set_evacuated(
        self,
        evacuated: frozenset[str],
        closed: frozenset[str],
        recorded: frozenset[str],
        now: float,
    ) -> None:
        """Set the evacuated data centres.

        Args:
          evacuated: data centres that are evacuated.
          closed: those of them to which nothing may be sent any more.
          recorded: data centres that are or were evacuated.
          now: current time.
        """
        self._closed = closed
        self._adoption.drained = recorded
        self._registry.hosts.set_evacuated(evacuated, now)

    def record_traffic(self) -> None:
        """Record that callers have begun to send requests."""
        self._planner.has_traffic = True

    def record_requests(
        self,
        requests: Mapping[str, int],
        usable: Mapping[str, float],
        now: float,
    ) -> None:
        """Record the requests of all nodes at each head.

        Args:
          requests: requests by head.
          usable: fraction of the slots that nodes may use, by head; all where
            it is missing.
          now: current time.
        """
        if self._registry.configuration is None:
            return
        for service in self._registry.configuration.services.values():
            if service.engine is not None:
                self._planner.record_requests(
                    requests, usable, service.engine, service.name, now
                )

    def record_server(self, server: BackendServer, now: float) -> None:
        """Record the entry of a server."""
        if self._is_former_incarnation(server.server, server.started_ms, now):
            return
        membership = self._registry.hosts.apply_entry(server, now)
        if membership is not None:
            self._registry.record_membership(server.server, membership)

    def is_leaving(self, server: str) -> bool:
        """Return whether a server has said that it leaves."""
        entry = self._registry.hosts.servers.get(server)
        return entry is not None and entry.is_leaving

    def record_removed(self, server: str) -> None:
        """Record that the entry of a server was removed."""
        self._registry.hosts.remove_entry(server)

    def record_departure(self, server: str, stated_at: float) -> bool:
        """Record that a server says that it leaves.

        Args:
          server: identifier of the server.
          stated_at: when it last said so.

        Returns:
          Whether this was not known.
        """
        return self._registry.hosts.record_departure(server, stated_at)

    def record_stall(self, name: str, now: float) -> None:
        """Record that the streams of a group have stalled."""
        group = self._registry.groups.get(name)
        if group is not None and group.phase is Phase.SERVING:
            self._verifier.verify(
                group, "its streams are silent", now, failures=1
            )

    def record_reply(
        self, server: str, order: Order, reply: OrderReply | None, now: float
    ) -> None:
        """Record the answer to an order, None when there was none."""
        if isinstance(order, Open | Stage):
            self._registry.hosts.record_order(
                server, now, has_begun=reply is OrderReply.STARTED
            )
        if isinstance(order, Close):
            self._registry.hosts.require_report(server)
        if isinstance(order, Stage):
            self._planner.record_staging_reply(server, order, reply, now)
            return
        self._registry.dispatcher.finish_order(server, order)
        if reply is OrderReply.MISDIRECTED:
            # Its entry remains until it expires, and the host would be planned
            # again.
            self._registry.hosts.record_misdirected(server, now)
        group = self._registry.groups.get(order.group)
        is_known = group is not None and group.epoch == order.epoch
        if is_known or isinstance(order, Leave):
            wait_s = RESEND_DELAY_S if reply is None else RETRY_DELAY_S
            self._registry.dispatcher.delay(server, order, now + wait_s)
        if group is None or not is_known:
            if isinstance(order, Leave):
                self._record_left(server, order.epoch, reply, now)
            return
        match order:
            case Join():
                is_own = groupnames.find_term(group.epoch) == self._term
                is_forming = group.phase is Phase.FORMING
                if reply is OrderReply.STALE and is_own and is_forming:
                    # No member of a group that is being formed was ordered to
                    # join a later one of this term.
                    self.is_superseded = True
                self._forming.handle_join_reply(
                    group, server, order, reply, now
                )
            case Open():
                self._forming.handle_open_reply(group, reply, now)
            case Leave():
                self._handle_leave_reply(group, server, reply, now)
            case Close():
                if reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
                    reason = f"its head refused to close: {reply.value}"
                    self._registry.dissolve(group, reason, now)

    def record_report(
        self, server: str, report: ServerReport | None, now: float
    ) -> None:
        """Record the state of a server, None when it did not answer."""
        self._registry.dispatcher.finish_query(server)
        if self._registry.hosts.is_misdirected(server):
            # The report is that of the server which now has its address.
            report = None
        if report is not None:
            if self._is_former_incarnation(server, report.started_ms, now):
                return
            if report.is_leaving:
                self._registry.hosts.record_departure(server, now)
            self._apply_report(server, report, now)
        else:
            self._registry.hosts.record_unanswered(server)
        for group in list(self._registry.groups.values()):
            if server not in group.members:
                continue
            if (
                group.verifying_since is not None
                and group.phase is Phase.SERVING
            ):
                self._verifier.apply_report(group, server, report, now)
            elif group.phase is Phase.CLOSING and server == group.head:
                self._apply_closing_report(group, report, now)

    def _is_former_incarnation(
        self, server: str, started_ms: int, now: float
    ) -> bool:
        """Return whether a message is from an earlier incarnation of a server.

        A server that has restarted is in no group. Its former group is
        dissolved without an order to it; if it was the head, the head counts
        as having left.
        """
        relation = self._registry.hosts.record_incarnation(
            server, started_ms, now
        )
        if relation is not IncarnationOrder.NEW:
            return relation is IncarnationOrder.FORMER
        self._planner.forget(server)
        self._registry.dispatcher.forget(server)
        for group in list(self._registry.groups.values()):
            if server not in group.members:
                continue
            self._registry.dissolve(group, f"{server} has started again", now)
            group.awaited.discard(server)
            if server == group.head and group.has_head:
                group.head_out = True
            elif group.may_be_open:
                # A late order could make it rejoin its former group.
                self._registry.hosts.record_left(
                    server, group.epoch, now, by_order=False
                )
        return False

    def step(self, now: float) -> list[Effect]:
        """Return the effects that are due now."""
        configuration = self._registry.configuration
        if configuration is None:
            return []
        if self.is_superseded:
            return [*self._registry.take_changes()]
        effects = self._adoption.adopt(now)
        for group in list(self._registry.groups.values()):
            effects += self._advance(group, now)
        effects += self._verifier.query_reference_head(now)
        for service in configuration.services.values():
            if service.engine is not None:
                effects += self._plan(service.name, service.engine, now)
        return [*self._registry.take_changes(), *effects]

    def list_groups(self, now: float) -> tuple[GroupEndpoint, ...]:
        """Return the groups that accept requests."""
        endpoints = []
        for group in self._registry.groups.values():
            head = self._registry.hosts.servers.get(group.head)
            is_open = group.phase is Phase.SERVING and now >= group.served_at
            if not is_open or head is None or head.is_leaving:
                continue
            if head.data_centre in self._closed:
                continue
            endpoints.append(
                GroupEndpoint(
                    group=group.name,
                    epoch=group.epoch,
                    model=group.model,
                    service=group.service,
                    server=group.head,
                    address=head.address,
                    data_centre=head.data_centre,
                    started_ms=self._registry.hosts.find_start(group.head),
                )
            )
        return tuple(sorted(endpoints))

    def count_hosts(self, now: float) -> tuple[ModelCount, ...]:
        """Return the host counts by model."""
        configuration = self._registry.configuration
        if configuration is None:
            return ()
        counts: tuple[ModelCount, ...] = ()
        for name, service in configuration.services.items():
            engine = service.engine
            if engine is not None:
                needs = self._planner.find_needs(name, engine, now)
                counts += count_hosts(self._registry, name, engine, needs)
        return counts

    def list_servers(self) -> tuple[ServerEndpoint, ...]:
        """Return the servers of plain services that accept requests.

        An entry of another writer may name a service that does not exist.
        """
        configuration = self._registry.configuration
        services = {} if configuration is None else configuration.services
        return tuple(
            ServerEndpoint(
                server=server.server,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                slots=server.slots,
                started_ms=self._registry.hosts.find_start(server.server),
            )
            for _, server in sorted(self._registry.hosts.servers.items())
            if not server.is_leaving
            and server.data_centre not in self._closed
            and server.service in services
            and self._registry.find_engine(server.service) is None
        )

    def list_forming_models(self, now: float) -> tuple[str, ...]:
        """Return the models for which a group is expected to serve soon.

        Hosts of a group that closes or is dissolved form another one. An
        opened group does not accept requests at once. Hosts of an evacuated
        data centre form none.
        """
        soon = (
            Phase.FORMING,
            Phase.OPENING,
            Phase.CLOSING,
            Phase.DISSOLVING,
        )
        models = set()
        for group in self._registry.groups.values():
            if self._registry.hosts.is_evacuated(group.head):
                continue
            is_opening = group.phase is Phase.SERVING and now < group.served_at
            if is_opening or (group.phase in soon and not group.is_standby):
                models.add(group.model)
        return tuple(sorted(models))

    def has_adopted_groups(self, now: float) -> bool:
        """Return whether the groups of an earlier leader have been adopted.

        Until then the view of that leader is more accurate. Complete groups
        are adopted in the first step after the entries have been read.
        """
        return now > self._registry.hosts.first_entry_at

    def describe(self) -> list[dict[str, object]]:
        """Return a description of the groups for a state dump."""
        return [
            {
                "group": group.name,
                "phase": group.phase.value,
                "members": group.members,
                "ready": sorted(group.ready),
                "reason": group.reason,
            }
            for group in self._registry.groups.values()
        ]

    def _apply_report(
        self, server: str, report: ServerReport, now: float
    ) -> None:
        """Apply the state that a server reported."""
        has_rejoined = self._registry.hosts.apply_report(server, report, now)
        membership = report.membership
        if membership is None:
            return
        if groupnames.find_term(membership.epoch) > self._term:
            self.is_superseded = True
        self._registry.record_membership(server, membership)
        if has_rejoined:
            self._handle_rejoined(server, membership, now)

    def _handle_rejoined(
        self, server: str, membership: Membership, now: float
    ) -> None:
        """Make a server leave again that has rejoined its former group late.

        That group may still be dissolving, because its head has not answered.
        If the server still counted as out of it, it would be given another
        group while that head serves.
        """
        for group in self._registry.groups.values():
            if group.phase is Phase.FORMING and server in group.members:
                self._registry.dissolve(
                    group, f"{server} has joined another one", now
                )
        former = self._registry.groups.get(membership.group)
        if former is not None and former.epoch == membership.epoch:
            former.awaited.add(server)

    def _handle_leave_reply(
        self,
        group: ManagedGroup,
        server: str,
        reply: OrderReply | None,
        now: float,
    ) -> None:
        if reply is None:
            failures = group.failures.get(server, 0) + 1
            group.failures[server] = failures
            self._registry.hosts.record_unresponsive(server, now)
        elif reply is not OrderReply.INVALID:
            group.awaited.discard(server)
            self._record_left(server, group.epoch, reply, now)
            if server != group.head or not group.has_head:
                return
            if reply is OrderReply.MISDIRECTED:
                # The report that made it the head may be that of the server
                # which now has its address, so each member has to leave.
                group.has_head = False
                return
            group.head_out = True

    def _record_left(
        self, server: str, epoch: int, reply: OrderReply | None, now: float
    ) -> None:
        """Record that a server is not in a group, if its answer says so."""
        if reply is not None and reply is not OrderReply.INVALID:
            # A conflict also means that the server is not in this group.
            self._registry.hosts.record_left(
                server, epoch, now, by_order=reply is OrderReply.DONE
            )

    def _apply_closing_report(
        self, group: ManagedGroup, report: ServerReport | None, now: float
    ) -> None:
        """Apply the answer of a head that is finishing its requests."""
        if report is None:
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._registry.dissolve(group, "its head has left", now)
        elif membership.state in (MemberState.READY, MemberState.BROKEN):
            self._registry.dissolve(group, "its head has finished", now)

    def _advance(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return the effects for a group in its current phase."""
        match group.phase:
            case Phase.FORMING:
                return self._forming.form(group, now)
            case Phase.OPENING:
                return self._forming.open(group, now)
            case Phase.SERVING:
                return self._check_serving(group, now)
            case Phase.CLOSING:
                return self._close(group, now)
            case Phase.DISSOLVING:
                return self._dissolve(group, now)
            case Phase.STANDBY:
                if group.head not in self._registry.hosts.servers:
                    self._registry.remove(group)
                return []

    def _check_serving(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Check a serving group against the entries of its members."""
        head = self._registry.hosts.servers.get(group.head)
        if head is None:
            self._registry.dissolve(
                group, "the entry of its head was removed", now
            )
            return []
        for server in group.members:
            entry = self._registry.hosts.servers.get(server)
            if entry is None:
                self._verifier.verify(
                    group, f"the entry of {server} was removed", now
                )
            elif entry.is_leaving:
                group.enter(Phase.CLOSING, now, f"{server} leaves")
                self._registry.record_change(
                    GroupStep.CLOSING, group, group.reason
                )
                return self._close(group, now)
            elif self._verifier.contradicts(group, entry, now):
                self._verifier.verify(
                    group, f"the entry of {server} differs", now
                )
        since = self._registry.hosts.evacuated.get(head.data_centre, now)
        if now - since >= EVACUATION_CLOSE_S:
            group.enter(Phase.CLOSING, now, f"{head.data_centre} is evacuated")
            self._registry.record_change(GroupStep.CLOSING, group, group.reason)
            return self._close(group, now)
        if group.verifying_since is None:
            return []
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._registry.query(server, QUERY_INTERVAL_S, now)
        return effects

    def _close(self, group: ManagedGroup, now: float) -> list[Effect]:
        if group.head not in self._registry.hosts.servers:
            self._registry.dissolve(
                group, "the entry of its head was removed", now
            )
            return []
        if self._registry.hosts.is_evacuated(group.head):
            group.must_finish = True
        if now - group.since > self._find_close_timeout(group):
            self._registry.dissolve(
                group, "its head did not finish in time", now
            )
            return []
        order = Close(group.name, group.epoch)
        if now - group.since < CLOSING_QUERY_INTERVAL_S:
            return self._registry.command(group.head, order, now)
        effects = self._registry.query(
            group.head, CLOSING_QUERY_INTERVAL_S, now
        )
        if self._is_reported_open(group):
            # The order was lost.
            effects += self._registry.command(group.head, order, now)
        return effects

    def _find_close_timeout(self, group: ManagedGroup) -> float:
        """Return the time for which a closing group is kept, in seconds.

        All requests that its head has accepted end within their time limits.
        """
        if group.must_finish:
            return math.inf
        return self._registry.find_longest_timeout() + CLOSE_MARGIN_S

    def _is_reported_open(self, group: ManagedGroup) -> bool:
        """Return whether the head of a group last reported it as open."""
        reported = self._registry.hosts.find_reported_membership(group.head)
        return (
            reported is not None
            and reported.epoch == group.epoch
            and reported.state is MemberState.OPEN
        )

    def _dissolve(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Order every member to leave.

        The group has ended once its head is known to have left, or every member
        has confirmed that it left itself. An unanswered order to leave proves
        nothing, even if the host seems to be lost.
        """
        present = [
            server
            for server in group.awaited
            if server in self._registry.hosts.servers
        ]
        is_free = group.head_out or not group.may_be_open
        if is_free or not present:
            self._registry.remove(group)
            return []
        leave = Leave(group.name, group.epoch)
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._registry.command(server, leave, now)
        return effects

    def _plan(
        self, service: str, engine: EngineProfile, now: float
    ) -> list[Effect]:
        """Carry out the plan of a service.

        Free hosts form groups, and those left over become standby hosts.
        """
        plan = self._planner.plan(service, engine, now)
        effects: list[Effect] = []
        for host in plan.unreported:
            is_answering = self._registry.hosts.is_answering(host.server)
            interval_s = (
                RESEND_DELAY_S
                if is_answering
                else UNRESPONSIVE_QUERY_INTERVAL_S
            )
            effects += self._registry.query(host.server, interval_s, now)
        for host in plan.contradictory:
            effects += self._registry.query(
                host.server, CONTRADICTORY_QUERY_INTERVAL_S, now
            )
        for formation in plan.formations:
            effects += self._forming.start_group(
                service, engine, formation, now
            )
        for preparation in plan.preparations:
            effects += self._forming.start_standby(
                service, engine, preparation, now
            )
        for move in plan.moves:
            effects += self._close_for_move(move, now)
        for staging in plan.stagings:
            effects += self._stage(engine, staging, now)
        return effects

    def _close_for_move(self, move: Move, now: float) -> list[Effect]:
        """Close groups whose hosts are needed for another model."""
        effects: list[Effect] = []
        for name in move.groups:
            group = self._registry.groups[name]
            reason = f"its hosts are needed for {move.model}"
            group.enter(Phase.CLOSING, now, reason)
            self._registry.record_change(GroupStep.CLOSING, group, reason)
            effects += self._close(group, now)
        return effects

    def _stage(
        self, engine: EngineProfile, staging: Staging, now: float
    ) -> list[Effect]:
        """Let a host stage a second model if the weight store has capacity."""
        server = self._registry.hosts.find(staging.server)
        if server is None or not self._planner.acquire_load(engine, now):
            return []
        self._planner.record_staging(staging, engine, now)
        return [Command(server, staging.order)]
