"""How often, and for how long, nodes read the store."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.decisions.serving.paces import (
    CALM_RETRY_S,
    CANDIDATES,
    choose_configuration_pace,
    choose_nodes_pace,
    EAGER_RETRY_S,
    is_designated,
    LATE_S,
    LEADER_WAIT_S,
    LEAST_WAIT_S,
    list_designated,
    LONGEST_WAIT_S,
    Reader,
    reads_configuration,
    reads_nodes,
    RETRY_S,
    SERVERS_PACE,
    UNLED_S,
)
from chervilrock.decisions.serving.relays import LEAST_RELAYED
from chervilrock.decisions.serving.storewatch import LONGEST_READ_S
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.platform.store import TIMEOUT_S

CALM = Reader(
    is_leader=False,
    may_lead=True,
    is_following=True,
    is_hearing=True,
    rank=5,
    nodes=9,
    misses_store=False,
    is_designated=True,
    is_registered=True,
    unled_s=0.0,
    lag_s=0.0,
)
ALONE = CALM._replace(is_following=False, is_hearing=False, unled_s=0.1)
RESTING = CALM._replace(is_designated=False)


@pytest.mark.parametrize(
    ("nodes", "wait_s"), [(1, LEAST_WAIT_S), (77, 23.1), (400, LONGEST_WAIT_S)]
)
def test_reads_are_held_longer_in_larger_installations(nodes, wait_s):
    reader = CALM._replace(nodes=nodes)
    for choose in (choose_configuration_pace, choose_nodes_pace):
        assert_that(round(choose(reader).wait_s, 3), Equals(wait_s))


def test_the_leader_reads_the_configuration_often():
    # With the timeout of the answer and a pause it finds a connection that
    # has gone silent within the two seconds of a configuration.
    pace = choose_configuration_pace(CALM._replace(is_leader=True))
    assert_that(pace.wait_s, Equals(LEADER_WAIT_S))
    assert_that(pace.wait_s + TIMEOUT_S + pace.pause_s, LessThan(2.0))


@pytest.mark.parametrize("reader", [CALM, ALONE, ALONE._replace(rank=0)])
def test_no_call_is_held_while_the_store_does_not_answer(reader):
    missing = reader._replace(misses_store=True)
    for choose in (choose_configuration_pace, choose_nodes_pace):
        assert_that(choose(missing).wait_s, Equals(0.0))


def test_only_those_whose_answer_tells_all_try_often():
    # The leader gives way, since it misses the store, and is heard.
    giving_way = CALM._replace(is_following=False, misses_store=True)
    first = choose_nodes_pace(giving_way._replace(rank=CANDIDATES - 1))
    assert_that(first.retry_s, Equals(EAGER_RETRY_S))
    assert_that(SERVERS_PACE.retry_s, Equals(EAGER_RETRY_S))
    others = choose_configuration_pace(giving_way)
    assert_that(others.retry_s, Equals(CALM_RETRY_S))
    lost = choose_configuration_pace(ALONE._replace(misses_store=True))
    assert_that(lost.retry_s, Equals(RETRY_S))


def test_no_read_outlasts_the_time_for_which_a_silence_counts():
    assert_that(LONGEST_WAIT_S + TIMEOUT_S, LessThan(LONGEST_READ_S))


@pytest.mark.parametrize(
    "change",
    [
        {"is_leader": True},
        {"is_designated": True},
        {"may_lead": False},
        {"is_registered": False},
    ],
)
def test_nodes_that_others_or_they_themselves_depend_on_read(change):
    reader = RESTING._replace(**change)
    assert_that(reads_configuration(reader), Equals(True))
    assert_that(reads_nodes(reader), Equals(True))


def test_other_nodes_read_nothing_while_a_leader_is_heard():
    for heard in (RESTING, RESTING._replace(is_following=False, unled_s=0.5)):
        assert_that(reads_configuration(heard), Equals(False))
        assert_that(reads_nodes(heard), Equals(False))


def test_other_nodes_read_when_nobody_tells_them_in_time():
    lost = RESTING._replace(is_following=False, is_hearing=False, unled_s=0.1)
    assert_that(reads_configuration(lost), Equals(True))
    assert_that(reads_nodes(lost), Equals(False))
    unled = lost._replace(unled_s=UNLED_S + 0.1)
    assert_that(reads_nodes(unled), Equals(True))
    late = RESTING._replace(lag_s=LATE_S + 0.1)
    assert_that(reads_configuration(late), Equals(True))


def test_the_strongest_nodes_of_a_large_data_centre_read_for_it():
    def make(number, place):
        cores = 2.0 if number == 5 else 0.5
        return NodeEntry(
            f"{place}{number}", f"i{number}", "p", "c", place, cores
        )

    nodes = [make(number, "a") for number in range(LEAST_RELAYED + 1)]
    nodes += [make(number, "b") for number in range(LEAST_RELAYED)]
    names = [one.node for one in list_designated("a", nodes)]
    assert_that(names, Equals(["a5", "a0"]))
    small = [one for one in nodes if one.data_centre == "b"]
    assert_that(all(is_designated(one, nodes) for one in small), Equals(True))
    for listed in (nodes, small[:2]):
        assert_that(is_designated(make(99, "b"), listed), Equals(True))
    assert_that(is_designated(make(99, "a"), nodes), Equals(False))


def test_a_node_without_a_configuration_asks_a_lost_store_for_it_alone():
    new = ALONE._replace(may_lead=False, misses_store=True)
    assert_that(reads_configuration(new), Equals(True))
    assert_that(reads_nodes(new), Equals(False))
    assert_that(reads_nodes(new._replace(misses_store=False)), Equals(True))
