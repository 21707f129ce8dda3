"""Nodes of large data centres that leave reading the store to a few others."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.paces import list_designated
from test.tasks.installation import Installation
from test.tasks.virtual_time import run_virtually

PLACES = 3
NODES = 3 * 12
BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""

CALM_S = 30.0

MANY = 4 * NODES


async def start(monkeypatch, nodes: int = NODES) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=nodes)
    await site.start(nodes=nodes, places=PLACES)
    await asyncio.sleep(5.0)
    return site


def list_readers(site: Installation, place: str) -> list[str]:
    """Return the nodes of a data centre that read the store for it."""
    nodes = [member.state.own for member in site.members.values()]
    return [one.peer_address for one in list_designated(place, nodes)]


async def change_and_measure(site: Installation) -> float:
    """Confirm a revision; return how late the last node has it."""
    site.change(2)
    await site.wait(site.is_in_force, 10.0)
    lateness_s = site.find_lateness(0.0)
    await site.stop()
    return lateness_s


def test_calls_do_not_grow_with_the_nodes_of_a_data_centre(monkeypatch):
    async def count(nodes: int) -> int:
        site = await start(monkeypatch, nodes)
        before = site.count_calls()
        for revision in range(2, 8):
            await asyncio.sleep(CALM_S / 6)
            site.change(revision)
        calls = site.count_calls() - before
        await site.stop()
        return calls

    few = run_virtually(count(NODES))
    many = run_virtually(count(2 * NODES))
    assert_that(many, LessThan(1.1 * few))


def test_a_revision_comes_to_nodes_that_do_not_read(monkeypatch):
    async def check() -> float:
        return await change_and_measure(await start(monkeypatch))

    assert_that(run_virtually(check()), LessThan(0.6))


@pytest.mark.parametrize("lost", ["one", "both", "both and the leader"])
def test_a_revision_comes_in_time_when_those_that_read_are_lost(
    monkeypatch, lost
):
    async def check() -> float:
        site = await start(monkeypatch)
        leader = site.find_leader()
        assert leader is not None
        own_place = site.members[leader].state.own.data_centre
        place = next(
            f"p{number}"
            for number in range(PLACES)
            if f"p{number}" != own_place
        )
        readers = list_readers(site, place)
        if lost == "one":
            readers = readers[:1]
        elif lost == "both and the leader":
            readers.append(leader)
        for address in readers:
            site.kill(address)
        return await change_and_measure(site)

    assert_that(run_virtually(check()), LessThan(BOUND_S))


def test_a_lost_leader_is_replaced_as_soon_as_where_all_read(monkeypatch):
    async def measure(nodes: int) -> float:
        site = await start(monkeypatch, nodes)
        leader = site.find_leader()
        assert leader is not None
        site.kill(leader)
        lost = site.loop.time()
        await site.wait(lambda: site.find_leader() is not None, 10.0)
        replaced_s = site.loop.time() - lost
        await site.stop()
        return replaced_s

    small = run_virtually(measure(9))
    large = run_virtually(measure(NODES))
    assert_that(large, LessThan(small + 1.0))


def test_nodes_come_and_go_without_reading_each_other(monkeypatch):
    async def check() -> list[int]:
        site = await start(monkeypatch)
        site.add("n99", "p1")
        await asyncio.sleep(3.0)
        known = [len(one.state.nodes) for one in site.members.values()]
        await site.stop()
        return known

    assert_that(run_virtually(check()), Equals([NODES + 1] * (NODES + 1)))


@pytest.mark.parametrize("leader_returns", [True, False])
def test_after_a_loss_of_all_nodes_one_leads_soon(monkeypatch, leader_returns):
    # The records of nodes that start at once must not overtake each claim.
    async def restart(site: Installation, leader: str | None) -> None:
        numbers = list(range(MANY))
        site.generator.shuffle(numbers)
        for number in numbers:
            name = f"n{number:02}"
            if leader_returns or name != leader:
                site.add(name, f"p{number % PLACES}")
            await asyncio.sleep(0.001)

    async def measure() -> float:
        site = await start(monkeypatch, MANY)
        leader = site.find_leader()
        for address in sorted(site.members):
            site.kill(address)
        await asyncio.sleep(1.0)
        begin = site.loop.time()
        starting = asyncio.ensure_future(restart(site, leader))
        await site.wait(lambda: site.find_leader() is not None, 10.0)
        led_s = site.loop.time() - begin
        await starting
        await asyncio.sleep(3.0)
        known = {len(one.state.nodes) for one in site.members.values()}
        assert_that(known, Equals({len(site.members)}))
        await site.stop()
        return led_s

    # Their records take the store 0.6 s; the leader that is gone is missed
    # after 1.65 s. Before, it took 0.61 s and 2.64 s.
    bound_s = 0.3 if leader_returns else 2.0
    assert_that(run_virtually(measure()), LessThan(bound_s))


@pytest.mark.parametrize("pause_ms", [2, 4, 6, 8, 12])
def test_nodes_that_claim_first_read_on_without_a_configuration(
    monkeypatch, pause_ms
):
    # All nodes had lost power. The three that claim first had read of each
    # other before their configuration of 1,249 routes came, and paused for a
    # second, as nobody can lead without one. None of them read that the former
    # leader had started again, so that a node led 0.9 s later that had waited
    # for them, and callers were refused until then.
    async def measure() -> float:
        site = await start(monkeypatch)
        leader = site.find_leader()
        assert leader is not None
        names = [f"n{number:02}" for number in range(NODES)]
        for address in sorted(site.members):
            site.kill(address)
        await asyncio.sleep(1.0)
        site.store.newest_s[Topic.CONFIGURATION] = 0.05
        others = [name for name in names if name != leader]
        begin = site.loop.time()
        for name in (*others[:2], leader):
            site.add(name, f"p{names.index(name) % PLACES}")
            await asyncio.sleep(pause_ms / 1000)
        for name in others[2:]:
            site.add(name, f"p{names.index(name) % PLACES}")
        await site.wait(lambda: site.find_leader() is not None, 10.0)
        led_s = site.loop.time() - begin
        await site.stop()
        return led_s

    assert_that(run_virtually(measure()), LessThan(0.3))
