"""Pauses that servers ask a node for."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.serving.servers.pauses import (
    RECENT_S,
    RESUME_INTERVAL_S,
    RESUME_S,
    ServerPauses,
)

SERVER = "s"


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    pauses = ServerPauses()
    assert_that(pauses.record(SERVER, 3.0, 0.0), Equals(3.0))
    assert_that(pauses.record(SERVER, 0.5, 1.0), Equals(2.0))
    assert_that(pauses.is_pausing(SERVER, 2.999), Is(True))
    assert_that(pauses.is_pausing(SERVER, 3.0), Is(False))


def test_a_longer_pause_replaces_a_shorter_one() -> None:
    pauses = ServerPauses()
    pauses.record(SERVER, 1.0, 0.0)
    pauses.record(SERVER, 3.0, 0.5)
    assert_that(pauses.find_wait(SERVER, 1.0), Equals(2.5))


def test_waiting_requests_are_not_sent_all_at_the_end_of_a_pause() -> None:
    # Failure: the server gets the whole queue of the node in one moment.
    pauses = ServerPauses()
    pauses.record(SERVER, 1.0, 0.0)
    sends = []
    for step in range(200):
        now = step * 0.01
        for _ in range(100):
            if pauses.find_wait(SERVER, now) > 0:
                break
            pauses.consume(SERVER, now)
            if now < 1.0 + RESUME_S:
                sends.append(now)
    assert_that(sends[0], Equals(1.0))
    most = RESUME_S / RESUME_INTERVAL_S + 1
    assert_that(len(sends) <= most, Is(True), str(sends))
    assert_that(pauses.find_wait(SERVER, 1.0 + RESUME_S), Equals(0.0))


def test_a_pause_is_forgotten_when_it_has_no_effect_any_more() -> None:
    pauses = ServerPauses()
    pauses.record(SERVER, 0.1, 0.0)
    pauses.expire(RECENT_S - 0.1)
    assert_that(pauses.is_recent(SERVER, RECENT_S - 0.1), Is(True))
    pauses.expire(RECENT_S)
    assert_that(pauses, HasLength(0))


def test_the_next_end_of_a_pause_is_found() -> None:
    pauses = ServerPauses()
    assert_that(pauses.find_next_end(0.0), Equals(float("inf")))
    pauses.record("long", 9.0, 0.0)
    pauses.record(SERVER, 2.0, 0.0)
    assert_that(pauses.find_next_end(0.5), Equals(1.5))
    assert_that(pauses.find_next_end(2.5), Equals(6.5))
