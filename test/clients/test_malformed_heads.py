"""Calls whose answers have heads that are not those of HTTP.

Failure: the lines that were malformed were ignored, and the rest was taken for
the answer, also chunks with their frames for its body.
"""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.decisions.decoding import Decoder
from test.clients.test_cut_answers import (
    call_each,
    call_on_a_kept_connection,
    CALLS,
    CHUNKED,
    CLOSED,
    INTERIM,
    LENGTH,
    LIMIT_S,
    list_wrong,
    make_head,
    request,
    run_server,
    WHOLE,
)
from test.malformed import (
    BAD_FIELDS,
    BAD_STATUSES,
    BAD_VALUES,
    FOLDED_LINES,
    SOUND_FIELDS,
    spoil_names,
)

BODY = b"{}"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"
ERA = b"Store-Era: 5\r\n"
REPLIES = [b"200 OK", b"404 No", b"412 No"]


def make_answer(status: bytes, *lines: bytes, framing: bytes = LENGTH) -> bytes:
    body = CHUNKS if framing is CHUNKED else BODY
    return make_head(status, *lines, framing) + body


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_has_a_malformed_field_has_no_answer(call) -> None:
    answers = [
        make_answer(status, ERA, line)
        for status in REPLIES
        for line in (*BAD_FIELDS, *BAD_VALUES)
    ]
    answers += [make_answer(b"200 OK", line) for line in FOLDED_LINES]
    answers += [INTERIM[:-2] + line + b"\r\n" + WHOLE for line in BAD_FIELDS]
    assert_that(list_wrong(call, answers), HasLength(0))


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, CLOSED])
def test_a_call_whose_answer_misnames_its_framing_has_no_answer(
    framing, call
) -> None:
    sound = make_answer(b"200 OK", ERA, framing=framing)
    answers = [sound.replace(framing, bad) for bad in spoil_names(framing)]
    assert_that(list_wrong(call, answers), HasLength(0))


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_has_malformed_trailers_has_no_answer(call) -> None:
    head = make_head(b"200 OK", ERA, CHUNKED)
    answers = [head + CHUNKS[:-2] + line + b"\r\n" for line in BAD_FIELDS]
    assert_that(list_wrong(call, answers), HasLength(0))


@pytest.mark.parametrize("call", CALLS)
def test_a_call_whose_answer_has_an_undefined_status_has_no_answer(
    call,
) -> None:
    answers = [make_answer(status + b" OK", ERA) for status in BAD_STATUSES]
    answers += [INTERIM + answer for answer in answers]
    assert_that(list_wrong(call, answers), HasLength(0))


def test_a_call_on_a_kept_connection_is_not_repeated() -> None:
    for line in BAD_FIELDS:
        answers = [make_answer(b"200 OK", line), WHOLE]
        result, arrived = asyncio.run(
            call_on_a_kept_connection(request, answers)
        )
        assert_that(result.failure().kind, Equals(PlatformErrorKind.OUTAGE))
        assert_that(arrived, Equals(1))


def test_the_error_of_a_call_names_what_is_malformed() -> None:
    (result,) = call_each(request, [make_answer(b"200 OK", b"X Y: a\r\n")])
    assert_that(result.failure().message, Contains("no field line: b'X Y: a'"))


def test_a_poll_whose_answer_is_malformed_forgets_the_former_one() -> None:
    async def check() -> None:
        async with run_server(keeps=1) as server:
            poller = Poller()
            url = f"http://{server.address}/"
            answers = [WHOLE, make_answer(b"304 Same", b"E Tag: x\r\n"), WHOLE]
            server.answers = answers
            decoder = Decoder(object)
            await poller.poll(url, decoder, LIMIT_S)
            result = await poller.poll(url, decoder, LIMIT_S)
            assert_that(result.failure().message, Contains("no field line"))
            await poller.poll(url, decoder, LIMIT_S)
            poller.close()
        conditional = [
            b"if-none-match" in head.lower() for head in server.arrived
        ]
        assert_that(conditional, Equals([False, True, False]))

    asyncio.run(check())


# Failure: sound answers are no answers as well.
def test_a_call_whose_answer_has_odd_but_sound_fields_has_an_answer() -> None:
    answers = [
        make_answer(b"200 OK", line, framing=framing)
        for line in SOUND_FIELDS
        for framing in (LENGTH, CHUNKED, CLOSED)
    ]

    async def call(client: HttpClient, address: str):
        url = f"http://{address}/"
        return await client.request("GET", url, timeout_s=LIMIT_S)

    bodies = [result.unwrap().body for result in call_each(call, answers)]
    assert_that(bodies, Equals([BODY] * len(answers)))
