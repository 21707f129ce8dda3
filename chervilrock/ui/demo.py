"""The command `demo`: a whole installation under load and failures."""

import asyncio
from collections import Counter
from collections.abc import Iterator
import random
import time

from chervilrock import events
from chervilrock.clients.httpclient import HttpClient
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.demonstration.caller import AddressBook, Caller
from chervilrock.ui.demonstration.operations import (
    Ending,
    make_operations,
    Operation,
    Result,
)
from chervilrock.ui.demonstration.site import (
    DemonstrationError,
    load_example,
    Site,
)
from chervilrock.ui.demonstration.summary import (
    Costs,
    read_costs,
    render,
    summarize,
    Summary,
)
from chervilrock.ui.output import print_error, print_result

SEED = 7
CALLERS = 24
OPERATIONS = 1500
PROGRESS_INTERVAL_S = 1.0
KILL_HOST_AT_SHARE = 0.25
KILL_NODE_AT_SHARE = 0.5
RETURN_HOST_AT_SHARE = 0.75


def run_demo() -> ExitCode:
    """Run the demonstration and return its exit code."""
    events.configure_logging(level="ERROR")
    try:
        summary = asyncio.run(run_demonstration(OPERATIONS))
    except DemonstrationError as error:
        print_error(f"the demonstration failed: {error}")
        return ExitCode.FINDINGS
    print_result("summary")
    print_result(render(summary))
    for guarantee in summary.broken:
        print_error(f"broken promise: {guarantee}")
    return ExitCode.FINDINGS if summary.broken else ExitCode.DONE


async def run_demonstration(operations: int) -> Summary:
    """Run a demonstration with a given number of operations."""
    return await Demonstration(operations=operations).run()


class Demonstration:
    """One run: start, apply, load with injected failures, summary."""

    def __init__(self, *, operations: int, seed: int = SEED) -> None:
        """Create a run; needs a running event loop."""
        self._http = HttpClient()
        self._caller_http = HttpClient()
        self._generator = random.Random(seed)
        self._site = Site(example=load_example(), http=self._http)
        self._operations = make_operations(
            self._site.example.configuration, operations, self._generator
        )
        self._results: list[Result] = []
        self._started_s = time.monotonic()

    async def run(self) -> Summary:
        """Run all phases and always stop the installation afterwards."""
        try:
            await self._start()
            before = self._read_costs()
            await self._run_load()
            await self._site.wait_whole(self._find_live())
            after = self._read_costs()
        finally:
            await self._site.stop()
            self._http.close()
            self._caller_http.close()
        costs = Costs(
            after.downtime_s - before.downtime_s,
            after.stranded_s - before.stranded_s,
        )
        calls = self._site.installation.count_calls()
        return summarize(self._results, calls, costs)

    def _print_timed(self, text: str) -> None:
        print_result(f"{time.monotonic() - self._started_s:6.1f} s  {text}")

    async def _start(self) -> None:
        site = self._site
        await site.start()
        hosts = len(site.installation.engines)
        self._print_timed(
            f"{len(site.nodes)} entry nodes, {hosts} hosts, "
            f"{len(site.installation.services)} application servers"
        )
        revision = await site.apply()
        self._print_timed(f"configuration accepted as revision {revision}")
        await site.wait_in_force(revision)
        self._print_timed("configuration in force at every node")
        await site.wait_whole()
        self._print_timed(f"all {site.count_wanted()} groups serve")

    async def _run_load(self) -> None:
        queue = iter(self._operations)
        workers = [
            asyncio.create_task(self._run_caller(number, queue))
            for number in range(CALLERS)
        ]
        failures = asyncio.create_task(self._cause_failures())
        progress = asyncio.create_task(self._show_progress())
        try:
            await asyncio.gather(*workers)
            await failures
        finally:
            progress.cancel()
        self._show_counts()

    async def _run_caller(
        self, number: int, queue: Iterator[Operation]
    ) -> None:
        nodes = self._site.nodes
        centres = self._site.example.configuration["data_centres"]
        book = AddressBook(
            seeds=tuple(node.address for node in nodes),
            data_centre=centres[number % len(centres)],
            http=self._caller_http,
        )
        caller = Caller(
            book=book, http=self._caller_http, generator=self._generator
        )
        for operation in queue:
            self._results.append(await caller.run(operation))

    async def _wait_completed_share(self, share: float) -> None:
        """Wait until a share of the operations, 0 to 1, has completed."""
        while len(self._results) < share * len(self._operations):
            await asyncio.sleep(0.02)

    async def _cause_failures(self) -> None:
        installation = self._site.installation
        await self._wait_completed_share(KILL_HOST_AT_SHARE)
        status = await self._site.read_status()
        group = status["groups"][0]
        host = group["hosts"][-1]
        installation.kill_host(host)
        self._print_timed(f"host {host} of group {group['group']} dies")
        await self._wait_completed_share(KILL_NODE_AT_SHARE)
        await self._kill_controller()
        await self._wait_completed_share(RETURN_HOST_AT_SHARE)
        await installation.return_host(host)
        self._print_timed(f"host {host} comes back empty")

    async def _kill_controller(self) -> None:
        status = await self._site.read_status()
        for node in self._site.nodes:
            if node.name == status["controller"]:
                await node.kill()
                self._print_timed(
                    f"entry node {node.name}, the controller, dies"
                )
                return
        raise DemonstrationError("there is no controller")

    def _find_live(self) -> int:
        """Return the index of a node that is still running."""
        for number, node in enumerate(self._site.nodes):
            if node.running:
                return number
        raise DemonstrationError("no entry node runs")

    def _read_costs(self) -> Costs:
        return read_costs([node.metrics for node in self._site.nodes])

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            self._show_counts()

    def _show_counts(self) -> None:
        counts = Counter(result.ending for result in self._results)
        others = len(self._results) - counts[Ending.WHOLE]
        self._print_timed(
            f"{len(self._results)} of {len(self._operations)} requests ended, "
            f"{counts[Ending.WHOLE]} whole, {others} otherwise"
        )
