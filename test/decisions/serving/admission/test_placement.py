"""Placement under load, compared with simpler policies on the same arrivals."""

import collections
import heapq
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.placement import (
    Bound,
    choose,
    find_group_bound,
    GROUP_BOUND,
    LATE_FRACTION,
    Load,
)
from chervilrock.decisions.serving.view import GroupEndpoint

SLOTS = 13
TARGET_S = 0.3
TOKENS = 135
STEP_S = 0.00364
PER_REQUEST_S = 0.00029
PREFILL_S = 0.025
ANNOUNCEMENT_INTERVAL_S = 0.25


def make_groups(count: int) -> list[GroupEndpoint]:
    return [
        GroupEndpoint(f"g{n}", n, "m", "s", f"i{n}", f"a{n}", f"d{n % 3}")
        for n in range(count)
    ]


class Batches:
    """Groups in a coarse time model of the engines.

    A request keeps its slot while the prompts before it are processed and while
    its tokens are generated at the speed of the batch.
    """

    def __init__(self, groups: list[GroupEndpoint]) -> None:
        self.running: collections.Counter[str] = collections.Counter()
        self.ends: list[tuple[float, str]] = []
        self.prompts_until: dict[str, float] = {
            one.server: 0.0 for one in groups
        }

    def advance(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, server = heapq.heappop(self.ends)
            self.running[server] -= 1

    def start(self, server: str, now: float) -> float:
        """Start a request and return when its first event comes."""
        self.running[server] += 1
        start_time = max(now, self.prompts_until[server])
        self.prompts_until[server] = start_time + PREFILL_S
        step = STEP_S + PER_REQUEST_S * self.running[server]
        first = self.prompts_until[server] + 5 * step
        heapq.heappush(self.ends, (first + TOKENS * step, server))
        return first


def replay_start(
    late_fraction: float, *, late_requests: int, per_s: float
) -> float:
    """Return the fraction of new requests on time after an outage."""
    groups = make_groups(6)
    batches = Batches(groups)
    generator = random.Random(3)
    backlog = [-1.0] * late_requests
    on_time = arrived_count = 0
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
            arrived_count += 1
            next_arrival += 1 / per_s
        for arrived in list(fresh):
            server = place(GROUP_BOUND)
            if server is None or now - arrived > TARGET_S:
                continue
            fresh.remove(arrived)
            first = batches.start(server, now)
            on_time += first - arrived <= TARGET_S
        while backlog:
            server = place(Bound(late_fraction, 1.0))
            if server is None:
                break
            backlog.pop()
            batches.start(server, now)
        now = round(now + 0.01, 6)
    return on_time / arrived_count


def test_late_requests_leave_slots_for_those_that_can_be_on_time() -> None:
    baseline = replay_start(1.0, late_requests=100, per_s=75.0)
    with_bound = replay_start(LATE_FRACTION, late_requests=100, per_s=75.0)
    assert_that(with_bound, GreaterThan(0.9))
    assert_that(baseline, LessThan(with_bound - 0.05))


def test_only_late_requests_are_limited_to_the_share_of_a_node() -> None:
    fresh = find_group_bound(Timeliness.ON_TIME, nodes=9)
    late = find_group_bound(Timeliness.LATE, nodes=9)
    assert_that(fresh == GROUP_BOUND, Is(True))
    idle = Load(0, 0, SLOTS, False)
    assert_that(late.allows(idle), Is(True))
    assert_that(late.allows(idle._replace(own=1)), Is(False))
    assert_that(late.allows(idle._replace(others=7)), Is(False))
    assert_that(fresh.allows(idle._replace(own=1, others=7)), Is(True))


@pytest.mark.parametrize("total", [SLOTS - 1, SLOTS])
def test_a_group_accepts_as_many_requests_as_it_has_slots(total: int) -> None:
    load = Load(total, 0, SLOTS, False)
    assert_that(GROUP_BOUND.allows(load), Is(total < SLOTS))


def replay_stale_loads(nodes: int, *, sampled: bool) -> int:
    """Return the largest batch when all nodes have the same stale loads."""
    groups = [one._replace(data_centre="d0") for one in make_groups(9)]
    generator = random.Random(5)
    running: collections.Counter[str] = collections.Counter()
    announced: collections.Counter[str] = collections.Counter()
    fullest = 0

    def find_load(one: GroupEndpoint) -> Load:
        return Load(0, announced[one.server], 1000, False)

    for step in range(4000):
        now = step * 0.005
        if step % int(ANNOUNCEMENT_INTERVAL_S / 0.005) == 0:
            announced.clear()
            announced.update(running)
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
            server = min(groups, key=lambda one: announced[one.server]).server
        running[server] += 1
        if now > 2.0:
            fullest = max(fullest, max(running.values()))
    return fullest


def test_nodes_with_the_same_stale_loads_choose_different_groups() -> None:
    baseline = replay_stale_loads(77, sampled=False)
    sampled_max = replay_stale_loads(77, sampled=True)
    assert_that(sampled_max, LessThan(baseline))


def test_a_deprioritized_group_is_chosen_only_if_there_is_no_other() -> None:
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


def test_full_groups_get_no_requests() -> None:
    choice = choose(
        make_groups(3),
        lambda one: Load(3, SLOTS - 3, SLOTS, False),
        data_centre="d0",
        avoided=frozenset(),
        bound=GROUP_BOUND,
        generator=random.Random(1),
    )
    assert_that(choice is None, Is(True))
