"""A soak test of servers that fall silent while nodes stop.

Nodes get SIGTERM one after the other, at an interval that does not wait for
their exits, so that several stop at a time. Beside that, groups of servers send
nothing for up to two seconds and then go on. Callers keep their connections
until a node closes them and send streams of several lengths to any node. No
other fault is played, so that no accepted request may be lost.
`python -m bench.silentservers --seeds 50`.
"""

import asyncio
import pathlib
import random
import signal
import sys
from typing import NamedTuple

from bench.rollingrestarts import Attempt, Callers, find_lost, run_nodes
from bench.seeds import play_restarts
from bench.soak import NodeProcess
from chervilrock.standin.site.servers import ServerFault
from chervilrock.standin.site.site import make_configuration, Site

NODES = 6
MODEL_SERVERS = 24
CALLERS = 60
GRACE_S = 8.0
ALLOWED_SENT_S = 3.0
ALLOWED_CUT_FRACTION = 5 / 6
"""A node may cut a stream that was sent at most `ALLOWED_SENT_S` after SIGTERM
and that its server still runs after this part of the grace period."""

WATCH_INTERVAL_S = 0.02

GAP_S = (1.0, 8.0)
"""Time between the signals to two nodes."""

LIMIT_MS = 8000
TOKENS = (5, 40, 120, 180)
SILENCE_S = (0.6, 2.0)
SILENT_AFTER_S = (3.2, 6.0)
"""Time from a SIGTERM to the begin of a silence."""


class Stop(NamedTuple):
    """A node that got SIGTERM.

    Attributes:
      address: its address for callers.
      time: when it got the signal, on the clock of the event loop.
      running: identifiers of the requests that servers still ran late in its
        grace period.
    """

    address: str
    time: float
    running: set[str]


class Outcome(NamedTuple):
    """Result of a run.

    Attributes:
      violations: broken guarantees.
      statuses: count of each status; "closed" for a connection that was closed
        without a complete answer, "refused" for one that was not accepted.
      allowed: streams that were sent soon after SIGTERM and that their server
        had not completed at the end of the grace period.
      silences: number of silences of servers.
    """

    violations: tuple[str, ...]
    statuses: dict[str, int]
    allowed: int
    silences: int


def is_allowed_cut(attempt: Attempt, stops: list[Stop]) -> bool:
    """Return whether a stopping node may cut a stream at its exit."""
    return any(
        stop.address == attempt.address
        and attempt.sent <= stop.time + ALLOWED_SENT_S
        and attempt.ended <= stop.time + GRACE_S
        and attempt.request_id in stop.running
        for stop in stops
    )


async def watch_servers(site: Site, stop: Stop) -> None:
    """Record what servers run late in the grace period of a node."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(ALLOWED_CUT_FRACTION * GRACE_S)
    while loop.time() < stop.time + GRACE_S:
        for server in site.servers:
            stop.running.update(server.streams)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def silence_servers(
    site: Site, generator: random.Random, silences: list[float]
) -> None:
    """Let some servers fall silent together, a while after a SIGTERM."""
    await asyncio.sleep(generator.uniform(*SILENT_AFTER_S))
    heads = [server for server in site.servers if server.is_head]
    chosen = generator.sample(heads, generator.randint(1, len(heads)))
    seconds = generator.uniform(*SILENCE_S)
    silences.append(seconds)
    for server in chosen:
        server.fault = ServerFault.SILENT
    await asyncio.sleep(seconds)
    for server in chosen:
        server.fault = ServerFault.NONE


async def restart_all(
    site: Site,
    nodes: list[NodeProcess],
    generator: random.Random,
    silences: list[float],
    stops: list[Stop],
) -> None:
    """Stop all nodes one after the other, and wait until they serve again."""
    loop = asyncio.get_running_loop()
    tasks = []
    gap_s = generator.uniform(*GAP_S)
    for node in generator.sample(nodes, len(nodes)):
        stop = Stop(node.address, loop.time(), set())
        stops.append(stop)
        node.signal(signal.SIGTERM)
        silence = silence_servers(site, generator, silences)
        tasks.append(asyncio.create_task(silence))
        tasks.append(asyncio.create_task(watch_servers(site, stop)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*tasks)
    await asyncio.sleep(GRACE_S)


async def soak(
    seed: int, folder: pathlib.Path, *, rounds: int = 1, nodes: int = NODES
) -> Outcome:
    """Run one seed.

    Args:
      seed: seed of the run.
      folder: where settings and logs of the nodes are written.
      rounds: number of times that the nodes are restarted.
      nodes: number of nodes.
    """
    generator = random.Random(f"silent servers of {seed}")
    site = Site()
    silences: list[float] = []
    stops: list[Stop] = []
    site.start(model_servers=MODEL_SERVERS, plain_servers=2)
    document = make_configuration(2)
    document["routes"][0]["timeout_ms"] = LIMIT_MS
    site.store.write_configuration(document)
    async with run_nodes(seed, folder, site, nodes) as run:
        callers = Callers(
            addresses=[node.address for node in run.nodes],
            seed=seed,
            limit_ms=LIMIT_MS,
            kinds=("draft",),
            tokens=TOKENS,
        )
        calls = [callers.run(b"body", 0.1) for _ in range(CALLERS)]
        run.tasks.extend(asyncio.create_task(call) for call in calls)
        for _ in range(rounds):
            await restart_all(site, run.nodes, generator, silences, stops)
        await run.end_tasks()
    statuses = callers.count_statuses()
    allowed = [
        attempt
        for attempt in callers.attempts
        if not attempt.status and is_allowed_cut(attempt, stops)
    ]
    callers.attempts = [one for one in callers.attempts if one not in allowed]
    return Outcome(
        violations=tuple(find_lost(site.servers, callers)),
        statuses=statuses,
        allowed=len(allowed),
        silences=len(silences),
    )


def main() -> int:
    """Run seeds one after the other; return 1 if any of them failed."""
    return play_restarts(__doc__, soak, rounds=1, nodes=NODES)


if __name__ == "__main__":
    sys.exit(main())
