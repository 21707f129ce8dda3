"""Poison requests at the sizes and with the faults of real installations.

A poison request crashes each server that runs it. All nodes have to withhold it
within a bounded time after the third crash: a rule of the platform's users
allows 3 s and three more sends.
"""

import asyncio
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from chervilrock.decisions.serving.admission.suspecttracker import MAX_CRASHES
from test.tasks import installation
from test.tasks.crashing_requests import attempt_repeatedly, CrashingRequest
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

CONTENT = "brokers/0123456789abcdef"
MAX_PROPAGATION_S = 2.0
"""Time within which all nodes withhold a request, even if a leader or a relay
fails meanwhile."""

ATTEMPTS = 12
MEAN_PAUSE_S = 0.05
NODE_COUNTS = (9, 77)
DATA_CENTRES = 3


async def start(monkeypatch, nodes: int, seed: int = 1) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=seed)
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(3.0)
    return site


def list_nodes(site: Installation, data_centre: int) -> list[str]:
    return [
        address
        for address, member in site.running_nodes.items()
        if member.state.own.data_centre == f"p{data_centre}"
    ]


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("seed", range(5))
def test_poison_request_crashes_three_servers_and_no_fourth_one(
    monkeypatch, nodes, seed
):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes, seed)
        request = CrashingRequest(site=site, content=CONTENT)
        generator = random.Random(seed)
        await attempt_repeatedly(
            site,
            request,
            generator,
            attempts=ATTEMPTS,
            mean_pause_s=MEAN_PAUSE_S,
        )
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))
    assert_that(
        request.withheld_attempts, GreaterThan(ATTEMPTS - MAX_CRASHES - 1)
    )


@pytest.mark.parametrize("link_s", [0.001, 0.02])
@pytest.mark.parametrize("seed", range(3))
def test_attempts_without_a_pause_crash_three_servers(
    monkeypatch, link_s: float, seed: int
) -> None:
    # Failure: the next node gets an attempt before it knows the last crash.
    monkeypatch.setattr(installation, "LINK_S", link_s)

    async def play() -> CrashingRequest:
        site = await start(monkeypatch, 3, seed)
        request = CrashingRequest(site=site, content=CONTENT)
        order = sorted(site.running_nodes)
        random.Random(seed).shuffle(order)
        for address in order * 2:
            await request.attempt(address)
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_crashes_seen_in_three_data_centres_add_up(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        observers = [
            list_nodes(site, number)[-1] for number in range(DATA_CENTRES)
        ]
        await asyncio.gather(*(request.attempt(node) for node in observers))
        former_sends = len(request.sends)
        await asyncio.sleep(0.5)
        await request.attempt_everywhere()
        await site.stop()
        assert_that(len(request.sends), Equals(former_sends))
        return request

    request = run_virtually(play())
    assert_that(request.withheld_attempts, GreaterThan(nodes - 1))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("crashes_before_loss", [0, 1, 2, 3])
@pytest.mark.parametrize("is_store_unresponsive", [False, True])
def test_loss_of_the_leader_does_not_exceed_the_propagation_bound(
    monkeypatch, nodes, crashes_before_loss, is_store_unresponsive
):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        leader = site.find_leader() or ""
        followers = [node for node in site.running_nodes if node != leader]
        generator = random.Random(nodes)
        if is_store_unresponsive:
            site.begin_fault(Fault.SILENT)
        for number in range(MAX_CRASHES):
            if number == crashes_before_loss:
                site.kill(leader)
            await request.send(generator.choice(followers))
            await asyncio.sleep(0.01)
        if crashes_before_loss == MAX_CRASHES:
            site.kill(leader)
        await asyncio.sleep(MAX_PROPAGATION_S)
        await request.attempt_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))


def test_loss_of_relays_does_not_exceed_the_propagation_bound(monkeypatch):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, 77)
        request = CrashingRequest(site=site, content=CONTENT)
        for address, member in list(site.running_nodes.items()):
            if member.task.is_relay:
                site.kill(address)
        generator = random.Random(1)
        for _ in range(MAX_CRASHES):
            await request.send(generator.choice(sorted(site.running_nodes)))
        await asyncio.sleep(MAX_PROPAGATION_S)
        await request.attempt_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_partitioned_nodes_withhold_a_request_soon_after_they_reconnect(
    monkeypatch, nodes
):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        leader = site.find_leader()
        partitioned = [one for one in list_nodes(site, 0) if one != leader][:2]
        site.partitioned.update(partitioned)
        await asyncio.sleep(1.0)
        connected = [
            node for node in site.running_nodes if node not in partitioned
        ]
        for node in connected[:MAX_CRASHES]:
            await request.send(node)
        await asyncio.sleep(1.0)
        site.partitioned.clear()
        await asyncio.sleep(MAX_PROPAGATION_S)
        await asyncio.gather(*(request.attempt(node) for node in partitioned))
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_a_node_that_has_just_started_withholds_a_request(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        for node in list(site.running_nodes)[:MAX_CRASHES]:
            await request.send(node)
        site.add("late", "p0")
        late = site.running_nodes["late"].state
        await site.wait_until(lambda: late.view.sequence > 0, 5.0)
        await request.attempt("late")
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_withheld_requests_survive_the_loss_of_all_nodes(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        for node in list(site.running_nodes)[:MAX_CRASHES]:
            await request.send(node)
        await asyncio.sleep(0.5)
        for node in list(site.running_nodes):
            site.kill(node)
        for number in range(nodes):
            site.add(f"n{number:02}", f"p{number % DATA_CENTRES}")
        states = [member.state for member in site.running_nodes.values()]
        await site.wait_until(
            lambda: all(state.view.sequence > 0 for state in states), 10.0
        )
        await request.attempt_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_CRASHES))
    assert_that(request.withheld_attempts, Equals(nodes))


def test_simultaneous_attempts_crash_only_servers_that_ran_already(monkeypatch):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, 9)
        request = CrashingRequest(site=site, content=CONTENT)
        await request.attempt_everywhere()
        await request.attempt_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    # All nodes retry at the moment of the third crash; no send begins after it.
    assert_that(request.count_excess_sends(), Equals(0))
    assert_that(request.withheld_attempts, Equals(9))


def test_several_poison_requests_are_each_withheld(monkeypatch):
    async def play() -> list[CrashingRequest]:
        site = await start(monkeypatch, 9)
        requests = [
            CrashingRequest(site=site, content=f"{CONTENT}{number}")
            for number in range(5)
        ]
        await asyncio.gather(
            *(
                attempt_repeatedly(
                    site,
                    request,
                    random.Random(number),
                    attempts=ATTEMPTS,
                    mean_pause_s=MEAN_PAUSE_S,
                )
                for number, request in enumerate(requests)
            )
        )
        await site.stop()
        return requests

    for request in run_virtually(play()):
        assert_that(request.sends, HasLength(MAX_CRASHES))


def test_a_request_that_runs_to_completion_is_cleared_on_all_nodes(monkeypatch):
    async def play() -> None:
        site = await start(monkeypatch, 9)
        request = CrashingRequest(site=site, content=CONTENT)
        nodes = list(site.running_nodes)
        for node in nodes[:2]:
            await request.send(node)
        await asyncio.sleep(0.5)
        running_nodes = site.running_nodes.values()
        detectors = [member.task.poisondetector for member in running_nodes]
        for detector in detectors:
            assert_that(detector.count_crashes(CONTENT), Equals(2))
        detectors[-1].record_completion(CONTENT)
        await asyncio.sleep(0.5)
        for detector in detectors:
            assert_that(detector.count_crashes(CONTENT), Equals(0))
        await site.stop()

    run_virtually(play())
