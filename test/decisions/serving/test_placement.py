"""Placing under load, against the former ways on the same arrivals."""

import collections
import heapq
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, Is, LessThan

from chervilrock.decisions.serving.lateness import Standing
from chervilrock.decisions.serving.placement import (
    Bound,
    choose,
    find_group_bound,
    GROUP_BOUND,
    LATE_PART,
    Load,
)
from chervilrock.decisions.serving.view import GroupEndpoint

SLOTS = 13
TARGET_S = 0.3
TOKENS = 135
STEP_S = 0.00364
PER_REQUEST_S = 0.00029
PREFILL_S = 0.025
NEWS_S = 0.25


def make_groups(count: int) -> list[GroupEndpoint]:
    return [
        GroupEndpoint(f"g{n}", n, "m", "s", f"i{n}", f"a{n}", f"d{n % 3}")
        for n in range(count)
    ]


class Batches:
    """Groups in the time model of the engines, coarsely: a request holds its
    place for the prompts before it and its tokens at the pace of the batch."""

    def __init__(self, groups: list[GroupEndpoint]) -> None:
        self.running: collections.Counter[str] = collections.Counter()
        self.ends: list[tuple[float, str]] = []
        self.reading: dict[str, float] = {one.server: 0.0 for one in groups}

    def advance(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, server = heapq.heappop(self.ends)
            self.running[server] -= 1

    def start(self, server: str, now: float) -> float:
        """Start a request and return when its first event comes."""
        self.running[server] += 1
        begin = max(now, self.reading[server])
        self.reading[server] = begin + PREFILL_S
        step = STEP_S + PER_REQUEST_S * self.running[server]
        first = self.reading[server] + 5 * step
        heapq.heappush(self.ends, (first + TOKENS * step, server))
        return first


def replay_start(late_part: float, *, waiting: int, per_s: float) -> float:
    """Return the part of new requests on time after an outage has ended."""
    groups = make_groups(6)
    batches = Batches(groups)
    generator = random.Random(3)
    backlog = [-1.0] * waiting
    on_time = asked = 0
    now = 0.0
    next_arrival = 0.0
    fresh: list[float] = []

    def place(bound: Bound) -> str | None:
        choice = choose(
            groups,
            lambda one: Load(0, batches.running[one.server], SLOTS, False),
            data_centre="d0",
            avoided=frozenset(),
            bound=bound,
            generator=generator,
        )
        return None if choice is None else choice.endpoint.server

    while now < 4.0:
        batches.advance(now)
        while next_arrival <= now:
            fresh.append(next_arrival)
            asked += 1
            next_arrival += 1 / per_s
        for arrived in list(fresh):
            server = place(GROUP_BOUND)
            if server is None or now - arrived > TARGET_S:
                continue
            fresh.remove(arrived)
            first = batches.start(server, now)
            on_time += first - arrived <= TARGET_S
        while backlog:
            server = place(Bound(late_part, 1.0))
            if server is None:
                break
            backlog.pop()
            batches.start(server, now)
        now = round(now + 0.01, 6)
    return on_time / asked


def test_late_requests_leave_room_for_those_that_can_be_on_time() -> None:
    former = replay_start(1.0, waiting=100, per_s=75.0)
    kept = replay_start(LATE_PART, waiting=100, per_s=75.0)
    assert_that(kept, GreaterThan(0.9))
    assert_that(former, LessThan(kept - 0.05))


def test_only_late_requests_keep_to_the_share_of_their_node() -> None:
    fresh = find_group_bound(Standing.ON_TIME, nodes=9)
    late = find_group_bound(Standing.LATE, nodes=9)
    assert_that(fresh == GROUP_BOUND, Is(True))
    idle = Load(0, 0, SLOTS, False)
    assert_that(late.allows(idle), Is(True))
    assert_that(late.allows(idle._replace(own=1)), Is(False))
    assert_that(late.allows(idle._replace(others=7)), Is(False))
    assert_that(fresh.allows(idle._replace(own=1, others=7)), Is(True))


@pytest.mark.parametrize("total", [SLOTS - 1, SLOTS])
def test_a_group_takes_as_many_requests_as_it_has_slots(total: int) -> None:
    load = Load(total, 0, SLOTS, False)
    assert_that(GROUP_BOUND.allows(load), Is(total < SLOTS))


def replay_stale_news(nodes: int, *, sampled: bool) -> int:
    """Return the fullest batch when all nodes know the same old loads."""
    groups = [one._replace(data_centre="d0") for one in make_groups(9)]
    generator = random.Random(5)
    running: collections.Counter[str] = collections.Counter()
    told: collections.Counter[str] = collections.Counter()
    fullest = 0

    def find_load(one: GroupEndpoint) -> Load:
        return Load(0, told[one.server], 1000, False)

    for step in range(4000):
        now = step * 0.005
        if step % int(NEWS_S / 0.005) == 0:
            told.clear()
            told.update(running)
        if step >= 200:
            ended = generator.choice(sorted(running.elements()))
            running[ended] -= 1
        if sampled:
            choice = choose(
                groups,
                find_load,
                data_centre="d0",
                avoided=frozenset(),
                bound=GROUP_BOUND,
                generator=generator,
            )
            assert choice is not None
            server = choice.endpoint.server
        else:
            server = min(groups, key=lambda one: told[one.server]).server
        running[server] += 1
        if now > 2.0:
            fullest = max(fullest, max(running.values()))
    return fullest


def test_nodes_with_news_of_the_same_age_do_not_all_choose_the_same() -> None:
    former = replay_stale_news(77, sampled=False)
    drawn = replay_stale_news(77, sampled=True)
    assert_that(drawn, LessThan(former))


def test_a_doubted_group_is_taken_only_when_there_is_no_other() -> None:
    groups = make_groups(2)

    def find_load(group: GroupEndpoint) -> Load:
        return Load(
            0, 9 if group.group == "g1" else 0, SLOTS, group == groups[0]
        )

    generator = random.Random(1)
    choice = choose(
        groups,
        find_load,
        data_centre="d0",
        avoided=frozenset(),
        bound=GROUP_BOUND,
        generator=generator,
    )
    assert choice is not None
    assert_that(choice.endpoint == groups[1], Is(True))
    alone = choose(
        groups,
        find_load,
        data_centre="d0",
        avoided=frozenset({"i1"}),
        bound=GROUP_BOUND,
        generator=generator,
    )
    assert alone is not None
    assert_that(alone.endpoint == groups[0], Is(True))


def test_full_groups_take_nothing() -> None:
    choice = choose(
        make_groups(3),
        lambda one: Load(3, SLOTS - 3, SLOTS, False),
        data_centre="d0",
        avoided=frozenset(),
        bound=GROUP_BOUND,
        generator=random.Random(1),
    )
    assert_that(choice is None, Is(True))
