"""Intervals of a leader's announcements to busy and to idle nodes."""

from collections.abc import Awaitable, Generator
import gzip
from typing import NamedTuple

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.nodes.leadership import (
    find_interval,
    find_min_interval,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    merge_summaries,
    NO_VIEW,
    NodeEntry,
    Summary,
)
from chervilrock.tasks.serving.peermessages import (
    BASE_LENGTHS,
    decode_acknowledgement,
    decode_announcement,
    encode_acknowledgement,
    encode_announcement,
    EncodedMessage,
)
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


class _FormerAcknowledgement(NamedTuple):
    """An acknowledgement as a process of the previous version decodes it."""

    term: int
    node: NodeEntry
    is_taking_callers: bool
    version: tuple[int, int]
    nodes_version: tuple[int, int]
    revision: int
    loads: dict[str, int]
    stalled: tuple[str, ...]
    has_traffic: bool
    relayed: Summary | None = None
    suspects_version: tuple[int, int] = (-1, 0)


def test_former_processes_can_decode_messages_with_waiting_requests() -> None:
    # Their decoder rejects a message with more fields than it knows, and the
    # leader would lose them during an update.
    waiting = {"m": {0: 3, 2: 1}}
    node = make_node(1)
    relayed = merge_summaries([Summary(nodes=("i",), waiting=waiting)])
    answer = make_answer(node, is_busy=True)._replace(
        relayed=relayed, suspects_version=(1, 2), waiting=waiting
    )
    sent = encode_acknowledgement(answer)
    decoded = msgspec.json.decode(sent.body, type=_FormerAcknowledgement)
    assert_that(decoded.suspects_version == (1, 2), Is(True))
    assert_that(len(msgspec.json.decode(sent.body)[9]), LessThan(9))
    present = decode_acknowledgement(sent.body, sent.extension)
    assert_that(present == answer, Is(True))

    announcement = make_announcement(1)._replace(waiting=waiting)
    announced = encode_announcement(announcement)
    body = gzip.decompress(announced.body)
    fields = msgspec.json.decode(body)
    assert_that(len(fields), Equals(BASE_LENGTHS[Announcement]))
    received = decode_announcement(body, announced.extension)
    assert_that(received == announcement, Is(True))
