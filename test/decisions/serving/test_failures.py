"""Groups that fail all they get, against placing by fullness alone."""

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

from chervilrock.decisions.serving.failures import (
    Failures,
    FIRST_S,
    GROWTH,
    leave_out,
    LONGEST_S,
)
from chervilrock.decisions.serving.placement import choose, GROUP_BOUND, Load
from chervilrock.decisions.serving.view import GroupEndpoint

SLOTS = 24
GROUPS = 12
FAILING = frozenset({"g0", "g5"})
PER_S = 20.0
ANSWER_S = 0.8
FAILURE_S = 0.03
PLAY_S = 6.0


def replay(*, learns: bool) -> float:
    """Return the part of one node's sends that fail."""
    groups = [
        GroupEndpoint(f"g{n}", n, "m", "s", f"g{n}", f"a{n}", "d")
        for n in range(GROUPS)
    ]
    generator = random.Random(4)
    failures = Failures()
    avoided: dict[str, float] = {}
    running: list[tuple[float, str]] = []
    sends = failed = 0
    now = 0.0
    while now < PLAY_S:
        now += generator.expovariate(PER_S)
        for end, name in [one for one in running if one[0] <= now]:
            running.remove((end, name))
            if name not in FAILING:
                failures.note_success(name)
            elif learns:
                avoided[name] = end + failures.note_failure(name)
        loads = [name for _, name in running]
        failing = {name for name, end in avoided.items() if end > now}
        choice = choose(
            [one for one in groups if one.group not in failing],
            lambda one, loads=loads: Load(  # type: ignore[misc]
                loads.count(one.group),
                0 if one.group in FAILING else 8,
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


def test_groups_that_fail_draw_few_requests() -> None:
    assert_that(replay(learns=False), GreaterThan(0.25))
    assert_that(replay(learns=True), LessThan(0.1))


def test_a_group_is_avoided_longer_each_time_up_to_a_bound() -> None:
    failures = Failures()
    times = [failures.note_failure("g") for _ in range(12)]
    assert_that(times[:2], Equals([FIRST_S, FIRST_S * GROWTH]))
    assert_that(times[-1], Equals(LONGEST_S))


def test_a_success_makes_up_for_all_failures() -> None:
    failures = Failures()
    for _ in range(5):
        failures.note_failure("g")
    failures.note_success("g")
    assert_that(failures.note_failure("g"), Equals(FIRST_S))


def test_groups_that_are_gone_are_forgotten() -> None:
    failures = Failures()
    for name in ("g", "h"):
        failures.note_failure(name)
    failures.keep_only(frozenset({"h"}))
    assert_that(failures._counts, HasLength(1))


@pytest.mark.parametrize(
    ("failing", "left"), [("", "abcd"), ("ab", "cd"), ("abc", "abcd")]
)
def test_no_more_than_half_of_the_groups_are_left_out(
    failing: str, left: str
) -> None:
    # Requests that fail everywhere must close no group.
    kept = leave_out("abcd", lambda one: one in failing)
    assert_that("".join(kept), Equals(left))


def test_a_request_waits_rather_than_go_to_a_group_that_fails() -> None:
    full = Load(0, SLOTS, SLOTS, False)
    empty = Load(0, 0, SLOTS, False)
    groups = [
        GroupEndpoint(f"g{n}", n, "m", "s", f"g{n}", f"a{n}", "d")
        for n in range(3)
    ]
    choice = choose(
        leave_out(groups, lambda one: one.group == "g0"),
        lambda one: empty if one.group == "g0" else full,
        data_centre="d",
        avoided=frozenset(),
        bound=GROUP_BOUND,
        generator=random.Random(1),
    )
    assert_that(choice is None, Is(True))
