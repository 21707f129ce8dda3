"""Tests that groups follow the demand while hosts are lost."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength, LessThan

from test.decisions.serving.fleet import ENGINE, Fleet, STEP_S

DEMAND = {"large": 29, "small": 70}
"""Concurrent requests; 3 large groups have 39 slots, and 7 small ones 91."""


def find_members(fleet: Fleet) -> list[str]:
    """Return the live members of all serving groups, sorted."""
    return sorted(
        name
        for group in fleet.controller.list_groups(fleet.now)
        for name in fleet.servers[group.server].members
        if not fleet.servers[name].is_dead
    )


def lose_hosts(fleet: Fleet, count: int) -> None:
    """Kill members of groups, and report the stalled streams at once."""
    for name in fleet.generator.sample(find_members(fleet), count):
        fleet.kill(name)
    fleet.run(0.25)
    for group in fleet.controller.list_groups(fleet.now):
        members = fleet.servers[group.server].members
        if any(fleet.servers[name].is_dead for name in members):
            fleet.controller.record_stall(group.group, fleet.now)


def run_losses(seed: int, seconds: float) -> dict[str, float]:
    """Lose two hosts every three seconds.

    Returns:
      The seconds for which each model was short of slots.
    """
    fleet = Fleet(domains=6, hosts=10, seed=seed)
    fleet.run(8.0)
    fleet.start_traffic()
    fleet.demand = DEMAND
    shortage_s = dict.fromkeys(DEMAND, 0.0)
    begin = fleet.now
    while fleet.now < begin + seconds:
        lose_hosts(fleet, 2)
        for _ in range(55):
            fleet.run(STEP_S)
            serving = fleet.serving()
            for model, demand in DEMAND.items():
                slots = serving.get(model, 0) * ENGINE.slots
                shortage_s[model] += STEP_S if slots < demand else 0.0
    assert_that(fleet.violations, HasLength(0))
    return shortage_s


def test_models_keep_their_slots_while_hosts_are_lost() -> None:
    # 18 of 60 hosts are lost in 27 s. When groups followed the configured
    # shares, and the remaining members waited 16 s for another host to load,
    # the mean shortage over these seeds was 5.3 s for the large model and
    # 1.3 s for the small one.
    runs = [run_losses(seed, 27.0) for seed in range(6)]
    mean_shortage_s = sum(run["large"] for run in runs) / len(runs)
    assert_that(mean_shortage_s, LessThan(1.5))
    assert_that(sum(run["small"] for run in runs) / len(runs), LessThan(1.0))


@pytest.mark.parametrize("seed", range(3))
def test_hosts_move_to_the_model_whose_demand_grows(seed: int) -> None:
    fleet = Fleet(domains=6, hosts=10, seed=seed)
    fleet.run(8.0)
    fleet.start_traffic()
    fleet.demand = {"large": 20, "small": 40}
    fleet.run(6.0)
    before = fleet.serving()
    fleet.demand = {"large": 110, "small": 40}
    fleet.run(12.0)
    after = fleet.serving()
    assert_that(after["large"], GreaterThan(before["large"]))
    assert_that(after["small"] * ENGINE.slots, GreaterThan(40))
    assert_that(fleet.violations, HasLength(0))


@pytest.mark.parametrize("seed", range(3))
def test_groups_are_kept_while_the_demand_fluctuates(seed: int) -> None:
    fleet = Fleet(domains=6, hosts=10, seed=seed)
    fleet.run(8.0)
    fleet.start_traffic()
    fleet.demand = {"large": 30, "small": 60}
    fleet.run(6.0)
    before = {group.group for group in fleet.controller.list_groups(fleet.now)}
    for turn in range(10):
        large, small = (45, 40) if turn % 2 else (20, 90)
        fleet.demand = {"large": large, "small": small}
        fleet.run(1.0)
    after = {group.group for group in fleet.controller.list_groups(fleet.now)}
    assert_that(before - after, HasLength(0))
