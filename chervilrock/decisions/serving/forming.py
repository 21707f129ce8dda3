"""Groups on their way from a plan to their first request."""

from chervilrock.decisions.serving import groupnames
from chervilrock.decisions.serving.doubts import ASK_S
from chervilrock.decisions.serving.effects import Effect, Step
from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.orders import Join, Open, OrderReply
from chervilrock.decisions.serving.plan import (
    Formation,
    FreeHost,
    Preparation,
    Warmth,
)
from chervilrock.decisions.serving.planning import Planner
from chervilrock.decisions.serving.site import EngineProfile

JOIN_S = 0.2
"""Time of a join when the weights are in memory."""

FORM_LIMIT_S = 6.0
"""Time beyond the expected one after which a formation is given up."""


class Forming:
    """Lets hosts join groups, and opens the groups that are ready."""

    def __init__(
        self, *, board: GroupBoard, planner: Planner, term: int
    ) -> None:
        """Have formed nothing in a term.

        Args:
          board: where the groups go.
          planner: knows how long loads take, and how many there may be.
          term: the term; epochs begin with it.
        """
        self._board = board
        self._planner = planner
        self._term = term
        self._number = 0

    def note_join(
        self,
        group: ManagedGroup,
        server: str,
        reply: OrderReply | None,
        now: float,
    ) -> None:
        """Take the answer to an order to join."""
        if reply is OrderReply.CONFLICT:
            self._board.hosts.obeyed.pop(server, None)
        if reply is OrderReply.DONE:
            group.ready.add(server)
            self._board.hosts.loaded[server] = group.model
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            group.joined.add(server)
            self._board.hosts.note_joined(server)
            order = Join(group.name, group.epoch, group.model, group.members)
            until = max(group.due, now + ASK_S)
            self._board.dispatcher.hold(server, order, until)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            reason = f"{server} refused to join: {reply.value}"
            self._board.clear(group, reason, now)

    def note_open(
        self, group: ManagedGroup, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order to open."""
        if group.phase is not Phase.OPENING:
            return
        if reply in (OrderReply.STARTED, OrderReply.DONE):
            engine = self._board.find_engine(group.service)
            form_s = 0.0 if engine is None else engine.form_s
            group.served_at = now + form_s
            group.joined.clear()
            group.move(Phase.SERVING, now)
            self._board.note(Step.SERVING, group)
        elif reply in (OrderReply.STALE, OrderReply.MISDIRECTED):
            self._board.clear(
                group, f"its head refused to open: {reply.value}", now
            )

    def form(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return what a group needs whose members join."""
        if self._clear_unless_present(group, now):
            return []
        if now - group.due > FORM_LIMIT_S:
            self._board.clear(group, "it was not ready in time", now)
            return []
        if group.ready.issuperset(group.members):
            phase = Phase.STANDBY if group.is_standby else Phase.OPENING
            group.move(phase, now)
            self._board.note(Step.READY, group)
            return [] if group.is_standby else self.open(group, now)
        effects: list[Effect] = []
        for server in group.members:
            if server not in group.ready:
                effects += self._order_join(group, server, now)
        return effects

    def _clear_unless_present(self, group: ManagedGroup, now: float) -> bool:
        """Take a group apart that cannot have a member; tell whether it is."""
        for server in group.members:
            entry = self._board.hosts.servers.get(server)
            if entry is None or entry.is_leaving:
                self._board.clear(group, f"{server} is gone or leaves", now)
                return True
            if server not in group.joined and self._is_taken(group, server):
                self._board.clear(group, f"{server} is in another group", now)
                return True
        return False

    def _is_taken(self, group: ManagedGroup, server: str) -> bool:
        """Tell whether a server has told that it is in another group."""
        reported = self._board.hosts.find_reported(server)
        return reported is not None and reported.epoch != group.epoch

    def _order_join(
        self, group: ManagedGroup, server: str, now: float
    ) -> list[Effect]:
        """Order a host to join, until it answers that this is done.

        The answer to a join that is done tells at once that the host is
        ready; its report tells it 0.2 to 0.3 s later.

        A host may have obeyed an order of a former leader since its report,
        or a late one to join its former group, whose head then serves with
        it. So its first join holds only if it has obeyed nothing since.
        """
        join = Join(group.name, group.epoch, group.model, group.members)
        if not self._board.hosts.must_be_unchanged(server):
            return self._board.command(server, join, now)
        obeyed = self._board.hosts.obeyed.get(server)
        if obeyed is None:
            return self._board.ask(server, ASK_S, now)
        return self._board.command(server, join._replace(expected=obeyed), now)

    def open(self, group: ManagedGroup, now: float) -> list[Effect]:
        """Return what a group needs whose members are ready."""
        if self._clear_unless_present(group, now):
            return []
        if now - group.since > FORM_LIMIT_S:
            self._board.clear(group, "its head did not open", now)
            return []
        group.may_be_open = True
        return self._board.command(
            group.head, Open(group.name, group.epoch), now
        )

    def start_group(
        self,
        service: str,
        engine: EngineProfile,
        formation: Formation,
        now: float,
    ) -> list[Effect]:
        """Begin to form a group."""
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
            self._board.hosts.loaded.pop(server, None)
        self._board.groups[group.name] = group
        self._board.note(Step.PLANNED, group, f"ready in {expected:.1f} s")
        return self.form(group, now)

    def _end_standby(self, server: str) -> None:
        """Take a host out of its stand-by; its head never opened."""
        for group in list(self._board.groups.values()):
            if group.phase is Phase.STANDBY and group.head == server:
                self._board.remove(group)

    def _expect_join(
        self, engine: EngineProfile, model: str, server: str
    ) -> float:
        """Return the time until a host is ready, in seconds."""
        shape = engine.models[model]
        host = FreeHost(
            server=server,
            loaded=self._board.hosts.loaded.get(server, ""),
            staged=self._board.hosts.servers[server].staged,
            is_standby=False,
        )
        warmth = host.find_warmth(model)
        if warmth is Warmth.IN_MEMORY:
            return JOIN_S
        if warmth is Warmth.ON_HOST:
            return shape.warm_s
        return self._planner.expect_load(shape)
