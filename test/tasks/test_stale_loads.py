"""Placement by stale loads in a large fleet, compared to simpler methods."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from chervilrock.decisions.serving.admission import placement
from chervilrock.decisions.serving.admission.shares import NO_LIMIT, SlotShares
from test.tasks.stale_loads import choose_active_nodes, Load, make_fleet, Replay

RUN_S = 20.0

MAX_OVERFULL = 0.01
"""Allowed fraction of requests that find their group full: groups are to reject
fewer than one of 100 requests."""

RELAYED_LOAD = Load(pause_s=0.15, lag=2)
"""Load with totals that are two answers old, as behind a relay."""


def replay(
    load: Load, *, is_active_only: bool = True, counts_sent: bool = True
):
    fleet = make_fleet(load)
    nodes = choose_active_nodes(fleet, load) if is_active_only else fleet
    return Replay(load=load, nodes=nodes).run(RUN_S, counts_sent=counts_sent)


def test_active_nodes_with_recent_loads_rarely_overfill_a_group() -> None:
    outcome = replay(RELAYED_LOAD)
    assert_that(outcome.overfull, LessThan(MAX_OVERFULL))
    assert_that(outcome.waited, LessThan(MAX_OVERFULL))


@pytest.fixture
def without_shares(monkeypatch) -> None:
    """Remove the limits of nodes to their shares of the free slots."""
    monkeypatch.setattr(SlotShares, "find_limit", lambda *_: NO_LIMIT)


def test_nodes_without_shares_overfill_groups(without_shares) -> None:
    assert_that(replay(RELAYED_LOAD).overfull, GreaterThan(MAX_OVERFULL))


def test_requests_spread_over_all_nodes_overfill_groups(
    without_shares,
) -> None:
    all_nodes = replay(RELAYED_LOAD, is_active_only=False)
    assert_that(all_nodes.overfull, GreaterThan(MAX_OVERFULL))


def test_announcements_at_the_interval_of_all_nodes_overfill_groups(
    without_shares,
) -> None:
    infrequent = replay(RELAYED_LOAD._replace(pause_s=0.25))
    assert_that(infrequent.overfull, GreaterThan(MAX_OVERFULL))


def test_nodes_that_ignore_their_latest_requests_overfill_groups(
    without_shares,
) -> None:
    outcome = replay(RELAYED_LOAD, counts_sent=False)
    assert_that(outcome.overfull, GreaterThan(MAX_OVERFULL))


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(RELAYED_LOAD, id="large"),
        pytest.param(
            Load(3, 3, 12, per_s=104.0, mean_s=0.8, pause_s=0.15, lag=1),
            id="small",
        ),
    ],
)
def test_comparing_many_groups_by_stale_loads_overfills_some(
    monkeypatch, load
) -> None:
    assert_that(replay(load).overfull, LessThan(MAX_OVERFULL))
    monkeypatch.setattr(SlotShares, "find_limit", lambda *_: NO_LIMIT)
    few = replay(load)
    monkeypatch.setattr(placement, "NEAR_SAMPLE", 3)
    monkeypatch.setattr(placement, "FAR_SAMPLE", 3)
    many = replay(load)
    assert_that(many.overfull, GreaterThan(2 * few.overfull))
