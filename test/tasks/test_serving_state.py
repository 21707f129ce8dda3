"""What a node tells callers while it knows little."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.site import Limits, SiteConfiguration
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.state import RepeatBounds, ServingState

OWN = NodeEntry("n1", "i1", "10.0.0.1:1", "10.0.0.1:2", "a")
OTHER = NodeEntry("n2", "i2", "10.0.0.2:1", "10.0.0.2:2", "a")


@pytest.fixture
def state() -> ServingState:
    return ServingState(
        own=OWN,
        bounds=RepeatBounds(ratio=0.2, slack=100, window_s=10.0),
        generator=random.Random(1),
    )


def make_routes() -> RouteTable:
    configuration = SiteConfiguration(1, (), {}, None, Limits(idle_s=15.0))
    return RouteTable(configuration=configuration)


def list_addresses(state: ServingState) -> list[str]:
    return list(state.list_callers_addresses("a", None, 0.0))


def test_a_node_that_can_serve_nobody_names_only_others(state) -> None:
    # One that the store turns away after all nodes were lost knows nobody, and
    # told callers to come to itself, where they were refused.
    assert_that(list_addresses(state), HasLength(0))
    state.known_nodes = {OTHER.node: OTHER}
    assert_that(list_addresses(state), Equals([OTHER.callers_address]))


def test_a_node_that_is_alone_names_itself(state) -> None:
    state.routes = make_routes()
    assert_that(list_addresses(state), Equals([OWN.callers_address]))


def test_a_node_that_stops_names_only_others(state) -> None:
    state.routes = make_routes()
    state.is_stopping = True
    state.nodes = (OWN, OTHER)
    assert_that(list_addresses(state), Equals([OTHER.callers_address]))
