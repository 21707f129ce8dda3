"""Faults that one record, message or call brings to light."""

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.liveness import ConnectionLiveness
from chervilrock.clients.serving import KeyedPage, KeyedRecord, Topic
from chervilrock.decisions.decoding import UnreadableError
from chervilrock.decisions.serving.nodes.reachability import ProbeTarget
from chervilrock.decisions.serving.store.polling import PollSchedule
from chervilrock.platform.store import StoreClient
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving.faults import Faults, Work
from chervilrock.tasks.serving.follower import TopicFollower
from chervilrock.tasks.serving.messages import (
    Message,
    ReadFailed,
    RecordsRead,
    StallReported,
)
from chervilrock.tasks.serving.outbound import Outbound
from test.tasks.installation import Installation
from test.tasks.virtual_time import run_virtually

ODD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 6000,
    "127.0.0.1:80\0",
    "\0",
    "",
    "x y:1",
    "\xe9:1",
    "\ud800:1",
    "127.0.0.1:1/\r\nX: y",
    "[" * 10_000,
)


def make_read(*keys: str) -> RecordsRead:
    records = tuple(
        KeyedRecord(key, b"{}", offset) for offset, key in enumerate(keys)
    )
    page = KeyedPage(records=records, next_offset=len(keys))
    return RecordsRead(Topic.SERVERS, page, False)


def test_the_records_around_a_faulty_one_are_applied():
    # Failure: one record ended the node, and again at each start.
    applied = []

    def apply(record: KeyedRecord) -> None:
        if record.key == "fault":
            raise KeyError(record.key)
        if record.key == "unreadable":
            raise UnreadableError("no entry")
        applied.append(record.key)

    faults = Faults()
    read = make_read("a", "fault", "b", "unreadable", "c")
    assert_that(faults.apply_records(read, apply), Equals(False))
    assert_that(applied, Equals(["a", "b", "c"]))
    assert_that(faults.counts, Equals({Work.RECORD: 1}))
    assert_that(faults.unreadable, Equals({Topic.SERVERS: 1}))


def test_a_record_that_cannot_be_decoded_is_no_fault():
    # Failure: odd records of other programs count as faults of this one.
    def apply(record: KeyedRecord) -> None:
        raise UnreadableError(record.key)

    faults = Faults()
    assert_that(faults.apply_records(make_read("a"), apply), Equals(True))
    assert_that(faults.counts.total(), Equals(0))


@pytest.mark.parametrize("topic", list(Topic))
def test_nodes_follow_a_topic_behind_a_record_that_makes_them_fail(
    monkeypatch, topic
):
    # Failure: an unexpected exception for a record ended all nodes.
    async def scenario() -> tuple[float, int, int]:
        site = Installation(monkeypatch=monkeypatch, seed=1)
        await site.start(nodes=3, data_centres=1)
        site.may_fault = True

        def fail(*_arguments: Any) -> None:
            raise ZeroDivisionError

        for node in site.running_nodes.values():
            task = node.task
            if topic is Topic.CONFIGURATION:
                monkeypatch.setattr(task._evacuations, "_decode", fail)
            elif topic is Topic.NODES:
                monkeypatch.setattr(task._records, "add", fail)
            elif task._leader_role is not None:
                monkeypatch.setattr(task._leader_role, "_decode_server", fail)
        key = "node/other" if topic is Topic.NODES else "other"
        value = (
            b'["other","1","127.0.0.1:1","127.0.0.1:2","p0"]'
            if topic is Topic.NODES
            else b"x"
        )
        site.store.append(topic, key, value)
        await asyncio.sleep(2.0)
        site.confirm_revision(2)
        await site.wait_until(site.is_in_force, 10.0)
        lateness_s = site.find_lateness(0.0)
        faults = sum(
            node.state.faults.counts[Work.RECORD]
            for node in site.running_nodes.values()
        )
        await site.stop()
        return lateness_s, faults, len(site.failures)

    lateness_s, faults, failures = run_virtually(scenario())
    assert_that(lateness_s < 10.0, Equals(True))
    assert_that(faults > 0, Equals(True))
    assert_that(failures, Equals(0))


def test_a_message_that_makes_a_node_fail_does_not_end_it(monkeypatch):
    # Failure: an unexpected exception for a message of a peer ended the node.
    async def scenario() -> int:
        site = Installation(monkeypatch=monkeypatch, seed=1)
        await site.start(nodes=3, data_centres=1)
        site.may_fault = True
        leader = site.find_leader()
        assert leader is not None
        node = site.running_nodes[leader]

        def fail(*_arguments: Any) -> None:
            raise OverflowError

        with monkeypatch.context() as patch:
            patch.setattr(node.task._leader_role, "record_stall", fail)
            node.task.mailbox.offer(StallReported("g"))
            await asyncio.sleep(1.0)
        faults = node.state.faults.counts[Work.MESSAGE]
        assert_that(site.find_leader() == leader, Equals(True))
        await site.stop()
        return faults

    assert_that(run_virtually(scenario()), Equals(1))


def test_a_probe_that_fails_leaves_the_others_their_answers(monkeypatch):
    # Failure: the node never probed again, whether or not it was cut off.
    async def scenario() -> tuple[bool, Faults]:
        site = Installation(monkeypatch=monkeypatch, seed=1)
        await site.start(nodes=1, data_centres=1)
        site.may_fault = True
        (node,) = site.running_nodes.values()

        async def reach(_outbound: Any, target: ProbeTarget) -> bool:
            if target.server == "odd":
                raise ZeroDivisionError
            await asyncio.sleep(0.1)
            return True

        monkeypatch.setattr(Outbound, "_is_reached", reach)
        reachability = node.state.reachability
        reachability.record_probing()
        targets = [
            ProbeTarget(server, "10.0.0.1:1", is_head=True)
            for server in ("odd", "sound")
        ]
        began = asyncio.get_running_loop().time()
        node.task._outbound.probe_servers(tuple(targets), began)
        await asyncio.sleep(1.0)
        await site.stop()
        return reachability._is_probing, node.state.faults

    is_probing, faults = run_virtually(scenario())
    assert_that(is_probing, Equals(False))
    assert_that(faults.counts, Equals({Work.CALL: 1}))


class FailingStore:
    """A store whose first answers raise."""

    def __init__(self) -> None:
        self.calls = 0

    async def fetch_newest(self, topic: Topic) -> Any:
        del topic
        self.calls += 1
        if self.calls <= 2:
            raise ValueError("an odd answer")
        return Success(KeyedPage(records=(), next_offset=0))

    async def read(self, *_arguments: Any) -> Any:
        await asyncio.sleep(1000.0)


def test_reads_go_on_behind_an_answer_that_makes_them_fail():
    # Failure: the node stopped to follow the topic without a word.
    async def scenario() -> tuple[list[Message], Faults]:
        faults = Faults()
        mailbox: Mailbox[Message] = Mailbox()
        store: Any = FailingStore()
        follower = TopicFollower(
            store=store,
            topic=Topic.SERVERS,
            choose_schedule=lambda: PollSchedule(1.0, 1.0, 0.0),
            outbox=mailbox,
            faults=faults,
        )
        running = asyncio.ensure_future(follower.run())
        await asyncio.sleep(5.0)
        running.cancel()
        return list(mailbox.receive_waiting()), faults

    messages, faults = run_virtually(scenario())
    failed = [one for one in messages if isinstance(one, ReadFailed)]
    assert_that(failed, HasLength(2))
    assert_that(isinstance(messages[-1], RecordsRead), Equals(True))
    assert_that(faults.counts, Equals({Work.CALL: 2}))


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda text: text[:20])
def test_calls_to_odd_addresses_fail_without_an_exception(address):
    # Failure: a node's entry with NUL in its address ended what asked it.
    async def call() -> Any:
        client = HttpClient()
        try:
            alive = await ConnectionLiveness().is_alive(address)
            result = await client.request(
                "GET", f"http://{address}/peer/contact", timeout_s=0.2
            )
        finally:
            client.close()
        return alive, result

    alive, result = asyncio.run(call())
    assert_that(alive, Equals(False))
    assert_that(isinstance(result, Failure), Equals(True))


def test_a_store_with_an_endless_era_is_not_believed():
    # Failure: ValueError for its digits ended the reads of the topic.
    client: Any = None
    store = StoreClient(client=client, address="127.0.0.1:1")

    class Answer:
        header = "9" * 6000

    answer: Any = Answer()
    error: PlatformError = store._check_era(answer).failure()
    assert_that(error.kind, Equals(PlatformErrorKind.BAD_ANSWER))
