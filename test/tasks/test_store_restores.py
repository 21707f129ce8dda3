"""The store is restored from a backup, which lacks acknowledged records.

Offsets are assigned again. If the terms of leaders were plain offsets, a new
leader could have a term that all nodes know already, and no node would follow
it.
"""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength, Is, LessThan

from chervilrock.clients.serving import Topic
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

NODE_COUNTS = (6, 36)
DATA_CENTRES = 3
OUTAGE_S = 0.5
REWRITE_DELAY_S = 0.5
"""Time until the operator writes the lost revisions again."""

SETTLE_S = 4.0
"""Time within which a node leads after a restore."""

BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""


async def start_installation(monkeypatch, nodes: int) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=nodes)
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(12.0)
    return site


async def restore_store(
    site: Installation, age_s: float, fault: Fault = Fault.SILENT
) -> None:
    """Make the store unavailable, and restore it from a backup of some age."""
    site.begin_fault(fault)
    await asyncio.sleep(OUTAGE_S)
    site.store.restore(age_s + OUTAGE_S)
    site.end_fault()


async def replace_leader(site: Installation) -> str:
    """Kill the leader, wait for the next one and return its address."""
    former = site.find_leader()
    assert former is not None
    site.kill(former)
    await site.wait_until(lambda: site.find_leader() is not None, 10.0)
    leader = site.find_leader()
    assert leader is not None
    return leader


def list_leaders(site: Installation) -> list[str]:
    return [
        address
        for address, member in site.running_nodes.items()
        if member.task.is_leader
    ]


def list_terms(site: Installation) -> set[int]:
    """Return the terms of the views that are in use."""
    return {member.state.view.term for member in site.running_nodes.values()}


def is_led_by_one(site: Installation) -> bool:
    """Return whether exactly one node leads and all nodes use its view."""
    leaders = list_leaders(site)
    if len(leaders) != 1:
        return False
    own = site.running_nodes[leaders[0]].state.view
    return all(
        member.state.view.version == own.version
        for member in site.running_nodes.values()
    )


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("age_s", [0.0, 2.0, 5.0, 10.0])
@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.BUSY])
def test_one_node_leads_with_a_greater_term(monkeypatch, nodes, age_s, fault):
    async def run_scenario() -> None:
        site = await start_installation(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(3.0)
        before = max(list_terms(site))
        await restore_store(site, age_s, fault)
        await asyncio.sleep(SETTLE_S)
        assert_that(is_led_by_one(site), Is(True))
        # The next leader has a greater term than all earlier ones.
        await replace_leader(site)
        await asyncio.sleep(SETTLE_S)
        assert_that(is_led_by_one(site), Is(True))
        assert_that(min(list_terms(site)), GreaterThan(before))
        await site.stop()

    run_virtually(run_scenario())


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("age_s", [1.0, 4.0])
def test_a_revision_is_applied_though_its_offset_was_used_before(
    monkeypatch, nodes, age_s
):
    async def run_scenario() -> float:
        site = await start_installation(monkeypatch, nodes)
        for revision in (2, 3):
            site.confirm_revision(revision)
            await asyncio.sleep(0.2)
        await restore_store(site, age_s)
        await asyncio.sleep(REWRITE_DELAY_S)
        for revision in (3, 4):
            site.confirm_revision(revision)
            await asyncio.sleep(0.05)
        changed = site.loop.time()
        await site.wait_until(site.is_in_force, 10.0)
        lateness_s = site.loop.time() - changed
        await site.stop()
        return lateness_s

    assert_that(run_virtually(run_scenario()), LessThan(BOUND_S))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_nodes_whose_records_are_missing_register_again(monkeypatch, nodes):
    async def run_scenario() -> None:
        site = await start_installation(monkeypatch, nodes)
        site.add("late", "p0")
        await asyncio.sleep(2.0)
        await restore_store(site, 4.0)
        await asyncio.sleep(SETTLE_S)
        keys = {record.key for record in site.store.topics[Topic.NODES]}
        missing = [f"node/{name}" for name in site.running_nodes]
        assert_that(set(missing) - keys, HasLength(0))
        assert_that(is_led_by_one(site), Is(True))
        await site.stop()

    run_virtually(run_scenario())


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_one_node_leads_after_two_restores(monkeypatch, nodes):
    async def run_scenario() -> None:
        site = await start_installation(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(1.0)
        await restore_store(site, 3.0)
        await asyncio.sleep(0.3)
        await restore_store(site, 0.2)
        await asyncio.sleep(SETTLE_S)
        assert_that(is_led_by_one(site), Is(True))
        await site.stop()

    run_virtually(run_scenario())


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_a_leader_lost_during_a_restore_is_replaced(monkeypatch, nodes):
    async def run_scenario() -> None:
        site = await start_installation(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(1.0)
        leader = site.find_leader() or ""
        await restore_store(site, 3.0)
        site.kill(leader)
        await asyncio.sleep(SETTLE_S)
        assert_that(is_led_by_one(site), Is(True))
        await site.stop()

    run_virtually(run_scenario())
