"""Prompt parts that crash servers, at the sizes of real installations.

A rule of the platform's users: of the requests with such a part at most three
reach servers later than 3 s after the fifth crash, and sound requests that
share its first part go on being served.
"""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from test.tasks.installation import Fault, Installation
from test.tasks.part_traffic import COMMON, PartTraffic, STABLE_S
from test.tasks.virtual_time import run_virtually

ALLOWED_SENDS = 3
BAD = "bad1"
RIDER = "a1d"
SOUND = [[COMMON, f"50f{number}"] for number in range(6)]
SOUND_WITH_RIDER = [[COMMON, "50f1", RIDER], [COMMON, "50f2"]]
RATE = 8.0
SOUND_RATE = 60.0
SEEN_PER_NODE = 30
"""Sound requests that each node has seen, in the mean, when a scenario begins.
"""

SECONDS = 7.0
DATA_CENTRES = 3
SERVERS = 24
NODE_COUNTS = (7, 77)


async def start(
    monkeypatch, nodes: int, *, warm_up_s: float = 3.0
) -> tuple[Installation, PartTraffic]:
    """Start nodes, and send sound requests until each node has seen some."""
    site = Installation(monkeypatch=monkeypatch, seed=1)
    await site.start(nodes=nodes, data_centres=DATA_CENTRES)
    await asyncio.sleep(3.0)
    traffic = PartTraffic(site=site, servers=SERVERS)
    await traffic.send_sound(warm_up_s, SEEN_PER_NODE * nodes / 3.0, SOUND)
    return site, traffic


async def kill_leader(site: Installation, traffic: PartTraffic) -> None:
    """Kill the leader after the second crash under the part."""
    await site.wait_until(lambda: len(traffic.crashes.get(BAD, ())) > 1, 9.0)
    site.kill(site.find_leader() or "")


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("parts", [[COMMON, BAD], [BAD, COMMON]])
def test_a_part_is_withheld_from_all_nodes(monkeypatch, nodes, parts):
    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes)
        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND),
            traffic.send_crashing(SECONDS, RATE, parts, BAD),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_late(BAD), Equals(0))
    assert_that(traffic.count_withheld_sound(), Equals(0))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("is_store_silent", [False, True])
def test_the_loss_of_the_leader_does_not_start_the_count_anew(
    monkeypatch, nodes, is_store_silent
):
    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes)
        if is_store_silent:
            site.begin_fault(Fault.SILENT)
        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND),
            traffic.send_crashing(SECONDS, RATE, [COMMON, BAD], BAD),
            kill_leader(site, traffic),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_late(BAD), LessThan(ALLOWED_SENDS + 1))
    late = traffic.crashes[BAD][0] + 2 * STABLE_S
    assert_that(traffic.count_withheld_sound(late), Equals(0))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_a_part_that_always_comes_with_another_is_withheld(monkeypatch, nodes):
    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes)
        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND_WITH_RIDER),
            traffic.send_crashing(SECONDS, RATE, [COMMON, BAD, RIDER], BAD),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_late(BAD), Equals(0))
    assert_that(traffic.count_withheld_sound(), Equals(0))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_three_parts_at_once_are_each_withheld(monkeypatch, nodes):
    bad = ("bad1", "bad2", "bad3")

    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes)
        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND),
            *(
                traffic.send_crashing(SECONDS, RATE / 3, [COMMON, part], part)
                for part in bad
            ),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that([traffic.count_late(part) for part in bad], Equals([0, 0, 0]))
    assert_that(traffic.count_withheld_sound(), Equals(0))


def test_a_part_is_withheld_from_nodes_that_have_just_started(monkeypatch):
    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, 7, warm_up_s=0.0)
        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND),
            traffic.send_crashing(SECONDS, RATE, [COMMON, BAD], BAD),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_late(BAD), LessThan(ALLOWED_SENDS + 1))
    assert_that(traffic.count_withheld_sound(), Equals(0))


# Failure: the first part of all prompts was withheld from nodes that had just
# started, and no request with it was tried within the hour.
@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_a_common_part_that_no_request_has_passed_is_tried_again(
    monkeypatch, nodes
):
    bad = ("bad1", "bad2", "bad3")

    async def play() -> tuple[PartTraffic, float]:
        site, traffic = await start(monkeypatch, nodes, warm_up_s=0.0)
        attacks = [
            asyncio.ensure_future(
                traffic.send_crashing(
                    3 * SECONDS, RATE / 3, [COMMON, part], part
                )
            )
            for part in bad
        ]
        await asyncio.sleep(SECONDS)
        since = site.loop.time() + 2 * STABLE_S
        await traffic.send_sound(2 * SECONDS, SOUND_RATE, SOUND)
        await asyncio.gather(*attacks)
        await site.stop()
        return traffic, since

    traffic, since = run_virtually(play())
    for part in bad:
        assert_that(traffic.count_late(part), LessThan(ALLOWED_SENDS + 1))
    assert_that(traffic.count_withheld_sound(since), Equals(0))


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_trials_of_a_cause_with_many_companions_are_bounded(monkeypatch, nodes):
    companions = [f"50f{number}" for number in range(60)]

    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes, warm_up_s=0.0)
        await asyncio.gather(
            *(
                traffic.send_crashing(
                    5 * SECONDS, RATE / len(companions), [BAD, companion], BAD
                )
                for companion in companions
            )
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_late(BAD), LessThan(ALLOWED_SENDS + 1))


# Failure: one content that all callers send was withheld after three servers
# had crashed within seconds for other reasons.
@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_no_sound_request_is_withheld_when_servers_crash_by_themselves(
    monkeypatch, nodes
):
    async def play() -> PartTraffic:
        site, traffic = await start(monkeypatch, nodes)

        async def crash_later() -> None:
            await asyncio.sleep(2.0)
            await traffic.crash_others(SECONDS - 2.0, 4.0)

        await asyncio.gather(
            traffic.send_sound(SECONDS, SOUND_RATE, SOUND_WITH_RIDER),
            crash_later(),
        )
        await site.stop()
        return traffic

    traffic = run_virtually(play())
    assert_that(traffic.count_withheld_sound(), Equals(0))
