"""What a node does while it leads: it moves groups and tells all nodes."""

import asyncio
from collections.abc import Iterable
from typing import Any

from returns.result import Failure

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.census import INTERVAL_S, ModelCount
from chervilrock.decisions.serving.controller import Controller
from chervilrock.decisions.serving.effects import (
    Command,
    Effect,
    GroupNote,
    Question,
)
from chervilrock.decisions.serving.entries import NewestEntries
from chervilrock.decisions.serving.leadership import (
    find_interval,
    find_pause,
    SILENT_INTERVALS,
    STORE_SILENCE_S,
)
from chervilrock.decisions.serving.limitbook import LimitBook
from chervilrock.decisions.serving.paces import SERVERS_PACE
from chervilrock.decisions.serving.relays import Circle, RelayTable
from chervilrock.decisions.serving.serverlimits import LimitedServer
from chervilrock.decisions.serving.site import SiteConfiguration
from chervilrock.decisions.serving.storewatch import StoreWatch
from chervilrock.decisions.serving.view import (
    add_up,
    Announcement,
    GroupEndpoint,
    ServerEndpoint,
    ServingView,
    Summary,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import (
    OrderAnswered,
    PeerAnswered,
    RecordsRead,
    ServerAnswered,
)
from chervilrock.tasks.serving.outbound import DecodeServer, Outbound
from chervilrock.tasks.serving.peers import News, Peers
from chervilrock.tasks.serving.state import ServingState

OUTAGE_GRACE_S = 2.3
"""Time after the store has come back for entries that lapsed meanwhile: they
are back within two seconds, or their servers are gone."""


class Leading:
    """One term of this node as the leader.

    Attributes:
      term: offset of the claim.
      counts: what the hosts do, as it was last counted.
    """

    def __init__(
        self,
        *,
        term: int,
        state: ServingState,
        store: StoreWatch,
        outbound: Outbound,
        decode_server: DecodeServer,
        entries: NewestEntries,
    ) -> None:
        """Begin to lead: read the servers and speak to the nodes.

        Args:
          term: offset of the claim.
          state: what the handlers use.
          store: whether the store answers.
          outbound: makes calls.
          decode_server: reads the entry of a server.
          entries: newest entries that this process has read.
        """
        self._entries = entries
        self._servers_era: int | None = None
        self.term = term
        self._state = state
        self._store = store
        self._outbound = outbound
        self._decode_server = decode_server
        self._controller = Controller(term=term)
        if state.routes is not None:
            self.set_configuration(state.routes.configuration)
        self._relays = RelayTable(data_centre=state.own.data_centre)
        self._circle = Circle((), frozenset())
        self._peers = Peers(send=outbound.announce)
        self._limits = LimitBook(known=state.view.limits)
        self._summary = Summary()
        self._loads: dict[str, int] = {}
        self._senders = 0
        self._sequence = 0
        self._nodes_sequence = 0
        self._has_servers = False
        self._counted = float("-inf")
        self.counts: tuple[ModelCount, ...] = ()
        self._pending_removals: dict[str, float] = {}
        self._follower = outbound.follow(Topic.SERVERS, lambda: SERVERS_PACE)

    def close(self) -> None:
        """Lead no more."""
        self._follower.cancel()

    def renew_reads(self) -> None:
        """Begin to read the servers anew, as the store was silent."""
        self._follower.renew()

    @property
    def summary(self) -> Summary:
        """What all other nodes have answered together."""
        return self._summary

    @property
    def has_followers(self) -> bool:
        """Whether there are other nodes that take callers."""
        return bool(self._summary.nodes)

    def describe(self) -> list[dict[str, Any]]:
        """Return what it knows of the groups, for a dump of the state."""
        return self._controller.describe()

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Form the groups of another configuration."""
        self._controller.set_configuration(configuration)

    def note_silent(self, group: str, now: float) -> None:
        """Note that the streams of a group have stopped somewhere."""
        self._controller.note_silent(group, now)

    def note_limit(self, server: str, rate: float | None) -> None:
        """Note the limit that a node has heard of a server, None for none."""
        if self._limits.note(server, rate):
            emit(Event.LIMIT_TOLD, server=server, rate=rate)

    def note_report(self, answered: ServerAnswered, now: float) -> None:
        """Note what a server told of itself."""
        self._controller.note_report(answered.server, answered.report, now)

    def note_reply(self, answered: OrderAnswered, now: float) -> None:
        """Note what became of an order."""
        self._controller.note_reply(
            answered.server, answered.order, answered.reply, now
        )

    def note_servers(self, read: RecordsRead, now: float) -> None:
        """Take the entries of servers."""
        self._has_servers = self._has_servers or read.is_snapshot
        self._note_copy(read, now)
        for record in read.page.records:
            if not record.value:
                self._pending_removals.setdefault(record.key, now)
                continue
            self._pending_removals.pop(record.key, None)
            decoded = self._decode_server(record.key, record.value)
            if isinstance(decoded, Failure):
                reason = decoded.failure()
                emit(Event.RECORD_UNREADABLE, key=record.key, reason=reason)
                continue
            entry = self._entries.take(decoded.unwrap())
            self._controller.note_server(entry, now)

    def take_over(self, now: float) -> None:
        """Go on with the servers that this process knew in its last term.

        The store came back from a copy, in which some of them are missing.
        """
        for entry in self._entries.list_present():
            self._controller.note_server(entry, now)
            self._pending_removals.setdefault(entry.server, now)

    def _note_copy(self, read: RecordsRead, now: float) -> None:
        """Count servers that a copy lacks as gone, unless they write soon."""
        former_era = self._servers_era
        self._servers_era = read.page.era
        if former_era is None or read.page.era == former_era:
            return
        for entry in self._entries.list_present():
            self._pending_removals.setdefault(entry.server, now)

    def note_answered(self, answered: PeerAnswered, now: float) -> None:
        """Note what came of an announcement."""
        incarnation = answered.incarnation
        answer = answered.acknowledgement
        node = self._peers.find(incarnation)
        self._peers.take(incarnation, answer, self.interval_s, now)
        if node is None:
            return
        if answer is None or answer.node.incarnation != incarnation:
            self._relays.note_failure(incarnation, now)
        elif answer.relayed is not None:
            self._relays.note_answer(node, answer.relayed, now)

    @property
    def interval_s(self) -> float:
        """Time between two announcements to a node."""
        return find_interval(len(self._peers))

    def act(self, now: float) -> None:
        """Do what is due."""
        self._remove_servers(now)
        if not self._has_servers:
            return
        others = [
            one
            for one in self._state.known_nodes.values()
            if one.incarnation != self._state.own.incarnation
        ]
        former = self._circle.relays
        self._circle = self._relays.choose(others, now)
        self._note_relays(former)
        self._peers.sync(self._circle.nodes, now)
        self._sum_up(now)
        self._controller.note_requests(
            self._loads, self._limits.find_rates(), now
        )
        for effect in self._controller.step(now):
            self._carry_out(effect)
        self._count_hosts(now)
        self._renew_view(now)
        news = self._make_news(now)
        self._peers.announce(news, now)

    async def resign(self, now: float) -> None:
        """Tell all nodes that this one stops, so that another one leads."""
        news = self._make_news(now)
        sends = self._peers.announce(news, now, is_last=True)
        await asyncio.gather(*sends)

    def _remove_servers(self, now: float) -> None:
        """Take out the servers whose entries are gone for good."""
        is_lost = self._store.lost_at is not None
        if is_lost or now - self._store.back_at < OUTAGE_GRACE_S:
            return
        for server in self._pending_removals:
            emit(Event.SERVER_GONE, server=server)
            self._entries.note_gone(server)
            self._controller.note_gone(server)
        self._pending_removals.clear()

    def _note_relays(self, former: frozenset[str]) -> None:
        """Log the relays that were not so before."""
        for node in self._circle.nodes:
            if node.incarnation in self._circle.relays - former:
                emit(
                    Event.RELAY_CHOSEN,
                    node=node.node,
                    data_centre=node.data_centre,
                )

    def _sum_up(self, now: float) -> None:
        """Take what the nodes have answered together."""
        state = self._state
        summary = add_up(
            [
                self._peers.summarize(self.interval_s, now),
                *self._relays.list_answers(now),
            ]
        )
        self._summary = summary
        self._list_nodes(summary)
        loads = dict(summary.loads)
        for server, count in state.own_loads.items():
            loads[server] = loads.get(server, 0) + count
        self._loads = loads
        self._senders = summary.senders + bool(state.own_loads)
        state.take_loads(loads, state.own_loads, senders=self._senders, now=now)
        state.has_traffic = state.has_traffic or summary.has_traffic
        if state.has_traffic:
            self._controller.note_traffic()
        for group in summary.silent:
            self._controller.note_silent(group, now)

    def _list_nodes(self, summary: Summary) -> None:
        """Make a new list of the nodes that take callers if it changed."""
        state = self._state
        live = set(summary.nodes)
        if not state.is_stopping:
            live.add(state.own.incarnation)
        known = {*state.known_nodes.values(), state.own}
        nodes = tuple(sorted(one for one in known if one.incarnation in live))
        if nodes != state.nodes or state.nodes_version[0] != self.term:
            self._nodes_sequence += 1
            state.nodes = nodes
            state.nodes_version = (self.term, self._nodes_sequence)

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

    def _count_hosts(self, now: float) -> None:
        """Count and log what the hosts do, once in a while."""
        if now - self._counted < INTERVAL_S:
            return
        self._counted = now
        self.counts = self._controller.count_hosts(now)
        for one in self.counts:
            emit(
                Event.HOSTS_COUNTED,
                service=one.service,
                model=one.model,
                groups=one.groups,
                needed=round(one.needed, 1),
                is_short=one.is_short,
                hosts={state.value: n for state, n in one.hosts.items()},
                places={
                    f"{place} {state.value}": number
                    for (place, state), number in sorted(
                        one.places.items(), key=lambda item: item[0][0]
                    )
                },
            )

    def _renew_view(self, now: float) -> None:
        """Make a new view if anything that it tells has changed."""
        controller = self._controller
        state = self._state
        if not controller.has_looked(now):
            return
        groups = controller.list_groups(now)
        servers = controller.list_servers()
        forming = controller.list_forming()
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
        self._sequence += 1
        state.use_view(
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

    def _list_limits(
        self,
        groups: Iterable[GroupEndpoint],
        servers: Iterable[ServerEndpoint],
        now: float,
    ) -> tuple[LimitedServer, ...]:
        """Return the servers with limits, and the nodes that send to them."""
        if not self._limits.find_rates():
            return ()
        present = [one.server for one in groups]
        present += [one.server for one in servers]
        nodes = self._state.list_active_nodes(self._state.own.node, now)
        return self._limits.list(present, nodes, now)

    def _make_news(self, now: float) -> News:
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
            is_stopping=state.is_stopping,
            is_cut_from_store=now - self._store.answered > STORE_SILENCE_S,
            lost_after_s=SILENT_INTERVALS * interval_s,
            is_relay=False,
            store_returns=self._store.returns,
            suspects_sequence=state.suspects.version[1],
            senders=self._senders,
        )
        return News(
            base=base,
            view=state.view,
            nodes=state.nodes,
            nodes_version=state.nodes_version,
            interval_s=interval_s,
            busy_pause_s=find_pause(
                self._peers.count_busy(self._circle.relays)
            ),
            idle_pause_s=find_pause(len(self._peers)),
            relays=self._circle.relays,
            suspects=state.suspects.told,
            suspects_version=state.suspects.version,
        )
