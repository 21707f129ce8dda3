"""Addresses that a node without configuration or other nodes reports."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.routes import RouteTable
from chervilrock.decisions.serving.site import Limits, SiteConfiguration
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.tasks.serving.state import RetryBounds, ServingState

OWN = NodeEntry("n1", "i1", "10.0.0.1:1", "10.0.0.1:2", "a")
OTHER = NodeEntry("n2", "i2", "10.0.0.2:1", "10.0.0.2:2", "a")


@pytest.fixture
def state() -> ServingState:
    return ServingState(
        own=OWN,
        bounds=RetryBounds(ratio=0.2, slack=100, window_s=10.0),
        generator=random.Random(1),
    )


def make_routes() -> RouteTable:
    configuration = SiteConfiguration(1, (), {}, None, Limits(idle_s=15.0))
    return RouteTable(configuration=configuration)


def list_addresses(state: ServingState) -> list[str]:
    return list(state.list_callers_addresses("a", None, 0.0))


def test_a_node_without_configuration_lists_only_other_nodes(state) -> None:
    # A node that the store rejects after all nodes were lost has no list of
    # nodes. It reported its own address, where callers were rejected.
    assert_that(list_addresses(state), HasLength(0))
    state.known_nodes = {OTHER.node: OTHER}
    assert_that(list_addresses(state), Equals([OTHER.callers_address]))


def test_a_single_node_with_a_configuration_lists_itself(state) -> None:
    state.routes = make_routes()
    assert_that(list_addresses(state), Equals([OWN.callers_address]))


def test_a_stopping_node_lists_only_other_nodes(state) -> None:
    state.routes = make_routes()
    state.is_stopping = True
    state.nodes = (OWN, OTHER)
    assert_that(list_addresses(state), Equals([OTHER.callers_address]))
