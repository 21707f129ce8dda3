"""A node in a process of its own that learns the state of many hosts.

Helper of the bench `memory`; run with the address of a platform and a number
of hosts, which stand in its host list and in groups in its log. The node is
the one of the product and reads both. Its own probes and reads of load reports
are refused, since no node asks so many hosts and these here do not exist; it
is handed the evidence of each host instead. It prints its resident memory in
kilobytes of 1,024 bytes.
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

PROBES_AT_ONCE = 500
PAUSE_S = 0.2
SETTLE_S = 6.0
LEAST_SHARE = 0.9
"""Least share of the hosts that stand in groups."""


def main() -> None:
    """Runs a node and prints its memory."""
    address, hosts = sys.argv[1:]
    asyncio.run(_run(address, int(hosts)))


async def _run(address: str, hosts: int) -> None:
    configure_logging("json", "ERROR")
    engine: Any = PolledModelEngine
    engine.read_state = _refuse
    engine.read_load = _refuse
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
    await _give_evidence(node, hosts)
    await asyncio.sleep(SETTLE_S)
    print(read_rss_kb(), flush=True)
    await node.kill()


async def _refuse(_engine: PolledModelEngine, _address: str) -> Any:
    return Failure(PlatformError(PlatformErrorKind.REFUSED, "not probed"))


def read_rss_kb() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    raise RuntimeError("the system does not tell VmRSS")


async def _give_evidence(node: EntryNode, hosts: int) -> None:
    """Hands the answers of all engines to the region task of a node."""
    region = node._parts.region
    given = 0
    for group in region._region.groups.values():
        for rank, host in enumerate(group.hosts):
            now = read_clock()
            state = decode_state(_make_state(group, rank))
            region.inbox.offer(HostProbed(host, state, now, now))
            given += 1
        if given % PROBES_AT_ONCE < len(group.hosts):
            await asyncio.sleep(PAUSE_S)
    if given < hosts * LEAST_SHARE:
        raise RuntimeError(f"the node knows {given} hosts of groups only")


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
