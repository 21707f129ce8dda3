"""How often, and with which long-poll timeouts, nodes read the store."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.decisions.serving.nodes.relays import MAX_DIRECT_NODES
from chervilrock.decisions.serving.store.polling import (
    CANDIDATES,
    choose_configuration_schedule,
    choose_nodes_schedule,
    EAGER_RETRY_S,
    is_designated,
    LEADER_LONG_POLL_S,
    LEADERLESS_RETRY_S,
    list_designated,
    MAX_LEADERLESS_S,
    MAX_LONG_POLL_S,
    MAX_REVISION_LAG_S,
    MIN_LONG_POLL_S,
    Reader,
    reads_configuration,
    reads_nodes,
    SERVERS_SCHEDULE,
    STEADY_RETRY_S,
)
from chervilrock.decisions.serving.store.storehealth import MAX_READ_S
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.platform.store import TIMEOUT_S

STEADY = Reader(
    is_leader=False,
    may_lead=True,
    is_following=True,
    has_leader_contact=True,
    rank=5,
    nodes=9,
    is_store_unavailable=False,
    is_designated=True,
    is_registered=True,
    leaderless_s=0.0,
    lag_s=0.0,
)
LEADERLESS = STEADY._replace(
    is_following=False, has_leader_contact=False, leaderless_s=0.1
)
NOT_DESIGNATED = STEADY._replace(is_designated=False)


@pytest.mark.parametrize(
    ("nodes", "wait_s"),
    [(1, MIN_LONG_POLL_S), (77, 23.1), (400, MAX_LONG_POLL_S)],
)
def test_long_polls_last_longer_in_larger_installations(nodes, wait_s):
    reader = STEADY._replace(nodes=nodes)
    for choose in (choose_configuration_schedule, choose_nodes_schedule):
        assert_that(round(choose(reader).long_poll_s, 3), Equals(wait_s))


def test_the_leader_reads_the_configuration_often():
    # Together with the timeout of the answer and a pause, the leader detects
    # an unresponsive connection within the two seconds of a configuration.
    schedule = choose_configuration_schedule(STEADY._replace(is_leader=True))
    assert_that(schedule.long_poll_s, Equals(LEADER_LONG_POLL_S))
    assert_that(
        schedule.long_poll_s + TIMEOUT_S + schedule.pause_s, LessThan(2.0)
    )


@pytest.mark.parametrize(
    "reader", [STEADY, LEADERLESS, LEADERLESS._replace(rank=0)]
)
def test_no_long_polls_are_made_while_the_store_does_not_answer(reader):
    missing = reader._replace(is_store_unavailable=True)
    for choose in (choose_configuration_schedule, choose_nodes_schedule):
        assert_that(choose(missing).long_poll_s, Equals(0.0))


def test_only_nodes_that_announce_a_recovery_retry_often():
    # The leader steps down without the store, but still announces.
    stepping_down = STEADY._replace(
        is_following=False, is_store_unavailable=True
    )
    first = choose_nodes_schedule(stepping_down._replace(rank=CANDIDATES - 1))
    assert_that(first.retry_s, Equals(EAGER_RETRY_S))
    assert_that(SERVERS_SCHEDULE.retry_s, Equals(EAGER_RETRY_S))
    others = choose_configuration_schedule(stepping_down)
    assert_that(others.retry_s, Equals(STEADY_RETRY_S))
    lost = choose_configuration_schedule(
        LEADERLESS._replace(is_store_unavailable=True)
    )
    assert_that(lost.retry_s, Equals(LEADERLESS_RETRY_S))


def test_no_read_outlasts_the_time_for_which_an_outage_counts():
    assert_that(MAX_LONG_POLL_S + TIMEOUT_S, LessThan(MAX_READ_S))


@pytest.mark.parametrize(
    "change",
    [
        {"is_leader": True},
        {"is_designated": True},
        {"may_lead": False},
        {"is_registered": False},
    ],
)
def test_nodes_read_if_they_or_others_depend_on_it(change):
    reader = NOT_DESIGNATED._replace(**change)
    assert_that(reads_configuration(reader), Equals(True))
    assert_that(reads_nodes(reader), Equals(True))


def test_other_nodes_read_nothing_while_there_is_contact_with_a_leader():
    for with_contact in (
        NOT_DESIGNATED,
        NOT_DESIGNATED._replace(is_following=False, leaderless_s=0.5),
    ):
        assert_that(reads_configuration(with_contact), Equals(False))
        assert_that(reads_nodes(with_contact), Equals(False))


def test_other_nodes_read_without_timely_announcements():
    lost = NOT_DESIGNATED._replace(
        is_following=False, has_leader_contact=False, leaderless_s=0.1
    )
    assert_that(reads_configuration(lost), Equals(True))
    assert_that(reads_nodes(lost), Equals(False))
    leaderless = lost._replace(leaderless_s=MAX_LEADERLESS_S + 0.1)
    assert_that(reads_nodes(leaderless), Equals(True))
    lagging = NOT_DESIGNATED._replace(lag_s=MAX_REVISION_LAG_S + 0.1)
    assert_that(reads_configuration(lagging), Equals(True))


def test_the_strongest_nodes_of_a_large_data_centre_are_designated():
    def make(number, place):
        cores = 2.0 if number == 5 else 0.5
        return NodeEntry(
            f"{place}{number}", f"i{number}", "p", "c", place, cores
        )

    nodes = [make(number, "a") for number in range(MAX_DIRECT_NODES + 1)]
    nodes += [make(number, "b") for number in range(MAX_DIRECT_NODES)]
    names = [node.node for node in list_designated("a", nodes)]
    assert_that(names, Equals(["a5", "a0"]))
    small = [node for node in nodes if node.data_centre == "b"]
    assert_that(all(is_designated(node, nodes) for node in small), Equals(True))
    for listed in (nodes, small[:2]):
        assert_that(is_designated(make(99, "b"), listed), Equals(True))
    assert_that(is_designated(make(99, "a"), nodes), Equals(False))


def test_without_configuration_and_store_only_the_configuration_is_read():
    new = LEADERLESS._replace(may_lead=False, is_store_unavailable=True)
    assert_that(reads_configuration(new), Equals(True))
    assert_that(reads_nodes(new), Equals(False))
    assert_that(
        reads_nodes(new._replace(is_store_unavailable=False)), Equals(True)
    )
