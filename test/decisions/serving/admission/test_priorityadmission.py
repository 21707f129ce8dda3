"""Admission by priority across nodes, and its replays beside the former method.

Guards against a burst of less urgent requests that takes the slots of the most
urgent ones, and against an order that starves the others, wastes slots or stays
in force after the burst.
"""

import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.priorityadmission import (
    Candidate,
    Capacity,
    find_priorities,
    MAX_SUMS_AGE_S,
    PriorityAdmission,
    STARVATION_RATIO,
    STARVATION_S,
)
from chervilrock.decisions.serving.admission.waiting import (
    Availability,
    decide_wait,
    WaitDecision,
    WaitingRequest,
)
from chervilrock.decisions.serving.site import Workspace
from test.decisions.serving import admission_replay
from test.decisions.serving.admission_replay import (
    MODEL,
    replay,
    Scenario,
    SERVICE,
    WARM_UP_S,
)

NOW_S = 50.0
SIZES = [6, 86, 400]
TABLE = admission_replay.make_table()
REQUEST = Candidate(MODEL, 2, 0, Timeliness.ON_TIME, 1.0, "w", "r1")


def make_admission(waiting: int, free: int) -> PriorityAdmission:
    """Return an admission after sums with most urgent waiting requests."""
    admission = PriorityAdmission()
    admission.configure(TABLE.configuration)
    record(admission, waiting, free, NOW_S)
    return admission


def record(
    admission: PriorityAdmission, waiting: int, free: int, now: float
) -> None:
    admission.record_sums(
        {MODEL: {0: waiting}},
        {},
        {},
        {MODEL: Capacity(100, free, 10)},
        senders=4,
        now=now,
    )


def may_take(
    admission: PriorityAdmission,
    request: Candidate,
    free: int,
    own: dict[int, int] | None = None,
    now: float = NOW_S,
) -> bool:
    return admission.may_take(request, own or {}, lambda: free, now)


def test_less_urgent_requests_leave_the_slots_that_more_urgent_ones_need() -> (
    None
):
    admission = make_admission(waiting=5, free=8)
    assert_that(may_take(admission, REQUEST, 5), Is(False))
    assert_that(may_take(admission, REQUEST, 6), Is(True))
    assert_that(may_take(admission, REQUEST, 6, own={0: 1, 2: 9}), Is(False))
    urgent = REQUEST._replace(priority=0)
    assert_that(may_take(admission, urgent, 0), Is(True))


def test_late_requests_leave_slots_for_those_on_time_and_streams_do_not() -> (
    None
):
    admission = make_admission(waiting=0, free=8)
    late = REQUEST._replace(priority=0, timeliness=Timeliness.LATE)
    assert_that(may_take(admission, late, 3, own={2: 3}), Is(False))
    assert_that(may_take(admission, late, 4, own={2: 3}), Is(True))
    begun = REQUEST._replace(timeliness=Timeliness.BEGUN)
    assert_that(may_take(admission, begun, 0, own={0: 3}), Is(True))


def test_old_sums_are_ignored() -> None:
    # Without a leader a node goes by its own queue.
    admission = make_admission(waiting=5, free=0)
    later = NOW_S + MAX_SUMS_AGE_S + 0.1
    assert_that(may_take(admission, REQUEST, 1, now=later), Is(True))
    own = {0: 1}
    assert_that(may_take(admission, REQUEST, 1, own, later), Is(False))
    assert_that(admission.find_demand(MODEL, later) is None, Is(True))
    assert_that(admission.find_hopeless_s(REQUEST, {}, later), Equals(0.0))


def test_one_empty_sum_does_not_open_the_slots_at_once() -> None:
    # Urgent requests wait for less than the time between two sums, so that
    # less urgent ones would fill the slots in every second interval.
    admission = make_admission(waiting=5, free=5)
    record(admission, 0, 5, NOW_S + 0.3)
    assert_that(may_take(admission, REQUEST, 5, now=NOW_S + 0.3), Is(False))
    record(admission, 0, 5, NOW_S + 1.2)
    assert_that(may_take(admission, REQUEST, 5, now=NOW_S + 1.2), Is(True))


def test_requests_are_rejected_early_but_for_a_part() -> None:
    admission = make_admission(waiting=5, free=0)
    for step in range(1, 11):
        record(admission, 5, 0, NOW_S + step * 0.2)
    later = NOW_S + 2.0
    assert_that(STARVATION_S, LessThan(2.0))
    hopeful = sum(
        not admission.find_hopeless_s(
            REQUEST._replace(request_id=f"r{number}"), {}, later
        )
        for number in range(2000)
    )
    assert_that(abs(hopeful / 2000 - STARVATION_RATIO) < 0.05, Is(True))
    assert_that(
        admission.find_hopeless_s(REQUEST, {}, NOW_S + 0.5), Equals(0.0)
    )


def test_nodes_share_free_slots_by_what_waits_there() -> None:
    # Guards against slots that go to nodes where nothing urgent waits.
    def allot(own: dict[int, int], others: dict[int, int]) -> float:
        admission = PriorityAdmission()
        admission.configure(TABLE.configuration)
        admission.record_sums(
            {MODEL: others},
            {},
            {MODEL: own},
            {MODEL: Capacity(100, 10)},
            senders=4,
            now=NOW_S,
        )
        demand = admission.find_demand(MODEL, NOW_S)
        assert demand is not None
        return 10 * (demand.waiting + demand.rest / 4)

    shared = [allot({0: 6}, {0: 2, 2: 4}), allot({0: 2}, {0: 6, 2: 4})]
    shared += [allot({2: 4}, {0: 8}), allot({}, {0: 8, 2: 4})]
    assert_that([round(one, 6) for one in shared], Equals([6.0, 2.0, 2.0, 0.0]))
    assert_that(allot({}, {0: 2}), Equals(2.0))


def test_a_model_with_requests_of_one_priority_has_no_competition() -> None:
    # Guards against a model of which all requests are equally urgent being
    # served in another way because another model of its service is not.
    admission = PriorityAdmission()
    admission.configure(TABLE.configuration)
    admission.record_arrival(MODEL, 1)
    assert_that(admission.has_competition(MODEL), Is(False))
    assert_that(admission.find_pool_top(MODEL), Equals(1))
    admission.record_sums(
        {MODEL: {0: 0, 2: 1}},
        {},
        {},
        {MODEL: Capacity(100, 10)},
        senders=4,
        now=NOW_S,
    )
    assert_that(admission.has_competition(MODEL), Is(True))
    assert_that(admission.find_pool_top(MODEL), Equals(1))


def test_only_services_with_several_priorities_are_concerned() -> None:
    routes = TABLE.configuration.routes
    one = TABLE.configuration._replace(routes=routes[:1])
    assert_that(not find_priorities(one), Is(True))
    known = find_priorities(TABLE.configuration)
    assert_that(list(known[SERVICE]), Equals([0, 1, 2]))
    closed = [route._replace(is_public=False) for route in routes[:1]]
    keys = {"k": Workspace("a", 3), "l": Workspace("b", None)}
    own = one._replace(routes=tuple(closed), keys=keys)
    assert_that(list(find_priorities(own)[SERVICE]), Equals([0, 3]))
    del keys["l"]
    assert_that(not find_priorities(own), Is(True))


def test_slots_are_kept_for_arriving_requests_that_full_groups_delay() -> None:
    def find_least_free(*, is_late: bool) -> int:
        admission = make_admission(waiting=0, free=50)
        for step in range(1, 21):
            for _ in range(10):
                admission.record_arrival(MODEL, 0)
                admission.record_first_event(MODEL, 0, is_late=is_late)
            record(admission, 0, 50, NOW_S + 0.1 * step)
        now = NOW_S + 2.0
        return next(
            free
            for free in range(100)
            if may_take(admission, REQUEST, free, now=now)
        )

    assert_that(find_least_free(is_late=False), Equals(0))
    assert_that(find_least_free(is_late=True), GreaterThan(20))


def test_the_most_urgent_are_shed_in_part_while_they_exceed_the_capacity() -> (
    None
):
    urgent = REQUEST._replace(priority=0, on_time_s=0.15)
    admission = make_admission(waiting=0, free=0)
    admission.record_held(MODEL, 1.0)

    def count_shed(waiting: int, own: int, begin: float, end: float) -> int:
        for step in range(round((end - begin) / 0.1)):
            record(admission, waiting, 0, begin + 0.1 * step)
        return sum(
            admission.find_hopeless_s(
                urgent._replace(request_id=f"r{number}"), {0: own}, end
            )
            > 0
            for number in range(1000)
        )

    assert_that(count_shed(0, 5, NOW_S, NOW_S + 0.5), Equals(0))
    # 100 slots of one second each, and twice as many arrivals.
    shed = count_shed(15, 5, NOW_S + 0.5, NOW_S + 1.5)
    assert_that(shed, GreaterThan(150))
    assert_that(shed, LessThan(500))
    # The next slot must find a request that waits.
    assert_that(count_shed(15, 0, NOW_S + 1.5, NOW_S + 1.6), Equals(0))
    assert_that(count_shed(0, 5, NOW_S + 1.6, NOW_S + 7.6), LessThan(30))


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_rejected_callers_return_spread_over_time(draw: float) -> None:
    full = Availability(True, False, hopeless_s=2.0)
    request = WaitingRequest(Timeliness.ON_TIME, 6.0, 0.9, 1.7)
    expected = WaitDecision(0.0, 2.0 * (0.5 + draw))
    assert_that(decide_wait(request, full, draw), Equals(expected))
    begun = request._replace(timeliness=Timeliness.BEGUN)
    assert_that(decide_wait(begun, full, draw).wait_s, GreaterThan(0.0))


# Replays.


def make_burst(**factors: float):
    return lambda kind, _: factors.get(kind.replace("-", "_"), 1.0)


NONE = Scenario(make_burst())
LEAST = NONE._replace(factors=make_burst(dispute_digest=2.5))
TOP = NONE._replace(factors=make_burst(quick_ask=2.0))
BOTH = NONE._replace(factors=make_burst(quick_ask=2.0, dispute_digest=2.5))
WAVE = Scenario(
    lambda _, after: 1.0 + 0.2 * math.sin(2 * math.pi * after / 11.0),
    burst_s=5.5,
)
URGENT = "quick-ask"
LESS_URGENT = ("bill-explain", "dispute-digest")


def measure(
    monkeypatch, scenario: Scenario, nodes: int, *, seeds: int = 1, **options
) -> float:
    """Return how often the most urgent requests were on time under load."""
    end_s = WARM_UP_S + scenario.burst_s
    results = [
        replay(monkeypatch, scenario, nodes, seed=seed + 1, **options)
        for seed in range(seeds)
    ]
    return sum(one.rate(URGENT, WARM_UP_S, end_s) for one in results) / seeds


@pytest.mark.parametrize("nodes", SIZES)
def test_a_burst_of_the_least_urgent_kind_hardly_delays_the_most_urgent(
    monkeypatch, nodes: int
) -> None:
    # Slots are scarce with three groups fewer, also without the burst.
    def find_ratio(**options: bool) -> float:
        usual, burst = (
            measure(
                monkeypatch,
                scenario._replace(burst_s=4.0, lost_groups=3),
                nodes,
                seeds=2,
                **options,
            )
            for scenario in (NONE, LEAST)
        )
        return burst / usual

    assert_that(find_ratio(), GreaterThan(0.95))
    assert_that(find_ratio(has_priorities=False), LessThan(0.95))


@pytest.mark.parametrize("scenario", [TOP, BOTH], ids=["top", "both"])
@pytest.mark.parametrize("nodes", SIZES)
def test_a_burst_of_the_most_urgent_kind_starves_no_other_and_ends(
    monkeypatch, nodes: int, scenario: Scenario
) -> None:
    scenario = scenario._replace(recovery_s=4.0)
    result = replay(monkeypatch, scenario, nodes)
    end_s = WARM_UP_S + scenario.burst_s
    recovered_s = end_s + scenario.recovery_s
    everyone = result.served("", 0.0, recovered_s)
    for kind in LESS_URGENT:
        served = result.served(kind, 0.0, recovered_s)
        assert_that(served, GreaterThan(everyone / 4))
    # Back to normal two seconds after the burst.
    recovered = result.rate(URGENT, end_s + 2.0, recovered_s)
    usual = replay(monkeypatch, NONE, nodes).rate(URGENT, 0.0, end_s)
    assert_that(recovered, GreaterThan(0.8 * usual))


@pytest.mark.parametrize("nodes", SIZES)
def test_the_most_urgent_are_on_time_as_often_in_a_burst_of_both(
    monkeypatch, nodes: int
) -> None:
    scenario = BOTH._replace(burst_s=2.0)
    burst = measure(monkeypatch, scenario, nodes)
    former = measure(monkeypatch, scenario, nodes, has_priorities=False)
    assert_that(burst, GreaterThan(0.97 * former))


@pytest.mark.parametrize(
    "scenario",
    [
        WAVE,
        NONE._replace(lost_groups=6),
        LEAST._replace(has_leader=False),
        LEAST._replace(restarts=True),
    ],
    ids=["wave", "lost-groups", "lost-leader", "restarts"],
)
@pytest.mark.parametrize("nodes", SIZES)
def test_the_most_urgent_are_on_time_as_often_during_disturbances(
    monkeypatch, nodes: int, scenario: Scenario
) -> None:
    urgent = measure(monkeypatch, scenario, nodes)
    former = measure(monkeypatch, scenario, nodes, has_priorities=False)
    assert_that(urgent, GreaterThan(0.97 * former))


def test_with_a_single_priority_nothing_changes(monkeypatch) -> None:
    kinds = admission_replay.KINDS
    for name, kind in list(kinds.items()):
        monkeypatch.setitem(kinds, name, kind._replace(priority=1))
    scenario = BOTH._replace(burst_s=1.0)
    present = replay(monkeypatch, scenario, 6)
    former = replay(monkeypatch, scenario, 6, has_priorities=False)
    assert_that(present.counts, Equals(former.counts))
