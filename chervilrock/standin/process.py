"""Runs stand-ins as separate processes."""

import asyncio
from collections.abc import Callable, Mapping
import signal
from typing import NamedTuple

import msgspec

from chervilrock.clients.base import ModelEntry
from chervilrock.clients.httpclient import HttpClient
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.fabric import Fabric
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn
from chervilrock.standin.server import StandIn
from chervilrock.standin.service import ServiceOptions, ServiceStandIn

_REGISTER_TIMEOUT_S = 3.0
_REGISTER_RETRY_S = 0.5

Announce = Callable[[str], None]


class Listen(NamedTuple):
    """Where a stand-in listens.

    Attributes:
      address: IP address.
      port: port, 0 for any.
    """

    address: str = "127.0.0.1"
    port: int = 0


async def run_platform(
    *,
    listen: Listen,
    options: PlatformOptions,
    models: Mapping[str, ModelEntry],
    announce: Announce,
) -> None:
    """Runs the platform until SIGINT or SIGTERM.

    Args:
      listen: where to listen.
      options: sizes, rates and lags.
      models: models in the weight store by name.
      announce: called with IP:port once it listens.
    """
    standin = PlatformStandIn(options=options, models=models)
    announce(await standin.start(address=listen.address, port=listen.port))
    await _run_until_signal((standin,))


async def run_engines(
    *,
    hosts: tuple[HostEntry, ...],
    options: EngineOptions,
    platform: str,
    announce: Announce,
) -> None:
    """Runs the engines of some hosts until SIGINT or SIGTERM.

    The engines of a group must run in one process, because they detect the
    loss of each other through a registry in memory.

    Args:
      hosts: hosts; each listens on its address, whose port may be 0.
      options: speed, sizes and lags; host and checks_fence come from `hosts`.
      platform: IP:port of a platform stand-in whose host list gets the
        hosts, empty for none.
      announce: called with IP:port of each engine once it listens.
    """
    fabric = Fabric()
    engines = []
    entries = []
    for entry in hosts:
        engine_options = options._replace(
            host=entry["host"], checks_fence=entry["checks_fence"]
        )
        engine = EngineStandIn(options=engine_options, fabric=fabric)
        listen = parse_listen(entry["address"])
        address = await engine.start(address=listen.address, port=listen.port)
        announce(address)
        engines.append(engine)
        entries.append(HostEntry(**{**entry, "address": address}))
    await _register(platform, tuple(entries), ())
    await _run_until_signal(tuple(engines))


async def run_service(
    *,
    entry: ServiceEntry,
    options: ServiceOptions,
    platform: str,
    announce: Announce,
) -> None:
    """Runs a backend server of a plain service until SIGINT or SIGTERM.

    Args:
      entry: service and data centre; it listens on the address,
        whose port may be 0.
      options: name and latency.
      platform: IP:port of a platform stand-in whose host list gets the
        backend server, empty for none.
      announce: called with IP:port once it listens.
    """
    standin = ServiceStandIn(options=options)
    listen = parse_listen(entry["address"])
    address = await standin.start(address=listen.address, port=listen.port)
    announce(address)
    registered_entry = ServiceEntry(**{**entry, "address": address})
    await _register(platform, (), (registered_entry,))
    await _run_until_signal((standin,))


def parse_listen(address: str) -> Listen:
    """Splits IP:port.

    Raises:
      ValueError: The port is not a number.
    """
    host, _, port = address.rpartition(":")
    return Listen(host, int(port))


async def _register(
    platform: str,
    hosts: tuple[HostEntry, ...],
    services: tuple[ServiceEntry, ...],
) -> None:
    """Adds backend servers to the host list; retries until it succeeds."""
    if not platform:
        return
    body = msgspec.json.encode(
        HostList(hosts=hosts, services=services, age_ms=0)
    )
    http = HttpClient(max_clients=1)
    try:
        while not await _post_hosts(http, platform, body):
            await asyncio.sleep(_REGISTER_RETRY_S)
    finally:
        http.close()


async def _post_hosts(http: HttpClient, platform: str, body: bytes) -> bool:
    result = await http.request(
        "POST",
        f"http://{platform}/hosts",
        timeout_s=_REGISTER_TIMEOUT_S,
        body=body,
    )
    return result.map(lambda answer: answer.status == 200).value_or(False)


async def _run_until_signal(standins: tuple[StandIn, ...]) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    try:
        await stopping.wait()
    finally:
        for standin in standins:
            await standin.stop()
