"""Faults built in on purpose must be noticed over sockets too."""

import asyncio

import pycurl
import pytest

from chervilrock.edges import relay
from chervilrock.edges.relay import Transfer
from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.sites import Site

CALLS = 10


async def call_one_server(site: Site) -> None:
    """Calls a backend server that closes kept connections, once each."""
    site.context.backends = site.context.backends[:1]
    site.services[0].faults.add(FaultRule(kind=FaultKind.CLOSE_REUSED))
    for _ in range(CALLS):
        await site.call("/services/filing/x", body=[1])


def test_own_connections_keep_runs_single(
    loop: asyncio.Runner, site: Site
) -> None:
    loop.run(call_one_server(site))
    assert site.services[0].arrivals == CALLS
    assert site.count_calls() == CALLS


def reuse(_curl: pycurl.Curl) -> None:
    """Leaves the connection to be used by other transfers."""


def test_reused_connection_is_noticed(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "use_own_connection", reuse)
    monkeypatch.setattr(Transfer, "_record_send", send_always)
    loop.run(call_one_server(site))
    assert site.count_calls() > CALLS


def send_always(transfer: Transfer, *_addresses: object) -> int:
    """Lets libcurl send a request as often as it wants to."""
    transfer.sent = True
    return relay._SEND_OK


def test_second_send_is_refused_on_a_reused_connection(
    loop: asyncio.Runner, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "use_own_connection", reuse)
    loop.run(call_one_server(site))
    assert site.count_calls() == CALLS
