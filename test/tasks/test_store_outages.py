"""Revisions are in force in time after outages of the store.

An installation had six nodes. The store was silent from 26.0 s to 34.3 s and
then confirmed five revisions within 0.2 s. Each node had a read of the
configuration under way that it had begun in the silence at 31.1 s, held for
5 s and given up after 6 s: "timed out after 6001 ms", on all nodes at 31.03 s
and again at 37.13 s. Until then no node had anything newer, so that no node
could ask another one, and all put the five revisions in force at 37.34 s. A
caller got 401 for a key that its node did not know, 2.7 s after a revision that
changed the keys of a workspace was confirmed.
"""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from chervilrock.decisions.serving.relays import LEAST_RELAYED
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""

SHORT_BOUND_S = 2.2
"""The same after a silence that is shorter than the pause between two reads of
the leader, counted from its beginning."""

LEADER_BOUND_S = 3.0
"""Time after which the store counts as sound again, and a confirmed revision
has to be in force, though the leader was lost as well."""

REVISIONS = 5
"""Revisions that wait for the store and are confirmed one upon another."""

QUIET_S = 20.0
"""Time for which an installation runs before its store fails, so that the
reads of its nodes are under way for different times."""

LATEST_S = 30.0
"""Time after an outage after which all reads have ended by themselves."""

OUTAGES = tuple(
    itertools.product(
        (0.2, 0.9, 2.2, 5.0, 8.3, 13.0), (0.0, 0.7, 1.9, 4.4, 11.1)
    )
)
"""Lengths of outages, and times by which they come later, in seconds."""


class Outage(NamedTuple):
    """An outage of the store, after a calm time.

    Attributes:
      nodes: nodes of the installation.
      length_s: how long it lasts.
      phase_s: how much later it begins.
      fault: what becomes of calls.
    """

    nodes: int
    length_s: float
    phase_s: float
    fault: Fault = Fault.SILENT


class Outcome(NamedTuple):
    """What came after an outage.

    Attributes:
      lateness_s: longest time from the end of the outage, or from its
        confirmation if that was later, until a revision was in force on a
        node.
      leaderless_s: time after the outage until a node led.
      server_s: time after the outage until no node sent requests to a server
        that left.
    """

    lateness_s: float
    leaderless_s: float
    server_s: float


async def play(
    monkeypatch: pytest.MonkeyPatch, outage: Outage, killed: int = 0
) -> Outcome:
    """Play an outage after which revisions are confirmed at once.

    Args:
      monkeypatch: replaces the clock.
      outage: what happens to the store.
      killed: nodes that are lost during the outage, one leader after the
        other.
    """
    site = Installation(monkeypatch=monkeypatch, seed=outage.nodes)
    await site.start(nodes=outage.nodes, places=3)
    await asyncio.sleep(QUIET_S + outage.phase_s)
    site.begin(outage.fault)
    await asyncio.sleep(outage.length_s / 2)
    for _ in range(killed):
        site.kill(site.find_leader() or min(site.members))
    await asyncio.sleep(outage.length_s / 2)
    site.end()
    back = site.loop.time()
    site.leave()
    for revision in range(2, 2 + REVISIONS):
        site.change(revision)
        await asyncio.sleep(0.05)
    await site.wait(lambda: site.find_leader() is not None, LATEST_S)
    leaderless_s = site.loop.time() - back
    await site.wait(site.has_no_server, LATEST_S)
    server_s = site.loop.time() - back
    await site.wait(site.is_in_force, LATEST_S)
    lateness_s = site.find_lateness(back)
    await site.stop()
    return Outcome(lateness_s, leaderless_s, server_s)


def test_revisions_are_in_force_in_time_after_any_outage(monkeypatch) -> None:
    late = {
        outage: run_virtually(play(monkeypatch, outage)).lateness_s
        for outage in (Outage(6, *one) for one in OUTAGES)
    }
    worst = max(late, key=late.__getitem__)
    assert_that(late[worst], LessThan(BOUND_S), f"{worst}")


@pytest.mark.parametrize("length_s", [0.05, 0.1, 0.15])
def test_a_short_silence_of_one_topic_is_noticed(monkeypatch, length_s) -> None:
    # The leader reads the servers again before its read of the configuration
    # has ended; their answer hid that the other topic had come back, and the
    # others waited 0.4 s longer before they asked a node.
    for phase_s in (0.3, 1.9, 1.94):
        outage = Outage(6, length_s, phase_s)
        outcome = run_virtually(play(monkeypatch, outage))
        bound_s = SHORT_BOUND_S - length_s
        assert_that(outcome.lateness_s, LessThan(bound_s), f"{outage}")


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.BUSY])
def test_no_kind_of_outage_leaves_a_node_behind(monkeypatch, fault) -> None:
    for length_s, phase_s in OUTAGES[::2]:
        outage = Outage(6, length_s, phase_s, fault)
        outcome = run_virtually(play(monkeypatch, outage))
        assert_that(outcome.lateness_s, LessThan(BOUND_S), f"{outage}")


@pytest.mark.parametrize("length_s", [0.2, 2.2, 8.3])
def test_nodes_behind_a_relay_are_in_time_as_well(
    monkeypatch, length_s
) -> None:
    # Three data centres of more than eight nodes; reads are held for 20 s.
    outage = Outage(3 * (LEAST_RELAYED + 1), length_s, 0.7)
    outcome = run_virtually(play(monkeypatch, outage))
    assert_that(outcome.lateness_s, LessThan(BOUND_S))


@pytest.mark.parametrize("fault", Fault)
@pytest.mark.parametrize("killed", [1, 4])
def test_a_leader_that_is_lost_in_an_outage_is_replaced(
    monkeypatch, fault, killed
) -> None:
    # A claim that was written and is not read back makes no leader. Reads of
    # nodes and claims were held for 10 s: nobody led for up to 10.6 s after
    # the store was back.
    for length_s, phase_s in OUTAGES[10::4]:
        outage = Outage(6, length_s, phase_s, fault)
        outcome = run_virtually(play(monkeypatch, outage, killed))
        assert_that(outcome.leaderless_s, LessThan(LEADER_BOUND_S), f"{outage}")
        assert_that(outcome.lateness_s, LessThan(LEADER_BOUND_S), f"{outage}")


def test_servers_that_leave_after_an_outage_get_no_requests(
    monkeypatch,
) -> None:
    # The leader reads the servers; its first answer came 2.1 s after the
    # store was back, more than the 2 s within which a server has to be out.
    for length_s, phase_s in OUTAGES[5:]:
        outage = Outage(6, length_s, phase_s)
        outcome = run_virtually(play(monkeypatch, outage))
        assert_that(outcome.server_s, LessThan(BOUND_S), f"{outage}")


@pytest.mark.parametrize("deaf", ["the leader", "the others", "half of all"])
@pytest.mark.parametrize("fault", Fault)
def test_deaf_nodes_get_revisions_during_an_outage(
    monkeypatch, fault, deaf
) -> None:
    async def check() -> float:
        site = Installation(monkeypatch=monkeypatch, seed=6)
        await site.start(nodes=6, places=3)
        await asyncio.sleep(QUIET_S)
        leader = site.find_leader()
        assert leader is not None
        others = sorted(set(site.members) - {leader})
        chosen = {
            "the leader": [leader],
            "the others": others,
            "half of all": [leader, *others[:2]],
        }
        site.begin(fault, chosen[deaf])
        for revision in range(2, 18):
            site.change(revision)
            await asyncio.sleep(0.5)
        site.end()
        site.change(18)
        await site.wait(site.is_in_force, LATEST_S)
        await site.stop()
        return site.find_lateness(0.0)

    assert_that(run_virtually(check()), LessThan(BOUND_S))


@pytest.mark.parametrize(("nodes", "most"), [(6, 5.7), (9, 6.5), (27, 8.0)])
def test_a_calm_minute_takes_no_more_calls_than_before(
    monkeypatch, nodes, most
) -> None:
    # Calls a second of all nodes to the store when each of them had its reads
    # of the configuration held for 5 s and those of nodes for 10 s.
    async def count() -> float:
        site = Installation(monkeypatch=monkeypatch, seed=nodes)
        await site.start(nodes=nodes, places=3)
        before = site.count_calls()
        await asyncio.sleep(60.0)
        calls = site.count_calls() - before
        await site.stop()
        return calls / 60.0

    assert_that(run_virtually(count()), LessThan(most))
