"""The task that knows the installation: configuration, nodes, leader, groups.

It owns what a node believes and gets every change as a message.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
from returns.result import Failure

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.census import ModelCount
from chervilrock.decisions.serving.entries import NewestEntries
from chervilrock.decisions.serving.leadership import (
    Claim,
    Leadership,
    should_register,
)
from chervilrock.decisions.serving.orders import Stage
from chervilrock.decisions.serving.paces import (
    is_designated,
    list_designated,
    Reader,
)
from chervilrock.decisions.serving.revisions import RevisionWatch
from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.storewatch import StoreNews
from chervilrock.decisions.serving.terms import make_term
from chervilrock.decisions.serving.toldloads import ToldLoads
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    LeaderEntry,
    NodeEntry,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving.leading import Leading
from chervilrock.tasks.serving.limitreports import LimitReports
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    DocumentRead,
    EndsAnswered,
    LimitHeard,
    Message,
    OrderAnswered,
    PeerAnswered,
    ReadFailed,
    RecordsRead,
    RegistrationAnswered,
    ServerAnswered,
    ServerChecked,
    SilenceSeen,
    SuspectWritten,
)
from chervilrock.tasks.serving.outbound import (
    LEADER_KEY,
    NODE_PREFIX,
    Outbound,
    Ports,
    SUSPECT_PREFIX,
)
from chervilrock.tasks.serving.reads import StoreReads
from chervilrock.tasks.serving.relay import Relay
from chervilrock.tasks.serving.room import WaitingRoom
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.suspicion import Suspicion

TICK_S = 0.05
"""Longest time between two looks at what is due."""

NO_END = -1
"""Stands for no offset of a topic."""

_CONFIGURATION_KEY = "config"

_NODE_DECODER = msgspec.json.Decoder(NodeEntry)
_LEADER_DECODER = msgspec.json.Decoder(LeaderEntry)


class NodeTask:
    """Keeps the state of a node current, and leads when it is its turn."""

    def __init__(
        self,
        *,
        own: NodeEntry,
        ports: Ports,
        state: ServingState,
        room: WaitingRoom,
    ) -> None:
        """Know nothing yet.

        Args:
          own: this node.
          ports: what it reaches the outside by.
          state: what the handlers use.
          room: where requests wait for a place.
        """
        now = read_clock()
        self._own = own
        self._ports = ports
        self._state = state
        self._room = room
        self.mailbox: Mailbox[Message] = Mailbox(size=4096)
        self._leadership = Leadership(
            node=own.node, incarnation=own.incarnation, now=now
        )
        self._leading: Leading | None = None
        self._entries = NewestEntries()
        self._revisions = RevisionWatch()
        self._teller: NodeEntry | None = None
        self._told_loads = ToldLoads()
        self._is_designated = True
        self._era: int | None = None
        self._nodes_era: int | None = None
        self._end = 0
        self._tried_end = NO_END
        self._first_read: float | None = None
        self._first_term = -1
        self._document: bytes = b""
        self._document_taken = now
        self._is_claiming = False
        self._is_registering = False
        self._is_recorded = False
        self._outbound = Outbound(ports=ports, outbox=self.mailbox)
        self._reads = StoreReads(
            outbound=self._outbound,
            describe_reader=self._describe_reader,
            now=now,
        )
        self._relay = Relay(state=state, outbound=self._outbound)
        self.suspicion = Suspicion(state=state, outbound=self._outbound)
        self._limit_reports = LimitReports(state=state, outbound=self._outbound)

    async def run(self) -> None:
        """Work until cancelled."""
        self._reads.start()
        try:
            while True:
                message = await self.mailbox.receive_within(TICK_S)
                now = read_clock()
                if message is not None:
                    self._take(message, now)
                for other in self.mailbox.receive_waiting():
                    self._take(other, now)
                self._act(now)
        finally:
            self._stop_leading()
            self._outbound.close()

    @property
    def is_leader(self) -> bool:
        """Whether this node leads."""
        return self._leading is not None

    @property
    def counts(self) -> tuple[ModelCount, ...]:
        """What the hosts do, as the leader counts it; empty elsewhere."""
        return () if self._leading is None else self._leading.counts

    @property
    def is_needed(self) -> bool:
        """Whether other nodes have no other leader yet."""
        return self._leading is not None and self._leading.has_followers

    @property
    def is_relay(self) -> bool:
        """Whether this node passes on what the leader tells."""
        return self._relay.is_active(read_clock())

    def note_silence(self, group: str, now: float) -> None:
        """Tell the leader at once that the streams of a group have stopped."""
        if self._state.is_doubted(group, now):
            return
        self._state.doubt(group, now)
        if self._leading is not None:
            self._leading.note_silent(group, now)
            return
        leader = self._find_leader()
        if leader is not None:
            self._outbound.tell_silence(leader, group)

    def take_announcement(
        self, announcement: Announcement, now: float
    ) -> Acknowledgement:
        """Take what a leader tells, and answer it."""
        state = self._state
        relayed = None
        if announcement.term >= self._leadership.term:
            self._follow_leader(announcement, now)
            relayed = self._relay.pass_on(announcement, now)
        self._told_loads.note(announcement.term, state.own_loads)
        return Acknowledgement(
            term=self._leadership.term,
            node=self._own,
            is_taking_callers=not state.is_stopping
            and state.routes is not None,
            version=state.view.version,
            nodes_version=state.nodes_version,
            revision=state.revision,
            loads=state.own_loads,
            silent=state.list_doubted(now),
            has_traffic=state.has_traffic,
            relayed=relayed,
            suspects_version=state.suspects.version,
        )

    def list_callers_addresses(
        self, data_centre: str, now: float
    ) -> Iterable[str]:
        """Return the addresses that callers of a data centre should use."""
        leader = None
        claim = self._leadership.claim
        if claim is not None and (
            self.is_leader or self._leadership.is_heard(now)
        ):
            leader = claim.entry.node
        return self._state.list_callers_addresses(data_centre, leader, now)

    def get_document(self) -> bytes:
        """Return the document of the configuration in force."""
        return self._document

    def list_store_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since the store answered, by followed topic."""
        return {
            topic.value: self._reads.find_age(topic, now)
            for topic in Topic
            if self._is_read(topic)
        }

    def _is_read(self, topic: Topic) -> bool:
        """Tell whether this node follows a topic of the store now."""
        if topic is Topic.SERVERS:
            return self.is_leader
        return self._reads.is_read(topic)

    def find_revision_age(self, now: float) -> float:
        """Return the seconds since the revision came in force here."""
        return now - self._document_taken

    def find_revision_lag(self, now: float) -> float:
        """Return for how long another node has had a newer revision."""
        return self._revisions.find_lag(self._state.revision, now)

    def describe(self, now: float) -> dict[str, Any]:
        """Return what the node believes, for a dump of its state."""
        state = self._state
        leading = self._leading
        return {
            "node": self._own,
            "term": self._leadership.term,
            "leads": self.is_leader,
            "relays": self.is_relay,
            "leader": self._leadership.claim,
            "revision": state.revision,
            "revision_age_s": round(self.find_revision_age(now), 3),
            "revision_lag_s": round(self.find_revision_lag(now), 3),
            "store_ages_s": {
                topic: round(age, 3)
                for topic, age in self.list_store_ages(now).items()
            },
            "reads": [one.value for one in Topic if self._is_read(one)],
            "view": state.view,
            "view_age_s": round(now - state.view_time, 3),
            "nodes": state.nodes,
            "own_loads": state.own_loads,
            "doubted": state.list_doubted(now),
            "failing": state.list_failing(now),
            "short_models": state.shortages.list_short(now),
            "suspects": state.suspects.told,
            "withheld": state.suspects.list_withheld(),
            "waiting": len(self._room),
            "repeats": state.describe_budgets(),
            "limits": state.limits.list_limited(),
            "is_stopping": state.is_stopping,
            "groups": [] if leading is None else leading.describe(),
        }

    async def resign(self) -> None:
        """Tell all nodes that this one stops, so that another one leads.

        It leads until then: while the store is away nobody can take over, and
        without a leader no group is repaired and no node knows the requests of
        the others.
        """
        if self._leading is not None:
            await self._leading.resign(read_clock())

    def _step_down(self, reason: str) -> None:
        """Lead no more, and say why."""
        if self._leading is None:
            return
        emit(Event.LEADER_STEPPED_DOWN, term=self._leading.term, reason=reason)
        self._stop_leading()

    def _describe_reader(self) -> Reader:
        """Return what this node is, for the choice of its paces."""
        now = read_clock()
        return Reader(
            is_leader=self.is_leader,
            may_lead=self._state.routes is not None,
            is_following=self._leadership.is_followed(now),
            is_hearing=self._leadership.is_heard(now),
            rank=self._find_rank(),
            nodes=len(self._state.known_nodes),
            misses_store=self._reads.store.lost_at is not None,
            is_designated=self._is_designated or self.is_relay,
            is_registered=self._is_recorded,
            unled_s=self._leadership.find_unled(now),
            lag_s=self.find_revision_lag(now),
        )

    def _is_in_touch(self, now: float) -> bool:
        """Tell whether this node learns of nodes that are added."""
        if self.is_leader or self._leadership.is_heard(now):
            return True
        has_read = self._first_read is not None
        return has_read and self._reads.is_current(Topic.NODES)

    @property
    def _is_known(self) -> bool:
        """Whether the record of this node was read back."""
        return self._state.known_nodes.get(self._own.node) == self._own

    def _find_leader(self) -> NodeEntry | None:
        claim = self._leadership.claim
        if claim is None:
            return None
        known = self._state.known_nodes.get(claim.entry.node)
        if known is None or known.incarnation != claim.entry.incarnation:
            return None
        return known

    # Messages.

    def _take(self, message: Message, now: float) -> None:
        match message:
            case RecordsRead():
                self._note_store_answer(message.topic, now)
                self._note_era(message, now)
                self._take_records(message, now)
            case ReadFailed():
                self._reads.note_failure(message, now)
            case OrderAnswered():
                self._take_reply(message, now)
            case ServerAnswered():
                if self._leading is not None:
                    self._leading.note_report(message, now)
            case PeerAnswered():
                self._take_answer(message, now)
            case ClaimAnswered():
                self._take_claim_answer(message, now)
            case RegistrationAnswered():
                self._take_registration(message)
            case DocumentRead():
                self._take_document(message.document, message.source, now)
            case ServerChecked():
                self.suspicion.note_checked(message, now)
            case EndsAnswered():
                self.suspicion.note_answered(message, now)
            case SuspectWritten():
                self.suspicion.note_written(message)
            case LimitHeard():
                if self._leading is not None:
                    self._leading.note_limit(message.server, message.rate)
            case SilenceSeen():
                if self._leading is not None:
                    self._leading.note_silent(message.group, now)

    def _note_store_answer(self, topic: Topic, now: float) -> None:
        """Note that the store answered to a call of a topic."""
        if self._reads.note_answer(topic, now):
            self._renew_reads("the store answers again", topic)

    def _note_era(self, read: RecordsRead, now: float) -> None:
        """Read all anew when the store came back from a copy."""
        if self._era is None:
            self._era = read.page.era
        if read.page.era <= self._era:
            return
        emit(Event.STORE_RESTORED, era=read.page.era, former=self._era)
        self._era = read.page.era
        # The offset of a claim that was tried may be given out again.
        self._tried_end = NO_END
        self._entries.note_copy()
        self._reads.store.note_copy(now)
        self._renew_reads("the store came back from a copy", read.topic)

    def _renew_reads(self, reason: str, answered: Topic | None = None) -> None:
        """Begin all reads anew but that of the topic that was answered."""
        self._reads.renew_all(reason, answered)
        if self._leading is not None and answered is not Topic.SERVERS:
            self._leading.renew_reads()

    def _take_claim_answer(self, answered: ClaimAnswered, now: float) -> None:
        """Note whether a claim was written, and read what became of it."""
        self._is_claiming = False
        if not answered.is_answered:
            self._tried_end = NO_END
            self._reads.store.note_failure(
                Topic.NODES.value, now, is_silent=True
            )
        elif answered.is_overtaken:
            # Whatever was written meanwhile has to be read first.
            self._leadership.note_overtaken()
        else:
            self._tried_end = NO_END
        # A read that is held could be one that is never answered.
        self._reads.renew(Topic.NODES)

    def _take_registration(self, answered: RegistrationAnswered) -> None:
        """Note that this node is known, or try again."""
        if answered.offset is None:
            self._is_registering = False
            return
        self._is_recorded = True
        emit(
            Event.NODE_REGISTERED,
            node=self._own.node,
            offset=answered.offset,
        )

    def _take_records(self, read: RecordsRead, now: float) -> None:
        for offset in read.page.unreadable:
            emit(
                Event.RECORD_UNREADABLE,
                key=f"at {offset} of {read.topic.value}",
                reason="no key or value",
            )
        match read.topic:
            case Topic.CONFIGURATION:
                for record in read.page.records:
                    if record.key == _CONFIGURATION_KEY:
                        self._take_document(record.value, "the store", now)
            case Topic.NODES:
                self._take_nodes(read, now)
            case Topic.SERVERS:
                if self._leading is not None:
                    self._leading.note_servers(read, now)

    def _take_document(self, document: bytes, source: str, now: float) -> None:
        """Put a configuration in force if it is newer."""
        if not document:
            return
        decoded = self._ports.decode_configuration(document)
        if isinstance(decoded, Failure):
            reason = decoded.failure()
            emit(Event.CONFIGURATION_UNREADABLE, source=source, reason=reason)
            return
        configuration = decoded.unwrap()
        if configuration.revision <= self._state.revision:
            return
        self._state.routes = RouteTable(configuration=configuration)
        self._document = document
        self._document_taken = now
        if self._leading is not None:
            self._leading.set_configuration(configuration)
        keys = configuration.keys
        emit(
            Event.REVISION_IN_FORCE,
            revision=configuration.revision,
            source=source,
            routes=len(configuration.routes),
            keys=0 if keys is None else len(keys),
        )

    def _take_nodes(self, read: RecordsRead, now: float) -> None:
        """Take the records of nodes and of claims to lead."""
        known = self._state.known_nodes
        former_era = self._nodes_era
        is_copy = former_era is not None and read.page.era > former_era
        if read.is_snapshot:
            self._nodes_era = read.page.era
            self.suspicion.forget_kept()
        if read.is_snapshot and not is_copy:
            known.clear()
        for record in read.page.records:
            name = record.key.removeprefix(NODE_PREFIX)
            try:
                if record.key == LEADER_KEY:
                    entry = _LEADER_DECODER.decode(record.value)
                    term = make_term(read.page.era, record.offset)
                    self._take_claim(Claim(term, entry), now)
                elif record.key.startswith(SUSPECT_PREFIX):
                    content = record.key.removeprefix(SUSPECT_PREFIX)
                    self.suspicion.note_kept(content, record.value, now)
                elif not record.value:
                    known.pop(name, None)
                elif record.key.startswith(NODE_PREFIX):
                    self._take_node(_NODE_DECODER.decode(record.value), now)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                emit(Event.RECORD_UNREADABLE, key=record.key, reason=str(error))
        if is_copy and not self._is_recorded_in(read):
            self._is_registering = False
            self._is_recorded = False
        # This process may have taken the place of the leader itself.
        self._leadership.note_node(self._leadership.own_entry, now)
        self._end = read.page.next_offset
        if self._first_read is None:
            self._first_read = now
            self._first_term = self._leadership.term

    def _is_recorded_in(self, read: RecordsRead) -> bool:
        """Tell whether the record of this process is among those read."""
        value = msgspec.json.encode(self._own)
        return any(
            record.key == f"{NODE_PREFIX}{self._own.node}"
            and record.value == value
            for record in read.page.records
        )

    def _take_node(self, entry: NodeEntry, now: float) -> None:
        """Know a process that has registered."""
        self._state.known_nodes[entry.node] = entry
        self._leadership.note_node(
            LeaderEntry(entry.node, entry.incarnation), now
        )

    def _note_nodes(self, nodes: Iterable[NodeEntry], now: float) -> None:
        """Know the nodes that a leader tells of, read or not."""
        for entry in nodes:
            if self._state.known_nodes.get(entry.node) != entry:
                self._take_node(entry, now)
        self._is_designated = is_designated(self._own, nodes)

    def _take_claim(self, claim: Claim, now: float) -> None:
        if not self._leadership.note_claim(claim, now):
            return
        emit(
            Event.LEADER_CHANGED,
            term=claim.term,
            leader=claim.entry.node,
            own=self._leadership.is_leader,
        )
        if self._leadership.is_leader:
            self._lead(claim.term, now)
        else:
            self._step_down(f"{claim.entry.node} has claimed to lead")

    def _take_reply(self, answered: OrderAnswered, now: float) -> None:
        reply = answered.reply
        outcome = answered.detail if reply is None else reply.value
        order = answered.order
        if isinstance(order, Stage):
            emit(
                Event.STAGING_ANSWERED,
                server=answered.server,
                model=order.model,
                outcome=outcome,
            )
        else:
            emit(
                Event.ORDER_ANSWERED,
                server=answered.server,
                order=type(order).__name__.lower(),
                group=order.group,
                epoch=order.epoch,
                outcome=outcome,
            )
        if self._leading is not None:
            self._leading.note_reply(answered, now)

    def _take_answer(self, answered: PeerAnswered, now: float) -> None:
        """Take what came of an announcement, of the leader or of a relay."""
        answer = answered.acknowledgement
        if self._leading is None:
            self._relay.note_answered(answered, now)
        else:
            self._leading.note_answered(answered, now)
        if answer is None:
            return
        if answer.node.incarnation != answered.incarnation:
            # A new process has the address; its record may come later.
            self._take_node(answer.node, now)
            return
        relayed = -1 if answer.relayed is None else answer.relayed.term
        if max(answer.term, relayed) > self._leadership.term:
            self._step_down(f"{answer.node.node} knows a newer leader")

    # Following a leader.

    def _follow_leader(self, announcement: Announcement, now: float) -> None:
        state = self._state
        if announcement.term > self._leadership.term:
            leader = announcement.leader
            entry = LeaderEntry(leader.node, leader.incarnation)
            self._take_claim(Claim(announcement.term, entry), now)
        self._leadership.note_announcement(
            announcement.term,
            lost_after_s=announcement.lost_after_s,
            is_ending=announcement.is_cut_from_store
            or announcement.is_stopping,
            now=now,
        )
        if announcement.nodes is not None:
            state.nodes = announcement.nodes
            self._note_nodes(announcement.nodes, now)
            state.nodes_version = (
                announcement.term,
                announcement.nodes_sequence,
            )
        if announcement.suspects is not None:
            self.suspicion.note_told(
                (announcement.term, announcement.suspects_sequence),
                announcement.suspects,
                now,
            )
        counted = self._told_loads.find_counted(
            announcement.term, announcement.loads_lag
        )
        state.take_loads(
            announcement.loads,
            counted,
            senders=announcement.senders,
            now=now,
        )
        state.has_traffic = state.has_traffic or announcement.has_traffic
        view = announcement.view
        if view is not None and view.version > state.view.version:
            state.use_view(view, now)
        if state.view.version == (announcement.term, announcement.sequence):
            state.view_time = now
        if announcement.is_cut_from_store:
            self._reads.store.note_doubt(now)
        news = StoreNews(announcement.term, announcement.store_returns)
        if self._reads.store.note_news(news):
            self._renew_reads("the leader tells that the store is back")
        self._revisions.note_told(announcement.revision, state.revision, now)
        self._teller = announcement.leader
        self._room.notify()

    # Acting.

    def _act(self, now: float) -> None:
        """Do what is due."""
        self._register(now)
        self._reads.choose()
        self._claim(now)
        self._catch_up(now)
        self._suspect(now)
        self._state.refill_budgets(is_in_touch=self._is_in_touch(now), now=now)
        self._limit_reports.act(
            now, leading=self._leading, leader=self._find_leader()
        )
        if self._state.limits:
            # A request that waits may be sent when its time has come.
            self._room.notify()
        if self._leading is None:
            return
        view = self._state.view
        self._leading.act(now)
        if self._state.view is not view:
            self._room.notify()

    def _catch_up(self, now: float) -> None:
        """Get a configuration that the store has not given to this node."""
        state = self._state
        holder = self._teller
        if self._leading is not None:
            summary = self._leading.summary
            self._revisions.note_told(summary.revision, state.revision, now)
            holder = summary.holder
        is_reading = self._is_read(Topic.CONFIGURATION)
        if not self._revisions.is_due(
            state.revision, now, is_reading=is_reading
        ):
            return
        near = tuple(
            one
            for one in list_designated(self._own.data_centre, state.nodes)
            if one != self._own
        )
        source = self._revisions.choose_source(
            near, holder, state.generator, now
        )
        if source is not None:
            self._outbound.fetch_document(source)

    def _suspect(self, now: float) -> None:
        """Tell of requests that crash servers, and find which to withhold."""
        is_heard = self._leadership.is_heard(now)
        is_changed = self.suspicion.act(
            now,
            term=None if self._leading is None else self._leading.term,
            leader=self._find_leader() if is_heard else None,
            reaches_store=self._reads.store.lost_at is None,
        )
        if is_changed:
            # Those that wait for a place may have to go.
            self._room.notify()

    def _register(self, now: float) -> None:
        """Write the record of this node, once in its life, when it is time."""
        if self._is_registering or self._first_read is None:
            return
        leadership = self._leadership
        claim = leadership.claim
        is_new = leadership.term > self._first_term
        if not should_register(
            rank=self._find_rank(),
            is_led=is_new or leadership.is_heard(now),
            was_leader=claim is not None and claim.entry.node == self._own.node,
            waited_s=now - self._first_read,
        ):
            return
        self._is_registering = True
        self._outbound.register(self._own)

    def _claim(self, now: float) -> None:
        """Claim to lead when nobody does."""
        leadership = self._leadership
        state = self._state
        # Else the record of this node would overtake its claim.
        is_able = self._is_known and state.routes is not None
        # While reads fail, a claim would be a call that is paid for in vain.
        is_able = is_able and self._reads.is_current(Topic.NODES)
        if not is_able or self._is_claiming or state.is_stopping:
            return
        if self._end == self._tried_end:
            return
        nodes = len(state.known_nodes)
        if not leadership.should_claim(self._find_rank(), nodes, now):
            return
        leadership.note_try(now)
        self._is_claiming = True
        self._tried_end = self._end
        self._outbound.claim(leadership.own_entry, self._end)

    def _find_rank(self) -> int:
        """Return the place of this node in the order of claims.

        Nodes with more processor time come first: on a host with an eighth of
        a core, orders and questions of the leader ran into their timeouts.
        The last leader comes last, since it was lost just now.
        """
        claim = self._leadership.claim
        last = None if claim is None else claim.entry.incarnation

        def rank(one: NodeEntry) -> tuple[bool, float, NodeEntry]:
            return (one.incarnation == last, -one.cores, one)

        own = rank(self._own)
        others = self._state.known_nodes.values()
        return sum(
            rank(one) < own for one in others if one.node != self._own.node
        )

    def _lead(self, term: int, now: float) -> None:
        """Begin to lead, or to lead in a term of a later era."""
        was_leading = self._leading is not None
        self._stop_leading()
        self._leading = Leading(
            term=term,
            state=self._state,
            store=self._reads.store,
            outbound=self._outbound,
            decode_server=self._ports.decode_server,
            entries=self._entries,
        )
        if was_leading:
            self._leading.take_over(now)
        self._reads.begin_term(now)

    def _stop_leading(self) -> None:
        if self._leading is not None:
            self._leading.close()
            self._leading = None
