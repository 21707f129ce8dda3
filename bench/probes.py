"""Cost of probes of model engines.

Engine stand-ins run in a separate process. The product's probe task probes
each of them once a second. The cost is the processor time of this process less
that of an equal period without probes. `client` is `request` for the client
that sets up a handle for each request, and `poll` for the one that keeps a
handle for each host. `request_bytes` and `answer_bytes` are the sizes of the
last probe of an engine whose state has not changed and of its response,
without the headers of TCP and IP. `core_percent` is the share of a core at 50
hosts.
"""

import asyncio
from collections.abc import Iterable
import multiprocessing
from multiprocessing.connection import Connection
import socket
import time
from typing import NamedTuple

from chervilrock.clients.base import ModelEngine
from chervilrock.clients.http import HttpModelEngine
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polled import PolledModelEngine
from chervilrock.clients.polling import Poller
from chervilrock.generated.interfaces import (
    EngineOrder,
    EngineShard,
    HostEntry,
)
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import HostProbed, HostsToProbe
from chervilrock.tasks.probes import ProbeTask

HOSTS = 50
GROUP_HOSTS = 16
INTERVAL_S = 1.0
MEASURED_S = 20.0
QUICK_MEASURED_S = 4.0
SETTLE_S = 2.0

_US_PER_S = 1e6
_ANSWER_END = b"\r\n\r\n"
_BUFFER_BYTES = 65_536


class Clients(NamedTuple):
    """The clients to compare, and the transports that they use."""

    http: HttpClient
    poller: Poller
    request: ModelEngine
    poll: ModelEngine


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yields the cost of each client."""
    context = multiprocessing.get_context("spawn")
    own, other = context.Pipe()
    process = context.Process(target=serve, args=(other,), daemon=True)
    process.start()
    addresses: list[str] = own.recv()
    seconds = QUICK_MEASURED_S if quick else MEASURED_S
    try:
        yield from asyncio.run(_measure(addresses, seconds))
    finally:
        own.send(None)
        process.join()


def serve(pipe: Connection) -> None:
    """Runs the engines until a message arrives on the pipe."""
    asyncio.run(_serve(pipe))


async def _serve(pipe: Connection) -> None:
    engines = [
        EngineStandIn(options=EngineOptions(host=f"host-{number}"))
        for number in range(HOSTS)
    ]
    addresses = [await engine.start() for engine in engines]
    for number, engine in enumerate(engines):
        engine.take_order(_make_order(number, addresses[0]))
    pipe.send(addresses)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_reader(pipe.fileno(), stopped.set)
    await stopped.wait()
    for engine in engines:
        await engine.stop()


def _make_order(number: int, leader: str) -> EngineOrder:
    shard = EngineShard(
        group="quote-draft-1-1",
        fence=5,
        model="quote-draft",
        version="2026-01",
        adapters=("night", "hospital"),
        rank=number % GROUP_HOSTS,
        size=GROUP_HOSTS,
        leader=leader,
    )
    return EngineOrder(fence=5, group=shard["group"], shard=shard)


async def _measure(
    addresses: list[str], seconds: float
) -> list[dict[str, object]]:
    http = HttpClient()
    poller = Poller()
    clients = Clients(
        http=http,
        poller=poller,
        request=HttpModelEngine(http=http),
        poll=PolledModelEngine(http=http, poller=poller),
    )
    idle_s = await _measure_task(clients.poll, (), seconds)
    results: list[dict[str, object]] = []
    for name, engine, tagged in (
        ("request", clients.request, False),
        ("poll", clients.poll, True),
    ):
        taken_s = await _measure_task(engine, tuple(addresses), seconds)
        probes = HOSTS * seconds / INTERVAL_S
        sent, received = count_bytes(addresses[1], tagged=tagged)
        results.append(
            {
                "client": name,
                "hosts": HOSTS,
                "probe_us": round((taken_s - idle_s) / probes * _US_PER_S),
                "core_percent": round((taken_s - idle_s) / seconds * 100, 2),
                "request_bytes": sent,
                "answer_bytes": received,
            }
        )
    clients.poller.close()
    clients.http.close()
    return results


def _make_entry(host: str, address: str) -> HostEntry:
    return HostEntry(
        host=host,
        address=address,
        data_centre="north-1",
        domain="fabric-1",
        region="north",
        accelerators=8,
        leaving=False,
        checks_fence=True,
    )


async def _measure_task(
    engine: ModelEngine, addresses: tuple[str, ...], seconds: float
) -> float:
    """Returns the processor time used while the hosts are probed."""
    outbox: Mailbox[HostProbed] = Mailbox()
    task = ProbeTask(
        engine=engine, clock=read_clock, interval_s=INTERVAL_S, outbox=outbox
    )
    hosts = {
        f"host-{number}": _make_entry(f"host-{number}", address)
        for number, address in enumerate(addresses)
    }
    task.inbox.offer(HostsToProbe(hosts))
    running = asyncio.create_task(task.run())
    await asyncio.sleep(SETTLE_S)
    outbox.receive_waiting()
    begin = time.process_time()
    await asyncio.sleep(seconds)
    taken = time.process_time() - begin
    probed = outbox.receive_waiting()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    if any(message.state is None for message in probed):
        raise RuntimeError("a probe was not answered")
    return taken


def count_bytes(address: str, *, tagged: bool) -> tuple[int, int]:
    """Returns the sizes of a probe and of its response in bytes.

    Args:
      address: IP:port of an engine
      tagged: whether to request the state only if it has changed
    """
    request = f"GET /control/state HTTP/1.1\r\nHost: {address}\r\n".encode()
    request += b"Accept: */*\r\n"
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        answer = _exchange(connection, request + b"\r\n")
        if tagged:
            (tag,) = (
                line
                for line in answer.split(b"\r\n")
                if line.lower().startswith(b"etag:")
            )
            request += b"If-None-Match:" + tag.partition(b":")[2] + b"\r\n"
            answer = _exchange(connection, request + b"\r\n")
    return len(request) + 2, len(answer)


def _exchange(connection: socket.socket, request: bytes) -> bytes:
    connection.sendall(request)
    answer = b""
    while _ANSWER_END not in answer:
        answer += connection.recv(_BUFFER_BYTES)
    return answer + _read_rest(connection, answer)


def _read_rest(connection: socket.socket, answer: bytes) -> bytes:
    """Reads and returns the rest of the body."""
    head, _, body = answer.partition(_ANSWER_END)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    rest = b""
    while len(body) + len(rest) < length:
        rest += connection.recv(_BUFFER_BYTES)
    return rest
