"""Intervals of a leader's announcements to busy and to idle nodes."""

from collections.abc import Awaitable, Generator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.serving.leadership import (
    find_interval,
    find_min_interval,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    NO_VIEW,
    NodeEntry,
)
from chervilrock.tasks.serving.peermessages import EncodedMessage
from chervilrock.tasks.serving.peers import Peers, Update

NODES = 40
BUSY = 8
STEP_S = 0.01
RUN_S = 3.0


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
        is_store_unreachable=False,
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
        stalled=(),
        has_traffic=True,
        relayed=None,
    )


class SimulatedNodes:
    """A leader, and nodes that answer each announcement immediately.

    Attributes:
      sent: times of the announcements to each node.
      revision: newest revision of the leader.
    """

    def __init__(self) -> None:
        self.nodes = [make_node(number) for number in range(NODES)]
        self.sent: dict[str, list[float]] = {
            node.node: [] for node in self.nodes
        }
        self.revision = 1
        self._now = 0.0
        self._peers = Peers(send=self._send)
        self._peers.sync(self.nodes, 0.0)
        self._announced: list[NodeEntry] = []

    def run(self, until: float) -> None:
        """Let the leader send its announcements until a time."""
        interval_s = find_interval(NODES)
        while self._now < until:
            self._now = round(self._now + STEP_S, 6)
            update = Update(
                base=make_announcement(self.revision),
                view=NO_VIEW,
                nodes=(),
                nodes_version=(1, 0),
                interval_s=interval_s,
                busy_pause_s=find_min_interval(
                    self._peers.count_busy(frozenset())
                ),
                idle_pause_s=find_min_interval(NODES),
            )
            self._peers.announce(update, self._now)
            for node in self._announced:
                answer = make_answer(node, is_busy=node in self.nodes[:BUSY])
                self._peers.record_answer(
                    node.incarnation, answer, interval_s, self._now
                )
            self._announced.clear()

    def _send(
        self, entry: NodeEntry, message: EncodedMessage
    ) -> Awaitable[None]:
        del message
        self.sent[entry.node].append(self._now)
        self._announced.append(entry)
        return _Completed()


class _Completed(Awaitable[None]):
    """The result of a call that has completed."""

    def __await__(self) -> Generator[None, None, None]:
        return
        yield


@pytest.fixture
def simulation() -> SimulatedNodes:
    return SimulatedNodes()


def test_busy_nodes_get_announcements_twice_as_often_as_idle_ones(simulation):
    simulation.run(RUN_S)
    counts = [len(simulation.sent[node.node]) for node in simulation.nodes]
    assert_that(min(counts[:BUSY]), GreaterThan(RUN_S / 0.15))
    assert_that(max(counts[BUSY:]), LessThan(RUN_S / 0.2))
    assert_that(min(counts[BUSY:]), GreaterThan(RUN_S / 0.3))


def test_a_new_revision_is_announced_once_and_immediately_to_all(simulation):
    simulation.run(RUN_S)
    before = {name: len(times) for name, times in simulation.sent.items()}
    simulation.revision = 2
    simulation.run(RUN_S + STEP_S)
    after = {name: len(times) for name, times in simulation.sent.items()}
    assert_that(
        after, Equals({name: count + 1 for name, count in before.items()})
    )
    simulation.run(RUN_S + 2 * STEP_S)
    again = sum(len(times) for times in simulation.sent.values())
    assert_that(again, Equals(sum(after.values())))
