"""Mutation tests: deliberate faults must be detected over sockets too."""

import asyncio

import pycurl
import pytest

from chervilrock.edges import relay
from chervilrock.edges.relay import Transfer
from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.sites import Site

CALLS = 10


async def call_one_server(site: Site) -> None:
    """Sends `CALLS` calls to one server that closes reused connections."""
    site.context.backends = site.context.backends[:1]
    site.services[0].faults.add(FaultRule(kind=FaultKind.CLOSE_REUSED))
    for _ in range(CALLS):
        await site.call("/services/filing/x", body=[1])


def test_own_connections_prevent_duplicate_runs(
    loop: asyncio.Runner, site: Site
) -> None:
    loop.run(call_one_server(site))
    assert site.services[0].arrivals == CALLS
    assert site.count_calls() == CALLS


def allow_reuse(_curl: pycurl.Curl) -> None:
    """Lets other transfers reuse the connection."""


def test_duplicate_runs_on_reused_connections_are_detected(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "use_own_connection", allow_reuse)
    monkeypatch.setattr(Transfer, "_record_send", accept_every_send)
    loop.run(call_one_server(site))
    assert site.count_calls() > CALLS


def accept_every_send(transfer: Transfer, *_addresses: object) -> int:
    """Lets libcurl send a request any number of times."""
    transfer.sent = True
    return relay._SEND_OK


def test_second_send_on_a_reused_connection_is_rejected(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "use_own_connection", allow_reuse)
    loop.run(call_one_server(site))
    assert site.count_calls() == CALLS
