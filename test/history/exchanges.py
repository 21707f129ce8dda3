"""Single requests that fail in a certain way, and their outcomes."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bench.history_operations import CHAT, Kind, Operation, SERVICE
from chervilrock import events
from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.history import Executed, Frozen, Repeats, Told
from test.history.loops import FreezableLoop
from test.history.nodes import Options
from test.history.sites import Site

Exchange = Callable[[], Coroutine[Any, Any, list[Told]]]

STREAM = Kind(CHAT, Repeats.FREELY, streamed=True)
LOOKUP = Kind(SERVICE, Repeats.FREELY, method="GET")
BOOKING = Operation(1, Kind(SERVICE, Repeats.WITH_KEY), "desk", "north", 0)
KEY = "booking-1"
POLL_ENDED_S = 1.5
"""Time after which the log service has answered all pending long polls."""


def run_exchange(exchange: Exchange) -> list[Told]:
    """Run an exchange in an event loop of its own."""
    events.configure_logging(level="ERROR")
    with asyncio.Runner(loop_factory=FreezableLoop) as runner:
        told: list[Told] = runner.run(exchange())
    return told


async def repeat_silently() -> list[Told]:
    """Fail requests that already run on a reused connection.

    libcurl retries such requests on its own, although the first one has run.
    """
    site = Site(Options(nodes=1, latency_ms=200))
    try:
        await site.start()
        return [
            await _fail_while_running(site, STREAM, "alpha", _lose_host),
            await _fail_while_running(site, LOOKUP, "desk", _refuse_rest),
        ]
    finally:
        await site.stop()


async def _fail_while_running(site: Site, kind: Kind, name: str, fail) -> Told:
    """Send undisturbed requests, then one that fails while it runs."""
    caller = site.load.make_caller()
    node = site.nodes[0].address
    # The last request reuses connections that the first ones leave open.
    first = Operation(1, kind, name, "north", 5)
    servers = site.installation.services
    await asyncio.gather(*(caller.send_try(first, node) for _ in servers))
    slow = FaultRule(kind=FaultKind.SLOW_TOKEN, delay_ms=200)
    for engine in site.installation.engines.values():
        engine.faults.add(slow)
    number = kind.streamed + 2
    last = Operation(number, kind, name, "north", 5)
    trying = asyncio.create_task(caller.send_try(last, node))
    await _wait_executed(site, number)
    await fail(site)
    return (await trying).told


async def _wait_executed(site: Site, operation: int) -> None:
    async def has_run() -> bool:
        return any(
            isinstance(entry.event, Executed)
            and entry.event.operation == operation
            for entry in site.history.entries
        )

    await site.wait(has_run, "the request does not run")


async def _lose_host(site: Site) -> None:
    """Break the group of a running request before its first event."""
    site.installation.kill_host((await site.find_group("alpha"))[-1])


async def _refuse_rest(site: Site) -> None:
    """Let servers lose answers of running requests and refuse new ones."""
    site.installation.add_faults(FaultKind.LOSE_ANSWER, FaultKind.REFUSE)


async def repeat_key_in_outage() -> list[Told]:
    """Retry a completed request at a node that cannot look up its key."""
    site = Site(Options(nodes=2))
    try:
        await site.start()
        caller = site.load.make_caller()
        first_node, second_node = site.nodes
        site.freeze_node(second_node)
        await site.wait_age(Frozen, POLL_ENDED_S)
        first = await caller.send_try(BOOKING, first_node.address, KEY)
        site.installation.add_log_fault(FaultKind.OUTAGE)
        site.resume_node(second_node)
        second = await caller.send_try(BOOKING, second_node.address, KEY)
        return [first.told, second.told]
    finally:
        await site.stop()
