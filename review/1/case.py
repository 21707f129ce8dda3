"""A machine gets SIGTERM while it holds requests that it has accepted.

In the second part (unread.py) a caller still reads its answer. In the first one
requests wait in the node, as all slots are taken by earlier requests. Half of
the callers send just before the signal, the others 1 s after it, while they may
still use the address. The waiting requests have been read in full, have reached
no server and have time left when the process exits.
"""

import asyncio
import pathlib
import signal
import sys
import time

from unread import read_slowly

from chervilrock.standin.site.site import (
    HOST,
    KEY,
    make_configuration,
    PLAIN_SERVICE,
)
from common import (
    Installation,
    NodeProcess,
    parse_head,
    run_case,
)

CASE = pathlib.Path(__file__).resolve().parent

EARLY_REQUESTS = 20
LATE_REQUESTS = 60
LATE_AT_S = 1.0
"""When the others are sent, after the signal. Some callers use an address for
three times the stated `ttl_s` of 1 s."""

BODY = b"x" * 600
SERVERS = 2
SLOTS = 4
"""The servers run or queue twelve requests of a node, and end eight every three
seconds."""

WORK_S = 3.0
LIMIT_S = 8.0
SIGTERM_AT_S = 0.5
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
STABLE_WINDOW_S = 3.0


async def call(
    node: NodeProcess, request_id: str, sent: dict[str, float]
) -> tuple[str, float]:
    """Send a request; return its status, empty for a closed connection."""
    reader, writer = await asyncio.open_connection(*node.callers_address)
    head = (
        f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {LIMIT_S * 1000:.0f}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    )
    writer.write(head.encode() + BODY)
    await writer.drain()
    sent[request_id] = time.monotonic()
    status = ""
    try:
        line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(int(headers["content-length"]))
        status = line.split()[1]
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return status, time.monotonic()


async def wait_for_slots(
    installation: Installation, is_disturbed: bool
) -> bool:
    """Return whether each request that waited got an answer."""
    record = installation.record
    site = installation.site
    site.start(model_servers=4, plain_servers=0)
    document = make_configuration(2)
    for route in document["routes"]:
        route["timeout_ms"] = LIMIT_S * 1000
    site.store.write_configuration(document)
    for _ in range(SERVERS):
        await installation.add_server(PLAIN_SERVICE, slots=SLOTS, work_s=WORK_S)
    node = installation.add_node()
    await installation.wait(node.is_ready, "node ready")
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    sent: dict[str, float] = {}
    count = EARLY_REQUESTS + LATE_REQUESTS
    names = [f"{number:016x}" for number in range(1, count + 1)]
    early, late = names[:EARLY_REQUESTS], names[EARLY_REQUESTS:]
    calls = [asyncio.create_task(call(node, name, sent)) for name in early]
    record.write(f"{len(early)} requests sent, each on its own connection")
    await asyncio.sleep(SIGTERM_AT_S)
    signalled = time.monotonic()
    if is_disturbed:
        record.write("SIGTERM")
        node.signal(signal.SIGTERM)
    await asyncio.sleep(LATE_AT_S)
    calls += [asyncio.create_task(call(node, name, sent)) for name in late]
    record.write(f"{len(late)} requests sent, each on its own connection")
    answers = await asyncio.gather(*calls)
    arrived: set[str] = set()
    for server in installation.servers:
        arrived |= server.arrived
    broken = 0
    for name, (status, ended) in zip(names, answers, strict=True):
        age_s = ended - sent[name]
        has_arrived = name in arrived
        is_planned = ended - signalled <= GRACE_S + 1.0
        # A request at a server, working on it or queueing it, is left out.
        counts = (
            not status
            and not has_arrived
            and is_planned
            and LOSS_SLACK_S < age_s < LIMIT_S
        )
        broken += counts
        record.write(
            f"{name}: {status or 'closed without an answer'} after"
            f" {age_s:.3f} s, {'at a server' if has_arrived else 'at none'}"
            f"{' BROKEN' if counts else ''}"
        )
    record.write(
        f"{broken} requests were read, sent to no server, and closed without"
        f" an answer; exit code of the node: {node.exit_code}"
    )
    return broken == 0


if __name__ == "__main__":
    sys.exit(run_case(CASE, wait_for_slots, read_slowly))
