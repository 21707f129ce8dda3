"""Leases without a common clock."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.lease import (
    LeaseHolder,
    LeaseObserver,
    LeaseStep,
    LeaseTiming,
    LeaseView,
)
from chervilrock.decisions.verdicts import Verdict, VerdictKind
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    RecordId,
)

TIMING = LeaseTiming(lease_s=3.0, drift=0.01, order_timeout_s=2.0)
MINE = RecordId("me", 1)
OTHER = RecordId("other", 1)


def accepted(offset, body):
    return Verdict(VerdictKind.ACCEPTED, offset, body=body)


def claim(offset):
    return accepted(offset, ControllerClaimed("n", "x", 0, 3000))


@pytest.fixture
def view():
    return LeaseView(timing=TIMING, writer="me", generator=random.Random(1))


@given(
    sent=st.floats(0, 100),
    delay=st.floats(0, 10),
    rate=st.floats(0.995, 1.005),
    other=st.floats(0.995, 1.005),
)
def test_a_taker_never_finds_a_lease_over_before_its_holder(
    sent, delay, rate, other
):
    holder = LeaseHolder(lease_s=3.0)
    observer = LeaseObserver(drift=0.01, order_timeout_s=2.0)
    holder.record_sent(MINE, sent * rate)
    holder.record_accepted(MINE, 5)
    observer.record_claim(5, 3.0, (sent + delay) * other)
    over = observer.over_at / other
    assert not holder.may_act(over * rate + 1e-6)


def test_a_lease_counts_from_when_its_claim_was_first_sent(view):
    view.holder.record_sent(MINE, 10.0)
    view.holder.record_sent(MINE, 12.0)
    view.read(MINE, claim(4), 12.5)
    assert view.may_act(12.9)
    assert_that(view.may_act(13.0), Is(False))
    assert_that(view.granted_epoch, Equals(4))


def test_a_paused_holder_does_not_act_after_its_lease(view):
    view.holder.record_sent(MINE, 10.0)
    view.read(MINE, claim(4), 10.1)
    assert_that(view.decide(10.2, known=True).step, Is(LeaseStep.ACT))
    assert_that(view.may_act(500.0), Is(False))
    assert_that(view.decide(500.0, known=True).step, Is(LeaseStep.RENEW))
    view.holder.record_sent(RecordId("me", 2), 500.0)
    assert_that(view.decide(500.1, known=True).step, Is(LeaseStep.STEP_DOWN))
    view.read(RecordId("me", 2), accepted(9, ControllerRenewed(4)), 500.2)
    assert view.may_act(502.9)


def test_another_claim_ends_the_lease_at_once(view):
    view.holder.record_sent(MINE, 10.0)
    view.read(MINE, claim(4), 10.1)
    view.read(OTHER, claim(7), 10.2)
    assert_that(view.may_act(10.2), Is(False))
    assert_that(view.granted_epoch, Equals(0))


def test_nobody_claims_before_the_stream_is_known(view):
    assert_that(view.decide(50.0, known=False).step, Is(LeaseStep.WAIT))
    first = view.decide(60.0, known=True)
    assert_that(first.step, Is(LeaseStep.WAIT))
    assert_that(view.decide(first.until, known=True).step, Is(LeaseStep.CLAIM))


def test_candidates_stagger_their_claims():
    views = [
        LeaseView(
            timing=TIMING,
            writer=str(rank),
            generator=random.Random(rank),
            rank=rank,
        )
        for rank in range(3)
    ]
    times = [view.decide(0.0, known=True).until for view in views]
    assert_that(times, Equals(sorted(times)))
    assert_that(len(set(times)), Equals(3))


def test_a_released_lease_can_be_claimed_at_once(view):
    view.read(OTHER, claim(4), 10.0)
    assert_that(view.observer.is_over(12.9), Is(False))
    view.read(OTHER, accepted(5, ControllerReleased(4)), 11.0)
    assert view.observer.is_over(11.0)


def test_quiet_time_comes_after_orders_of_earlier_controllers_expire(view):
    view.read(OTHER, claim(4), 10.0)
    view.read(OTHER, accepted(5, ControllerRenewed(4)), 12.0)
    view.holder.record_sent(MINE, 16.0)
    view.read(MINE, claim(9), 16.1)
    assert_that(view.observer.quiet_at, Equals(12.0 + 3.0 * 1.01 + 2.0))


def test_a_lease_from_a_snapshot_counts_from_when_it_is_read(view):
    view.adopt(4, 3.0, 20.0)
    assert_that(view.observer.is_over(23.0), Is(False))
    assert_that(view.observer.quiet_at, Equals(20.0 + 3.0 * 1.01 + 2.0))
