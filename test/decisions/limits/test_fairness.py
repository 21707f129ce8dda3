"""Division of the queue by fair shares."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from chervilrock.decisions.limits import fairness
from chervilrock.decisions.routing import base

MAX_COST = 500.0


def make_request(number, workspace, priority=5):
    return base.RequestView(
        str(number), workspace, "m", "", (), 100, 100, priority, True, 1e9
    )


@pytest.fixture
def queue():
    return fairness.FairQueue()


@given(
    shares=st.lists(st.floats(0.5, 4.0), min_size=2, max_size=5),
    costs=st.lists(st.floats(1.0, MAX_COST), min_size=50, max_size=100),
)
def test_served_cost_follows_the_shares_while_all_wait(shares, costs):
    queue = fairness.FairQueue()
    names = [f"w{i}" for i in range(len(shares))]
    share_of = dict(zip(names, shares, strict=True)).__getitem__
    number = 0
    for name in names:
        for cost in costs:
            number += 1
            queue.push(make_request(number, name), cost, 0.0)
    served = dict.fromkeys(names, 0.0)
    for _ in range(len(costs)):
        entry = queue.pop(share_of, lambda name: True)
        assert entry is not None
        served[entry.request.workspace] += entry.cost
    per_share = [served[name] / share_of(name) for name in names]
    # Start-time fair queueing is fair to within one request per workspace.
    least = min(shares)
    assert_that(
        max(per_share) - min(per_share), LessThan(2 * MAX_COST / least + 1)
    )


def test_idle_workspace_accumulates_no_credit(queue):
    for number in range(40):
        queue.push(make_request(number, "busy"), 10.0, 0.0)
    for _ in range(20):
        queue.pop(lambda name: 1.0, lambda name: True)
    for number in range(40, 60):
        queue.push(make_request(number, "late"), 10.0, 0.0)
    served = [
        queue.pop(lambda name: 1.0, lambda name: True).request.workspace
        for _ in range(20)
    ]
    assert_that(abs(served.count("late") - 10), LessThan(2))


def test_priority_goes_before_arrival_within_a_workspace(queue):
    queue.push(make_request(1, "w", priority=5), 1.0, 0.0)
    queue.push(make_request(2, "w", priority=1), 1.0, 0.0)
    entry = queue.pop(lambda name: 1.0, lambda name: True)
    assert_that(entry.request.request_id, Equals("2"))


def test_workspace_that_may_not_run_is_skipped(queue):
    queue.push(make_request(1, "a"), 1.0, 0.0)
    queue.push(make_request(2, "b"), 1.0, 0.0)
    entry = queue.pop(lambda name: 1.0, lambda name: name == "b")
    assert_that(entry.request.request_id, Equals("2"))
    assert_that(
        queue.pop(lambda name: 1.0, lambda name: name == "b"), Equals(None)
    )
