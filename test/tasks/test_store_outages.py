"""Revisions are in force in time after outages of the store.

A long poll that a node begins while the store is unresponsive is not answered
after the outage either, and fails only at its own timeout. If all nodes have
such a read pending, none of them has a newer revision that others could fetch.
With timeouts of 6 s, six nodes put five revisions into force 3 s after the end
of an outage of 8.3 s, and a caller got status 401 for a key of a revision that
had been confirmed 2.7 s before.
"""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from chervilrock.decisions.serving.nodes.relays import MAX_DIRECT_NODES
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""

SHORT_BOUND_S = 2.2
"""The same from the beginning of an outage that is shorter than the pause
between two reads of the leader."""

LEADER_BOUND_S = 3.0
"""Time within which a leader has to be replaced and a confirmed revision has to
be in force if the leader was lost during the outage."""

REVISIONS = 5
"""Number of revisions confirmed in quick succession after an outage."""

WARM_UP_S = 20.0
"""Time before the outage in which the reads of the nodes get out of step."""

SETTLED_S = 30.0
"""Time after an outage within which all pending reads have timed out."""

OUTAGES = tuple(
    itertools.product(
        (0.2, 0.9, 2.2, 5.0, 8.3, 13.0), (0.0, 0.7, 1.9, 4.4, 11.1)
    )
)
"""Lengths and phases of outages in seconds."""


class Outage(NamedTuple):
    """An outage of the store, after undisturbed operation.

    Attributes:
      nodes: number of nodes of the installation.
      length_s: duration of the outage.
      phase_s: delay of its beginning.
      fault: outcome of calls.
    """

    nodes: int
    length_s: float
    phase_s: float
    fault: Fault = Fault.SILENT


class Outcome(NamedTuple):
    """Times that were measured after an outage.

    Attributes:
      lateness_s: longest time from the end of the outage, or from the
        confirmation of a revision if that was later, until the revision was in
        force on a node.
      leaderless_s: time after the outage until a node led.
      server_s: time after the outage until no node sent requests to a leaving
        server.
    """

    lateness_s: float
    leaderless_s: float
    server_s: float


async def run_outage(
    monkeypatch: pytest.MonkeyPatch, outage: Outage, killed: int = 0
) -> Outcome:
    """Run an outage and confirm revisions right after it.

    Args:
      monkeypatch: replaces the clock.
      outage: outage of the store.
      killed: number of nodes that are killed during the outage, each the
        leader if there is one.
    """
    site = Installation(monkeypatch=monkeypatch, seed=outage.nodes)
    await site.start(nodes=outage.nodes, data_centres=3)
    await asyncio.sleep(WARM_UP_S + outage.phase_s)
    site.begin_fault(outage.fault)
    await asyncio.sleep(outage.length_s / 2)
    for _ in range(killed):
        site.kill(site.find_leader() or min(site.running_nodes))
    await asyncio.sleep(outage.length_s / 2)
    site.end_fault()
    recovered = site.loop.time()
    site.mark_server_leaving()
    for revision in range(2, 2 + REVISIONS):
        site.confirm_revision(revision)
        await asyncio.sleep(0.05)
    await site.wait_until(lambda: site.find_leader() is not None, SETTLED_S)
    leaderless_s = site.loop.time() - recovered
    await site.wait_until(site.has_no_server, SETTLED_S)
    server_s = site.loop.time() - recovered
    await site.wait_until(site.is_in_force, SETTLED_S)
    lateness_s = site.find_lateness(recovered)
    await site.stop()
    return Outcome(lateness_s, leaderless_s, server_s)


def test_revisions_are_in_force_in_time_after_any_outage(monkeypatch) -> None:
    late = {
        outage: run_virtually(run_outage(monkeypatch, outage)).lateness_s
        for outage in (Outage(6, *times) for times in OUTAGES)
    }
    worst = max(late, key=late.__getitem__)
    assert_that(late[worst], LessThan(BOUND_S), f"{worst}")


@pytest.mark.parametrize("length_s", [0.05, 0.1, 0.15])
def test_a_short_outage_of_one_topic_is_detected(monkeypatch, length_s) -> None:
    # The leader reads the servers topic again before its read of the
    # configuration ends. If that answer hides the recovery of the other topic,
    # the other nodes fetch the revision from a node 0.4 s later.
    for phase_s in (0.3, 1.9, 1.94):
        outage = Outage(6, length_s, phase_s)
        outcome = run_virtually(run_outage(monkeypatch, outage))
        bound_s = SHORT_BOUND_S - length_s
        assert_that(outcome.lateness_s, LessThan(bound_s), f"{outage}")


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.BUSY])
def test_revisions_are_in_force_in_time_after_other_faults(
    monkeypatch, fault
) -> None:
    for length_s, phase_s in OUTAGES[::2]:
        outage = Outage(6, length_s, phase_s, fault)
        outcome = run_virtually(run_outage(monkeypatch, outage))
        assert_that(outcome.lateness_s, LessThan(BOUND_S), f"{outage}")


@pytest.mark.parametrize("length_s", [0.2, 2.2, 8.3])
def test_nodes_behind_a_relay_are_in_time_as_well(
    monkeypatch, length_s
) -> None:
    # Three data centres of more than eight nodes; long polls last 20 s.
    outage = Outage(3 * (MAX_DIRECT_NODES + 1), length_s, 0.7)
    outcome = run_virtually(run_outage(monkeypatch, outage))
    assert_that(outcome.lateness_s, LessThan(BOUND_S))


@pytest.mark.parametrize("fault", Fault)
@pytest.mark.parametrize("killed", [1, 4])
def test_a_leader_that_is_lost_in_an_outage_is_replaced(
    monkeypatch, fault, killed
) -> None:
    # A claim makes no leader until it is read back. With long polls of 10 s
    # for nodes and claims, no node led for up to 10.6 s after the store had
    # recovered.
    for length_s, phase_s in OUTAGES[10::4]:
        outage = Outage(6, length_s, phase_s, fault)
        outcome = run_virtually(run_outage(monkeypatch, outage, killed))
        assert_that(outcome.leaderless_s, LessThan(LEADER_BOUND_S), f"{outage}")
        assert_that(outcome.lateness_s, LessThan(LEADER_BOUND_S), f"{outage}")


def test_servers_that_leave_after_an_outage_get_no_requests(
    monkeypatch,
) -> None:
    # Only the leader reads the servers topic. If its first answer arrives 2.1 s
    # after the store has recovered, it is too late: a leaving server must be
    # out of use within 2 s.
    for length_s, phase_s in OUTAGES[5:]:
        outage = Outage(6, length_s, phase_s)
        outcome = run_virtually(run_outage(monkeypatch, outage))
        assert_that(outcome.server_s, LessThan(BOUND_S), f"{outage}")


@pytest.mark.parametrize("cut_off", ["the leader", "the others", "half of all"])
@pytest.mark.parametrize("fault", Fault)
def test_nodes_cut_off_from_the_store_get_revisions(
    monkeypatch, fault, cut_off
) -> None:
    async def check() -> float:
        site = Installation(monkeypatch=monkeypatch, seed=6)
        await site.start(nodes=6, data_centres=3)
        await asyncio.sleep(WARM_UP_S)
        leader = site.find_leader()
        assert leader is not None
        others = sorted(set(site.running_nodes) - {leader})
        chosen = {
            "the leader": [leader],
            "the others": others,
            "half of all": [leader, *others[:2]],
        }
        site.begin_fault(fault, chosen[cut_off])
        for revision in range(2, 18):
            site.confirm_revision(revision)
            await asyncio.sleep(0.5)
        site.end_fault()
        site.confirm_revision(18)
        await site.wait_until(site.is_in_force, SETTLED_S)
        await site.stop()
        return site.find_lateness(0.0)

    assert_that(run_virtually(check()), LessThan(BOUND_S))


@pytest.mark.parametrize(
    ("nodes", "most_calls_per_s"), [(6, 5.7), (9, 6.5), (27, 8.0)]
)
def test_calls_in_steady_state_stay_within_a_bound(
    monkeypatch, nodes, most_calls_per_s
) -> None:
    # The bounds are the calls a second of all nodes to the store if each node
    # long polls the configuration for 5 s and the nodes topic for 10 s.
    async def count() -> float:
        site = Installation(monkeypatch=monkeypatch, seed=nodes)
        await site.start(nodes=nodes, data_centres=3)
        before = site.count_calls()
        await asyncio.sleep(60.0)
        calls = site.count_calls() - before
        await site.stop()
        return calls / 60.0

    assert_that(run_virtually(count()), LessThan(most_calls_per_s))
