"""Entry nodes that run as operating system processes."""

import asyncio
import contextlib
import json
import signal
import sys
from typing import Any

from bench.history_installation import DATA_CENTRES, REGION

START_LIMIT_S = 20.0
STOP_LIMIT_S = 30.0
LEASE_MS = 1500
ADDRESS_TTL_S = 1.0
DRAIN_TIMEOUT_S = 20
_COMMAND = "import sys; from chervilrock.ui import main; sys.exit(main())"


class NodeProcess:
    """A process that runs `chervilrock serve`.

    Attributes:
      name: identifier of the node
      address: IP:port, known after `start`
      running: whether it is neither stopped nor frozen
      cut: logged number of requests in progress when it stopped, None
        before
    """

    def __init__(self, *, number: int, platform: str, peers: str) -> None:
        """Create a node that does not run yet.

        Args:
          number: unique number of the node, also its seed.
          platform: address of the platform.
          peers: comma-separated addresses of other nodes.
        """
        self.name = f"entry-{number}"
        self.address = ""
        self.running = False
        self.cut: int | None = None
        self._flags = {
            "node": self.name,
            "listen": "127.0.0.1:0",
            "region": REGION,
            "data-centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "log-service": platform,
            "peers": peers,
            "lease-ms": LEASE_MS,
            "address-ttl-s": ADDRESS_TTL_S,
            "drain-timeout-s": DRAIN_TIMEOUT_S,
            "exchange-interval-ms": 200,
            "probe-interval-ms": 300,
            "presence-limit-ms": 1200,
            "log-format": "json",
            "seed": number,
        }
        self._started = asyncio.Event()
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        flags = [f"--{name}={value}" for name, value in self._flags.items()]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _COMMAND,
            "serve",
            *flags,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log_reader = asyncio.create_task(self._read_log())
        async with asyncio.timeout(START_LIMIT_S):
            await self._started.wait()
        self.running = True

    def freeze(self) -> None:
        """Suspend the process by SIGSTOP."""
        self.running = False
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process by SIGCONT."""
        self._signal(signal.SIGCONT)
        self.running = True

    async def kill(self) -> None:
        """Kill the process by SIGKILL."""
        self.running = False
        self._signal(signal.SIGKILL)
        await self._wait()

    async def stop(self) -> int:
        """Stop the process gracefully by SIGTERM; return its exit code."""
        self.running = False
        self._signal(signal.SIGTERM)
        return await self._wait()

    async def _wait(self) -> int:
        assert self._process is not None
        assert self._log_reader is not None
        async with asyncio.timeout(STOP_LIMIT_S):
            code = await self._process.wait()
            await self._log_reader
        return code

    def _signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def _read_log(self) -> None:
        """Read the log of the process to its end."""
        assert self._process is not None
        assert self._process.stderr is not None
        async for line in self._process.stderr:
            with contextlib.suppress(ValueError):
                self._handle_entry(json.loads(line))

    def _handle_entry(self, entry: dict[str, Any]) -> None:
        if entry.get("event") == "node-started":
            self.address = entry["address"]
            self._started.set()
        elif entry.get("event") == "node-stopped":
            self.cut = int(entry["in_flight"])
