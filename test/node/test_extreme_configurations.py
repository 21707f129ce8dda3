"""Configurations with extreme amounts, in force on nodes that serve."""

import asyncio
import copy
import json
from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.standin.site.site import make_configuration
from test.node.serving_site import run_world, World

MODEL_ROUTE = ("routes", 0)
PLAIN_ROUTE = ("routes", 2)
ENGINE = ("services", 0, "engine")
MODEL = (*ENGINE, "models", 0)

FLOATS = ("1e300", "-1e300", "1e308", "0", "-1", "1e-300", "0.5")
INTEGERS = ("4611686018427387904", "0", "-1", "9" * 23, "9" * 400)

FLOAT_FIELDS = (
    ("limits", "idle_timeout_ms"),
    *(
        (*MODEL_ROUTE, name)
        for name in ("timeout_ms", "slo_target_ms", "gap_aim_ms")
    ),
    (*PLAIN_ROUTE, "timeout_ms"),
    *(
        (*ENGINE, name)
        for name in ("step_ms", "per_seq_ms", "read_per_s", "loads_per_s")
    ),
    (*ENGINE, "form_ms"),
    (*ENGINE, "usual", "prompt"),
    *((*MODEL, name) for name in ("share", "pace", "load_s", "warm_s")),
    ("services", 1, "warmup_s"),
    ("services", 1, "warmup_per_s"),
)
INTEGER_FIELDS = (
    (*MODEL_ROUTE, "priority"),
    (*MODEL_ROUTE, "max_attempts"),
    (*PLAIN_ROUTE, "max_attempts"),
    *(
        (*ENGINE, name)
        for name in ("slots", "stride", "chunk", "loads_at_once", "keeps")
    ),
    (*MODEL, "size"),
    ("tenants", 0, "priority"),
)
CASES = [
    *((path, value) for path in FLOAT_FIELDS for value in FLOATS),
    *((path, value) for path in INTEGER_FIELDS for value in INTEGERS),
]
STEP_S = 0.1


def encode(version: int, path: tuple[str | int, ...], value: str) -> bytes:
    """Return a configuration with a number in one of its places."""
    document: Any = copy.deepcopy(make_configuration(version))
    document["services"][0]["engine"]["usual"] = {"prompt": 1.0}
    place = document
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = "PLACE"
    return json.dumps(document).encode().replace(b'"PLACE"', value.encode())


def test_nodes_go_on_with_every_extreme_amount(log_lines: list[str]) -> None:
    # Failure: ZeroDivisionError, OverflowError or endless loops in the
    # decisions of the leader, or in each request of a route.
    async def scenario(world: World) -> None:
        topic = world.site.store.topic("keyed.op")
        calls = []
        for version, (path, value) in enumerate(CASES, 2):
            del log_lines[:]
            topic.append("config", encode(version, path, value))
            for number in range(len(world.nodes)):
                headers = world.make_headers(X_Deadline_Ms="")
                for target in ("/draft/x", "/look/x"):
                    calls.append(
                        asyncio.create_task(
                            world.call(target, node=number, headers=headers)
                        )
                    )
                    headers = world.make_headers(X_Deadline_Ms="", X_Model="")
            await asyncio.sleep(STEP_S)
            bad = [
                line
                for line in log_lines
                if any(one in line for one in ("E1006", "E7012", "E7420"))
            ]

            assert_that(bad, HasLength(0))
        world.site.store.write_configuration(make_configuration(10_000))
        await world.wait(
            lambda: all(node.state.revision == 10_000 for node in world.nodes),
            "a usual configuration is in force",
        )
        await world.wait(world.serves_all, "all models served")
        await asyncio.wait(calls, timeout=5.0)
        assert_that(set(await world.call_in_turn(seconds=0.5)), Equals({200}))

    run_world(scenario, nodes=2)
