"""Entry node in a process of its own that holds the state of many hosts.

Helper of the bench `memory`. Its arguments are the address of a platform and
the number of hosts that the platform has in its host list and in the groups of
its log. The product's own node reads both. Its probes and reads of load reports
are rejected, since no real node probes so many hosts and these do not exist;
the evidence of each host is injected instead. The process prints its resident
memory in kilobytes of 1,024 bytes.
"""

import asyncio
import sys
from typing import Any

from returns.result import Failure

from bench.region_model import decode_state, REGION
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.polled import PolledModelEngine
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.shards import make_shard
from chervilrock.events import configure_logging
from chervilrock.generated.interfaces import EnginePhase, EngineState
from chervilrock.generated.settings import NodeSettings
from chervilrock.node import EntryNode
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.messages import HostProbed

PROBES_PER_BATCH = 500
PAUSE_S = 0.2
SETTLE_S = 6.0
MIN_GROUPED_SHARE = 0.9
"""Minimum share of the hosts that must belong to groups."""


def main() -> None:
    """Runs a node and prints its resident memory."""
    address, hosts = sys.argv[1:]
    asyncio.run(_run(address, int(hosts)))


async def _run(address: str, hosts: int) -> None:
    configure_logging("json", "ERROR")
    engine: Any = PolledModelEngine
    engine.read_state = _reject_read
    engine.read_load = _reject_read
    settings = NodeSettings(
        node="entry-0",
        listen="127.0.0.1:0",
        region=REGION,
        data_centre="north-0",
        log_service=address,
    )
    node = EntryNode(settings=settings)
    await node.start()
    await asyncio.sleep(SETTLE_S)
    await _inject_evidence(node, hosts)
    await asyncio.sleep(SETTLE_S)
    print(read_rss_kb(), flush=True)
    await node.kill()


async def _reject_read(_engine: PolledModelEngine, _address: str) -> Any:
    return Failure(PlatformError(PlatformErrorKind.REFUSED, "not probed"))


def read_rss_kb() -> int:
    """Returns the resident memory of this process in kilobytes."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    raise RuntimeError("the process status has no VmRSS line")


async def _inject_evidence(node: EntryNode, hosts: int) -> None:
    """Injects the probe answers of all engines into a node's region task."""
    region = node._parts.region
    injected = 0
    for group in region._region.groups.values():
        for rank, host in enumerate(group.hosts):
            now = read_clock()
            state = decode_state(_make_state(group, rank))
            region.inbox.offer(HostProbed(host, state, now, now))
            injected += 1
        if injected % PROBES_PER_BATCH < len(group.hosts):
            await asyncio.sleep(PAUSE_S)
    if injected < hosts * MIN_GROUPED_SHARE:
        raise RuntimeError(f"the node knows {injected} hosts of groups only")


def _make_state(group: Group, rank: int) -> EngineState:
    return EngineState(
        host=group.hosts[rank],
        incarnation=group.incarnations[rank],
        phase=EnginePhase.READY,
        fence=group.fence,
        checks_fence=True,
        shard=make_shard(group, rank, "10.0.0.1:8000"),
    )


if __name__ == "__main__":
    main()
