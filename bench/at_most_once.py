"""Tickets compared with claims in the log, for requests that may run only once.

Callers call a plain service with requests that are not idempotent: without
protection, with a ticket that they request first, and with an idempotency key
of their own that the node claims in the log. The log service is healthy, slow
(`SLOW_APPEND_MS` for each append) or down. The results hold the latency of a
call at its caller, including the request for the ticket, the share of calls
that were answered, and the number of appends for each call. Everything runs in
one process.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
import contextlib
import enum
import random
import statistics
import time
from typing import NamedTuple

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from bench.key_node import KeyNode
from bench.relay_context import SERVICE
from chervilrock.clients.http import HttpLogService
from chervilrock.clients.httpclient import HttpClient
from chervilrock.edges.callers import make_caller_routes
from chervilrock.edges.path import RequestPath
from chervilrock.events import configure_logging
from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn
from chervilrock.standin.service import ServiceStandIn

CALLS = 800
CALLERS = 16
LOG_DOWN_CALLS = 320
THINK_S = 0.1
"""Mean pause between two calls of a caller; it keeps the processor of the bench
from becoming the bottleneck."""

SLOW_APPEND_MS = 200
APPENDS_PER_S = 300.0

_MS = 1000.0
_QUICK_DIVISOR = 4
_STATUS_OK = 200
_P95 = 0.95


class Means(enum.StrEnum):
    """Protection of a call against running twice across nodes."""

    NONE = "none"
    TICKET = "ticket"
    KEY = "key"


class LogState(enum.StrEnum):
    """Condition of the log service."""

    HEALTHY = "healthy"
    SLOW = "slow"
    DOWN = "down"


class Site(NamedTuple):
    """A node with its backend server and log service."""

    node: KeyNode
    address: str
    service: ServiceStandIn
    platform: PlatformStandIn
    client: CurlAsyncHTTPClient


class CallResult(NamedTuple):
    """Outcome and latency of a call."""

    outcome: str
    seconds: float


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Runs the bench.

    Args:
      quick: whether to run smaller sizes.
    """
    configure_logging(level="ERROR")
    divisor = _QUICK_DIVISOR if quick else 1
    for state in LogState:
        calls = LOG_DOWN_CALLS if state is LogState.DOWN else CALLS
        for means in Means:
            yield asyncio.run(_measure(state, means, calls // divisor))


async def _measure(
    state: LogState, means: Means, calls: int
) -> dict[str, object]:
    async with contextlib.AsyncExitStack() as stack:
        site = await _start_site(stack)
        _set_state(site.platform, state)
        started = time.monotonic()
        callers = (
            _call_repeatedly(site, means, f"c{number}", calls // CALLERS)
            for number in range(CALLERS)
        )
        results = [
            result for part in await asyncio.gather(*callers) for result in part
        ]
        return _summarise(
            state, means, site, results, time.monotonic() - started
        )


async def _start_site(stack: contextlib.AsyncExitStack) -> Site:
    service = ServiceStandIn()
    platform = PlatformStandIn(
        options=PlatformOptions(appends_per_s=APPENDS_PER_S)
    )
    http = HttpClient(max_clients=16)
    log = HttpLogService(http=http, address=await platform.start())
    upstream = await service.start()
    stack.push_async_callback(service.stop)
    stack.push_async_callback(platform.stop)
    stack.callback(http.close)
    node = KeyNode(upstream=upstream, now=time.monotonic, log=log)
    path = RequestPath(context=node)
    stack.callback(path.close)
    for coroutine in node.list_coroutines():
        stack.callback(asyncio.create_task(coroutine).cancel)
    sockets = bind_sockets(0, "127.0.0.1", reuse_port=False)
    server = HTTPServer(Application(make_caller_routes(node, path=path)))
    server.add_sockets(sockets)
    stack.callback(server.stop)
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=CALLERS)
    stack.callback(client.close)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    return Site(node, address, service, platform, client)


def _set_state(platform: PlatformStandIn, state: LogState) -> None:
    if state is LogState.SLOW:
        rule = FaultRule(
            kind=FaultKind.DELAY,
            method="POST",
            path="/log",
            delay_ms=SLOW_APPEND_MS,
        )
        platform.faults.add(rule)
    elif state is LogState.DOWN:
        platform.faults.add(FaultRule(kind=FaultKind.OUTAGE, path="/log"))


async def _call_repeatedly(
    site: Site, means: Means, caller: str, calls: int
) -> list[CallResult]:
    results = []
    for number in range(calls):
        await asyncio.sleep(THINK_S * (0.5 + random.random()))
        results.append(await _call(site, means, f"{caller}-{number}"))
    return results


async def _call(site: Site, means: Means, key: str) -> CallResult:
    started = time.monotonic()
    headers = {}
    if means is Means.TICKET:
        response = await _post(site, "/v1/tickets", {})
        headers["Idempotency-Key"] = msgspec.json.decode(response[1])["ticket"]
    elif means is Means.KEY:
        headers["Idempotency-Key"] = key
    status, body = await _post(site, f"/services/{SERVICE}/x", headers)
    outcome = "answered"
    if status != _STATUS_OK:
        outcome = msgspec.json.decode(body)["error"]["outcome"]
    return CallResult(outcome, time.monotonic() - started)


async def _post(
    site: Site, path: str, headers: dict[str, str]
) -> tuple[int, bytes]:
    response = await site.client.fetch(
        HTTPRequest(
            f"http://{site.address}{path}",
            method="POST",
            body=b"{}",
            headers=headers,
        ),
        raise_error=False,
    )
    return response.code, response.body


def _summarise(
    state: LogState,
    means: Means,
    site: Site,
    results: list[CallResult],
    seconds: float,
) -> dict[str, object]:
    outcomes = Counter(result.outcome for result in results)
    times = sorted(result.seconds for result in results)
    answered = outcomes.pop("answered", 0)
    return {
        "log": state.value,
        "means": means.value,
        "calls": len(results),
        "answered": round(answered / len(results), 4),
        "errors": dict(outcomes),
        "p50_ms": round(statistics.median(times) * _MS, 1),
        "p95_ms": round(times[int(len(times) * _P95)] * _MS, 1),
        "calls_per_s": round(len(results) / seconds),
        "appends_per_call": round(site.node.appends / len(results), 3),
        "runs_more_than_once": sum(
            count > 1 for count in site.service.executions.values()
        ),
    }
