"""Every decoder of what other programs write, fed with odd values.

`DRIVERS` names them all; the source is scanned for others.
"""

import ast
import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
import contextlib
import functools
import importlib
import json
import pathlib
import re
from typing import Any, TypeAlias
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure, Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

import chervilrock
from chervilrock.clients import http, polled, polling
from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.clients.serving import Topic
from chervilrock.decisions import configurations, records, region
from chervilrock.decisions.decoding import (
    decode_plain,
    Decoder,
    UnreadableError,
)
from chervilrock.decisions.membership import fetchpolicy
from chervilrock.decisions.requests.transcript import Transcript
from chervilrock.decisions.serving.site import BackendServer
from chervilrock.edges import bodies, enginecalls, operators
from chervilrock.edges.heads import Head
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostList
from chervilrock.generated.operators import StatusAnswer
from chervilrock.generated.records import (
    ConfigurationApplied,
    Record,
    RecordId,
    RecordKind,
    StoredRecord,
)
from chervilrock.platform import operator, servers
from chervilrock.platform.engines import HttpEngineControl
from chervilrock.platform.store import StoreClient
from chervilrock.standin import (
    enginehandlers,
    history_sources,
    platform,
    server,
)
from chervilrock.tasks.peers import decode_digest
from chervilrock.tasks.serving import noderecords, peermessages, poisondetector
from chervilrock.tasks.serving.messages import LimitReported
from chervilrock.ui import check, client
from chervilrock.ui.demonstration import caller, operations

DEEP = 100_000
NEARLY_TOO_DEEP = 900
MANY_DIGITS = 6000
DECODING = "chervilrock.decisions.decoding"
ROOT = pathlib.Path(chervilrock.__file__).parent

Drive: TypeAlias = Callable[[bytes], object]

ODD_LITERALS: dict[str, bytes] = {
    "deep list": b"[" * DEEP + b"]" * DEEP,
    "deep object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "deep without end": b"[" * DEEP,
    "nearly too deep": b"[" * NEARLY_TOO_DEEP + b"]" * NEARLY_TOO_DEEP,
    "1e400": b"1e400",
    "-1e400": b"-1e400",
    "1e308": b"1e308",
    "6000 digits": b"9" * MANY_DIGITS,
    "4000 digits": b"9" * 4000,
    "23 digits": b"9" * 23,
    "-1": b"-1",
    "0": b"0",
    "0.5": b"0.5",
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "no UTF-8": b'"\xff\xfe"',
    "lone surrogate": b'"\\ud800"',
    "NUL": b'"\\u0000"',
    "raw NUL": b"\x00",
    "null": b"null",
    "nothing": b"",
    "empty text": b'""',
    "empty list": b"[]",
    "empty object": b"{}",
    "huge text": b'"' + b"x" * 1_000_000 + b'"',
    "70000": b"70000",
    "port 70000": b'"10.0.0.1:70000"',
    "true": b"true",
}


LARGE_LITERALS = {
    name: text for name, text in ODD_LITERALS.items() if len(text) > 10_000
}
SMALL_LITERALS = [text for text in ODD_LITERALS.values() if len(text) <= 10_000]


class FixedClient(HttpClient):
    """A client whose requests all get the same body."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        """Create a client."""
        self._body = body
        self._status = status

    async def request(
        self, *_arguments: object, **_options: object
    ) -> Result[HttpAnswer, Any]:
        """See base class."""
        return Success(HttpAnswer(self._status, self._body, 0.0, not_run=False))


SERVER = BackendServer(
    server="i-1",
    service="s",
    address="10.0.0.1:1",
    data_centre="a",
    domain="",
    is_leaving=False,
    slots=1,
    staged=(),
    membership=None,
    writes=1,
    started_ms=0,
    warmup_left_s=None,
    warmup_unreadable="",
)


def fetch_report(body: bytes) -> object:
    """Decode a report of a server."""
    control = HttpEngineControl(client=FixedClient(body))
    return asyncio.run(control.fetch_report(SERVER, 1.0))


def fetch_newest(body: bytes) -> object:
    """Decode the newest records of a topic."""
    store = StoreClient(client=FixedClient(body), address="10.0.0.1:1")
    return asyncio.run(store.fetch_newest(Topic.SERVERS))


def append(body: bytes) -> object:
    """Decode the answer to an append."""
    store = StoreClient(client=FixedClient(body), address="10.0.0.1:1")
    return asyncio.run(store.append(Topic.NODES, "k", b"", None))


def call_log(body: bytes) -> object:
    """Decode the answer to an append to a stream."""
    log = http.HttpLogService(http=FixedClient(body), address="10.0.0.1:1")
    return asyncio.run(log.append("s", ()))


def read_log(body: bytes) -> object:
    """Decode a page of a stream."""
    log = http.HttpLogService(http=FixedClient(body), address="10.0.0.1:1")
    return asyncio.run(log.read("s", 0, 1, 0))


def fetch_hosts(body: bytes) -> object:
    """Decode a host list."""
    source = http.HttpHostListSource(
        http=FixedClient(body), address="10.0.0.1:1"
    )
    return asyncio.run(source.fetch())


def fetch_catalogue(body: bytes) -> object:
    """Decode the contents of the weight store."""
    store = http.HttpWeightStore(http=FixedClient(body), address="10.0.0.1:1")
    return asyncio.run(store.fetch_catalogue())


def call_engine(name: str, *arguments: object) -> Drive:
    """Return a function that decodes the answer of an engine to a call."""

    def drive(body: bytes) -> object:
        engine = http.HttpModelEngine(http=FixedClient(body))
        return asyncio.run(getattr(engine, name)("10.0.0.1:1", *arguments))

    return drive


def poll(decoder: polling.Decoder[Any]) -> Drive:
    """Return a function that decodes a polled body."""
    return lambda body: polling._decode(decoder, body)


def poll_hosts(body: bytes) -> object:
    """Decode a polled host list."""
    return polling._decode(polled.RegionHostDecoder(region="a"), body)


def read_transcript(body: bytes) -> object:
    """Decode an event of an answer."""
    transcript = Transcript()
    transcript.add(b"data: " + body + b"\n\n")
    return transcript.read()


def judge_whole(body: bytes) -> object:
    """Decode an answer of an engine that is no stream."""
    receiver = enginecalls.WholeReceiver.__new__(enginecalls.WholeReceiver)
    receiver._chunks = [body]
    receiver._request_id = "r"
    return receiver.judge_answer(True)


def parse_error(body: bytes) -> object:
    """Decode the error of an engine."""
    return enginecalls.parse_error_reply(Head(500, ()), body)


def read_node_record(key: str) -> Drive:
    """Return a function that applies a record of the nodes' topic."""

    def drive(value: bytes) -> object:
        applied = noderecords.NodeRecords.__new__(noderecords.NodeRecords)
        applied._apply_claim = lambda _claim, _now: None
        applied._state = mock.Mock(known_nodes={})
        with mock.patch.object(applied, "add"):
            applied._apply_record(key, value, 1, 0.0)
        return None

    return drive


def restore_configurations(body: bytes) -> object:
    """Decode a snapshot of configurations."""
    return configurations.ConfigurationFold.restore(
        body.decode(errors="replace")
    )


def restore_region(body: bytes) -> object:
    """Decode a snapshot of a region."""
    return region.RegionState.restore(body.decode(errors="replace"))


def decode_bodies(value: bytes) -> object:
    """Decode the body of a record of each kind."""
    body = decode_plain(value)
    return [
        records.decode_body(
            Record(kind=kind, record_id=RecordId("w", 1), body=body)
        )
        for kind in RecordKind
    ]


def interpret(kind: operations.OperationKind, status: int = 200) -> Drive:
    """Return a function that decodes an answer to the demonstration."""
    operation = operations.Operation(
        number=1,
        kind=kind,
        workspace="w",
        method="GET",
        path="/x",
        body=None,
        answer="",
    )
    wrap = kind is operations.OperationKind.STREAM

    def drive(body: bytes) -> object:
        text = b"data: " + body if wrap else body
        return caller.interpret_answer(
            operation, HttpAnswer(status, text, 0.0, not_run=False)
        )

    return drive


def decode_stored(value: bytes) -> object:
    """Decode a stored record."""
    return records.decode_stored(decode_plain(value))


def read_configuration(value: bytes) -> object:
    """Decode the record that a digest carries."""
    return fetchpolicy.read_configuration(decode_plain(value))


def read_accepted(value: bytes) -> object:
    """Decode the document of an accepted configuration."""
    body = [0, "w", "digest", decode_plain(value)]
    record = Record(RecordKind.CONFIGURATION_APPLIED, RecordId("w", 1), body)
    return configurations.read_accepted(StoredRecord(1, record))


def decode_extension(value: bytes) -> object:
    """Decode the extension of an acknowledgement."""
    return peermessages.decode_acknowledgement(
        ACKNOWLEDGEMENT, value.decode(errors="replace")
    )


def read_file(value: bytes) -> object:
    """Decode a file of the command line."""
    with mock.patch.object(check, "read_bytes", lambda _file: value):
        return check.read_json(pathlib.Path("hosts.json"), HostList)


def get_status(body: bytes) -> object:
    """Decode the status that a node answers."""
    operator_client = client.OperatorClient(
        address="10.0.0.1:1", http=FixedClient(body)
    )
    return asyncio.run(operator_client.get_status())


def get_error(body: bytes) -> object:
    """Decode the error that a node answers."""
    operator_client = client.OperatorClient(
        address="10.0.0.1:1", http=FixedClient(body, status=500)
    )
    return asyncio.run(operator_client.get_status())


def query_addresses(body: bytes) -> object:
    """Decode the addresses that a node answers."""
    book = caller.AddressBook(
        seeds=("10.0.0.1:1",), data_centre="a", http=FixedClient(body)
    )
    return asyncio.run(book._query("10.0.0.1:1"))


def fetch_ticket(body: bytes) -> object:
    """Decode a ticket."""
    asking = caller.Caller.__new__(caller.Caller)
    asking._http = FixedClient(body)
    return asyncio.run(asking._get_ticket("10.0.0.1:1"))


def continue_completion(body: bytes) -> object:
    """Decode a body that was validated before."""
    if isinstance(bodies.parse_completion(body, chat=False), Failure):
        return None
    return bodies.add_continuation(body, 1, "x")


def decode(decoder: Decoder[Any]) -> Drive:
    """Return a function that only decodes; its callers handle the error."""

    def drive(text: bytes) -> object:
        return decoder.read(text)

    return drive


ACKNOWLEDGEMENT = (
    b'[1,["n","i","10.0.0.1:1","10.0.0.1:2","a",1.0],true,[1,1],[1,1],1,{},[],'
    b"false]"
)
KINDS = operations.OperationKind
POLLED = "chervilrock.clients.polled"
HTTP = "chervilrock.clients.http"
PEERS = "chervilrock.tasks.serving.peermessages"
DEMONSTRATION = "chervilrock.ui.demonstration"
STANDIN = "chervilrock.standin"

DRIVERS: Mapping[str, tuple[Drive, ...]] = {
    f"{HTTP}:_APPENDED_DECODER": (call_log,),
    f"{HTTP}:_ATTEMPT_DECODER": (call_engine("read_attempt", "k"),),
    f"{HTTP}:_CATALOGUE_DECODER": (fetch_catalogue,),
    f"{HTTP}:_EVENTS_DECODER": (call_engine("read_events", 0),),
    f"{HTTP}:_HOST_LIST_DECODER": (fetch_hosts,),
    f"{HTTP}:_LOAD_DECODER": (call_engine("read_load"),),
    f"{HTTP}:_PAGE_DECODER": (read_log,),
    f"{HTTP}:_RAW_PAGE_DECODER": (read_log,),
    f"{HTTP}:_STATE_DECODER": (call_engine("read_state"),),
    f"{POLLED}:_HOST_DECODER": (poll(polled._HOST_DECODER),),
    f"{POLLED}:_LOAD_DECODER": (poll(polled._LOAD_DECODER),),
    f"{POLLED}:_RAW_HOST_LIST_DECODER": (poll_hosts,),
    f"{POLLED}:_REGION_DECODER": (poll(polled._REGION_DECODER),),
    f"{POLLED}:_STATE_DECODER": (poll(polled._STATE_DECODER),),
    "chervilrock.decisions.configurations:_IMAGE_DECODER": (
        restore_configurations,
    ),
    "chervilrock.decisions.configurations:read_accepted": (read_accepted,),
    "chervilrock.decisions.membership.fetchpolicy:read_configuration": (
        read_configuration,
    ),
    "chervilrock.decisions.records:decode_body": (decode_bodies,),
    "chervilrock.decisions.records:decode_stored": (decode_stored,),
    "chervilrock.decisions.region:_IMAGE_DECODER": (restore_region,),
    "chervilrock.decisions.requests.transcript:_DECODER": (read_transcript,),
    "chervilrock.edges.bodies:add_continuation": (continue_completion,),
    "chervilrock.edges.bodies:parse_completion": (
        lambda body: bodies.parse_completion(body, chat=False),
        lambda body: bodies.parse_completion(body, chat=True),
    ),
    "chervilrock.edges.enginecalls:_ERROR_DECODER": (parse_error,),
    "chervilrock.edges.enginecalls:_WHOLE_DECODER": (judge_whole,),
    "chervilrock.edges.enginecalls:is_json": (enginecalls.is_json,),
    "chervilrock.edges.operators:_APPLY_DECODER": (
        decode(operators._APPLY_DECODER),
    ),
    "chervilrock.platform.engines:_REPORT_DECODER": (fetch_report,),
    "chervilrock.platform.operator:_DECODER": (operator.decode_configuration,),
    "chervilrock.platform.operator:_EVACUATION_DECODER": (
        lambda value: operator.decode_evacuation("evacuate/z9", value),
    ),
    "chervilrock.platform.servers:_DECODER": (
        lambda entry: servers.decode_server("i-1", entry),
    ),
    "chervilrock.platform.store:_APPENDED_DECODER": (append,),
    "chervilrock.platform.store:_NEWEST_DECODER": (fetch_newest,),
    f"{STANDIN}.enginehandlers:CompletionHandler._decoder": (
        decode(enginehandlers.CompletionHandler._decoder),
    ),
    f"{STANDIN}.enginehandlers:_OrderHandler._decoder": (
        decode(enginehandlers._OrderHandler._decoder),
    ),
    f"{STANDIN}.history_sources:_RECORD_DECODER": (
        decode(history_sources._RECORD_DECODER),
    ),
    f"{STANDIN}.platform:_HostsHandler._decoder": (
        decode(platform._HostsHandler._decoder),
    ),
    f"{STANDIN}.platform:_LogHandler._decoder": (
        decode(platform._LogHandler._decoder),
    ),
    f"{STANDIN}.platform:_TrimHandler._decoder": (
        decode(platform._TrimHandler._decoder),
    ),
    f"{STANDIN}.server:FaultsHandler._decoder": (
        decode(server.FaultsHandler._decoder),
    ),
    f"{STANDIN}.site.servers:_OrderHandler.post": (decode_plain,),
    "chervilrock.tasks.peers:_DIGEST_DECODER": (decode_digest,),
    "chervilrock.tasks.serving.noderecords:_LEADER_DECODER": (
        read_node_record("leader"),
    ),
    "chervilrock.tasks.serving.noderecords:_NODE_DECODER": (
        read_node_record("node/n"),
    ),
    f"{PEERS}:_ACKNOWLEDGEMENT": (
        lambda body: peermessages.decode_acknowledgement(body, ""),
    ),
    f"{PEERS}:_ADDITIONS": (decode_extension,),
    f"{PEERS}:_ANNOUNCEMENT": (
        lambda body: peermessages.decode_announcement(body, ""),
    ),
    f"{PEERS}:_CONTACT": (peermessages.decode_contact,),
    f"{PEERS}:_CRASH_REPORT": (peermessages.decode_crash_report,),
    f"{PEERS}:_STATEMENTS": tuple(
        functools.partial(peermessages.decode_statement, name)
        for name in ("limit", "departure", "pauses")
    ),
    f"{PEERS}:_decode": (decode_extension,),
    "chervilrock.tasks.serving.poisondetector:_SUSPECT_DECODER": (
        decode(poisondetector._SUSPECT_DECODER),
    ),
    "chervilrock.ui.check:read_json": (read_file,),
    "chervilrock.ui.client:OperatorClient._decode": (get_status,),
    "chervilrock.ui.client:_ERROR_DECODER": (get_error,),
    f"{DEMONSTRATION}.caller:_ADDRESS_DECODER": (query_addresses,),
    f"{DEMONSTRATION}.caller:_ECHO_DECODER": (interpret(KINDS.LOOKUP),),
    f"{DEMONSTRATION}.caller:_ERROR_DECODER": (interpret(KINDS.LOOKUP, 500),),
    f"{DEMONSTRATION}.caller:_TICKET_DECODER": (fetch_ticket,),
    f"{DEMONSTRATION}.operations:_ANSWER_DECODER": (
        interpret(KINDS.COMPLETION),
    ),
    f"{DEMONSTRATION}.operations:_EVENT_DECODER": (interpret(KINDS.STREAM),),
    # Files that are shipped with the package.
    f"{DEMONSTRATION}.site:load_example": (),
}
"""What is done with the bytes that each use of the decoder gets."""


def find_uses() -> Iterator[str]:
    """Yield the places of the package that use the decoder."""
    for file in sorted(ROOT.rglob("*.py")):
        module = ".".join(file.relative_to(ROOT.parent).with_suffix("").parts)
        if module == DECODING:
            continue
        tree = ast.parse(file.read_text())
        imported = {
            alias.asname or alias.name
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom) and node.module == DECODING
            for alias in node.names
        }
        # Only calls by the imported name are found.
        assert_that(
            any(
                isinstance(node, ast.Import)
                and any(alias.name == DECODING for alias in node.names)
                for node in ast.walk(tree)
            ),
            Is(False),
        )
        for place in find_calls(tree, imported & USED, ()):
            yield f"{module}:{place}"


USED = {"Decoder", "decode_plain", "convert"}
SCOPES = ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef


def find_calls(
    node: ast.AST, names: set[str], scopes: tuple[ast.AST, ...]
) -> Iterator[str]:
    """Yield the function or variable of each call of a name."""
    for child in ast.iter_child_nodes(node):
        inner = scopes
        is_outside = not any(
            isinstance(scope, ast.FunctionDef | ast.AsyncFunctionDef)
            for scope in scopes
        )
        if isinstance(child, SCOPES) or (
            is_outside and isinstance(child, ast.Assign | ast.AnnAssign)
        ):
            inner = (*scopes, child)
        if (
            isinstance(child, ast.Call)
            and isinstance(child.func, ast.Name)
            and child.func.id in names
        ):
            yield ".".join(name_scope(scope) for scope in inner)
        yield from find_calls(child, names, inner)


def name_scope(scope: ast.AST) -> str:
    """Return the name of a function, class or variable."""
    if isinstance(scope, ast.Assign):
        return ast.unparse(scope.targets[0])
    if isinstance(scope, ast.AnnAssign):
        return ast.unparse(scope.target)
    assert isinstance(scope, SCOPES)
    return scope.name


def test_the_list_names_every_use_of_the_decoder() -> None:
    # Failure: a decoder that is not fed with odd values.
    assert_that(sorted(set(find_uses())), Equals(sorted(DRIVERS)))


FORBIDDEN = re.compile(
    r"msgspec\.(json|msgpack|yaml|toml)\.(decode|Decoder)\b"
    r"|msgspec\.convert\b|\bjson\.loads?\b|from msgspec import|from json import"
    r"|\b(RecursionError|MsgspecError|JSONDecodeError)\b"
    r"|msgspec\.(DecodeError|ValidationError)\b"
)


def test_nothing_else_decodes_or_lists_the_exceptions() -> None:
    # Failure: an exception that one of many lists lacks.
    places = [
        f"{file.relative_to(ROOT)}:{number}: {line.strip()}"
        for file in sorted(ROOT.rglob("*.py"))
        if file.name != "decoding.py"
        for number, line in enumerate(file.read_text().splitlines(), 1)
        if FORBIDDEN.search(line)
    ]
    assert_that(places, HasLength(0))


def make_sample(kind: Any) -> Any:
    """Return a value of a type, as plain JSON, from its description."""
    return _sample(msgspec.inspect.type_info(kind))


def _sample(info: Any) -> Any:
    match type(info).__name__:
        case "IntType":
            return max(1, info.ge or 0)
        case "FloatType":
            return 1.5
        case "StrType":
            return "x"
        case "BoolType":
            return True
        case "EnumType":
            return list(info.cls)[0].value
        case "LiteralType":
            return info.values[0]
        case "UnionType":
            return _sample(
                next(
                    one
                    for one in info.types
                    if not isinstance(one, msgspec.inspect.NoneType)
                )
            )
        case "ListType" | "VarTupleType" | "SetType":
            return [_sample(info.item_type)]
        case "TupleType":
            return [_sample(one) for one in info.item_types]
        case "DictType":
            return {str(_sample(info.key_type)): _sample(info.value_type)}
        case "NamedTupleType":
            return [_sample(one.type) for one in info.fields]
        case "StructType" | "TypedDictType" | "DataclassType":
            return {
                getattr(one, "encode_name", one.name): _sample(one.type)
                for one in info.fields
            }
        case "NoneType":
            return None
        case "AnyType" | "RawType":
            return {"any": 1}
        case name:
            raise NotImplementedError(name)


PLACE = "PLACE"


def list_variants(value: Any) -> Iterator[Any]:
    """Yield a plain value with a mark in each place, one at a time."""
    yield PLACE
    if isinstance(value, dict):
        yield value | {"unread": PLACE}
        for key, inner in value.items():
            for variant in list_variants(inner):
                yield value | {key: variant}
    elif isinstance(value, list):
        yield [*value, PLACE]
        for index, inner in enumerate(value):
            for variant in list_variants(inner):
                yield [*value[:index], variant, *value[index + 1 :]]


def find_decoder(key: str) -> Decoder[Any] | None:
    """Return the decoder that a key names, None for a function."""
    module, _, path = key.partition(":")
    value: Any = importlib.import_module(module)
    for name in path.split("."):
        value = getattr(value, name)
    return value if isinstance(value, Decoder) else None


FUNCTION_KINDS: Mapping[str, Any] = {
    "chervilrock.decisions.configurations:read_accepted": Configuration,
    "chervilrock.decisions.membership.fetchpolicy:read_configuration": (
        StoredRecord
    ),
    "chervilrock.decisions.records:decode_body": ConfigurationApplied,
    "chervilrock.decisions.records:decode_stored": StoredRecord,
    "chervilrock.edges.bodies:add_continuation": Any,
    "chervilrock.edges.bodies:parse_completion": Any,
    "chervilrock.edges.enginecalls:is_json": Any,
    f"{STANDIN}.site.servers:_OrderHandler.post": Any,
    f"{PEERS}:_decode": tuple[peermessages._Addition, ...],
    f"{PEERS}:_STATEMENTS": LimitReported,
    "chervilrock.ui.check:read_json": HostList,
    "chervilrock.ui.client:OperatorClient._decode": StatusAnswer,
}
"""Types that the functions decode which have no decoder of their own."""


def list_documents(key: str, literals: Iterable[bytes]) -> Iterator[bytes]:
    """Yield odd documents for a decoder: each literal in each place."""
    decoder = find_decoder(key)
    kind = FUNCTION_KINDS[key] if decoder is None else decoder.kind
    sample = make_sample(kind)
    for variant in list_variants(sample):
        text = json.dumps(variant).encode()
        for literal in literals:
            yield text.replace(f'"{PLACE}"'.encode(), literal)


def feed(key: str, document: bytes) -> None:
    """Give a document to all that is done with what a decoder gets."""
    for drive in DRIVERS[key]:
        with contextlib.suppress(UnreadableError, check.InputError):
            drive(document)


DRIVEN = [key for key, drivers in DRIVERS.items() if drivers]


@pytest.mark.parametrize("key", DRIVEN)
def test_no_odd_value_raises_another_exception(key: str) -> None:
    # Failure: RecursionError, OverflowError or ValueError in a node's task.
    for document in list_documents(key, SMALL_LITERALS):
        feed(key, document)


@pytest.mark.parametrize("key", DRIVEN)
@pytest.mark.parametrize("literal", list(LARGE_LITERALS))
def test_no_large_odd_value_raises_another_exception(
    key: str, literal: str
) -> None:
    # Failure: RecursionError for a value that is not even read.
    for document in list_documents(key, [LARGE_LITERALS[literal]]):
        feed(key, document)


JSON_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(min_value=-(10**400), max_value=10**400),
        st.floats(),
        st.text(max_size=5),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=3), inner, max_size=4),
    ),
    max_leaves=6,
)


@pytest.mark.parametrize("key", DRIVEN)
def test_no_drawn_value_raises_another_exception(key: str) -> None:
    # Failure: an odd value that nobody thought of.
    decoder = find_decoder(key)
    kind = FUNCTION_KINDS[key] if decoder is None else decoder.kind
    variants = list(list_variants(make_sample(kind)))

    @settings(max_examples=60)
    @given(
        st.sampled_from(variants),
        st.one_of(
            st.binary(max_size=12), JSON_VALUES.map(json.dumps).map(str.encode)
        ),
    )
    def draw(variant: Any, literal: bytes) -> None:
        text = json.dumps(variant).encode()
        feed(key, text.replace(f'"{PLACE}"'.encode(), literal))

    draw()


def test_a_decoder_that_raises_something_else_is_found() -> None:
    # Failure: the checks of this file pass whatever is raised.
    def drive(_text: bytes) -> object:
        raise RecursionError

    key = DRIVEN[0]
    with (
        mock.patch.dict(DRIVERS, {key: (drive,)}),
        pytest.raises(RecursionError),
    ):
        feed(key, b"{}")


def test_samples_are_valid_for_most_decoders() -> None:
    # Failure: only the decoder is tested, not what is done with its values.
    decoders = {key: find_decoder(key) for key in DRIVERS}
    invalid = [
        key
        for key, decoder in decoders.items()
        if decoder is not None
        and isinstance(
            decoder.read(json.dumps(make_sample(decoder.kind))), Failure
        )
    ]
    assert_that(invalid, HasLength(0))
