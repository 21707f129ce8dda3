"""Avoidance of failing groups, compared with placement by load alone."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
)

from chervilrock.decisions.serving.admission.failures import (
    BACKOFF_FACTOR,
    exclude_failing,
    FIRST_AVOIDANCE_S,
    GroupFailures,
    MAX_AVOIDANCE_S,
)
from chervilrock.decisions.serving.admission.placement import (
    choose,
    GROUP_BOUND,
    Load,
)
from chervilrock.decisions.serving.view import GroupEndpoint

SLOTS = 24
GROUPS = 12
FAILING = frozenset({"g0", "g5"})
REQUESTS_PER_S = 20.0
ANSWER_S = 0.8
FAILURE_S = 0.03
REPLAY_S = 6.0


def replay(*, avoids_failing: bool) -> float:
    """Return the fraction of one node's sends that fail."""
    groups = [
        GroupEndpoint(f"g{n}", n, "m", "s", f"g{n}", f"a{n}", "d")
        for n in range(GROUPS)
    ]
    generator = random.Random(4)
    failures = GroupFailures()
    avoided: dict[str, float] = {}
    running: list[tuple[float, str]] = []
    sends = failed = 0
    now = 0.0
    while now < REPLAY_S:
        now += generator.expovariate(REQUESTS_PER_S)
        for end, name in [item for item in running if item[0] <= now]:
            running.remove((end, name))
            if name not in FAILING:
                failures.record_success(name)
            elif avoids_failing:
                avoided[name] = end + failures.record_failure(name)
        loads = [name for _, name in running]
        failing = {name for name, end in avoided.items() if end > now}
        choice = choose(
            [group for group in groups if group.group not in failing],
            lambda group, loads=loads: Load(  # type: ignore[misc]
                loads.count(group.group),
                0 if group.group in FAILING else 8,
                SLOTS,
                False,
            ),
            data_centre="d",
            avoided=frozenset(),
            bound=GROUP_BOUND,
            generator=generator,
        )
        assert choice is not None
        name = choice.endpoint.group
        sends += 1
        failed += name in FAILING
        lasts_s = FAILURE_S if name in FAILING else ANSWER_S
        running.append((now + lasts_s, name))
    return failed / sends


def test_failing_groups_get_few_requests() -> None:
    assert_that(replay(avoids_failing=False), GreaterThan(0.25))
    assert_that(replay(avoids_failing=True), LessThan(0.1))


def test_the_time_of_avoidance_grows_up_to_a_limit() -> None:
    failures = GroupFailures()
    times = [failures.record_failure("g") for _ in range(12)]
    assert_that(
        times[:2],
        Equals([FIRST_AVOIDANCE_S, FIRST_AVOIDANCE_S * BACKOFF_FACTOR]),
    )
    assert_that(times[-1], Equals(MAX_AVOIDANCE_S))


def test_a_success_resets_the_failures() -> None:
    failures = GroupFailures()
    for _ in range(5):
        failures.record_failure("g")
    failures.record_success("g")
    assert_that(failures.record_failure("g"), Equals(FIRST_AVOIDANCE_S))


def test_failures_of_removed_groups_are_forgotten() -> None:
    failures = GroupFailures()
    for name in ("g", "h"):
        failures.record_failure(name)
    failures.keep_only(frozenset({"h"}))
    assert_that(failures._counts, HasLength(1))


@pytest.mark.parametrize(
    ("failing", "left"), [("", "abcd"), ("ab", "cd"), ("abc", "abcd")]
)
def test_at_most_half_of_the_groups_are_excluded(
    failing: str, left: str
) -> None:
    # Requests that fail at all groups must not exclude any group.
    kept = exclude_failing("abcd", lambda group: group in failing)
    assert_that("".join(kept), Equals(left))


def test_a_request_waits_instead_of_going_to_a_failing_group() -> None:
    full = Load(0, SLOTS, SLOTS, False)
    empty = Load(0, 0, SLOTS, False)
    groups = [
        GroupEndpoint(f"g{n}", n, "m", "s", f"g{n}", f"a{n}", "d")
        for n in range(3)
    ]
    choice = choose(
        exclude_failing(groups, lambda group: group.group == "g0"),
        lambda group: empty if group.group == "g0" else full,
        data_centre="d",
        avoided=frozenset(),
        bound=GROUP_BOUND,
        generator=random.Random(1),
    )
    assert_that(choice is None, Is(True))
