"""Which nodes send the requests of a node that reaches no server."""

from collections import Counter
import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan, StartsWith

from chervilrock.decisions.serving.nodes.detours import (
    choose_detour,
    find_retry_after,
)
from chervilrock.decisions.serving.view import NodeEntry


def make_node(name: str, data_centre: str) -> NodeEntry:
    return NodeEntry(name, f"{name}-1", f"{name}:1", f"{name}:2", data_centre)


OWN = make_node("own", "a")


def choose(nodes: list[NodeEntry], *tried: str, seed: int = 1) -> str:
    node = choose_detour(
        nodes,
        own=OWN,
        tried=frozenset(tried),
        generator=random.Random(seed),
    )
    return "" if node is None else node.node


def test_a_node_of_the_own_data_centre_is_chosen() -> None:
    nodes = [OWN, make_node("a1", "a"), make_node("a2", "a")]
    nodes += [make_node(f"b{number}", "b") for number in range(9)]
    chosen = {choose(nodes, seed=seed) for seed in range(40)}
    assert_that(chosen, Equals({"a1", "a2"}))
    assert_that(choose(nodes, "a1", "a2"), StartsWith("b"))


def test_a_single_node_left_in_a_data_centre_does_not_get_all() -> None:
    nodes = [make_node("a1", "a"), make_node("b1", "b"), make_node("c1", "c")]
    counts = Counter(choose(nodes, seed=seed) for seed in range(300))
    assert_that(max(counts.values()), LessThan(130))


def test_no_node_is_tried_twice() -> None:
    assert_that(choose([OWN, make_node("b", "b")], "b"), Equals(""))
    assert_that(choose([OWN]), Equals(""))


def test_rejected_callers_return_spread_over_a_second() -> None:
    generator = random.Random(1)
    returns = [find_retry_after(generator.random()) for _ in range(1000)]
    tenths = Counter(int(seconds * 10) for seconds in returns)
    assert_that(max(tenths.values()), LessThan(150))
