"""Entries of servers that other programs wrote: any field, any type, any bytes.

An invalid entry names no server and raises nothing, so that the other entries
hold; what a valid one names can be used and announced as it is.
"""

import json
import math
from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.site import BackendServer
from chervilrock.platform.servers import decode_server, MAX_INT, MAX_SLOTS

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "sequence": 4,
    "warmup_left_ms": 0.5,
    "born": 1_700_000_000_123,
    "domain": 3,
    "staged": ["m"],
    "group": {"name": "g.7.m", "epoch": 7, "rank": 1, "state": "open"},
}
FIELDS = [(name,) for name in ENTRY] + [
    ("group", name) for name in ENTRY["group"]
]
DEEP = 100_000
MANY_DIGITS = 5000

NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from([2**31, 2**63 - 1, 2**63, 2**64, -(2**63), 10**400]),
    st.floats(),
)
TEXTS = st.one_of(
    st.text(),
    st.sampled_from(
        [
            "draining",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * MANY_DIGITS,
            "10.0.0.1:\u0663",
            "0.0.0.0:1",
            "224.0.0.1:1",
            "[::1]:1",
            "a\r\nX-Other: b",
            "\ud800",
        ]
    ),
)
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(TEXTS, inner, max_size=3),
        st.fixed_dictionaries(
            {}, optional=dict.fromkeys(ENTRY["group"], inner)
        ),
    ),
    max_leaves=8,
)


def encode(value: object) -> bytes:
    """Return JSON, also of NaN, infinities and lone surrogates."""
    return json.dumps(value, ensure_ascii=False).encode(
        "utf-8", "surrogatepass"
    )


def replace(path: tuple[str, ...], value: object) -> dict[str, Any]:
    """Return the valid entry with another value of a field."""
    if len(path) == 1:
        return ENTRY | {path[0]: value}
    return ENTRY | {path[0]: ENTRY[path[0]] | {path[1]: value}}


def check(entry: bytes, server: str = "i-1") -> BackendServer | None:
    """Decode an entry and check that what it names can be used."""
    result = decode_server(server, entry)
    if not isinstance(result, Success):
        assert_that(isinstance(result, Failure), Is(True))
        return None
    named: BackendServer = result.unwrap()
    texts = (named.service, named.data_centre, named.domain, *named.staged)
    for text in texts:
        text.encode()
    for number in (named.writes, named.started_ms):
        assert_that(0 <= number <= MAX_INT, Is(True))
    assert_that(1 <= named.slots <= MAX_SLOTS, Is(True))
    membership = named.membership
    if membership is not None:
        assert_that(0 <= membership.epoch <= MAX_INT, Is(True))
        assert_that(0 <= membership.rank <= MAX_INT, Is(True))
    ip, _, port = named.address.rpartition(":")
    assert_that(ip.count("."), Equals(3))
    assert_that(0 < int(port) < 65536, Is(True))
    decoded = msgspec.json.decode(
        msgspec.json.encode(named), type=BackendServer
    )
    assert_that(decoded == named, Is(True))
    return named


def test_the_valid_entry_names_its_server() -> None:
    # The other tests replace one field of it.
    assert_that(check(encode(ENTRY)) is not None, Is(True))


@given(st.sampled_from(FIELDS), VALUES)
def test_any_value_of_a_field_names_a_usable_server_or_none(
    path: tuple[str, ...], value: object
) -> None:
    # Failure: one entry ends the task that reads all of them.
    check(encode(replace(path, value)))


@given(st.dictionaries(st.sampled_from([*ENTRY, "other"]), VALUES))
def test_any_subset_of_fields_names_a_usable_server_or_none(values) -> None:
    check(encode(values))
    check(encode(ENTRY | values))


@given(VALUES)
def test_any_json_names_no_server_unless_it_is_an_entry(value: object) -> None:
    assert_that(check(encode(value)) is None, Is(True))


@given(st.binary(), st.integers(0, 400))
@example(b"\xff", 20)
@example(b"\x00", 0)
def test_entries_with_foreign_bytes_do_not_raise(
    inserted: bytes, position: int
) -> None:
    entry = encode(ENTRY)
    check(inserted)
    check(entry[:position] + inserted + entry[position:])
    check(entry[:position] + inserted)


@given(st.text())
@example("i-1\r\nX-Other: b")
@example("")
def test_an_identifier_that_no_header_can_carry_names_no_server(
    server: str,
) -> None:
    # The identifier is sent to the server in a header.
    is_named = check(encode(ENTRY), server) is not None
    is_plain = all("!" <= letter <= "~" for letter in server) and server != ""
    assert_that(is_named, Is(is_plain and len(server) <= 256))


VALID: list[tuple[str, object]] = [
    ("domain", -1),
    ("group", {"a": 1}),
    *(("warmup_left_ms", number) for number in (-1, 1.5, 2**64)),
]
"""Values of the next test that are valid for a field. Whether the rest of the
time for which a server warms up makes sense is decided elsewhere."""


@pytest.mark.parametrize("path", FIELDS)
@pytest.mark.parametrize(
    "value",
    [
        True,
        math.nan,
        math.inf,
        -1,
        2**64,
        10**400,
        1.5,
        [[1]],
        {"a": 1},
        "\ud800",
        ["m", 1],
        ["m", None],
    ],
    ids=repr,
)
def test_a_value_of_the_wrong_type_names_no_server(
    path: tuple[str, ...], value: object
) -> None:
    named = check(encode(replace(path, value)))
    assert_that(named is not None, Is((path[-1], value) in VALID))


@pytest.mark.parametrize("path", [*FIELDS, ("other",)])
@pytest.mark.parametrize("kind", ["list", "object", "digits"])
def test_deep_or_long_values_name_no_server(
    path: tuple[str, ...], kind: str
) -> None:
    # Failure: RecursionError or ValueError in the leader's task.
    value = {
        "list": "[" * DEEP + "]" * DEEP,
        "object": '{"a":' * DEEP + "1" + "}" * DEEP,
        "digits": "9" * MANY_DIGITS,
    }[kind]
    text = encode(replace(path, "PLACE")).decode()
    entry = text.replace('"PLACE"', value).encode()
    named = check(entry)
    if path != ("other",):
        assert_that(named is None, Is(True))
