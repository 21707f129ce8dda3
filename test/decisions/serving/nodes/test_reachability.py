"""When a node decides that it reaches no server, and that it does again."""

from collections import Counter
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from chervilrock.decisions.serving.nodes.reachability import (
    ANSWER_TTL_S,
    choose_targets,
    HOLD_S,
    MAX_HOLD_S,
    MAX_ROUND_GAP_S,
    MAX_ROUND_S,
    PROBE_COUNT,
    PROBE_TIMEOUT_S,
    ProbeRound,
    RECHECK_INTERVAL_S,
    ROUNDS_TO_CUT,
    ServerReachability,
    SILENCE_S,
    VOIDED_PAUSE_S,
)
from chervilrock.decisions.serving.site import Service
from chervilrock.decisions.serving.view import (
    GroupEndpoint,
    ServerEndpoint,
    ServingView,
)

NOW = 100.0
NONE = 0
ALL = PROBE_COUNT


@pytest.fixture
def reachability() -> ServerReachability:
    return ServerReachability()


def fail_sends(reachability: ServerReachability, now: float) -> None:
    for send in ("one", "two"):
        reachability.record_sent(send, now)
        reachability.record_ended(send, now, is_lost=True)


def probe(
    reachability: ServerReachability,
    reached: int,
    now: float,
    seconds: float = 0.1,
) -> bool:
    """Play a round of probes; return whether it changed the verdict."""
    reachability.record_probing()
    probes = ProbeRound(PROBE_COUNT, reached > 0, now)
    return reachability.record_probed(probes, now + seconds)


def cut_off(reachability: ServerReachability, now: float = NOW) -> None:
    fail_sends(reachability, now)
    for _ in range(ROUNDS_TO_CUT):
        probe(reachability, NONE, now)


def test_a_node_is_cut_off_when_no_server_answers(
    reachability: ServerReachability,
) -> None:
    fail_sends(reachability, NOW)
    assert_that(reachability.is_confirming, Is(False))
    for _ in range(ROUNDS_TO_CUT - 1):
        assert_that(reachability.is_probe_due(NOW + 0.1), Is(True))
        assert_that(probe(reachability, NONE, NOW), Is(False))
    assert_that(reachability.is_probe_due(NOW + 0.1), Is(True))
    assert_that(reachability.is_confirming, Is(True))
    assert_that(probe(reachability, NONE, NOW), Is(True))
    assert_that(reachability.is_cut_off, Is(True))
    assert_that(reachability.is_withdrawn(NOW + 0.1), Is(True))


@pytest.mark.parametrize("reached", range(1, PROBE_COUNT + 1))
def test_one_server_that_answers_shows_that_others_failed(
    reachability: ServerReachability, reached: int
) -> None:
    """One server, or those of one data centre or service, may be gone."""
    fail_sends(reachability, NOW)
    assert_that(probe(reachability, reached, NOW), Is(False))
    assert_that(reachability.is_cut_off, Is(False))
    assert_that(reachability.is_suspected(NOW + 0.2), Is(False))


def test_a_single_failure_causes_a_probe_only_without_recent_answers(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("answered", NOW - 0.2)
    reachability.record_answered("answered", NOW - 0.1)
    reachability.record_sent("one", NOW)
    reachability.record_ended("one", NOW, is_lost=True)
    assert_that(reachability.is_probe_due(NOW), Is(False))
    assert_that(reachability.is_probe_due(NOW + ANSWER_TTL_S), Is(True))


def test_a_send_that_breaks_off_in_its_answer_is_a_failure(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("stream", NOW - 3.0)
    reachability.record_answered("stream", NOW - 2.0)
    reachability.record_ended("stream", NOW, is_lost=True)
    assert_that(reachability.is_probe_due(NOW), Is(True))


def test_without_any_server_to_probe_nothing_waits_for_a_verdict(
    reachability: ServerReachability,
) -> None:
    fail_sends(reachability, NOW)
    reachability.record_probed(ProbeRound(0, False, NOW), NOW)
    assert_that(reachability.is_in_doubt(NOW), Is(False))
    assert_that(reachability.is_cut_off, Is(False))


def test_failures_beside_answers_cause_no_probe(
    reachability: ServerReachability,
) -> None:
    for number in range(10):
        now = NOW + number
        reachability.record_sent("failing", now)
        reachability.record_sent("answered", now + 0.1)
        reachability.record_answered("answered", now + 0.2)
        reachability.record_ended("failing", now + 0.3, is_lost=True)
        assert_that(reachability.is_probe_due(now + 0.3), Is(False))


def test_a_silence_of_less_than_a_second_causes_no_probe(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("one", NOW)
    assert_that(reachability.is_probe_due(NOW + 0.95), Is(False))
    reachability.record_answered("one", NOW + 0.95)
    assert_that(reachability.is_probe_due(NOW + 5.0), Is(False))


def test_a_server_that_is_silent_alone_is_no_cut(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("silent", NOW)
    assert_that(reachability.is_probe_due(NOW + SILENCE_S), Is(True))
    assert_that(probe(reachability, ALL, NOW + SILENCE_S), Is(False))
    assert_that(reachability.is_cut_off, Is(False))


def test_slow_servers_are_probed_ever_less_often(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("slow", NOW)
    rounds = 0
    for step in range(600):
        now = NOW + step * 0.1
        if reachability.is_probe_due(now):
            rounds += 1
            probe(reachability, ALL, now)
    assert_that(rounds, LessThan(12))


def test_open_connections_that_live_on_prove_nothing(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("stream", NOW - 1.0)
    fail_sends(reachability, NOW)
    reachability.record_answered("stream", NOW + 0.05)
    assert_that(reachability.is_probe_due(NOW + 0.05), Is(True))
    for _ in range(ROUNDS_TO_CUT):
        probe(reachability, NONE, NOW + 0.05)
    assert_that(reachability.is_cut_off, Is(True))


def test_an_answer_to_a_send_during_the_probes_proves_that_servers_are_reached(
    reachability: ServerReachability,
) -> None:
    fail_sends(reachability, NOW)
    reachability.record_probing()
    reachability.record_sent("later", NOW + 0.1)
    reachability.record_answered("later", NOW + 0.2)
    probes = ProbeRound(PROBE_COUNT, False, NOW)
    assert_that(reachability.record_probed(probes, NOW + 0.3), Is(False))
    assert_that(reachability.is_cut_off, Is(False))


def test_an_answer_to_a_send_since_the_first_round_proves_it_too(
    reachability: ServerReachability,
) -> None:
    """Failure: with slow servers, a node took itself for cut off."""
    fail_sends(reachability, NOW)
    assert_that(probe(reachability, NONE, NOW, seconds=0.2), Is(False))
    reachability.record_sent("answered", NOW + 0.1)
    reachability.record_answered("answered", NOW + 0.4)
    second = NOW + 0.2
    assert_that(
        probe(reachability, NONE, second, seconds=PROBE_TIMEOUT_S), Is(False)
    )
    assert_that(reachability.is_cut_off, Is(False))


def test_one_timeout_after_refused_probes_is_no_cut(
    reachability: ServerReachability,
) -> None:
    """Failure: with lost heads and slow servers, one timeout decided."""
    fail_sends(reachability, NOW)
    probe(reachability, NONE, NOW, seconds=0.001)
    reachability.record_sent("answered", NOW + 0.01)
    second = NOW + 0.001
    assert_that(probe(reachability, NONE, second, seconds=0.301), Is(False))
    assert_that(reachability.is_in_doubt(NOW + 0.302), Is(True))
    reachability.record_answered("answered", NOW + 0.37)
    third = NOW + 0.302
    assert_that(probe(reachability, NONE, third, seconds=0.3), Is(False))
    assert_that(reachability.is_cut_off, Is(False))


@pytest.mark.parametrize(
    ("first_s", "later_s", "detected_s"),
    [
        (0.001, 0.001, 0.002),
        (0.3, 0.3, 0.6),
        (0.001, 0.3, 0.601),
        (0.3, 0.001, 0.601),
        (0.08, 0.08, 0.46),
    ],
)
def test_a_cut_is_detected_soon_however_its_probes_fail(
    reachability: ServerReachability,
    first_s: float,
    later_s: float,
    detected_s: float,
) -> None:
    fail_sends(reachability, NOW)
    probe(reachability, NONE, NOW, seconds=first_s)
    now = NOW + first_s
    while not reachability.is_cut_off:
        assert_that(reachability.is_in_doubt(now), Is(True))
        if reachability.is_probe_due(now):
            probe(reachability, NONE, now, seconds=later_s)
            now += later_s
        else:
            now += 0.001
    assert_that(now - NOW, LessThan(detected_s + 0.002))


def test_a_round_after_the_last_answer_is_the_first_of_a_new_series(
    reachability: ServerReachability,
) -> None:
    fail_sends(reachability, NOW)
    probe(reachability, NONE, NOW)
    reachability.record_sent("answered", NOW + 0.1)
    reachability.record_answered("answered", NOW + 0.15)
    for number in range(1, ROUNDS_TO_CUT):
        assert_that(probe(reachability, NONE, NOW + number), Is(False))
    assert_that(probe(reachability, NONE, NOW + ROUNDS_TO_CUT), Is(True))


@pytest.mark.parametrize("sent_after_s", [-0.1, 0.1])
def test_slow_servers_are_not_probed_without_a_pause(
    reachability: ServerReachability, sent_after_s: float
) -> None:
    """Failure: beside failing sends, rounds and waits had no pause."""
    now = NOW
    fail_sends(reachability, now)
    probe(reachability, NONE, now, seconds=PROBE_TIMEOUT_S)
    now += PROBE_TIMEOUT_S
    for number in range(10):
        reachability.record_probing()
        reachability.record_sent(number, now + sent_after_s)
        reachability.record_answered(number, now + 0.25)
        fail_sends(reachability, now + 0.28)
        probes = ProbeRound(PROBE_COUNT, False, now)
        now += PROBE_TIMEOUT_S
        assert_that(reachability.record_probed(probes, now), Is(False))
        assert_that(reachability.is_suspected(now), Is(True))
        assert_that(reachability.is_in_doubt(now), Is(False))
        now += VOIDED_PAUSE_S
        assert_that(reachability.is_probe_due(now), Is(True))


@pytest.mark.parametrize(
    ("answered_s", "detected_s"),
    [
        (0.2, VOIDED_PAUSE_S + PROBE_TIMEOUT_S),
        (0.4, VOIDED_PAUSE_S + 2 * PROBE_TIMEOUT_S),
    ],
)
def test_a_cut_after_contradicted_rounds_is_detected_after_one_pause(
    reachability: ServerReachability, answered_s: float, detected_s: float
) -> None:
    """The last answer arrives in a round, or in the pause after it."""
    fail_sends(reachability, NOW)
    probe(reachability, NONE, NOW, seconds=PROBE_TIMEOUT_S)
    began = NOW + PROBE_TIMEOUT_S
    reachability.record_probing()
    reachability.record_sent("earlier", began - 0.1)
    reachability.record_sent("later", began + 0.1)
    reachability.record_answered("earlier", began + 0.2)
    if answered_s < PROBE_TIMEOUT_S:
        reachability.record_ended("later", began + 0.25, is_lost=True)
    fail_sends(reachability, began + 0.25)
    ended = began + PROBE_TIMEOUT_S
    probes = ProbeRound(PROBE_COUNT, False, began)
    reachability.record_probed(probes, ended)
    if answered_s > PROBE_TIMEOUT_S:
        reachability.record_answered("later", began + answered_s)
        fail_sends(reachability, began + answered_s)
    now = ended
    while not reachability.is_cut_off:
        if reachability.is_probe_due(now):
            probe(reachability, NONE, now, seconds=PROBE_TIMEOUT_S)
            now += PROBE_TIMEOUT_S
        else:
            now += 0.001
    assert_that(now - ended, LessThan(detected_s + 0.01))


def test_a_failed_round_of_long_ago_decides_nothing(
    reachability: ServerReachability,
) -> None:
    """Failure: a single failed round decided, minutes after another one."""
    fail_sends(reachability, NOW)
    probe(reachability, NONE, NOW)
    later = NOW + MAX_ROUND_GAP_S + 0.2
    for number in range(ROUNDS_TO_CUT - 1):
        assert_that(probe(reachability, NONE, later + number), Is(False))
    assert_that(probe(reachability, NONE, later + 1.0), Is(True))


def test_a_silence_that_callers_do_not_wait_out_is_a_cut(
    reachability: ServerReachability,
) -> None:
    """Each caller leaves during the round that its send causes."""
    now = NOW
    for caller in range(ROUNDS_TO_CUT):
        reachability.record_sent(caller, now)
        now += SILENCE_S
        assert_that(reachability.is_probe_due(now), Is(True))
        probe(reachability, NONE, now, seconds=PROBE_TIMEOUT_S)
        now += PROBE_TIMEOUT_S
        reachability.record_ended(caller, now, is_lost=False)
    assert_that(reachability.is_cut_off, Is(True))


def find_ages(reachability: ServerReachability, now: float) -> str:
    ages = (
        reachability.find_silence_ms(now),
        reachability.find_reached_ms(now),
        reachability.find_probing_ms(now),
    )
    return " ".join(str(age) for age in ages)


def test_the_log_shows_that_no_send_since_the_first_round_was_answered(
    reachability: ServerReachability,
) -> None:
    assert_that(find_ages(reachability, NOW), Equals("None None None"))
    reachability.record_sent("answered", NOW - 0.3)
    reachability.record_answered("answered", NOW - 0.1)
    cut_off(reachability)
    assert_that(find_ages(reachability, NOW + 0.1), Equals("200 400 100"))


def test_a_frozen_node_draws_no_conclusion(
    reachability: ServerReachability,
) -> None:
    fail_sends(reachability, NOW)
    assert_that(
        probe(reachability, NONE, NOW, seconds=MAX_ROUND_S + 0.1), Is(False)
    )
    assert_that(reachability.is_cut_off, Is(False))


def test_requests_wait_for_a_verdict_only_while_one_is_due(
    reachability: ServerReachability,
) -> None:
    assert_that(reachability.is_in_doubt(NOW), Is(False))
    fail_sends(reachability, NOW)
    assert_that(reachability.is_in_doubt(NOW), Is(True))
    probe(reachability, ALL, NOW)
    fail_sends(reachability, NOW + 0.2)
    assert_that(reachability.is_in_doubt(NOW + 0.2), Is(False))


def test_a_node_is_used_again_soon_after_a_cut(
    reachability: ServerReachability,
) -> None:
    cut_off(reachability)
    assert_that(reachability.is_probe_due(NOW + 0.2), Is(False))
    again = NOW + 0.1 + RECHECK_INTERVAL_S
    assert_that(reachability.is_probe_due(again), Is(True))
    assert_that(probe(reachability, 1, again), Is(True))
    assert_that(reachability.is_cut_off, Is(False))
    assert_that(reachability.is_withdrawn(again + HOLD_S), Is(True))
    assert_that(reachability.is_withdrawn(again + HOLD_S + 0.11), Is(False))


def test_callers_return_later_to_a_node_that_is_cut_off_again_and_again(
    reachability: ServerReachability,
) -> None:
    now = NOW
    changes = 0
    was_withdrawn = False
    for _ in range(20):
        cut_off(reachability, now)
        probe(reachability, ALL, now + 1.0)
        for step in range(20):
            is_withdrawn = reachability.is_withdrawn(now + 0.1 + step * 0.1)
            changes += is_withdrawn != was_withdrawn
            was_withdrawn = is_withdrawn
        now += 2.0
    assert_that(changes, LessThan(4))
    assert_that(reachability.is_withdrawn(now + MAX_HOLD_S), Is(False))


def test_what_began_in_a_cut_says_nothing_after_it(
    reachability: ServerReachability,
) -> None:
    reachability.record_sent("old", NOW)
    cut_off(reachability)
    probe(reachability, ALL, NOW + 1.0)
    reachability.record_ended("old", NOW + 2.0, is_lost=True)
    assert_that(reachability.is_suspected(NOW + 3.0), Is(False))


def test_a_cut_is_detected_well_before_callers_must_be_served(
    reachability: ServerReachability,
) -> None:
    """The slowest way: connected sends go silent, and the probes time out."""
    reachability.record_sent("one", NOW)
    now = NOW
    while not reachability.is_cut_off:
        now += 0.05
        if reachability.is_probe_due(now):
            probe(reachability, NONE, now, seconds=PROBE_TIMEOUT_S)
            now += PROBE_TIMEOUT_S
    assert_that(now - NOW, LessThan(1.8))


SERVICES = {"desk": Service("desk", None, status_path="/health")}


def make_view(heads: int, servers: int) -> ServingView:
    return ServingView(
        1,
        1,
        tuple(
            GroupEndpoint(f"g{n}", 1, "m", "s", f"h{n}", f"x:{n}", "a")
            for n in range(heads)
        ),
        tuple(
            ServerEndpoint(f"p{n}", "desk", f"x:{n}", "a", 4)
            for n in range(servers)
        ),
    )


@pytest.mark.parametrize(
    ("heads", "servers", "is_mixed", "probed_heads", "probed_servers"),
    [
        (1000, 3, False, 4, 0),
        (1000, 3, True, 2, 2),
        (1000, 1, True, 3, 1),
        (1, 3, False, 1, 3),
        (1, 3, True, 1, 3),
        (0, 1, False, 0, 1),
        (9, 0, True, 4, 0),
    ],
)
def test_few_servers_are_probed_and_plain_ones_only_to_confirm(
    heads: int,
    servers: int,
    is_mixed: bool,
    probed_heads: int,
    probed_servers: int,
) -> None:
    """All hosts of groups may be lost while plain servers answer."""
    chosen = choose_targets(
        make_view(heads, servers),
        SERVICES,
        random.Random(1),
        is_mixed=is_mixed,
    )
    assert_that({target.server for target in chosen}, HasLength(len(chosen)))
    counts = Counter(target.is_head for target in chosen)
    assert_that(counts[True], Equals(probed_heads))
    assert_that(counts[False], Equals(probed_servers))
    paths = {target.status_path for target in chosen if not target.is_head}
    assert_that(paths <= {"/health"}, Is(True))


def test_a_server_that_is_left_out_is_not_probed() -> None:
    chosen = choose_targets(
        make_view(0, 1), SERVICES, random.Random(1), without="p0"
    )
    assert_that(chosen, HasLength(0))


def test_plain_servers_that_want_no_requests_get_no_status_check() -> None:
    chosen = choose_targets(
        make_view(1, 2), SERVICES, random.Random(1), spared={"h0", "p1"}
    )
    names = {target.server for target in chosen}
    # The status query of a host of a group is no request.
    assert_that(names, Equals({"h0", "p0"}))
