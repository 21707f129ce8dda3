"""Which nodes get announcements from the leader itself, and which relay them.

A leader that sends announcements to every node of a large installation sends
most of its bytes over the links between data centres, and the more nodes there
are, the less often each of them gets one. In each other data centre with more
than a few nodes, one node therefore forwards announcements and answers for the
others. It does so only when an announcement arrives, so that all nodes detect
the loss of the leader. Nodes of small data centres get announcements directly:
a relay would save little there, and its loss would be detected later than that
of the leader.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.view import NodeEntry, Summary

MAX_DIRECT_NODES = 8
"""Greatest number of nodes of a data centre that get announcements directly;
with more of them one relays. With three nodes to a data centre a leader sends
4 MB a minute over the links between data centres, with 26 nodes 24 MB."""

RELAY_BACKOFF_S = 5.0
"""Time for which a node that failed as a relay is not chosen again."""

ANSWER_TTL_S = 2.0
"""Time for which the last answers of a data centre count while its relay is
replaced. The loss of a relay is detected after 0.6 s, and the next one has the
answers of all its nodes one or two intervals later."""

RELAY_SWITCH_S = 0.9
"""Time until another node replaces a lost relay: the timeout of the call and an
interval. Nodes behind a relay detect the loss of the leader this much
later."""


class Recipients(NamedTuple):
    """Nodes to which the leader sends announcements itself.

    Attributes:
      nodes: all of these nodes.
      relays: incarnations of those that forward announcements.
    """

    nodes: tuple[NodeEntry, ...]
    relays: frozenset[str]


class RelayTable:
    """Chooses a relay for each data centre and keeps its last answer."""

    def __init__(self, *, data_centre: str) -> None:
        """Create a table for a leader in a data centre."""
        self._own_data_centre = data_centre
        self._relay_by_data_centre: dict[str, str] = {}
        self._failed_at: dict[str, float] = {}
        self._answers: dict[str, tuple[Summary, float]] = {}

    def choose(self, nodes: Iterable[NodeEntry], now: float) -> Recipients:
        """Return the nodes to send announcements to.

        Args:
          nodes: all known nodes except the leader.
          now: current time.
        """
        by_data_centre: dict[str, list[NodeEntry]] = {}
        for node in nodes:
            by_data_centre.setdefault(node.data_centre, []).append(node)
        direct: list[NodeEntry] = []
        relays: list[NodeEntry] = []
        self._relay_by_data_centre = {
            data_centre: relay
            for data_centre, relay in self._relay_by_data_centre.items()
            if data_centre in by_data_centre
        }
        for data_centre, members in by_data_centre.items():
            is_small = len(members) <= MAX_DIRECT_NODES
            if is_small or data_centre == self._own_data_centre:
                self._relay_by_data_centre.pop(data_centre, None)
                direct += members
            else:
                relays.append(self._choose_one(data_centre, members, now))
        return Recipients(
            nodes=(*direct, *relays),
            relays=frozenset(node.incarnation for node in relays),
        )

    def record_failure(self, incarnation: str, now: float) -> None:
        """Record that a node did not answer; a relay is then replaced."""
        if incarnation in self._relay_by_data_centre.values():
            self._failed_at[incarnation] = now

    def exclude(self, incarnation: str, now: float) -> None:
        """Record that a node was lost before it could become a relay."""
        self._failed_at[incarnation] = now

    def record_relay_answer(
        self, node: NodeEntry, answer: Summary, now: float
    ) -> None:
        """Record the answer of a relay for its data centre."""
        self._answers[node.data_centre] = (answer, now)

    def list_answers(self, now: float) -> list[Summary]:
        """Return the last answers of the data centres that have a relay."""
        return [
            answer
            for data_centre, (answer, answered) in self._answers.items()
            if data_centre in self._relay_by_data_centre
            and now - answered <= ANSWER_TTL_S
        ]

    def _choose_one(
        self, data_centre: str, members: list[NodeEntry], now: float
    ) -> NodeEntry:
        """Return the relay of a data centre.

        The strongest node comes first, as with leaders. If all nodes have
        failed recently, the one that failed first is tried again.
        """
        for incarnation, failed in list(self._failed_at.items()):
            if now - failed > RELAY_BACKOFF_S:
                del self._failed_at[incarnation]
        chosen = self._relay_by_data_centre.get(data_centre)
        best = min(
            members,
            key=lambda node: (
                self._failed_at.get(node.incarnation, float("-inf")),
                node.incarnation != chosen,
                -node.cores,
                node.node,
            ),
        )
        self._relay_by_data_centre[data_centre] = best.incarnation
        return best
