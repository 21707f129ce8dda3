"""Failure scripts of the runs."""

import asyncio

from bench.history_installation import GROUPS, REGION
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.history import Killed, Leaving
from chervilrock.standin.history_groups import GONE_S, LEAVING_S
from test.history.sites import Site

REGION_STREAM = f"region.{REGION}"

STEP_SHARE = 0.12
"""Share of the load between two failures (0 to 1)."""


async def kill_hosts(site: Site) -> None:
    """Kill the head of a group and another host, and return both; twice."""
    for _ in range(2):
        head = (await site.find_group("beta"))[0]
        site.installation.kill_host(head)
        await site.wait_progress(STEP_SHARE)
        member = (await site.find_group("alpha"))[-1]
        site.installation.kill_host(member)
        await site.wait_progress(STEP_SHARE)
        await site.installation.return_hosts([head])
        await site.installation.return_hosts([member])
        await site.wait_serving(GROUPS)


async def kill_domain(site: Site) -> None:
    """Kill all hosts of a fabric domain at once, then one of another."""
    hosts = list(site.installation.engines)
    for host in hosts[:3]:
        site.installation.kill_host(host)
    await site.wait_progress(2 * STEP_SHARE)
    site.installation.kill_host(hosts[4])
    await site.wait_progress(STEP_SHARE)
    for host in (*hosts[:3], hosts[4]):
        await site.installation.return_hosts([host])
    await site.wait_serving(GROUPS)


async def pause_hosts(site: Site) -> None:
    """Pause a host until it is missed, and another one briefly; twice."""
    first = (await site.find_group("beta"))[-1]
    second = (await site.find_group("alpha"))[0]
    for _ in range(2):
        site.installation.pause_host(first)
        site.installation.pause_host(second)
        await site.wait_progress(STEP_SHARE / 4)
        site.installation.resume_host(second)
        await site.wait_missing(first)
        await site.wait_progress(STEP_SHARE)
        site.installation.resume_host(first)
        await site.wait_serving(GROUPS)


async def replace_nodes(site: Site) -> None:
    """Kill the controller and another node and replace both; twice."""
    for _ in range(2):
        controller = await site.find_controller()
        await site.kill_node(controller)
        await site.start_node()
        await site.wait_progress(STEP_SHARE)
        await site.kill_node(site.nodes[0])
        await site.start_node()
        await site.wait_progress(STEP_SHARE)


async def stop_nodes(site: Site) -> None:
    """Start a node and gracefully stop the controller; twice."""
    for _ in range(2):
        await site.start_node()
        controller = await site.find_busy_controller()
        stopping = asyncio.create_task(site.stop_node(controller))
        await site.wait_progress(STEP_SHARE)
        await stopping


async def spoil_answers(site: Site) -> None:
    """Let engines and services lose, break, duplicate and delay answers."""
    site.installation.add_faults(
        FaultKind.LOSE_ANSWER, probability=0.05, path="/v1"
    )
    site.installation.add_faults(
        FaultKind.LOSE_ANSWER, probability=0.1, path="/entries"
    )
    site.installation.add_faults(FaultKind.CLOSE_REUSED, probability=0.2)
    site.installation.add_faults(
        FaultKind.BREAK_STREAM, probability=0.1, after_events=3
    )
    site.installation.add_faults(
        FaultKind.REPEAT_EVENT, FaultKind.FOREIGN_EVENT, probability=0.05
    )
    site.installation.add_faults(FaultKind.REFUSE, probability=0.05, path="/v1")
    site.installation.add_faults(
        FaultKind.ANSWER_LATE,
        FaultKind.DELAY,
        FaultKind.SLOW_TOKEN,
        probability=0.05,
        delay_ms=60,
    )
    await site.wait_progress(6 * STEP_SHARE)
    site.installation.clear_faults()


async def lose_log(site: Site) -> None:
    """Lose answers to applied log requests, then make the log unavailable."""
    faults = site.installation.platform.faults
    site.installation.add_log_fault(FaultKind.LOSE_ANSWER, 0.3)
    for turn in range(2):
        await site.apply_next(f"lost-{turn}")
    site.installation.add_log_fault(FaultKind.OUTAGE)
    await site.wait_no_controller()
    host = (await site.find_group("beta"))[-1]
    site.installation.kill_host(host)
    applying = asyncio.create_task(site.apply_next("in-outage"))
    await site.wait_progress(STEP_SHARE)
    faults.clear()
    await site.installation.return_hosts([host])
    await applying
    await site.wait_serving(GROUPS)


async def trim_log(site: Site) -> None:
    """Trim the log up to its last snapshot while a node is frozen."""
    for turn in range(2):
        frozen_node = site.nodes[-1]
        site.freeze_node(frozen_node)
        await site.apply_next(f"trim-{turn}")
        await site.trim("config")
        await site.trim(REGION_STREAM)
        site.resume_node(frozen_node)
        await site.start_node()
        await site.wait_progress(STEP_SHARE)
        await site.kill_node(site.nodes[1])


async def race_operators(site: Site) -> None:
    """Let operators race each other while answers of the log are lost."""
    faults = site.installation.platform.faults
    site.installation.add_log_fault(FaultKind.LOSE_ANSWER, 0.2)
    for turn in range(4):
        base = await site.read_revision()
        await asyncio.gather(
            *(
                site.operator.apply(
                    node.address,
                    name=f"operator-{turn}-{number}",
                    base=base,
                    version=str(1 + number % 2),
                )
                for number, node in enumerate(site.nodes)
            ),
            site.wait_progress(STEP_SHARE / 2),
        )
    faults.clear()


async def leave_servers(site: Site) -> None:
    """Mark a service backend and a host each of two groups as leaving."""
    service = next(iter(site.installation.services))
    site.installation.mark_service_leaving(service)
    host = (await site.find_group("beta"))[0]
    site.installation.mark_leaving(host)
    await site.wait_progress(STEP_SHARE)
    site.installation.mark_leaving((await site.find_group("alpha"))[-1])
    await site.wait_age(Leaving, LEAVING_S + 1)


async def freeze_controller(site: Site) -> None:
    """Freeze the controller until another node has taken over; twice.

    Every second engine ignores fencing numbers, so late orders of the former
    controller would take effect.
    """
    for turn in range(2):
        controller = await site.find_controller()
        site.installation.kill_host((await site.find_group("beta"))[turn])
        site.freeze_node(controller)
        # Waiting for progress here could hang: all callers may end up
        # waiting for the frozen node.
        await site.wait_controller_but(controller)
        site.resume_node(controller)
        await site.wait_progress(STEP_SHARE)
    await site.installation.return_hosts()
    await site.wait_serving(GROUPS)


async def blind_groups(site: Site) -> None:
    """Kill a host undetected by its group while the log is unavailable."""
    faults = site.installation.platform.faults
    victim = (await site.find_group("alpha"))[-1]
    site.installation.add_log_fault(FaultKind.OUTAGE)
    site.installation.kill_host(victim)
    await site.wait_age(Killed, GONE_S + 1.5)
    faults.clear()
    await site.installation.return_hosts([victim])
    await site.wait_serving(GROUPS)


async def fail_together(site: Site) -> None:
    """Combine faults of answers, log, hosts and nodes; some occur twice."""
    spoiling = asyncio.create_task(spoil_answers(site))
    faults = site.installation.platform.faults
    site.installation.add_log_fault(FaultKind.LOSE_ANSWER, 0.1)
    for turn in range(2):
        controller = await site.find_controller()
        host = site.generator.choice(sorted(site.installation.engines))
        site.installation.kill_host(host)
        site.freeze_node(controller)
        racing = asyncio.create_task(site.apply_next(f"together-{turn}"))
        await site.wait_controller_but(controller)
        await site.start_node()
        site.resume_node(controller)
        await site.kill_node(controller)
        await racing
        await site.installation.return_hosts([host])
    await spoiling
    faults.clear()
    await site.wait_serving(GROUPS)


async def do_nothing(site: Site) -> None:
    """Run the load without failures."""
    await site.wait_progress(0.5)


async def break_streams(site: Site) -> None:
    """Break every stream after its first event, on every engine."""
    site.installation.add_faults(FaultKind.BREAK_STREAM, after_events=1)
    await site.wait_progress(4 * STEP_SHARE)
    site.installation.clear_faults()


async def lose_answers(site: Site) -> None:
    """Lose every other answer of the plain services."""
    rule = {"probability": 0.5, "path": "/entries"}
    site.installation.add_faults(FaultKind.LOSE_ANSWER, **rule)
    await site.wait_progress(4 * STEP_SHARE)
    site.installation.clear_faults()


async def cut_off_controller(site: Site) -> None:
    """Cut the controller off from the platform for the rest of the run.

    Later configurations reach it only through its peers.
    """
    controller = await site.find_controller()
    controller.link.cut()
    await site.wait_controller_but(controller)
    site.installation.kill_host((await site.find_group("beta"))[-1])
    await site.wait_progress(STEP_SHARE)
    other = next(node for node in site.nodes if node is not controller)
    base = await site.read_revision()
    await site.operator.apply(other.address, name="far", base=base)
    await site.wait_progress(STEP_SHARE)
    await site.installation.return_hosts()
