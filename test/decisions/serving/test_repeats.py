"""The bound of repeats that all nodes share, whatever becomes of them."""

from collections.abc import Iterable, Mapping

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from test.decisions.serving.repeat_fleet import Fleet, Size, SIZES

CALM_S = 14.0
"""Time for which all answers are good, longer than a window."""


def play_restarts(size: Size, restarts: Mapping[float, Iterable[int]]) -> Fleet:
    """Let all requests fail after a calm time while nodes start again."""
    fleet = Fleet(size=size)
    fleet.play(until=CALM_S + 25.0, fails_from=CALM_S, restarts=restarts)
    return fleet


def assert_within_bound(fleet: Fleet) -> None:
    excess = fleet.find_excess()
    assert_that(excess.arrivals, LessThan(excess.allowed + 1e-6), str(excess))


def test_restarts_do_not_renew_what_was_spent() -> None:
    # Each process that started again had forgotten what it had sent again.
    for size in SIZES:
        everyone = range(size.nodes)
        for restarts in (
            {CALM_S + 4.0: everyone},
            {CALM_S + 0.1: everyone},
            {CALM_S + 9.0: everyone},
            {CALM_S + 3.0 * turn: everyone for turn in range(1, 6)},
        ):
            assert_within_bound(play_restarts(size, restarts))
