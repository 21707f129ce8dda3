"""Requests that end servers, at the sizes and in the faults of installations.

The time within which all nodes withhold such a request is bounded by
arithmetic in docs/platform.md; a rule of the platform's users allows three
seconds and three more sends.
"""

import asyncio
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from chervilrock.decisions.serving.suspects import MAX_ENDS
from test.tasks.crashing_requests import come_often, CrashingRequest
from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

CONTENT = "brokers/0123456789abcdef"
BOUND_S = 2.0
"""Time within which all nodes know, also while a leader or a relay is lost."""

TIMES = 12
PAUSE_S = 0.05
SIZES = (9, 77)
PLACES = 3


async def start(monkeypatch, nodes: int, seed: int = 1) -> Installation:
    site = Installation(monkeypatch=monkeypatch, seed=seed)
    await site.start(nodes=nodes, places=PLACES)
    await asyncio.sleep(3.0)
    return site


def list_place(site: Installation, place: int) -> list[str]:
    return [
        address
        for address, member in site.members.items()
        if member.state.own.data_centre == f"p{place}"
    ]


@pytest.mark.parametrize("nodes", SIZES)
@pytest.mark.parametrize("seed", range(5))
def test_three_servers_end_and_no_fourth_one(monkeypatch, nodes, seed):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes, seed)
        request = CrashingRequest(site=site, content=CONTENT)
        generator = random.Random(seed)
        await come_often(site, request, generator, times=TIMES, pause_s=PAUSE_S)
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))
    assert_that(request.turned_away, GreaterThan(TIMES - MAX_ENDS - 1))


@pytest.mark.parametrize("nodes", SIZES)
def test_ends_that_three_data_centres_see_add_up(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        seers = [list_place(site, place)[-1] for place in range(PLACES)]
        await asyncio.gather(*(request.come(one) for one in seers))
        running = len(request.sends)
        await asyncio.sleep(0.5)
        await request.come_everywhere()
        await site.stop()
        assert_that(len(request.sends), Equals(running))
        return request

    request = run_virtually(play())
    assert_that(request.turned_away, GreaterThan(nodes - 1))


@pytest.mark.parametrize("nodes", SIZES)
@pytest.mark.parametrize("before", [0, 1, 2, 3])
@pytest.mark.parametrize("is_store_silent", [False, True])
def test_a_lost_leader_delays_the_news_by_less_than_the_bound(
    monkeypatch, nodes, before, is_store_silent
):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        leader = site.find_leader() or ""
        others = [one for one in site.members if one != leader]
        generator = random.Random(nodes)
        if is_store_silent:
            site.begin(Fault.SILENT)
        for number in range(MAX_ENDS):
            if number == before:
                site.kill(leader)
            await request.send(generator.choice(others))
            await asyncio.sleep(0.01)
        if before == MAX_ENDS:
            site.kill(leader)
        await asyncio.sleep(BOUND_S)
        await request.come_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))


def test_a_lost_relay_delays_the_news_by_less_than_the_bound(monkeypatch):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, 77)
        request = CrashingRequest(site=site, content=CONTENT)
        for address, member in list(site.members.items()):
            if member.task.is_relay:
                site.kill(address)
        generator = random.Random(1)
        for _ in range(MAX_ENDS):
            await request.send(generator.choice(sorted(site.members)))
        await asyncio.sleep(BOUND_S)
        await request.come_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))


@pytest.mark.parametrize("nodes", SIZES)
def test_parted_nodes_know_soon_after_they_are_back(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        leader = site.find_leader()
        parted = [one for one in list_place(site, 0) if one != leader][:2]
        site.parted.update(parted)
        await asyncio.sleep(1.0)
        whole = [one for one in site.members if one not in parted]
        for one in whole[:MAX_ENDS]:
            await request.send(one)
        await asyncio.sleep(1.0)
        site.parted.clear()
        await asyncio.sleep(BOUND_S)
        await asyncio.gather(*(request.come(one) for one in parted))
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))


@pytest.mark.parametrize("nodes", SIZES)
def test_a_node_that_has_just_started_knows(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        for one in list(site.members)[:MAX_ENDS]:
            await request.send(one)
        site.add("late", "p0")
        late = site.members["late"].state
        await site.wait(lambda: late.view.sequence > 0, 5.0)
        await request.come("late")
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))


@pytest.mark.parametrize("nodes", SIZES)
def test_a_loss_of_all_nodes_forgets_nothing(monkeypatch, nodes):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, nodes)
        request = CrashingRequest(site=site, content=CONTENT)
        for one in list(site.members)[:MAX_ENDS]:
            await request.send(one)
        await asyncio.sleep(0.5)
        for one in list(site.members):
            site.kill(one)
        for number in range(nodes):
            site.add(f"n{number:02}", f"p{number % PLACES}")
        states = [one.state for one in site.members.values()]
        await site.wait(
            lambda: all(one.view.sequence > 0 for one in states), 10.0
        )
        await request.come_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    assert_that(request.sends, HasLength(MAX_ENDS))
    assert_that(request.turned_away, Equals(nodes))


def test_what_comes_to_many_nodes_at_once_ends_no_more_than_ran(monkeypatch):
    async def play() -> CrashingRequest:
        site = await start(monkeypatch, 9)
        request = CrashingRequest(site=site, content=CONTENT)
        await request.come_everywhere()
        await request.come_everywhere()
        await site.stop()
        return request

    request = run_virtually(play())
    # All nodes send a second time in the moment in which the third server
    # ends; nothing begins after it.
    assert_that(request.count_needless(), Equals(0))
    assert_that(request.turned_away, Equals(9))


def test_several_such_requests_are_found_each(monkeypatch):
    async def play() -> list[CrashingRequest]:
        site = await start(monkeypatch, 9)
        requests = [
            CrashingRequest(site=site, content=f"{CONTENT}{number}")
            for number in range(5)
        ]
        await asyncio.gather(
            *(
                come_often(
                    site,
                    request,
                    random.Random(number),
                    times=TIMES,
                    pause_s=PAUSE_S,
                )
                for number, request in enumerate(requests)
            )
        )
        await site.stop()
        return requests

    for request in run_virtually(play()):
        assert_that(request.sends, HasLength(MAX_ENDS))


def test_a_request_that_runs_clean_is_cleared_everywhere(monkeypatch):
    async def play() -> None:
        site = await start(monkeypatch, 9)
        request = CrashingRequest(site=site, content=CONTENT)
        nodes = list(site.members)
        for one in nodes[:2]:
            await request.send(one)
        await asyncio.sleep(0.5)
        members = site.members.values()
        suspicions = [member.task.suspicion for member in members]
        for suspicion in suspicions:
            assert_that(suspicion.count_ends(CONTENT), Equals(2))
        suspicions[-1].note_clean(CONTENT)
        await asyncio.sleep(0.5)
        for suspicion in suspicions:
            assert_that(suspicion.count_ends(CONTENT), Equals(0))
        await site.stop()

    run_virtually(play())
