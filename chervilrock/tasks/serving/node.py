"""The task that knows the installation: configuration, nodes, leader, groups.

It owns what a node believes and gets every change as a message. When its node
leads, it moves the groups and tells the other nodes what takes requests.
"""

import asyncio
import base64
from typing import Any

import msgspec
from returns.result import Failure

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.controller import Controller
from chervilrock.decisions.serving.effects import (
    Command,
    Effect,
    GroupNote,
    Question,
)
from chervilrock.decisions.serving.leadership import (
    Claim,
    find_interval,
    INTERVAL_S,
    Leadership,
    STORE_SILENCE_S,
)
from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    LeaderEntry,
    NodeEntry,
    ServingView,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving import peers as peer_table
from chervilrock.tasks.serving.dependency import Dependency
from chervilrock.tasks.serving.follower import Pace
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    DocumentRead,
    Message,
    OrderAnswered,
    PeerAnswered,
    ReadFailed,
    RecordsRead,
    RegistrationAnswered,
    ServerAnswered,
    SilenceSeen,
)
from chervilrock.tasks.serving.outbound import (
    LEADER_KEY,
    NODE_PREFIX,
    Outbound,
    Ports,
)
from chervilrock.tasks.serving.peers import Peer
from chervilrock.tasks.serving.room import WaitingRoom
from chervilrock.tasks.serving.state import ServingState

TICK_S = 0.05
"""Longest time between two looks at what is due."""

FOLLOW_PACE = Pace(wait_s=10.0, pause_s=0.1)
"""How nodes follow the other nodes and the leader: a call each ten seconds when
nothing changes. With pauses of 0.3 s it took 0.55 s instead of 0.3 s after all
processes were killed until one of them led."""

CONFIGURATION_PACE = Pace(wait_s=5.0, pause_s=0.1)
"""The same for the configuration; a connection that has gone silent is found
after six seconds, and until then the leader tells what is new."""

SERVERS_PACE = Pace(wait_s=1.0, pause_s=0.25)
"""How the leader follows the servers: they write some forty records a second,
and each call is paid for; a server that leaves must be known well within the
two seconds after which it may get no requests."""

OUTAGE_GRACE_S = 2.3
"""Time after the store has come back for entries that lapsed meanwhile: they
are back within two seconds, or their servers are gone."""

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
        self._controller: Controller | None = None
        self._peers: dict[str, Peer] = {}
        self._end = 0
        self._has_nodes = False
        self._document: bytes = b""
        self._sequence = 0
        self._is_claiming = False
        self._registered = False
        self._store = Dependency(name="store", now=now)
        self._nodes_sequence = 0
        self._nodes_version = (-1, 0)
        self._loads: dict[str, int] = {}
        self._fetched = float("-inf")
        self._has_servers = False
        self._pending_removals: dict[str, float] = {}
        self._outbound = Outbound(ports=ports, outbox=self.mailbox)
        self._servers_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Work until cancelled."""
        self._outbound.follow(Topic.CONFIGURATION, CONFIGURATION_PACE)
        self._outbound.follow(Topic.NODES, FOLLOW_PACE)
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
        return self._controller is not None

    def note_silence(self, group: str, now: float) -> None:
        """Tell the leader at once that the streams of a group have stopped."""
        if self._state.is_doubted(group, now):
            return
        self._state.doubt(group, now)
        if self._controller is not None:
            self._controller.note_silent(group, now)
            return
        leader = self._find_leader()
        if leader is not None:
            self._outbound.tell_silence(leader, group)

    def take_announcement(
        self, announcement: Announcement, now: float
    ) -> Acknowledgement:
        """Take what a leader tells, and answer it."""
        state = self._state
        if announcement.term >= self._leadership.term:
            self._follow_leader(announcement, now)
        return Acknowledgement(
            term=self._leadership.term,
            node=self._own,
            is_taking_callers=not state.is_stopping
            and state.routes is not None,
            version=state.view.version,
            nodes_version=self._nodes_version,
            revision=self._revision,
            loads=state.own_loads,
            silent=state.list_doubted(now),
            has_traffic=state.has_traffic,
        )

    def get_document(self) -> bytes:
        """Return the document of the configuration in force."""
        return self._document

    def describe(self, now: float) -> dict[str, Any]:
        """Return what the node believes, for a dump of its state."""
        state = self._state
        controller = self._controller
        return {
            "node": self._own,
            "term": self._leadership.term,
            "leads": self.is_leader,
            "leader": self._leadership.claim,
            "revision": self._revision,
            "view": state.view,
            "view_age_s": round(now - state.view_time, 3),
            "nodes": state.nodes,
            "own_loads": state.own_loads,
            "doubted": state.list_doubted(now),
            "waiting": len(self._room),
            "is_stopping": state.is_stopping,
            "groups": [] if controller is None else controller.describe(),
        }

    async def resign(self) -> None:
        """Tell all nodes that this one stops, so that another one leads."""
        if self._controller is None:
            return
        now = read_clock()
        announcement = self._make_announcement(now)
        live = [
            one
            for one in self._peers.values()
            if one.is_live(self._interval_s, now)
        ]
        await asyncio.gather(
            *(self._outbound.announce(one.entry, announcement) for one in live)
        )
        self._stop_leading()
        emit(
            Event.LEADER_STEPPED_DOWN,
            term=self._leadership.term,
            reason="the node stops",
        )

    @property
    def _term(self) -> int:
        return self._leadership.term

    @property
    def _interval_s(self) -> float:
        """Time between two announcements to a node."""
        return find_interval(len(self._state.known_nodes))

    @property
    def _revision(self) -> int:
        routes = self._state.routes
        return -1 if routes is None else routes.configuration.revision

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
                self._store.note_answer(now)
                self._take_records(message, now)
            case ReadFailed():
                self._store.note_failure(message.reason, now)
            case OrderAnswered():
                self._take_reply(message, now)
            case ServerAnswered():
                if self._controller is not None:
                    self._controller.note_report(
                        message.server, message.report, now
                    )
            case PeerAnswered():
                self._take_acknowledgement(message, now)
            case ClaimAnswered():
                self._is_claiming = False
            case RegistrationAnswered():
                self._take_registration(message)
            case DocumentRead():
                self._take_document(message.document, message.source, now)
            case SilenceSeen():
                if self._controller is not None:
                    self._controller.note_silent(message.group, now)

    def _take_registration(self, answered: RegistrationAnswered) -> None:
        """Note that this node is known, or try again."""
        if answered.offset is None:
            self._registered = False
            return
        emit(
            Event.NODE_REGISTERED,
            node=self._own.node,
            offset=answered.offset,
        )

    def _take_records(self, read: RecordsRead, now: float) -> None:
        match read.topic:
            case Topic.CONFIGURATION:
                for record in read.page.records:
                    if record.key == _CONFIGURATION_KEY:
                        self._take_document(record.value, "the store", now)
            case Topic.NODES:
                self._take_nodes(read, now)
            case Topic.SERVERS:
                self._take_servers(read, now)

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
        if configuration.revision <= self._revision:
            return
        self._state.routes = RouteTable(configuration=configuration)
        self._document = document
        if self._controller is not None:
            self._controller.set_configuration(configuration)
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
        if read.is_snapshot:
            known.clear()
        for record in read.page.records:
            name = record.key.removeprefix(NODE_PREFIX)
            try:
                if record.key == LEADER_KEY:
                    entry = _LEADER_DECODER.decode(record.value)
                    self._take_claim(Claim(record.offset, entry), now)
                elif not record.value:
                    known.pop(name, None)
                elif record.key.startswith(NODE_PREFIX):
                    self._take_node(_NODE_DECODER.decode(record.value), now)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                emit(Event.RECORD_UNREADABLE, key=record.key, reason=str(error))
        # This process may have taken the place of the leader itself.
        self._leadership.note_node(self._leadership.own_entry, now)
        self._end = read.page.next_offset
        self._has_nodes = True

    def _take_node(self, entry: NodeEntry, now: float) -> None:
        """Know a process that has registered."""
        self._state.known_nodes[entry.node] = entry
        self._leadership.note_node(
            LeaderEntry(entry.node, entry.incarnation), now
        )

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
        elif self._controller is not None:
            self._stop_leading()
            emit(
                Event.LEADER_STEPPED_DOWN,
                term=claim.term,
                reason=f"{claim.entry.node} has claimed to lead",
            )

    def _take_servers(self, read: RecordsRead, now: float) -> None:
        """Take the entries of servers."""
        controller = self._controller
        if controller is None:
            return
        if read.is_snapshot:
            self._has_servers = True
        for record in read.page.records:
            if not record.value:
                self._pending_removals.setdefault(record.key, now)
                continue
            self._pending_removals.pop(record.key, None)
            decoded = self._ports.decode_server(record.key, record.value)
            if isinstance(decoded, Failure):
                reason = decoded.failure()
                emit(Event.RECORD_UNREADABLE, key=record.key, reason=reason)
                continue
            controller.note_server(decoded.unwrap(), now)

    def _take_reply(self, answered: OrderAnswered, now: float) -> None:
        reply = answered.reply
        emit(
            Event.ORDER_ANSWERED,
            server=answered.server,
            order=type(answered.order).__name__.lower(),
            group=answered.order.group,
            epoch=answered.order.epoch,
            outcome=answered.detail if reply is None else reply.value,
        )
        if self._controller is not None:
            self._controller.note_reply(
                answered.server, answered.order, reply, now
            )

    def _take_acknowledgement(self, answered: PeerAnswered, now: float) -> None:
        peer = self._peers.get(answered.incarnation)
        if peer is None:
            return
        peer.is_asked = False
        acknowledgement = answered.acknowledgement
        if acknowledgement is None:
            return
        if acknowledgement.node.incarnation != answered.incarnation:
            # A new process has the address; its record may come later.
            self._take_node(acknowledgement.node, now)
            return
        was_live = peer.acknowledgement is not None and peer.is_live(
            self._interval_s, now
        )
        peer.answered = now
        peer.acknowledgement = acknowledgement
        if not was_live:
            emit(Event.NODE_SEEN, node=peer.entry.node)
        if acknowledgement.term > self._leadership.term and self.is_leader:
            self._stop_leading()
            emit(
                Event.LEADER_STEPPED_DOWN,
                term=acknowledgement.term,
                reason=f"{peer.entry.node} knows a newer leader",
            )

    # Following a leader.

    def _follow_leader(self, announcement: Announcement, now: float) -> None:
        state = self._state
        if announcement.term > self._leadership.term:
            leader = announcement.leader
            entry = LeaderEntry(leader.node, leader.incarnation)
            self._take_claim(Claim(announcement.term, entry), now)
        self._leadership.note_announcement(
            announcement.term, is_cut=announcement.is_cut_from_store, now=now
        )
        if announcement.nodes is not None:
            state.nodes = announcement.nodes
            self._nodes_version = (
                announcement.term,
                announcement.nodes_sequence,
            )
        state.take_loads(announcement.loads)
        state.has_traffic = state.has_traffic or announcement.has_traffic
        view = announcement.view
        if view is not None and view.version > state.view.version:
            self._use_view(view, now)
        if state.view.version == (announcement.term, announcement.sequence):
            state.view_time = now
        if announcement.configuration is not None:
            document = base64.b64decode(announcement.configuration)
            self._take_document(document, announcement.leader.node, now)
        if announcement.is_stopping:
            self._leadership.note_lost(now)
        self._room.notify()

    def _use_view(self, view: ServingView, now: float) -> None:
        state = self._state
        state.view = view
        state.view_time = now
        emit(
            Event.VIEW_IN_FORCE,
            term=view.term,
            sequence=view.sequence,
            groups=len(view.groups),
            servers=len(view.servers),
        )
        self._room.notify()

    # Acting.

    def _act(self, now: float) -> None:
        """Do what is due."""
        self._register(now)
        self._claim(now)
        if self._controller is None:
            return
        self._remove_servers(now)
        if not self._has_servers:
            return
        self._sync_peers(now)
        self._sum_up(now)
        for effect in self._controller.step(now):
            self._carry_out(effect)
        self._renew_view(now)
        self._announce_all(now)

    def _register(self, now: float) -> None:
        """Write the record of this node, once in its life."""
        if self._registered or not self._has_nodes:
            return
        self._registered = True
        self._outbound.register(self._own)

    def _claim(self, now: float) -> None:
        """Claim to lead when nobody does."""
        leadership = self._leadership
        state = self._state
        is_able = self._has_nodes and state.routes is not None
        if not is_able or self._is_claiming or state.is_stopping:
            return
        nodes = len(state.known_nodes)
        if not leadership.should_claim(self._find_rank(), nodes, now):
            return
        leadership.note_try(now)
        self._is_claiming = True
        self._outbound.claim(leadership.own_entry, self._end)

    def _find_rank(self) -> int:
        """Return the place of this node in the order of claims.

        Nodes with more processor time come first: on a host with an eighth of
        a core, orders and questions of the leader ran into their timeouts.
        The last leader comes last, since it was lost just now.
        """
        claim = self._leadership.claim
        last = None if claim is None else claim.entry.incarnation
        nodes = self._state.known_nodes | {self._own.node: self._own}
        ranked = sorted(
            nodes.values(),
            key=lambda one: (one.incarnation == last, -one.cores, one),
        )
        return ranked.index(self._own)

    # Leading.

    def _lead(self, term: int, now: float) -> None:
        """Begin to lead: read the servers and speak to the nodes."""
        self._stop_leading()
        self._controller = Controller(term=term)
        routes = self._state.routes
        if routes is not None:
            self._controller.set_configuration(routes.configuration)
        self._sequence = 0
        self._has_servers = False
        self._pending_removals = {}
        self._peers = {}
        self._servers_task = self._outbound.follow(Topic.SERVERS, SERVERS_PACE)

    def _stop_leading(self) -> None:
        self._controller = None
        if self._servers_task is not None:
            self._servers_task.cancel()
            self._servers_task = None

    def _remove_servers(self, now: float) -> None:
        """Take out the servers whose entries are gone for good."""
        controller = self._controller
        is_lost = self._store.lost_at is not None
        waits = is_lost or now - self._store.back_at < OUTAGE_GRACE_S
        if controller is None or waits:
            return
        for server in self._pending_removals:
            emit(Event.SERVER_GONE, server=server)
            controller.note_gone(server)
        self._pending_removals.clear()

    def _sync_peers(self, now: float) -> None:
        """Know the nodes that have registered."""
        current = {
            one.incarnation: one
            for one in self._state.known_nodes.values()
            if one.incarnation != self._own.incarnation
        }
        for incarnation in set(self._peers) - set(current):
            del self._peers[incarnation]
        for incarnation, entry in current.items():
            if incarnation not in self._peers:
                self._peers[incarnation] = Peer(entry=entry, now=now)

    def _sum_up(self, now: float) -> None:
        """Take what the nodes have answered together."""
        state = self._state
        summary = peer_table.summarize(
            self._peers.values(), self._interval_s, now
        )
        own = () if state.is_stopping else (self._own,)
        nodes = tuple(sorted({*summary.nodes, *own}))
        if nodes != state.nodes or self._nodes_version[0] != self._term:
            self._nodes_sequence += 1
            self._nodes_version = (self._term, self._nodes_sequence)
            state.nodes = nodes
        loads = dict(summary.loads)
        for server, count in state.own_loads.items():
            loads[server] = loads.get(server, 0) + count
        self._loads = loads
        state.take_loads(loads)
        state.has_traffic = state.has_traffic or summary.has_traffic
        if self._controller is not None:
            if state.has_traffic:
                self._controller.note_traffic()
            for group in summary.silent:
                self._controller.note_silent(group, now)
        holder = summary.newest_holder
        if holder is not None and summary.newest_revision > self._revision:
            self._fetch_document(holder, now)

    def _fetch_document(self, holder: NodeEntry, now: float) -> None:
        """Get a newer configuration from a node that reached the store."""
        if now - self._fetched < INTERVAL_S:
            return
        self._fetched = now
        self._outbound.fetch_document(holder)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case GroupNote():
                emit(
                    Event.GROUP_CHANGED,
                    group=effect.group,
                    step=effect.step.value,
                    members=",".join(effect.members),
                    reason=effect.reason,
                )
            case Command():
                self._outbound.order(effect)
            case Question():
                self._outbound.ask(effect.server)

    def _renew_view(self, now: float) -> None:
        """Make a new view if anything that it tells has changed."""
        controller = self._controller
        state = self._state
        if controller is None or not controller.has_looked(now):
            return
        groups = controller.list_groups(now)
        servers = controller.list_servers()
        forming = controller.list_forming()
        view = state.view
        is_same = (view.groups, view.servers, view.forming) == (
            groups,
            servers,
            forming,
        )
        if is_same and view.term == self._leadership.term:
            state.view_time = now
            return
        self._sequence += 1
        self._use_view(
            ServingView(
                term=self._leadership.term,
                sequence=self._sequence,
                groups=groups,
                servers=servers,
                forming=forming,
            ),
            now,
        )

    def _make_announcement(self, now: float) -> Announcement:
        state = self._state
        return Announcement(
            term=self._term,
            leader=self._own,
            nodes_sequence=self._nodes_sequence,
            nodes=None,
            loads=self._loads,
            sequence=state.view.sequence,
            view=None,
            revision=self._revision,
            configuration=None,
            has_traffic=state.has_traffic,
            is_stopping=state.is_stopping,
            is_cut_from_store=now - self._store.answered > STORE_SILENCE_S,
        )

    def _announce_all(self, now: float) -> None:
        state = self._state
        base = self._make_announcement(now)
        interval_s = self._interval_s
        for peer in self._peers.values():
            answer = peer.acknowledgement
            knows_view = (
                answer is not None and answer.version >= state.view.version
            )
            knows_nodes = (
                answer is not None
                and answer.nodes_version == self._nodes_version
            )
            has_news = not (knows_view and knows_nodes)
            if not peer.is_due(interval_s, has_news=has_news, now=now):
                continue
            announcement = base
            if not knows_nodes:
                announcement = announcement._replace(nodes=state.nodes)
            if not knows_view:
                announcement = announcement._replace(view=state.view)
            is_behind = answer is not None and answer.revision < self._revision
            if is_behind and now - peer.sent >= interval_s:
                announcement = announcement._replace(
                    configuration=base64.b64encode(self._document)
                )
            peer.is_asked = True
            peer.sent = now
            self._outbound.announce(peer.entry, announcement)
