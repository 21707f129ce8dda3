"""What callers see of nodes that are stopped, frozen and killed under load.

Six entry nodes run as processes of their own; stand-ins, callers and an
operator run in this one and note every event. Under load, and each more than
once: the controller gets SIGSTOP until another node has taken over, and then
SIGCONT; nodes get SIGKILL, with a host of a group or alone, and are replaced;
nodes get SIGTERM; the log loses answers and is out for longer than a lease
while a node dies; operators race each other; a server is said to leave; at
last all nodes get SIGKILL at once and others take their place.

* `operations`, `requests`, `executions`: what callers asked for, what they
  sent for it, and what the backend servers ran.
* `ended`: how the operations ended for their callers.
* `events`: how often each kind of event happened.
* `broken`: promises that the checks found broken, and how often.
* `verdict`: `holds` when there are none.
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
STEP = 0.06
"""Share of the load between two failures."""

OUTAGE_S = 4.0
SHOWN_FINDINGS = 5


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yields the counts of one run and its verdict."""
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
        "broken": Counter(one.promise.name for one in findings),
        "findings": [one.message for one in findings[:SHOWN_FINDINGS]],
        "verdict": "broken" if findings else "holds",
        "seconds": round(time.monotonic() - begin, 1),
    }


async def run_site(least: int) -> ProcessSite:
    """Return a site after its run, which is bounded in time."""
    site = ProcessSite(least=least, seed=SEED)
    async with asyncio.timeout(LIMIT_S):
        await site.run(cause_faults)
    return site


async def cause_faults(site: ProcessSite) -> None:
    """Cause one failure after the other, and some together."""
    await site.wait_progress(STEP)
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
    await site.wait_progress(STEP)


async def kill_node_and_host(site: ProcessSite) -> None:
    """Kill a node and a host of a group at once; replace the node."""
    host = (await site.find_group("beta"))[-1]
    site.installation.kill_host(host)
    await site.kill_node(site.generator.choice(site.nodes))
    await site.start_node()
    await site.wait_progress(STEP)
    await site.installation.return_hosts([host])


async def stop_node(site: ProcessSite) -> None:
    """Stop the controller gracefully while another node is frozen."""
    controller = await site.find_controller()
    frozen = next(one for one in site.nodes if one is not controller)
    stopping = asyncio.create_task(site.stop_node(controller))
    site.freeze_node(frozen)
    await site.wait_controller_but(controller)
    site.resume_node(frozen)
    await stopping
    await site.start_node()


async def race_operators(site: ProcessSite, turn: int) -> None:
    """Let an operator at each node apply on the same base."""
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
    """Kill the controller while the log is out for longer than a lease."""
    await site.wait_serving(GROUPS)
    site.installation.add_log_fault(FaultKind.OUTAGE)
    await site.kill_node(await site.find_controller())
    await site.wait_age(Killed, OUTAGE_S)
    site.installation.platform.faults.clear()
    await site.start_node()
    await site.wait_serving(GROUPS)


async def leave_server(site: ProcessSite) -> None:
    """Let the host list say that servers leave."""
    name = next(iter(site.installation.services))
    site.installation.mark_service_leaving(name)
    site.installation.mark_leaving((await site.find_group("alpha"))[0])
    await site.wait_age(Leaving, LEAVING_S + 1)


async def replace_all(site: ProcessSite) -> None:
    """Kill all nodes at once and start as many others."""
    await asyncio.gather(*(site.kill_node(one) for one in list(site.nodes)))
    await asyncio.gather(*(site.start_node() for _ in range(3)))
    await site.wait_serving(GROUPS)
    await site.wait_progress(STEP)
