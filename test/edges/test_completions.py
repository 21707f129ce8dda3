import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.text import expected_text
from test.edges.sites import join_stream, read_error, Site

EXPECTED = "".join(expected_text("m", "hello", 6))


def test_stream_is_whole(loop: asyncio.Runner, site: Site) -> None:
    answer = loop.run(site.complete(stream=True))
    assert_that(answer.status, Equals(200))
    assert_that(join_stream(answer.body), Equals(EXPECTED))


def test_answer_is_whole(loop: asyncio.Runner, site: Site) -> None:
    answer = loop.run(site.complete())
    assert_that(answer.status, Equals(200))
    assert EXPECTED.encode() in answer.body
