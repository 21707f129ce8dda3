"""Tests that bad requests of other callers do not disturb a stream."""

import asyncio

from hypothesis import given, HealthCheck, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.standin.text import expected_text
from test.edges.raw import make_request
from test.edges.sites import join_stream, MODEL, Site

TOKENS = 30
EXPECTED = "".join(expected_text(MODEL, "hello", TOKENS))
EXAMPLES = 30

PATHS = st.sampled_from(
    ["/v1/completions", "/v1/chat/completions", "/services/none/x", "/v1/none"]
)
BODIES = st.binary(max_size=60) | st.sampled_from(
    [b'{"model":"m"}', b'{"model":"m","prompt":["a","b"]}', b"[" * 5000]
)
HEADERS = st.lists(
    st.sampled_from(
        [
            "X-Priority: 77",
            "X-Deadline-Ms: -1",
            "Idempotency-Key: a b",
            "Expect: 100-continue",
            "Transfer-Encoding: chunked",
            "Transfer-Encoding: gzip",
            "Content-Length: 7",
            "Content-Length: x",
            "Connection: upgrade",
            ": no name",
        ]
    ),
    max_size=2,
).map(tuple)


@st.composite
def draw_bytes(draw: st.DrawFn) -> bytes:
    """Draws pipelined bad requests, of which the last may be truncated."""
    data = b"".join(
        draw(
            st.lists(
                st.builds(
                    make_request,
                    PATHS,
                    BODIES,
                    headers=HEADERS,
                    close=st.booleans(),
                ),
                min_size=1,
                max_size=4,
            )
        )
    )
    if draw(st.booleans()):
        data = data[: draw(st.integers(0, len(data)))]
    if draw(st.booleans()):
        data += draw(st.binary(max_size=40))
    return data


async def send_and_keep_open(site: Site, data: bytes) -> asyncio.StreamWriter:
    """Sends bytes and leaves the connection open."""
    _, writer = await asyncio.open_connection(*site.address.split(":"))
    writer.write(data)
    return writer


async def stream_beside(site: Site, blobs: list[bytes]) -> str:
    """Returns the text of a stream that runs while others send bytes."""
    started = asyncio.Event()
    stream = asyncio.create_task(
        site.complete(
            on_chunk=lambda _: started.set(), stream=True, max_tokens=TOKENS
        )
    )
    await started.wait()
    writers = await asyncio.gather(
        *(send_and_keep_open(site, data) for data in blobs)
    )
    text = join_stream((await stream).body)
    for writer in writers:
        writer.close()
    while site.path.in_flight or site.path.open_bodies:
        await asyncio.sleep(0)
    return text


def test_stream_is_not_disturbed_by_bad_requests(
    loop: asyncio.Runner, site: Site
) -> None:
    for group in site.groups:
        group.leader.options = group.leader.options._replace(token_ms=1.0)

    @settings(
        max_examples=EXAMPLES,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(st.lists(draw_bytes(), min_size=1, max_size=6))
    def check(blobs: list[bytes]) -> None:
        before = site.count_runs()
        assert_that(loop.run(stream_beside(site, blobs)), Equals(EXPECTED))
        assert_that(site.count_runs() - before, Equals(1))

    check()
    assert not site.path.list_runs()
    assert_that(site.count_arrivals(), Equals(site.count_runs()))
