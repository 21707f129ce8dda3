"""Bounds of workspaces over all nodes."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.decisions.limits import quota as quotas
from chervilrock.generated import interfaces

NODES = ("a", "b", "c")
MAX_REQUEST_S = 20.0
STEP_S = 0.25


class Cluster:
    """Nodes that run as many requests of a workspace as allowed."""

    def __init__(self, bound):
        self.bound = bound
        self.now = 0.0
        self.rng = random.Random(1)
        self.demand = dict.fromkeys(NODES, 0)
        self.end_times: dict[str, list[float]] = {node: [] for node in NODES}
        self.sides = dict.fromkeys(NODES, 0)
        self.quotas = {}
        for node in NODES:
            quota = quotas.Quota(node=node)
            quota.set_bounds({"w": bound}, max_request_s=MAX_REQUEST_S)
            quota.observe_members(NODES)
            self.quotas[node] = quota

    def running(self):
        return sum(len(end_times) for end_times in self.end_times.values())

    def use(self, node):
        running = len(self.end_times[node])
        waiting = max(0, self.demand[node] - running)
        reserved = self.quotas[node].reserved("w")
        return interfaces.WorkspaceUse("w", running, waiting, reserved)

    def step(self):
        self.now += STEP_S
        for node in NODES:
            self.end_times[node] = [
                e for e in self.end_times[node] if e > self.now
            ]
        for node in NODES:
            for peer in NODES:
                if self.sides[node] == self.sides[peer]:
                    peer_use = interfaces.NodeUse(peer, 50, (self.use(peer),))
                    self.quotas[node].observe_peer(peer_use, self.now)
        for node in NODES:
            self.quotas[node].update([self.use(node)], self.now)
            allowed = self.quotas[node].allowed("w")
            while len(self.end_times[node]) < min(allowed, self.demand[node]):
                length = self.rng.uniform(1.0, MAX_REQUEST_S)
                self.end_times[node].append(self.now + length)

    def run(self, seconds):
        max_running = 0
        for _ in range(int(seconds / STEP_S)):
            self.step()
            max_running = max(max_running, self.running())
        return max_running


@pytest.fixture
def cluster():
    return Cluster(9)


@given(
    bound=st.integers(0, 12),
    plan=st.lists(
        st.tuples(
            st.lists(st.integers(0, 12), min_size=3, max_size=3),
            st.lists(st.integers(0, 1), min_size=3, max_size=3),
            st.floats(0.5, 30.0),
        ),
        max_size=5,
    ),
)
def test_bound_holds_whatever_the_demand_and_the_partitions(bound, plan):
    cluster = Cluster(bound)
    for demands, sides, seconds in plan:
        cluster.demand = dict(zip(NODES, demands, strict=True))
        cluster.sides = dict(zip(NODES, sides, strict=True))
        assert_that(cluster.run(seconds), LessThan(bound + 1))


def test_node_alone_with_demand_gets_most_of_the_bound(cluster):
    cluster.demand["a"] = 100
    cluster.run(60.0)
    assert_that(len(cluster.end_times["a"]), GreaterThan(7))


def test_partitioned_node_keeps_its_equal_allocation(cluster):
    cluster.demand = dict.fromkeys(NODES, 100)
    cluster.run(60.0)
    cluster.sides["c"] = 1
    cluster.run(60.0)
    running = {
        node: len(end_times) for node, end_times in cluster.end_times.items()
    }
    assert_that(running, Equals(dict.fromkeys(NODES, 3)))


def test_allocation_of_a_partitioned_node_is_not_given_to_others(cluster):
    cluster.sides["c"] = 1
    cluster.demand = {"a": 100, "b": 100, "c": 0}
    cluster.run(100.0)
    assert_that(cluster.running(), Equals(6))


def test_older_peer_use_does_not_replace_a_newer_one(cluster):
    quota = cluster.quotas["a"]
    new = interfaces.WorkspaceUse("w", 5, 0, 5)
    old = interfaces.WorkspaceUse("w", 1, 0, 1)
    quota.observe_peer(interfaces.NodeUse("b", 0, (new,)), 10.0)
    quota.observe_peer(interfaces.NodeUse("b", 2000, (old,)), 10.5)
    known = {use.node: use for use in quota.peer_uses(10.5)}
    assert_that(known["b"].uses, Equals((new,)))
    assert_that(known["b"].age_ms, Equals(500))
