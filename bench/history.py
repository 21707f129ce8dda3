"""Check guarantees to callers while nodes are stopped, frozen and killed.

Six entry nodes run as separate processes; stand-ins, callers and an operator
run in this one and record every event. The run injects these faults under
load, most of them more than once:

* The controller gets SIGSTOP until another node has taken over, then SIGCONT.
* Nodes get SIGKILL, alone or together with a host of a group, and are
  replaced.
* Nodes get SIGTERM.
* The log loses answers, and is unavailable for longer than a lease while a
  node is killed.
* Operators apply concurrently on the same base revision.
* The host list marks a host and a server as leaving.
* At the end all nodes get SIGKILL at once and three new ones start.

The result has these fields:

* `operations`, `requests`, `executions`: operations of the callers, requests
  that they sent for them, and requests that the backend servers ran.
* `ended`: outcomes of the operations for their callers.
* `events`: number of events of each kind.
* `broken`: number of violations of each guarantee.
* `findings`: the first violations, as text.
* `verdict`: `holds` when there are no violations.
* `seconds`: duration of the run.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
import time

from bench.history_installation import GROUPS
from bench.history_site import ProcessSite
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.history import Killed, Leaving
from chervilrock.standin.history_checks import (
    check_history,
    count_events,
    count_told,
)
from chervilrock.standin.history_groups import LEAVING_S

OPERATIONS = 2500
QUICK_OPERATIONS = 600
SEED = 5
LIMIT_S = 60.0
PROGRESS_SHARE = 0.06
"""Share of the load that is completed between two faults."""

OUTAGE_S = 4.0
SHOWN_FINDINGS = 5


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yield the counts and the verdict of one run."""
    begin = time.monotonic()
    least = QUICK_OPERATIONS if quick else OPERATIONS
    site = asyncio.run(run_site(least))
    entries = site.history.entries
    findings = check_history(entries)
    events = count_events(entries)
    yield {
        "operations": events["Ended"],
        "requests": events["Sent"],
        "executions": events["Executed"],
        "ended": count_told(entries),
        "events": events,
        "broken": Counter(finding.promise.name for finding in findings),
        "findings": [finding.message for finding in findings[:SHOWN_FINDINGS]],
        "verdict": "broken" if findings else "holds",
        "seconds": round(time.monotonic() - begin, 1),
    }


async def run_site(least: int) -> ProcessSite:
    """Run a site within the time limit and return it."""
    site = ProcessSite(least=least, seed=SEED)
    async with asyncio.timeout(LIMIT_S):
        await site.run(cause_faults)
    return site


async def cause_faults(site: ProcessSite) -> None:
    """Inject the faults one after the other, some of them combined."""
    await site.wait_progress(PROGRESS_SHARE)
    for turn in range(2):
        await freeze_controller(site)
        await kill_node_and_host(site)
        await stop_node(site)
        await race_operators(site, turn)
    await lose_log(site)
    await leave_server(site)
    await replace_all(site)


async def freeze_controller(site: ProcessSite) -> None:
    """Freeze the controller until another node has taken over."""
    controller = await site.find_controller()
    site.freeze_node(controller)
    await site.wait_controller_but(controller)
    site.resume_node(controller)
    await site.wait_progress(PROGRESS_SHARE)


async def kill_node_and_host(site: ProcessSite) -> None:
    """Kill a node and a host of a group at once; replace the node."""
    host = (await site.find_group("beta"))[-1]
    site.installation.kill_host(host)
    await site.kill_node(site.generator.choice(site.nodes))
    await site.start_node()
    await site.wait_progress(PROGRESS_SHARE)
    await site.installation.return_hosts([host])


async def stop_node(site: ProcessSite) -> None:
    """Stop the controller gracefully while another node is frozen."""
    controller = await site.find_controller()
    frozen = next(node for node in site.nodes if node is not controller)
    stopping = asyncio.create_task(site.stop_node(controller))
    site.freeze_node(frozen)
    await site.wait_controller_but(controller)
    site.resume_node(frozen)
    await stopping
    await site.start_node()


async def race_operators(site: ProcessSite, turn: int) -> None:
    """Apply concurrently at every running node on the same base revision."""
    site.installation.add_log_fault(FaultKind.LOSE_ANSWER, 0.1)
    base = await site.read_revision()
    await asyncio.gather(
        *(
            site.operator.apply(
                node.address,
                name=f"operator-{turn}-{number}",
                base=base,
                version=str(1 + number % 2),
            )
            for number, node in enumerate(site.list_running())
        )
    )
    site.installation.platform.faults.clear()


async def lose_log(site: ProcessSite) -> None:
    """Kill the controller during a log outage longer than a lease."""
    await site.wait_serving(GROUPS)
    site.installation.add_log_fault(FaultKind.OUTAGE)
    await site.kill_node(await site.find_controller())
    await site.wait_age(Killed, OUTAGE_S)
    site.installation.platform.faults.clear()
    await site.start_node()
    await site.wait_serving(GROUPS)


async def leave_server(site: ProcessSite) -> None:
    """Mark a server and a host of a group as leaving in the host list."""
    name = next(iter(site.installation.services))
    site.installation.mark_service_leaving(name)
    site.installation.mark_leaving((await site.find_group("alpha"))[0])
    await site.wait_age(Leaving, LEAVING_S + 1)


async def replace_all(site: ProcessSite) -> None:
    """Kill all nodes at once and start three new ones."""
    await asyncio.gather(*(site.kill_node(node) for node in list(site.nodes)))
    await asyncio.gather(*(site.start_node() for _ in range(3)))
    await site.wait_serving(GROUPS)
    await site.wait_progress(PROGRESS_SHARE)
