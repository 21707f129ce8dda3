"""A soak test of servers that stutter while nodes stop.

A third of the heads and one plain server go bad for seconds: they cut answers
in the head or the body, leave out the framing, or answer twice. Nodes get
SIGTERM in series that overlap, and SIGHUP and revisions come meanwhile. Callers
keep their connections until a node closes them, and check each answer.
`python -m bench.stutters --seeds 50`.
"""

import asyncio
import collections
from collections.abc import Iterable, Iterator
import contextlib
import pathlib
import random
import sys
from typing import NamedTuple

from bench.rollingrestarts import (
    Attempt,
    Callers,
    find_lost,
    GRACE_S,
    PlatformWork,
    run_nodes,
)
from bench.seeds import make_parser, play_seeds
from chervilrock.standin.site.site import PLAIN_SERVICE, Site
from chervilrock.standin.site.stutters import Stutter, Stutters, WHOLE

NODES = 6
MODEL_SERVERS = 24
PLAIN_SERVERS = 3
CALLERS = 24
SECONDS = 20.0
SOUND_S = (0.3, 2.0)
STUTTER_S = (2.0, 8.0)
SHARES = (0.2, 0.5, 1.0)
"""Shares of the requests that stuttering servers spoil."""

HEADS_FRACTION = 1 / 3
EXIT_FRACTION = 5 / 6
"""Part of the grace period after which a node may end its requests."""


class Plan(NamedTuple):
    """Parameters of a run; no server stutters if it `is_sound`."""

    seed: int
    seconds: float = SECONDS
    nodes: int = NODES
    is_sound: bool = False


class Outcome(NamedTuple):
    """Result of a run.

    Attributes:
      violations: broken guarantees.
      statuses: count of each status; "closed" for a connection that was closed
        without a complete answer, "refused" for one that was not accepted.
      spoiled: number of incomplete answers of servers.
      cut: streams that were cut after a server had spoiled them.
    """

    violations: tuple[str, ...]
    statuses: dict[str, int]
    spoiled: int
    cut: int


class StutteringServers:
    """Servers that go bad for some seconds."""

    def __init__(self, *, site: Site, seed: int) -> None:
        """Create servers that work.

        Args:
          site: the site.
          seed: seed of the choices, for a generator of their own.
        """
        self._site = site
        self._generator = random.Random(f"stutters of {seed}")
        self._stutters: list[Stutters] = []

    async def run(self) -> None:
        """Let some servers stutter until cancelled."""
        generator = self._generator
        while True:
            await asyncio.sleep(generator.uniform(*SOUND_S))
            servers = self._site.servers
            heads = [one for one in servers if one.is_head]
            plain = [one for one in servers if one.service == PLAIN_SERVICE]
            bad = generator.sample(heads, round(len(heads) * HEADS_FRACTION))
            bad.append(generator.choice(plain))
            count = generator.randint(1, len(Stutter))
            stutters = Stutters(
                generator=generator,
                kinds=generator.sample(list(Stutter), count),
                share=generator.choice(SHARES),
            )
            self._stutters.append(stutters)
            for server in bad:
                server.stutters = stutters
            await asyncio.sleep(generator.uniform(*STUTTER_S))
            self.end()

    def end(self) -> None:
        """Let all servers work again."""
        for server in self._site.servers:
            server.stutters = None

    def count_spoiled(self) -> collections.Counter[str]:
        """Return how many incomplete answers were sent, by request."""
        counts: collections.Counter[str] = collections.Counter()
        for stutters in self._stutters:
            for request_id, played in stutters.played.items():
                counts[request_id] += sum(one not in WHOLE for one in played)
        return counts


def make_body(attempt: Attempt) -> bytes:
    """Return the complete body of the answer to a request."""
    name = attempt.request_id
    if attempt.kind != "draft":
        return f"answer to {name}".encode()
    return b"".join(
        f"id: {number}\ndata: {name}-{number}\n\n".encode()
        for number in range(1, attempt.tokens + 1)
    )


def find_wrong(attempt: Attempt, runs: int, may_fail: bool) -> Iterator[str]:
    """Yield what is wrong with the answer to a request.

    Args:
      attempt: the request.
      runs: how often servers ran it.
      may_fail: whether a server spoiled its answer, or its node ended.
    """
    name = attempt.request_id
    answer = attempt.answer
    whole = make_body(attempt)
    got = f"{len(answer.body)} of {len(whole)} bytes"
    if attempt.kind == "book" and runs > 1:
        yield f"{name} ran {runs} times"
    if attempt.status == "200" and answer.body != whole:
        yield f"{name} has {got} and looks complete"
    if answer.status == "200" and not whole.startswith(answer.body):
        yield f"{name} has other bytes than its own"
    if answer.status == "200" and (
        answer.headers.get("x-request-id") != name
        or not answer.headers.get("x-server-stamp", "").endswith(f".{name}")
    ):
        yield f"{name} has the answer to another request"
    if attempt.status == "502" and not may_fail:
        yield f"{name} failed though no server spoiled its answer"


def is_allowed_cut(attempt: Attempt, is_spoiled: bool) -> bool:
    """Return whether a stream may end early, as its attempts are used up."""
    is_begun = attempt.answer.status == "200" and attempt.kind == "draft"
    return is_begun and is_spoiled and not attempt.status


def is_at_exit(attempt: Attempt, stops: Iterable[float]) -> bool:
    """Return whether a request ended when its node did.

    A node that stops answers what it accepted and can't wait for with 502.
    """
    return any(
        stop + EXIT_FRACTION * GRACE_S <= attempt.ended <= stop + GRACE_S
        for stop in stops
    )


async def restart_nodes(work: PlatformWork) -> None:
    """Let series of stops follow each other until cancelled."""
    while True:
        await work.restart()


async def soak(plan: Plan, folder: pathlib.Path) -> Outcome:
    """Run one seed.

    Args:
      plan: parameters of the run.
      folder: where settings and logs of the nodes are written.
    """
    site = Site()
    site.start(model_servers=MODEL_SERVERS, plain_servers=PLAIN_SERVERS)
    stuttering = StutteringServers(site=site, seed=plan.seed)
    async with run_nodes(plan.seed, folder, site, plan.nodes) as run:
        work = PlatformWork(site=site, nodes=run.nodes, seed=plan.seed)
        callers = Callers(
            addresses=[node.address for node in run.nodes], seed=plan.seed
        )
        jobs = [callers.run(None, 0.1) for _ in range(CALLERS)]
        run.tasks.extend(asyncio.create_task(job) for job in jobs)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(plan.seconds):
                async with asyncio.TaskGroup() as group:
                    if not plan.is_sound:
                        group.create_task(stuttering.run())
                    group.create_task(work.write_revisions())
                    group.create_task(restart_nodes(work))
        stuttering.end()
        await asyncio.sleep(GRACE_S)
        await run.end_tasks()
    spoiled = stuttering.count_spoiled()
    statuses = callers.count_statuses()
    runs = collections.Counter(
        run.request_id for server in site.servers for run in server.runs
    )
    violations: list[str] = []
    kept = []
    for attempt in callers.attempts:
        name = attempt.request_id
        is_spoiled = spoiled[name] > 0
        ends = is_at_exit(attempt, work.stops.get(attempt.address, ()))
        violations += find_wrong(attempt, runs[name], is_spoiled or ends)
        if not is_allowed_cut(attempt, is_spoiled):
            kept.append(attempt)
    cut = len(callers.attempts) - len(kept)
    callers.attempts = kept
    violations += find_lost(site.servers, callers)
    return Outcome(tuple(violations), statuses, spoiled.total(), cut)


def main() -> int:
    """Run seeds one after the other; return 1 if any of them failed."""
    parser = make_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--sound", action="store_true", help="no stutters")
    arguments = parser.parse_args()
    return play_seeds(
        arguments,
        lambda seed, folder: soak(
            Plan(seed, arguments.seconds, arguments.nodes, arguments.sound),
            folder,
        ),
        lambda outcome: bool(outcome.violations),
    )


if __name__ == "__main__":
    sys.exit(main())
