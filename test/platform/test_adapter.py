"""Decoding and encoding of settings, configuration, entries and headers."""

import asyncio
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsDict, Equals, Is, Not

from chervilrock.clients.httpclient import HttpAnswer
from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.groups.orders import Close, Join, Leave, Open
from chervilrock.decisions.serving.messages import (
    ForwardedFields,
    StatedDeparture,
    StatedLimit,
    StatedPause,
)
from chervilrock.decisions.serving.site import (
    Membership,
    MemberState,
    RouteKind,
)
from chervilrock.platform import directory
from chervilrock.platform.engines import encode_order
from chervilrock.platform.headers import (
    make_caller_headers,
    make_forwarded_headers,
    MAX_PROMPT_PARTS,
    read_answer,
    read_request,
)
from chervilrock.platform.operator import decode_configuration
from chervilrock.platform.servers import decode_server
from chervilrock.platform.settings import decode_settings, read_settings
from chervilrock.platform.statements import read_statement
from chervilrock.platform.store import (
    encode_record,
    parse_page,
    StoreClient,
)
from chervilrock.standin.site.site import make_configuration, make_node_file


@pytest.fixture
def node_file() -> dict[str, Any]:
    """Content of a settings file as the platform writes it."""
    return make_node_file(node="n1", store_address="127.0.0.1:1")


def test_settings_are_decoded_into_seconds(node_file: dict[str, Any]) -> None:
    settings = decode_settings(node_file, metrics_port=9).unwrap()
    assert_that(settings.node, Equals("n1"))
    assert_that(settings.stop_within_s, Equals(8.0))
    assert_that(settings.stall_s, Equals(6.0))
    assert_that(settings.metrics_port, Equals(9))
    bounds = (settings.warmup_overage, settings.warmup_slack)
    assert_that(bounds, Equals((1.5, 5.0)))
    node_file["bounds"] |= {"warmup_overage": 2, "warmup_slack": 0.5}
    settings = decode_settings(node_file).unwrap()
    bounds = (settings.warmup_overage, settings.warmup_slack)
    assert_that(bounds, Equals((2.0, 0.5)))


@pytest.mark.parametrize(
    ("limits", "memory_mb"), [({}, 0.0), ({"memory_mb": 200}, 200.0)]
)
def test_the_memory_limit_may_be_absent(
    node_file: dict[str, Any], limits: dict[str, int], memory_mb: float
) -> None:
    # Without it a node bounds nothing; a test of its own, as the default of
    # the stand-in is 0.
    settings = decode_settings(node_file | {"limits": limits}).unwrap()
    assert_that(settings.memory_mb, Equals(memory_mb))


def test_unknown_settings_are_ignored(node_file: dict[str, Any]) -> None:
    node_file["new_field"] = {"a": 1}
    assert_that(isinstance(decode_settings(node_file), Success), Is(True))


@pytest.mark.parametrize(
    ("field", "value", "finding"),
    [
        ("node_name", 7, "node_name"),
        ("ip", None, "ip"),
        ("internal_ports", [], "internal_ports"),
        ("zones", "a", "zones"),
        ("listen", {"front": "no port"}, "listen.front"),
        ("provider", {}, "provider.address"),
        ("bounds", {"grace_s": -1}, "bounds.grace_s"),
        ("bounds", {"grace_s": True}, "bounds.grace_s"),
        ("bounds", {"warmup_slack": "5"}, "bounds.warmup_slack"),
    ],
)
def test_each_invalid_setting_is_reported_with_its_path(
    node_file: dict[str, Any], field: str, value: object, finding: str
) -> None:
    node_file[field] = value
    result = decode_settings(node_file)
    assert isinstance(result, Failure)
    assert_that(
        [reported.field for reported in result.failure()], Contains(finding)
    )


def test_all_invalid_settings_are_reported_together() -> None:
    result = decode_settings({})
    assert isinstance(result, Failure)
    found = {finding.field for finding in result.failure()}
    wanted = {"node_name", "zone", "ip", "listen.front", "provider.address"}
    assert_that(found.issuperset(wanted), Is(True))


def test_a_missing_settings_file_is_reported(tmp_path: Any) -> None:
    path = str(tmp_path / "none.toml")
    result = read_settings(path)
    assert isinstance(result, Failure)
    assert_that(result.failure()[0].field, Equals(path))


def test_a_configuration_is_decoded() -> None:
    document = msgspec.json.encode(make_configuration(9))
    configuration = decode_configuration(document).unwrap()
    draft, book, look = configuration.routes
    assert_that(configuration.revision, Equals(9))
    assert_that(draft.kind, Is(RouteKind.STREAM))
    assert_that(draft.is_resumable, Is(True))
    assert_that(draft.longest_pause_s, Equals(0.3))
    assert_that(book.kind, Is(RouteKind.ONCE))
    assert_that(book.may_retry, Is(False))
    assert_that(look.may_retry, Is(True))
    assert configuration.keys is not None
    assert_that(configuration.keys["key-one"].name, Equals("brokers"))
    engine = configuration.services["drafts"].engine
    assert engine is not None
    assert_that(engine.models["large"].size, Equals(2))


@pytest.mark.parametrize(
    "change",
    [
        {"routes": [{"name": "half"}]},
        {"version": "x"},
        {
            "routes": [
                {
                    "name": "a",
                    "host": "h",
                    "path_prefix": "/",
                    "route_type": "odd",
                    "timeout_ms": 1,
                    "service": "s",
                }
            ]
        },
        {
            "routes": [
                {
                    "name": "a",
                    "host": "h",
                    "path_prefix": "/",
                    "route_type": "idempotent",
                    "timeout_ms": 1,
                }
            ]
        },
        # Nodes divide by these.
        {"services": [{"name": "s", "engine": {"slots": 1, "read_per_s": 0}}]},
        {
            "services": [
                {
                    "name": "s",
                    "engine": {
                        "slots": 1,
                        "models": [{"name": "m", "size": 0}],
                    },
                }
            ]
        },
    ],
)
def test_an_invalid_configuration_is_rejected(change: dict[str, Any]) -> None:
    document = msgspec.json.encode(make_configuration(9) | change)
    assert_that(isinstance(decode_configuration(document), Failure), Is(True))


def test_without_tenants_no_key_is_required() -> None:
    document = make_configuration(9)
    del document["tenants"]
    decoded = decode_configuration(msgspec.json.encode(document)).unwrap()
    assert_that(decoded.keys is None, Is(True))


ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 13,
    "state": "draining",
    "sequence": 4,
    "warmup_left_ms": 0,
    "born": 1_700_000_000_123,
    "domain": 3,
    "staged": ["m"],
    "group": {"name": "g", "epoch": 7, "rank": 1, "state": "open"},
}
"""Entry of a server in the format of the platform."""


def test_the_entry_of_a_group_member_is_decoded() -> None:
    entry = ENTRY
    server = decode_server("i-1", msgspec.json.encode(entry)).unwrap()
    assert_that(server.is_leaving, Is(True))
    assert_that(server.domain, Equals("3"))
    wanted = Membership("g", 7, 1, MemberState.OPEN)
    assert_that(server.membership == wanted, Is(True))
    assert_that(server.started_ms, Equals(1_700_000_000_123))


@pytest.mark.parametrize(
    "entry", [b"", b"[]", b"{}", b'{"service": 1}', b"\xff\xfe", b'"x"']
)
def test_a_malformed_entry_is_rejected(entry: bytes) -> None:
    assert_that(isinstance(decode_server("i-1", entry), Failure), Is(True))


@pytest.mark.parametrize(
    "field",
    [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "sequence",
        "warmup_left_ms",
    ],
)
def test_an_entry_without_a_required_field_is_rejected(field: str) -> None:
    entry = {name: ENTRY[name] for name in ENTRY if name != field}
    result = decode_server("i-1", msgspec.json.encode(entry))
    assert_that(isinstance(result, Failure), Is(True))


@pytest.mark.parametrize(
    ("value", "left_s", "unreadable"),
    [
        (1500, 1.5, ""),
        (0, 0.0, ""),
        (-1, None, "-1.0"),
        (1e300, None, "1e+300"),
    ],
)
def test_a_malformed_warm_up_changes_nothing_else_of_an_entry(
    value: object, left_s: float | None, unreadable: str
) -> None:
    # Failure: a server with such an entry is lost, or is taken for warm.
    entry = ENTRY | {"warmup_left_ms": value}
    expected = decode_server("i-1", msgspec.json.encode(ENTRY)).unwrap()
    result = decode_server("i-1", msgspec.json.encode(entry)).unwrap()
    wanted = expected._replace(
        warmup_left_s=left_s, warmup_unreadable=unreadable
    )
    assert_that(result == wanted, Is(True))


@pytest.mark.parametrize("value", [None, "15000", True, [1]])
def test_an_entry_with_a_warm_up_of_another_type_is_rejected(
    value: object,
) -> None:
    # Failure: an entry of another writer names a server.
    entry = ENTRY | {"warmup_left_ms": value}
    result = decode_server("i-1", msgspec.json.encode(entry))
    assert_that(isinstance(result, Failure), Is(True))


@pytest.mark.parametrize("value", [-1, "26", True, {}])
def test_a_malformed_warm_up_of_a_service_is_ignored(value: object) -> None:
    # Failure: the whole configuration is rejected for it.
    document = make_configuration(9)
    document["services"][1] |= {"warmup_s": 15, "warmup_per_s": value}
    decoded = decode_configuration(msgspec.json.encode(document)).unwrap()
    service = decoded.services["desk"]
    assert_that((service.warmup_s, service.warmup_rate), Equals((15.0, 0.0)))
    wanted = (("services[desk].warmup_per_s", repr(value)),)
    assert_that(decoded.ignored == wanted, Is(True))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "retired"),
        ("state", 1),
        ("slots", "13"),
        ("sequence", "4"),
        ("born", 1.5),
        ("born", "1"),
        ("staged", "m"),
        ("staged", [1]),
        ("domain", [3]),
        ("group", "g"),
        ("group", {"name": "g", "epoch": 7, "rank": 1, "state": "odd"}),
        ("group", {"name": "g", "epoch": "7", "rank": 1, "state": "open"}),
        ("address", ""),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:x"),
        ("address", "10.0.0.1:70000"),
        ("address", "host:1"),
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(
    field: str, value: object
) -> None:
    entry = ENTRY | {field: value}
    result = decode_server("i-1", msgspec.json.encode(entry))
    assert_that(isinstance(result, Failure), Is(True))


@pytest.mark.parametrize(
    "content", [b"", b"\x09key", b"\x02\xff\xfe" + b"value"]
)
def test_an_unreadable_record_does_not_hide_the_others(content: bytes) -> None:
    malformed = len(content).to_bytes(4, "big") + content
    records = (
        encode_record("a", b"one") + malformed + encode_record("b", b"two")
    )
    page = parse_page(bytes(16) + records, 40).unwrap()
    assert page is not None
    parsed = [(record.key, record.offset) for record in page.records]
    assert_that(parsed, Equals([("a", 40), ("b", 42)]))
    assert_that(list(page.unreadable), Equals([41]))
    assert_that(page.next_offset, Equals(43))


def test_records_of_a_page_are_parsed() -> None:
    records = encode_record("a", b"one") + encode_record("b", b"")
    page = parse_page(bytes(16) + records, 40).unwrap()
    assert page is not None
    parsed = [
        (record.key, record.value, record.offset) for record in page.records
    ]
    assert_that(parsed, Equals([("a", b"one", 40), ("b", b"", 41)]))
    assert_that(page.next_offset, Equals(42))


@pytest.mark.parametrize("cut", range(1, 25))
def test_a_truncated_page_is_rejected(cut: int) -> None:
    whole = bytes(16) + encode_record("key", b"value")
    result = parse_page(whole[:-cut], 0)
    is_empty = cut == len(whole) - 16
    assert_that(isinstance(result, Failure), Is(not is_empty))


def test_orders_are_encoded() -> None:
    join = encode_order(Join("g", 3, "m", ("a", "b")))
    assert_that(
        join,
        Equals(
            {
                "op": "join",
                "group": "g",
                "epoch": 3,
                "model": "m",
                "members": ("a", "b"),
            }
        ),
    )
    kinds = [
        encode_order(order)["op"]
        for order in (Open("g", 3), Close("g", 3), Leave("g", 3))
    ]
    assert_that(kinds, Equals(["open", "close", "leave"]))


def test_headers_of_a_request_are_read() -> None:
    facts = read_request(
        [
            ("X-Request-Id", "ab"),
            ("api-key", " k "),
            ("X-Deadline-Ms", "1500"),
            ("X-Model", "m"),
            ("X-Token-Count", "1460,80"),
        ]
    )
    assert_that(facts.key, Equals("k"))
    assert_that(facts.deadline_s == 1.5, Is(True))
    assert_that((facts.prompt_tokens, facts.output_tokens), Equals((1460, 80)))


@pytest.mark.parametrize("value", ["", "-5", "1e3", "x", "\u0663"])
def test_a_malformed_deadline_is_none(value: str) -> None:
    facts = read_request([("X-Deadline-Ms", value)])
    assert_that(facts.deadline_s is None, Is(True))


def test_connection_headers_and_the_key_are_not_forwarded() -> None:
    pairs = [
        ("Host", "h"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Api-Key", "secret"),
        ("X-Tenant", "forged"),
        ("X-Model", "m"),
        ("Last-Event-Id", "3"),
    ]
    forwarded = ForwardedFields("i-1", "brokers", 1.25, "7", 2)
    sent = make_forwarded_headers(pairs, forwarded)
    assert_that(
        dict(sent),
        Equals(
            {
                "Host": "h",
                "X-Model": "m",
                "X-Deadline-Ms": "1250",
                "X-Expect-Instance": "i-1",
                "X-Tenant": "brokers",
                "Last-Event-Id": "7",
                "X-Request-Urgency": "2",
            }
        ),
    )
    assert_that(len(sent), Equals(len(dict(sent))))


def test_an_answer_is_read() -> None:
    facts = read_answer(
        200,
        [
            ("Content-Type", "text/event-stream"),
            ("X-Server-Stamp", "s"),
            ("X-Request-Id", "ab"),
        ],
        0.0,
    )
    assert_that(facts.has_receipt, Is(True))
    assert_that(facts.is_stream, Is(True))
    assert_that(facts.is_not_run, Is(False))


@pytest.mark.parametrize(
    ("status", "pairs", "is_not_run"),
    [
        (503, [], False),
        (503, [("X-Not-Executed", "1")], True),
        (421, [], True),
        (500, [], False),
    ],
)
def test_only_an_explicit_answer_proves_that_a_request_did_not_run(
    status: int, pairs: list[tuple[str, str]], is_not_run: bool
) -> None:
    assert_that(read_answer(status, pairs, 0.0).is_not_run, Is(is_not_run))


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("1.4", StatedLimit(1.4)),
        (" 20 ", StatedLimit(20.0)),
        ("0", StatedLimit(0.0)),
        (".5", StatedLimit(0.5)),
        ("9" * 400, StatedLimit(1e9)),
        ("-1", StatedLimit(None, "-1")),
        ("many", StatedLimit(None, "many")),
        ("nan", StatedLimit(None, "nan")),
        ("inf", StatedLimit(None, "inf")),
        ("1e3", StatedLimit(None, "1e3")),
        ("1,4", StatedLimit(None, "1,4")),
        ("", StatedLimit(None, "nothing")),
        ("x" * 99, StatedLimit(None, "x" * 40)),
    ],
)
def test_the_limit_of_a_server_is_a_decimal_number(text, limit) -> None:
    stated = read_statement(200, [("Server-Limit", text)], 0.0).limit
    assert_that(stated == limit, Is(True), str(stated))


def test_an_answer_without_a_limit_states_that_there_is_none() -> None:
    is_none = read_statement(200, [], 0.0).limit == StatedLimit(None)
    assert_that(is_none, Is(True))


def test_an_answer_of_another_server_states_no_limit() -> None:
    statement = read_statement(421, [("Server-Limit", "1.4")], 0.0)
    assert_that(statement.limit is None, Is(True))


DATE = ("Date", "Sun, 06 Nov 1994 08:49:37 GMT")
DATE_S = 784111777.0


@pytest.mark.parametrize(
    ("values", "pause"),
    [
        (["3"], StatedPause(3.0)),
        ([" 0.25 "], StatedPause(0.25)),
        (["0"], StatedPause(0.0)),
        (["9" * 400], StatedPause(1e9)),
        (["2", "5", "3"], StatedPause(5.0)),
        (["2", "soon"], StatedPause(2.0, "soon")),
        (["-1"], StatedPause(0.0, "-1")),
        (["+1"], StatedPause(0.0, "+1")),
        (["nan"], StatedPause(0.0, "nan")),
        (["inf"], StatedPause(0.0, "inf")),
        (["1e3"], StatedPause(0.0, "1e3")),
        (["1, 2"], StatedPause(0.0, "1, 2")),
        ([""], StatedPause(0.0, "nothing")),
        (["Sun, 06 Nov 1994 08:49:40 GMT"], StatedPause(3.0)),
        (["Sunday, 06-Nov-94 08:49:40 GMT"], StatedPause(3.0)),
        (["Sun Nov  6 08:49:40 1994"], StatedPause(3.0)),
        (["Sun, 06 Nov 1994 08:49:30 GMT"], StatedPause(0.0)),
        (["Sun, 99 Nov 1994 99:49:30 GMT"], None),
        (["Monday"], StatedPause(0.0, "Monday")),
        (["x" * 99], StatedPause(0.0, "x" * 40)),
    ],
)
def test_a_pause_is_a_time_in_seconds_or_a_date(
    values: list[str], pause: StatedPause | None
) -> None:
    pairs = [DATE, *(("Retry-After", value) for value in values)]
    stated = read_statement(503, pairs, 0.0).pause
    expected = pause or StatedPause(0.0, values[-1][:40])
    assert_that(stated == expected, Is(True), str(stated))


def test_a_date_without_one_of_the_answer_is_compared_to_the_own_clock() -> (
    None
):
    pairs = [("Retry-After", DATE[1])]
    pause = read_statement(503, pairs, DATE_S - 2.0).pause
    assert_that(pause == StatedPause(2.0), Is(True), str(pause))


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_only_an_unavailable_server_asks_for_a_pause(status: int) -> None:
    pause = read_statement(status, [("Retry-After", "3")], 0.0).pause
    assert_that(pause == StatedPause(0.0), Is(True), str(pause))


@given(st.text(st.characters(codec="latin-1")))
def test_any_value_of_a_pause_is_read(value: str) -> None:
    pause = read_statement(503, [("Retry-After", value)], 0.0).pause
    assert_that(0.0 <= pause.seconds <= 1e9, Is(True), str(pause))


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
@pytest.mark.parametrize(
    ("values", "departure"),
    [
        ([], StatedDeparture(False)),
        (["1"], StatedDeparture(True)),
        (["0", " 1 "], StatedDeparture(True)),
        (["0"], StatedDeparture(False, "0")),
        (["true"], StatedDeparture(False, "true")),
        ([""], StatedDeparture(False, "nothing")),
    ],
)
def test_a_server_says_in_any_answer_whether_it_leaves(
    status: int, values: list[str], departure: StatedDeparture
) -> None:
    pairs = [("Server-Leaving", value) for value in values]
    stated = read_statement(status, pairs, 0.0).departure
    assert_that(stated == departure, Is(True), str(stated))


def test_connection_headers_of_an_answer_are_not_sent_to_callers() -> None:
    pairs = [("Connection", "close"), ("Content-Length", "3"), ("A", "b")]
    assert_that(list(make_caller_headers(pairs)), Equals([("A", "b")]))


def test_addresses_are_bounded() -> None:
    many = [f"10.0.0.{number}:1" for number in range(100)]
    answer = msgspec.json.decode(directory.encode_addresses(many, 1.0))
    assert_that(len(answer["addresses"]), Equals(directory.MAX_ADDRESSES))
    assert_that(answer, ContainsDict({"ttl_s": Equals(1.0)}))
    assert_that(directory.read_data_centre({"zone": "a"}), Equals("a"))
    assert_that(directory.read_data_centre({}), Not(Equals("a")))


class FakeEraClient:
    """HTTP client whose answers carry the given eras in turn."""

    def __init__(self, eras: list[str]) -> None:
        self._eras = iter(eras)

    async def request(self, method: str, url: str, **options: Any) -> Any:
        del method, url
        assert_that(options["wanted_header"], Equals("Store-Era"))
        body = b'{"items":[],"end":3}'
        return Success(HttpAnswer(200, body, 0.0, False, next(self._eras)))


def list_eras(eras: list[str]) -> list[int | str]:
    """Return the era of each answer, or the kind of the error."""

    async def fetch() -> list[int | str]:
        client: Any = FakeEraClient(eras)
        store = StoreClient(client=client, address="127.0.0.1:1")
        outcomes: list[int | str] = []
        for _ in eras:
            result = await store.fetch_newest(Topic.NODES)
            if isinstance(result, Failure):
                outcomes.append(result.failure().kind.value)
            else:
                outcomes.append(result.unwrap().era)
        return outcomes

    return asyncio.run(fetch())


@pytest.mark.parametrize(
    ("eras", "outcomes"),
    [
        (["", ""], [0, 0]),
        (["4", "4", "5"], [4, 4, 5]),
        (["4", "3", "4"], [4, "bad_answer", 4]),
        (["4", "", "4"], [4, "bad_answer", 4]),
        (["4", "five", "5"], [4, "bad_answer", 5]),
        (["", "1", "-2"], [0, 1, "bad_answer"]),
    ],
)
def test_an_answer_with_a_lower_or_missing_era_is_rejected(
    eras: list[str], outcomes: list[int | str]
) -> None:
    assert_that(list_eras(eras), Equals(outcomes))


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5C1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        (" 5c1e : 800 , 91bd , e440:250", ("5c1e", "91bd")),
        ("5c1e:1,5c1e:2,e440:250", ("5c1e",)),
        ("e440:250", ()),
        ("", ()),
        ("xyz:1,:2,,\u0661:3,5c1e:x,e440", ("5c1e",)),
        ("a" * 33 + ":1,5c1e:1,e440:1", ("5c1e",)),
    ],
)
def test_shared_parts_of_a_prompt_are_read(
    text: str, parts: tuple[str, ...]
) -> None:
    facts = read_request([("X-Prompt-Prefix", text)])
    assert_that(facts.prompt_parts, Equals(parts))


def test_only_the_first_of_many_parts_are_read() -> None:
    text = ",".join(f"{number:x}:1" for number in range(100_000))
    facts = read_request([("X-Prompt-Prefix", text)])
    assert_that(len(facts.prompt_parts), Equals(MAX_PROMPT_PARTS))


class FakePagesClient:
    """HTTP client that answers with the given bodies in turn."""

    def __init__(self, *pages: dict[str, Any]) -> None:
        self._pages = iter(pages)

    async def request(self, method: str, url: str, **options: Any) -> Any:
        del method, url, options
        body = msgspec.json.encode(next(self._pages))
        return Success(HttpAnswer(200, body, 0.0, False, ""))


def fetch_pages(*pages: dict[str, Any]) -> Any:
    client: Any = FakePagesClient(*pages)
    store = StoreClient(client=client, address="127.0.0.1:1")
    return asyncio.run(store.fetch_newest(Topic.SERVERS))


def make_item(key: str, offset: int, value: str = "QQ==") -> dict[str, Any]:
    return {"key": key, "value": value, "offset": offset}


def test_a_snapshot_tells_when_absent_keys_are_certain() -> None:
    page = fetch_pages(
        {"items": [make_item("a", 1)], "has_more": True, "end": 5},
        {"items": [make_item("b", 7, "%")], "has_more": False, "end": 9},
    ).unwrap()
    assert_that(page.next_offset, Equals(5))
    assert_that(page.settled_at, Equals(9))
    assert_that(page.unreadable_keys, Equals(("b",)))
    assert_that(page.unreadable, Equals((7,)))


@pytest.mark.parametrize("items", [[], [make_item("a", 1)]])
def test_a_snapshot_that_lacks_pages_is_rejected(
    items: list[dict[str, Any]],
) -> None:
    # Failure: all servers on the missing pages count as gone.
    result = fetch_pages(
        {"items": [make_item("a", 1)], "has_more": True, "end": 5},
        {"items": items, "has_more": True, "end": 5},
    )
    assert_that(result.failure().kind.value, Equals("bad_answer"))
