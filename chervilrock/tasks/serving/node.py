"""The task that holds a node's state: configuration, nodes, leader and groups.

The task owns this state and receives changes as messages.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
from returns.result import Failure

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.entries import NewestEntries
from chervilrock.decisions.serving.hostcounts import ModelCount
from chervilrock.decisions.serving.leadership import (
    Claim,
    Leadership,
    should_register,
)
from chervilrock.decisions.serving.orders import Stage
from chervilrock.decisions.serving.polling import (
    is_designated,
    list_designated,
    Reader,
)
from chervilrock.decisions.serving.reportedloads import ReportedLoads
from chervilrock.decisions.serving.revisions import RevisionTracker
from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.storehealth import StoreStatus
from chervilrock.decisions.serving.terms import make_term
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    LeaderEntry,
    NodeEntry,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving.leading import LeaderRole
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    CrashReportAnswered,
    DepartureReported,
    DocumentRead,
    LimitReported,
    Message,
    OrderAnswered,
    PausesReported,
    PeerAnswered,
    ReadFailed,
    RecordsRead,
    RegistrationAnswered,
    ServerAnswered,
    ServerChecked,
    StallReported,
    SuspectWritten,
)
from chervilrock.tasks.serving.outbound import (
    LEADER_KEY,
    NODE_PREFIX,
    Outbound,
    Ports,
    SUSPECT_PREFIX,
)
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.reads import StoreReads
from chervilrock.tasks.serving.relay import Relay
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.statementreports import StatementReports
from chervilrock.tasks.serving.waitqueue import WaitQueue

TICK_S = 0.05
"""Longest time between two checks for due actions."""

NO_OFFSET = -1
"""Marks the absence of a topic offset."""

_CONFIGURATION_KEY = "config"

_NODE_DECODER = msgspec.json.Decoder(NodeEntry)
_LEADER_DECODER = msgspec.json.Decoder(LeaderEntry)


class NodeTask:
    """Keeps the state of a node current, and leads while its claim is valid."""

    def __init__(
        self,
        *,
        own: NodeEntry,
        ports: Ports,
        state: ServingState,
        waitqueue: WaitQueue,
    ) -> None:
        """Create a task that has read nothing from the store yet.

        Args:
          own: this node.
          ports: clients and decoders for everything outside of the process.
          state: state that is shared with the request handlers.
          waitqueue: queue of the requests that wait for a slot.
        """
        now = read_clock()
        self._own = own
        self._ports = ports
        self._state = state
        self._waitqueue = waitqueue
        self.mailbox: Mailbox[Message] = Mailbox(size=4096)
        self._leadership = Leadership(
            node=own.node, incarnation=own.incarnation, now=now
        )
        self._leader_role: LeaderRole | None = None
        self._entries = NewestEntries()
        self._revisions = RevisionTracker()
        self._announcing_leader: NodeEntry | None = None
        self._reported_loads = ReportedLoads()
        self._is_designated = True
        self._store_era: int | None = None
        self._nodes_era: int | None = None
        self._next_nodes_offset = 0
        self._claimed_offset = NO_OFFSET
        self._first_read_time: float | None = None
        self._first_term = -1
        self._document: bytes = b""
        self._in_force_since = now
        self._is_claiming = False
        self._is_registering = False
        self._is_registered = False
        self._outbound = Outbound(ports=ports, outbox=self.mailbox)
        self._reads = StoreReads(
            outbound=self._outbound,
            describe_reader=self._describe_reader,
            now=now,
        )
        self._relay = Relay(state=state, outbound=self._outbound)
        self.poisondetector = PoisonDetector(
            state=state, outbound=self._outbound
        )
        self._statement_reports = StatementReports(
            state=state, outbound=self._outbound
        )

    async def run(self) -> None:
        """Handle messages and act until cancelled."""
        self._reads.start()
        try:
            while True:
                message = await self.mailbox.receive_within(self._find_tick())
                now = read_clock()
                if message is not None:
                    self._handle(message, now)
                for queued in self.mailbox.receive_waiting():
                    self._handle(queued, now)
                self._act(now)
        finally:
            self._stop_leading()
            self._outbound.close()

    def _find_tick(self) -> float:
        """Return the seconds until the next check for due actions.

        Requests that wait for the end of a pause are woken on time.
        """
        now = read_clock()
        pauses = self._state.statements.pauses
        return min(TICK_S, pauses.find_next_end(now))

    @property
    def is_leader(self) -> bool:
        """Whether this node leads."""
        return self._leader_role is not None

    @property
    def host_counts(self) -> tuple[ModelCount, ...]:
        """Host counts for each model; empty unless this node leads."""
        return (
            () if self._leader_role is None else self._leader_role.host_counts
        )

    @property
    def has_followers(self) -> bool:
        """Whether this node leads other nodes that accept callers."""
        return self._leader_role is not None and self._leader_role.has_followers

    @property
    def is_relay(self) -> bool:
        """Whether this node forwards announcements of the leader."""
        return self._relay.is_active(read_clock())

    def report_stall(self, group: str, now: float) -> None:
        """Report to the leader at once that streams of a group have stalled."""
        if self._state.is_avoided(group, now):
            return
        self._state.avoid(group, now)
        if self._leader_role is not None:
            self._leader_role.record_stall(group, now)
            return
        leader = self._find_leader()
        if leader is not None:
            self._outbound.send_stall_report(leader, group)

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Acknowledgement:
        """Apply an announcement of a leader and return its acknowledgement."""
        state = self._state
        relayed = None
        if announcement.term >= self._leadership.term:
            self._follow_leader(announcement, now)
            relayed = self._relay.forward(announcement, now)
        self._reported_loads.record(announcement.term, state.own_loads)
        return Acknowledgement(
            term=self._leadership.term,
            node=self._own,
            is_taking_callers=not state.is_stopping
            and state.routes is not None,
            version=state.view.version,
            nodes_version=state.nodes_version,
            revision=state.revision,
            loads=state.own_loads,
            stalled=state.list_avoided(now),
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
            self.is_leader or self._leadership.has_contact(now)
        ):
            leader = claim.entry.node
        return self._state.list_callers_addresses(data_centre, leader, now)

    def get_document(self) -> bytes:
        """Return the encoded document of the configuration in force."""
        return self._document

    def list_store_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since the last answer for each followed topic."""
        return {
            topic.value: self._reads.find_age(topic, now)
            for topic in Topic
            if self._is_read(topic)
        }

    def _is_read(self, topic: Topic) -> bool:
        """Return whether this node currently follows a topic of the store."""
        if topic is Topic.SERVERS:
            return self.is_leader
        return self._reads.is_read(topic)

    def find_revision_age(self, now: float) -> float:
        """Return the seconds since the revision came into force here."""
        return now - self._in_force_since

    def find_revision_lag(self, now: float) -> float:
        """Return for how many seconds another node has had a newer revision."""
        return self._revisions.find_lag(self._state.revision, now)

    def describe(self, now: float) -> dict[str, Any]:
        """Return the state of the node for a dump."""
        state = self._state
        leader_role = self._leader_role
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
            "reads": [topic.value for topic in Topic if self._is_read(topic)],
            "view": state.view,
            "view_age_s": round(now - state.view_time, 3),
            "nodes": state.nodes,
            "own_loads": state.own_loads,
            "doubted": state.list_avoided(now),
            "failing": state.list_failing(now),
            "short_models": state.shortages.list_short(now),
            "suspects": state.suspects.announced,
            "withheld": state.suspects.list_withheld(),
            "waiting": len(self._waitqueue),
            "repeats": state.describe_budgets(),
            "limits": state.statements.limits.list_limited(),
            "pauses": state.statements.pauses.list_pausing(now),
            "leaving": state.statements.departures.list_servers(),
            "usable_slots": {}
            if leader_role is None
            else leader_role.find_usable(now),
            "is_stopping": state.is_stopping,
            "groups": [] if leader_role is None else leader_role.describe(),
        }

    async def resign(self) -> None:
        """Announce to all nodes that this one stops, so that another one leads.

        The node leads until then: while the store is unavailable no node can
        take over, and without a leader no group is repaired and no node knows
        the loads of the others.
        """
        if self._leader_role is not None:
            await self._leader_role.resign(read_clock())

    def _step_down(self, reason: str) -> None:
        """Stop leading and log the reason."""
        if self._leader_role is None:
            return
        emit(
            Event.LEADER_STEPPED_DOWN,
            term=self._leader_role.term,
            reason=reason,
        )
        self._stop_leading()

    def _describe_reader(self) -> Reader:
        """Return the node's properties that determine its polling schedules."""
        now = read_clock()
        return Reader(
            is_leader=self.is_leader,
            may_lead=self._state.routes is not None,
            is_following=self._leadership.has_active_leader(now),
            has_leader_contact=self._leadership.has_contact(now),
            rank=self._find_rank(),
            nodes=len(self._state.known_nodes),
            is_store_unavailable=self._reads.store.unavailable_since
            is not None,
            is_designated=self._is_designated or self.is_relay,
            is_registered=self._is_registered,
            leaderless_s=self._leadership.find_leaderless_s(now),
            lag_s=self.find_revision_lag(now),
        )

    def _has_contact(self, now: float) -> bool:
        """Return whether this node is informed about added nodes."""
        if self.is_leader or self._leadership.has_contact(now):
            return True
        has_read = self._first_read_time is not None
        return has_read and self._reads.is_current(Topic.NODES)

    @property
    def _has_read_own_record(self) -> bool:
        """Whether the record of this node has been read back from the store."""
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

    def _handle(self, message: Message, now: float) -> None:
        match message:
            case RecordsRead():
                self._record_store_answer(message.topic, now)
                self._check_era(message, now)
                self._handle_records(message, now)
            case ReadFailed():
                self._reads.record_failure(message, now)
            case OrderAnswered():
                self._handle_order_answer(message, now)
            case ServerAnswered():
                if self._leader_role is not None:
                    self._leader_role.record_report(message, now)
            case PeerAnswered():
                self._handle_peer_answer(message, now)
            case ClaimAnswered():
                self._handle_claim_answer(message, now)
            case RegistrationAnswered():
                self._handle_registration_answer(message)
            case DocumentRead():
                self._apply_document(message.document, message.source, now)
            case ServerChecked():
                self.poisondetector.record_checked(message, now)
            case CrashReportAnswered():
                self.poisondetector.record_answered(message, now)
            case SuspectWritten():
                self.poisondetector.record_written(message)
            case LimitReported() | DepartureReported() | PausesReported():
                if self._leader_role is not None:
                    self._leader_role.record_statement(message, now)
            case StallReported():
                if self._leader_role is not None:
                    self._leader_role.record_stall(message.group, now)

    def _record_store_answer(self, topic: Topic, now: float) -> None:
        """Record an answer of the store to a call for a topic."""
        if self._reads.record_answer(topic, now):
            self._renew_reads("the store answers again", topic)

    def _check_era(self, read: RecordsRead, now: float) -> None:
        """Restart all reads if the store was restored from a backup."""
        if self._store_era is None:
            self._store_era = read.page.era
        if read.page.era <= self._store_era:
            return
        emit(Event.STORE_RESTORED, era=read.page.era, former=self._store_era)
        self._store_era = read.page.era
        # The restored store may reuse the offset of an earlier claim.
        self._claimed_offset = NO_OFFSET
        self._entries.record_restore()
        self._reads.store.record_restore(now)
        self._renew_reads("the store was restored from a backup", read.topic)

    def _renew_reads(self, reason: str, answered: Topic | None = None) -> None:
        """Restart all reads except that of the topic that was answered."""
        self._reads.renew_all(reason, answered)
        if self._leader_role is not None and answered is not Topic.SERVERS:
            self._leader_role.renew_reads()

    def _handle_claim_answer(self, answered: ClaimAnswered, now: float) -> None:
        """Record whether a claim was written, and read the topic again."""
        self._is_claiming = False
        if not answered.is_answered:
            self._claimed_offset = NO_OFFSET
            self._reads.store.record_failure(
                Topic.NODES.value, now, is_timeout=True
            )
        elif answered.is_outdated:
            # The records written in the meantime have to be read first.
            self._leadership.record_claim_conflict()
        else:
            self._claimed_offset = NO_OFFSET
        # The pending long poll may be one that is never answered.
        self._reads.renew(Topic.NODES)

    def _handle_registration_answer(
        self, answered: RegistrationAnswered
    ) -> None:
        """Record that this node is registered, or allow another attempt."""
        if answered.offset is None:
            self._is_registering = False
            return
        self._is_registered = True
        emit(
            Event.NODE_REGISTERED,
            node=self._own.node,
            offset=answered.offset,
        )

    def _handle_records(self, read: RecordsRead, now: float) -> None:
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
                        self._apply_document(record.value, "the store", now)
            case Topic.NODES:
                self._handle_node_records(read, now)
            case Topic.SERVERS:
                if self._leader_role is not None:
                    self._leader_role.record_servers(read, now)

    def _apply_document(self, document: bytes, source: str, now: float) -> None:
        """Put a configuration into force if it is newer."""
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
        self._in_force_since = now
        if self._leader_role is not None:
            self._leader_role.set_configuration(configuration)
        keys = configuration.keys
        emit(
            Event.REVISION_IN_FORCE,
            revision=configuration.revision,
            source=source,
            routes=len(configuration.routes),
            keys=0 if keys is None else len(keys),
        )

    def _handle_node_records(self, read: RecordsRead, now: float) -> None:
        """Apply records of nodes, of leadership claims and of suspects."""
        known = self._state.known_nodes
        former_era = self._nodes_era
        is_restored = former_era is not None and read.page.era > former_era
        if read.is_snapshot:
            self._nodes_era = read.page.era
            self.poisondetector.forget_stored()
        if read.is_snapshot and not is_restored:
            known.clear()
        for record in read.page.records:
            name = record.key.removeprefix(NODE_PREFIX)
            try:
                if record.key == LEADER_KEY:
                    entry = _LEADER_DECODER.decode(record.value)
                    term = make_term(read.page.era, record.offset)
                    self._apply_claim(Claim(term, entry), now)
                elif record.key.startswith(SUSPECT_PREFIX):
                    content = record.key.removeprefix(SUSPECT_PREFIX)
                    self.poisondetector.record_stored(
                        content, record.value, now
                    )
                elif not record.value:
                    known.pop(name, None)
                elif record.key.startswith(NODE_PREFIX):
                    self._add_node(_NODE_DECODER.decode(record.value), now)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                emit(Event.RECORD_UNREADABLE, key=record.key, reason=str(error))
        if is_restored and not self._contains_own_record(read):
            self._is_registering = False
            self._is_registered = False
        # This process may itself be the successor of the leader's process.
        self._leadership.record_node(self._leadership.own_entry, now)
        self._next_nodes_offset = read.page.next_offset
        if self._first_read_time is None:
            self._first_read_time = now
            self._first_term = self._leadership.term

    def _contains_own_record(self, read: RecordsRead) -> bool:
        """Return whether the page contains the record of this process."""
        value = msgspec.json.encode(self._own)
        return any(
            record.key == f"{NODE_PREFIX}{self._own.node}"
            and record.value == value
            for record in read.page.records
        )

    def _add_node(self, entry: NodeEntry, now: float) -> None:
        """Add the entry of a node process."""
        self._state.known_nodes[entry.node] = entry
        self._leadership.record_node(
            LeaderEntry(entry.node, entry.incarnation), now
        )

    def _add_announced_nodes(
        self, nodes: Iterable[NodeEntry], now: float
    ) -> None:
        """Add announced nodes, whether or not the store returned them."""
        for entry in nodes:
            if self._state.known_nodes.get(entry.node) != entry:
                self._add_node(entry, now)
        self._is_designated = is_designated(self._own, nodes)

    def _apply_claim(self, claim: Claim, now: float) -> None:
        if not self._leadership.record_claim(claim, now):
            return
        emit(
            Event.LEADER_CHANGED,
            term=claim.term,
            leader=claim.entry.node,
            own=self._leadership.is_leader,
        )
        if self._leadership.is_leader:
            self._start_leading(claim.term, now)
        else:
            self._step_down(f"{claim.entry.node} has claimed to lead")

    def _handle_order_answer(self, answered: OrderAnswered, now: float) -> None:
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
        if self._leader_role is not None:
            self._leader_role.record_reply(answered, now)

    def _handle_peer_answer(self, answered: PeerAnswered, now: float) -> None:
        """Handle the answer to an announcement by the leader or a relay."""
        answer = answered.acknowledgement
        if self._leader_role is None:
            self._relay.record_answered(answered, now)
        else:
            self._leader_role.record_answered(answered, now)
        if answer is None:
            return
        if answer.node.incarnation != answered.incarnation:
            # A new process uses the address; its record may arrive later.
            self._add_node(answer.node, now)
            return
        relayed = -1 if answer.relayed is None else answer.relayed.term
        if max(answer.term, relayed) > self._leadership.term:
            self._step_down(f"{answer.node.node} has a newer leader")

    # Following a leader.

    def _follow_leader(self, announcement: Announcement, now: float) -> None:
        state = self._state
        if announcement.term > self._leadership.term:
            leader = announcement.leader
            entry = LeaderEntry(leader.node, leader.incarnation)
            self._apply_claim(Claim(announcement.term, entry), now)
        self._leadership.record_announcement(
            announcement.term,
            lost_after_s=announcement.lost_after_s,
            is_stepping_down=announcement.is_store_unreachable
            or announcement.is_stopping,
            now=now,
        )
        if announcement.nodes is not None:
            state.nodes = announcement.nodes
            self._add_announced_nodes(announcement.nodes, now)
            state.nodes_version = (
                announcement.term,
                announcement.nodes_sequence,
            )
        if announcement.suspects is not None:
            self.poisondetector.record_announced(
                (announcement.term, announcement.suspects_sequence),
                announcement.suspects,
                now,
            )
        counted = self._reported_loads.find_included(
            announcement.term, announcement.loads_lag
        )
        state.apply_loads(
            announcement.loads,
            counted,
            senders=announcement.senders,
            now=now,
        )
        state.has_traffic = state.has_traffic or announcement.has_traffic
        view = announcement.view
        if view is not None and view.version > state.view.version:
            state.apply_view(view, now)
        if state.view.version == (announcement.term, announcement.sequence):
            state.view_time = now
        if announcement.is_store_unreachable:
            self._reads.store.record_leader_outage(now)
        store_status = StoreStatus(
            announcement.term, announcement.store_recoveries
        )
        if self._reads.store.record_status(store_status):
            self._renew_reads("the leader announced that the store recovered")
        self._revisions.record_reported(
            announcement.revision, state.revision, now
        )
        self._announcing_leader = announcement.leader
        self._waitqueue.notify()

    # Acting.

    def _act(self, now: float) -> None:
        """Perform all actions that are due."""
        self._register(now)
        self._reads.update()
        self._claim_leadership(now)
        self._fetch_missing_revision(now)
        self._update_suspects(now)
        self._state.refill_budgets(is_in_touch=self._has_contact(now), now=now)
        self._statement_reports.act(
            now, leading=self._leader_role, leader=self._find_leader()
        )
        if self._state.statements:
            self._state.statements.expire(now)
            # A limit or the end of a pause may now admit a waiting request.
            self._waitqueue.notify()
        if self._leader_role is None:
            return
        view = self._state.view
        self._leader_role.act(now)
        if self._state.view is not view:
            self._waitqueue.notify()

    def _fetch_missing_revision(self, now: float) -> None:
        """Fetch a newer revision from a node if the store did not return it."""
        state = self._state
        holder = self._announcing_leader
        if self._leader_role is not None:
            summary = self._leader_role.summary
            self._revisions.record_reported(
                summary.revision, state.revision, now
            )
            holder = summary.holder
        is_reading = self._is_read(Topic.CONFIGURATION)
        if not self._revisions.is_due(
            state.revision, now, is_reading=is_reading
        ):
            return
        local_nodes = tuple(
            node
            for node in list_designated(self._own.data_centre, state.nodes)
            if node != self._own
        )
        source = self._revisions.choose_source(
            local_nodes, holder, state.generator, now
        )
        if source is not None:
            self._outbound.fetch_document(source)

    def _update_suspects(self, now: float) -> None:
        """Report requests that crash servers, and update which are withheld."""
        has_contact = self._leadership.has_contact(now)
        is_changed = self.poisondetector.act(
            now,
            term=None if self._leader_role is None else self._leader_role.term,
            leader=self._find_leader() if has_contact else None,
            reaches_store=self._reads.store.unavailable_since is None,
        )
        if is_changed:
            # Waiting requests may have to be rejected.
            self._waitqueue.notify()

    def _register(self, now: float) -> None:
        """Write the record of this node when due, once per incarnation."""
        if self._is_registering or self._first_read_time is None:
            return
        leadership = self._leadership
        claim = leadership.claim
        is_new = leadership.term > self._first_term
        if not should_register(
            rank=self._find_rank(),
            has_leader=is_new or leadership.has_contact(now),
            was_leader=claim is not None and claim.entry.node == self._own.node,
            waited_s=now - self._first_read_time,
        ):
            return
        self._is_registering = True
        self._outbound.register(self._own)

    def _claim_leadership(self, now: float) -> None:
        """Claim leadership if no node leads."""
        leadership = self._leadership
        state = self._state
        # Otherwise the record of this node would overtake its own claim.
        is_able = self._has_read_own_record and state.routes is not None
        # While reads fail, a claim would be billed without any use.
        is_able = is_able and self._reads.is_current(Topic.NODES)
        if not is_able or self._is_claiming or state.is_stopping:
            return
        if self._next_nodes_offset == self._claimed_offset:
            return
        nodes = len(state.known_nodes)
        if not leadership.should_claim(self._find_rank(), nodes, now):
            return
        leadership.record_claim_attempt(now)
        self._is_claiming = True
        self._claimed_offset = self._next_nodes_offset
        self._outbound.claim(leadership.own_entry, self._next_nodes_offset)

    def _find_rank(self) -> int:
        """Return the rank of this node in the order of claims.

        Nodes with more processor time come first: on a host with an eighth of
        a core, the leader's orders and status queries time out. The previous
        leader comes last, since it has just been lost.
        """
        claim = self._leadership.claim
        last_incarnation = None if claim is None else claim.entry.incarnation

        def make_sort_key(node: NodeEntry) -> tuple[bool, float, NodeEntry]:
            return (node.incarnation == last_incarnation, -node.cores, node)

        own = make_sort_key(self._own)
        others = self._state.known_nodes.values()
        return sum(
            make_sort_key(node) < own
            for node in others
            if node.node != self._own.node
        )

    def _start_leading(self, term: int, now: float) -> None:
        """Start to lead, or continue in a new term after a restored backup."""
        was_leading = self._leader_role is not None
        self._stop_leading()
        self._leader_role = LeaderRole(
            term=term,
            state=self._state,
            store=self._reads.store,
            outbound=self._outbound,
            decode_server=self._ports.decode_server,
            entries=self._entries,
        )
        if was_leading:
            self._leader_role.keep_known_servers(now)
        self._reads.begin_term(now)

    def _stop_leading(self) -> None:
        if self._leader_role is not None:
            self._leader_role.close()
            self._leader_role = None
