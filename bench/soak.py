"""A randomized soak: real node processes before the stand-in of the platform.

Nodes are processes of their own that are stopped, paused, killed and started
again by signals; links to the store and to the servers are disturbed by
loopback proxies; the store and the servers misbehave. Callers check what they
get, and the servers what they run. `python -m bench.soak --seeds 50` runs many
seeds; the test runs one for a short time.
"""

import argparse
import asyncio
import collections
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import NamedTuple

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from bench.limits import LimitedServers
from chervilrock.clients.curlpool import QuietCurlClient
from chervilrock.platform.settings import VARIABLE
from chervilrock.standin.site.proxy import LinkFault, LinkProxy
from chervilrock.standin.site.servers import ServerFault, SiteServer
from chervilrock.standin.site.site import (
    HOST,
    KEY,
    LARGE,
    make_configuration,
    make_node_file,
    Site,
    SMALL,
)
from chervilrock.standin.site.store import StoreFault

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODES = 3
CALLERS = 12
TIMEOUT_S = 5.0
EVENTS = 12
PORTS = (16_000, 32_000)
"""Range of the ports of nodes."""

RESTART_S = 0.5
"""Time between two looks for processes that have ended."""

SETTLE_S = 8.0
"""Calm time at the end, after which requests must be served again: a node
that stops takes 3.2 s, and one that starts a second."""

CRASHING = b"crash-"
"""Begins the bodies of requests that crash their servers."""

MOST_COMES = 8
"""Greatest number of times that such a request comes back in a row."""

MOST_COPY_AGE_S = 10.0
"""Greatest age of a copy from which the store comes back."""

MOST_ENDS = 3
"""Servers that such a request may end in the calm time: all nodes that knew of
it may have been killed before."""

WITHHELD = b"servers ended under it"
"""Part of the answer to a request that is kept from the servers."""

_PROMISES = frozenset({408, 421, 429, 503})
_OK = 200
_CUT = 0


class Plan(NamedTuple):
    """What a run does."""

    seed: int
    seconds: float


class Outcome(NamedTuple):
    """What a run found.

    Attributes:
      violations: broken promises.
      statuses: how often callers got each status; 0 for an answer cut off.
      served_at_end: part of the requests served after the calm time.
    """

    violations: tuple[str, ...]
    statuses: dict[int, int]
    served_at_end: float


class _Process:
    """A node process and its settings, which keep their ports."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        name: str,
        store: str,
        ip: str,
        taken: set[int],
    ) -> None:
        ports = find_ports(ip, taken)
        self.address = f"{ip}:{ports['callers']}"
        self._path = folder / f"{name}.toml"
        document = make_node_file(
            node=name, store_address=store, ip=ip, ports=ports
        )
        self._path.write_text(_render(document), encoding="utf-8")
        self._log = (folder / f"{name}.log").open("ab")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self._process is None or self._process.poll() is not None:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "chervilrock", "node"],
                cwd=ROOT,
                env=os.environ | {VARIABLE: str(self._path)},
                stdout=self._log,
                stderr=self._log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this very process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        self._log.close()


class _Callers:
    """Callers that check each answer."""

    def __init__(
        self, *, site: Site, generator: random.Random, seed: int
    ) -> None:
        self._seed = seed
        self._site = site
        self._generator = generator
        self._client = QuietCurlClient(force_instance=True, max_clients=200)
        self._number = 0
        self.not_run: set[str] = set()
        self.once: set[str] = set()
        self.violations: list[str] = []
        self.statuses: collections.Counter[int] = collections.Counter()

    async def run(self, nodes: list[_Process]) -> None:
        """Send requests until cancelled."""
        while True:
            await self.call(self._generator.choice(nodes).address)
            await asyncio.sleep(self._generator.uniform(0.0, 0.15))

    async def call(self, address: str) -> int:
        """Send a request and check its answer; return the status."""
        self._number += 1
        request_id = f"{self._seed:08x}{self._number:08x}"
        kind = self._generator.choice(("draft", "draft", "book", "look"))
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Api-Key": KEY,
        }
        if kind == "draft":
            headers["X-Model"] = self._generator.choice((LARGE, SMALL))
            headers["X-Token-Count"] = f"10,{EVENTS}"
        elif kind == "book":
            self.once.add(request_id)
        status, body = await self._fetch(address, kind, headers)
        self.statuses[status] += 1
        if status in _PROMISES and kind == "book":
            self.not_run.add(request_id)
        if status == _OK:
            self._check_body(kind, request_id, body)
        elif WITHHELD in body:
            self.violations.append(f"{request_id} was withheld")
        return status

    async def crash(self, address: str, kind: str, body: bytes) -> None:
        """Send a request that crashes each server that runs it."""
        self._number += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"{self._seed:08x}{self._number:08x}",
            "X-Deadline-Ms": "2000",
            "Api-Key": KEY,
        }
        if kind == "draft":
            headers["X-Model"] = self._generator.choice((LARGE, SMALL))
            headers["X-Token-Count"] = f"10,{EVENTS}"
        await self._fetch(address, kind, headers, body)

    async def _fetch(
        self,
        address: str,
        kind: str,
        headers: dict[str, str],
        body: bytes = b"body",
    ) -> tuple[int, bytes]:
        request = HTTPRequest(
            f"http://{address}/{kind}/x",
            method="GET" if kind == "look" else "POST",
            body=None if kind == "look" else body,
            headers=headers,
            connect_timeout=1.0,
            request_timeout=TIMEOUT_S,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError:
            return _CUT, b""
        return response.code, response.body

    def _check_body(self, kind: str, request_id: str, body: bytes) -> None:
        wanted = f"answer to {request_id}"
        if kind == "draft":
            wanted = "".join(
                f"id: {number}\ndata: {request_id}-{number}\n\n"
                for number in range(1, EVENTS + 1)
            )
        if body != wanted.encode():
            self.violations.append(f"{request_id} got {body[:80]!r}")

    async def check_crashing(self, nodes: list[_Process]) -> None:
        """Send what has crashed servers to each node once more."""
        crashes = [one for s in self._site.servers for one in s.crashes]
        kinds = {one.body: one.body.split(b"-")[1].decode() for one in crashes}
        for body, kind in sorted(kinds.items()):
            before = len(self._site.list_crashes(body))
            for node in nodes * 2:
                await self.crash(node.address, kind, body)
            ends = len(self._site.list_crashes(body)) - before
            if ends > MOST_ENDS:
                self.violations.append(f"{body!r} ended {ends} more servers")

    def check_runs(self) -> None:
        """Check what the servers ran against what callers were told."""
        runs = collections.Counter(
            run.request_id for one in self._site.servers for run in one.runs
        )
        for request_id in sorted(self.once):
            if runs[request_id] > 1:
                self.violations.append(f"{request_id} ran {runs[request_id]}x")
        for request_id in sorted(self.not_run):
            if runs[request_id]:
                self.violations.append(f"{request_id} ran, and was told not")

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


class _Faults:
    """Draws faults and takes them back; they overlap."""

    def __init__(
        self,
        *,
        generator: random.Random,
        site: Site,
        nodes: list[_Process],
        links: list[LinkProxy],
        callers: _Callers,
    ) -> None:
        self._callers = callers
        self._generator = generator
        self._site = site
        self._nodes = nodes
        self._links = links
        self._version = 1

    async def run(self) -> None:
        """Disturb until cancelled."""
        actions = (
            self._kill,
            self._pause,
            self._roll,
            self._reload,
            self._disturb_link,
            self._disturb_store,
            self._disturb_server,
            self._reconfigure,
            self._crash_servers,
            self._restore_store,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._generator.choice(actions)())
                await asyncio.sleep(self._generator.uniform(0.2, 1.2))

    async def _kill(self) -> None:
        self._generator.choice(self._nodes).signal(signal.SIGKILL)

    async def _pause(self) -> None:
        node = self._generator.choice(self._nodes)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self._generator.uniform(0.2, 2.0))
        node.signal(signal.SIGCONT)

    async def _roll(self) -> None:
        self._generator.choice(self._nodes).signal(signal.SIGTERM)

    async def _reload(self) -> None:
        self._generator.choice(self._nodes).signal(signal.SIGHUP)

    async def _disturb_link(self) -> None:
        link = self._generator.choice(self._links)
        link.fault = self._generator.choice(list(LinkFault))
        await asyncio.sleep(self._generator.uniform(0.2, 2.0))
        link.fault = LinkFault.NONE

    async def _disturb_store(self) -> None:
        store = self._site.store
        store.door.fault = self._generator.choice(list(StoreFault))
        await asyncio.sleep(self._generator.uniform(0.2, 2.0))
        store.door.fault = StoreFault.NONE

    async def _disturb_server(self) -> None:
        server = self._generator.choice(self._site.servers)
        server.fault = self._generator.choice(list(ServerFault))
        await asyncio.sleep(self._generator.uniform(0.2, 2.0))
        server.fault = ServerFault.NONE

    async def _restore_store(self) -> None:
        """Let the store be away and come back from a copy."""
        store = self._site.store
        store.door.fault = self._generator.choice(
            (StoreFault.DOWN, StoreFault.BUSY)
        )
        await asyncio.sleep(self._generator.uniform(0.1, 1.0))
        store.restore(self._generator.uniform(0.0, MOST_COPY_AGE_S))
        store.door.fault = StoreFault.NONE
        await asyncio.sleep(self._generator.uniform(0.0, 1.0))
        self._site.write_again()

    async def _crash_servers(self) -> None:
        """Let a request come back that crashes the servers that run it."""
        kind = self._generator.choice(("draft", "draft", "book"))
        number = len(self._site.crashing_bodies)
        body = CRASHING + f"{kind}-{number}".encode()
        self._site.crashing_bodies.add(body)
        for _ in range(self._generator.randint(1, MOST_COMES)):
            node = self._generator.choice(self._nodes)
            await self._callers.crash(node.address, kind, body)
            await asyncio.sleep(self._generator.uniform(0.0, 0.5))

    async def _reconfigure(self) -> None:
        self._version += self._generator.randint(1, 3)
        document = make_configuration(self._version)
        self._site.store.write_configuration(document)

    def calm(self) -> None:
        """Take all faults back."""
        self._site.store.door.fault = StoreFault.NONE
        # The end of the run may have cut off what follows a return of the
        # store.
        self._site.write_again()
        for server in self._site.servers:
            server.fault = ServerFault.NONE
        for link in self._links:
            link.fault = LinkFault.NONE
        for node in self._nodes:
            node.signal(signal.SIGCONT)


async def _supervise(nodes: list[_Process]) -> None:
    """Start each process again that has ended, as the platform does."""
    while True:
        for node in nodes:
            node.start()
        await asyncio.sleep(RESTART_S)


async def soak(plan: Plan, folder: pathlib.Path) -> Outcome:
    """Run one seed.

    Args:
      plan: seed and length of the run.
      folder: gets settings and logs of the nodes.
    """
    generator = random.Random(plan.seed)
    site = Site()
    links: list[LinkProxy] = []
    nodes: list[_Process] = []
    taken: set[int] = set()
    callers = _Callers(site=site, generator=generator, seed=plan.seed)
    try:
        site.start(model_servers=12, plain_servers=3)
        for server in site.servers:
            links.append(await _put_before(server))
        link = LinkProxy(target=site.store_address)
        await link.start()
        links.append(link)
        nodes += [
            _Process(
                folder=folder,
                name=f"n{number}",
                store=link.address,
                ip=_find_ip(plan.seed),
                taken=taken,
            )
            for number in range(NODES)
        ]
        supervisor = asyncio.create_task(_supervise(nodes))
        await asyncio.sleep(SETTLE_S)
        faults = _Faults(
            generator=generator,
            site=site,
            nodes=nodes,
            links=links,
            callers=callers,
        )
        limited = LimitedServers(servers=site.servers, seed=plan.seed)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(plan.seconds):
                async with asyncio.TaskGroup() as group:
                    group.create_task(faults.run())
                    group.create_task(limited.run())
                    for _ in range(CALLERS):
                        group.create_task(callers.run(nodes))
        callers.violations += limited.end()
        faults.calm()
        await asyncio.sleep(SETTLE_S)
        await callers.check_crashing(nodes)
        await asyncio.sleep(SETTLE_S / 2)
        ends = [
            await callers.call(nodes[number % NODES].address)
            for number in range(20)
        ]
        callers.check_runs()
        supervisor.cancel()
    finally:
        for node in nodes:
            node.end()
        for link in links:
            link.stop()
        callers.close()
        await site.stop()
    return Outcome(
        violations=tuple(callers.violations),
        statuses=dict(callers.statuses),
        served_at_end=ends.count(_OK) / len(ends),
    )


async def _put_before(server: SiteServer) -> LinkProxy:
    """Put a proxy before a server and register its address."""
    link = LinkProxy(target=server.address)
    await link.start()
    server.address = link.address
    server.register()
    return link


def _find_ip(seed: int) -> str:
    """Return an IP number of loopback for the nodes of a run.

    Runs beside each other must not take the ports of nodes that are down.
    """
    return f"127.{1 + seed // 250 % 250}.{1 + seed % 250}.1"


def find_ports(ip: str, taken: set[int]) -> dict[str, int]:
    """Return free ports, so that a process that comes back keeps its own.

    They lie below those that the kernel gives to outgoing connections, one of
    which may take the port of a process that is down.

    Args:
      ip: IP number of the nodes.
      taken: ports of nodes that do not listen yet; gets the new ones.
    """
    ports: dict[str, int] = {}
    for name in ("callers", "ready", "directory", "peers"):
        while name not in ports:
            port = random.randrange(*PORTS)
            if port in taken:
                continue
            with contextlib.suppress(OSError), socket.socket() as trial:
                trial.bind((ip, port))
                ports[name] = port
                taken.add(port)
    return ports


def _render(document: dict[str, object]) -> str:
    """Return a settings file; JSON values are TOML values for those here."""
    plain = {k: v for k, v in document.items() if not isinstance(v, dict)}
    tables = {k: v for k, v in document.items() if isinstance(v, dict)}
    lines = [
        f"{k} = {msgspec.json.encode(v).decode()}" for k, v in plain.items()
    ]
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [
            f"{k} = {msgspec.json.encode(v).decode()}" for k, v in table.items()
        ]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Run seeds one after the other; the exit code tells whether all held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--logs", type=pathlib.Path)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        plan = Plan(seed=seed, seconds=arguments.seconds)
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if arguments.logs is not None:
                folder = arguments.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(soak(plan, folder))
        is_broken = bool(outcome.violations) or outcome.served_at_end < 1.0
        failed += is_broken
        print(seed, "BROKEN" if is_broken else "held", outcome, flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
