"""Shared parts of the cases 4 to 8: node processes, callers, the record.

Each script starts node processes with the command of the deploy file on
loopback addresses of their own. The platform, the servers and the callers run
in the process of the script.
"""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from chervilrock.clients.curlpool import QuietCurlClient
from chervilrock.standin.site.site import HOST, KEY, make_node_file

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
"""Longest time of a script, below the 120 s that the issue allows."""

HELD, BROKEN, FAILED = 0, 1, 2
"""Exit codes of a script."""

MB = 1024 * 1024


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to a file and to the output."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self._begin = time.monotonic()

    def write(self, text: str, *, show: bool = False) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._begin:8.3f} {text}"
        print(line, file=self._file, flush=True)
        if show:
            print(line, flush=True)


def choose_network() -> str:
    """Return the first three numbers of unused loopback addresses."""
    generator = random.SystemRandom()
    for _ in range(100):
        network = f"127.{generator.randint(16, 250)}.{generator.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", 9464))
            except OSError:
                continue
        return network
    raise CannotRunError("no free loopback addresses")


class NodeProcess:
    """A node process, its settings and its log."""

    def __init__(
        self, *, number: int, network: str, store: str, folder: str, **file: Any
    ) -> None:
        """Write the settings of a node that does not run."""
        self.name = f"n{number}"
        ip = f"{network}.{number}"
        names = ("callers", "ready", "directory", "peers")
        ports = {name: 7300 + index for index, name in enumerate(names)}
        self.address = f"{ip}:{ports['callers']}"
        self.ready_address = f"{ip}:{ports['ready']}"
        self._path = pathlib.Path(folder) / f"{self.name}.toml"
        document = make_node_file(
            node=self.name, store_address=store, ip=ip, ports=ports, **file
        )
        self._path.write_text(_render(document), encoding="utf-8")
        self._log = (pathlib.Path(folder) / f"{self.name}.log").open("ab")
        self._process: subprocess.Popen[bytes] | None = None
        self.started_at = float("inf")

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as deploy:
            command = tomllib.load(deploy)["roles"]["node"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CHERVILROCK_NODE_FILE"] = str(self._path)
        self.started_at = time.monotonic()
        self._process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, negative for a signal, None before it."""
        return None if self._process is None else self._process.poll()

    def find_memory(self) -> int:
        """Return the resident memory of the process in bytes, 0 without one."""
        if self._process is None or self._process.poll() is not None:
            return 0
        try:
            path = pathlib.Path(f"/proc/{self._process.pid}/statm")
            pages = int(path.read_text(encoding="ascii").split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def read_log(self) -> str:
        """Return what the processes of this node have logged."""
        return pathlib.Path(self._log.name).read_text(
            encoding="utf-8", errors="replace"
        )


class Callers:
    """Sends requests to nodes, and counts the statuses of the answers."""

    def __init__(self, *, record: Record, nodes: list[NodeProcess]) -> None:
        """Create callers that have sent nothing."""
        self._record = record
        self._nodes = nodes
        self._client = QuietCurlClient(force_instance=True, max_clients=100)
        self._number = 0
        self.statuses: dict[int, int] = {}

    async def run(self, model: str, interval_s: float) -> None:
        """Send streams to all nodes by turns until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send_stream(model))
                await asyncio.sleep(interval_s)

    async def send_stream(self, model: str) -> int:
        """Send a request for a stream; return the status, 0 for a cut one."""
        self._number += 1
        request_id = f"{self._number:016x}"
        node = self._nodes[self._number % len(self._nodes)]
        request = HTTPRequest(
            f"http://{node.address}/draft/x",
            method="POST",
            body=b"body",
            headers={
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "4000",
                "Api-Key": KEY,
                "X-Model": model,
                "X-Token-Count": "10,12",
            },
            connect_timeout=1.0,
            request_timeout=5.0,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
            status = answer.code
        except CurlError:
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._record.write(f"caller {request_id} at {node.name}: {status}")
        return status


async def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = 20.0
) -> None:
    """Wait until a condition holds.

    Raises:
      CannotRunError: it does not hold in time.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(f"not reached: {what}")
        await asyncio.sleep(0.01)


def run_case(
    path: pathlib.Path,
    scenario: Callable[[Record, str], Awaitable[bool]],
) -> None:
    """Run a case, and exit with 1 if the rule was broken, else 0 or 2.

    Args:
      path: file of the record.
      scenario: returns whether the rule was broken; gets the record and
        a temporary folder.
    """
    record = Record(path)

    async def run() -> bool:
        main = asyncio.current_task()
        loop = asyncio.get_running_loop()
        if main is not None:
            loop.add_signal_handler(signal.SIGTERM, main.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(LIMIT_S):
                return await scenario(record, temporary)

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}", show=True)
        sys.exit(FAILED)
    record.write("broken" if is_broken else "held", show=True)
    sys.exit(BROKEN if is_broken else HELD)


def _render(table: dict[str, Any], prefix: str = "") -> str:
    """Return a table as TOML."""
    lines = []
    tables = []
    for key, value in table.items():
        if isinstance(value, dict):
            tables.append((f"{prefix}{key}", value))
        elif isinstance(value, bool):
            lines.append(f"{key} = {str(value).lower()}")
        elif isinstance(value, str):
            lines.append(f'{key} = "{value}"')
        else:
            lines.append(f"{key} = {value}")
    text = "\n".join(lines) + "\n"
    for name, value in tables:
        text += f"[{name}]\n" + _render(value, f"{name}.")
    return text
