"""Which nodes are announced to callers."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.nodes.activenodes import (
    ActiveNodes,
    MIN_ACTIVE_NODES,
    PEAK_WINDOW_S,
)
from chervilrock.decisions.serving.view import NodeEntry

DATA_CENTRES = ("a", "b", "c", "d", "e")
STRONG_CORES = 2.0
WEAK_CORES = 0.5


def make_nodes(count: int = 39, data_centres: tuple[str, ...] = DATA_CENTRES):
    return [
        NodeEntry(
            node=f"{data_centre}-{number:02}",
            incarnation=f"i-{data_centre}-{number:02}",
            peer_address="127.0.0.1:1",
            callers_address=f"127.0.0.1:{number}",
            data_centre=data_centre,
            cores=STRONG_CORES if number < 3 else WEAK_CORES,
        )
        for data_centre in data_centres
        for number in range(count)
    ]


def choose(
    nodes, running: int, *, data_centre: str = "b", leader: str | None = "z"
):
    return ActiveNodes().choose(
        nodes, data_centre=data_centre, leader=leader, running=running, now=0.0
    )


def test_callers_get_as_many_nodes_as_the_traffic_needs() -> None:
    nodes = make_nodes()
    assert_that(choose(nodes, 0), HasLength(MIN_ACTIVE_NODES))
    # At most 200 requests in each data centre and 30 on a node of half a core.
    assert_that(choose(nodes, 500), HasLength(7))
    assert_that(choose(nodes, 5000), HasLength(39))


def test_a_longer_choice_contains_a_shorter_one() -> None:
    nodes = make_nodes()
    chosen = [set(choose(nodes, running)) for running in range(0, 3000, 100)]
    for smaller, greater in zip(chosen, chosen[1:], strict=False):
        assert_that(smaller <= greater, Is(True))


def test_strong_nodes_come_first_and_the_leader_last() -> None:
    nodes = make_nodes()
    names = [node.node for node in choose(nodes, 0)]
    assert_that(names, Equals(["b-02", "b-01", "b-00", "b-38"]))
    names = [node.node for node in choose(nodes, 0, leader="b-01")]
    assert_that(names, Equals(["b-02", "b-00", "b-38", "b-37"]))


def test_callers_of_a_small_data_centre_get_all_its_nodes() -> None:
    nodes = make_nodes(3)
    chosen = choose(nodes, 10, leader="b-00")
    assert_that(
        {node.node for node in chosen}, Equals({"b-00", "b-01", "b-02"})
    )


def test_without_a_leader_callers_get_all_nodes() -> None:
    assert_that(choose(make_nodes(), 0, leader=None), HasLength(39))


def test_callers_of_a_lost_data_centre_get_nodes_of_the_others() -> None:
    nodes = make_nodes(data_centres=("a", "c"))
    chosen = choose([*nodes, make_nodes(1, ("b",))[0]], 100)
    assert_that(chosen, HasLength(MIN_ACTIVE_NODES))


def test_the_choice_shrinks_only_after_some_seconds() -> None:
    nodes = make_nodes()
    table = ActiveNodes()

    def count(running: int, now: float) -> int:
        return len(
            table.choose(
                nodes, data_centre="b", leader="z", running=running, now=now
            )
        )

    wide = count(500, 0.0)
    assert_that(count(0, PEAK_WINDOW_S), Equals(wide))
    assert_that(count(0, PEAK_WINDOW_S + 0.1), Equals(MIN_ACTIVE_NODES))
