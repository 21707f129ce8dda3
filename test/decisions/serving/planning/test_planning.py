"""Rate limit on loads from the weight store."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.planning.planning import Planner
from test.decisions.serving.fleet import ENGINE


def make_planner() -> Planner:
    """Return the planner of a new leader while callers send requests."""
    planner = Planner(registry=GroupRegistry())
    planner.has_traffic = True
    return planner


@pytest.mark.parametrize("rate", [1.0, 4.0])
def test_a_change_of_leader_does_not_raise_the_rate_of_loads(
    rate: float,
) -> None:
    # Guards against a new leader that starts a load at once, regardless of the
    # loads that the previous leader started.
    engine = ENGINE._replace(loads_per_s=rate, loads_at_once=100)
    loads: list[float] = []
    planner = make_planner()
    for step in range(400):
        now = 0.05 * step
        if step % 6 == 0:
            planner = make_planner()
        if planner.acquire_load(engine, now):
            loads.append(now)
    most = max(
        (sum(end - 5.0 < start <= end for start in loads) for end in loads),
        default=0,
    )
    assert_that(most <= 1.1 * 5.0 * rate + 3.0, Is(True), str(most))
