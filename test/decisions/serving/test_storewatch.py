"""When reads that the store holds count as useless."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.storewatch import (
    LONGEST_READ_S,
    RETURN_GAP_S,
    StoreNews,
    StoreWatch,
)


def test_the_first_answer_after_a_silence_tells_that_the_store_is_back():
    watch = StoreWatch(now=0.0)
    assert_that(watch.note_answer("servers", 1.0), Is(False))
    watch.note_failure("servers", 2.5, is_silent=True)
    watch.note_failure("servers", 3.5, is_silent=False)
    assert_that(watch.lost_at == 2.5, Is(True))
    assert_that(watch.note_answer("servers", 4.0), Is(True))
    assert_that(watch.note_answer("servers", 4.1), Is(False))
    assert_that((watch.returns, watch.back_at), Equals((1, 4.0)))
    assert_that(watch.lost_at is None, Is(True))


def test_a_silent_call_counts_though_others_were_answered():
    # The answer to one read was lost; those to other reads came all the while.
    watch = StoreWatch(now=0.0)
    watch.note_answer("servers", 1.0)
    watch.note_failure("configuration", 1.1, is_silent=True)
    assert_that(watch.note_answer("servers", 1.2), Is(False))
    watch.note_failure("configuration", 1.3, is_silent=True)
    assert_that(watch.note_answer("configuration", 1.4), Is(True))


def test_a_silent_topic_is_not_back_with_each_answer_of_another_one():
    # The store answers to reads of servers, and for 10 s to no others.
    watch = StoreWatch(now=0.0)
    for step in range(40):
        now = step * 0.25
        if step % 5 == 0:
            watch.note_failure("configuration", now, is_silent=True)
        watch.note_answer("servers", now)
    assert_that(watch.returns, Equals(0))


def test_a_store_that_turns_single_calls_away_is_not_back_each_time():
    # Half of the calls are refused, four of them a second, for 8 s.
    watch = StoreWatch(now=0.0)
    for step in range(32):
        now = step * 0.25
        if step % 2:
            watch.note_failure("servers", now, is_silent=False)
        else:
            watch.note_answer("servers", now)
    assert_that(watch.returns, Equals(0))


def test_a_store_that_refused_all_calls_for_a_while_is_back():
    watch = StoreWatch(now=0.0)
    watch.note_failure("nodes", RETURN_GAP_S / 2, is_silent=False)
    assert_that(watch.note_answer("servers", RETURN_GAP_S), Is(True))


def test_what_a_leader_tells_counts_once():
    watch = StoreWatch(now=0.0)
    heard = [
        watch.note_news(StoreNews(term, returns))
        for term, returns in [(5, 0), (5, 1), (5, 1), (9, 0), (9, 1), (9, 2)]
    ]
    assert_that(heard, Equals([False, True, False, False, True, True]))


def test_the_successor_of_a_leader_without_the_store_tells_of_a_return():
    # A silence of 0.2 s met the reads of all nodes; the leader gave way after
    # 1.5 s, and the next one had not noticed anything.
    watch = StoreWatch(now=0.0)
    watch.note_doubt(1.5)
    watch.begin_term(1.6)
    assert_that(watch.returns, Equals(1))


def test_a_leader_tells_of_a_return_shortly_before_its_term():
    # The former leader was lost while the store was silent.
    watch = StoreWatch(now=0.0)
    watch.note_failure("nodes", 1.0, is_silent=True)
    watch.note_answer("nodes", 5.0)
    watch.begin_term(5.1)
    assert_that(watch.returns, Equals(1))
    watch.begin_term(5.0 + LONGEST_READ_S)
    assert_that(watch.returns, Equals(0))
