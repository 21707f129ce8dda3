"""The leader's hand on replica groups: form, open, watch, close and repair.

A group serves only after all of its members were seen ready under its name and
epoch, and no host gets another membership before the head of its group is
known to be out of it, or the host itself has confirmed that it left. Orders
may be lost, or be carried out seconds later; epochs only grow, so that a late
order finds a higher epoch and is refused by the server.
"""

from collections.abc import Collection, Mapping

from chervilrock.decisions.serving.adoption import Adoption
from chervilrock.decisions.serving.census import count_hosts, ModelCount
from chervilrock.decisions.serving.doubts import ASK_S, Doubts
from chervilrock.decisions.serving.effects import Command, Effect, Step
from chervilrock.decisions.serving.forming import Forming
from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.hosts import Life
from chervilrock.decisions.serving.orders import (
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderReply,
    ServerReport,
    Stage,
)
from chervilrock.decisions.serving.plan import Move
from chervilrock.decisions.serving.planning import Planner, Staging
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Membership,
    MemberState,
    SiteConfiguration,
)
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

RESEND_S = 0.4
"""Time after which an order without an answer is given again."""

RETRY_S = 0.15
"""Time after which an order that did not fit is given again."""

ASK_LOST_S = 1.0
"""Time between two questions to a free host that did not answer the last one;
each of them is paid for, and its entry goes within some seconds."""

ASK_CLOSING_S = 0.25
"""Time between two questions whether a head has finished its requests."""

LONGEST_CLOSE_S = 5.0
"""Time after which a group that closes is cleared all the same."""


class Controller:
    """Groups and servers as the leader knows them."""

    def __init__(self, *, term: int) -> None:
        """Begin a term without knowledge."""
        self._board = GroupBoard()
        self._planner = Planner(board=self._board)
        self._doubts = Doubts(board=self._board)
        self._adoption = Adoption(board=self._board, doubts=self._doubts)
        self._forming = Forming(
            board=self._board, planner=self._planner, term=term
        )

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Use a configuration from now on."""
        self._board.configuration = configuration

    def note_traffic(self) -> None:
        """Note that callers have begun to send requests."""
        self._planner.has_traffic = True

    def note_requests(
        self,
        requests: Mapping[str, int],
        limited: Collection[str],
        now: float,
    ) -> None:
        """Take the requests of all nodes at each head.

        Args:
          requests: requests by head.
          limited: heads that limit what they get.
          now: present time.
        """
        if self._board.configuration is None:
            return
        for service in self._board.configuration.services.values():
            if service.engine is not None:
                self._planner.note_requests(
                    requests, limited, service.engine, service.name, now
                )

    def note_server(self, server: BackendServer, now: float) -> None:
        """Take the entry of a server."""
        if self._is_former(server.server, server.born, now):
            return
        membership = self._board.hosts.take_entry(server, now)
        if membership is not None:
            self._board.note_membership(server.server, membership)

    def note_gone(self, server: str) -> None:
        """Take that the entry of a server was removed."""
        self._board.hosts.take_gone(server)

    def note_silent(self, name: str, now: float) -> None:
        """Take that the streams of a group have stopped."""
        group = self._board.groups.get(name)
        if group is not None and group.phase is Phase.SERVING:
            self._doubts.doubt(group, "its streams are silent", now, failures=1)

    def note_reply(
        self, server: str, order: Order, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order, None when there was none."""
        if not isinstance(order, Join):
            self._board.hosts.note_ordered(server)
        if isinstance(order, Stage):
            self._planner.note_staging_reply(server, order, reply, now)
            return
        self._board.dispatcher.note_reply(server, order)
        if reply is OrderReply.MISDIRECTED:
            # Its entry stays until it lapses, and it would be planned anew.
            self._board.hosts.note_dark(server, now)
        group = self._board.groups.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        wait = RESEND_S if reply is None else RETRY_S
        self._board.dispatcher.hold(server, order, now + wait)
        match order:
            case Join():
                self._forming.note_join(group, server, reply, now)
            case Open():
                self._forming.note_open(group, reply, now)
            case Leave():
                self._note_leave(group, server, reply, now)
            case Close():
                if reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
                    reason = f"its head refused to close: {reply.value}"
                    self._board.clear(group, reason, now)

    def note_report(
        self, server: str, report: ServerReport | None, now: float
    ) -> None:
        """Take the state of a server, None when it did not answer."""
        self._board.dispatcher.note_report(server)
        if report is not None:
            if self._is_former(server, report.born, now):
                return
            self._take_report(server, report, now)
        else:
            self._board.hosts.note_unanswered(server)
        for group in list(self._board.groups.values()):
            if server not in group.members:
                continue
            if group.doubted is not None and group.phase is Phase.SERVING:
                self._doubts.judge(group, server, report, now)
            elif group.phase is Phase.CLOSING and server == group.head:
                self._judge_closing(group, report, now)

    def _is_former(self, server: str, born: int, now: float) -> bool:
        """Tell whether something is of an earlier start of a server.

        One that has started again is in no group, so its former one is taken
        apart without asking it: its head is out if it was the head.
        """
        life = self._board.hosts.note_life(server, born)
        if life is not Life.NEW:
            return life is Life.FORMER
        self._planner.forget(server)
        self._board.dispatcher.forget(server)
        for group in list(self._board.groups.values()):
            if server not in group.members:
                continue
            self._board.clear(group, f"{server} has started again", now)
            group.awaited.discard(server)
            if server == group.head and group.has_head:
                group.head_out = True
            elif group.may_be_open:
                # A late order could let it join its former group once more.
                self._board.hosts.note_left(server, group.epoch, now)
        return False

    def step(self, now: float) -> list[Effect]:
        """Return what to do now."""
        configuration = self._board.configuration
        if configuration is None:
            return []
        self._adoption.adopt(now)
        effects: list[Effect] = []
        for group in list(self._board.groups.values()):
            effects += self._move(group, now)
        effects += self._doubts.ask_witness(now)
        for service in configuration.services.values():
            if service.engine is not None:
                effects += self._plan(service.name, service.engine, now)
        return [*self._board.take_notes(), *effects]

    def list_groups(self, now: float) -> tuple[GroupEndpoint, ...]:
        """Return the groups that take requests."""
        endpoints = []
        for group in self._board.groups.values():
            head = self._board.hosts.servers.get(group.head)
            is_open = group.phase is Phase.SERVING and now >= group.served_at
            if not is_open or head is None or head.is_leaving:
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
                )
            )
        return tuple(sorted(endpoints))

    def count_hosts(self, now: float) -> tuple[ModelCount, ...]:
        """Return what the hosts do, by model."""
        configuration = self._board.configuration
        if configuration is None:
            return ()
        counts: tuple[ModelCount, ...] = ()
        for name, service in configuration.services.items():
            engine = service.engine
            if engine is not None:
                needs = self._planner.find_needs(name, engine, now)
                counts += count_hosts(self._board, name, engine, needs)
        return counts

    def list_servers(self) -> tuple[ServerEndpoint, ...]:
        """Return the servers of plain services that take requests."""
        return tuple(
            ServerEndpoint(
                server=server.server,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                slots=server.slots,
            )
            for _, server in sorted(self._board.hosts.servers.items())
            if not server.is_leaving
            and self._board.find_engine(server.service) is None
        )

    def list_forming(self) -> tuple[str, ...]:
        """Return the models for which a group will serve soon."""
        soon = (Phase.FORMING, Phase.OPENING, Phase.CLEARING)
        models = {
            group.model
            for group in self._board.groups.values()
            if group.phase in soon and not group.is_standby
        }
        return tuple(sorted(models))

    def has_looked(self, now: float) -> bool:
        """Tell whether the groups of an earlier leader were found.

        Until then the view of that leader is the better one. Whole groups are
        found in the first step after the entries were read.
        """
        return now > self._board.hosts.began

    def describe(self) -> list[dict[str, object]]:
        """Return the groups for a dump of the state."""
        return [
            {
                "group": group.name,
                "phase": group.phase.value,
                "members": group.members,
                "ready": sorted(group.ready),
                "reason": group.reason,
            }
            for group in self._board.groups.values()
        ]

    def _take_report(
        self, server: str, report: ServerReport, now: float
    ) -> None:
        """Take the state of a server."""
        has_rejoined = self._board.hosts.take_report(server, report, now)
        membership = report.membership
        if membership is None:
            return
        self._board.note_membership(server, membership)
        if has_rejoined:
            self._note_rejoined(server, membership, now)

    def _note_rejoined(
        self, server: str, membership: Membership, now: float
    ) -> None:
        """Let a server leave once more that joined its former group late.

        Its group may still be taken apart, as its head has not answered. When
        the server counted as out of it all the same, it was given another
        group while that head served.
        """
        for group in self._board.groups.values():
            if group.phase is Phase.FORMING and server in group.members:
                self._board.clear(
                    group, f"{server} has joined another one", now
                )
        former = self._board.groups.get(membership.group)
        if former is not None and former.epoch == membership.epoch:
            former.awaited.add(server)

    def _note_leave(
        self,
        group: ManagedGroup,
        server: str,
        reply: OrderReply | None,
        now: float,
    ) -> None:
        if reply is None:
            failures = group.failures.get(server, 0) + 1
            group.failures[server] = failures
            self._board.hosts.note_dark(server, now)
        elif reply is not OrderReply.INVALID:
            # A conflict means that the server is not in this group.
            group.awaited.discard(server)
            self._board.hosts.note_left(server, group.epoch, now)
            if server == group.head and group.has_head:
                group.head_out = True
                self._board.hosts.note_head_out(group.members)

    def _judge_closing(
        self, group: ManagedGroup, report: ServerReport | None, now: float
    ) -> None:
        """Take the answer of a head that finishes its requests."""
        if report is None:
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._board.clear(group, "its head has left", now)
        elif membership.state in (MemberState.READY, MemberState.BROKEN):
            self._board.clear(group, "its head has finished", now)

    def _move(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return what a group needs now."""
        match group.phase:
            case Phase.FORMING:
                return self._forming.form(group, now)
            case Phase.OPENING:
                return self._forming.open(group, now)
            case Phase.SERVING:
                return self._watch(group, now)
            case Phase.CLOSING:
                return self._close(group, now)
            case Phase.CLEARING:
                return self._take_apart(group, now)
            case Phase.STANDBY:
                if group.head not in self._board.hosts.servers:
                    self._board.remove(group)
                return []

    def _watch(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Look after a group that serves."""
        head = self._board.hosts.servers.get(group.head)
        if head is None:
            self._board.clear(group, "the entry of its head was removed", now)
            return []
        for server in group.members:
            entry = self._board.hosts.servers.get(server)
            if entry is None:
                self._doubts.doubt(
                    group, f"the entry of {server} was removed", now
                )
            elif entry.is_leaving:
                group.move(Phase.CLOSING, now, f"{server} leaves")
                self._board.note(Step.CLOSING, group, group.reason)
                return self._close(group, now)
            elif self._doubts.contradicts(group, entry, now):
                self._doubts.doubt(group, f"the entry of {server} differs", now)
        if group.doubted is None:
            return []
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._board.ask(server, ASK_S, now)
        return effects

    def _close(self, group: ManagedGroup, now: float) -> list[Effect]:
        if group.head not in self._board.hosts.servers:
            self._board.clear(group, "the entry of its head was removed", now)
            return []
        if now - group.since > LONGEST_CLOSE_S:
            self._board.clear(group, "its head did not finish in time", now)
            return []
        if now - group.since < ASK_CLOSING_S:
            order = Close(group.name, group.epoch)
            return self._board.command(group.head, order, now)
        return self._board.ask(group.head, ASK_CLOSING_S, now)

    def _take_apart(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Get the head out, or each other member when it does not answer.

        A host must not join another group while it may be a member of one
        whose head may serve. It is free once the head is known to be out, or
        once it has confirmed itself that it left. An order to leave without
        an answer proves nothing, even if the host seems to be lost.
        """
        present = [
            one for one in group.awaited if one in self._board.hosts.servers
        ]
        is_free = group.head_out or not group.may_be_open
        if is_free or not present:
            self._board.remove(group)
            return []
        leave = Leave(group.name, group.epoch)
        is_head_lost = not group.has_head or group.failures.get(group.head)
        if not is_head_lost and group.head in group.awaited:
            return self._board.command(group.head, leave, now)
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._board.command(server, leave, now)
        return effects

    def _plan(
        self, service: str, engine: EngineProfile, now: float
    ) -> list[Effect]:
        """Form groups of free hosts, and prepare those that are left."""
        plan = self._planner.plan(service, engine, now)
        effects: list[Effect] = []
        for host in plan.unheard:
            is_answering = self._board.hosts.is_answering(host.server)
            pause_s = RESEND_S if is_answering else ASK_LOST_S
            effects += self._board.ask(host.server, pause_s, now)
        for formation in plan.formations:
            effects += self._forming.start_group(
                service, engine, formation, now
            )
        for preparation in plan.preparations:
            effects += self._forming.start_standby(
                service, engine, preparation, now
            )
        for move in plan.moves:
            effects += self._close_for(move, now)
        for staging in plan.stagings:
            effects += self._stage(engine, staging, now)
        return effects

    def _close_for(self, move: Move, now: float) -> list[Effect]:
        """Let groups finish, since their hosts are needed for another model."""
        effects: list[Effect] = []
        for name in move.groups:
            group = self._board.groups[name]
            reason = f"its hosts are needed for {move.model}"
            group.move(Phase.CLOSING, now, reason)
            self._board.note(Step.CLOSING, group, reason)
            effects += self._close(group, now)
        return effects

    def _stage(
        self, engine: EngineProfile, staging: Staging, now: float
    ) -> list[Effect]:
        """Let a host stage a second model, as the weight store allows."""
        server = self._board.hosts.find(staging.server)
        if server is None or not self._planner.take_load(engine, now):
            return []
        self._planner.note_staging(staging, engine, now)
        return [Command(server, staging.order)]
