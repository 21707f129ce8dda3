import asyncio
from typing import Any

from hypothesis import given, HealthCheck, settings
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.edges.bodies import add_continuation, parse_completion
from chervilrock.edges.heads import format_headers, parse_head
from chervilrock.edges.parsing import parse_count, parse_headers
from chervilrock.edges.servicecalls import copy_headers
from chervilrock.edges.state import BodyLimits
from test.edges.raw import exchange, make_request
from test.edges.sites import Site
from test.malformed import BAD_FIELDS, BAD_VALUES

GOOD = {"model": "m", "prompt": "p", "max_tokens": 2}
MAX_BYTES = 2000

BAD_BODIES: list[tuple[object, tuple[str, ...]]] = [
    ([], ("body: is not a JSON object",)),
    ({}, ("body.model", "body.prompt")),
    (GOOD | {"model": ""}, ("body.model",)),
    (GOOD | {"model": "x" * 300}, ("body.model",)),
    (GOOD | {"stream": 1}, ("body.stream",)),
    (GOOD | {"stream_options": 1}, ("body.stream_options",)),
    (GOOD | {"prompt": ["a", "b"]}, ("body.prompt",)),
    (GOOD | {"prompt": [1, 2]}, ("body.prompt",)),
    (GOOD | {"prompt": 7, "n": 2}, ("body.prompt", "body.n")),
    (GOOD | {"n": True}, ("body.n",)),
    (GOOD | {"best_of": 3}, ("body.best_of",)),
    (GOOD | {"max_tokens": 0}, ("body.max_tokens",)),
    (GOOD | {"max_tokens": "9"}, ("body.max_tokens",)),
    (GOOD | {"continuation": {}}, ("body.continuation",)),
]


@pytest.mark.parametrize(("body", "locations"), BAD_BODIES)
def test_all_findings_are_reported_together(
    loop: asyncio.Runner, site: Site, body: Any, locations: tuple[str, ...]
) -> None:
    headers = {"X-Priority": "5"}
    answer = loop.run(site.call("/v1/completions", body=body, headers=headers))
    error = msgspec.json.decode(answer.body)["error"]
    assert_that(answer.status, Equals(400))
    assert_that(error["outcome"], Equals("not_run"))
    for location in locations:
        assert location in error["message"]
    assert_that(site.count_arrivals(), Equals(0))


BAD_HEADERS = [
    ("X-Workspace", "a b"),
    ("X-Workspace", ""),
    ("X-Priority", "10"),
    ("X-Priority", "-1"),
    ("X-Priority", "\xb2"),
    ("X-Deadline-Ms", "soon"),
    ("X-Deadline-Ms", "0"),
    ("X-Deadline-Ms", "9" * 40),
    ("X-Idempotent", "yes"),
    ("Idempotency-Key", "a b"),
    ("Idempotency-Key", "k" * 300),
]


@pytest.mark.parametrize(("name", "value"), BAD_HEADERS)
def test_bad_header_is_rejected(name: str, value: str) -> None:
    parsed = parse_headers({name: value})
    assert isinstance(parsed, Failure)
    (finding,) = parsed.failure()
    assert_that(finding.place, Equals(f"header {name}"))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
MEMBERS = st.dictionaries(
    st.sampled_from(
        ["model", "prompt", "messages", "stream", "n", "max_tokens"]
        + ["stream_options", "continuation"]
    ),
    JSON | st.sampled_from(["m", [{"role": "user", "content": "c"}], 1, True]),
)


@given(st.binary() | MEMBERS.map(str).map(str.encode), st.booleans())
def test_any_bytes_are_parsed_or_refused(body: bytes, chat: bool) -> None:
    parsed = parse_completion(body, chat=chat)
    assert isinstance(parsed, Success | Failure)


@given(MEMBERS, st.booleans())
def test_any_json_is_parsed_or_refused(
    members: dict[str, Any], chat: bool
) -> None:
    body = msgspec.json.encode(members)
    parsed = parse_completion(body, chat=chat)
    if isinstance(parsed, Success):
        call = parsed.unwrap()
        assert call.model
        assert call.max_tokens > 0
        continued = msgspec.json.decode(add_continuation(body, 3, "t"))
        assert continued["continuation"] == {"events": 3, "text": "t"}
    else:
        assert parsed.failure()


def test_deeply_nested_json_is_rejected() -> None:
    body = b'{"prompt":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    assert isinstance(parse_completion(body, chat=False), Failure)


@given(st.dictionaries(st.text(max_size=20), st.text(max_size=20)))
def test_any_headers_are_parsed_or_refused(headers: dict[str, str]) -> None:
    assert isinstance(parse_headers(headers), Success | Failure)


@given(st.text(max_size=20))
def test_counts_are_plain_digits(text: str) -> None:
    count = parse_count(text)
    if count is not None:
        assert_that(int(text), Equals(count))
        assert text.isascii()


@given(st.lists(st.binary(max_size=30) | st.just(b"HTTP/1.1 200 OK\r\n")))
def test_any_lines_give_a_head_or_none(lines: list[bytes]) -> None:
    head = parse_head(lines)
    assert head is None or head.status >= 200


NAMES = st.text(max_size=8) | st.sampled_from(["Connection", "Host", "X-A"])


@given(st.lists(st.tuples(NAMES, st.text(max_size=8))))
def test_copied_headers_cannot_break_out_of_their_lines(
    headers: list[tuple[str, str]],
) -> None:
    copied = copy_headers(headers, frozenset({"host"}))
    lines = format_headers(copied)
    assert all(b"\r" not in line and b"\n" not in line for line in lines)
    assert not {"host", "connection"} & {name.lower() for name, _ in copied}


UNUSUAL_REQUESTS = [
    (make_request("/v1/completions", b"{"), b"400", b"not_run"),
    (make_request("/v1/none", b"{}"), b"404", b"not_found"),
    (make_request("/none", method="GET"), b"404", b"not_found"),
    (make_request("/v1/completions", method="GET"), b"405", b"not_allowed"),
    (make_request("/v1/models", b"{}"), b"405", b"not_allowed"),
    (make_request("/v1/models", method="BREW"), b"405", b"not_allowed"),
    (make_request("/v1/models", method="OPTIONS"), b"204", b"Allow: GET"),
    (make_request("/v1/completions", method="OPTIONS"), b"204", b"POST"),
    (make_request("/v1/models", method="HEAD"), b"200", b"X-Node: n1"),
    (
        make_request("/v1/completions", b"x" * (MAX_BYTES + 1)),
        b"413",
        b"body_too_large",
    ),
    (
        make_request("/v1/completions", headers=("Content-Length: 9999999",)),
        b"413",
        b"body_too_large",
    ),
    (
        make_request("/v1/completions", headers=("Content-Length: -4",)),
        b"4",
        b"",
    ),
    (make_request("/services/x", b"{}"), b"404", b"not_found"),
    (make_request("/peer/tickets/x", b"{}"), b"400", b"bad_request"),
    (
        make_request("/v1/addresses?data_centre=" + "x" * 300, method="GET"),
        b"400",
        b"bad_request",
    ),
]


async def start_site_with_body_limits() -> Site:
    site = Site()
    await site.start(BodyLimits(max_bytes=MAX_BYTES, timeout_s=0.05))
    return site


@pytest.mark.parametrize(
    ("request_bytes", "status", "expected_part"), UNUSUAL_REQUESTS
)
def test_unusual_requests_get_specific_answers(
    loop: asyncio.Runner,
    request_bytes: bytes,
    status: bytes,
    expected_part: bytes,
) -> None:
    site = loop.run(start_site_with_body_limits())
    answer = loop.run(exchange(site.address, request_bytes))
    loop.run(site.stop())
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert expected_part in answer
    assert_that(site.count_arrivals(), Equals(0))


def test_requests_with_malformed_fields_are_rejected(
    loop: asyncio.Runner, site: Site
) -> None:
    lines = [line.rstrip(b"\r\n") for line in (*BAD_FIELDS, *BAD_VALUES)]
    for line in lines:
        request = make_request(
            "/v1/completions",
            msgspec.json.encode(GOOD),
            headers=(line.decode("latin1"),),
        )
        answer = loop.run(exchange(site.address, request))
        assert answer.startswith(b"HTTP/1.1 400"), line
    assert_that(site.count_arrivals(), Equals(0))


def test_slow_body_is_rejected(loop: asyncio.Runner) -> None:
    site = loop.run(start_site_with_body_limits())
    request = make_request("/v1/completions", b"x" * 100)[:-50]
    answer = loop.run(exchange(site.address, request))
    loop.run(site.stop())
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"outcome":"not_run"' in answer


def test_pipelined_requests_are_answered_in_order(
    loop: asyncio.Runner, site: Site
) -> None:
    body = msgspec.json.encode(GOOD)
    first = make_request("/v1/completions", body, close=False)
    data = first + make_request("/v1/completions", body)
    answer = loop.run(exchange(site.address, data))
    assert_that(answer.count(b"HTTP/1.1 200"), Equals(2))
    assert answer.index(b"n1-i1-1") < answer.index(b"n1-i1-2")


def test_any_bytes_leave_the_server_working(
    loop: asyncio.Runner, site: Site
) -> None:
    @settings(
        max_examples=60,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(st.binary(min_size=1, max_size=300), st.booleans())
    def send(data: bytes, with_head: bool) -> None:
        if with_head:
            data = make_request("/v1/completions", data)
        else:
            data += b"\r\n\r\nGET / HTTP/1.0\r\n\r\n\r\n\r\n"
        loop.run(exchange(site.address, data))

    send()
    assert_that(loop.run(site.complete()).status, Equals(200))
