"""Placing at a large fleet by news of some age, against the former ways."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from chervilrock.decisions.serving import placement
from chervilrock.decisions.serving.shares import NO_LIMIT, SlotShares
from test.tasks.stale_loads import choose_few, Load, make_fleet, Replay

PLAY_S = 20.0

AIM = 0.01
"""Part of the requests that may find their group full: under one in 100 sends
is to come back unrun."""

NEWS = Load(pause_s=0.15, lag=2)
"""A relay passes the news on, so that they are two answers old."""


def replay(load: Load, *, is_few: bool = True, counts_sent: bool = True):
    fleet = make_fleet(load)
    nodes = choose_few(fleet, load) if is_few else fleet
    return Replay(load=load, nodes=nodes).run(PLAY_S, counts_sent=counts_sent)


def test_few_nodes_with_fresh_news_seldom_fill_a_group_up() -> None:
    outcome = replay(NEWS)
    assert_that(outcome.overfull, LessThan(AIM))
    assert_that(outcome.held, LessThan(AIM))


@pytest.fixture
def without_shares(monkeypatch) -> None:
    """Nodes that keep to no share of the free slots."""
    monkeypatch.setattr(SlotShares, "find_limit", lambda *_: NO_LIMIT)


def test_nodes_without_shares_fill_groups_up(without_shares) -> None:
    assert_that(replay(NEWS).overfull, GreaterThan(AIM))


def test_requests_spread_over_all_nodes_fill_groups_up(
    without_shares,
) -> None:
    everywhere = replay(NEWS, is_few=False)
    assert_that(everywhere.overfull, GreaterThan(AIM))


def test_news_as_seldom_as_to_each_of_all_nodes_fill_groups_up(
    without_shares,
) -> None:
    seldom = replay(NEWS._replace(pause_s=0.25))
    assert_that(seldom.overfull, GreaterThan(AIM))


def test_nodes_that_forget_what_they_just_sent_fill_groups_up(
    without_shares,
) -> None:
    forgetful = replay(NEWS, counts_sent=False)
    assert_that(forgetful.overfull, GreaterThan(AIM))


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(NEWS, id="large"),
        pytest.param(
            Load(3, 3, 12, per_s=104.0, mean_s=0.8, pause_s=0.15, lag=1),
            id="small",
        ),
    ],
)
def test_comparing_many_groups_by_old_news_fills_some_up(
    monkeypatch, load
) -> None:
    assert_that(replay(load).overfull, LessThan(AIM))
    monkeypatch.setattr(SlotShares, "find_limit", lambda *_: NO_LIMIT)
    few = replay(load)
    monkeypatch.setattr(placement, "NEAR_SAMPLE", 3)
    monkeypatch.setattr(placement, "FAR_SAMPLE", 3)
    many = replay(load)
    assert_that(many.overfull, GreaterThan(2 * few.overfull))
