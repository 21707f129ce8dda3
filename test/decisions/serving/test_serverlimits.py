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
from chervilrock.decisions.serving.limitbook import LimitBook
from chervilrock.decisions.serving.messages import StatedLimit
from chervilrock.decisions.serving.serverlimits import (
    choose_senders,
    FORGET_S,
    LEAST_SENDERS,
    LimitChange,
    LimitedServer,
    ServerLimits,
)

SERVER = "s"
STEP_S = 0.05
LAG_S = 0.3
"""Time after which all nodes know what the leader tells."""


class Case(NamedTuple):
    """A fleet and the limit of a server.

    Attributes:
      nodes: its nodes.
      rate: requests a second that the server takes.
    """

    nodes: int
    rate: float


CASES = [
    Case(nodes, rate)
    for nodes in (1, 7, 77, 195, 400)
    for rate in (0.0, 0.3, 1.3, 1.6, 5.0, 40.0)
]


class Fleet:
    """Nodes at which more requests for a server wait than it takes.

    Attributes:
      arrivals: when the server got requests.
    """

    def __init__(self, *, case: Case, seed: int = 1) -> None:
        self._case = case
        self._generator = random.Random(seed)
        self.names = [f"n{number}" for number in range(case.nodes)]
        self._limits = {one: ServerLimits(own=one) for one in self.names}
        self._book = LimitBook(known=())
        self.arrivals: list[float] = []

    def restart(self, names: list[str], now: float) -> None:
        """Start nodes again; they hear of the limit from the leader."""
        for name in names:
            self._limits[name] = ServerLimits(own=name)
            self._limits[name].take_told(self._tell(now), now)

    def _tell(self, now: float) -> tuple[LimitedServer, ...]:
        return self._book.list([SERVER], self.names, now)

    def play(self, until: float, *, restarts_s: float = math.inf) -> None:
        """Send whatever may be sent; nodes start again in turn."""
        told = LAG_S
        due = FROM_S
        for step in range(round(until / STEP_S)):
            now = step * STEP_S
            if told <= now:
                told = math.inf
                for limits in self._limits.values():
                    limits.take_told(self._tell(now), now)
            if due <= now:
                due += restarts_s
                self.restart(self._generator.sample(self.names, 1), now)
            self._send(now)

    def _send(self, now: float) -> None:
        rate = self._case.rate
        for name in self.names:
            limits = self._limits[name]
            for _ in range(20):
                if not limits.may_send(SERVER, now):
                    break
                limits.take(SERVER, now)
                self.arrivals.append(now)
                heard = StatedLimit(rate)
                limits.note_answer(SERVER, heard, self.names, now)
                self._book.note(SERVER, rate)

    def count_most(self) -> int:
        """Return the most requests in a window after the limit holds."""
        return count_most(self.arrivals, FROM_S)

    def count_late(self) -> int:
        """Return the requests that came after the limit holds."""
        return sum(one >= FROM_S for one in self.arrivals)


@pytest.mark.parametrize("case", CASES)
def test_all_nodes_together_keep_to_the_limit(case) -> None:
    fleet = Fleet(case=case)
    fleet.play(30.0)
    allowed = count_allowed(case.rate)
    assert_that(float(fleet.count_most()), LessThan(allowed + 1e-6))


@pytest.mark.parametrize("case", CASES)
def test_nodes_that_start_again_keep_to_the_limit(case) -> None:
    fleet = Fleet(case=case)
    fleet.play(30.0, restarts_s=0.3)
    allowed = count_allowed(case.rate)
    assert_that(float(fleet.count_most()), LessThan(allowed + 1e-6))


@pytest.mark.parametrize("case", [one for one in CASES if one.rate >= 1])
def test_a_server_gets_most_of_what_it_takes(case) -> None:
    fleet = Fleet(case=case)
    fleet.play(33.0)
    assert_that(fleet.count_late(), GreaterThan(0.8 * 30.0 * case.rate))


def test_a_limit_beyond_all_requests_holds_nobody_back() -> None:
    limits = make_limits(1e9)
    limits.take_told([LimitedServer(SERVER, 1e9, ("n0", "n1"))], 0.0)
    for step in range(1, 200):
        now = step * 0.001
        for _ in range(10):
            assert_that(limits.may_send(SERVER, now), Is(True))
            limits.take(SERVER, now)


def expect(value: Any, wanted: Any) -> None:
    assert_that(value, Equals(wanted))


def make_limits(rate: float | None, own: str = "n0") -> ServerLimits:
    limits = ServerLimits(own=own)
    limits.note_answer(SERVER, StatedLimit(rate), ["n0"], 0.0)
    return limits


def test_a_server_without_a_limit_gets_what_comes() -> None:
    limits = make_limits(None)
    assert_that(limits.may_send(SERVER, 0.0), Is(True))
    assert_that(limits.find_wait(SERVER, 0.0), Equals(0.0))
    assert_that(limits, HasLength(0))


def test_a_server_that_takes_nothing_is_still_heard_now_and_then() -> None:
    limits = make_limits(0.0)
    assert_that(limits.may_send(SERVER, 9.0), Is(False))
    assert_that(limits.may_send(SERVER, 10.5), Is(True))


def test_a_node_that_is_no_sender_never_sends() -> None:
    limits = make_limits(5.0)
    limits.take_told([LimitedServer(SERVER, 5.0, ("n1", "n2"))], 1.0)
    assert_that(limits.may_send(SERVER, 1e6), Is(False))
    assert_that(limits.find_wait(SERVER, 1e6), Equals(math.inf))


def test_an_answer_without_a_limit_ends_it() -> None:
    limits = make_limits(1.0)
    change = limits.note_answer(SERVER, StatedLimit(None), ["n0"], 1.0)
    expect(change, LimitChange.ENDED)
    assert_that(limits.may_send(SERVER, 1.0), Is(True))


def test_what_was_heard_since_goes_before_what_the_leader_told() -> None:
    limits = make_limits(None)
    told = [LimitedServer(SERVER, 1.0, ("n0",))]
    limits.take_told(told, 1.0)
    limits.note_answer(SERVER, StatedLimit(None), ["n0"], 2.0)
    limits.take_told(told, 3.0)
    expect(limits.find_rate(SERVER), None)
    expect(limits.list_untold(), {SERVER: None})
    limits.take_told([], 4.0)
    expect(limits.list_untold(), {})


def test_a_limit_that_comes_back_counts_again() -> None:
    limits = make_limits(None)
    limits.take_told([LimitedServer(SERVER, 1.0, ("n0",))], 1.0)
    limits.take_told([], 2.0)
    change = limits.note_answer(SERVER, StatedLimit(1.0), ["n0"], 3.0)
    expect(change, LimitChange.NAMED)
    limits.take_told([], 3.1)
    expect(limits.find_rate(SERVER), 1.0)
    expect(limits.list_untold(), {SERVER: 1.0})


@pytest.mark.parametrize("rate", [0.5, 1.5])
def test_a_limit_that_rises_or_falls_is_told_again(rate) -> None:
    limits = make_limits(1.0)
    limits.take_told([LimitedServer(SERVER, 1.0, ("n0",))], 1.0)
    limits.note_answer(SERVER, StatedLimit(rate), ["n0"], 2.0)
    assert_that(limits.find_rate(SERVER), Equals(rate))
    expect(limits.list_untold(), {SERVER: rate})


def test_a_limit_that_hardly_changes_is_no_news() -> None:
    limits = make_limits(1.0)
    change = limits.note_answer(SERVER, StatedLimit(1.04), ["n0"], 1.0)
    expect(change, None)


def test_a_value_that_is_no_number_changes_nothing_and_is_told_once() -> None:
    limits = make_limits(1.0)
    odd = StatedLimit(None, unreadable="-3")
    change = limits.note_answer(SERVER, odd, ["n0"], 1.0)
    expect(change, LimitChange.UNREADABLE)
    expect(limits.note_answer(SERVER, odd, ["n0"], 2.0), None)
    expect(limits.find_rate(SERVER), 1.0)


def test_a_server_that_starts_again_has_no_limit() -> None:
    limits = make_limits(1.0)
    assert_that(limits.may_send("its next start", 0.0), Is(True))


def test_a_limit_outlasts_the_time_in_which_a_group_is_formed_again() -> None:
    # The first requests after it would all have been sent at once.
    limits = make_limits(1.0)
    limits.forget_gone([SERVER], 1.0)
    limits.forget_gone([], 2.0)
    limits.forget_gone([], 20.0)
    expect(limits.find_rate(SERVER), 1.0)
    limits.forget_gone([SERVER], 21.0)
    limits.forget_gone([], 50.0)
    expect(limits.find_rate(SERVER), 1.0)
    limits.forget_gone([], 52.0)
    expect(limits.find_rate(SERVER), None)


def test_few_senders_change_when_a_node_goes() -> None:
    nodes = [f"n{number}" for number in range(20)]
    before = choose_senders(SERVER, 3.0, nodes)
    assert_that(before, HasLength(LEAST_SENDERS + 3))
    after = choose_senders(SERVER, 3.0, [n for n in nodes if n != before[0]])
    assert_that(len(set(before) & set(after)), Equals(len(before) - 1))


def test_a_new_leader_goes_on_with_what_the_last_one_told() -> None:
    told = LimitedServer(SERVER, 2.0, ("n0",))
    book = LimitBook(known=[told])
    assert_that(book.note(SERVER, 2.05), Is(False))
    listed = book.list([SERVER], ["n0"], 0.0)
    expect(listed, (told,))


def test_the_last_report_counts_where_nodes_heard_different_limits() -> None:
    book = LimitBook(known=())
    assert_that(book.note(SERVER, 2.0), Is(True))
    assert_that(book.note(SERVER, 1.0), Is(True))
    expect(book.find_rates(), {SERVER: 1.0})
    assert_that(book.note(SERVER, None), Is(True))
    assert_that(book.note(SERVER, None), Is(False))


def test_limits_of_servers_that_are_gone_are_forgotten() -> None:
    book = LimitBook(known=())
    book.note(SERVER, 2.0)
    book.note("other", 2.0)
    assert_that(book.list(["other"], ["n0"], 0.0), HasLength(2))
    listed = book.list(["other"], ["n0"], FORGET_S + 1.0)
    assert_that([one.server for one in listed], Equals(["other"]))
    assert_that(list(book.find_rates()), Contains("other"))
    assert_that(book.find_rates(), HasLength(1))
