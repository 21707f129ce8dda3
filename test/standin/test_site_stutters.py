"""Answers of servers that stutter."""

import asyncio
import random
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    HasLength,
    Is,
    Not,
    StartsWith,
)
from tornado.iostream import StreamClosedError

from chervilrock.clients.heads import HeadProgress, HeadState
from chervilrock.standin.site.stutters import (
    Answer,
    BODY_CUTS,
    EXTRAS,
    HEAD_CUTS,
    MALFORMED,
    Stutter,
    Stutters,
)

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: 1f\r\n"
    b"X-Server-Stamp: a.1f\r\n"
    b"Content-Type: text/event-stream\r\n"
)
ANSWER = Answer(
    headers=(
        ("Content-Type", "text/event-stream"),
        ("X-Request-Id", "1f"),
        ("X-Server-Stamp", "a.1f"),
    ),
    pieces=tuple(b"id: %d\ndata: x\n\n" % number for number in range(5)),
    is_stream=True,
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
SEEDS = 8


class ClosedStream:
    """A connection whose caller closes it after the first answer."""

    def __init__(self) -> None:
        self.written = b""

    async def write(self, data: bytes) -> None:
        self.written += data

    async def read_until(self, _delimiter: bytes) -> bytes:
        raise StreamClosedError

    def closed(self) -> bool:
        return True

    def close(self) -> None:
        pass


def write(stutter: Stutter, seed: int) -> bytes:
    """Return what a server writes."""
    stream: Any = ClosedStream()
    stutters = Stutters(generator=random.Random(seed), kinds=[stutter])
    asyncio.run(stutters.write(stream, stutter, ANSWER))
    written: bytes = stream.written
    return written


@pytest.mark.parametrize("stutter", HEAD_CUTS)
def test_a_cut_head_has_no_end(stutter: Stutter) -> None:
    whole = HEAD + b"Transfer-Encoding: chunked\r\n"
    for seed in range(SEEDS):
        written = write(stutter, seed).removeprefix(INTERIM)
        assert_that(whole, StartsWith(written))


@pytest.mark.parametrize("stutter", BODY_CUTS)
def test_a_cut_body_has_no_end(stutter: Stutter) -> None:
    for seed in range(SEEDS):
        written = write(stutter, seed)
        assert_that(written, StartsWith(HEAD))
        assert_that(written, Contains(b"\r\n\r\n"))
        assert_that(written, Not(Contains(b"\r\n0\r\n")))
        assert_that(written, Not(Contains(ANSWER.pieces[-1])))


def test_an_unframed_answer_is_whole() -> None:
    body = b"".join(ANSWER.pieces)
    written = write(Stutter.UNFRAMED, 1)
    assert_that(written, Equals(HEAD + b"\r\n" + body))


def test_a_nameless_answer_is_whole() -> None:
    written = write(Stutter.NAMELESS, 1)
    assert_that(written, Not(Contains(b"X-Request-Id")))
    assert_that(written, Contains(ANSWER.pieces[-1]))
    assert_that(written, EndsWith(b"\r\n0\r\n\r\n"))


@pytest.mark.parametrize("stutter", MALFORMED)
def test_a_malformed_answer_has_the_whole_body(stutter: Stutter) -> None:
    for seed in range(SEEDS):
        written = write(stutter, seed)
        progress = HeadProgress()
        for line in written.splitlines(keepends=True):
            if progress.record_line(line) is HeadState.WHOLE:
                break
            if progress.fault:
                break
        is_trailer = stutter is Stutter.MISNAMED_TRAILER
        assert_that(bool(progress.fault), Is(not is_trailer))
        trailer = written.rpartition(b"0\r\n")[2].removesuffix(b"\r\n")
        assert_that(progress.record_line(trailer), Is(HeadState.MALFORMED))
        for piece in ANSWER.pieces:
            assert_that(written, Contains(piece))


@pytest.mark.parametrize("stutter", EXTRAS)
def test_an_extra_answer_follows_a_whole_one(stutter: Stutter) -> None:
    answers = [write(stutter, seed) for seed in range(SEEDS)]
    extras = {answer.partition(b"\r\n0\r\n\r\n")[2] for answer in answers}
    # An empty one was to come after the caller had closed the connection.
    assert_that(extras, Contains(b""))
    for extra in extras - {b""}:
        assert_that(b"HTTP/1.1 200 OK\r\n"[: len(extra)], Equals(extra[:17]))
        is_named = b"X-Request-Id: 1f" in extra
        if stutter is not Stutter.EXTRA_HEAD:
            assert_that(is_named, Is(stutter is Stutter.EXTRA))
    assert_that(extras - {b""}, Not(HasLength(0)))


def test_a_share_of_the_requests_is_spoiled() -> None:
    generator = random.Random("share")
    stutters = Stutters(
        generator=generator, kinds=[Stutter.HEAD, Stutter.EXTRA], share=0.5
    )
    drawn = [stutters.draw(str(number)) for number in range(64)]
    assert_that(set(drawn), Equals({None, Stutter.HEAD, Stutter.EXTRA}))
    played = {str(number): [one] for number, one in enumerate(drawn) if one}
    assert_that(stutters.played, Equals(played))
