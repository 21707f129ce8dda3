"""Resident memory of a serving process.

A platform stand-in runs in this process, and `chervilrock serve` in a process
of its own, which is started once beforehand so that its compiled files exist.
VmRSS is read from the system: `mb_1024` is in units of 1,024 times 1,024 bytes
and `mb` in millions of bytes. Results:

* `idle`: a node in an empty region, with no host and no configuration.
* `node_rss_mb_12000`: a node with the state of 12,000 hosts in one region: the
  host list and the fold of the stream, which it reads from the platform, and
  the evidence of each host, which `memory_node` injects. A node of the target
  has a quarter of this state, so this is an upper bound. Memory of callers'
  streams is not included.
"""

import asyncio
from collections.abc import Iterable
import os
import pathlib
import statistics
import subprocess
import sys
import time

import msgspec

from bench.region_model import make_layout, make_records, STREAM
from chervilrock.standin.platform import PlatformStandIn

STARTS = 3
QUICK_STARTS = 1
HOSTS = 12_000
QUICK_HOSTS = 1_000
MAX_IDLE_MB_1024 = 45.0
MAX_MB_1024 = 64.0
SETTLE_S = 4.0

_BYTES_PER_KB = 1024
_KB_PER_MB = 1024
_BYTES_PER_MB = 1_000_000
_SERVE_SCRIPT = "from chervilrock.ui import main; raise SystemExit(main())"
_NODE_SCRIPT = (
    "from chervilrock import ui; ui.leave_out(ui.UNUSED_MODULES); "
    "from bench.memory_node import main; main()"
)
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Returns the resident memory, idle and with the state of many hosts."""
    return asyncio.run(_run(quick))


async def _run(quick: bool) -> list[dict[str, object]]:
    starts = QUICK_STARTS if quick else STARTS
    hosts = QUICK_HOSTS if quick else HOSTS
    empty = PlatformStandIn()
    address = await empty.start()
    await asyncio.to_thread(measure_idle, address)
    idle = [
        await asyncio.to_thread(measure_idle, address) for _ in range(starts)
    ]
    await empty.stop()
    full = make_platform(hosts)
    address = await full.start()
    state_kb = await asyncio.to_thread(measure_state, address, hosts)
    await full.stop()
    idle_kb = statistics.median(idle)
    return [
        {
            "result": "idle",
            **_format(idle_kb),
            "bound_mb_1024": MAX_IDLE_MB_1024,
            "met": idle_kb / _KB_PER_MB <= MAX_IDLE_MB_1024,
        },
        {
            "result": f"node_rss_mb_{hosts}",
            **_format(state_kb),
            "bound_mb_1024": MAX_MB_1024,
            "met": state_kb / _KB_PER_MB <= MAX_MB_1024,
            "bytes_per_host": round(
                (state_kb - idle_kb) * _BYTES_PER_KB / hosts
            ),
        },
    ]


def _format(kilobytes: float) -> dict[str, object]:
    return {
        "mb_1024": round(kilobytes / _KB_PER_MB, 1),
        "mb": round(kilobytes * _BYTES_PER_KB / _BYTES_PER_MB, 1),
    }


def measure_idle(platform: str) -> int:
    """Returns the resident memory of an idle node in kilobytes of 1,024 bytes.

    Raises:
      RuntimeError: The node did not start.
    """
    with subprocess.Popen(
        [
            sys.executable,
            "-c",
            _SERVE_SCRIPT,
            "serve",
            "--node=entry-0",
            "--listen=127.0.0.1:0",
            "--region=north",
            "--data-centre=north-0",
            f"--log-service={platform}",
            "--log-format=json",
        ],
        cwd=_ROOT,
        env=_make_environment(),
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            _wait_started(process)
            time.sleep(SETTLE_S)
            return read_rss_kb(process.pid)
        finally:
            process.kill()


def _make_environment() -> dict[str, str]:
    """Returns an environment in which Python writes compiled files."""
    kept = {
        name: value
        for name, value in os.environ.items()
        if name != "PYTHONDONTWRITEBYTECODE"
    }
    return kept | {"PYTHONPATH": str(_ROOT)}


def _wait_started(process: "subprocess.Popen[str]") -> None:
    assert process.stderr is not None
    for line in process.stderr:
        if "node-started" in line:
            return
    raise RuntimeError("the node did not start")


def make_platform(hosts: int) -> PlatformStandIn:
    """Returns a platform whose log and host list hold a region."""
    layout = make_layout(hosts)
    platform = PlatformStandIn()
    platform.set_hosts(layout.hosts)
    records = tuple(
        msgspec.Raw(msgspec.json.encode(stored.record))
        for stored in make_records(layout)
    )
    platform.append(STREAM, records)
    return platform


def measure_state(platform: str, hosts: int) -> int:
    """Returns the resident memory in kilobytes of a node with many hosts."""
    completed = subprocess.run(
        [sys.executable, "-c", _NODE_SCRIPT, platform, str(hosts)],
        cwd=_ROOT,
        env=_make_environment(),
        capture_output=True,
        text=True,
        check=True,
    )
    return int(completed.stdout)


def read_rss_kb(process: int) -> int:
    """Returns the resident memory of a process in kilobytes of 1,024 bytes."""
    status = pathlib.Path(f"/proc/{process}/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("the process status has no VmRSS line")
