"""Addresses that a node without configuration or other nodes reports."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.admission.routes import RouteTable
from chervilrock.decisions.serving.messages import (
    NO_STATEMENT,
    ServerStatement,
    StatedDeparture,
    StatedLimit,
    StatedPause,
)
from chervilrock.decisions.serving.site import Limits, SiteConfiguration
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    NodeEntry,
    ServerEndpoint,
    ServingView,
)
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


HEAD = "i-head"
PLAIN = "i-plain"


def apply_starts(
    state: ServingState, sequence: int, *, head_ms: int = 1, plain_ms: int = 1
) -> None:
    """Apply a view of a group and a plain server with these starts."""
    group = GroupEndpoint("g", 1, "m", "s", HEAD, "a:1", "a", head_ms)
    server = ServerEndpoint(PLAIN, "p", "a:2", "a", 4, plain_ms)
    view = ServingView(1, sequence, groups=(group,), servers=(server,))
    state.apply_view(view, 1.0)


STATEMENTS = {
    "limit": NO_STATEMENT._replace(limit=StatedLimit(0.0)),
    "pause": NO_STATEMENT._replace(pause=StatedPause(60.0)),
    "departure": NO_STATEMENT._replace(departure=StatedDeparture(True)),
}


@pytest.mark.parametrize("kind", STATEMENTS)
@pytest.mark.parametrize("server", [HEAD, PLAIN])
@pytest.mark.parametrize(
    ("started_ms", "is_kept"), [(0, True), (1, True), (2, False)]
)
def test_a_statement_does_not_outlive_the_start_of_its_server(
    state: ServingState, kind: str, server: str, started_ms: int, is_kept: bool
) -> None:
    # Failure: a departure of the former start keeps requests from the next
    # one for ten minutes.
    apply_starts(state, 1)
    statement: ServerStatement = STATEMENTS[kind]
    state.record_statement(server, statement, "r", 1.0)
    key = "head_ms" if server == HEAD else "plain_ms"
    apply_starts(state, 2, **{key: started_ms})
    assert_that(state.statements.may_send(server, 1.1), Is(not is_kept))


def test_statements_of_other_servers_are_kept(state: ServingState) -> None:
    apply_starts(state, 1)
    for server in (HEAD, PLAIN):
        state.record_statement(server, STATEMENTS["departure"], "r", 1.0)
    apply_starts(state, 2, plain_ms=2)
    assert_that(state.statements.refuses(HEAD, 1.1), Is(True))
    assert_that(state.statements.refuses(PLAIN, 1.1), Is(False))


def test_a_restarted_server_is_no_longer_avoided(state: ServingState) -> None:
    apply_starts(state, 1)
    state.avoid("g", 1.0)
    state.avoid(PLAIN, 1.0)
    state.record_failure("g", 1.0)
    apply_starts(state, 2, plain_ms=2)
    assert_that(list(state.list_avoided(1.1)), Equals(["g"]))
    assert_that(list(state.list_failing(1.1)), Equals(["g"]))
    apply_starts(state, 3, head_ms=2, plain_ms=2)
    assert_that(state.list_avoided(1.1), HasLength(0))
    assert_that(state.list_failing(1.1), HasLength(0))


def test_requests_of_the_former_start_do_not_count(state: ServingState) -> None:
    # Failure: the new start seems full, or its requests are counted as ended
    # when those of the former start are.
    apply_starts(state, 1)
    former = [state.record_sent(PLAIN) for _ in range(3)]
    state.apply_loads({PLAIN: 7, HEAD: 2}, {PLAIN: 3}, senders=2, now=1.0)
    apply_starts(state, 2, plain_ms=2)
    assert_that(state.count_requests(PLAIN), Equals(0))
    assert_that(state.count_requests(HEAD), Equals(2))
    state.record_ended(PLAIN, former[0])
    latter = state.record_sent(PLAIN)
    state.record_ended(PLAIN, former[1])
    assert_that(dict(state.own_loads), Equals({PLAIN: 1}))
    state.record_ended(PLAIN, latter)
    state.record_ended(PLAIN, former[2])
    assert_that(len(state.own_loads), Equals(0))
