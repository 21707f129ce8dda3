"""Whom a leader speaks to, and what it keeps of their answers."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan, Not

from chervilrock.decisions.serving.relays import (
    KEEP_S,
    LEAST_RELAYED,
    RelayTable,
    REST_S,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    add_up,
    NodeEntry,
    summarize,
    Summary,
)


def make_node(name: str, place: str, cores: float = 1.0) -> NodeEntry:
    """Return a node of a data centre."""
    return NodeEntry(
        node=name,
        incarnation=f"i-{name}",
        peer_address="127.0.0.1:1",
        callers_address="127.0.0.1:2",
        data_centre=place,
        cores=cores,
    )


def make_place(place: str, count: int = LEAST_RELAYED + 1) -> list[NodeEntry]:
    """Return the nodes of a data centre, the third of them the strongest."""
    return [
        make_node(f"{place}{number}", place, 2.0 if number == 2 else 1.0)
        for number in range(count)
    ]


def test_one_strong_node_relays_in_each_large_data_centre() -> None:
    table = RelayTable(data_centre="a")
    near = make_place("a")
    circle = table.choose(near + make_place("b") + make_place("c"), 0.0)
    assert_that(circle.relays, Equals(frozenset({"i-b2", "i-c2"})))
    assert_that(circle.nodes, HasLength(len(near) + 2))
    assert_that(set(near) <= set(circle.nodes), Equals(True))


def test_a_small_data_centre_is_spoken_to_directly() -> None:
    table = RelayTable(data_centre="a")
    small = make_place("b", LEAST_RELAYED)
    circle = table.choose(small, 0.0)
    assert_that(circle.nodes, Equals(tuple(small)))
    assert_that(circle.relays, HasLength(0))


def test_a_relay_that_does_not_answer_is_replaced_and_rests() -> None:
    table = RelayTable(data_centre="a")
    nodes = make_place("b")
    table.choose(nodes, 0.0)
    table.note_failure("i-b2", 1.0)
    (second,) = table.choose(nodes, 1.0).relays
    assert_that(second, Not(Equals("i-b2")))
    # The one that works is kept, also when the stronger one has rested.
    later = 1.0 + 2 * REST_S
    assert_that(table.choose(nodes, later).relays, Equals(frozenset({second})))
    table.note_failure(second, later)
    assert_that(table.choose(nodes, later).relays, Equals(frozenset({"i-b2"})))


def test_a_relay_is_found_while_most_nodes_of_the_place_are_lost() -> None:
    # All nodes of a data centre were killed; one process is back so far.
    table = RelayTable(data_centre="a")
    nodes = make_place("b", 26)
    alive = "i-b25"
    calls = 0
    chosen = ""
    while chosen != alive:
        (chosen,) = table.choose(nodes, calls * 0.01).relays
        table.note_failure(chosen, calls * 0.01)
        calls += 1
    assert_that(calls, LessThan(len(nodes) + 1))


def test_answers_of_a_place_stay_while_its_relay_is_replaced() -> None:
    table = RelayTable(data_centre="a")
    nodes = make_place("b")
    table.choose(nodes, 0.0)
    answer = Summary(nodes=("i-b0",), loads={"head": 3})
    table.note_answer(nodes[2], answer, 0.0)
    table.note_failure("i-b2", 0.6)
    table.choose(nodes, 0.6)
    assert_that(table.list_answers(0.7), Equals([answer]))
    assert_that(table.list_answers(KEEP_S + 0.1), HasLength(0))


def test_answers_of_a_place_go_with_its_nodes() -> None:
    table = RelayTable(data_centre="a")
    table.choose(make_place("b"), 0.0)
    table.note_answer(make_node("b2", "b"), Summary(nodes=("i-b0",)), 0.0)
    table.choose([], 0.1)
    assert_that(table.list_answers(0.1), HasLength(0))


def make_answer(node: str, **changes: object) -> Acknowledgement:
    """Return the answer of a node."""
    answer = Acknowledgement(
        term=3,
        node=make_node(node, "b"),
        is_taking_callers=True,
        version=(3, 1),
        nodes_version=(3, 1),
        revision=5,
        loads={"head": 2},
        silent=("head",),
        has_traffic=False,
    )
    return answer._replace(**changes)  # type: ignore[arg-type]


def test_answers_are_added_up() -> None:
    total = add_up(
        [
            summarize(make_answer("b0")),
            summarize(make_answer("b1", is_taking_callers=False, revision=7)),
            summarize(make_answer("b2", term=4, has_traffic=True, silent=())),
        ]
    )
    assert_that(list(total.nodes), Equals(["i-b0", "i-b2"]))
    assert_that(dict(total.loads), Equals({"head": 6}))
    assert_that(dict(total.silent), Equals({"head": 2}))
    assert_that(total.term, Equals(4))
    assert_that(total.revision, Equals(7))
    assert total.holder is not None
    assert_that(total.holder.node, Equals("b1"))
    assert_that(total.has_traffic, Equals(True))
