"""What the log says of answers that end before they are complete."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, HasLength, Not

from chervilrock.standin.site.servers import ServerFault
from test.node.serving_site import run_world, World
from test.node.test_slow_readers import Caller

EVENTS = 100


async def begin_stream(world: World) -> Caller:
    """Return a caller that has the head of a long stream."""
    caller = Caller(world)
    await caller.send(body=b"body", X_Token_Count=f"10,{EVENTS}")
    await caller.reader.readuntil(b"\r\n\r\n")
    return caller


def find_end(log_lines: list[str], caller: Caller) -> str:
    ends = [
        line
        for line in log_lines
        if "E7403" in line and caller.request_id in line
    ]
    assert_that(ends, HasLength(1))
    return ends[0]


async def leave(_world: World, caller: Caller) -> None:
    caller.writer.close()


async def exit_at_once(world: World, _caller: Caller) -> None:
    await world.nodes[0].close()


async def break_servers(world: World, _caller: Caller) -> None:
    for server in world.site.servers:
        server.fault = ServerFault.BREAK


async def keep_silent(world: World, _caller: Caller) -> None:
    for server in world.site.servers:
        server.fault = ServerFault.SILENT


# Failure: streams that the node had cut itself were logged as if their callers
# had left.
@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (leave, "reason=left"),
        (exit_at_once, "cut=exit"),
        (break_servers, "cut=failed"),
        (keep_silent, "cut=limit"),
    ],
)
def test_the_log_tells_who_ended_a_stream(log_lines, end, reason) -> None:
    async def scenario(world: World) -> None:
        caller = await begin_stream(world)
        await end(world, caller)
        await world.wait(
            lambda: any(
                "E7403" in line and caller.request_id in line
                for line in log_lines
            ),
            "the end is logged",
        )
        line = find_end(log_lines, caller)
        assert_that(line, Contains(reason))
        if end is not leave:
            assert_that(line, Not(Contains("reason=left")))

    run_world(scenario)
