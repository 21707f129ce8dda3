"""Which nodes the leader speaks to itself, and who passes its words on.

A leader that speaks to every node of a large installation sends most of its
bytes over the lines between data centres, and the more nodes there are, the
less often it can speak to each. So in each other data centre with more than a
few nodes, one of them passes announcements on and answers for the others. It
does so only when an announcement comes, so that all nodes miss a leader that
is gone. Small data centres are spoken to directly: there a relay would save
little, and its loss would be noticed later than that of the leader.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.view import NodeEntry, Summary

LEAST_RELAYED = 8
"""Nodes of a data centre above which one of them relays. With three to a data
centre a leader sends 4 MB a minute over the lines between them, with 26 of
them 24 MB."""

REST_S = 5.0
"""Time for which a node that did not pass on is not chosen again."""

KEEP_S = 2.0
"""Time for which the last answers of a data centre count while its relay is
replaced: the loss of a relay is noticed after 0.6 s, and the next one has heard
all its nodes one or two intervals later."""

SWITCH_S = 0.9
"""Time that it takes until another node relays: the timeout of the call and an
interval. Nodes behind a relay miss their leader this much later."""


class Circle(NamedTuple):
    """Whom the leader speaks to.

    Attributes:
      nodes: all of them.
      relays: incarnations of those that pass announcements on.
    """

    nodes: tuple[NodeEntry, ...]
    relays: frozenset[str]


class RelayTable:
    """Chooses a relay for each data centre and keeps what it answered."""

    def __init__(self, *, data_centre: str) -> None:
        """Choose for a leader that stands in a data centre."""
        self._own_data_centre = data_centre
        self._chosen: dict[str, str] = {}
        self._failed: dict[str, float] = {}
        self._answers: dict[str, tuple[Summary, float]] = {}

    def choose(self, nodes: Iterable[NodeEntry], now: float) -> Circle:
        """Return whom to speak to.

        Args:
          nodes: all nodes that are known, but for the leader.
          now: present time.
        """
        places: dict[str, list[NodeEntry]] = {}
        for node in nodes:
            places.setdefault(node.data_centre, []).append(node)
        direct: list[NodeEntry] = []
        relays: list[NodeEntry] = []
        self._chosen = {
            place: relay
            for place, relay in self._chosen.items()
            if place in places
        }
        for place, members in places.items():
            is_small = len(members) <= LEAST_RELAYED
            if is_small or place == self._own_data_centre:
                self._chosen.pop(place, None)
                direct += members
            else:
                relays.append(self._choose_one(place, members, now))
        return Circle(
            nodes=(*direct, *relays),
            relays=frozenset(one.incarnation for one in relays),
        )

    def note_failure(self, incarnation: str, now: float) -> None:
        """Note that a node did not answer; another one takes its place."""
        if incarnation in self._chosen.values():
            self._failed[incarnation] = now

    def note_answer(self, node: NodeEntry, answer: Summary, now: float) -> None:
        """Keep what a relay answered for its data centre."""
        self._answers[node.data_centre] = (answer, now)

    def list_answers(self, now: float) -> list[Summary]:
        """Return the last answers of the data centres that are relayed."""
        return [
            answer
            for place, (answer, answered) in self._answers.items()
            if place in self._chosen and now - answered <= KEEP_S
        ]

    def _choose_one(
        self, place: str, members: list[NodeEntry], now: float
    ) -> NodeEntry:
        """Return the relay of a data centre.

        The strongest node comes first, as with leaders. When all have failed
        lately, the one whose failure is longest ago is tried again.
        """
        for incarnation, failed in list(self._failed.items()):
            if now - failed > REST_S:
                del self._failed[incarnation]
        chosen = self._chosen.get(place)
        best = min(
            members,
            key=lambda one: (
                self._failed.get(one.incarnation, float("-inf")),
                one.incarnation != chosen,
                -one.cores,
                one.node,
            ),
        )
        self._chosen[place] = best.incarnation
        return best
