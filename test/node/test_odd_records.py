"""Odd records that another writer leaves in the store while nodes run."""

import asyncio
import json
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import make_configuration, PLAIN_SERVICE
from test.node.serving_site import run_world, World
from test.test_decoders import list_documents, ODD_LITERALS

DEEP = 100_000
DEEP_LISTS = b"[" * DEEP + b"]" * DEEP
DEEP_FIELD = b'{"unread":' + DEEP_LISTS + b"}"


def encode(document: dict[str, Any], place: bytes) -> bytes:
    """Return a document as JSON with a text in place of the value "PLACE"."""
    return json.dumps(document).encode().replace(b'"PLACE"', place)


UNREADABLE_CONFIGURATIONS = {
    "nested, in an unread field": encode(
        make_configuration(2, unread="PLACE"), DEEP_LISTS
    ),
    "too large a number": encode(
        make_configuration(2, limits={"idle_timeout_ms": "PLACE"}), b"1e400"
    ),
    "no UTF-8": b'{"version": 2, "routes": "\xff"}',
    "null": b"null",
    "no object": b"[]",
}


async def read_metrics(world: World, node: int = 0) -> str:
    """Return the metrics of a node."""
    address = world.nodes[node].own.peer_address
    response = await world.fetch(address, "/metrics")
    return response.body.decode()


@pytest.mark.parametrize(
    "document",
    UNREADABLE_CONFIGURATIONS.values(),
    ids=list(UNREADABLE_CONFIGURATIONS),
)
def test_an_unreadable_configuration_leaves_the_one_before_in_force(
    document: bytes, log_lines: list[str]
) -> None:
    # Failure: all nodes ended, and operators saw no metric.
    gauge = "chervilrock_configuration_unreadable"

    async def scenario(world: World) -> None:
        topic = world.site.store.topic("keyed.op")
        assert_that(await read_metrics(world), Contains(f"{gauge} 0.0"))
        topic.append("config", document)
        await world.wait(
            lambda: sum("E7102" in line for line in log_lines) >= 2,
            "both nodes have read the configuration",
        )
        assert_that(await read_metrics(world), Contains(f"{gauge} 1.0"))
        assert_that({node.state.revision for node in world.nodes}, Equals({1}))
        assert_that(set(await world.call_in_turn(seconds=0.5)), Equals({200}))
        world.site.store.write_configuration(make_configuration(3))
        await world.wait(
            lambda: all(node.state.revision == 3 for node in world.nodes),
            "the next configuration is in force",
        )
        assert_that(await read_metrics(world), Contains(f"{gauge} 0.0"))

    run_world(scenario, nodes=2)


def test_a_node_gets_the_readable_configuration_of_another_one() -> None:
    # Failure: a node that starts beside others ended, or served nothing.
    async def scenario(world: World) -> None:
        world.site.store.topic("keyed.op").append("config", DEEP_FIELD)
        world.add_node()
        await world.wait(
            lambda: world.nodes[-1].state.revision == 1,
            "the new node has the configuration of the others",
        )
        await world.wait(world.serves_all, "all models served")
        answer = await world.call("/draft/x", node=len(world.nodes) - 1)
        assert_that(answer.status, Equals(200))

    run_world(scenario, nodes=2)


def test_a_node_without_a_readable_configuration_answers_503() -> None:
    # Failure: the node ended at each start.
    async def run() -> None:
        world = World()
        try:
            world.site.start(data_centres=("a",))
            topic = world.site.store.topic("keyed.op")
            topic.append("config", DEEP_FIELD)
            world._shared = {
                "data_centres": ("a",),
                "evac_ms": 5000,
                "grace_s": 8.0,
            }
            node = world.add_node()
            await asyncio.sleep(1.0)
            for _ in range(3):
                answer = await world.call("/draft/x")
                assert_that(answer.status, Equals(503))
            assert_that(node.failed.is_set(), Is(False))
            metrics = await read_metrics(world)
            assert_that(
                metrics, Contains("chervilrock_configuration_unreadable 1.0")
            )
            world.site.store.write_configuration(make_configuration(3))
            await world.wait(world.serves_all, "all models served")
            assert_that((await world.call("/draft/x")).status, Equals(200))
        finally:
            await world.stop()

    asyncio.run(run())


async def call_during(
    world: World, records: list[tuple[str, str, bytes]]
) -> list[int]:
    """Append records to topics while requests run; return the statuses."""
    calls = asyncio.create_task(
        world.call_in_turn(seconds=len(records) * INTERVAL_S)
    )
    for topic, key, value in records:
        world.site.store.topic(topic).append(key, value)
        await asyncio.sleep(INTERVAL_S)
    return await calls


INTERVAL_S = 0.015
"""Time between two odd records."""

OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
NODES = "keyed.chervilrock"

ODD_VALUES = [
    literal
    for name, literal in ODD_LITERALS.items()
    if name not in ("nothing", "huge text")
]
ODD_FIELDS = (
    "deep list",
    "nearly too deep",
    "4000 digits",
    "-1",
    "NUL",
    "no UTF-8",
    "port 70000",
)
SMALL_TEXT = b'"' + b"x" * 100_000 + b'"'


def list_odd_records() -> list[tuple[str, str, bytes]]:
    """Return odd records of all topics: their topics, keys and values."""
    whole = [
        (topic, key, value)
        for topic, key in (
            (OPERATOR, "config"),
            (OPERATOR, "evacuate/z9"),
            (OPERATOR, "evacuate/"),
            (OPERATOR, "other"),
            (SERVERS, "i-odd"),
            (SERVERS, "i\0odd"),
            (NODES, "leader"),
            (NODES, "node/odd"),
            (NODES, "node/"),
            (NODES, "withheld/odd"),
            (NODES, "other"),
        )
        for value in (*ODD_VALUES, SMALL_TEXT, DEEP_FIELD)
    ]
    return [*whole, *list_odd_fields()]


def list_odd_fields() -> list[tuple[str, str, bytes]]:
    """Return records with an odd value in one of their fields."""
    literals = [ODD_LITERALS[name] for name in ODD_FIELDS]
    return [
        (topic, key, document)
        for topic, key, decoder in (
            (OPERATOR, "config", "chervilrock.platform.operator:_DECODER"),
            (SERVERS, "i-odd", "chervilrock.platform.servers:_DECODER"),
            (
                NODES,
                "node/odd",
                "chervilrock.tasks.serving.noderecords:_NODE_DECODER",
            ),
            (
                NODES,
                "withheld/odd",
                "chervilrock.tasks.serving.poisondetector:_SUSPECT_DECODER",
            ),
        )
        for document in list_documents(decoder, literals)
        # A valid configuration may well leave no route.
        if key != "config" or b'"version": 1,' not in document
    ]


def test_nodes_serve_and_follow_the_store_behind_odd_records(
    log_lines: list[str],
) -> None:
    # Failure: all nodes ended again and again, or stopped to follow a topic.
    async def scenario(world: World) -> None:
        statuses = await call_during(world, list_odd_records())
        assert_that(statuses.count(200) / len(statuses) > 0.99, Is(True))
        for node in world.nodes:
            assert_that(node.failed.is_set(), Is(False))
        store = world.site.store
        store.topic(NODES).append("node/odd", b"")
        store.write_configuration(make_configuration(2))
        await world.wait(
            lambda: all(node.state.revision == 2 for node in world.nodes),
            "a later configuration is in force",
        )
        store.write_evacuation("b")
        await world.wait(
            lambda: all(
                node.state.evacuations.is_evacuated("b") for node in world.nodes
            ),
            "a later evacuation is followed",
        )
        store.write_evacuation("b", is_evacuated=False)
        added = world.site.add_server(
            SiteServer(
                store=store,
                service=PLAIN_SERVICE,
                data_centre="a",
                crashing_bodies=world.site.crashing_bodies,
                crashing_parts=world.site.crashing_parts,
            )
        )
        await world.wait(
            lambda: all(
                added.server
                in {server.server for server in node.state.view.servers}
                for node in world.nodes
            ),
            "a later server is in the view",
        )
        node = world.add_node()
        await world.wait(
            lambda: node.state.revision == 2 and world.serves_all(),
            "a node that starts now serves",
        )
        assert_that(set(await world.call_in_turn(seconds=0.5)), Equals({200}))

    run_world(scenario, nodes=3, data_centres=("a", "b"), evac_ms=2000)
    for number in ("E1006", "E7012", "E7420"):
        lines = [line for line in log_lines if number in line]
        assert_that(lines, HasLength(0))
    topics = {
        topic
        for topic in ("configuration", "servers", "nodes")
        if any(
            "E7103" in line and f"topic={topic}" in line for line in log_lines
        )
    }
    assert_that(topics, Equals({"servers", "nodes"}))


MESSAGES = "chervilrock.tasks.serving.peermessages"
MESSAGE_DECODERS = {
    "announcement": f"{MESSAGES}:_ANNOUNCEMENT",
    "ends": f"{MESSAGES}:_CRASH_REPORT",
    "limit": f"{MESSAGES}:_STATEMENTS",
    "departure": f"{MESSAGES}:_STATEMENTS",
    "pauses": f"{MESSAGES}:_STATEMENTS",
}


def test_nodes_serve_behind_odd_messages(log_lines: list[str]) -> None:
    # Failure: an odd message ended a node, or the connection without answer.
    literals = [ODD_LITERALS[name] for name in ODD_FIELDS]

    async def scenario(world: World) -> None:
        calls = asyncio.create_task(world.call_in_turn(seconds=2.0))
        for path, decoder in MESSAGE_DECODERS.items():
            for number, body in enumerate(
                (*ODD_VALUES, *list_documents(decoder, literals))
            ):
                node = world.nodes[number % len(world.nodes)]
                answer = await world.call_address(
                    node.own.peer_address,
                    f"/peer/{path}",
                    headers={},
                    body=body,
                )
                assert_that(answer.status in (200, 400), Is(True))
        await calls
        for node in world.nodes:
            assert_that(node.failed.is_set(), Is(False))
        world.site.store.write_configuration(make_configuration(2))
        await world.wait(
            lambda: all(node.state.revision == 2 for node in world.nodes),
            "a later configuration is in force",
        )
        await world.wait(world.serves_all, "all models served")
        assert_that(set(await world.call_in_turn(seconds=0.5)), Equals({200}))

    run_world(scenario, nodes=2)
    for number in ("E1006", "E7012", "E7420"):
        lines = [line for line in log_lines if number in line]
        assert_that(lines, HasLength(0))
