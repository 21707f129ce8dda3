"""The leader's hand on replica groups: form, open, watch, close and repair.

A group serves only after all of its members were seen ready under its name and
epoch, and no host gets another membership before the head of its group is
known to be out of it, or the host itself has confirmed that it left. Orders
may be lost, or be carried out seconds later; epochs only grow, so that a late
order finds a higher epoch and is refused by the server.
"""

from collections.abc import Mapping

from chervilrock.decisions.serving import groupnames
from chervilrock.decisions.serving.dispatch import Dispatcher
from chervilrock.decisions.serving.effects import (
    Command,
    Effect,
    GroupNote,
    Step,
)
from chervilrock.decisions.serving.groups import (
    ManagedGroup,
    Phase,
    READY_STATES,
)
from chervilrock.decisions.serving.hosts import DARK_S, HostBook, Life
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
from chervilrock.decisions.serving.plan import (
    Formation,
    FreeHost,
    Move,
    Preparation,
    Warmth,
)
from chervilrock.decisions.serving.planning import Planner, Staging
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Membership,
    MemberState,
    SiteConfiguration,
)
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

ADOPT_S = 0.3
"""Time for the entries of all members of a group that was found to come."""

JOIN_S = 0.2
"""Time of a join when the weights are in memory."""

RESEND_S = 0.4
"""Time after which an order without an answer is given again."""

RETRY_S = 0.15
"""Time after which an order that did not fit is given again."""

ASK_S = 0.1
"""Time between two questions whether a member is ready, or still there."""

ASK_LOST_S = 1.0
"""Time between two questions to a free host that did not answer the last one;
each of them is paid for, and its entry goes within some seconds."""

ASK_CLOSING_S = 0.25
"""Time between two questions whether a head has finished its requests."""

LONGEST_CLOSE_S = 5.0
"""Time after which a group that closes is cleared all the same."""

FORM_LIMIT_S = 6.0
"""Time beyond the expected one after which a formation is given up."""

FAILURES = 2
"""Unanswered questions after which a member of a doubted group is lost, when
nothing but its entry speaks against it; a packet may be lost. When the streams
of the group are silent as well, one is enough: with two of them a repair took
0.18 s longer."""


HOPELESS_PACE = 6.0
"""Factor on the times of a host from which its group serves nobody: an answer
of 1.4 s takes 8 s, and callers give up. Such a group is taken apart also when
no host stands by: while two of five hosts were twelve times slower for 9 s, 67
callers of one model waited in vain at groups that were kept."""


SURE_S = 1.0
"""Time for which a group that was found whole is not doubted again."""


class Controller:
    """Groups and servers as the leader knows them."""

    def __init__(self, *, term: int) -> None:
        """Begin a term without knowledge."""
        self._term = term
        self._number = 0
        self._configuration: SiteConfiguration | None = None
        self._hosts = HostBook()
        self._dispatcher = Dispatcher()
        self._groups: dict[str, ManagedGroup] = {}
        self._needs_witness = False
        self._found: dict[tuple[str, int], float] = {}
        self._planner = Planner(hosts=self._hosts, groups=self._groups)
        self._notes: list[GroupNote] = []

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Use a configuration from now on."""
        self._configuration = configuration

    def note_traffic(self) -> None:
        """Note that callers have begun to send requests."""
        self._planner.has_traffic = True

    def note_requests(self, requests: Mapping[str, int], now: float) -> None:
        """Take the requests of all nodes at each head."""
        if self._configuration is None:
            return
        for service in self._configuration.services.values():
            if service.engine is not None:
                self._planner.note_requests(
                    requests, service.engine, service.name, now
                )

    def note_server(self, server: BackendServer, now: float) -> None:
        """Take the entry of a server."""
        if self._is_former(server.server, server.born, now):
            return
        membership = self._hosts.take_entry(server, now)
        if membership is not None:
            self._note_membership(server.server, membership)

    def note_gone(self, server: str) -> None:
        """Take that the entry of a server was removed."""
        self._hosts.take_gone(server)

    def note_silent(self, name: str, now: float) -> None:
        """Take that the streams of a group have stopped."""
        group = self._groups.get(name)
        if group is not None and group.phase is Phase.SERVING:
            self._doubt(group, "its streams are silent", now, failures=1)

    def note_reply(
        self, server: str, order: Order, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order, None when there was none."""
        if isinstance(order, Stage):
            self._planner.note_staging_reply(server, order, reply, now)
            return
        self._dispatcher.note_reply(server, order)
        group = self._groups.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        wait = RESEND_S if reply is None else RETRY_S
        self._dispatcher.hold(server, order, now + wait)
        match order:
            case Join():
                self._note_join(group, server, reply, now)
            case Open():
                self._note_open(group, reply, now)
            case Leave():
                self._note_leave(group, server, reply, now)
            case Close():
                if reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
                    reason = f"its head refused to close: {reply.value}"
                    self._clear(group, reason, now)

    def note_report(
        self, server: str, report: ServerReport | None, now: float
    ) -> None:
        """Take the state of a server, None when it did not answer."""
        self._dispatcher.note_report(server)
        if report is not None:
            if self._is_former(server, report.born, now):
                return
            self._take_report(server, report, now)
        else:
            self._hosts.note_unanswered(server)
        for group in list(self._groups.values()):
            if server not in group.members:
                continue
            if group.doubted is not None and group.phase is Phase.SERVING:
                self._judge_member(group, server, report, now)
            elif group.phase is Phase.CLOSING and server == group.head:
                self._judge_closing(group, report, now)

    def _is_former(self, server: str, born: int, now: float) -> bool:
        """Tell whether something is of an earlier start of a server.

        One that has started again is in no group, so its former one is taken
        apart without asking it: its head is out if it was the head.
        """
        life = self._hosts.note_life(server, born)
        if life is not Life.NEW:
            return life is Life.FORMER
        self._planner.forget(server)
        self._dispatcher.forget(server)
        for group in list(self._groups.values()):
            if server not in group.members:
                continue
            self._clear(group, f"{server} has started again", now)
            group.awaited.discard(server)
            if server == group.head and group.has_head:
                group.head_out = True
            elif group.may_be_open:
                # A late order could let it join its former group once more.
                self._hosts.note_left(server, group.epoch, now)
        return False

    def step(self, now: float) -> list[Effect]:
        """Return what to do now."""
        configuration = self._configuration
        if configuration is None:
            return []
        self._adopt(now)
        effects: list[Effect] = []
        for group in list(self._groups.values()):
            effects += self._move(group, now)
        effects += self._ask_witness(now)
        for service in configuration.services.values():
            if service.engine is not None:
                effects += self._plan(service.name, service.engine, now)
        notes, self._notes = self._notes, []
        return [*notes, *effects]

    def list_groups(self, now: float) -> tuple[GroupEndpoint, ...]:
        """Return the groups that take requests."""
        endpoints = []
        for group in self._groups.values():
            head = self._hosts.servers.get(group.head)
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
            for _, server in sorted(self._hosts.servers.items())
            if not server.is_leaving
            and self._find_engine(server.service) is None
        )

    def list_forming(self) -> tuple[str, ...]:
        """Return the models for which a group will serve soon."""
        soon = (Phase.FORMING, Phase.OPENING, Phase.CLEARING)
        models = {
            group.model
            for group in self._groups.values()
            if group.phase in soon and not group.is_standby
        }
        return tuple(sorted(models))

    def has_looked(self, now: float) -> bool:
        """Tell whether the groups of an earlier leader were found.

        Until then the view of that leader is the better one. Whole groups are
        found in the first step after the entries were read.
        """
        return now > self._hosts.began

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
            for group in self._groups.values()
        ]

    def _find_engine(self, service: str) -> EngineProfile | None:
        """Return how the engines of a service work, None for a plain one."""
        if self._configuration is None:
            return None
        known = self._configuration.services.get(service)
        return None if known is None else known.engine

    def _note(self, step: Step, group: ManagedGroup, reason: str = "") -> None:
        self._notes.append(GroupNote(step, group.name, group.members, reason))

    def _note_membership(self, server: str, membership: Membership) -> None:
        group = self._groups.get(membership.group)
        if group is None or group.epoch != membership.epoch:
            return
        if server in group.members and membership.state in READY_STATES:
            group.ready.add(server)
            self._hosts.loaded[server] = group.model

    def _take_report(
        self, server: str, report: ServerReport, now: float
    ) -> None:
        """Take the state of a server."""
        has_rejoined = self._hosts.take_report(server, report, now)
        if report.membership is not None:
            self._note_membership(server, report.membership)
        if not has_rejoined:
            return
        for group in self._groups.values():
            if group.phase is Phase.FORMING and server in group.members:
                self._clear(group, f"{server} has joined another one", now)

    def _note_join(
        self,
        group: ManagedGroup,
        server: str,
        reply: OrderReply | None,
        now: float,
    ) -> None:
        if reply is OrderReply.CONFLICT:
            self._hosts.obeyed.pop(server, None)
        if reply is OrderReply.DONE:
            group.ready.add(server)
            self._hosts.loaded[server] = group.model
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            group.joined.add(server)
            self._hosts.note_joined(server)
            order = Join(group.name, group.epoch, group.model, group.members)
            until = max(group.due, now + ASK_S)
            self._dispatcher.hold(server, order, until)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            reason = f"{server} refused to join: {reply.value}"
            self._clear(group, reason, now)

    def _note_open(
        self, group: ManagedGroup, reply: OrderReply | None, now: float
    ) -> None:
        if group.phase is not Phase.OPENING:
            return
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            engine = self._find_engine(group.service)
            form_s = 0.0 if engine is None else engine.form_s
            group.served_at = now + form_s
            group.joined.clear()
            group.move(Phase.SERVING, now)
            self._note(Step.SERVING, group)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            self._clear(group, f"its head refused to open: {reply.value}", now)

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
            self._hosts.note_dark(server, now)
        elif reply is not OrderReply.INVALID:
            # A conflict means that the server is not in this group.
            group.awaited.discard(server)
            self._hosts.note_left(server, group.epoch, now)
            if server == group.head and group.has_head:
                group.head_out = True
                self._hosts.note_head_out(group.members)

    def _doubt(
        self,
        group: ManagedGroup,
        reason: str,
        now: float,
        *,
        failures: int = FAILURES,
    ) -> None:
        """Ask the members of a group whether they still belong to it."""
        if group.doubted is not None or now < group.sure_until:
            return
        group.doubted = now
        group.failures = {}
        group.failures_allowed = failures
        group.awaited = set(group.members)
        for server in group.members:
            self._dispatcher.forget_question(server)
        self._note(Step.DOUBTED, group, reason)

    def _clear(self, group: ManagedGroup, reason: str, now: float) -> None:
        """Take a group apart."""
        if group.phase is Phase.CLEARING:
            return
        group.move(Phase.CLEARING, now, reason)
        group.failures = {}
        group.awaited = set(group.members)
        for server in group.members:
            self._dispatcher.release(server)
        self._note(Step.CLEARING, group, reason)

    def _judge_member(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport | None,
        now: float,
    ) -> None:
        """Take the answer of a member of a doubted group."""
        if report is None:
            asked = self._dispatcher.find_question(server, now)
            if self._hosts.answered < asked:
                # Nobody answered meanwhile, so it may be this node that is
                # slow or cut off.
                self._dispatcher.forget_question(server)
                self._needs_witness = True
                return
            failures = group.failures.get(server, 0) + 1
            group.failures[server] = failures
            self._dispatcher.forget_question(server)
            if failures >= group.failures_allowed:
                self._hosts.note_dark(server, now)
                self._clear(group, f"{server} does not answer", now)
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._clear(group, f"{server} is not a member", now)
        elif membership.state is MemberState.BROKEN:
            self._clear(group, f"{server} reports it broken", now)
        elif self._is_too_slow(group, server, report, now):
            self._clear(group, f"{server} is slow", now)
        else:
            group.awaited.discard(server)
            if not group.awaited:
                group.doubted = None
                group.sure_until = now + SURE_S
                self._note(Step.CONFIRMED, group)

    def _is_too_slow(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport,
        now: float,
    ) -> bool:
        """Tell whether a group is better without a slow member, or gone."""
        if report.pace >= HOPELESS_PACE:
            return True
        return self._hosts.is_slow(server, now) and self._has_standby(
            group, now
        )

    def _has_standby(self, group: ManagedGroup, now: float) -> bool:
        """Tell whether a host can take the place of one of a group."""
        home = self._hosts.servers.get(group.head)
        for other in self._groups.values():
            if other.phase is not Phase.STANDBY or other.model != group.model:
                continue
            host = self._hosts.servers.get(other.head)
            if host is None or home is None or host.domain != home.domain:
                continue
            if not self._hosts.is_slow(other.head, now):
                return True
        return False

    def _judge_closing(
        self, group: ManagedGroup, report: ServerReport | None, now: float
    ) -> None:
        """Take the answer of a head that finishes its requests."""
        if report is None:
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._clear(group, "its head has left", now)
        elif membership.state in (MemberState.READY, MemberState.BROKEN):
            self._clear(group, "its head has finished", now)

    def _adopt(self, now: float) -> None:
        """Take the groups that an earlier leader has formed."""
        found: dict[tuple[str, int], list[BackendServer]] = {}
        for server in self._hosts.servers.values():
            membership = server.membership
            if membership is None:
                continue
            if self._planner.is_unknown_member(server):
                key = (membership.group, membership.epoch)
                found.setdefault(key, []).append(server)
        for key, servers in found.items():
            since = self._found.setdefault(key, now)
            if self._is_whole(servers) or now - since >= ADOPT_S:
                del self._found[key]
                self._adopt_group(key, servers, now)

    def _is_whole(self, servers: list[BackendServer]) -> bool:
        """Tell whether servers are all members of a group."""
        memberships = [
            one.membership for one in servers if one.membership is not None
        ]
        engine = self._find_engine(servers[0].service)
        name = groupnames.parse_name(memberships[0].group)
        if name is None or engine is None:
            return False
        shape = engine.models.get(name.model)
        size = 1 if name.is_standby or shape is None else shape.size
        return sorted(one.rank for one in memberships) == list(range(size))

    def _adopt_group(
        self, key: tuple[str, int], servers: list[BackendServer], now: float
    ) -> None:
        name = groupnames.parse_name(key[0])
        engine = self._find_engine(servers[0].service)
        if name is None or engine is None:
            self._hosts.cleared.add(key)
            return
        ranked = sorted(
            (server.membership.rank, server)
            for server in servers
            if server.membership is not None
        )
        group = ManagedGroup(
            name=key[0],
            epoch=key[1],
            model=name.model,
            service=servers[0].service,
            members=tuple(server.server for _, server in ranked),
            is_standby=name.is_standby,
            phase=Phase.FORMING,
            now=now,
        )
        group.may_be_open = not name.is_standby
        self._groups[group.name] = group
        self._note(Step.FOUND, group)
        for server in servers:
            if server.membership is not None:
                self._note_membership(server.server, server.membership)
        group.joined = set(group.members)
        shape = engine.models.get(name.model)
        if shape is not None:
            group.due = now + shape.load_s
        if not self._is_whole(servers):
            group.has_head = ranked[0][0] == 0
            self._clear(group, "members are missing", now)
            return
        self._adopt_phase(group, now)

    def _adopt_phase(self, group: ManagedGroup, now: float) -> None:
        """Find out where a group that was found whole stands."""
        membership = self._hosts.servers[group.head].membership
        state = MemberState.JOINING if membership is None else membership.state
        if group.is_standby:
            return
        if state is MemberState.OPEN:
            group.move(Phase.SERVING, now)
            self._note(Step.SERVING, group, "found open")
            self._doubt(group, "it was found", now)
        else:
            # Its leader may have given it up, with orders to its members
            # still under way that come after it would have opened.
            self._clear(group, f"found {state.value}", now)

    def _move(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return what a group needs now."""
        match group.phase:
            case Phase.FORMING:
                return self._form(group, now)
            case Phase.OPENING:
                return self._open(group, now)
            case Phase.SERVING:
                return self._watch(group, now)
            case Phase.CLOSING:
                return self._close(group, now)
            case Phase.CLEARING:
                return self._take_apart(group, now)
            case Phase.STANDBY:
                if group.head not in self._hosts.servers:
                    self._remove(group)
                return []

    def _form(self, group: ManagedGroup, now: float) -> list[Effect]:
        if self._clear_unless_present(group, now):
            return []
        if now - group.due > FORM_LIMIT_S:
            self._clear(group, "it was not ready in time", now)
            return []
        if group.ready.issuperset(group.members):
            phase = Phase.STANDBY if group.is_standby else Phase.OPENING
            group.move(phase, now)
            self._note(Step.READY, group)
            return self._move(group, now)
        effects: list[Effect] = []
        for server in group.members:
            if server not in group.ready:
                effects += self._order_join(group, server, now)
        return effects

    def _clear_unless_present(self, group: ManagedGroup, now: float) -> bool:
        """Take a group apart that misses a member; tell whether it does."""
        for server in group.members:
            entry = self._hosts.servers.get(server)
            if entry is None or entry.is_leaving:
                self._clear(group, f"{server} is gone or leaves", now)
                return True
        return False

    def _order_join(
        self, group: ManagedGroup, server: str, now: float
    ) -> list[Effect]:
        """Order a host to join, until it answers that this is done.

        The answer to a join that is done tells at once that the host is
        ready; its report tells it 0.2 to 0.3 s later.

        A host that left a group whose head may still serve could obey a late
        order to join that group once more. So it must have obeyed nothing
        since it reported that it is in none.
        """
        join = Join(group.name, group.epoch, group.model, group.members)
        if not self._hosts.has_left_open_group(server):
            return self._command(server, join, now)
        obeyed = self._hosts.obeyed.get(server)
        if obeyed is None:
            return self._ask(server, ASK_S, now)
        return self._command(server, join._replace(expected=obeyed), now)

    def _open(self, group: ManagedGroup, now: float) -> list[Effect]:
        if self._clear_unless_present(group, now):
            return []
        if now - group.since > FORM_LIMIT_S:
            self._clear(group, "its head did not open", now)
            return []
        group.may_be_open = True
        return self._command(group.head, Open(group.name, group.epoch), now)

    def _watch(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Look after a group that serves."""
        head = self._hosts.servers.get(group.head)
        if head is None:
            self._clear(group, "the entry of its head was removed", now)
            return []
        for server in group.members:
            entry = self._hosts.servers.get(server)
            if entry is None:
                self._doubt(group, f"the entry of {server} was removed", now)
            elif entry.is_leaving:
                group.move(Phase.CLOSING, now, f"{server} leaves")
                self._note(Step.CLOSING, group, group.reason)
                return self._close(group, now)
            elif self._contradicts(group, entry, now):
                self._doubt(group, f"the entry of {server} differs", now)
        if group.doubted is None:
            return []
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._ask(server, ASK_S, now)
        return effects

    def _ask_witness(self, now: float) -> list[Effect]:
        """Ask a head that nobody doubts, when none of the doubted answers.

        Its answer tells a domain that went dark from a leader that is cut off.
        """
        if not self._needs_witness:
            return []
        self._needs_witness = False
        for group in self._groups.values():
            if group.phase is Phase.SERVING and group.doubted is None:
                return self._ask(group.head, ASK_S, now)
        return []

    def _contradicts(
        self, group: ManagedGroup, entry: BackendServer, now: float
    ) -> bool:
        """Tell whether an entry denies a membership that has settled."""
        if now - group.since < DARK_S:
            return False
        membership = entry.membership
        if membership is None or membership.epoch != group.epoch:
            return True
        return membership.state is MemberState.BROKEN

    def _close(self, group: ManagedGroup, now: float) -> list[Effect]:
        if group.head not in self._hosts.servers:
            self._clear(group, "the entry of its head was removed", now)
            return []
        if now - group.since > LONGEST_CLOSE_S:
            self._clear(group, "its head did not finish in time", now)
            return []
        if now - group.since < ASK_CLOSING_S:
            order = Close(group.name, group.epoch)
            return self._command(group.head, order, now)
        return self._ask(group.head, ASK_CLOSING_S, now)

    def _take_apart(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Get the head out, or each other member when it does not answer.

        A host must not join another group while it may be a member of one
        whose head may serve. It is free once the head is known to be out, or
        once it has confirmed itself that it left. An order to leave without
        an answer proves nothing, even if the host seems to be lost.
        """
        present = [one for one in group.awaited if one in self._hosts.servers]
        is_free = group.head_out or not group.may_be_open
        if is_free or not present:
            self._remove(group)
            return []
        leave = Leave(group.name, group.epoch)
        is_head_lost = not group.has_head or group.failures.get(group.head)
        if not is_head_lost and group.head in group.awaited:
            return self._command(group.head, leave, now)
        effects: list[Effect] = []
        for server in sorted(group.awaited):
            effects += self._command(server, leave, now)
        return effects

    def _remove(self, group: ManagedGroup) -> None:
        if group.head_out or not group.may_be_open:
            self._hosts.cleared.add((group.name, group.epoch))
        self._groups.pop(group.name, None)
        self._note(Step.GONE, group, group.reason)

    def _command(self, server: str, order: Order, now: float) -> list[Effect]:
        return self._dispatcher.command(self._hosts.find(server), order, now)

    def _ask(self, server: str, pause_s: float, now: float) -> list[Effect]:
        return self._dispatcher.ask(self._hosts.find(server), pause_s, now)

    def _plan(
        self, service: str, engine: EngineProfile, now: float
    ) -> list[Effect]:
        """Form groups of free hosts, and prepare those that are left."""
        plan = self._planner.plan(service, engine, now)
        effects: list[Effect] = []
        for host in plan.unheard:
            is_answering = self._hosts.is_answering(host.server)
            pause_s = RESEND_S if is_answering else ASK_LOST_S
            effects += self._ask(host.server, pause_s, now)
        for formation in plan.formations:
            effects += self._start_group(service, engine, formation, now)
        for preparation in plan.preparations:
            effects += self._start_standby(service, engine, preparation, now)
        for move in plan.moves:
            effects += self._close_for(move, now)
        for staging in plan.stagings:
            effects += self._stage(engine, staging, now)
        return effects

    def _close_for(self, move: Move, now: float) -> list[Effect]:
        """Let groups finish, since their hosts are needed for another model."""
        effects: list[Effect] = []
        for name in move.groups:
            group = self._groups[name]
            reason = f"its hosts are needed for {move.model}"
            group.move(Phase.CLOSING, now, reason)
            self._note(Step.CLOSING, group, reason)
            effects += self._close(group, now)
        return effects

    def _stage(
        self, engine: EngineProfile, staging: Staging, now: float
    ) -> list[Effect]:
        """Let a host stage a second model, as the weight store allows."""
        server = self._hosts.find(staging.server)
        if server is None or not self._planner.take_load(engine, now):
            return []
        self._planner.note_staging(staging, engine, now)
        return [Command(server, staging.order)]

    def _start_group(
        self,
        service: str,
        engine: EngineProfile,
        formation: Formation,
        now: float,
    ) -> list[Effect]:
        return self._start(
            service, engine, formation.model, formation.members, False, now
        )

    def _start_standby(
        self,
        service: str,
        engine: EngineProfile,
        preparation: Preparation,
        now: float,
    ) -> list[Effect]:
        """Let a host load a model, as the weight store allows."""
        if preparation.needs_load and not self._planner.take_load(engine, now):
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
        """Begin to form a group, or a standby host."""
        for server in members:
            self._end_standby(server)
        self._number += 1
        epoch = groupnames.make_epoch(self._term, self._number)
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
        expected = max(
            self._expect_join(engine, model, server) for server in members
        )
        group.due = now + expected
        for server in members:
            self._hosts.loaded.pop(server, None)
        self._groups[group.name] = group
        self._note(Step.PLANNED, group, f"ready in {expected:.1f} s")
        return self._form(group, now)

    def _end_standby(self, server: str) -> None:
        """Take a host out of its stand-by; its head never opened."""
        for group in list(self._groups.values()):
            if group.phase is Phase.STANDBY and group.head == server:
                self._remove(group)

    def _expect_join(
        self, engine: EngineProfile, model: str, server: str
    ) -> float:
        """Return the time until a host is ready, in seconds."""
        shape = engine.models[model]
        host = FreeHost(
            server=server,
            loaded=self._hosts.loaded.get(server, ""),
            staged=self._hosts.servers[server].staged,
            is_standby=False,
        )
        warmth = host.find_warmth(model)
        if warmth is Warmth.IN_MEMORY:
            return JOIN_S
        if warmth is Warmth.ON_HOST:
            return shape.warm_s
        return self._planner.expect_load(shape)
