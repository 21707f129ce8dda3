"""Admission control, checked against a simple model of all requests."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    IsInstance,
    LessThan,
)

from chervilrock.decisions.limits import admission as admissions
from chervilrock.decisions.limits import state, verdicts
from chervilrock.decisions.routing import base
from chervilrock.generated import configuration, interfaces

BOUND = 3
MEMBERS = [f"node{i}" for i in range(8)]
LIMITS: configuration.LimitSpec = {
    "queue": 6,
    "queue_wait_ms": 2000,
    "retry_ratio": 0.1,
}
WORKSPACES: list[configuration.WorkspaceSpec] = [
    {"name": "large", "share": 2.0},
    {"name": "small"},
    {"name": "bounded", "max_in_flight": BOUND},
]


def make_endpoints(count, model="m"):
    return [
        base.Endpoint(
            f"{model}-{i}", i + 1, model, "1", (), f"10.0.0.{i}:1", "dc", 2
        )
        for i in range(count)
    ]


def make_request(number, *, workspace="small", model="m", **fields):
    values = {
        "request_id": str(number),
        "workspace": workspace,
        "model": model,
        "adapter": "",
        "prefix_blocks": (),
        "prompt_tokens": 100,
        "max_tokens": 100,
        "priority": 5,
        "idempotent": True,
        "deadline": 1e9,
    }
    return base.RequestView(**(values | fields))


@pytest.fixture
def admission():
    made = admissions.Admission(node="a", limits=LIMITS, workspaces=WORKSPACES)
    made.observe_members(MEMBERS, 0.0)
    made.observe_groups(make_endpoints(1), 0.0)
    return made


def fill(admission, now=0.0, workspace="large"):
    """Offer requests until one is not admitted, and return their ids."""
    for number in range(1000):
        request = make_request(f"fill{number}", workspace=workspace)
        verdict = admission.offer(request, now)
        if not isinstance(verdict, verdicts.Admitted):
            return [f"fill{i}" for i in range(number)], verdict
    raise AssertionError("never full")


class AdmissionMachine(RuleBasedStateMachine):
    """Tracks each request; each must have exactly one outcome."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.running = {}
        self.waiting = {}
        self.ended = {}
        self.admission = admissions.Admission(
            node="a", limits=LIMITS, workspaces=WORKSPACES
        )

    @initialize(count=st.integers(0, 3))
    def start(self, count):
        self.admission.observe_members(MEMBERS, self.now)
        self.admission.observe_groups(make_endpoints(count), self.now)

    def record_end(self, request_id, outcome):
        assert_that(request_id in self.ended, Equals(False))
        self.ended[request_id] = outcome

    def check_admitted(self, request_id, request):
        self.running[request_id] = request
        model = self.admission.snapshot()["models"][request.model]
        capacity = max(1, int(sum(model["limits"].values()) + 0.02))
        running = [
            each
            for each in self.running.values()
            if each.model == request.model
        ]
        assert_that(len(running), LessThan(capacity + 1))
        bounded = [
            each
            for each in self.running.values()
            if each.workspace == "bounded"
        ]
        assert_that(len(bounded), LessThan(BOUND + 1))

    def check_rejected(self, rejected):
        self.record_end(rejected.request_id, rejected.code)
        assert_that(rejected.retry_after_s, GreaterThan(0.0))
        assert_that(rejected.retry_after_s, LessThan(31.0))

    def check_all_admitted(self, request_ids):
        for request_id in request_ids:
            self.check_admitted(request_id, self.waiting.pop(request_id))

    @rule(
        workspace=st.sampled_from(["large", "small", "bounded", "unknown"]),
        model=st.sampled_from(["m", "m", "m", "n", "none"]),
        priority=st.integers(0, 9),
        patience_s=st.floats(0.0, 5.0),
        tokens=st.integers(1, 5000),
    )
    def offer(self, workspace, model, priority, patience_s, tokens):
        self.number += 1
        request = make_request(
            self.number,
            workspace=workspace,
            model=model,
            priority=priority,
            deadline=self.now + patience_s,
            prompt_tokens=tokens,
        )
        verdict = self.admission.offer(request, self.now)
        assert_that(verdict.request_id, Equals(request.request_id))
        if isinstance(verdict, verdicts.Admitted):
            self.check_admitted(request.request_id, request)
        elif isinstance(verdict, verdicts.Queued):
            self.waiting[request.request_id] = request
            for rejected in verdict.displaced:
                del self.waiting[rejected.request_id]
                self.check_rejected(rejected)
        else:
            self.check_rejected(verdict)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), ok=st.booleans(), tokens=st.integers(0, 500))
    def release(self, data, ok, tokens):
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[request_id]
        self.record_end(request_id, "released")
        self.check_all_admitted(
            self.admission.release(request_id, self.now, ok, tokens=tokens)
        )
        again = self.admission.release(request_id, self.now, ok)
        assert_that(len(again), Equals(0))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[request_id]
        self.record_end(request_id, "cancelled")
        assert_that(self.admission.cancel(request_id, self.now), Equals(True))
        assert_that(self.admission.cancel(request_id, self.now), Equals(False))

    @rule(seconds=st.floats(0.01, 3.0))
    def tick(self, seconds):
        self.now += seconds
        for rejected in self.admission.expire(self.now):
            del self.waiting[rejected.request_id]
            self.check_rejected(rejected)
        for request in self.waiting.values():
            assert_that(request.deadline, GreaterThan(self.now))
        self.check_all_admitted(self.admission.admit(self.now))

    @rule(count=st.integers(0, 3), other=st.integers(0, 1))
    def change_groups(self, count, other):
        endpoints = make_endpoints(count) + make_endpoints(other, "n")
        self.admission.observe_groups(endpoints, self.now)

    @rule(queue=st.integers(0, 8))
    def change_limits(self, queue):
        limits = LIMITS.copy()
        limits["queue"] = queue
        self.admission.set_limits(limits, WORKSPACES, self.now)

    @rule(
        group=st.sampled_from(["m-0", "m-1", "n-0"]), waiting=st.integers(0, 9)
    )
    def report_load(self, group, waiting):
        load: interfaces.EngineLoad = {
            "running": 4,
            "waiting": waiting,
            "cache_used": 0.5,
            "tokens_per_s": 1.0,
            "age_ms": 100,
        }
        self.admission.observe_load(group, load, self.now)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), waited_s=st.floats(0.0, 5.0))
    def first_token(self, data, waited_s):
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        self.admission.observe_first_token(
            request_id, "m-0", waited_s, self.now
        )

    @rule(
        peers=st.lists(st.sampled_from(["b", "c"]), unique=True),
        in_flight=st.integers(0, BOUND),
    )
    def receive_peer_uses(self, peers, in_flight):
        use = interfaces.WorkspaceUse("bounded", in_flight, 0, 1)
        self.admission.observe_members(["b", "c"], self.now)
        self.admission.observe_peer_uses(
            [interfaces.NodeUse(peer, 100, (use,)) for peer in peers],
            self.now,
        )

    @invariant()
    def counts_agree(self):
        snapshot = self.admission.snapshot()
        assert_that(snapshot["running"], Equals(len(self.running)))
        assert_that(snapshot["waiting"], Equals(len(self.waiting)))
        offered = len(self.running) + len(self.waiting) + len(self.ended)
        assert_that(offered, Equals(self.number))

    def teardown(self):
        self.now += 100.0
        for rejected in self.admission.expire(self.now):
            del self.waiting[rejected.request_id]
            self.check_rejected(rejected)
        assert_that(len(self.waiting), Equals(0))
        for request_id in list(self.running):
            del self.running[request_id]
            self.record_end(request_id, "released")
            self.admission.release(request_id, self.now, True)
        self.counts_agree()


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=40
)


def test_request_offered_twice_is_an_error(admission):
    admission.offer(make_request(1), 0.0)
    with pytest.raises(ValueError):
        admission.offer(make_request(1), 0.0)


def test_unknown_model_is_rejected_at_once(admission):
    verdict = admission.offer(make_request(1, model="other"), 0.0)
    assert_that(verdict.code, Equals(verdicts.RejectCode.NO_GROUP))


def test_small_workspace_starts_beside_one_that_fills_the_slots(admission):
    admission.observe_groups(make_endpoints(5), 0.0)
    admission.offer(make_request("seen"), 0.0)
    admission.release("seen", 0.0, True)
    fill(admission)
    verdict = admission.offer(make_request("small"), 0.1)
    assert_that(verdict, IsInstance(verdicts.Admitted))


def test_waiting_request_is_admitted_when_a_slot_is_released(admission):
    admitted, verdict = fill(admission)
    assert_that(verdict, IsInstance(verdicts.Queued))
    now_admitted = admission.release(admitted[0], 0.1, True)
    assert_that(now_admitted, Equals((verdict.request_id,)))


def test_request_that_would_wait_too_long_is_rejected_at_once(admission):
    fill(admission)
    codes = []
    for number in range(20):
        verdict = admission.offer(
            make_request(number, workspace="large", deadline=0.5), 0.0
        )
        if isinstance(verdict, verdicts.Rejected):
            codes.append(verdict.code)
    assert_that(codes, Contains(verdicts.RejectCode.OVERLOADED))


def test_full_queue_displaces_from_the_longest_workspace_queue(admission):
    fill(admission)
    for number in range(20):
        admission.offer(make_request(number, workspace="large"), 0.0)
    verdict = admission.offer(make_request("small"), 0.0)
    assert_that(verdict, IsInstance(verdicts.Queued))
    assert_that(verdict.displaced, HasLength(1))
    displaced = verdict.displaced[0]
    assert_that(displaced.code, Equals(verdicts.RejectCode.QUEUE_FULL))


def test_retry_delays_of_rejected_callers_are_staggered(admission):
    fill(admission)
    delays = []
    for number in range(30):
        verdict = admission.offer(make_request(number, workspace="large"), 0.0)
        if isinstance(verdict, verdicts.Rejected):
            delays.append(verdict.retry_after_s)
    assert_that(delays, Equals(sorted(set(delays))))


def test_retries_are_at_most_a_tenth_of_the_first_attempts(admission):
    retries = 0
    for number in range(500):
        verdict = admission.offer(make_request(number), 0.0)
        assert_that(verdict, IsInstance(verdicts.Admitted))
        while admission.allow_retry(make_request(number), 0.0):
            retries += 1
        admission.release(str(number), 0.0, False)
    assert_that(retries, LessThan(500 * 0.1 + 2))
    assert_that(retries, GreaterThan(45))


def test_request_that_is_not_idempotent_is_never_hedged(admission):
    request = make_request(1, idempotent=False)
    for number in range(100):
        admission.offer(make_request(f"seen{number}"), 0.0)
        admission.observe_first_token(f"seen{number}", "m-0", 0.1, 0.0)
        admission.release(f"seen{number}", 0.0, True)
    assert_that(admission.hedge_delay(request, 0.0), Equals(None))
    assert_that(admission.allow_hedge(request, 0.0), Equals(False))
    other = make_request(2)
    assert_that(admission.hedge_delay(other, 0.0), GreaterThan(0.1))
    assert_that(admission.allow_hedge(other, 0.0), Equals(True))


def test_unlisted_workspaces_share_one_account(admission):
    for number in range(100):
        name = f"invented{number}"
        admission.offer(make_request(number, workspace=name), 0.0)
    running = admission.snapshot()["models"]["m"]["running"]
    assert_that(list(running), Equals([state.UNLISTED_WORKSPACE]))
