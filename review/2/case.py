"""Callers send bodies of the greatest size that the configuration allows.

Eight callers keep a connection each and send such a body every second, one
after the other, at less than a third of the link of the machine. Two others
send small requests. The stand-in of the platform kills the process when it
exceeds its memory, as DEPLOY.md says, and the requests of all callers are lost.
"""

import asyncio
import pathlib
import sys
import time

from chervilrock.standin.site.site import (
    HOST,
    KEY,
    make_configuration,
    PLAIN_SERVICE,
)
from common import (
    Installation,
    MEMORY_MB,
    NodeProcess,
    parse_head,
    Record,
    run_case,
)

CASE = pathlib.Path(__file__).resolve().parent

LARGE_BODY_BYTES = 4_194_304
"""`max_body_bytes` of the configuration."""

USUAL_BODY_BYTES = 600
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": LARGE_BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
LARGE_CALLERS = 8
USUAL_CALLERS = 2
INTERVAL_S = 1.0
"""Time between two requests of a caller."""

SECONDS = 60.0
SERVERS = 3
SLOTS = 6
WORK_S = 0.8
TIME_LIMIT_MS = 4_000
RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.005
ALLOWED = 3
"""Requests that a machine may lose so, by the rule."""

STABLE_WINDOW_S = 3.0


class Caller:
    """A caller with one kept connection.

    Attributes:
      lost: requests on the kept connection that were closed without an answer.
      statuses: count of the answers by status.
    """

    def __init__(self, *, number: int, node: NodeProcess) -> None:
        """Create a caller without a connection."""
        self._number = number
        self._node = node
        self._sent = 0
        self._on_connection = 0
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self.lost: list[str] = []
        self.statuses: dict[str, int] = {}

    async def call(self, size: int, record: Record) -> None:
        """Send a request and read its answer."""
        if self._streams is None:
            try:
                self._streams = await asyncio.open_connection(
                    *self._node.callers_address
                )
            except OSError:
                return
            self._on_connection = 0
        reader, writer = self._streams
        self._sent += 1
        request_id = f"{self._number:08x}{self._sent:08x}"
        head = (
            f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\nContent-Length: {size}\r\n\r\n"
        )
        try:
            writer.write(head.encode() + b"x" * size)
            await writer.drain()
            line, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
            await reader.readexactly(int(headers["content-length"]))
        except (OSError, asyncio.IncompleteReadError) as error:
            is_kept = self._on_connection > 0
            record.write(
                f"{request_id}: the connection was closed without an answer"
                f" ({type(error).__name__}), kept connection: {is_kept}"
            )
            if is_kept:
                self.lost.append(request_id)
            self._close()
            return
        status = line.split()[1]
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._on_connection += 1
        if headers.get("connection", "").lower() == "close":
            self._close()

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def read_memory_mb(node: NodeProcess) -> float:
    """Return the memory of a node, 0 if it does not run.

    Only anonymous pages are counted, without those of shared files.
    """
    if node.process is None or node.exit_code is not None:
        return 0.0
    path = pathlib.Path(f"/proc/{node.process.pid}/status")
    for line in path.read_text(encoding="ascii").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024 / 1_000_000
    return 0.0


class MemoryLimit:
    """Kills a process that exceeds its memory, and starts it again.

    Attributes:
      ends: for how long the process had run at each kill, in seconds.
    """

    def __init__(self, *, node: NodeProcess, record: Record) -> None:
        """Create a limit for a process that has just started."""
        self._node = node
        self._record = record
        self.ends: list[float] = []

    async def enforce(self) -> None:
        """Enforce the limit until cancelled."""
        node = self._node
        top_mb = 0.0
        started = time.monotonic()
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            memory_mb = read_memory_mb(node)
            if memory_mb > top_mb + 50:
                top_mb = memory_mb
                self._record.write(f"{node.name} uses {memory_mb:.0f} MB")
            if memory_mb <= MEMORY_MB:
                continue
            age_s = time.monotonic() - started
            self._record.write(
                f"{node.name} uses {memory_mb:.0f} MB of {MEMORY_MB} MB,"
                f" {age_s:.1f} s after its start: the platform kills it"
            )
            self.ends.append(age_s)
            node.end()
            await asyncio.sleep(RESTART_DELAY_S)
            node.start()
            started = time.monotonic()
            top_mb = 0.0


async def call_repeatedly(
    caller: Caller, size: int, begin_s: float, record: Record
) -> None:
    """Send requests at fixed moments until cancelled."""
    moment = time.monotonic() + begin_s
    while True:
        await asyncio.sleep(moment - time.monotonic())
        await caller.call(size, record)
        moment = max(moment + INTERVAL_S, time.monotonic())


async def scenario(installation: Installation, is_disturbed: bool) -> bool:
    """Return whether the machine lost no more requests than it may."""
    record = installation.record
    site = installation.site
    site.start(model_servers=4, plain_servers=0)
    site.store.write_configuration(make_configuration(2, limits=LIMITS))
    for _ in range(SERVERS):
        await installation.add_server(PLAIN_SERVICE, slots=SLOTS, work_s=WORK_S)
    node = installation.add_node()
    await installation.wait(node.is_ready, "node ready")
    limit = MemoryLimit(node=node, record=record)
    tasks = [asyncio.create_task(limit.enforce())]
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    size = LARGE_BODY_BYTES if is_disturbed else USUAL_BODY_BYTES
    record.write(
        f"{LARGE_CALLERS} callers send bodies of {size} bytes every"
        f" {INTERVAL_S} s: {LARGE_CALLERS * size / INTERVAL_S / 125_000:.1f}"
        f" Mbit/s; {USUAL_CALLERS} callers send {USUAL_BODY_BYTES} bytes"
    )
    count = LARGE_CALLERS + USUAL_CALLERS
    callers = [Caller(number=n, node=node) for n in range(count)]
    for number, caller in enumerate(callers):
        body_size = size if number < LARGE_CALLERS else USUAL_BODY_BYTES
        begin_s = INTERVAL_S * number / count
        calls = call_repeatedly(caller, body_size, begin_s, record)
        tasks.append(asyncio.create_task(calls))
    done, _ = await asyncio.wait(
        tasks, timeout=SECONDS, return_when=asyncio.FIRST_COMPLETED
    )
    for task in tasks:
        task.cancel()
    for task in done:
        task.result()
    for number, caller in enumerate(callers):
        record.write(f"caller {number}: answers by status {caller.statuses}")
    record.write(
        "the process ended over its memory after"
        f" {[round(age, 1) for age in limit.ends]} s"
    )
    if any(age_s < STABLE_WINDOW_S for age_s in limit.ends):
        record.write("one end came too early for a machine in touch")
    runs = {run for server in installation.servers for run in server.runs}
    lost = [name for caller in callers for name in caller.lost]
    passed_on = sorted(name for name in lost if name in runs)
    record.write(f"runs at servers: {len(runs)}")
    record.write(
        f"closed without an answer on a kept connection: {len(lost)}; of these"
        f" {len(passed_on)} were passed on to a sound server: {passed_on}"
    )
    return len(passed_on) <= ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(CASE, scenario))
