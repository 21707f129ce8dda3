"""Which nodes get announcements directly, and the answers of relays."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan, Not

from chervilrock.decisions.serving.nodes.relays import (
    ANSWER_TTL_S,
    MAX_DIRECT_NODES,
    RELAY_BACKOFF_S,
    RelayTable,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    merge_summaries,
    NodeEntry,
    summarize,
    Summary,
)


def make_node(name: str, data_centre: str, cores: float = 1.0) -> NodeEntry:
    """Return a node of a data centre."""
    return NodeEntry(
        node=name,
        incarnation=f"i-{name}",
        peer_address="127.0.0.1:1",
        callers_address="127.0.0.1:2",
        data_centre=data_centre,
        cores=cores,
    )


def make_data_centre(
    data_centre: str, count: int = MAX_DIRECT_NODES + 1
) -> list[NodeEntry]:
    """Return the nodes of a data centre, the third of them the strongest."""
    return [
        make_node(
            f"{data_centre}{number}", data_centre, 2.0 if number == 2 else 1.0
        )
        for number in range(count)
    ]


def test_one_strong_node_relays_in_each_large_data_centre() -> None:
    table = RelayTable(data_centre="a")
    near = make_data_centre("a")
    recipients = table.choose(
        near + make_data_centre("b") + make_data_centre("c"), 0.0
    )
    assert_that(recipients.relays, Equals(frozenset({"i-b2", "i-c2"})))
    assert_that(recipients.nodes, HasLength(len(near) + 2))
    assert_that(set(near) <= set(recipients.nodes), Equals(True))


def test_a_small_data_centre_gets_announcements_directly() -> None:
    table = RelayTable(data_centre="a")
    small = make_data_centre("b", MAX_DIRECT_NODES)
    recipients = table.choose(small, 0.0)
    assert_that(recipients.nodes, Equals(tuple(small)))
    assert_that(recipients.relays, HasLength(0))


def test_a_relay_that_does_not_answer_is_replaced_and_avoided() -> None:
    table = RelayTable(data_centre="a")
    nodes = make_data_centre("b")
    table.choose(nodes, 0.0)
    table.record_failure("i-b2", 1.0)
    (second,) = table.choose(nodes, 1.0).relays
    assert_that(second, Not(Equals("i-b2")))
    # A working relay is kept, even when the stronger one may be chosen again.
    later = 1.0 + 2 * RELAY_BACKOFF_S
    assert_that(table.choose(nodes, later).relays, Equals(frozenset({second})))
    table.record_failure(second, later)
    assert_that(table.choose(nodes, later).relays, Equals(frozenset({"i-b2"})))


def test_a_relay_is_found_while_most_of_its_data_centre_is_lost() -> None:
    # All nodes of a data centre were killed and one of them has restarted.
    table = RelayTable(data_centre="a")
    nodes = make_data_centre("b", 26)
    alive = "i-b25"
    calls = 0
    chosen = ""
    while chosen != alive:
        (chosen,) = table.choose(nodes, calls * 0.01).relays
        table.record_failure(chosen, calls * 0.01)
        calls += 1
    assert_that(calls, LessThan(len(nodes) + 1))


def test_answers_are_kept_while_the_relay_is_replaced() -> None:
    table = RelayTable(data_centre="a")
    nodes = make_data_centre("b")
    table.choose(nodes, 0.0)
    answer = Summary(nodes=("i-b0",), loads={"head": 3})
    table.record_relay_answer(nodes[2], answer, 0.0)
    table.record_failure("i-b2", 0.6)
    table.choose(nodes, 0.6)
    assert_that(table.list_answers(0.7), Equals([answer]))
    assert_that(table.list_answers(ANSWER_TTL_S + 0.1), HasLength(0))


def test_answers_of_a_data_centre_are_dropped_with_its_nodes() -> None:
    table = RelayTable(data_centre="a")
    table.choose(make_data_centre("b"), 0.0)
    table.record_relay_answer(
        make_node("b2", "b"), Summary(nodes=("i-b0",)), 0.0
    )
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
        stalled=("head",),
        has_traffic=False,
    )
    return answer._replace(**changes)  # type: ignore[arg-type]


def test_summaries_are_merged() -> None:
    total = merge_summaries(
        [
            summarize(make_answer("b0")),
            summarize(make_answer("b1", is_taking_callers=False, revision=7)),
            summarize(make_answer("b2", term=4, has_traffic=True, stalled=())),
        ]
    )
    assert_that(list(total.nodes), Equals(["i-b0", "i-b2"]))
    assert_that(dict(total.loads), Equals({"head": 6}))
    assert_that(dict(total.stalled), Equals({"head": 2}))
    assert_that(total.term, Equals(4))
    assert_that(total.revision, Equals(7))
    assert total.holder is not None
    assert_that(total.holder.node, Equals("b1"))
    assert_that(total.has_traffic, Equals(True))
