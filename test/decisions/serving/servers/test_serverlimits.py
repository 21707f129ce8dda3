"""Limits that servers name, as nodes of any number obey them together."""

import math
import random
from typing import Any, NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
)

from bench.limits import count_allowed, count_most, FROM_S
from chervilrock.decisions.serving.messages import StatedLimit
from chervilrock.decisions.serving.servers.limitregistry import LimitRegistry
from chervilrock.decisions.serving.servers.serverlimits import (
    choose_senders,
    EXTRA_SENDERS,
    FORGET_S,
    LimitChange,
    LimitedServer,
    ServerLimits,
)

SERVER = "s"
STEP_S = 0.05
ANNOUNCEMENT_LAG_S = 0.3
"""Time until all nodes have the first announcement of the leader."""


class Case(NamedTuple):
    """A fleet and the limit of a server.

    Attributes:
      nodes: number of its nodes.
      rate: requests a second that the server accepts.
    """

    nodes: int
    rate: float


CASES = [
    Case(nodes, rate)
    for nodes in (1, 7, 77, 195, 400)
    for rate in (0.0, 0.3, 1.3, 1.6, 5.0, 40.0)
]


class Fleet:
    """Nodes at which more requests for a server wait than it accepts.

    Attributes:
      arrivals: when the server got requests.
    """

    def __init__(self, *, case: Case, seed: int = 1) -> None:
        self._case = case
        self._generator = random.Random(seed)
        self.names = [f"n{number}" for number in range(case.nodes)]
        self._limits = {name: ServerLimits(own=name) for name in self.names}
        self._registry = LimitRegistry(known=())
        self.arrivals: list[float] = []

    def restart(self, names: list[str], now: float) -> None:
        """Restart nodes; they get the limit from the leader."""
        for name in names:
            self._limits[name] = ServerLimits(own=name)
            self._limits[name].apply_announcement(self._announce(now), now)

    def _announce(self, now: float) -> tuple[LimitedServer, ...]:
        return self._registry.list_servers([SERVER], self.names, now)

    def simulate(self, until_s: float, *, restarts_s: float = math.inf) -> None:
        """Send whatever may be sent; random nodes restart in turn."""
        announced_at = ANNOUNCEMENT_LAG_S
        next_restart_at = FROM_S
        for step in range(round(until_s / STEP_S)):
            now = step * STEP_S
            if announced_at <= now:
                announced_at = math.inf
                for limits in self._limits.values():
                    limits.apply_announcement(self._announce(now), now)
            if next_restart_at <= now:
                next_restart_at += restarts_s
                self.restart(self._generator.sample(self.names, 1), now)
            self._send(now)

    def _send(self, now: float) -> None:
        rate = self._case.rate
        for name in self.names:
            limits = self._limits[name]
            for _ in range(20):
                if not limits.may_send(SERVER, now):
                    break
                limits.consume(SERVER, now)
                self.arrivals.append(now)
                stated = StatedLimit(rate)
                limits.record_answer(SERVER, stated, self.names, now)
                self._registry.record(SERVER, rate)

    def count_most(self) -> int:
        """Return the most requests in a window once the limit holds."""
        return count_most(self.arrivals, FROM_S)

    def count_late(self) -> int:
        """Return the number of requests once the limit holds."""
        return sum(time >= FROM_S for time in self.arrivals)


@pytest.mark.parametrize("case", CASES)
def test_all_nodes_together_keep_to_the_limit(case) -> None:
    fleet = Fleet(case=case)
    fleet.simulate(30.0)
    allowed = count_allowed(case.rate)
    assert_that(float(fleet.count_most()), LessThan(allowed + 1e-6))


@pytest.mark.parametrize("case", CASES)
def test_restarting_nodes_keep_to_the_limit(case) -> None:
    fleet = Fleet(case=case)
    fleet.simulate(30.0, restarts_s=0.3)
    allowed = count_allowed(case.rate)
    assert_that(float(fleet.count_most()), LessThan(allowed + 1e-6))


@pytest.mark.parametrize("case", [case for case in CASES if case.rate >= 1])
def test_a_server_gets_most_of_what_its_limit_allows(case) -> None:
    fleet = Fleet(case=case)
    fleet.simulate(33.0)
    assert_that(fleet.count_late(), GreaterThan(0.8 * 30.0 * case.rate))


def test_a_limit_beyond_all_requests_delays_no_request() -> None:
    limits = make_limits(1e9)
    limits.apply_announcement([LimitedServer(SERVER, 1e9, ("n0", "n1"))], 0.0)
    for step in range(1, 200):
        now = step * 0.001
        for _ in range(10):
            assert_that(limits.may_send(SERVER, now), Is(True))
            limits.consume(SERVER, now)


def expect(value: Any, wanted: Any) -> None:
    assert_that(value, Equals(wanted))


def make_limits(rate: float | None, own: str = "n0") -> ServerLimits:
    limits = ServerLimits(own=own)
    limits.record_answer(SERVER, StatedLimit(rate), ["n0"], 0.0)
    return limits


def test_a_server_without_a_limit_gets_all_requests() -> None:
    limits = make_limits(None)
    assert_that(limits.may_send(SERVER, 0.0), Is(True))
    assert_that(limits.find_wait(SERVER, 0.0), Equals(0.0))
    assert_that(limits, HasLength(0))


def test_a_server_with_limit_zero_still_gets_a_request_at_times() -> None:
    limits = make_limits(0.0)
    assert_that(limits.may_send(SERVER, 9.0), Is(False))
    assert_that(limits.may_send(SERVER, 10.5), Is(True))


def test_a_node_that_is_not_a_sender_never_sends() -> None:
    limits = make_limits(5.0)
    limits.apply_announcement([LimitedServer(SERVER, 5.0, ("n1", "n2"))], 1.0)
    assert_that(limits.may_send(SERVER, 1e6), Is(False))
    assert_that(limits.find_wait(SERVER, 1e6), Equals(math.inf))


def test_an_answer_without_a_limit_ends_it() -> None:
    limits = make_limits(1.0)
    change = limits.record_answer(SERVER, StatedLimit(None), ["n0"], 1.0)
    expect(change, LimitChange.ENDED)
    assert_that(limits.may_send(SERVER, 1.0), Is(True))


def test_a_newer_observation_overrides_an_announced_limit() -> None:
    limits = make_limits(None)
    announced = [LimitedServer(SERVER, 1.0, ("n0",))]
    limits.apply_announcement(announced, 1.0)
    limits.record_answer(SERVER, StatedLimit(None), ["n0"], 2.0)
    limits.apply_announcement(announced, 3.0)
    expect(limits.find_rate(SERVER), None)
    expect(limits.list_unannounced(), {SERVER: None})
    limits.apply_announcement([], 4.0)
    expect(limits.list_unannounced(), {})


def test_a_limit_that_is_named_again_counts_again() -> None:
    limits = make_limits(None)
    limits.apply_announcement([LimitedServer(SERVER, 1.0, ("n0",))], 1.0)
    limits.apply_announcement([], 2.0)
    change = limits.record_answer(SERVER, StatedLimit(1.0), ["n0"], 3.0)
    expect(change, LimitChange.NAMED)
    limits.apply_announcement([], 3.1)
    expect(limits.find_rate(SERVER), 1.0)
    expect(limits.list_unannounced(), {SERVER: 1.0})


@pytest.mark.parametrize("rate", [0.5, 1.5])
def test_a_limit_that_rises_or_falls_is_reported_again(rate) -> None:
    limits = make_limits(1.0)
    limits.apply_announcement([LimitedServer(SERVER, 1.0, ("n0",))], 1.0)
    limits.record_answer(SERVER, StatedLimit(rate), ["n0"], 2.0)
    assert_that(limits.find_rate(SERVER), Equals(rate))
    expect(limits.list_unannounced(), {SERVER: rate})


def test_a_limit_that_hardly_changes_is_not_a_change() -> None:
    limits = make_limits(1.0)
    change = limits.record_answer(SERVER, StatedLimit(1.04), ["n0"], 1.0)
    expect(change, None)


def test_an_unreadable_limit_changes_nothing_and_is_reported_once() -> None:
    limits = make_limits(1.0)
    unreadable = StatedLimit(None, unreadable="-3")
    change = limits.record_answer(SERVER, unreadable, ["n0"], 1.0)
    expect(change, LimitChange.UNREADABLE)
    expect(limits.record_answer(SERVER, unreadable, ["n0"], 2.0), None)
    expect(limits.find_rate(SERVER), 1.0)


def test_a_restarted_server_has_no_limit() -> None:
    limits = make_limits(1.0)
    assert_that(limits.may_send("its next start", 0.0), Is(True))


def test_a_limit_is_kept_while_its_group_is_formed_again() -> None:
    # Without the limit all waiting requests would be sent to the new group at
    # once.
    limits = make_limits(1.0)
    limits.forget_absent([SERVER], 1.0)
    limits.forget_absent([], 2.0)
    limits.forget_absent([], 20.0)
    expect(limits.find_rate(SERVER), 1.0)
    limits.forget_absent([SERVER], 21.0)
    limits.forget_absent([], 50.0)
    expect(limits.find_rate(SERVER), 1.0)
    limits.forget_absent([], 52.0)
    expect(limits.find_rate(SERVER), None)


def test_few_senders_change_when_a_node_leaves() -> None:
    nodes = [f"n{number}" for number in range(20)]
    before = choose_senders(SERVER, 3.0, nodes)
    assert_that(before, HasLength(EXTRA_SENDERS + 3))
    after = choose_senders(SERVER, 3.0, [n for n in nodes if n != before[0]])
    assert_that(len(set(before) & set(after)), Equals(len(before) - 1))


def test_a_new_leader_keeps_the_limits_that_the_last_one_announced() -> None:
    announced = LimitedServer(SERVER, 2.0, ("n0",))
    registry = LimitRegistry(known=[announced])
    assert_that(registry.record(SERVER, 2.05), Is(False))
    listed = registry.list_servers([SERVER], ["n0"], 0.0)
    expect(listed, (announced,))


def test_the_last_report_counts_when_nodes_report_different_limits() -> None:
    registry = LimitRegistry(known=())
    assert_that(registry.record(SERVER, 2.0), Is(True))
    assert_that(registry.record(SERVER, 1.0), Is(True))
    expect(registry.find_rates(), {SERVER: 1.0})
    assert_that(registry.record(SERVER, None), Is(True))
    assert_that(registry.record(SERVER, None), Is(False))


def test_limits_of_absent_servers_are_forgotten() -> None:
    registry = LimitRegistry(known=())
    registry.record(SERVER, 2.0)
    registry.record("other", 2.0)
    assert_that(registry.list_servers(["other"], ["n0"], 0.0), HasLength(2))
    listed = registry.list_servers(["other"], ["n0"], FORGET_S + 1.0)
    assert_that([entry.server for entry in listed], Equals(["other"]))
    assert_that(list(registry.find_rates()), Contains("other"))
    assert_that(registry.find_rates(), HasLength(1))


def test_the_leader_forgets_the_limit_of_a_former_start() -> None:
    # Failure: the leader announces the limit of a server that started again.
    registry = LimitRegistry(known=[LimitedServer("a", 1.0, ("n",))])
    registry.forget("a")
    registry.forget("b")
    assert_that(registry.list_servers(["a"], ["n"], 0.0), HasLength(0))
