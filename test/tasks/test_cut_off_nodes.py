"""What nodes that are cut off from all servers tell the others, at any size."""

import asyncio
from collections.abc import Collection

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from chervilrock.decisions.serving.admission.suspecttracker import MAX_CRASHES
from chervilrock.decisions.serving.nodes.reachability import (
    HOLD_S,
    RECHECK_INTERVAL_S,
)
from chervilrock.tasks.serving.poisondetector import BrokenSend
from test.tasks.installation import Installation
from test.tasks.virtual_time import run_virtually

CONTENT = "brokers/0123456789abcdef"
NODE_COUNTS = (7, 77)
SHARES = (0.3, 0.67)
DATA_CENTRES = 3
SEND_INTERVAL_S = 0.1

STABLE_S = 3.0
"""Time after the begin of a cut from which callers must be served."""

ADDRESS_AGE_S = 1.0
"""Time for which most callers keep addresses."""


async def start(monkeypatch, nodes: int) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=1)
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(3.0)
    return site


def choose_cut(site: Installation, share: float) -> list[str]:
    """Return a share of the nodes, the leader among them."""
    leader = site.find_leader()
    others = [name for name in site.running_nodes if name != leader]
    assert leader is not None
    return [leader, *others[: round(share * len(others))]]


async def keep_sending(site: Installation, cut: Collection[str]) -> None:
    """Let the cut nodes send requests, which fail at once."""
    while True:
        now = site.loop.time()
        for name in cut:
            reachability = site.running_nodes[name].state.reachability
            if not reachability.is_cut_off and name in site.cut_off:
                reachability.record_sent(now, now)
                reachability.record_ended(now, now, is_lost=True)
        await asyncio.sleep(SEND_INTERVAL_S)


def count_listing(site: Installation, cut: Collection[str]) -> int:
    """Return how many nodes direct callers to a node that is cut off."""
    names = set(cut)
    return sum(
        any(node.node in names for node in member.state.nodes)
        for member in site.running_nodes.values()
    )


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("share", SHARES)
def test_callers_are_directed_to_nodes_that_reach_servers(
    monkeypatch, nodes: int, share: float
) -> None:
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        cut = choose_cut(site, share)
        former = site.find_leader()
        site.cut_off.update(cut)
        sending = asyncio.ensure_future(keep_sending(site, cut))
        await asyncio.sleep(STABLE_S - ADDRESS_AGE_S)
        assert_that(count_listing(site, cut), Equals(0))
        await asyncio.sleep(2 * STABLE_S)
        assert_that(count_listing(site, cut), Equals(0))
        assert_that(site.find_leader(), Not(Equals(former)))
        site.cut_off.clear()
        await asyncio.sleep(RECHECK_INTERVAL_S + HOLD_S + STABLE_S)
        listed = [
            len(member.state.nodes) for member in site.running_nodes.values()
        ]
        assert_that(set(listed), Equals({nodes}))
        sending.cancel()
        await site.stop()

    run_virtually(play())


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_servers_that_cut_off_nodes_do_not_reach_are_not_reported_as_crashed(
    monkeypatch, nodes: int
) -> None:
    async def play() -> None:
        site = await start(monkeypatch, nodes)
        cut = choose_cut(site, 0.5)
        site.cut_off.update(cut)
        for number in range(2 * MAX_CRASHES):
            for name in cut[:3]:
                detector = site.running_nodes[name].task.poisondetector
                detector.record_broken(
                    BrokenSend(
                        content=CONTENT,
                        server=f"x{number}",
                        address=f"x{number}",
                        since_first_byte_s=0.0,
                        since_sent_s=0.1,
                    ),
                    site.loop.time(),
                )
            await asyncio.sleep(0.3)
        await asyncio.sleep(3.0)
        withheld = [
            name
            for name, member in site.running_nodes.items()
            if member.state.suspects.find_withheld(CONTENT) is not None
        ]
        assert_that(withheld, HasLength(0))
        await site.stop()

    run_virtually(play())


def test_without_any_node_that_reaches_servers_callers_keep_all_nodes(
    monkeypatch,
) -> None:
    async def play() -> None:
        site = await start(monkeypatch, 7)
        leader = site.find_leader()
        cut = list(site.running_nodes)
        site.cut_off.update(cut)
        sending = asyncio.ensure_future(keep_sending(site, cut))
        await asyncio.sleep(2 * STABLE_S)
        now = site.loop.time()
        for member in site.running_nodes.values():
            addresses = member.task.list_callers_addresses("p0", now)
            assert_that(list(addresses), Not(HasLength(0)))
        assert_that(site.find_leader(), Equals(leader))
        sending.cancel()
        await site.stop()

    run_virtually(play())
