"""Odd records that another writer leaves in the store while nodes run."""

import asyncio
import json
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from chervilrock.standin.site.site import make_configuration
from test.node.serving_site import run_world, World

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
