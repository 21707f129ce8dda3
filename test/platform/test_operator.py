"""Records of the operator's topic that another writer left."""

import json
import random
from typing import Any

import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, Not

from chervilrock.decisions.serving.admission.routes import choose_service
from chervilrock.decisions.serving.site import SiteConfiguration
from chervilrock.platform.operator import (
    decode_configuration,
    decode_evacuation,
    MAX_COUNT,
    MAX_MS,
)

DEEP = 100_000
DEEP_LISTS = b"[" * DEEP + b"]" * DEEP

DOCUMENT: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "path_prefix": "/",
            "route_type": "streaming",
            "timeout_ms": 10_000,
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
}


def encode(document: dict[str, Any], place: bytes = b"") -> bytes:
    """Return a document as JSON with a text in place of the value "PLACE"."""
    return json.dumps(document).encode().replace(b'"PLACE"', place)


@pytest.mark.parametrize("field", ["unread", "routes", "version", "services"])
def test_a_deep_configuration_is_rejected(field: str) -> None:
    # Failure: RecursionError ended all nodes, also at each start.
    document = encode(DOCUMENT | {field: "PLACE"}, DEEP_LISTS)
    result = decode_configuration(document)
    assert_that(isinstance(result, Failure), Is(True))


def test_a_deep_evacuation_states_a_problem() -> None:
    # Failure: RecursionError ended all nodes, also at each start.
    record = decode_evacuation("evacuate/z9", b'{"a":' + DEEP_LISTS + b"}")
    assert record is not None
    assert_that(record.problem, Not(Equals("")))


@pytest.mark.parametrize("levels", [100, 850, 900, 950, 990])
def test_a_nested_warm_up_does_not_matter(levels: int) -> None:
    # Failure: RecursionError for a value that is decoded but not shown.
    service = {"name": "s", "warmup_s": "PLACE"}
    nested = b"[" * levels + b"]" * levels
    decode_configuration(encode(DOCUMENT | {"services": [service]}, nested))


def decode(**changes: Any) -> SiteConfiguration:
    """Decode the document with other values of some fields."""
    decoded: SiteConfiguration = decode_configuration(
        encode(DOCUMENT | changes)
    ).unwrap()
    return decoded


def make_route(**changes: Any) -> dict[str, Any]:
    route: dict[str, Any] = DOCUMENT["routes"][0]
    return route | changes


def make_service(**engine: Any) -> dict[str, Any]:
    models = [{"name": "m", "size": 2}]
    return {"name": "s", "engine": {"slots": 4, "models": models} | engine}


@pytest.mark.parametrize("version", [-1, 10**22, 10**400])
def test_a_version_that_is_none_is_rejected(version: int) -> None:
    # Failure: a version that no later one exceeds is in force for ever.
    document = encode(DOCUMENT | {"version": version})
    assert_that(isinstance(decode_configuration(document), Failure), Is(True))


@pytest.mark.parametrize(
    ("changes", "field", "used"),
    [
        ({"timeout_ms": 1e300}, "timeout_s", MAX_MS / 1000),
        ({"timeout_ms": -1e300}, "timeout_s", 0.001),
        ({"timeout_ms": 0}, "timeout_s", 0.001),
        ({"slo_target_ms": 1e300}, "target_s", MAX_MS / 1000),
        ({"gap_aim_ms": -1}, "longest_pause_s", 0.0),
        ({"max_attempts": 0}, "max_attempts", 1),
        ({"max_attempts": 2**62}, "max_attempts", MAX_COUNT),
        ({"priority": 10**400}, "priority", MAX_COUNT),
        ({"priority": -1}, "priority", 0),
    ],
)
def test_numbers_of_a_route_are_bounded(
    changes: dict[str, Any], field: str, used: float
) -> None:
    # Failure: OverflowError in each request of the route.
    decoded = decode(routes=[make_route(**changes)])
    assert_that(getattr(decoded.routes[0], field), Equals(used))
    assert_that(decoded.bounded, HasLength(1))


@pytest.mark.parametrize(
    ("changes", "field", "used"),
    [
        ({"slots": 0}, "slots", 1),
        ({"slots": -1}, "slots", 1),
        ({"slots": 2**62}, "slots", MAX_COUNT),
        ({"stride": 0}, "steps_per_pass", 1),
        ({"stride": 10**400}, "steps_per_pass", MAX_COUNT),
        ({"step_ms": 1e300}, "step_s", MAX_MS / 1000),
        ({"read_per_s": 1e-300}, "prompt_tokens_per_s", 0.001),
        ({"loads_at_once": 0}, "loads_at_once", 1),
        ({"loads_per_s": -1.0}, "loads_per_s", 0.001),
    ],
)
def test_numbers_of_an_engine_are_bounded(
    changes: dict[str, Any], field: str, used: float
) -> None:
    # Failure: ZeroDivisionError in the decisions of each leader.
    decoded = decode(services=[make_service(**changes)])
    engine = decoded.services["s"].engine
    assert_that(getattr(engine, field), Equals(used))
    assert_that(decoded.bounded, HasLength(1))


def test_weights_of_a_route_are_bounded() -> None:
    # Failure: ValueError for weights whose sum is no number.
    targets = [
        {"service": name, "weight": weight}
        for name, weight in (("a", 1e308), ("b", 1e308), ("c", -1.0))
    ]
    decoded = decode(routes=[make_route(backends=targets)])
    route = decoded.routes[0]
    assert_that(choose_service(route, random.Random(1)) in "ab", Is(True))
    zero = [target | {"weight": 0.0} for target in targets]
    route = decode(routes=[make_route(backends=zero)]).routes[0]
    assert_that(choose_service(route, random.Random(1)), Equals("a"))


def test_plausible_numbers_stay_as_they_are() -> None:
    # Failure: a plausible configuration is rejected or changed.
    routes = [
        make_route(
            timeout_ms=3_600_000,
            slo_target_ms=0.5,
            max_attempts=100,
            priority=9,
        ),
        make_route(name="short", timeout_ms=1, priority=0),
    ]
    services = [
        make_service(
            slots=4096,
            step_ms=0.01,
            per_seq_ms=0,
            stride=64,
            read_per_s=5_000_000,
            chunk=131_072,
            loads_per_s=0.01,
            loads_at_once=500,
            keeps=0,
            form_ms=60_000,
            models=[{"name": "m", "size": 512, "pace": 0.01, "load_s": 7200.0}],
        )
    ]
    decoded = decode(
        version=1_765_000_000_000_000_000,
        routes=routes,
        services=services,
        limits={"idle_timeout_ms": 86_400_000},
        tenants=[{"name": "t", "api_keys": ["k"], "priority": 0}],
    )
    assert_that(decoded.bounded, HasLength(0))
    assert_that(decoded.routes[0].timeout_s, Equals(3600.0))
