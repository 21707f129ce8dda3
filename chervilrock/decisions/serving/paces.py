"""How often, and for how long, nodes read the topics of the store.

Each call is paid for, and a change has to be known everywhere within two
seconds. So one node, the leader, reads often, and tells the others what they
lack; these have their reads held for long. In large data centres only a few
nodes read at all while a leader is heard: the others hear from it that there is
a newer configuration, and get it from those. Reads of all 195 nodes of an
installation, held for as long as the store may hold them, and ended by each
change, were most of its calls.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.leadership import LAST_RANK
from chervilrock.decisions.serving.relays import LEAST_RELAYED
from chervilrock.decisions.serving.view import NodeEntry

QUICK_PAUSE_S = 0.1
"""Pause between two reads of nodes and leaders while a node hears no leader, or
leads. With 0.3 s it took 0.55 s instead of 0.3 s after all processes were
killed until one of them led."""

RETRY_S = 0.5
"""Longest time between two attempts of a node that hears no leader."""

CANDIDATES = 3
"""Nodes that claim first."""

CANDIDATE_PAUSE_S = 0.01
"""Pause of these between two reads of nodes and leaders meanwhile. A claim
counts only if nothing was written since its node has read, and when all nodes
start at once, each of their records overtakes it. With pauses of 0.1 s, and of
0.5 s after a claim that was overtaken, it took 0.6 s from the first start until
12 nodes had a leader, now 0.1 s."""

EAGER_RETRY_S = 0.25
"""Longest time between two attempts of those whose answer tells all nodes that
the store is back: the leader and, without one, the nodes that claim first."""

LEADER_WAIT_S = 0.8
"""Time for which the store holds a read of the configuration of the leader. It
finds a connection that has gone silent within two seconds, and other nodes hear
from it what they lack."""

LEAST_WAIT_S = 20.0
"""Time for which the store holds a read of any other node in a small
installation. The leader tells when such reads have become useless, so that
they may be long: on a calm day six nodes make 336 calls a minute, nine 354;
with 5 and 10 s at all nodes they made 340 and 391."""

WAIT_PER_NODE_S = 0.3
"""Least wait for each node of the installation: 77 nodes make 608 calls a
minute on a calm day; with 0.25 s, the leader among them, they made 709."""

LONGEST_WAIT_S = 25.0
"""Longest wait, below the bound of the store."""

CALM_PAUSE_S = 1.0
"""Pause after a read of nodes and leaders while the leader is heard, which
tells the same, and for nodes that claim last or have no configuration: many
nodes that start within a second would wake each other ten times otherwise."""

CALM_RETRY_S = 2.0
"""Longest time between two attempts to reach the store while the leader is
heard, which tries four times a second and tells what is new. When nodes tried
twice a second as soon as the leader itself missed the store, 77 of them made
3,303 calls in an outage of 8.3 s, now 1,936."""


class Pace(NamedTuple):
    """How often a topic is read.

    Attributes:
      pause_s: time between two reads.
      retry_s: longest time between two attempts while the store is away.
      wait_s: time for which the store holds a read without news.
    """

    pause_s: float
    retry_s: float
    wait_s: float


DESIGNATED = 2
"""Nodes of a large data centre that read the store for the others: one may be
lost."""

LATE_S = 1.0
"""Time for which a node lacks a revision that it was told of until it reads the
store itself."""

UNLED_S = 1.0
"""Time without a leader after which also those nodes read who leads that need
not claim: designated ones claim first, mostly within half a second."""

SERVERS_PACE = Pace(pause_s=0.25, retry_s=EAGER_RETRY_S, wait_s=0.5)
"""How the leader follows the servers: they write some forty records a second,
and each call is paid for; a server that leaves must be known well within the
two seconds after which it may get no requests. The answer also tells all nodes
that the store is back: a call that gets none ends after 1.5 s, and later ones
after 1 s, 0.25 s apart."""


class Reader(NamedTuple):
    """What a node is, for the choice of its paces.

    Attributes:
      is_leader: whether it leads.
      may_lead: whether it has a configuration, without which nobody can lead.
      is_following: whether it has a leader that reaches the store.
      is_hearing: whether its leader speaks, be it to say that it gives way.
      rank: its place in the order of claims.
      nodes: nodes of the installation.
      misses_store: whether the store does not answer it.
      is_designated: whether it reads for others.
      is_registered: whether the store has its record.
      unled_s: time for which it has no leader that reaches the store.
      lag_s: time for which it has known of a revision that it lacks.
    """

    is_leader: bool
    may_lead: bool
    is_following: bool
    is_hearing: bool
    rank: int
    nodes: int
    misses_store: bool
    is_designated: bool
    is_registered: bool
    unled_s: float
    lag_s: float


def is_designated(own: NodeEntry, nodes: Iterable[NodeEntry]) -> bool:
    """Tell whether a node reads the store for others.

    In small data centres each node does. In others these are the strongest
    ones, of which one passes the leader's announcements on.

    Args:
      own: the node.
      nodes: all nodes that live.
    """
    near = [one for one in nodes if one.data_centre == own.data_centre]
    # In a small one also a node that the list does not name yet.
    return len(near) <= LEAST_RELAYED or own in _choose_strongest(near)


def list_designated(
    data_centre: str, nodes: Iterable[NodeEntry]
) -> list[NodeEntry]:
    """Return the nodes of a data centre that read the store."""
    near = [one for one in nodes if one.data_centre == data_centre]
    return near if len(near) <= LEAST_RELAYED else _choose_strongest(near)


def _choose_strongest(near: list[NodeEntry]) -> list[NodeEntry]:
    ranked = sorted(near, key=lambda one: (-one.cores, one.node))
    return ranked[:DESIGNATED]


def reads_configuration(reader: Reader) -> bool:
    """Tell whether a node follows the configuration in the store now."""
    is_lost = not reader.is_hearing or reader.lag_s > LATE_S
    return _reads_for_itself(reader) or is_lost


def reads_nodes(reader: Reader) -> bool:
    """Tell whether a node follows nodes and leaders in the store now."""
    if reader.misses_store and not reader.may_lead:
        # The other topic tells when the store is back, at half the calls.
        return False
    return _reads_for_itself(reader) or reader.unled_s > UNLED_S


def _reads_for_itself(reader: Reader) -> bool:
    """Tell whether a node reads, whatever others tell it."""
    is_new = not (reader.may_lead and reader.is_registered)
    return is_new or reader.is_leader or reader.is_designated


def choose_configuration_pace(reader: Reader) -> Pace:
    """Return how to follow the configuration."""
    wait_s = _find_wait(reader)
    return Pace(
        pause_s=QUICK_PAUSE_S,
        retry_s=_find_retry(reader),
        wait_s=min(wait_s, LEADER_WAIT_S) if reader.is_leader else wait_s,
    )


def choose_nodes_pace(reader: Reader) -> Pace:
    """Return how to follow the nodes and the leader."""
    wait_s = _find_wait(reader)
    if not reader.is_following and reader.rank < CANDIDATES:
        # Also before it has a configuration, which may come any moment.
        return Pace(CANDIDATE_PAUSE_S, EAGER_RETRY_S, wait_s)
    is_alone = reader.may_lead and not reader.is_following
    is_waiting = reader.rank < LAST_RANK or not reader.is_registered
    if reader.is_leader or (is_alone and is_waiting):
        return Pace(QUICK_PAUSE_S, RETRY_S, wait_s)
    return Pace(CALM_PAUSE_S, _find_retry(reader), wait_s)


def _find_retry(reader: Reader) -> float:
    return CALM_RETRY_S if reader.is_hearing else RETRY_S


def _find_wait(reader: Reader) -> float:
    """Return how long the store may hold a read without news."""
    if reader.misses_store:
        # A held read tells only after that time that there is no answer.
        return 0.0
    wait_s = max(LEAST_WAIT_S, WAIT_PER_NODE_S * reader.nodes)
    return min(wait_s, LONGEST_WAIT_S)
