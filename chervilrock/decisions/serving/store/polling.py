"""How often, and with which long-poll timeouts, nodes read the store.

Each call is paid for, and a change has to be known everywhere within two
seconds. One node, the leader, therefore reads often and announces to the others
what they lack; these use long polls with a long timeout. In large data centres
only a few designated readers read at all while there is contact with a leader:
the others learn from its announcements that there is a newer configuration, and
get it from the readers. When all 195 nodes of an installation read, even with
the longest long polls that the store allows, these reads are most of its calls,
since each change ends them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.nodes.leadership import LAST_RANK
from chervilrock.decisions.serving.nodes.relays import MAX_DIRECT_NODES
from chervilrock.decisions.serving.view import NodeEntry

QUICK_PAUSE_S = 0.1
"""Pause between two reads of nodes and leaders while a node has no contact with
a leader, or leads. After all processes were killed, a new leader is found in
0.3 s; with a pause of 0.3 s it takes 0.55 s."""

LEADERLESS_RETRY_S = 0.5
"""Longest time between two attempts of a node without contact to a leader."""

CANDIDATES = 3
"""Number of nodes that claim first."""

CANDIDATE_PAUSE_S = 0.01
"""Pause of the candidates between two reads of nodes and leaders while there is
no leader. A claim succeeds only if nothing was written since its node last
read, and when all nodes start at once, each of their registrations makes it
fail. 12 nodes have a leader 0.1 s after the first start; pauses of 0.1 s, and
of 0.5 s after a failed claim, delay it to 0.6 s."""

EAGER_RETRY_S = 0.25
"""Longest time between two attempts of the nodes that inform all others of the
recovery of the store: the leader or, without one, the candidates."""

LEADER_LONG_POLL_S = 0.8
"""Long-poll timeout of the reads of the configuration by the leader. It lets
the leader detect an unresponsive connection within two seconds, and other nodes
learn from the leader what they lack."""

MIN_LONG_POLL_S = 20.0
"""Long-poll timeout of the reads of any other node in a small installation. The
leader announces when pending reads have to be restarted, so that the timeout
may be long: without faults six nodes make 336 calls a minute and nine nodes
354; with timeouts of 5 and 10 s at all nodes they make 340 and 391."""

LONG_POLL_PER_NODE_S = 0.3
"""Least long-poll timeout for each node of the installation. Without faults 77
nodes make 608 calls a minute; with 0.25 s, also for the leader, they make
709."""

MAX_LONG_POLL_S = 25.0
"""Longest long-poll timeout, below the limit of the store."""

STEADY_PAUSE_S = 1.0
"""Pause after a read of nodes and leaders while there is contact with the
leader, which announces the same, and for nodes that claim last or have no
configuration. Otherwise many nodes that start within a second would end each
other's long polls ten times."""

STEADY_RETRY_S = 2.0
"""Longest time between two attempts to reach the store while there is contact
with the leader, which tries four times a second and announces changes. 77 nodes
make 1,936 calls in an outage of 8.3 s; when they tried twice a second as soon
as the leader itself could not reach the store, they made 3,303."""


class PollSchedule(NamedTuple):
    """How often a topic is read.

    Attributes:
      pause_s: time between two reads.
      retry_s: longest time between two attempts while the store is
        unavailable.
      long_poll_s: time after which the store answers a read without changes.
    """

    pause_s: float
    retry_s: float
    long_poll_s: float


DESIGNATED_READERS = 2
"""Nodes of a large data centre that read the store for the others, so that one
of them may be lost."""

MAX_REVISION_LAG_S = 1.0
"""Time for which a node may lack an announced revision before it reads the
store itself."""

MAX_LEADERLESS_S = 1.0
"""Time without a leader after which nodes that need not claim also read who
leads. Designated readers claim first, mostly within half a second."""

SERVERS_SCHEDULE = PollSchedule(
    pause_s=0.25, retry_s=EAGER_RETRY_S, long_poll_s=0.5
)
"""How the leader reads the entries of the servers. They write some forty
records a second, and each call is paid for. The leader must know that a
server is leaving well within the two seconds after which it may get no
requests. The answer also informs all nodes of a recovery of the store: a call
without an answer ends after 1.5 s, and later ones after 1 s, 0.25 s apart."""


class Reader(NamedTuple):
    """State of a node that determines its polling schedules.

    Attributes:
      is_leader: whether it leads.
      may_lead: whether it has a configuration, without which no node can lead.
      is_following: whether it has a leader that reaches the store.
      has_leader_contact: whether its leader announces, even if it steps down.
      rank: its rank in the order of claims.
      nodes: number of nodes of the installation.
      is_store_unavailable: whether it gets no answer of the store.
      is_designated: whether it reads for others.
      is_registered: whether the store has its record.
      leaderless_s: time without a leader that reaches the store.
      lag_s: time for which it has known of a revision that it lacks.
    """

    is_leader: bool
    may_lead: bool
    is_following: bool
    has_leader_contact: bool
    rank: int
    nodes: int
    is_store_unavailable: bool
    is_designated: bool
    is_registered: bool
    leaderless_s: float
    lag_s: float


def is_designated(own: NodeEntry, nodes: Iterable[NodeEntry]) -> bool:
    """Return whether a node reads the store for others.

    In small data centres each node does. In others the strongest nodes do, one
    of which relays the announcements of the leader.

    Args:
      own: the node.
      nodes: all live nodes.
    """
    near = [node for node in nodes if node.data_centre == own.data_centre]
    # In a small data centre this includes a node that is not listed yet.
    return len(near) <= MAX_DIRECT_NODES or own in _choose_strongest(near)


def list_designated(
    data_centre: str, nodes: Iterable[NodeEntry]
) -> list[NodeEntry]:
    """Return the nodes of a data centre that read the store."""
    near = [node for node in nodes if node.data_centre == data_centre]
    return near if len(near) <= MAX_DIRECT_NODES else _choose_strongest(near)


def _choose_strongest(near: list[NodeEntry]) -> list[NodeEntry]:
    ranked = sorted(near, key=lambda node: (-node.cores, node.node))
    return ranked[:DESIGNATED_READERS]


def reads_configuration(reader: Reader) -> bool:
    """Return whether a node reads the configuration from the store now."""
    lacks_updates = (
        not reader.has_leader_contact or reader.lag_s > MAX_REVISION_LAG_S
    )
    return _reads_for_itself(reader) or lacks_updates


def reads_nodes(reader: Reader) -> bool:
    """Return whether a node reads nodes and leaders from the store now."""
    if reader.is_store_unavailable and not reader.may_lead:
        # Reads of the configuration suffice to detect that the store has
        # recovered, with half of the calls.
        return False
    return _reads_for_itself(reader) or reader.leaderless_s > MAX_LEADERLESS_S


def _reads_for_itself(reader: Reader) -> bool:
    """Return whether a node reads regardless of announcements."""
    is_new = not (reader.may_lead and reader.is_registered)
    return is_new or reader.is_leader or reader.is_designated


def choose_configuration_schedule(reader: Reader) -> PollSchedule:
    """Return the schedule for reading the configuration."""
    wait_s = _find_long_poll_s(reader)
    return PollSchedule(
        pause_s=QUICK_PAUSE_S,
        retry_s=_find_retry_s(reader),
        long_poll_s=min(wait_s, LEADER_LONG_POLL_S)
        if reader.is_leader
        else wait_s,
    )


def choose_nodes_schedule(reader: Reader) -> PollSchedule:
    """Return the schedule for reading the nodes and the leader."""
    wait_s = _find_long_poll_s(reader)
    if not reader.is_following and reader.rank < CANDIDATES:
        # Also without a configuration, which may arrive at any moment.
        return PollSchedule(CANDIDATE_PAUSE_S, EAGER_RETRY_S, wait_s)
    is_leaderless = reader.may_lead and not reader.is_following
    is_waiting = reader.rank < LAST_RANK or not reader.is_registered
    if reader.is_leader or (is_leaderless and is_waiting):
        return PollSchedule(QUICK_PAUSE_S, LEADERLESS_RETRY_S, wait_s)
    return PollSchedule(STEADY_PAUSE_S, _find_retry_s(reader), wait_s)


def _find_retry_s(reader: Reader) -> float:
    return STEADY_RETRY_S if reader.has_leader_contact else LEADERLESS_RETRY_S


def _find_long_poll_s(reader: Reader) -> float:
    """Return the long-poll timeout in seconds."""
    if reader.is_store_unavailable:
        # A long poll would delay the detection of a missing answer by its
        # timeout.
        return 0.0
    wait_s = max(MIN_LONG_POLL_S, LONG_POLL_PER_NODE_S * reader.nodes)
    return min(wait_s, MAX_LONG_POLL_S)
