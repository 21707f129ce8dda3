"""All processes start at once while the host of the last leader stays away.

Guards against the silence of a leader that is gone: 86 nodes that were all
killed read the claim of a leader whose host was unreachable, and began a new
term only 1.65 s later. It also guards against the opposite fault, that a live
leader is replaced because one node cannot reach it.
"""

import asyncio
from typing import NamedTuple

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.nodes import leadership
from chervilrock.decisions.serving.nodes.leadership import (
    MAX_REGISTRATION_DELAY_S,
)
from chervilrock.decisions.serving.view import LeaderEntry, NO_VIEW, NodeEntry
from chervilrock.tasks.serving.leaderprobe import LeaderProbe
from test.tasks.installation import Installation
from test.tasks.virtual_time import run_virtually

DATA_CENTRES = 3
START_SPREAD_S = 0.1
"""Time within which all processes start."""

LIMIT_S = 6.0

FIRST_NAMES = ("n00", "n01")
"""Nodes of which one leads and the other one is the next to claim."""


class Start(NamedTuple):
    """Times of a start of all nodes, in seconds after the first process.

    Attributes:
      claim_s: until a node leads.
      first_s: until the first node has a view.
      all_s: until all nodes have a view.
      limiting: nodes that limit their late requests then.
    """

    claim_s: float
    first_s: float
    all_s: float
    limiting: int


def write_former_fleet(installation: Installation, nodes: int) -> None:
    """Write the records of processes that have all ended; n00 led them."""
    for number in range(nodes):
        name = f"n{number:02}"
        entry = NodeEntry(
            name, f"{name}-0", name, f"{name}:callers", name_zone(number)
        )
        value = msgspec.json.encode(entry)
        installation.store.append(Topic.NODES, f"node/{name}", value)
    leader = msgspec.json.encode(LeaderEntry("n00", "n00-0"))
    installation.store.append(Topic.NODES, "leader", leader)


def name_zone(number: int) -> str:
    return f"p{number % DATA_CENTRES}"


def measure_start(monkeypatch, *, nodes: int, gone: int = 1) -> Start:
    """Start all nodes except the first ones, whose hosts are gone."""

    async def run() -> Start:
        installation = Installation(monkeypatch=monkeypatch, seed=7)
        loop = installation.loop
        installation.confirm_revision(1)
        write_former_fleet(installation, nodes)
        began = loop.time()
        pauses = sorted(
            installation.generator.uniform(0.0, START_SPREAD_S)
            for _ in range(nodes - gone)
        )
        for number, pause in zip(range(gone, nodes), pauses, strict=True):
            await asyncio.sleep(max(0.0, began + pause - loop.time()))
            installation.add(f"n{number:02}", name_zone(number))

        async def measure(condition) -> float:
            await installation.wait_until(condition, LIMIT_S)
            return loop.time() - began if condition() else float("inf")

        def has_view() -> list[bool]:
            return [
                node.state.view is not NO_VIEW
                for node in installation.running_nodes.values()
            ]

        claim_s = await measure(lambda: installation.find_leader() is not None)
        first_s = await measure(lambda: any(has_view()))
        all_s = await measure(lambda: all(has_view()))
        limiting = sum(
            node.state.startup.is_limiting(loop.time())
            for node in installation.running_nodes.values()
        )
        await installation.stop()
        return Start(claim_s, first_s, all_s, limiting)

    return run_virtually(run())


def disable_probes(monkeypatch) -> None:
    """Let nodes wait for the silence of the leader, as they did formerly."""
    monkeypatch.setattr(LeaderProbe, "act", lambda *_: None)


@pytest.mark.parametrize(
    ("nodes", "former_s"), [(6, 0.75), (88, 1.55), (300, 1.65)]
)
def test_a_fleet_whose_leader_is_gone_has_a_view_soon(
    monkeypatch, nodes: int, former_s: float
) -> None:
    start = measure_start(monkeypatch, nodes=nodes)
    assert_that(start.all_s, LessThan(0.5))
    assert_that(start.limiting, Equals(nodes - 1))
    disable_probes(monkeypatch)
    former = measure_start(monkeypatch, nodes=nodes)
    assert_that(former.first_s, GreaterThan(former_s))


def test_nodes_of_later_ranks_ask_when_the_first_ones_are_gone(
    monkeypatch,
) -> None:
    # The leader and six more are gone; without probes a claim takes 2.4 s.
    start = measure_start(monkeypatch, nodes=88, gone=7)
    assert_that(start.claim_s, LessThan(1.9))


def test_registrations_do_not_delay_the_first_claim(monkeypatch) -> None:
    # The nodes that would have claimed before the others registered are gone.
    start = measure_start(monkeypatch, nodes=300, gone=4)
    assert_that(start.claim_s, LessThan(1.3))
    monkeypatch.setattr(
        leadership, "LAST_REGISTRATION_DELAY_S", MAX_REGISTRATION_DELAY_S
    )
    former = measure_start(monkeypatch, nodes=300, gone=4)
    assert_that(former.claim_s, GreaterThan(1.5))


@pytest.mark.parametrize("nodes", [6, 40])
def test_a_leader_that_one_node_cannot_reach_is_not_replaced(
    monkeypatch, nodes: int
) -> None:
    async def run() -> tuple[str | None, int, int]:
        installation = Installation(monkeypatch=monkeypatch, seed=3)
        await installation.start(nodes=nodes, data_centres=DATA_CENTRES)
        leader = installation.find_leader()
        assert leader is not None
        term = installation.running_nodes[leader].task.describe(0.0)["term"]
        # The restarted node is the first to claim.
        first = next(iter(set(FIRST_NAMES) - {leader}))
        installation.kill(first)
        installation.cut_links.add(frozenset((first, leader)))
        number = int(first[1:])
        installation.add(first, name_zone(number))
        await asyncio.sleep(LIMIT_S)
        probes = installation.running_nodes[first].task.leader_probe.probes
        now_leads = installation.find_leader()
        assert now_leads is not None
        described = installation.running_nodes[now_leads].task.describe(0.0)
        await installation.stop()
        return now_leads, described["term"] - term, probes

    _, terms, probes = run_virtually(run())
    assert_that(terms, Equals(0))
    assert_that(probes, GreaterThan(0))


def test_a_restart_of_one_node_while_a_leader_announces_changes_nothing(
    monkeypatch,
) -> None:
    async def run() -> tuple[int, bool]:
        installation = Installation(monkeypatch=monkeypatch, seed=3)
        await installation.start(nodes=40, data_centres=DATA_CENTRES)
        first = next(iter(set(FIRST_NAMES) - {installation.find_leader()}))
        installation.kill(first)
        installation.add(first, name_zone(int(first[1:])))
        await asyncio.sleep(LIMIT_S)
        node = installation.running_nodes[first]
        await installation.stop()
        is_limiting = bool(node.state.startup.describe(0.0)["limited_s"])
        return node.task.leader_probe.probes, is_limiting

    probes, is_limiting = run_virtually(run())
    assert_that(probes, LessThan(8))
    assert_that(is_limiting, Is(False))
