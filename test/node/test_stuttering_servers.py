"""Servers whose answers are cut, unframed, malformed, or doubled.

Failure: callers got a 200 with an empty body, a stream that ended as complete
before its last event, or the answer to another request.
"""

import asyncio
from collections.abc import Collection, Iterable
import random
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    HasLength,
    Is,
    Not,
)
from tornado.iostream import IOStream

from chervilrock.standin.site.servers import SiteServer
from chervilrock.standin.site.site import LARGE, MODEL_SERVICE, PLAIN_SERVICE
from chervilrock.standin.site.stutters import (
    Answer as ServerAnswer,
)
from chervilrock.standin.site.stutters import (
    BODY_CUTS,
    HEAD_CUTS,
    MALFORMED,
    Stutter,
    Stutters,
    WHOLE,
)
from test.malformed import SOUND_FIELDS
from test.node.serving_site import Answer, make_events, run_world, World

EVENTS = 8
REQUESTS = 4
PLAIN_SERVERS = 3
ROUNDS = 8
NAMELESS = (Stutter.NAMELESS,)
FAMILIES = [HEAD_CUTS, BODY_CUTS, NAMELESS, WHOLE, MALFORMED]
FAMILY_NAMES = ["head", "body", "nameless", "whole", "malformed"]

# Nothing tells a cut of a plain body with neither a length nor chunks.
CUT_FAMILIES = [
    HEAD_CUTS,
    (Stutter.BROKEN, Stutter.INSIDE),
    NAMELESS,
    MALFORMED,
]
CUT_FAMILY_NAMES = ["head", "body", "nameless", "malformed"]


def make_stutters(
    servers: Iterable[SiteServer], kinds: Collection[Stutter]
) -> Stutters:
    """Let servers stutter."""
    generator = random.Random("stutters")
    stutters = Stutters(generator=generator, kinds=list(kinds))
    for server in servers:
        server.stutters = stutters
    return stutters


async def wait_for_retries(world: World, service: str) -> None:
    """Wait until all requests may be sent again, and elsewhere."""
    state = world.nodes[0].state

    def is_ready() -> bool:
        large = [group for group in state.view.groups if group.model == LARGE]
        left = state.budget(service).describe().left
        return len(large) > 1 and left > REQUESTS

    await world.wait(is_ready, "retries are allowed")


async def call_each(
    world: World, path: str, **changes: str
) -> dict[str, Answer]:
    """Send requests with bodies of their own; return answers by request."""
    sent = [world.make_headers(**changes) for _ in range(REQUESTS)]
    names = [headers["X-Request-Id"] for headers in sent]
    calls = [
        world.call(path, headers=headers, body=name.encode())
        for headers, name in zip(sent, names, strict=True)
    ]
    return dict(zip(names, await asyncio.gather(*calls), strict=True))


async def call_plain(world: World, path: str) -> dict[str, Answer]:
    """Send requests that are no streams; each 200 must be whole."""
    answers = await call_each(world, path, X_Model="", X_Token_Count="")
    for name, answer in answers.items():
        if answer.status == 200:
            assert_that(answer.body, Equals(f"answer to {name}".encode()))
            check_owner(name, answer)
    return answers


async def call_streams(world: World) -> dict[str, Answer]:
    """Send requests for streams; each that ends must be whole."""
    answers = await call_each(world, "/draft/x", X_Token_Count=f"10,{EVENTS}")
    for name, answer in answers.items():
        if answer.status == 200:
            assert_that(answer.body, Equals(make_events(name, EVENTS)))
            check_owner(name, answer)
    return answers


async def wait_for_stutter(world: World, stutters: Stutters) -> None:
    """Wait until a server has stuttered."""
    await world.wait(lambda: bool(stutters.played), "a stream is cut")


def list_statuses(answers: dict[str, Answer]) -> set[int]:
    """Return which statuses came."""
    return {answer.status for answer in answers.values()}


def check_owner(name: str, answer: Answer) -> None:
    """Check that an answer names its request."""
    headers = {key.lower(): text for key, text in answer.headers.items()}
    assert_that(headers["x-request-id"], Equals(name))
    assert_that(headers["x-server-stamp"], Contains(name))


def check_reach(world: World) -> None:
    """Check that the node does not think that the fault is its own."""
    assert_that(world.nodes[0].state.reachability.is_cut_off, Is(False))


@pytest.mark.parametrize("kinds", FAMILIES, ids=FAMILY_NAMES)
def test_streams_of_stuttering_servers_arrive_whole(kinds) -> None:
    async def scenario(world: World) -> None:
        for number, kind in enumerate(kinds):
            await wait_for_retries(world, MODEL_SERVICE)
            heads = world.site.list_heads(LARGE)
            bad = heads[number % len(heads)]
            stutters = make_stutters([bad], [kind])
            while not stutters.played:
                assert_that(
                    list_statuses(await call_streams(world)), Equals({200})
                )
            bad.stutters = None
        check_reach(world)

    run_world(scenario, model_servers=12)


def test_a_stream_that_is_cut_again_does_not_end_as_complete() -> None:
    async def scenario(world: World) -> None:
        for kind in [*HEAD_CUTS, *BODY_CUTS, *NAMELESS, *MALFORMED]:
            await wait_for_retries(world, MODEL_SERVICE)
            servers = world.site.servers
            stutters = make_stutters(servers, [Stutter.BROKEN])
            task = asyncio.create_task(call_streams(world))
            await wait_for_stutter(world, stutters)
            again = make_stutters(servers, [kind])
            assert_that(list_statuses(await task) - {0, 200, 502}, HasLength(0))
            assert_that(again.played, Not(HasLength(0)))
        check_reach(world)

    run_world(scenario, model_servers=12)


@pytest.mark.parametrize("kinds", CUT_FAMILIES, ids=CUT_FAMILY_NAMES)
def test_a_request_whose_answer_is_cut_is_not_sent_again(kinds) -> None:
    async def scenario(world: World) -> None:
        servers = world.list_plain_servers()
        for number, kind in enumerate(kinds):
            bad = servers[number % len(servers)]
            stutters = make_stutters([bad], [kind])
            answers: dict[str, Answer] = {}
            while not stutters.played:
                answers |= await call_plain(world, "/book/x")
            for name, answer in answers.items():
                is_cut = name in stutters.played
                assert_that(answer.status, Equals(502 if is_cut else 200))
                assert_that(world.find_runs(name), HasLength(1))
            bad.stutters = None
        check_reach(world)

    run_world(scenario, plain_servers=PLAIN_SERVERS)


@pytest.mark.parametrize("kinds", CUT_FAMILIES, ids=CUT_FAMILY_NAMES)
def test_a_safe_request_whose_answer_is_cut_is_served_elsewhere(kinds) -> None:
    async def scenario(world: World) -> None:
        servers = world.list_plain_servers()
        for number, kind in enumerate(kinds):
            bad = servers[number % len(servers)]
            stutters = make_stutters([bad], [kind])
            await wait_for_retries(world, PLAIN_SERVICE)
            while not stutters.played:
                answers = await call_plain(world, "/look/x")
                assert_that(list_statuses(answers), Equals({200}))
            bad.stutters = None
        check_reach(world)

    run_world(scenario, plain_servers=PLAIN_SERVERS)


@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
def test_no_request_gets_a_late_answer_to_another(path) -> None:
    async def scenario(world: World) -> None:
        make_stutters(world.list_plain_servers(), WHOLE)
        for _ in range(ROUNDS):
            answers = await call_plain(world, path)
            assert_that(list_statuses(answers), Equals({200}))
            for name in answers:
                assert_that(world.find_runs(name), HasLength(1))
        check_reach(world)

    run_world(scenario, plain_servers=PLAIN_SERVERS)


class OddHeads:
    """Lets servers answer with a further line in their heads.

    Attributes:
      line: the line.
    """

    line = b""

    def draw(self, _request_id: str) -> Stutter:
        """Return how to answer; see `Stutters`."""
        return Stutter.FIELD

    async def write(
        self, stream: IOStream, _stutter: Stutter, answer: ServerAnswer
    ) -> None:
        """Answer a request, and close its connection."""
        body = b"".join(answer.pieces)
        fields = (*answer.headers, ("Content-Length", str(len(body))))
        lines = b"".join(f"{k}: {v}\r\n".encode() for k, v in fields)
        head = b"HTTP/1.1 200 OK\r\n" + lines + self.line
        await stream.write(head + b"\r\n" + body)
        stream.close()


# Failure: sound answers are lost as well.
def test_answers_with_odd_but_sound_heads_are_passed_on() -> None:
    async def scenario(world: World) -> None:
        heads: Any = OddHeads()
        for server in world.list_plain_servers():
            server.stutters = heads
        for line in SOUND_FIELDS:
            heads.line = line
            for name, answer in (await call_plain(world, "/look/x")).items():
                assert_that(answer.status, Equals(200))
                assert_that(world.find_runs(name), HasLength(1))
                sent = line.partition(b":")[0].decode().lower()
                received = [key.lower() for key in answer.headers]
                assert_that(received, Contains(sent))

    run_world(scenario)
