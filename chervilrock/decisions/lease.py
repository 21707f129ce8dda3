"""Leases without a common clock.

The holder measures its lease from the time at which it sent the claim or the
renewal; an observer measures from the time at which it read that record, and
adds a bound for the drift between two clocks. So an observer never considers
a lease expired before its holder does. Each node has one `LeaseView` of a
region, which does both: it may hold the lease, and it tracks the lease of
other nodes.
"""

import enum
from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.verdicts import Verdict
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    RecordId,
)

if TYPE_CHECKING:
    import random

_MS_PER_S = 1000.0
_RENEWALS_PER_LEASE = 3


class LeaseTiming(NamedTuple):
    """Durations of a lease, in seconds.

    Attributes:
      lease_s: length of the lease
      drift: upper bound of the relative rate difference of two clocks
      order_timeout_s: longest time for which an order may be in flight
      stagger_s: upper bound of the random delay of a claim, and the
        additional delay for each rank
    """

    lease_s: float = 3.0
    drift: float = 0.01
    order_timeout_s: float = 2.0
    stagger_s: float = 0.5


class LeaseStep(enum.StrEnum):
    """Next step of a node with regard to the lease."""

    CLAIM = "claim"
    RENEW = "renew"
    ACT = "act"
    WAIT = "wait"
    STEP_DOWN = "step-down"


class LeaseDecision(NamedTuple):
    """Result of `LeaseView.decide`.

    Attributes:
      step: what to do now
      until: for act and renew, end of the right to act; for wait, time of
        the next call; in seconds on the clock of `now`
    """

    step: LeaseStep
    until: float


class LeaseHolder:
    """The lease as measured by its holder.

    Attributes:
      epoch: epoch that this process holds, 0 if there is none
      until: end of the lease
      sent_at: when the last claim or renewal was sent
    """

    def __init__(self, *, lease_s: float) -> None:
        """Create a holder without a lease."""
        self.epoch = 0
        self.until = 0.0
        self.sent_at = 0.0
        self._lease_s = lease_s
        self._sent: dict[RecordId, float] = {}

    def record_sent(self, record_id: RecordId, now: float) -> None:
        """Record when a claim or a renewal was sent for the first time."""
        if record_id not in self._sent:
            self._sent[record_id] = now
            self.sent_at = now

    def is_waiting(self, now: float) -> bool:
        """Return whether a claim or renewal has not been read back yet.

        One that was sent longer ago than the length of the lease is ignored,
        as its lease has expired.
        """
        oldest = now - self._lease_s
        self._sent = {
            record_id: sent_at
            for record_id, sent_at in self._sent.items()
            if sent_at > oldest
        }
        return bool(self._sent)

    def record_accepted(self, record_id: RecordId, epoch: int) -> None:
        """Record that the fold accepted a claim or renewal of this process."""
        sent_at = self._sent.pop(record_id, None)
        if self.epoch != epoch:
            self.epoch = epoch
            self.until = 0.0
        if sent_at is not None:
            self.until = max(self.until, sent_at + self._lease_s)

    def record_rejected(self, record_id: RecordId) -> None:
        """Record that the fold did not accept a record of this process."""
        self._sent.pop(record_id, None)

    def drop(self) -> None:
        """Give up the lease immediately."""
        self.epoch = 0
        self.until = 0.0

    def may_act(self, now: float) -> bool:
        """Return whether orders may be sent and records appended now."""
        return self.epoch != 0 and now < self.until


class LeaseObserver:
    """The lease of another node, as measured by a node that may claim it.

    Attributes:
      epoch: epoch in force, 0 if there is none
      over_at: time from which that lease is certainly expired
      quiet_at: time from which no order of any earlier controller can still
        be in flight
    """

    def __init__(self, *, drift: float, order_timeout_s: float) -> None:
        """Create an observer without a lease to track."""
        self.epoch = 0
        self.over_at = 0.0
        self.quiet_at = 0.0
        self._drift = drift
        self._order_timeout_s = order_timeout_s
        self._lease_s = 0.0

    def record_claim(self, epoch: int, lease_s: float, now: float) -> None:
        """Record an accepted claim that was read at `now`."""
        if self.epoch:
            orders_end_at = self.over_at + self._order_timeout_s
            self.quiet_at = max(self.quiet_at, orders_end_at)
        self.epoch = epoch
        self._lease_s = lease_s
        self.over_at = now + lease_s * (1.0 + self._drift)

    def record_snapshot(self, epoch: int, lease_s: float, now: float) -> None:
        """Record a lease from a snapshot, which omits the ones before it."""
        self.record_claim(epoch, lease_s, now)
        self.quiet_at = max(self.quiet_at, self.over_at + self._order_timeout_s)

    def record_renewal(self, now: float) -> None:
        """Record an accepted renewal that was read at `now`."""
        self.over_at = now + self._lease_s * (1.0 + self._drift)

    def record_release(self, now: float) -> None:
        """Record that the holder gave up the lease."""
        self.over_at = min(self.over_at, now)

    def is_over(self, now: float) -> bool:
        """Return whether the lease in force is certainly expired."""
        return now >= self.over_at


class LeaseView:
    """The lease of a region from the point of view of one node.

    Attributes:
      holder: the lease that this process holds, if any
      observer: the lease in force, whichever node holds it
      granted_epoch: epoch that was granted to this process, even if its
        lease has expired since; 0 once a later claim or a release was read
    """

    def __init__(
        self,
        *,
        timing: LeaseTiming,
        writer: str,
        generator: "random.Random",
        rank: int = 0,
    ) -> None:
        """Create the view of one candidate.

        Args:
          timing: durations of the lease.
          writer: writer of the records of this process.
          generator: source of the random delay before a claim.
          rank: rank of this node among the candidates, from 0; a higher rank
            claims later.
        """
        self.holder = LeaseHolder(lease_s=timing.lease_s)
        self.observer = LeaseObserver(
            drift=timing.drift, order_timeout_s=timing.order_timeout_s
        )
        self.granted_epoch = 0
        self._timing = timing
        self._writer = writer
        self._generator = generator
        self._rank = rank
        self._delay_s = self._draw_delay()
        self._known_since: float | None = None

    def adopt(self, epoch: int, lease_s: float | None, now: float) -> None:
        """Adopt the lease of a snapshot that was read at `now`.

        Args:
          epoch: epoch in force, 0 if there is none.
          lease_s: length of the lease, None if it was given up.
          now: current time in seconds.
        """
        if epoch == 0:
            return
        if epoch == self.observer.epoch:
            # The snapshot may omit renewals, so the wait restarts.
            self.observer.record_renewal(now)
            return
        longest = max(lease_s or 0.0, self._timing.lease_s)
        self.observer.record_snapshot(epoch, longest, now)
        if self.granted_epoch != epoch:
            self.granted_epoch = 0
            self.holder.drop()

    def read(self, record_id: RecordId, verdict: Verdict, now: float) -> None:
        """Process a record of the region stream and its verdict."""
        is_own = record_id.writer == self._writer
        body = verdict.body
        if not verdict.accepted:
            if is_own:
                self.holder.record_rejected(record_id)
            return
        if isinstance(body, ControllerClaimed):
            self._delay_s = self._draw_delay()
            self.observer.record_claim(
                verdict.offset, body.lease_ms / _MS_PER_S, now
            )
            self.granted_epoch = verdict.offset if is_own else 0
            if is_own:
                self.holder.record_accepted(record_id, verdict.offset)
            else:
                self.holder.drop()
        elif isinstance(body, ControllerRenewed):
            self.observer.record_renewal(now)
            if is_own:
                self.holder.record_accepted(record_id, body.epoch)
        elif isinstance(body, ControllerReleased):
            self.observer.record_release(now)
            self.granted_epoch = 0
            self.holder.drop()

    def may_act(self, now: float) -> bool:
        """Return whether this process may act as the controller now."""
        return self.holder.may_act(now)

    def decide(self, now: float, *, known: bool) -> LeaseDecision:
        """Return the next step with regard to the lease.

        Args:
          now: current time in seconds.
          known: whether the stream was read to its end.
        """
        holder = self.holder
        if not known:
            self._known_since = None
            return self._wait_or_stop(now)
        if self._known_since is None:
            self._known_since = now
        if holder.epoch:
            return self._renew_or_act(now)
        if holder.is_waiting(now):
            return LeaseDecision(LeaseStep.WAIT, now + self._timing.lease_s)
        claim_at = max(self.observer.over_at, self._known_since) + self._delay_s
        if now < claim_at:
            return LeaseDecision(LeaseStep.WAIT, claim_at)
        return LeaseDecision(LeaseStep.CLAIM, now)

    def _renew_or_act(self, now: float) -> LeaseDecision:
        """Return the decision of the node that holds the current epoch."""
        holder = self.holder
        interval = self._timing.lease_s / _RENEWALS_PER_LEASE
        if now >= holder.sent_at + interval:
            return LeaseDecision(LeaseStep.RENEW, holder.until)
        return self._wait_or_stop(now)

    def _wait_or_stop(self, now: float) -> LeaseDecision:
        holder = self.holder
        if holder.may_act(now):
            return LeaseDecision(LeaseStep.ACT, holder.until)
        if holder.epoch:
            return LeaseDecision(LeaseStep.STEP_DOWN, now)
        return LeaseDecision(LeaseStep.WAIT, now + self._timing.lease_s)

    def _draw_delay(self) -> float:
        step = self._timing.stagger_s
        return self._rank * step + self._generator.uniform(0.0, step)
