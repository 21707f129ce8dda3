"""Requests that were read and got no answer, though nothing had failed."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.standin.site.site import HOST
from test.edges.raw import exchange
from test.node.serving_site import run_world, World

SETTLE_S = 0.3
"""Time in which a request would have reached a server."""


def format_request(
    world: World, path: str, method: str = "POST", **changes: str
) -> bytes:
    """Return the bytes of a request without a body."""
    headers = {"Host": HOST, "Content-Length": "0"}
    headers |= world.make_headers(X_Model="", **changes)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = [f"{method} {path} HTTP/1.1", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def test_a_head_request_that_a_node_answers_itself_gets_the_answer() -> None:
    # The connection was closed instead, as the answer had a body.
    async def scenario(world: World) -> None:
        for path, status in (("/nowhere/x", 404), ("/look/x", 401)):
            request = format_request(
                world, path, "HEAD", Api_Key="other", Connection="close"
            )
            answer = await exchange(world.nodes[0].own.callers_address, request)
            assert_that(answer.split(b" ")[1:2], Equals([b"%d" % status]))
            assert_that(answer.partition(b"\r\n\r\n")[2], Equals(b""))

    run_world(scenario)


def test_a_request_read_after_its_connection_was_closed_is_not_run() -> None:
    # It was sent to a server, and its end was logged as complete.
    async def scenario(world: World) -> None:
        first = format_request(world, "/book/x", Connection="close")
        second = format_request(world, "/book/x", X_Request_Id="second")
        address = world.nodes[0].own.callers_address
        answer = await exchange(address, first + second)
        assert_that(answer.count(b"HTTP/1.1 200"), Equals(1))
        await asyncio.sleep(SETTLE_S)
        assert_that(world.find_runs("second"), HasLength(0))

    run_world(scenario)
