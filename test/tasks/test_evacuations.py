"""How the news of an evacuation reaches all nodes, in virtual time."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is, LessThan

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.servers.evacuations import EvacuationRecord
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

NEWS_S = 0.52
"""Announcement interval at 86 nodes, within which all nodes know."""

RELAYED_NEWS_S = 2 * NEWS_S
"""News of a node behind a relay waits for two announcements: that of the relay
to the node, and that of the leader to the relay. The leader then announces at
once. A node stops sending 2 s after that, within the 5 s that are allowed."""

EVACUATION_S = 5.0


async def start(monkeypatch, nodes: int) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=nodes)
    await site.start(nodes=nodes, data_centres=3)
    await asyncio.sleep(5.0)
    return site


def write(site: Installation, value: bytes) -> None:
    site.store.append(Topic.CONFIGURATION, "evacuate/p0", value)


def count_knowing(site: Installation) -> int:
    return sum(
        node.state.evacuations.is_evacuated("p0")
        for node in site.running_nodes.values()
    )


@pytest.mark.parametrize("is_rejected", [False, True])
@pytest.mark.parametrize("nodes", [6, 86])
def test_all_nodes_know_and_send_nothing_in_time(
    monkeypatch, nodes, is_rejected
) -> None:
    # Most nodes of large data centres do not read the store, and the store may
    # reject the leader, which announces to them.
    async def check() -> float:
        site = await start(monkeypatch, nodes)
        leader = site.find_leader()
        assert leader is not None
        if is_rejected:
            site.begin_fault(Fault.BUSY, [leader])
        write(site, b"{}")
        began = site.loop.time()
        await site.wait_until(lambda: count_knowing(site) == nodes, 10.0)
        lateness_s = site.loop.time() - began
        await asyncio.sleep(EVACUATION_S - lateness_s)
        now = site.loop.time()
        for node in site.running_nodes.values():
            assert_that(node.state.evacuations.is_closed("p0", now), Is(True))
            chosen = node.state.choose_server("desk", frozenset(), now)
            assert chosen is None
        await site.stop()
        return lateness_s

    assert_that(run_virtually(check()), LessThan(NEWS_S))


@pytest.mark.parametrize(
    ("nodes", "phase_s"),
    [(6, 0.0), (86, 0.0), (86, 0.13), (86, 0.26), (86, 0.39)],
)
def test_news_of_one_node_reaches_all(monkeypatch, nodes, phase_s) -> None:
    # The only node that reads the record may be one behind a relay, and may
    # read it at any time between two announcements.
    async def check() -> float:
        site = await start(monkeypatch, nodes)
        reader = [
            node
            for node in site.running_nodes.values()
            if not (node.task.is_leader or node.task.is_relay)
        ][-1]
        await asyncio.sleep(phase_s)
        began = site.loop.time()
        reader.state.evacuations.record(
            EvacuationRecord("p0", True), (0, 1000), began, is_snapshot=False
        )
        await site.wait_until(lambda: count_knowing(site) == nodes, 10.0)
        await site.stop()
        return site.loop.time() - began

    assert_that(run_virtually(check()), LessThan(RELAYED_NEWS_S))
