"""Calls of a node whose answers are cut in their head.

Failure: a claim counted as outdated, and an order or a report as accepted, by
the status of an answer that was not received whole.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength

from chervilrock.clients.httpclient import HttpClient
from chervilrock.decisions.serving.admission.suspects import CrashReport
from chervilrock.decisions.serving.groups.effects import Command
from chervilrock.decisions.serving.groups.orders import Leave
from chervilrock.decisions.serving.view import LeaderEntry, NodeEntry
from chervilrock.platform.engines import HttpEngineControl
from chervilrock.platform.store import StoreClient
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.serving.faults import Faults
from chervilrock.tasks.serving.outbound import Outbound, Ports
from test.clients.test_cut_answers import (
    cut,
    LENGTH,
    make_head,
    make_server,
    run_server,
)

STATUSES = [b"200 OK", b"409 No", b"412 No", b"421 No", b"500 No"]
LIMIT_S = 30.0

Start = Callable[[Outbound, str], Any]


def make_node(address: str) -> NodeEntry:
    return NodeEntry(
        node="n",
        incarnation="i",
        peer_address=address,
        callers_address=address,
        data_centre="a",
    )


def collect_outcomes(start: Start, answers: list[bytes]) -> list[Any]:
    """Return what a node learns of a call for each answer to it."""

    async def collect() -> list[Any]:
        outcomes = []
        async with asyncio.timeout(LIMIT_S), run_server() as server:
            for answer in answers:
                client = HttpClient(max_clients=1)
                mailbox = Mailbox[Any]()
                unused: Any = None
                outbound = Outbound(
                    ports=Ports(
                        store=StoreClient(
                            client=client, address=server.address
                        ),
                        engines=HttpEngineControl(client=client),
                        client=client,
                        decode_configuration=unused,
                        decode_server=unused,
                        liveness=unused,
                    ),
                    outbox=mailbox,
                    faults=Faults(),
                )
                server.answers = [answer]
                start(outbound, server.address)
                outcomes.append(await mailbox.receive())
                outbound.close()
                client.close()
            assert_that(server.arrived, HasLength(len(answers)))
        return outcomes

    return asyncio.run(collect())


def claim(outbound: Outbound, _address: str) -> None:
    outbound.claim(LeaderEntry(node="n", incarnation="i"), 7)


def order(outbound: Outbound, address: str) -> None:
    leave = Leave(group="g", epoch=1)
    outbound.order(Command(server=make_server(address), order=leave))


def ask(outbound: Outbound, address: str) -> None:
    outbound.ask_contacts(3, (make_node(address),), is_leader=True)


def report(outbound: Outbound, address: str) -> None:
    outbound.send_crash_report(make_node(address), CrashReport())


@pytest.mark.parametrize(
    ("start", "summarize", "expected"),
    [
        (claim, lambda end: (end.is_answered, end.is_outdated), (False, False)),
        (order, lambda end: end.reply, None),
        (ask, lambda end: end.answers[0].is_answered, False),
        (report, lambda end: end.is_accepted, False),
    ],
)
def test_a_call_of_a_node_with_a_cut_head_is_unanswered(
    start: Start, summarize: Callable[[Any], Any], expected: Any
) -> None:
    heads = [
        head for status in STATUSES for head in cut(make_head(status, LENGTH))
    ]
    outcomes = collect_outcomes(start, heads)
    wrong = [
        (head, outcome)
        for head, outcome in zip(heads, outcomes, strict=True)
        if summarize(outcome) != expected
    ]
    assert_that(wrong, HasLength(0))
