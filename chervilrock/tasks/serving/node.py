"""The task that holds a node's state: configuration, nodes, leader and groups.

The task owns this state and receives changes as messages.
"""

from collections.abc import Iterable
from typing import Any

from chervilrock.clients.serving import KeyedRecord, Topic
from chervilrock.decisions.serving.groups.orders import Stage
from chervilrock.decisions.serving.nodes.leadercontact import LeaderContact
from chervilrock.decisions.serving.nodes.leadership import (
    Claim,
    Leadership,
)
from chervilrock.decisions.serving.planning.hostcounts import ModelCount
from chervilrock.decisions.serving.servers.entries import NewestEntries
from chervilrock.decisions.serving.store.polling import (
    Reader,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    NodeEntry,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving.configuration import ConfigurationKeeper
from chervilrock.tasks.serving.election import Election
from chervilrock.tasks.serving.evacuationkeeper import EvacuationKeeper
from chervilrock.tasks.serving.faults import Work
from chervilrock.tasks.serving.following import LeaderFollowing
from chervilrock.tasks.serving.leaderprobe import LeaderProbe
from chervilrock.tasks.serving.leading import LeaderRole
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    ContactsAnswered,
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
    ServersProbed,
    StallReported,
    SuspectWritten,
)
from chervilrock.tasks.serving.noderecords import NodeRecords
from chervilrock.tasks.serving.outbound import (
    Outbound,
    Ports,
)
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.reads import StoreReads
from chervilrock.tasks.serving.relay import Relay
from chervilrock.tasks.serving.serverprobes import ServerProbes
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.statementreports import StatementReports
from chervilrock.tasks.serving.waitqueue import WaitQueue

TICK_S = 0.05
"""Longest time between two checks for due actions."""

_CONFIGURATION_KEY = "config"


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
        self._store_era: int | None = None
        self._outbound = Outbound(
            ports=ports, outbox=self.mailbox, faults=state.faults
        )
        self._reads = StoreReads(
            outbound=self._outbound,
            describe_reader=self._describe_reader,
            now=now,
        )
        self._relay = Relay(state=state, outbound=self._outbound)
        self.poisondetector = PoisonDetector(
            state=state, outbound=self._outbound
        )
        self._records = NodeRecords(
            own=own,
            state=state,
            leadership=self._leadership,
            poisondetector=self.poisondetector,
            apply_claim=self._apply_claim,
        )
        self._election = Election(
            own=own,
            state=state,
            leadership=self._leadership,
            records=self._records,
            outbound=self._outbound,
            reads=self._reads,
        )
        self.leader_probe = LeaderProbe(
            own=own,
            state=state,
            leadership=self._leadership,
            records=self._records,
            outbound=self._outbound,
        )
        self._configuration = ConfigurationKeeper(
            own=own,
            state=state,
            outbound=self._outbound,
            decode=ports.decode_configuration,
            now=now,
        )
        self._evacuations = EvacuationKeeper(
            state=state, decode=ports.decode_evacuation
        )
        self._following = LeaderFollowing(
            own=own,
            state=state,
            leadership=self._leadership,
            records=self._records,
            relay=self._relay,
            poisondetector=self.poisondetector,
            configuration=self._configuration,
            evacuations=self._evacuations,
            reads=self._reads,
            waitqueue=waitqueue,
            apply_claim=self._apply_claim,
            renew_reads=self._renew_reads,
        )
        self._probes = ServerProbes(
            state=state, outbound=self._outbound, waitqueue=waitqueue
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
        if self._state.reachability.is_cut_off:
            # The streams say nothing about the group.
            return
        self._state.avoid(group, now)
        if self._leader_role is not None:
            self._leader_role.record_stall(group, now)
            return
        leader = self._records.find_leader()
        if leader is not None:
            self._outbound.send_stall_report(leader, group)

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> Acknowledgement:
        """Apply an announcement of a leader and return its acknowledgement."""
        return self._following.handle(announcement, now)

    def find_contact(self, now: float) -> LeaderContact:
        """Return what a node that asks about the leader is answered."""
        # Nodes should not wait for a leader that another one has to replace.
        is_staying = (
            not self._state.is_stopping
            and not self._reads.store.is_unreachable(now)
        )
        return self.leader_probe.find_contact(
            now, is_leader=self.is_leader and is_staying
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
        return self._configuration.document

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

    @property
    def is_configuration_unreadable(self) -> bool:
        """Whether the last configuration that was read is not understood."""
        return bool(self._configuration.unreadable)

    def find_revision_age(self, now: float) -> float:
        """Return the seconds since the revision came into force here."""
        return self._configuration.find_age(now)

    def find_revision_lag(self, now: float) -> float:
        """Return for how many seconds another node has had a newer revision."""
        return self._configuration.find_lag(now)

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
            "leader_probe": self.leader_probe.describe(),
            "revision": state.revision,
            "configuration_unreadable": self._configuration.unreadable,
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
            "startup": state.startup.describe(now),
            "priorities": state.admission.describe(now),
            "repeats": state.describe_budgets(),
            "limits": state.statements.limits.list_limited(),
            "cold": state.statements.limits.list_cold(),
            "pauses": state.statements.pauses.list_pausing(now),
            "leaving": state.statements.departures.list_servers(),
            "evacuations": state.evacuations.describe(now),
            "usable_slots": {}
            if leader_role is None
            else leader_role.find_usable(now),
            "reachability": state.reachability.describe(now),
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
            rank=self._election.find_rank(),
            nodes=len(self._state.known_nodes),
            is_store_unavailable=self._reads.store.unavailable_since
            is not None,
            is_designated=self._records.is_designated or self.is_relay,
            is_registered=self._election.is_registered,
            leaderless_s=self._leadership.find_leaderless_s(now),
            lag_s=self.find_revision_lag(now),
        )

    def _has_contact(self, now: float) -> bool:
        """Return whether this node is informed about added nodes."""
        if self.is_leader or self._leadership.has_contact(now):
            return True
        has_read = self._records.first_read_time is not None
        return has_read and self._reads.is_current(Topic.NODES)

    # Messages.

    def _handle(self, message: Message, now: float) -> None:
        """Handle a message; a fault in it does not end the node."""
        with self._state.faults.survive(Work.MESSAGE, type(message).__name__):
            self._dispatch(message, now)

    def _dispatch(self, message: Message, now: float) -> None:
        match message:
            case RecordsRead():
                self._record_store_answer(message.topic, now)
                self._check_era(message, now)
                self._handle_records(message, now)
            case ReadFailed():
                self._reads.record_failure(message, now)
                if (
                    self._leader_role is not None
                    and message.topic is Topic.SERVERS
                ):
                    self._leader_role.record_failed_read()
            case OrderAnswered():
                self._handle_order_answer(message, now)
            case ServerAnswered():
                if self._leader_role is not None:
                    self._leader_role.record_report(message, now)
            case PeerAnswered():
                self._handle_peer_answer(message, now)
            case ClaimAnswered():
                self._election.record_claim(message, now)
            case RegistrationAnswered():
                self._election.record_registration(message)
            case ContactsAnswered():
                self.leader_probe.record(message, now)
            case DocumentRead():
                self._apply_document(message.document, message.source, now)
            case ServerChecked():
                self.poisondetector.record_checked(message, now)
            case ServersProbed():
                self._probes.record(message, now)
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
        self._election.forget_claim()
        self._entries.record_restore()
        self._reads.store.record_restore(now)
        self._renew_reads("the store was restored from a backup", read.topic)

    def _renew_reads(self, reason: str, answered: Topic | None = None) -> None:
        """Restart all reads except that of the topic that was answered."""
        self._reads.renew_all(reason, answered)
        if self._leader_role is not None and answered is not Topic.SERVERS:
            self._leader_role.renew_reads()

    def _handle_records(self, read: RecordsRead, now: float) -> None:
        for offset in read.page.unreadable:
            self._state.faults.record_unreadable(
                read.topic, f"at {offset}", "no key or value"
            )
        match read.topic:
            case Topic.CONFIGURATION:
                self._state.faults.apply_records(
                    read, lambda record: self._apply_configuration(record, now)
                )
                self._evacuations.apply(read, now)
            case Topic.NODES:
                if self._records.apply(read, now):
                    self._election.forget_registration()
            case Topic.SERVERS:
                if self._leader_role is not None:
                    self._leader_role.record_servers(read, now)

    def _apply_configuration(self, record: KeyedRecord, now: float) -> None:
        """Apply a record of the operator's topic if it is a configuration."""
        if record.key == _CONFIGURATION_KEY:
            self._apply_document(record.value, "the store", now)

    def _apply_claim(self, claim: Claim, now: float) -> None:
        former = self._leadership.claim
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
            if former is not None and self._leader_role is not None:
                incarnation = former.entry.incarnation
                self._leader_role.record_predecessor(incarnation, now)
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
        self._evacuations.merge_answered(answer, now)
        if answer.node.incarnation != answered.incarnation:
            # A new process uses the address; its record may arrive later.
            self._records.add(answer.node, now)
            return
        relayed = -1 if answer.relayed is None else answer.relayed.term
        if max(answer.term, relayed) > self._leadership.term:
            self._step_down(f"{answer.node.node} has a newer leader")

    # Acting.

    def _act(self, now: float) -> None:
        """Perform all actions that are due."""
        self.leader_probe.act(self._election.find_rank, now)
        self._election.act(now)
        self._fetch_missing_revision(now)
        self._probes.act(now)
        self._update_suspects(now)
        self._state.refill_budgets(is_in_touch=self._has_contact(now), now=now)
        self._statement_reports.act(
            now, leading=self._leader_role, leader=self._records.find_leader()
        )
        if self._state.statements:
            self._state.statements.expire(now)
            # A limit or the end of a pause may now admit a waiting request.
            self._waitqueue.notify()
        if self._state.evacuations:
            # Waiting requests may have to be rejected.
            self._waitqueue.notify()
        if self._leader_role is None:
            return
        view = self._state.view
        self._leader_role.act(now)
        if self._state.view is not view:
            self._waitqueue.notify()

    def _apply_document(self, document: bytes, source: str, now: float) -> None:
        """Put a configuration into force if it is newer."""
        configuration = self._configuration.apply(document, source, now)
        if configuration is not None and self._leader_role is not None:
            self._leader_role.set_configuration(configuration)

    def _fetch_missing_revision(self, now: float) -> None:
        """Fetch a newer revision from a node if the store did not return it."""
        holder = self._following.leader
        if self._leader_role is not None:
            summary = self._leader_role.summary
            self._configuration.record_reported(summary.revision, now)
            holder = summary.holder
        self._configuration.fetch_missing(
            holder, is_reading=self._is_read(Topic.CONFIGURATION), now=now
        )

    def _update_suspects(self, now: float) -> None:
        """Report requests that crash servers, and update which are withheld."""
        has_contact = self._leadership.has_contact(now)
        is_changed = self.poisondetector.act(
            now,
            term=None if self._leader_role is None else self._leader_role.term,
            leader=self._records.find_leader() if has_contact else None,
            reaches_store=self._reads.store.unavailable_since is None,
        )
        if is_changed:
            # Waiting requests may have to be rejected.
            self._waitqueue.notify()

    def _start_leading(self, term: int, now: float) -> None:
        """Start to lead, or continue in a new term after a restored backup."""
        was_leading = self._leader_role is not None
        self._stop_leading()
        self._leader_role = LeaderRole(
            term=term,
            state=self._state,
            waitqueue=self._waitqueue,
            store=self._reads.store,
            outbound=self._outbound,
            decode_server=self._ports.decode_server,
            entries=self._entries,
            now=now,
        )
        if was_leading:
            self._leader_role.keep_known_servers(now)
        self._reads.begin_term(now)

    def _stop_leading(self) -> None:
        if self._leader_role is not None:
            self._leader_role.close()
            self._leader_role = None
