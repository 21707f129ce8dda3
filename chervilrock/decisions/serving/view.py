"""Messages between the leader and the nodes, and the view of what serves."""

from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from chervilrock.decisions.serving.admission.priorityadmission import (
    WaitingCounts,
)
from chervilrock.decisions.serving.admission.suspects import Suspect
from chervilrock.decisions.serving.servers.evacuations import Evacuation
from chervilrock.decisions.serving.servers.serverlimits import LimitedServer


class GroupEndpoint(NamedTuple):
    """A replica group that accepts requests.

    Attributes:
      group: name of the group.
      epoch: number of this membership of its hosts.
      model: model that it serves.
      service: service that it belongs to.
      server: identifier of the head, which receives the requests.
      address: IP:port of the head.
      data_centre: data centre of the group.
      started_ms: when the head started, in Unix milliseconds; 0 if unknown.
    """

    group: str
    epoch: int
    model: str
    service: str
    server: str
    address: str
    data_centre: str
    started_ms: int = 0

    @property
    def name(self) -> str:
        """Name under which it is avoided and logged."""
        return self.group


class ServerEndpoint(NamedTuple):
    """A server of a plain service that accepts requests.

    Attributes:
      server: identifier of the server.
      service: service that it belongs to.
      address: IP:port.
      data_centre: data centre of the server.
      slots: requests that it runs concurrently.
      started_ms: when it started, in Unix milliseconds; 0 if unknown.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int
    started_ms: int = 0

    @property
    def name(self) -> str:
        """Name under which it is avoided and logged."""
        return self.server


class ServingView(NamedTuple):
    """One version of the groups and servers that accept requests.

    A view with a greater (term, sequence) replaces any other one.

    Attributes:
      term: term of the leader that made it.
      sequence: number within the term.
      groups: groups that accept requests.
      servers: servers of plain services that accept requests.
      forming: models for which a group will accept requests soon.
      limits: servers with a limit of requests a second.
    """

    term: int
    sequence: int
    groups: tuple[GroupEndpoint, ...]
    servers: tuple[ServerEndpoint, ...]
    forming: tuple[str, ...] = ()
    limits: tuple[LimitedServer, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Version by which views are ordered."""
        return (self.term, self.sequence)

    def list_targets(self) -> frozenset[str]:
        """Return the identifiers of the heads and servers in the view."""
        heads = [group.server for group in self.groups]
        return frozenset(heads + [server.server for server in self.servers])

    def list_starts(self) -> Mapping[str, int]:
        """Return the starts of the heads and servers; 0 where unknown."""
        return list_starts(self.groups, self.servers)


def list_starts(
    groups: Iterable[GroupEndpoint], servers: Iterable[ServerEndpoint]
) -> Mapping[str, int]:
    """Return the start of each head and server in Unix ms, 0 if unknown."""
    starts = {group.server: group.started_ms for group in groups}
    starts.update({server.server: server.started_ms for server in servers})
    return starts


NO_VIEW = ServingView(term=-1, sequence=0, groups=(), servers=())
"""View of a node that has not received one from a leader yet."""


class NodeEntry(NamedTuple):
    """A node of the installation.

    Attributes:
      node: name of the node.
      incarnation: identifier of this start of its process.
      peer_address: IP:port for other nodes.
      callers_address: IP:port for callers.
      data_centre: data centre of the node.
      cores: processor time that is available to it, in cores.
    """

    node: str
    incarnation: str
    peer_address: str
    callers_address: str
    data_centre: str
    cores: float = 1.0


class LeaderEntry(NamedTuple):
    """The record with which a node claims to lead."""

    node: str
    incarnation: str


class Announcement(NamedTuple):
    """What the leader sends to each node several times a second.

    Attributes:
      term: term of the leader, made from the offset of its claim.
      leader: the leader.
      nodes_sequence: number of the newest list of nodes in this term.
      nodes: live nodes that accept callers, None when the node has the list.
      loads: requests at each head or server over all nodes.
      sequence: number of the newest view.
      view: the view, None when the node has it.
      revision: newest revision that the leader knows to be in force on any
        node.
      has_traffic: whether any node has received a request of a caller.
      is_stopping: whether another node should replace the leader, which is
        about to stop or reaches no server.
      is_store_unreachable: whether the leader gets no answer of the store, so
        that a node that does should replace it.
      lost_after_s: time without an announcement after which the leader
        counts as lost.
      is_relay: whether the node forwards this to the nodes of its data
        centre and answers for them.
      store_recoveries: how often the store has recovered from an outage that
        the leader observed, in this term or shortly before.
      loads_lag: which answer of the receiving node is counted in `loads`,
        counted back from its last one, which is 1.
      suspects_sequence: number of the newest list of suspects in this term.
      suspects: requests under which servers have crashed, None when the node
        has the list.
      senders: number of nodes whose requests are counted in `loads`.
      evacuations: the evacuations that the leader knows of.
      waiting: waiting requests of all nodes, counted like `loads`; None from
        an older process, or for one that reports none.
    """

    term: int
    leader: NodeEntry
    nodes_sequence: int
    nodes: tuple[NodeEntry, ...] | None
    loads: Mapping[str, int]
    sequence: int
    view: ServingView | None
    revision: int
    has_traffic: bool
    is_stopping: bool
    is_store_unreachable: bool
    lost_after_s: float
    is_relay: bool
    store_recoveries: int = 0
    loads_lag: int = 1
    suspects_sequence: int = 0
    suspects: tuple[Suspect, ...] | None = None
    senders: int = 0
    evacuations: tuple[Evacuation, ...] = ()
    waiting: WaitingCounts | None = None


class Summary(NamedTuple):
    """Aggregate of the answers of several nodes.

    Attributes:
      nodes: incarnations of the live nodes that accept callers.
      loads: requests at each head or server.
      senders: number of nodes that have any requests.
      stalled: number of nodes that report the streams of a head as stalled,
        by the head.
      has_traffic: whether one of them has received a request of a caller.
      term: greatest term that one of them knows.
      revision: greatest revision that one of them has in force.
      holder: node with this revision, None without a revision.
      waiting: waiting requests that can be on time, by model or plain service
        and by priority.
    """

    nodes: tuple[str, ...] = ()
    loads: Mapping[str, int] = MappingProxyType({})
    senders: int = 0
    stalled: Mapping[str, int] = MappingProxyType({})
    has_traffic: bool = False
    term: int = -1
    revision: int = -1
    holder: NodeEntry | None = None
    waiting: WaitingCounts = MappingProxyType({})


class Acknowledgement(NamedTuple):
    """Answer of a node to an announcement.

    Attributes:
      term: greatest term that the node knows.
      node: the node.
      is_taking_callers: whether new callers may be directed to it.
      version: version of the view that it uses.
      nodes_version: term and number of the list of nodes that it uses.
      revision: revision of the configuration in force.
      loads: its own requests at each head or server.
      stalled: heads whose streams this node finds stalled.
      has_traffic: whether it has received a request of a caller.
      relayed: aggregate of the answers of the nodes to which it forwards
        announcements, None until each of them was tried once.
      suspects_version: term and number of the list of suspects that it uses.
      evacuations: the evacuations that the node knows of.
      waiting: its own requests that wait for a slot and can be on time, by
        model or plain service and by priority; None from an older process.
    """

    term: int
    node: NodeEntry
    is_taking_callers: bool
    version: tuple[int, int]
    nodes_version: tuple[int, int]
    revision: int
    loads: Mapping[str, int]
    stalled: tuple[str, ...]
    has_traffic: bool
    relayed: Summary | None = None
    suspects_version: tuple[int, int] = (-1, 0)
    evacuations: tuple[Evacuation, ...] = ()
    waiting: WaitingCounts | None = None


def merge_summaries(summaries: Iterable[Summary]) -> Summary:
    """Return the aggregate of several summaries."""
    total = Summary()
    loads: Counter[str] = Counter()
    stalled: Counter[str] = Counter()
    nodes: list[str] = []
    waiting: dict[str, Counter[int]] = {}
    senders = 0
    for summary in summaries:
        senders += summary.senders
        loads.update(summary.loads)
        stalled.update(summary.stalled)
        nodes += summary.nodes
        for name, counts in summary.waiting.items():
            waiting.setdefault(name, Counter()).update(counts)
        is_newer = summary.revision > total.revision
        total = total._replace(
            has_traffic=total.has_traffic or summary.has_traffic,
            term=max(total.term, summary.term),
            revision=summary.revision if is_newer else total.revision,
            holder=summary.holder if is_newer else total.holder,
        )
    return total._replace(
        nodes=tuple(nodes),
        loads=loads,
        senders=senders,
        stalled=stalled,
        waiting=waiting,
    )


def summarize(answer: Acknowledgement) -> Summary:
    """Return the summary of the answer of a single node."""
    return Summary(
        nodes=(answer.node.incarnation,) if answer.is_taking_callers else (),
        loads=answer.loads,
        senders=1 if answer.loads else 0,
        stalled=dict.fromkeys(answer.stalled, 1),
        has_traffic=answer.has_traffic,
        term=answer.term,
        revision=answer.revision,
        holder=answer.node if answer.revision >= 0 else None,
        waiting=answer.waiting or {},
    )
