"""How often a leader speaks to the nodes that run requests and to others."""

from collections.abc import Awaitable, Generator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.leadership import find_interval, find_pause
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    NO_VIEW,
    NodeEntry,
)
from chervilrock.tasks.serving.peers import News, Peers

NODES = 40
BUSY = 8
STEP_S = 0.01
PLAY_S = 3.0


def make_node(number: int) -> NodeEntry:
    name = f"n{number:02}"
    return NodeEntry(name, f"i{number:02}", f"{name}:1", f"{name}:2", "p")


def make_announcement(revision: int) -> Announcement:
    return Announcement(
        term=1,
        leader=make_node(99),
        nodes_sequence=0,
        nodes=None,
        loads={},
        sequence=NO_VIEW.sequence,
        view=None,
        revision=revision,
        has_traffic=True,
        is_stopping=False,
        is_cut_from_store=False,
        lost_after_s=1.0,
        is_relay=False,
    )


def make_answer(node: NodeEntry, *, is_busy: bool) -> Acknowledgement:
    return Acknowledgement(
        term=1,
        node=node,
        is_taking_callers=True,
        version=NO_VIEW.version,
        nodes_version=(1, 0),
        revision=1,
        loads={"s1": 2} if is_busy else {},
        silent=(),
        has_traffic=True,
        relayed=None,
    )


class Circle:
    """A leader and nodes that answer each announcement at once.

    Attributes:
      sent: times at which each node was spoken to.
      revision: newest revision that the leader knows.
    """

    def __init__(self) -> None:
        self.nodes = [make_node(number) for number in range(NODES)]
        self.sent: dict[str, list[float]] = {one.node: [] for one in self.nodes}
        self.revision = 1
        self._now = 0.0
        self._peers = Peers(send=self._send)
        self._peers.sync(self.nodes, 0.0)
        self._spoken: list[NodeEntry] = []

    def play(self, until: float) -> None:
        """Let the leader speak when it is time to."""
        interval_s = find_interval(NODES)
        while self._now < until:
            self._now = round(self._now + STEP_S, 6)
            news = News(
                base=make_announcement(self.revision),
                view=NO_VIEW,
                nodes=(),
                nodes_version=(1, 0),
                interval_s=interval_s,
                busy_pause_s=find_pause(self._peers.count_busy(frozenset())),
                idle_pause_s=find_pause(NODES),
            )
            self._peers.announce(news, self._now)
            for node in self._spoken:
                answer = make_answer(node, is_busy=node in self.nodes[:BUSY])
                self._peers.take(
                    node.incarnation, answer, interval_s, self._now
                )
            self._spoken.clear()

    def _send(self, entry: NodeEntry, body: bytes) -> Awaitable[None]:
        del body
        self.sent[entry.node].append(self._now)
        self._spoken.append(entry)
        return _Ended()


class _Ended(Awaitable[None]):
    """A send that nobody waits for."""

    def __await__(self) -> Generator[None, None, None]:
        return
        yield


@pytest.fixture
def circle() -> Circle:
    return Circle()


def test_nodes_that_run_requests_hear_the_loads_twice_as_often(circle):
    circle.play(PLAY_S)
    counts = [len(circle.sent[one.node]) for one in circle.nodes]
    assert_that(min(counts[:BUSY]), GreaterThan(PLAY_S / 0.15))
    assert_that(max(counts[BUSY:]), LessThan(PLAY_S / 0.2))
    assert_that(min(counts[BUSY:]), GreaterThan(PLAY_S / 0.3))


def test_a_new_revision_is_told_to_all_at_once_and_once(circle):
    circle.play(PLAY_S)
    before = {name: len(times) for name, times in circle.sent.items()}
    circle.revision = 2
    circle.play(PLAY_S + STEP_S)
    told = {name: len(times) for name, times in circle.sent.items()}
    assert_that(
        told, Equals({name: count + 1 for name, count in before.items()})
    )
    circle.play(PLAY_S + 2 * STEP_S)
    again = sum(len(times) for times in circle.sent.values())
    assert_that(again, Equals(sum(told.values())))
