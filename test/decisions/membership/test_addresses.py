"""Tests of address answers: spread over nodes, spill-over, bounds."""

from collections import Counter
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
)

from chervilrock.decisions.membership.addresses import (
    answer_addresses,
    MAX_ADDRESSES,
)
from chervilrock.generated.interfaces import (
    AddressAnswer,
    NodePhase,
    PeerNode,
)
from test.decisions.membership.peer_nodes import make_node

CALLERS = 4000
OWN = make_node("own", phase=NodePhase.STARTING)


def ask(live: list[PeerNode], seed: int = 0) -> AddressAnswer:
    return answer_addresses(
        live,
        own=OWN,
        data_centre="d1",
        ttl_s=5.0,
        generator=random.Random(seed),
    )


def count_first(live: list[PeerNode]) -> Counter[str]:
    """Returns how often each address is first, over many callers."""
    return Counter(
        ask(live, seed)["addresses"][0]["address"] for seed in range(CALLERS)
    )


@pytest.fixture
def target() -> list[PeerNode]:
    """Returns 400 nodes in 15 data centres of 4 regions."""
    return [
        make_node(
            f"n{i:03}",
            data_centre=f"d{i % 15}",
            region=f"r{i % 15 % 4}",
            load=0.5,
        )
        for i in range(400)
    ]


def test_callers_that_use_the_first_address_are_spread(
    target: list[PeerNode],
) -> None:
    near = {peer.address for peer in target if peer.data_centre == "d1"}
    firsts = count_first(target)
    assert_that(set(firsts), Equals(near))
    assert_that(max(firsts.values()), LessThan(1.5 * CALLERS / len(near)))


def test_less_loaded_nodes_come_first_more_often() -> None:
    firsts = count_first([make_node("a", load=0.2), make_node("b", load=0.8)])
    assert_that(firsts["a:1"] / firsts["b:1"], GreaterThan(3.4))
    assert_that(firsts["a:1"] / firsts["b:1"], LessThan(4.6))


@pytest.mark.parametrize(
    ("load", "least", "most"),
    [(0.5, 0.0, 0.0), (0.9, 0.45, 0.55), (1.0, 1.0, 1.0)],
)
def test_an_overloaded_data_centre_spills_over(
    load: float, least: float, most: float
) -> None:
    near = [make_node(f"a{i}", load=load) for i in range(3)]
    far = [
        make_node(f"b{i}", load=0.5, data_centre=f"d{2 + i}") for i in range(4)
    ]
    firsts = count_first([*near, *far])
    spilled = sum(firsts[peer.address] for peer in far) / CALLERS
    assert_that(spilled, Not(LessThan(least)))
    assert_that(spilled, Not(GreaterThan(most)))


def test_spilled_callers_stay_in_their_region() -> None:
    near = make_node("a", load=1.0)
    region = make_node("b", data_centre="d2", load=0.5)
    other = make_node("c", data_centre="d3", region="r2", load=0.5)
    firsts = count_first([near, region, other])
    assert_that(firsts["c:1"], LessThan(0.08 * CALLERS))


def test_an_answer_is_bounded_and_names_other_data_centres(
    target: list[PeerNode],
) -> None:
    entries = ask(target)["addresses"]
    assert_that(entries, HasLength(MAX_ADDRESSES))
    assert_that(
        {entry["address"] for entry in entries}, HasLength(MAX_ADDRESSES)
    )
    far = {entry["data_centre"] for entry in entries} - {"d1"}
    assert_that(len(far), GreaterThan(1))


def test_fallback_nodes_have_weight_zero() -> None:
    far = make_node("b", data_centre="d2")
    entries = ask([make_node("a", load=0.25), far])["addresses"]
    weights = {entry["address"]: entry["weight"] for entry in entries}
    assert_that(weights, Equals({"a:1": 75, "b:1": 0}))


@pytest.mark.parametrize("phase", [p for p in NodePhase if p != "serving"])
def test_only_serving_nodes_are_named(phase: NodePhase) -> None:
    answer = ask([make_node("a"), make_node("b", phase=phase)])
    assert_that(
        [entry["address"] for entry in answer["addresses"]], Equals(["a:1"])
    )


def test_a_node_without_live_peers_answers_itself() -> None:
    entries = ask([OWN])["addresses"]
    assert_that([entry["address"] for entry in entries], Equals([OWN.address]))


@given(
    loads=st.lists(
        st.tuples(
            st.floats(allow_nan=False, min_value=-1, max_value=1e9),
            st.sampled_from(["d1", "d2", "d3"]),
            st.sampled_from(NodePhase),
        ),
        max_size=40,
    ),
    seed=st.integers(0, 2**32),
)
def test_answers_hold_their_bounds(
    loads: list[tuple[float, str, NodePhase]], seed: int
) -> None:
    live = [
        make_node(f"n{i}", load=load, data_centre=data_centre, phase=phase)
        for i, (load, data_centre, phase) in enumerate(loads)
    ]
    entries = ask(live, seed)["addresses"]
    known = {peer.address for peer in (*live, OWN)}
    assert_that(len(entries), GreaterThan(0))
    assert_that(len(entries), LessThan(MAX_ADDRESSES + 1))
    assert_that({entry["address"] for entry in entries} - known, HasLength(0))
    assert_that(range(101), Contains(entries[0]["weight"]))
