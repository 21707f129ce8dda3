"""Groups that follow the demand, while hosts are lost and turn slow."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength, LessThan

from test.decisions.serving.fleet import ENGINE, Fleet, STEP_S

DEMAND = {"large": 29, "small": 70}
"""Requests that run; 3 large groups hold 39, and 7 small ones 91."""


def find_members(fleet: Fleet) -> list[str]:
    """Return the living members of all groups that serve, sorted."""
    return sorted(
        name
        for group in fleet.controller.list_groups(fleet.now)
        for name in fleet.servers[group.server].members
        if not fleet.servers[name].is_dead
    )


def lose_hosts(fleet: Fleet, count: int) -> None:
    """Let members of groups go silent, as their callers notice at once."""
    for name in fleet.generator.sample(find_members(fleet), count):
        fleet.kill(name)
    fleet.run(0.25)
    for group in fleet.controller.list_groups(fleet.now):
        members = fleet.servers[group.server].members
        if any(fleet.servers[name].is_dead for name in members):
            fleet.controller.note_silent(group.group, fleet.now)


def run_losses(seed: int, seconds: float) -> dict[str, float]:
    """Lose two hosts each three seconds.

    Returns:
      The seconds in which each model could not run all of its requests.
    """
    fleet = Fleet(domains=6, hosts=10, seed=seed)
    fleet.run(8.0)
    fleet.start_traffic()
    fleet.demand = DEMAND
    short = dict.fromkeys(DEMAND, 0.0)
    begin = fleet.now
    while fleet.now < begin + seconds:
        lose_hosts(fleet, 2)
        for _ in range(55):
            fleet.run(STEP_S)
            serving = fleet.serving()
            for model, demand in DEMAND.items():
                places = serving.get(model, 0) * ENGINE.slots
                short[model] += STEP_S if places < demand else 0.0
    assert_that(fleet.violations, HasLength(0))
    return short


def test_models_keep_their_places_while_hosts_are_lost() -> None:
    # 18 of 60 hosts are lost in 27 s. With groups by the configured share, and
    # survivors that wait 16 s for a load to complete them, the large model was
    # short for 5.3 s in the mean of these seeds, the small one for 1.3 s.
    runs = [run_losses(seed, 27.0) for seed in range(6)]
    short = sum(run["large"] for run in runs) / len(runs)
    assert_that(short, LessThan(1.5))
    assert_that(sum(run["small"] for run in runs) / len(runs), LessThan(1.0))


@pytest.mark.parametrize("seed", range(3))
def test_hosts_go_to_the_model_whose_demand_grows(seed: int) -> None:
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
def test_groups_stay_while_the_demand_goes_up_and_down(seed: int) -> None:
    fleet = Fleet(domains=6, hosts=10, seed=seed)
    fleet.run(8.0)
    fleet.start_traffic()
    fleet.demand = {"large": 30, "small": 60}
    fleet.run(6.0)
    before = {one.group for one in fleet.controller.list_groups(fleet.now)}
    for turn in range(10):
        large, small = (45, 40) if turn % 2 else (20, 90)
        fleet.demand = {"large": large, "small": small}
        fleet.run(1.0)
    after = {one.group for one in fleet.controller.list_groups(fleet.now)}
    assert_that(before - after, HasLength(0))
