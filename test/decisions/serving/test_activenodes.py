"""Which nodes callers are told to use."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.activenodes import (
    ActiveNodes,
    HOLD_S,
    LEAST_NODES,
)
from chervilrock.decisions.serving.view import NodeEntry

PLACES = ("a", "b", "c", "d", "e")
STRONG = 2.0
WEAK = 0.5


def make_fleet(count: int = 39, places: tuple[str, ...] = PLACES):
    return [
        NodeEntry(
            node=f"{place}-{number:02}",
            incarnation=f"i-{place}-{number:02}",
            peer_address="127.0.0.1:1",
            callers_address=f"127.0.0.1:{number}",
            data_centre=place,
            cores=STRONG if number < 3 else WEAK,
        )
        for place in places
        for number in range(count)
    ]


def choose(fleet, running: int, *, place: str = "b", leader: str | None = "z"):
    return ActiveNodes().choose(
        fleet, data_centre=place, leader=leader, running=running, now=0.0
    )


def test_callers_are_told_of_as_many_nodes_as_the_traffic_needs() -> None:
    fleet = make_fleet()
    assert_that(choose(fleet, 0), HasLength(LEAST_NODES))
    # 200 in each data centre at the most; 30 at a node of half a core.
    assert_that(choose(fleet, 500), HasLength(7))
    assert_that(choose(fleet, 5000), HasLength(39))


def test_a_greater_choice_contains_the_smaller_one() -> None:
    fleet = make_fleet()
    chosen = [set(choose(fleet, running)) for running in range(0, 3000, 100)]
    for smaller, greater in zip(chosen, chosen[1:], strict=False):
        assert_that(smaller <= greater, Is(True))


def test_strong_nodes_come_first_and_the_leader_last() -> None:
    fleet = make_fleet()
    names = [one.node for one in choose(fleet, 0)]
    assert_that(names, Equals(["b-02", "b-01", "b-00", "b-38"]))
    names = [one.node for one in choose(fleet, 0, leader="b-01")]
    assert_that(names, Equals(["b-02", "b-00", "b-38", "b-37"]))


def test_a_small_data_centre_is_told_whole_with_its_leader() -> None:
    fleet = make_fleet(3)
    chosen = choose(fleet, 10, leader="b-00")
    assert_that({one.node for one in chosen}, Equals({"b-00", "b-01", "b-02"}))


def test_without_a_leader_callers_are_told_of_all_nodes() -> None:
    assert_that(choose(make_fleet(), 0, leader=None), HasLength(39))


def test_callers_of_a_lost_data_centre_are_told_of_the_other_ones() -> None:
    fleet = make_fleet(places=("a", "c"))
    chosen = choose([*fleet, make_fleet(1, ("b",))[0]], 100)
    assert_that(chosen, HasLength(LEAST_NODES))


def test_the_choice_shrinks_only_after_some_seconds() -> None:
    fleet = make_fleet()
    table = ActiveNodes()

    def count(running: int, now: float) -> int:
        return len(
            table.choose(
                fleet, data_centre="b", leader="z", running=running, now=now
            )
        )

    wide = count(500, 0.0)
    assert_that(count(0, HOLD_S), Equals(wide))
    assert_that(count(0, HOLD_S + 0.1), Equals(LEAST_NODES))
