"""Runs node processes before the project's stand-in of the platform.

The nodes are started with the command of the deploy file, each as a process of
its own on a loopback address of its own. The store, the servers and the callers
run in the process of the script.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from typing import Any, TextIO

from chervilrock.standin.site.site import (
    make_node_file,
    Site,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent

HELD = 0
BROKEN = 10
"""Not 1, which Python returns for an error of the case itself."""

NOT_RUN = 2

READY_TIMEOUT_S = 30.0
PORTS = (16_000, 32_000)
"""Range of the nodes' ports, below the ephemeral ports of the system."""

MEMORY_MB = 300
CPU_SHARE = 0.537
CORES = 2
"""Limits of a `front` machine as DEPLOY.md shows them."""


class CannotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, *, file: TextIO) -> None:
        """Create a record that begins now."""
        self._file = file
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the begin."""
        elapsed_s = time.monotonic() - self._began
        self._file.write(f"{elapsed_s:8.3f}  {text}\n")
        self._file.flush()


class NodeProcess:
    """A node process with its settings.

    Attributes:
      name: name of the node.
      callers_address: IP and port for requests of callers.
      ready_address: IP and port of the readiness check.
    """

    def __init__(
        self, *, folder: pathlib.Path, name: str, store_address: str
    ) -> None:
        """Write the settings of a node that does not run yet."""
        self.name = name
        ip = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.1"
        ports = _find_ports(ip)
        self.callers_address = (ip, ports["callers"])
        self.ready_address = (ip, ports["ready"])
        document = make_node_file(
            node=name,
            store_address=store_address,
            ip=ip,
            ports=ports,
            memory_mb=MEMORY_MB,
        )
        document["limits"] |= {"cpu_share": CPU_SHARE, "cores": CORES}
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(_render(document), encoding="utf-8")
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CHERVILROCK_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while the process runs."""
        return None if self.process is None else self.process.poll()

    def end(self) -> None:
        """Kill the process if it still runs."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line


class PlainServer:
    """A sound server of a plain service, which runs each request once.

    Attributes:
      server: its identifier.
      arrived: identifiers of the requests that it received, queued ones too.
      runs: identifiers of the requests that it began to run.
      begun: when it began to run each, on the monotonic clock.
      is_gone: whether it writes its entry no more.
    """

    def __init__(
        self, *, site: Site, service: str, slots: int, work_s: float
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          site: the stand-in of the platform, whose store gets its entry.
          service: its service.
          slots: requests that it runs at once; it queues as many more.
          work_s: time that a request takes.
        """
        self.server = f"i-{random.getrandbits(40):010x}"
        self.arrived: set[str] = set()
        self.runs: list[str] = []
        self.begun: list[float] = []
        self.is_gone = False
        self._sequence = 0
        self._address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._site = site
        self._service = service
        self._slots = slots
        self._work_s = work_s
        self._free = asyncio.Semaphore(slots)
        self._present = 0
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback and register in the store."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self._address = f"127.0.0.1:{port}"
        self._born = round(time.time() * 1000)
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry of this server to the store, as a heartbeat does."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self._address,
            "zone": "a",
            "slots": self._slots,
            "version": "v1",
            "state": "ready",
            "sequence": self._sequence,
            "warmup_left_ms": 0,
            "born": self._born,
        }
        topic = self._site.store.topic("keyed.servers")
        topic.append(self.server, json.dumps(entry).encode())

    def remove_entry(self) -> None:
        """Leave without a notice: remove the entry, and keep serving."""
        self.is_gone = True
        self._site.store.topic("keyed.servers").append(self.server, b"")

    def exit(self) -> None:
        """Close the listening socket and all connections."""
        self.stop()
        for writer in list(self._writers):
            writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The end of the run cancels the connections that are still open.
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        self._writers.add(writer)
        with contextlib.suppress(*ended):
            while await self._answer(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-request-id", "")
        self.arrived.add(request_id)
        expected = headers.get("x-expect-instance", self.server)
        if line.split()[1] == "/health":
            await self._write(writer, 200, {"X-Instance-Id": self.server}, b"")
        elif expected != self.server:
            await self._write(writer, 421, {"X-Not-Executed": "1"}, b"")
        elif self._present >= 2 * self._slots:
            await self._write(writer, 503, {"X-Not-Executed": "1"}, b"")
        else:
            await self._run(request_id, writer)
        return True

    async def _run(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        self._present += 1
        try:
            async with self._free:
                self.runs.append(request_id)
                self.begun.append(time.monotonic())
                await asyncio.sleep(self._work_s)
        finally:
            self._present -= 1
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.server}.{request_id}",
        }
        body = f"answer to {request_id}".encode()
        await self._write(writer, 200, headers, body)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers in lower case."""
    line, *others = head.decode("latin1").split("\r\n")
    pairs = (other.partition(":") for other in others if ":" in other)
    return line, {name.lower(): value.strip() for name, _, value in pairs}


class Installation:
    """The stand-in of the platform, its nodes and the record of a run."""

    def __init__(self, *, record: Record, folder: pathlib.Path) -> None:
        """Create an installation that does not run yet."""
        self.record = record
        self.site = Site()
        self.nodes: list[NodeProcess] = []
        self.servers: list[PlainServer] = []
        self._folder = folder

    async def add_server(
        self, service: str, *, slots: int, work_s: float
    ) -> PlainServer:
        """Start a server of a plain service."""
        server = PlainServer(
            site=self.site, service=service, slots=slots, work_s=work_s
        )
        self.servers.append(server)
        await server.start()
        return server

    def add_node(self) -> NodeProcess:
        """Start a node process."""
        node = NodeProcess(
            folder=self._folder,
            name=f"front-{len(self.nodes) + 1}",
            store_address=self.site.store_address,
        )
        self.nodes.append(node)
        node.start()
        return node

    async def wait(
        self, condition: Callable[[], Awaitable[bool]], what: str
    ) -> None:
        """Wait until a condition holds.

        Raises:
          CannotRunError: it does not hold in time.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while not await condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not reached: {what}")
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.end()
        for server in self.servers:
            server.stop()
        await self.site.stop()


def run_case(
    case: pathlib.Path,
    *scenarios: Callable[[Installation, bool], Awaitable[bool]],
) -> int:
    """Run a case and return the exit code for its script.

    Args:
      case: folder of the case, which gets `record.txt`.
      *scenarios: run one after the other; each gets an installation of its own
        and whether to cause the disruption, and returns whether the rule held.
    """
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def run(record: Record) -> bool:
        held = True
        async with asyncio.timeout(110):
            for scenario in scenarios:
                record.write(f"part: {scenario.__name__}")
                with tempfile.TemporaryDirectory() as folder:
                    installation = Installation(
                        record=record, folder=pathlib.Path(folder)
                    )
                    try:
                        has_held = await scenario(installation, is_disturbed)
                        record.write("held" if has_held else "BROKEN")
                        held &= has_held
                    finally:
                        await installation.stop()
        return held

    with (case / "record.txt").open("w", encoding="utf-8") as file:
        record = Record(file=file)
        record.write(f"disruption: {'yes' if is_disturbed else 'no'}")
        try:
            held = asyncio.run(run(record))
        except Exception:  # noqa: BLE001  # a fault of the case shows nothing
            record.write(f"the case could not run: {traceback.format_exc()}")
            return NOT_RUN
        record.write("the rule held" if held else "the rule was BROKEN")
    return HELD if held else BROKEN


def _find_ports(ip: str) -> dict[str, int]:
    """Return free ports by name."""
    ports: dict[str, int] = {}
    for name in ("callers", "ready", "directory", "peers"):
        while name not in ports:
            port = random.randrange(*PORTS)
            with contextlib.suppress(OSError), socket.socket() as trial:
                trial.bind((ip, port))
                ports[name] = port
    return ports


def _render(document: dict[str, Any]) -> str:
    """Return a settings file; JSON is TOML for the values used here."""
    lines = [
        f"{name} = {json.dumps(value)}"
        for name, value in document.items()
        if not isinstance(value, dict)
    ]
    for name, value in document.items():
        if isinstance(value, dict):
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in value.items()]
    return "\n".join(lines) + "\n"
