"""Streams without an event that are taken from their server."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.serving.admission import waiting
from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.standin.site.servers import ServerFault
from chervilrock.standin.site.site import LARGE
from test.node.serving_site import make_events, run_world, World

FULL_S = 0.5
"""Time for which all groups are full."""


@pytest.mark.parametrize("outcome", [SendOutcome.STALLED, SendOutcome.LOST])
def test_a_stream_that_is_taken_from_its_server_waits_for_a_slot(
    monkeypatch, outcome: SendOutcome
) -> None:
    # Failure: it got 502 at once with most of its time left, as it had waited
    # for longer than a new request may.
    for name in ("MIN_GIVE_UP_S", "GIVE_UP_TARGETS", "GIVE_UP_PAUSES"):
        monkeypatch.setattr(waiting, name, 0.0)

    async def scenario(world: World) -> None:
        heads = world.site.list_heads(LARGE)
        for head in heads:
            head.fault = ServerFault.SILENT
        headers = world.make_headers()
        request_id = headers["X-Request-Id"]
        call = asyncio.ensure_future(world.call("/draft/x", headers=headers))
        await world.wait(
            lambda: len(world.find_runs(request_id)) == 1, "it is sent"
        )
        (exchange,) = (
            node._callers.exchanges[request_id]
            for node in world.nodes
            if request_id in node._callers.exchanges
        )
        for head in heads:
            head.fault = ServerFault.NONE
        state = exchange._state
        with monkeypatch.context() as patch:
            patch.setattr(state, "choose_group", lambda *_arguments: None)
            exchange._active.interrupt(outcome)
            await asyncio.sleep(FULL_S)
        answer = await call
        assert_that(answer.status, Equals(200))
        assert_that(answer.body, Equals(make_events(request_id, 8)))

    run_world(scenario, model_servers=12)
