"""The duties of a leader: control groups and send announcements to nodes."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from returns.result import Failure

from chervilrock.clients.serving import KeyedPage, KeyedRecord, Topic
from chervilrock.decisions.decoding import UnreadableError
from chervilrock.decisions.serving.admission.priorityadmission import (
    WaitingCounts,
)
from chervilrock.decisions.serving.groups.controller import Controller
from chervilrock.decisions.serving.groups.effects import (
    Command,
    Effect,
    GroupChange,
    StatusQuery,
)
from chervilrock.decisions.serving.nodes.leadership import (
    find_interval,
    find_min_interval,
    MISSED_INTERVALS,
)
from chervilrock.decisions.serving.nodes.relays import Recipients, RelayTable
from chervilrock.decisions.serving.planning.hostcounts import (
    INTERVAL_S,
    ModelCount,
)
from chervilrock.decisions.serving.servers.absences import SnapshotAbsences
from chervilrock.decisions.serving.servers.entries import NewestEntries
from chervilrock.decisions.serving.servers.limitregistry import LimitRegistry
from chervilrock.decisions.serving.servers.removals import Removals
from chervilrock.decisions.serving.servers.reportedpauses import ReportedPauses
from chervilrock.decisions.serving.servers.serverlimits import LimitedServer
from chervilrock.decisions.serving.servers.warmups import find_usable, Warmups
from chervilrock.decisions.serving.site import (
    BackendServer,
    SiteConfiguration,
)
from chervilrock.decisions.serving.store.polling import SERVERS_SCHEDULE
from chervilrock.decisions.serving.store.storehealth import StoreMonitor
from chervilrock.decisions.serving.view import (
    Announcement,
    GroupEndpoint,
    list_starts,
    merge_summaries,
    ServerEndpoint,
    ServingView,
    Summary,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_unix_time
from chervilrock.tasks.serving.messages import (
    DepartureReported,
    LimitReported,
    OrderAnswered,
    PausesReported,
    PeerAnswered,
    RecordsRead,
    ServerAnswered,
    StatementReport,
)
from chervilrock.tasks.serving.outbound import DecodeServer, Outbound
from chervilrock.tasks.serving.peers import Peers, Update
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue

MAX_LOGGED_SERVERS = 32
"""Servers in a log line about those that a snapshot lacks."""

MAX_LEADER_CUT_S = 1.0
"""Time without any server after which a leader lets another node lead, if there
is one that reaches servers."""

INFORMATION_WAIT_S = 1.0
"""Longest time for which a new leader waits for the records of evacuations,
which usually arrive with the configuration; without one no node leads."""


class LeaderRole:
    """One term of this node as the leader.

    Attributes:
      term: number of the term, made of the era and offset of the claim.
      host_counts: latest host counts for each model.
    """

    def __init__(
        self,
        *,
        term: int,
        state: ServingState,
        waitqueue: WaitQueue,
        store: StoreMonitor,
        outbound: Outbound,
        decode_server: DecodeServer,
        entries: NewestEntries,
        now: float,
    ) -> None:
        """Start to lead: read the server entries and call the nodes.

        Args:
          term: number of the term, made of the era and offset of the claim.
          state: state that is shared with the request handlers.
          waitqueue: queue of the requests that wait for a slot.
          store: availability of the store.
          outbound: makes calls.
          decode_server: decodes the entry of a server.
          entries: newest entries that this process has read.
          now: current time.
        """
        self._entries = entries
        self._servers_era: int | None = None
        self.term = term
        self._state = state
        self._waitqueue = waitqueue
        self._store = store
        self._outbound = outbound
        self._decode_server = decode_server
        self._controller = Controller(term=term)
        if state.routes is not None:
            self._controller.set_configuration(state.routes.configuration)
        self._relays = RelayTable(data_centre=state.own.data_centre)
        self._recipients = Recipients((), frozenset())
        self._peers = Peers(send=outbound.announce)
        self._limits = LimitRegistry(known=state.view.limits)
        self._warmups = Warmups(
            bounds=state.warmups,
            warm=state.view.list_targets(),
            cold=frozenset(
                entry.server
                for entry in state.view.limits
                if entry.warmup_rate is not None
            ),
        )
        if state.routes is not None:
            self._warmups.set_configuration(state.routes.configuration)
        self._pauses = ReportedPauses()
        self._summary = Summary()
        self._loads: dict[str, int] = {}
        self._waiting: WaitingCounts = {}
        self._senders = 0
        self._sequence = 0
        self._nodes_sequence = 0
        self._has_servers = False
        self._is_superseded = False
        self._first_act_at: float | None = None
        self._counted_at = float("-inf")
        self.host_counts: tuple[ModelCount, ...] = ()
        self._removals = Removals(recovered_at=store.recovered_at, now=now)
        self._absences = SnapshotAbsences()
        self._follower = outbound.follow(
            Topic.SERVERS, lambda: SERVERS_SCHEDULE
        )

    def close(self) -> None:
        """Stop leading."""
        self._follower.cancel()

    def record_predecessor(self, incarnation: str, now: float) -> None:
        """Record the process of the last leader, which is probably lost.

        It would otherwise be the first choice as a relay: the nodes of its
        data centre had no view until 0.6 s after the others.
        """
        self._relays.exclude(incarnation, now)

    def renew_reads(self) -> None:
        """Restart the read of the server entries after a store outage."""
        self._follower.renew()

    @property
    def summary(self) -> Summary:
        """Combined answers of all other nodes."""
        return self._summary

    @property
    def has_followers(self) -> bool:
        """Whether there are other nodes that accept callers."""
        return bool(self._summary.nodes)

    def describe(self) -> list[dict[str, Any]]:
        """Return the state of the groups for a dump."""
        return self._controller.describe()

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Apply another configuration to the groups and servers."""
        self._controller.set_configuration(configuration)
        self._warmups.set_configuration(configuration)

    def record_stall(self, group: str, now: float) -> None:
        """Record that streams of a group have stalled on some node."""
        self._controller.record_stall(group, now)

    def record_statement(self, report: StatementReport, now: float) -> None:
        """Record what a server stated of itself to a node."""
        match report:
            case LimitReported(server, rate):
                if self._limits.record(server, rate):
                    emit(Event.LIMIT_TOLD, server=server, rate=rate)
            case DepartureReported(server, age_s):
                if self._controller.record_departure(server, now - age_s):
                    emit(Event.DEPARTURE_TOLD, server=server)
            case PausesReported(node, pauses):
                self._pauses.record(node, pauses, now)

    def record_report(self, answered: ServerAnswered, now: float) -> None:
        """Record the status report of a server."""
        if answered.report is not None:
            self._warmups.record_report(
                answered.server,
                answered.report.started_ms,
                now,
                has_traffic=self._state.has_traffic,
            )
        self._controller.record_report(answered.server, answered.report, now)

    def record_reply(self, answered: OrderAnswered, now: float) -> None:
        """Record the outcome of an order."""
        self._controller.record_reply(
            answered.server, answered.order, answered.reply, now
        )

    def record_servers(self, read: RecordsRead, now: float) -> None:
        """Apply changed and removed entries of servers."""
        self._removals.record_answer(now)
        is_first_read = not self._has_servers
        self._has_servers = self._has_servers or read.is_snapshot
        self._check_restore(read, now)
        if read.is_snapshot:
            self._record_snapshot(read.page)
        self._state.faults.apply_records(
            read,
            lambda record: self._apply_record(
                record, now, is_first_read=is_first_read
            ),
        )
        self._remove_absent(read.page.next_offset, now)

    def _apply_record(
        self, record: KeyedRecord, now: float, *, is_first_read: bool
    ) -> None:
        """Apply the entry of a server.

        Raises:
          UnreadableError: the entry names no server.
        """
        self._absences.record_written(record.key)
        if not record.value:
            self._record_removed(record.key, now)
            return
        decoded = self._decode_server(record.key, record.value)
        if isinstance(decoded, Failure):
            raise UnreadableError(decoded.failure())
        # An entry that names no server does not undo a removal.
        self._removals.record_written(record.key)
        entry = self._entries.update(decoded.unwrap())
        self._record_warmup(entry, now, is_first_read=is_first_read)
        self._controller.record_server(entry, now)

    def _record_snapshot(self, page: KeyedPage) -> None:
        """Find out which known servers have no entry in a snapshot."""
        present = {record.key for record in page.records if record.value}
        self._absences.record_snapshot(
            [entry.server for entry in self._entries.list_present()],
            present.union(page.unreadable_keys),
            settled_at=page.settled_at,
        )

    def _remove_absent(self, next_offset: int, now: float) -> None:
        """Remove the servers whose removal the store has deleted."""
        absence = self._absences.take_gone(next_offset)
        if absence is None:
            return
        emit(
            Event.SERVERS_ABSENT,
            offset=absence.offset,
            before=absence.before,
            after=absence.before - len(absence.servers),
            servers=",".join(sorted(absence.servers)[:MAX_LOGGED_SERVERS]),
        )
        for server in absence.servers:
            self._record_removed(server, now)

    def _record_removed(self, server: str, now: float) -> None:
        self._removals.record_removed(
            server, now, is_announced=self._controller.is_leaving(server)
        )

    def record_failed_read(self) -> None:
        """Record that a read of the server entries was not answered."""
        self._removals.record_failure()

    def keep_known_servers(self, now: float) -> None:
        """Keep the servers that this process knew in its previous term.

        The store was restored from a backup, which lacks some of them.
        """
        self._removals.record_restore(now)
        for entry in self._entries.list_present():
            self._record_warmup(entry, now, is_first_read=True)
            self._controller.record_server(entry, now)
            self._removals.record_removed(entry.server, now)

    def _record_warmup(
        self, entry: BackendServer, now: float, *, is_first_read: bool
    ) -> None:
        """Record what an entry tells of the warm-up of its server."""
        is_new_fault = self._warmups.record_entry(
            entry,
            now,
            has_traffic=self._state.has_traffic,
            is_first_read=is_first_read,
            unix_time_s=read_unix_time(),
        )
        if is_new_fault:
            emit(
                Event.WARMUP_UNREADABLE,
                server=entry.server,
                value=entry.warmup_unreadable,
            )

    def _check_restore(self, read: RecordsRead, now: float) -> None:
        """After a restore, remove all servers that do not write soon."""
        former_era = self._servers_era
        self._servers_era = read.page.era
        if former_era is None or read.page.era == former_era:
            return
        self._removals.record_restore(now)
        for entry in self._entries.list_present():
            self._removals.record_removed(entry.server, now)

    def record_answered(self, answered: PeerAnswered, now: float) -> None:
        """Record the outcome of an announcement."""
        incarnation = answered.incarnation
        answer = answered.acknowledgement
        node = self._peers.find(incarnation)
        self._peers.record_answer(incarnation, answer, self.interval_s, now)
        if node is None:
            return
        if answer is None or answer.node.incarnation != incarnation:
            self._relays.record_failure(incarnation, now)
        elif answer.relayed is not None:
            self._relays.record_relay_answer(node, answer.relayed, now)

    @property
    def interval_s(self) -> float:
        """Time between two announcements to a node."""
        return find_interval(len(self._peers))

    def act(self, now: float) -> None:
        """Perform all actions that are due."""
        self._remove_servers(now)
        if not self._has_servers or not self._is_informed(now):
            return
        others = [
            node
            for node in self._state.known_nodes.values()
            if node.incarnation != self._state.own.incarnation
        ]
        former = self._recipients.relays
        self._recipients = self._relays.choose(others, now)
        self._log_new_relays(former)
        self._peers.sync(self._recipients.nodes, now)
        self._summarize_answers(now)
        self._set_evacuated(now)
        self._controller.record_requests(
            self._loads, self.find_usable(now), now
        )
        for effect in self._controller.step(now):
            self._execute(effect)
        self._log_successor()
        self._count_hosts(now)
        self._update_view(now)
        update = self._make_update(now)
        self._peers.announce(update, now)

    def _log_successor(self) -> None:
        """Log once that a server has got orders of a later leader."""
        if self._controller.is_superseded and not self._is_superseded:
            self._is_superseded = True
            emit(
                Event.LEADER_STEPPED_DOWN,
                term=self.term,
                reason="a server has joined a group of a later leader",
            )

    def _is_informed(self, now: float) -> bool:
        """Return whether this node knows of earlier evacuations.

        A view of a leader that does not would let a node that has just
        started send requests to an evacuated data centre.
        """
        if self._first_act_at is None:
            self._first_act_at = now
        waited_s = now - self._first_act_at
        is_informed = self._state.evacuations.is_informed
        return is_informed or waited_s >= INFORMATION_WAIT_S

    def _set_evacuated(self, now: float) -> None:
        evacuations = self._state.evacuations
        self._controller.set_evacuated(
            evacuations.evacuated,
            evacuations.list_closed(now),
            evacuations.recorded,
            now,
        )

    def find_usable(self, now: float) -> Mapping[str, float]:
        """Return the fraction of its slots that nodes may use, by head.

        Heads that are not listed let them use all.
        """
        usable = dict(self._pauses.find_usable(self._senders, now))
        for server, cold in self._warmups.list_cold(now).items():
            usable[server] = min(usable.get(server, 1.0), find_usable(cold))
        usable.update(dict.fromkeys(self._limits.find_rates(), 0.0))
        return usable

    async def resign(self, now: float) -> None:
        """Announce to all nodes that this one stops, so that another leads."""
        update = self._make_update(now)
        tasks = self._peers.announce(update, now, is_last=True)
        await asyncio.gather(*tasks)

    def _remove_servers(self, now: float) -> None:
        """Remove the servers whose entries were deleted and not rewritten."""
        self._removals.record_recovery(self._store.recovered_at)
        for removal in self._removals.take_due(now):
            emit(
                Event.SERVER_GONE,
                server=removal.server,
                held_s=round(removal.held_s, 3),
            )
            self._entries.record_gone(removal.server)
            self._controller.record_removed(removal.server)

    def _log_new_relays(self, former: frozenset[str]) -> None:
        """Log the newly chosen relays."""
        for node in self._recipients.nodes:
            if node.incarnation in self._recipients.relays - former:
                emit(
                    Event.RELAY_CHOSEN,
                    node=node.node,
                    data_centre=node.data_centre,
                )

    def _summarize_answers(self, now: float) -> None:
        """Combine the answers of the nodes and apply them."""
        state = self._state
        summary = merge_summaries(
            [
                self._peers.summarize(self.interval_s, now),
                *self._relays.list_answers(now),
            ]
        )
        self._summary = summary
        self._update_node_list(summary, now)
        loads = dict(summary.loads)
        for server, count in state.own_loads.items():
            loads[server] = loads.get(server, 0) + count
        self._loads = loads
        self._senders = summary.senders + bool(state.own_loads)
        state.apply_loads(
            loads, state.own_loads, senders=self._senders, now=now
        )
        own = self._waitqueue.count_all()
        self._waiting = merge_summaries([summary, Summary(waiting=own)]).waiting
        state.apply_waiting(self._waiting, own, own, now)
        state.has_traffic = state.has_traffic or summary.has_traffic
        if state.has_traffic:
            self._controller.record_traffic()
        for group in summary.stalled:
            self._controller.record_stall(group, now)

    def _update_node_list(self, summary: Summary, now: float) -> None:
        """Update the list of the nodes that accept callers if it changed."""
        state = self._state
        live = set(summary.nodes)
        is_withdrawn = state.reachability.is_withdrawn(now)
        if not state.is_stopping and not is_withdrawn:
            live.add(state.own.incarnation)
        known = {*state.known_nodes.values(), state.own}
        if is_withdrawn and not live:
            # No node reaches servers, or each did so again only just now.
            live = {node.incarnation for node in known}
        nodes = tuple(
            sorted(node for node in known if node.incarnation in live)
        )
        if nodes != state.nodes or state.nodes_version[0] != self.term:
            self._nodes_sequence += 1
            state.nodes = nodes
            state.nodes_version = (self.term, self._nodes_sequence)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case GroupChange():
                emit(
                    Event.GROUP_CHANGED,
                    group=effect.group,
                    step=effect.step.value,
                    members=",".join(effect.members),
                    reason=effect.reason,
                )
            case Command():
                self._outbound.order(effect)
            case StatusQuery():
                self._outbound.query_status(effect.server)

    def _count_hosts(self, now: float) -> None:
        """Count the hosts by state and log the counts periodically."""
        if now - self._counted_at < INTERVAL_S:
            return
        self._counted_at = now
        self.host_counts = self._controller.count_hosts(now)
        for count in self.host_counts:
            emit(
                Event.HOSTS_COUNTED,
                service=count.service,
                model=count.model,
                groups=count.groups,
                needed=round(count.needed, 1),
                is_short=count.is_short,
                hosts={
                    state.value: number for state, number in count.hosts.items()
                },
                places={
                    f"{place} {state.value}": number
                    for (place, state), number in sorted(
                        count.places.items(), key=lambda item: item[0][0]
                    )
                },
            )

    def _update_view(self, now: float) -> None:
        """Create a new view if any of its content has changed."""
        controller = self._controller
        state = self._state
        if not controller.has_adopted_groups(now):
            return
        groups = controller.list_groups(now)
        servers = controller.list_servers()
        starts = list_starts(groups, servers)
        for server in state.starts.find_restarted(starts):
            self._limits.forget(server)
            self._pauses.forget(server)
        forming = controller.list_forming_models(now)
        limits = self._list_limits(groups, servers, now)
        view = state.view
        is_same = (view.groups, view.servers, view.forming, view.limits) == (
            groups,
            servers,
            forming,
            limits,
        )
        if is_same and view.term == self.term:
            state.view_time = now
            return
        _log_warmups(view.limits, limits)
        self._sequence += 1
        state.apply_view(
            ServingView(
                term=self.term,
                sequence=self._sequence,
                groups=groups,
                servers=servers,
                forming=forming,
                limits=limits,
            ),
            now,
        )

    def _is_cut_off_alone(self, now: float) -> bool:
        """Return whether a node that reaches servers should lead instead."""
        cut_s = self._state.reachability.find_cut_s(now)
        return cut_s >= MAX_LEADER_CUT_S and bool(self._summary.nodes)

    def _list_limits(
        self,
        groups: Iterable[GroupEndpoint],
        servers: Iterable[ServerEndpoint],
        now: float,
    ) -> tuple[LimitedServer, ...]:
        """Return the rate-limited servers and the nodes that send to them."""
        cold = self._warmups.list_cold(now)
        if not cold and not self._limits.find_rates():
            return ()
        present = [group.server for group in groups]
        present += [server.server for server in servers]
        nodes = self._state.list_active_nodes(self._state.own.node, now)
        return self._limits.list_servers(present, nodes, now, cold)

    def _make_update(self, now: float) -> Update:
        state = self._state
        interval_s = self.interval_s
        base = Announcement(
            term=self.term,
            leader=state.own,
            nodes_sequence=state.nodes_version[1],
            nodes=None,
            loads=self._loads,
            sequence=state.view.sequence,
            view=None,
            revision=max(state.revision, self._summary.revision),
            has_traffic=state.has_traffic,
            is_stopping=state.is_stopping
            or self._controller.is_superseded
            or self._is_cut_off_alone(now),
            is_store_unreachable=self._store.is_unreachable(now),
            lost_after_s=MISSED_INTERVALS * interval_s,
            is_relay=False,
            store_recoveries=self._store.recoveries,
            suspects_sequence=state.suspects.version[1],
            senders=self._senders,
            evacuations=state.evacuations.list_states(now),
            waiting=self._waiting,
        )
        return Update(
            base=base,
            view=state.view,
            nodes=state.nodes,
            nodes_version=state.nodes_version,
            interval_s=interval_s,
            busy_pause_s=find_min_interval(
                self._peers.count_busy(self._recipients.relays)
            ),
            idle_pause_s=find_min_interval(len(self._peers)),
            relays=self._recipients.relays,
            suspects=state.suspects.announced,
            suspects_version=state.suspects.version,
        )


def _log_warmups(
    former: Iterable[LimitedServer], current: Iterable[LimitedServer]
) -> None:
    """Log which servers turned cold, and which are not cold any more."""
    was_cold = {
        entry.server for entry in former if entry.warmup_rate is not None
    }
    cold = {
        entry.server: entry
        for entry in current
        if entry.warmup_rate is not None
    }
    for server in sorted(cold.keys() - was_cold):
        emit(
            Event.WARMUP_BEGUN,
            server=server,
            rate=round(cold[server].rate, 2),
            senders=",".join(cold[server].senders),
        )
    for server in sorted(was_cold - cold.keys()):
        emit(Event.WARMUP_ENDED, server=server)
