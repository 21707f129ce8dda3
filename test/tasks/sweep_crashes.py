"""Server crashes caused by one request, over seeds, sizes and faults.

`python -m test.tasks.sweep_crashes --nodes 195 --seeds 20 --fault leader`
prints the worst of all seeds: servers that crashed, sends that began after the
third crash, and the time from it until all nodes withheld the request.
"""

import argparse
import asyncio
import enum
import random
import time
from typing import NamedTuple

import pytest

from chervilrock.decisions.serving.admission.suspecttracker import MAX_CRASHES
from test.tasks.crashing_requests import attempt_repeatedly, CrashingRequest
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

CONTENT = "brokers/0123456789abcdef"
ATTEMPTS = 12
MEAN_PAUSE_S = 0.05
DATA_CENTRES = 3
MAX_WAIT_S = 6.0
"""Longest wait for each step of a run."""


class CrashFault(enum.Enum):
    """The fault that begins after the second server has crashed."""

    NONE = "none"
    LEADER = "leader"
    STORE = "store"
    BOTH = "both"
    RELAYS = "relays"


class Result(NamedTuple):
    """Result of one run.

    Attributes:
      crashes: servers that crashed.
      excess_sends: sends that began after the third crash.
      delay_s: time from the third crash until all nodes withheld the
        request.
    """

    crashes: int
    excess_sends: int
    delay_s: float


async def _run_in_installation(
    site: Installation, nodes: int, fault: CrashFault, generator: random.Random
) -> Result:
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(generator.uniform(3.0, 4.0))
    request = CrashingRequest(site=site, content=CONTENT)
    attempts_task = asyncio.ensure_future(
        attempt_repeatedly(
            site,
            request,
            generator,
            attempts=ATTEMPTS,
            mean_pause_s=MEAN_PAUSE_S,
        )
    )
    await site.wait_until(
        lambda: len(request.sends) >= MAX_CRASHES - 1, MAX_WAIT_S
    )
    await asyncio.sleep(generator.uniform(0.0, 0.2))
    _inject_fault(site, fault)
    await site.wait_until(lambda: len(request.sends) >= MAX_CRASHES, MAX_WAIT_S)
    third_crash_at = site.loop.time()
    await site.wait_until(lambda: _is_withheld_everywhere(site), MAX_WAIT_S)
    delay_s = site.loop.time() - third_crash_at
    await attempts_task
    await site.stop()
    return Result(len(request.sends), request.count_excess_sends(), delay_s)


def _inject_fault(site: Installation, fault: CrashFault) -> None:
    leader = site.find_leader()
    if fault in (CrashFault.STORE, CrashFault.BOTH):
        site.begin_fault(Fault.SILENT)
    if fault in (CrashFault.LEADER, CrashFault.BOTH) and leader is not None:
        site.kill(leader)
    if fault is CrashFault.RELAYS:
        for address, member in list(site.running_nodes.items()):
            if member.task.is_relay:
                site.kill(address)


def _is_withheld_everywhere(site: Installation) -> bool:
    return all(
        member.state.suspects.find_withheld(CONTENT) is not None
        for member in site.running_nodes.values()
    )


def run_seed(seed: int, nodes: int, fault: CrashFault) -> Result:
    """Return the result of one seed."""
    generator = random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:

        async def run() -> Result:
            site = Installation(monkeypatch=patch, seed=seed)
            return await _run_in_installation(site, nodes, fault, generator)

        return run_virtually(run())


def main() -> None:
    """Print the worst results over some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument(
        "--fault", choices=[fault.value for fault in CrashFault]
    )
    arguments = parser.parse_args()
    faults = list(CrashFault)
    if arguments.fault:
        faults = [CrashFault(arguments.fault)]
    for fault in faults:
        started_s = time.monotonic()
        runs = [
            run_seed(seed, arguments.nodes, fault)
            for seed in range(arguments.seeds)
        ]
        print(
            f"{arguments.nodes} nodes, {fault.value}, {len(runs)} seeds: "
            f"ends {max(run.crashes for run in runs)}, "
            f"after the third end {max(run.excess_sends for run in runs)}, "
            f"known everywhere after {max(run.delay_s for run in runs):.2f} s "
            f"({time.monotonic() - started_s:.0f} s)",
            flush=True,
        )


if __name__ == "__main__":
    main()
