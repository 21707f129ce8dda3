"""Which servers have started again under their identifiers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.servers.serverstarts import (
    FORGET_S,
    MAX_ABSENT,
    ServerStarts,
)


@pytest.fixture
def starts() -> ServerStarts:
    registry = ServerStarts()
    registry.update({"a": 5, "b": 0}, 0.0)
    return registry


@pytest.mark.parametrize(
    ("started_ms", "restarted"), [(0, []), (4, []), (5, []), (6, ["a"])]
)
def test_only_a_later_start_is_one(starts, started_ms, restarted) -> None:
    # A view of the previous version, or one made of an outdated entry, must
    # not void what servers stated.
    assert_that(starts.find_restarted({"a": started_ms}), Equals(restarted))


def test_the_first_known_start_is_no_restart(starts) -> None:
    # The first view of a leader of this version names all starts.
    assert_that(starts.find_restarted({"b": 7, "c": 8}), HasLength(0))


def test_an_earlier_start_does_not_replace_the_known_one(starts) -> None:
    # Views of a leader that reads an outdated entry would void statements
    # again when the entry is renewed.
    starts.update({"a": 4}, 1.0)
    starts.update({"a": 0}, 2.0)
    assert_that(starts.find_restarted({"a": 5}), HasLength(0))


def test_a_server_that_was_absent_for_a_while_is_known(starts) -> None:
    # A server that restarts is missing in the view meanwhile.
    starts.update({}, FORGET_S - 1)
    assert_that(starts.find_restarted({"a": 6}), Equals(["a"]))
    starts.update({}, FORGET_S + 1)
    assert_that(starts, HasLength(0))


def test_the_number_of_absent_servers_is_bounded() -> None:
    starts = ServerStarts()
    starts.update({f"s{n}": 1 for n in range(MAX_ABSENT + 10)}, 0.0)
    starts.update({"s0": 1}, 1.0)
    assert_that(starts, HasLength(MAX_ABSENT + 1))
    assert_that(starts.find_restarted({"s0": 2, "s1": 2}), Equals(["s0"]))
