"""Requests of callers whose heads are not those of HTTP."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from test.edges.raw import exchange
from test.malformed import BAD_FIELDS, BAD_VALUES, FOLDED_LINES
from test.node.serving_site import run_world, World


def make_request(world: World, line: bytes, *, is_first: bool) -> bytes:
    """Return a request of which one line is malformed."""
    names = world.make_headers(X_Model="", X_Token_Count="")
    fields = b"".join(f"{k}: {v}\r\n".encode() for k, v in names.items())
    fields = line + fields if is_first else fields + line
    end = b"Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    return b"POST /look/x HTTP/1.1\r\n" + fields + end


def test_a_malformed_request_is_not_forwarded() -> None:
    async def scenario(world: World) -> None:
        address = world.nodes[0].own.callers_address
        forwarded = []
        for is_first in (True, False):
            for line in (*BAD_FIELDS, *BAD_VALUES, *FOLDED_LINES):
                if line in FOLDED_LINES and not is_first:
                    # It continues the value before it.
                    continue
                request = make_request(world, line, is_first=is_first)
                answer = await exchange(address, request)
                if not answer.startswith(b"HTTP/1.1 400"):
                    forwarded.append((line, answer))
        assert_that(forwarded, HasLength(0))
        runs = [run for server in world.site.servers for run in server.runs]
        assert_that(runs, HasLength(0))
        headers = world.make_headers(X_Model="", X_Token_Count="")
        sound = await world.call("/look/x", headers=headers)
        assert_that(sound.status, Equals(200))

    run_world(scenario)
