"""Records of the operator's topic that another writer left."""

import json
from typing import Any

import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from chervilrock.platform.operator import (
    decode_configuration,
    decode_evacuation,
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
