"""Routes, attempts, streams, retries, stalls, leader election and waiting."""

import random
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.attempts import (
    classify_answer,
    decide_next,
    NextStep,
    Progress,
    SendOutcome,
)
from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.retrybudget import RetryBudget
from chervilrock.decisions.serving.admission.routes import (
    Admission,
    choose_service,
    Denial,
    RouteTable,
)
from chervilrock.decisions.serving.admission.streams import EventSplitter
from chervilrock.decisions.serving.admission.waiting import (
    Availability,
    decide_wait,
    REPAIR_S,
    WaitingRequest,
)
from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.stalls import (
    compute_stall_limits,
    StallDetector,
    StallLimits,
    StandstillMeter,
)
from chervilrock.decisions.serving.messages import AnswerFacts
from chervilrock.decisions.serving.nodes.leadership import (
    Claim,
    CLAIM_STAGGER_S,
    find_interval,
    Leadership,
    MISSED_INTERVALS,
)
from chervilrock.decisions.serving.site import (
    Limits,
    Route,
    RouteKind,
    SiteConfiguration,
    WeightedService,
    Workspace,
)
from chervilrock.decisions.serving.view import LeaderEntry
from test.decisions.serving.fleet import ENGINE, LARGE, SMALL

LIMITS = StallLimits(between_events_s=0.2, first_event_s=0.35)

OWN = AnswerFacts(
    status=200,
    request_id="r",
    has_receipt=True,
    is_not_run=False,
    is_encoded=False,
    is_stream=False,
)


def make_route(prefix: str, **changes: Any) -> Route:
    """Return a route of the host `h`."""
    route = Route(
        name=prefix,
        host="h",
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        services=(WeightedService("s", 1.0),),
        timeout_s=1.0,
        target_s=0.2,
        longest_pause_s=0.0,
        priority=3,
        max_attempts=2,
        is_public=False,
        is_resumable=False,
    )
    return route._replace(**changes)


@pytest.fixture
def table() -> RouteTable:
    """Three routes, one of them public, and one key."""
    return RouteTable(
        configuration=SiteConfiguration(
            revision=1,
            routes=(
                make_route("/a/"),
                make_route("/a/b/"),
                make_route("/open/", is_public=True),
            ),
            services={},
            keys={"k": Workspace("w", 1)},
            limits=Limits(idle_s=15.0),
        )
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/x", "/a/"),
        ("H:80", "/a/x", "/a/"),
        ("h", "/a/b/", "/a/b/"),
        ("h", "/a/b?c=/a/b/", "/a/"),
        ("h", "/a", None),
        ("h", "/A/x", None),
        ("i", "/a/x", None),
        ("h", "/x?/a/", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(
    table: RouteTable, host: str, path: str, name: str | None
) -> None:
    route = table.find(host, path)
    assert_that(None if route is None else route.name, Equals(name))


@pytest.mark.parametrize(
    ("path", "key", "outcome"),
    [
        ("/a/x", "k", 1),
        ("/a/x", "", Denial.UNKNOWN_KEY),
        ("/a/x", "other", Denial.UNKNOWN_KEY),
        ("/none/", "other", Denial.NO_ROUTE),
        ("/open/x", "", 3),
        ("/open/x", "k", 1),
    ],
)
def test_a_key_grants_access_to_routes_and_sets_the_priority(
    table: RouteTable, path: str, key: str, outcome: object
) -> None:
    admitted = table.admit("h", path, key)
    is_admitted = isinstance(admitted, Admission)
    found = admitted.priority if isinstance(admitted, Admission) else admitted
    assert_that(found, Equals(outcome))
    assert_that(is_admitted, Is(isinstance(outcome, int)))


def test_services_are_drawn_by_their_weights() -> None:
    services = (WeightedService("s", 90.0), WeightedService("t", 10.0))
    route = make_route("/a/", services=services)
    generator = random.Random(1)
    drawn = [choose_service(route, generator) for _ in range(1000)]
    assert_that(drawn.count("t"), GreaterThan(60))
    assert_that(drawn.count("t"), LessThan(140))


@pytest.mark.parametrize(
    ("change", "is_whole", "end"),
    [
        ({}, True, SendOutcome.COMPLETE),
        ({"request_id": ""}, True, SendOutcome.LOST),
        ({"request_id": "", "status": 500}, True, SendOutcome.LOST),
        ({"request_id": "other"}, True, SendOutcome.LOST),
        ({"has_receipt": False}, True, SendOutcome.LOST),
        ({"is_encoded": True}, True, SendOutcome.LOST),
        ({}, False, SendOutcome.LOST),
        ({"status": 500}, True, SendOutcome.FAILED),
        ({"status": 404}, True, SendOutcome.FAILED),
        ({"status": 503, "is_not_run": True}, True, SendOutcome.NOT_RUN),
        ({"request_id": "", "is_not_run": True}, True, SendOutcome.NOT_RUN),
        ({"request_id": "other", "is_not_run": True}, True, SendOutcome.LOST),
        ({"status": 503}, True, SendOutcome.LOST),
        ({"status": 429}, True, SendOutcome.LOST),
        ({"status": 408}, True, SendOutcome.LOST),
    ],
)
def test_an_answer_is_judged_by_what_it_proves(
    change: dict[str, Any], is_whole: bool, end: SendOutcome
) -> None:
    facts = OWN._replace(**change)
    judged = classify_answer(facts, request_id="r", is_whole=is_whole)
    assert_that(judged, Is(end))


@pytest.mark.parametrize(
    ("end", "status", "progress", "may_retry", "following"),
    [
        (SendOutcome.COMPLETE, 200, Progress(1, True), False, NextStep.FINISH),
        (SendOutcome.NOT_RUN, 503, Progress(1, False), False, NextStep.RETRY),
        (SendOutcome.NOT_RUN, 503, Progress(2, False), False, NextStep.GIVE_UP),
        (SendOutcome.NOT_RUN, 503, Progress(1, True), False, NextStep.GIVE_UP),
        (SendOutcome.LOST, 0, Progress(1, True), False, NextStep.GIVE_UP),
        (SendOutcome.LOST, 0, Progress(1, True), True, NextStep.RETRY),
        (SendOutcome.LOST, 0, Progress(2, True), True, NextStep.GIVE_UP),
        (SendOutcome.FAILED, 500, Progress(1, True), False, NextStep.FINISH),
        (SendOutcome.FAILED, 500, Progress(1, True), True, NextStep.RETRY),
        (SendOutcome.FAILED, 404, Progress(1, True), True, NextStep.FINISH),
        (SendOutcome.FAILED, 500, Progress(2, True), True, NextStep.FINISH),
        (SendOutcome.STALLED, 0, Progress(1, True), True, NextStep.RETRY),
    ],
)
def test_only_requests_that_may_be_repeated_are_retried(
    end: SendOutcome,
    status: int,
    progress: Progress,
    may_retry: bool,
    following: NextStep,
) -> None:
    decided = decide_next(
        end,
        status=status,
        progress=progress,
        may_retry=may_retry,
        max_attempts=2,
    )
    assert_that(decided, Is(following))


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_complete_for_any_size_of_chunks(size: int) -> None:
    stream = b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 9))
    splitter = EventSplitter()
    forwarded = b"".join(
        splitter.feed(stream[start : start + size])
        for start in range(0, len(stream), size)
    )
    assert_that(forwarded, Equals(stream))
    assert_that(splitter.last_event, Equals("8"))
    assert_that(splitter.has_partial_event, Is(False))


def test_an_incomplete_event_is_not_forwarded() -> None:
    splitter = EventSplitter()
    forwarded = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert_that(forwarded, Equals(b"id: 1\ndata: a\n\n"))
    assert_that(splitter.last_event, Equals("1"))
    assert_that(splitter.has_partial_event, Is(True))


def test_an_event_that_the_caller_has_already_is_a_fault() -> None:
    splitter = EventSplitter(last_event="4")
    forwarded = splitter.feed(b"id: 5\n\nid: 5\n\nid: 6\n\n")
    assert_that(forwarded, Equals(b"id: 5\n\n"))
    assert_that(splitter.is_faulty, Is(True))


def test_retries_of_all_nodes_stay_within_the_shared_limit() -> None:
    nodes = 9
    budgets = [
        RetryBudget(ratio=0.2, slack=136.0, window_s=10.0) for _ in range(nodes)
    ]
    generator = random.Random(2)
    retries: list[float] = []
    requests: list[float] = []
    for step in range(4000):
        now = step * 0.01
        budget = generator.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        for _ in range(3):
            chosen = generator.choice(budgets)
            chosen.refill(nodes, now)
            if chosen.reserve():
                chosen.spend()
                retries.append(now)
    for end in range(10, 40):
        retries_in_window = [at for at in retries if end - 10 < at <= end]
        requests_in_window = [at for at in requests if end - 10 < at <= end]
        assert_that(
            len(retries_in_window),
            LessThan(0.2 * len(requests_in_window) + 136 + 1),
        )
    assert_that(len(retries), GreaterThan(400))


def test_a_group_is_stalled_when_none_of_its_streams_progresses() -> None:
    watch = StallDetector()
    watch.record_sent("a", 0.0)
    watch.record_sent("b", 0.0)
    watch.record_progress(0.1)
    assert_that(watch.is_stalled(LIMITS, 0.25), Is(False))
    assert_that(watch.is_stalled(LIMITS, 0.35), Is(True))
    watch.record_progress(0.36)
    assert_that(watch.is_stalled(LIMITS, 0.4), Is(False))
    watch.record_end("a")
    watch.record_end("b")
    assert_that(watch.is_stalled(LIMITS, 9.0), Is(False))


def test_an_idle_time_before_a_stream_is_no_stall() -> None:
    watch = StallDetector()
    watch.record_sent("a", 0.0)
    watch.record_progress(0.1)
    watch.record_end("a")
    watch.record_sent("b", 5.0)
    assert_that(watch.is_stalled(LIMITS, 5.1), Is(False))
    assert_that(watch.is_stalled(LIMITS, 5.6), Is(True))


# Failure: a node that had stood still took all its streams from all groups at
# once, and so used up the attempt that they needed later.
@pytest.mark.parametrize("standstill_s", [0.0, 0.06, 0.4, 2.0])
def test_a_standstill_of_the_node_is_no_stall(standstill_s: float) -> None:
    meter = StandstillMeter(interval_s=0.05)
    watch = StallDetector()
    watch.record_sent("a", 0.0)
    watch.record_progress(0.1)
    for checked_at in (0.1, 0.15, 0.2 + standstill_s):
        watch.exclude(meter.measure(checked_at))
        assert_that(watch.is_stalled(LIMITS, checked_at), Is(False))
    # The group is silent for longer than the standstill.
    checked_at = 0.45 + standstill_s
    watch.exclude(meter.measure(0.25 + standstill_s))
    assert_that(watch.is_stalled(LIMITS, checked_at), Is(True))


def test_a_standstill_extends_the_time_to_the_first_event() -> None:
    watch = StallDetector()
    watch.record_sent("a", 0.0)
    watch.exclude(0.4)
    assert_that(watch.is_stalled(LIMITS, 0.4 + 0.3), Is(False))
    assert_that(watch.is_stalled(LIMITS, 0.4 + 9.0), Is(True))


def test_the_stall_limit_leaves_time_within_the_longest_pause() -> None:
    large = compute_stall_limits(
        ENGINE, time_factor=LARGE.time_factor, running=6
    )
    small = compute_stall_limits(
        ENGINE, time_factor=SMALL.time_factor, running=6
    )
    assert_that(large.between_events_s, LessThan(0.3))
    assert_that(small.between_events_s, LessThan(0.2))
    full = compute_stall_limits(ENGINE, time_factor=1.0, running=99)
    assert_that(full.between_events_s, GreaterThan(large.between_events_s))


def test_the_stall_limit_allows_for_reading_concurrent_prompts() -> None:
    limits = compute_stall_limits(ENGINE, time_factor=1.0, running=13)
    reading_s = 13 * 1076 / 46000
    watch = StallDetector()
    for number in range(13):
        watch.record_sent(str(number), 0.0)
    assert_that(watch.is_stalled(limits, reading_s + 0.15), Is(False))
    assert_that(watch.is_stalled(limits, limits.first_event_s + 0.01), Is(True))


def test_one_node_claims_without_contact_with_a_leader() -> None:
    nodes = [
        Leadership(node=f"n{rank}", incarnation="i", now=0.0)
        for rank in range(3)
    ]
    contact_timeout_s = MISSED_INTERVALS * find_interval(3)
    early = contact_timeout_s + CLAIM_STAGGER_S / 2
    claims = [
        node.should_claim(rank, 3, early) for rank, node in enumerate(nodes)
    ]
    assert_that(claims, Equals([True, False, False]))
    claim = Claim(term=5, entry=nodes[0].own_entry)
    for node in nodes:
        node.record_claim(claim, early)
    assert_that(
        [node.is_leader for node in nodes], Equals([True, False, False])
    )
    later = early + contact_timeout_s
    assert_that(nodes[1].should_claim(0, 3, later), Is(False))


def test_one_node_replaces_a_leader_that_cannot_reach_the_store() -> None:
    nodes = [
        Leadership(node=f"n{rank}", incarnation="i", now=0.0)
        for rank in range(3)
    ]
    for node in nodes:
        node.record_claim(Claim(5, LeaderEntry("m", "j")), 0.0)
        node.record_announcement(
            5, lost_after_s=1.0, is_stepping_down=True, now=0.1
        )
    claims = [
        node.should_claim(rank, 3, 0.1 + CLAIM_STAGGER_S / 2)
        for rank, node in enumerate(nodes)
    ]
    assert_that(claims, Equals([True, False, False]))
    for node in nodes:
        node.record_claim(Claim(6, nodes[0].own_entry), 0.2)
    assert_that(nodes[1].should_claim(1, 3, 0.6), Is(False))


def test_any_node_replaces_a_leader_that_keeps_announcing_its_stop() -> None:
    # The leader announces each 0.25 s; the first three nodes are lost as well.
    node = Leadership(node="n", incarnation="i", now=0.0)
    node.record_claim(Claim(5, LeaderEntry("m", "j")), 0.0)
    claimed = None
    for step in range(40):
        now = step * 0.05
        if step % 5 == 0:
            node.record_announcement(
                5, lost_after_s=0.75, is_stepping_down=True, now=now
            )
        if claimed is None and node.should_claim(3, 9, now):
            claimed = now
    assert claimed is not None
    assert_that(claimed, LessThan(3 * CLAIM_STAGGER_S + 0.06))


def test_a_leader_whose_process_was_replaced_is_lost_at_once() -> None:
    leadership = Leadership(node="n", incarnation="i", now=0.0)
    leadership.record_claim(Claim(5, LeaderEntry("m", "old")), 0.0)
    leadership.record_node(LeaderEntry("o", "new"), 0.01)
    assert_that(leadership.should_claim(0, 3, 0.02), Is(False))
    leadership.record_node(LeaderEntry("m", "new"), 0.02)
    assert_that(leadership.should_claim(0, 3, 0.03), Is(True))


def test_a_claim_with_a_lower_term_is_ignored() -> None:
    leadership = Leadership(node="n", incarnation="i", now=0.0)
    leadership.record_claim(Claim(7, LeaderEntry("m", "j")), 0.0)
    is_new = leadership.record_claim(Claim(6, leadership.own_entry), 0.0)
    assert_that(is_new, Is(False))
    assert_that(leadership.is_leader, Is(False))


def test_a_restarted_process_is_not_the_leader_by_its_former_claim() -> None:
    leadership = Leadership(node="n", incarnation="new", now=0.0)
    leadership.record_claim(Claim(7, LeaderEntry("n", "old")), 0.0)
    assert_that(leadership.is_leader, Is(False))


def test_names_of_groups_contain_their_model() -> None:
    epoch = groupnames.make_epoch(3, 12)
    name = groupnames.make_name("m.x", epoch, is_standby=True)
    parsed = groupnames.parse_name(name)
    assert parsed is not None
    assert_that((parsed.model, parsed.is_standby), Equals(("m.x", True)))
    assert_that(groupnames.parse_name("other") is None, Is(True))
    assert_that(groupnames.make_epoch(4, 0), GreaterThan(epoch))


@pytest.mark.parametrize(
    ("has_endpoints", "is_forming", "shortest", "longest"),
    [
        (True, False, 0.01, 0.3),
        (False, True, 1.0, REPAIR_S),
        (False, False, 0.0, 0.0),
    ],
)
def test_a_request_waits_only_for_a_slot_that_may_become_available(
    has_endpoints: bool, is_forming: bool, shortest: float, longest: float
) -> None:
    wait = WaitingRequest(
        Timeliness.ON_TIME, limit_s=6.0, on_time_s=0.25, gives_up_s=1.8
    )
    prospect = Availability(has_endpoints=has_endpoints, is_forming=is_forming)
    patience = decide_wait(wait, prospect, draw=0.5)
    assert_that(patience.wait_s >= shortest, Is(True))
    assert_that(patience.wait_s <= longest, Is(True))
    assert_that(patience.retry_after_s, GreaterThan(0.0))


def test_the_time_without_a_leader_counts_from_its_loss_or_notice() -> None:
    leadership = Leadership(node="n", incarnation="i", now=0.0)
    claim = Claim(5, LeaderEntry("m", "j"))
    leadership.record_claim(claim, 1.0)

    def announce(now: float, *, is_stepping_down: bool) -> None:
        leadership.record_announcement(
            5, lost_after_s=0.75, is_stepping_down=is_stepping_down, now=now
        )

    announce(2.0, is_stepping_down=False)
    assert_that(leadership.find_leaderless_s(2.7), Equals(0.0))
    assert_that(leadership.find_leaderless_s(3.0), Equals(0.25))
    announce(3.0, is_stepping_down=True)
    announce(3.5, is_stepping_down=True)
    assert_that(leadership.find_leaderless_s(3.6), Equals(3.6 - 3.0))
    announce(4.0, is_stepping_down=False)
    assert_that(leadership.find_leaderless_s(4.1), Equals(0.0))


def test_a_request_that_was_held_back_is_sent_elsewhere() -> None:
    # Nothing reached the server, so it uses up no attempt.
    step = decide_next(
        SendOutcome.HELD,
        status=0,
        progress=Progress(sends=1, may_have_run=True),
        may_retry=False,
        max_attempts=1,
    )
    assert_that(step, Is(NextStep.RETRY))


# Failure: a stream was cut since the only server tried after its own one had
# rejected it.
@pytest.mark.parametrize(
    ("has_begun", "following"),
    [(True, NextStep.RETRY), (False, NextStep.GIVE_UP)],
)
def test_a_rejection_uses_up_no_attempt_of_a_stream_that_has_begun(
    has_begun: bool, following: NextStep
) -> None:
    step = decide_next(
        SendOutcome.NOT_RUN,
        status=503,
        progress=Progress(sends=2, may_have_run=True, uncounted=1),
        may_retry=True,
        max_attempts=2,
        has_begun=has_begun,
    )
    assert_that(step, Is(following))
