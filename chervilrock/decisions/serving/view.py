"""Which groups and servers take requests, as the leader tells it."""

from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from chervilrock.decisions.serving.serverlimits import LimitedServer
from chervilrock.decisions.serving.suspects import Suspect


class GroupEndpoint(NamedTuple):
    """A replica group that takes requests.

    Attributes:
      group: name of the group.
      epoch: number of this membership of its hosts.
      model: model that it serves.
      service: service that it belongs to.
      server: identifier of the head, which gets the requests.
      address: IP:port of the head.
      data_centre: where it stands.
    """

    group: str
    epoch: int
    model: str
    service: str
    server: str
    address: str
    data_centre: str

    @property
    def name(self) -> str:
        """Name by which it is doubted and logged."""
        return self.group


class ServerEndpoint(NamedTuple):
    """A server of a plain service that takes requests.

    Attributes:
      server: identifier of this start of the server.
      service: service that it belongs to.
      address: IP:port.
      data_centre: where it stands.
      slots: requests that it runs at once.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int

    @property
    def name(self) -> str:
        """Name by which it is doubted and logged."""
        return self.server


class ServingView(NamedTuple):
    """What takes requests, in one version.

    A view with a greater (term, sequence) replaces any other one.

    Attributes:
      term: term of the leader that made it.
      sequence: number within the term.
      groups: groups that take requests.
      servers: servers of plain services that take requests.
      forming: models for which a group will take requests soon.
      limits: servers that take only so many requests a second.
    """

    term: int
    sequence: int
    groups: tuple[GroupEndpoint, ...]
    servers: tuple[ServerEndpoint, ...]
    forming: tuple[str, ...] = ()
    limits: tuple[LimitedServer, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """What orders views."""
        return (self.term, self.sequence)


NO_VIEW = ServingView(term=-1, sequence=0, groups=(), servers=())
"""What a node knows before it heard from a leader."""


class NodeEntry(NamedTuple):
    """A node of the installation.

    Attributes:
      node: name of the node.
      incarnation: identifier of this start of its process.
      peer_address: IP:port for other nodes.
      callers_address: IP:port for callers.
      data_centre: where it stands.
      cores: processor time that it gets, in cores.
    """

    node: str
    incarnation: str
    peer_address: str
    callers_address: str
    data_centre: str
    cores: float = 1.0


class LeaderEntry(NamedTuple):
    """The record by which a node claims to lead."""

    node: str
    incarnation: str


class Announcement(NamedTuple):
    """What the leader tells each node several times a second.

    Attributes:
      term: offset of the record by which it claimed to lead.
      leader: the leader.
      nodes_sequence: number of the newest list of nodes in this term.
      nodes: live nodes that take callers, None when the node knows them.
      loads: requests at each head or server over all nodes.
      sequence: number of the newest view.
      view: the view, None when the node knows it.
      revision: newest revision that the leader knows to be in force
        somewhere.
      has_traffic: whether any node has seen a request of a caller.
      is_stopping: whether the leader is about to stop.
      is_cut_from_store: whether the leader gets no answer of the store, so
        that a node that does should take its place.
      lost_after_s: time without an announcement after which the leader
        counts as lost.
      is_relay: whether the node passes this on to the nodes of its data
        centre and answers for them.
      store_returns: how often the store has come back to the leader after a
        silence, in this term or shortly before.
      loads_lag: answers of the node that gets this since those that are in
        `loads`.
      suspects_sequence: number of the newest list of suspects in this term.
      suspects: requests under which servers have ended, None when the node
        has the list.
      senders: nodes whose requests are in `loads`.
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
    is_cut_from_store: bool
    lost_after_s: float
    is_relay: bool
    store_returns: int = 0
    loads_lag: int = 1
    suspects_sequence: int = 0
    suspects: tuple[Suspect, ...] | None = None
    senders: int = 0


class Summary(NamedTuple):
    """What the answers of several nodes come to.

    Attributes:
      nodes: incarnations of the live nodes that take callers.
      loads: requests at each head or server.
      senders: number of nodes that have any.
      silent: nodes that see the streams of a head stopped, by the head.
      has_traffic: whether one of them has seen a request of a caller.
      term: greatest term that one of them knows.
      revision: greatest revision that one of them has in force.
      holder: who has it, None when nobody has any.
    """

    nodes: tuple[str, ...] = ()
    loads: Mapping[str, int] = MappingProxyType({})
    senders: int = 0
    silent: Mapping[str, int] = MappingProxyType({})
    has_traffic: bool = False
    term: int = -1
    revision: int = -1
    holder: NodeEntry | None = None


class Acknowledgement(NamedTuple):
    """What a node answers to an announcement.

    Attributes:
      term: greatest term that the node knows.
      node: the node.
      is_taking_callers: whether new callers may be sent to it.
      version: version of the view that it uses.
      nodes_version: term and number of the list of nodes that it uses.
      revision: revision of the configuration in force.
      loads: its own requests at each head or server.
      silent: heads whose streams have stopped, as it sees them.
      has_traffic: whether it has seen a request of a caller.
      relayed: what the nodes answered to which it passes announcements on,
        None while some of them were not tried yet.
      suspects_version: term and number of the list of suspects that it uses.
    """

    term: int
    node: NodeEntry
    is_taking_callers: bool
    version: tuple[int, int]
    nodes_version: tuple[int, int]
    revision: int
    loads: Mapping[str, int]
    silent: tuple[str, ...]
    has_traffic: bool
    relayed: Summary | None = None
    suspects_version: tuple[int, int] = (-1, 0)


def add_up(summaries: Iterable[Summary]) -> Summary:
    """Return what several summaries come to."""
    total = Summary()
    loads: Counter[str] = Counter()
    silent: Counter[str] = Counter()
    nodes: list[str] = []
    senders = 0
    for one in summaries:
        senders += one.senders
        loads.update(one.loads)
        silent.update(one.silent)
        nodes += one.nodes
        is_newer = one.revision > total.revision
        total = total._replace(
            has_traffic=total.has_traffic or one.has_traffic,
            term=max(total.term, one.term),
            revision=one.revision if is_newer else total.revision,
            holder=one.holder if is_newer else total.holder,
        )
    return total._replace(
        nodes=tuple(nodes), loads=loads, senders=senders, silent=silent
    )


def summarize(answer: Acknowledgement) -> Summary:
    """Return what one node answered for itself."""
    return Summary(
        nodes=(answer.node.incarnation,) if answer.is_taking_callers else (),
        loads=answer.loads,
        senders=1 if answer.loads else 0,
        silent=dict.fromkeys(answer.silent, 1),
        has_traffic=answer.has_traffic,
        term=answer.term,
        revision=answer.revision,
        holder=answer.node if answer.revision >= 0 else None,
    )
