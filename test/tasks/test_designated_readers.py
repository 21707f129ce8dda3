"""Designated readers, which read the store for large data centres."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.store.polling import list_designated
from test.tasks.installation import Installation
from test.tasks.virtual_time import run_virtually

DATA_CENTRES = 3
NODES = 3 * 12
MAX_LATENESS_S = 2.0
"""Time within which a confirmed revision has to be in force at all nodes."""

IDLE_S = 30.0

LARGE_NODES = 4 * NODES


async def start(monkeypatch, nodes: int = NODES) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=nodes)
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(5.0)
    return site


def list_readers(site: Installation, data_centre: str) -> list[str]:
    """Return the addresses of the designated readers of a data centre."""
    nodes = [member.state.own for member in site.running_nodes.values()]
    return [
        reader.peer_address for reader in list_designated(data_centre, nodes)
    ]


async def change_and_measure(site: Installation) -> float:
    """Confirm a revision; return the longest delay until it is in force."""
    site.confirm_revision(2)
    await site.wait_until(site.is_in_force, 10.0)
    lateness_s = site.find_lateness(0.0)
    await site.stop()
    return lateness_s


def test_store_calls_do_not_grow_with_the_nodes_of_a_data_centre(monkeypatch):
    async def count(nodes: int) -> int:
        site = await start(monkeypatch, nodes)
        before = site.count_calls()
        for revision in range(2, 8):
            await asyncio.sleep(IDLE_S / 6)
            site.confirm_revision(revision)
        calls = site.count_calls() - before
        await site.stop()
        return calls

    few = run_virtually(count(NODES))
    many = run_virtually(count(2 * NODES))
    assert_that(many, LessThan(1.1 * few))


def test_a_revision_reaches_nodes_that_do_not_read_the_store(monkeypatch):
    async def check() -> float:
        return await change_and_measure(await start(monkeypatch))

    assert_that(run_virtually(check()), LessThan(0.6))


@pytest.mark.parametrize("lost", ["one", "both", "both and the leader"])
def test_a_revision_arrives_in_time_after_the_loss_of_readers(
    monkeypatch, lost
):
    async def check() -> float:
        site = await start(monkeypatch)
        leader = site.find_leader()
        assert leader is not None
        own_data_centre = site.running_nodes[leader].state.own.data_centre
        data_centre = next(
            f"p{number}"
            for number in range(DATA_CENTRES)
            if f"p{number}" != own_data_centre
        )
        readers = list_readers(site, data_centre)
        if lost == "one":
            readers = readers[:1]
        elif lost == "both and the leader":
            readers.append(leader)
        for address in readers:
            site.kill(address)
        return await change_and_measure(site)

    assert_that(run_virtually(check()), LessThan(MAX_LATENESS_S))


def test_a_lost_leader_is_replaced_as_fast_as_if_all_nodes_read(monkeypatch):
    async def measure(nodes: int) -> float:
        site = await start(monkeypatch, nodes)
        leader = site.find_leader()
        assert leader is not None
        site.kill(leader)
        unavailable_since = site.loop.time()
        await site.wait_until(lambda: site.find_leader() is not None, 10.0)
        replaced_s = site.loop.time() - unavailable_since
        await site.stop()
        return replaced_s

    small = run_virtually(measure(9))
    large = run_virtually(measure(NODES))
    assert_that(large, LessThan(small + 1.0))


def test_a_new_node_is_listed_by_nodes_that_do_not_read_the_store(monkeypatch):
    async def check() -> list[int]:
        site = await start(monkeypatch)
        site.add("n99", "p1")
        await asyncio.sleep(3.0)
        known = [
            len(member.state.nodes) for member in site.running_nodes.values()
        ]
        await site.stop()
        return known

    assert_that(run_virtually(check()), Equals([NODES + 1] * (NODES + 1)))


@pytest.mark.parametrize("leader_returns", [True, False])
def test_after_a_restart_of_all_nodes_a_leader_is_elected_quickly(
    monkeypatch, leader_returns
):
    # Claims must not be delayed by conflicts with the registration records of
    # nodes that start at the same time.
    async def restart(site: Installation, leader: str | None) -> None:
        numbers = list(range(LARGE_NODES))
        site.generator.shuffle(numbers)
        for number in numbers:
            name = f"n{number:02}"
            if leader_returns or name != leader:
                site.add(name, f"p{number % DATA_CENTRES}")
            await asyncio.sleep(0.001)

    async def measure() -> float:
        site = await start(monkeypatch, LARGE_NODES)
        leader = site.find_leader()
        for address in sorted(site.running_nodes):
            site.kill(address)
        await asyncio.sleep(1.0)
        started_at = site.loop.time()
        starting = asyncio.ensure_future(restart(site, leader))
        await site.wait_until(lambda: site.find_leader() is not None, 10.0)
        leaderless_s = site.loop.time() - started_at
        await starting
        await asyncio.sleep(3.0)
        known = {
            len(member.state.nodes) for member in site.running_nodes.values()
        }
        assert_that(known, Equals({len(site.running_nodes)}))
        await site.stop()
        return leaderless_s

    # The store takes 0.6 s for the records of all nodes, and a leader that does
    # not restart counts as lost after 1.65 s. When claims lost against these
    # records, it took 0.61 s and 2.64 s until a node led.
    bound_s = 0.3 if leader_returns else 2.0
    assert_that(run_virtually(measure()), LessThan(bound_s))


@pytest.mark.parametrize("pause_ms", [2, 4, 6, 8, 12])
def test_nodes_without_a_configuration_keep_reading_node_records(
    monkeypatch, pause_ms
):
    # After a power loss of all nodes, the three that claim first read each
    # other's records before their configuration of 1,249 routes. They paused
    # reads for a second, as no node can lead without a configuration, and so
    # missed the restart of the former leader. Another node that waited for them
    # led 0.9 s later, and callers were rejected until then.
    async def measure() -> float:
        site = await start(monkeypatch)
        leader = site.find_leader()
        assert leader is not None
        names = [f"n{number:02}" for number in range(NODES)]
        for address in sorted(site.running_nodes):
            site.kill(address)
        await asyncio.sleep(1.0)
        site.store.fetch_newest_s[Topic.CONFIGURATION] = 0.05
        others = [name for name in names if name != leader]
        started_at = site.loop.time()
        for name in (*others[:2], leader):
            site.add(name, f"p{names.index(name) % DATA_CENTRES}")
            await asyncio.sleep(pause_ms / 1000)
        for name in others[2:]:
            site.add(name, f"p{names.index(name) % DATA_CENTRES}")
        await site.wait_until(lambda: site.find_leader() is not None, 10.0)
        leaderless_s = site.loop.time() - started_at
        await site.stop()
        return leaderless_s

    assert_that(run_virtually(measure()), LessThan(0.3))
