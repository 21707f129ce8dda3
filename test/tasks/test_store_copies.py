"""The store comes back from a copy: what was acknowledged since is gone.

Offsets are given out again, and so were the terms of leaders, which were
offsets: a new leader had a term that all nodes knew already, and nobody
followed it.
"""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength, Is, LessThan

from chervilrock.clients.serving import Topic
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

SIZES = (6, 36)
PLACES = 3
AWAY_S = 0.5
REWRITE_S = 0.5
"""Time until the operator has written again what was lost."""

LED_S = 4.0
"""Time within which one leads after the return."""

BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""


async def start(monkeypatch, nodes: int) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=nodes)
    await site.start(nodes=nodes, places=PLACES)
    await asyncio.sleep(12.0)
    return site


async def come_back(
    site: Installation, age_s: float, fault: Fault = Fault.SILENT
) -> None:
    """Take the store away, and bring it back from a copy of some age."""
    site.begin(fault)
    await asyncio.sleep(AWAY_S)
    site.store.restore(age_s + AWAY_S)
    site.end()


async def replace_leader(site: Installation) -> str:
    """Kill the leader and wait for the next one; return its name."""
    former = site.find_leader()
    assert former is not None
    site.kill(former)
    await site.wait(lambda: site.find_leader() is not None, 10.0)
    leader = site.find_leader()
    assert leader is not None
    return leader


def list_leaders(site: Installation) -> list[str]:
    return [
        address
        for address, member in site.members.items()
        if member.task.is_leader
    ]


def list_terms(site: Installation) -> set[int]:
    """Return the terms of the views that are in use."""
    return {member.state.view.term for member in site.members.values()}


def is_settled(site: Installation) -> bool:
    """Tell whether one leads, and all nodes use its view."""
    leaders = list_leaders(site)
    if len(leaders) != 1:
        return False
    own = site.members[leaders[0]].state.view
    return all(
        member.state.view.version == own.version
        for member in site.members.values()
    )


@pytest.mark.parametrize("nodes", SIZES)
@pytest.mark.parametrize("age_s", [0.0, 2.0, 5.0, 10.0])
@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.BUSY])
def test_one_leads_with_a_greater_term(monkeypatch, nodes, age_s, fault):
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(3.0)
        before = max(list_terms(site))
        await come_back(site, age_s, fault)
        await asyncio.sleep(LED_S)
        assert_that(is_settled(site), Is(True))
        # The next leader counts as newer than all that there ever were.
        await replace_leader(site)
        await asyncio.sleep(LED_S)
        assert_that(is_settled(site), Is(True))
        assert_that(min(list_terms(site)), GreaterThan(before))
        await site.stop()

    run_virtually(play())


@pytest.mark.parametrize("nodes", SIZES)
@pytest.mark.parametrize("age_s", [1.0, 4.0])
def test_a_revision_comes_though_its_offset_was_given_out_before(
    monkeypatch, nodes, age_s
):
    async def play() -> float:
        site = await start(monkeypatch, nodes)
        for revision in (2, 3):
            site.change(revision)
            await asyncio.sleep(0.2)
        await come_back(site, age_s)
        await asyncio.sleep(REWRITE_S)
        for revision in (3, 4):
            site.change(revision)
            await asyncio.sleep(0.05)
        changed = site.loop.time()
        await site.wait(site.is_in_force, 10.0)
        late_s = site.loop.time() - changed
        await site.stop()
        return late_s

    assert_that(run_virtually(play()), LessThan(BOUND_S))


@pytest.mark.parametrize("nodes", SIZES)
def test_nodes_whose_records_are_gone_register_again(monkeypatch, nodes):
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        site.add("late", "p0")
        await asyncio.sleep(2.0)
        await come_back(site, 4.0)
        await asyncio.sleep(LED_S)
        keys = {one.key for one in site.store.topics[Topic.NODES]}
        missing = [f"node/{one}" for one in site.members]
        assert_that(set(missing) - keys, HasLength(0))
        assert_that(is_settled(site), Is(True))
        await site.stop()

    run_virtually(play())


@pytest.mark.parametrize("nodes", SIZES)
def test_two_returns_in_a_row(monkeypatch, nodes):
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(1.0)
        await come_back(site, 3.0)
        await asyncio.sleep(0.3)
        await come_back(site, 0.2)
        await asyncio.sleep(LED_S)
        assert_that(is_settled(site), Is(True))
        await site.stop()

    run_virtually(play())


@pytest.mark.parametrize("nodes", SIZES)
def test_the_leader_is_lost_with_the_return(monkeypatch, nodes):
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        await replace_leader(site)
        await asyncio.sleep(1.0)
        leader = site.find_leader() or ""
        await come_back(site, 3.0)
        site.kill(leader)
        await asyncio.sleep(LED_S)
        assert_that(is_settled(site), Is(True))
        await site.stop()

    run_virtually(play())
