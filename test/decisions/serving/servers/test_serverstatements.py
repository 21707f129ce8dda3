"""What servers state of themselves, and which of them get requests."""

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.messages import (
    NO_STATEMENT,
    ServerStatement,
    StatedDeparture,
    StatedLimit,
    StatedPause,
)
from chervilrock.decisions.serving.servers.departures import DEPARTURE_TTL_S
from chervilrock.decisions.serving.servers.serverstatements import (
    MAX_ABSENT,
    ServerStatements,
)

SERVER = "s"
LEAVING = NO_STATEMENT._replace(departure=StatedDeparture(True))


def make_pause(seconds: float, unreadable: str = "") -> ServerStatement:
    """Return the statement of a server that asks for a pause."""
    return NO_STATEMENT._replace(pause=StatedPause(seconds, unreadable))


def record(
    statements: ServerStatements,
    statement: ServerStatement,
    now: float,
    server: str = SERVER,
):
    return statements.record(server, statement, ["n"], now)


def test_an_answer_without_a_pause_does_not_end_one() -> None:
    statements = ServerStatements(own="n")
    record(statements, make_pause(3.0), 0.0)
    change = record(statements, NO_STATEMENT, 1.0)
    assert_that(change.pause_s, Equals(0.0))
    assert_that(statements.refuses(SERVER, 2.9), Is(True))
    assert_that(statements.refuses(SERVER, 3.0), Is(False))


def test_a_pause_of_one_server_does_not_bind_another_one() -> None:
    statements = ServerStatements(own="n")
    record(statements, make_pause(3.0), 0.0)
    assert_that(statements.refuses("other", 1.0), Is(False))
    assert_that(statements.may_send("other", 1.0), Is(True))


def test_the_wait_is_the_longer_one_of_a_limit_and_a_pause() -> None:
    statements = ServerStatements(own="n")
    limit = NO_STATEMENT._replace(limit=StatedLimit(1.0))
    record(statements, limit, 0.0)
    limited_s = statements.find_wait(SERVER, 0.0)
    record(statements, make_pause(limited_s + 1), 0.0)
    assert_that(statements.find_wait(SERVER, 0.0), Equals(limited_s + 1))


def test_a_server_that_leaves_gets_no_requests_whatever_it_answers() -> None:
    statements = ServerStatements(own="n")
    assert_that(record(statements, LEAVING, 0.0).is_departure_new, Is(True))
    assert_that(record(statements, LEAVING, 1.0).is_departure_new, Is(False))
    record(statements, NO_STATEMENT, 2.0)
    statements.apply_view((), {SERVER}, 3.0)
    assert_that(statements.refuses(SERVER, 99.0), Is(True))
    assert_that(statements.find_wait(SERVER, 99.0), Equals(math.inf))


def test_a_departure_is_forgotten_long_after_the_last_word_of_it() -> None:
    # A server may start again under its identifier.
    statements = ServerStatements(own="n")
    record(statements, LEAVING, 0.0)
    statements.apply_view((), {SERVER}, DEPARTURE_TTL_S + 1)
    assert_that(statements.refuses(SERVER, DEPARTURE_TTL_S + 1), Is(False))


def test_an_unreadable_value_is_reported_once() -> None:
    statements = ServerStatements(own="n")
    news = [
        record(statements, make_pause(0.0, value), now).has_new_unreadable
        for now, value in enumerate(("soon", "soon", "later", ""))
    ]
    assert_that(news, Equals([True, False, True, False]))


def test_statements_of_absent_servers_are_bounded() -> None:
    # Failure: each start of a server that asks for an enormous pause takes
    # memory for good.
    statements = ServerStatements(own="n")
    for number in range(MAX_ABSENT + 100):
        name = f"s{number}"
        record(statements, make_pause(1e9, "x"), 0.0, name)
        record(statements, LEAVING, 0.0, name)
    statements.apply_view((), {"s0"}, 1.0)
    for registry in (statements.pauses, statements.departures):
        assert_that(registry, HasLength(MAX_ABSENT + 1))
    assert_that(statements.refuses("s0", 1.0), Is(True))
    assert_that(statements.refuses("s1", 1.0), Is(False))
    assert_that(statements._unreadable, HasLength(1))


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 5.0),
            st.one_of(st.just(0.0), st.floats(0.01, 4.0)),
        ),
        max_size=30,
    )
)
def test_no_request_is_sent_in_a_pause_however_they_overlap(
    answers: list[tuple[float, float]],
) -> None:
    statements = ServerStatements(own="n")
    now = 0.0
    ends_at = 0.0
    for after_s, pause_s in answers:
        now += after_s
        if statements.may_send(SERVER, now):
            assert_that(now >= ends_at, Is(True), f"sent at {now}")
            assert_that(statements.refuses(SERVER, now), Is(False))
            statements.consume(SERVER, now)
        record(statements, make_pause(pause_s), now)
        ends_at = max(ends_at, now + pause_s)
