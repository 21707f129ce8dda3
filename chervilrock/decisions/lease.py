"""Leases without a common clock.

The holder counts its lease from the moment at which it sent the claim or the
renewal; a taker counts from the moment at which it read that record, plus a
bound for the drift between two clocks. So a taker never finds a lease over
before its holder does. Each node has one `LeaseView` of a region, which is
both: it may hold the lease, and it follows the lease of others.
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

_MS = 1000.0
_RENEWALS_PER_LEASE = 3


class LeaseTiming(NamedTuple):
    """Durations of a lease, in seconds.

    Attributes:
      lease_s: length of the lease
      drift: bound for the rate difference of two clocks
      order_timeout_s: longest time for which an order may be under way
      stagger_s: greatest random delay of a claim; ranks stand so far apart
    """

    lease_s: float = 3.0
    drift: float = 0.01
    order_timeout_s: float = 2.0
    stagger_s: float = 0.5


class LeaseStep(enum.StrEnum):
    """What a node should do about the lease now."""

    CLAIM = "claim"
    RENEW = "renew"
    ACT = "act"
    WAIT = "wait"
    STEP_DOWN = "step-down"


class LeaseDecision(NamedTuple):
    """Answer of `LeaseView.decide`.

    Attributes:
      step: what to do now
      until: for act and renew, end of the right to act; for wait, time at
        which to ask again; in seconds of the clock of `now`
    """

    step: LeaseStep
    until: float


class LeaseHolder:
    """The lease as its holder counts it.

    Attributes:
      epoch: epoch that this process holds, 0 for none
      until: end of the lease
      sent_at: when the last claim or renewal was sent
    """

    def __init__(self, *, lease_s: float) -> None:
        """Hold nothing."""
        self.epoch = 0
        self.until = 0.0
        self.sent_at = 0.0
        self._lease_s = lease_s
        self._sent: dict[RecordId, float] = {}

    def note_sent(self, record_id: RecordId, now: float) -> None:
        """Note when a claim or a renewal was sent for the first time."""
        if record_id not in self._sent:
            self._sent[record_id] = now
            self.sent_at = now

    def is_waiting(self, now: float) -> bool:
        """Return whether a claim or renewal is not yet read back.

        One that was sent longer ago than the lease is worth nothing.
        """
        oldest = now - self._lease_s
        self._sent = {one: at for one, at in self._sent.items() if at > oldest}
        return bool(self._sent)

    def note_accepted(self, record_id: RecordId, epoch: int) -> None:
        """Note that the fold accepted a claim or renewal of this process."""
        sent_at = self._sent.pop(record_id, None)
        if self.epoch != epoch:
            self.epoch = epoch
            self.until = 0.0
        if sent_at is not None:
            self.until = max(self.until, sent_at + self._lease_s)

    def note_rejected(self, record_id: RecordId) -> None:
        """Note that the fold did not accept a record of this process."""
        self._sent.pop(record_id, None)

    def drop(self) -> None:
        """Give the lease up at once."""
        self.epoch = 0
        self.until = 0.0

    def may_act(self, now: float) -> bool:
        """Return whether orders may be given and records appended now."""
        return self.epoch != 0 and now < self.until


class LeaseTaker:
    """The lease of others, as a node that may take it over counts it.

    Attributes:
      epoch: epoch in force, 0 for none
      over_at: time from which that lease is surely over
      quiet_at: time from which no order of any earlier controller can still
        be under way
    """

    def __init__(self, *, drift: float, order_timeout_s: float) -> None:
        """Know of no lease."""
        self.epoch = 0
        self.over_at = 0.0
        self.quiet_at = 0.0
        self._drift = drift
        self._order_timeout_s = order_timeout_s
        self._lease_s = 0.0

    def note_claim(self, epoch: int, lease_s: float, now: float) -> None:
        """Note an accepted claim that was read at `now`."""
        if self.epoch:
            end = self.over_at + self._order_timeout_s
            self.quiet_at = max(self.quiet_at, end)
        self.epoch = epoch
        self._lease_s = lease_s
        self.over_at = now + lease_s * (1.0 + self._drift)

    def note_snapshot(self, epoch: int, lease_s: float, now: float) -> None:
        """Note a lease out of a snapshot, which hides the ones before it."""
        self.note_claim(epoch, lease_s, now)
        self.quiet_at = max(self.quiet_at, self.over_at + self._order_timeout_s)

    def note_renewal(self, now: float) -> None:
        """Note an accepted renewal that was read at `now`."""
        self.over_at = now + self._lease_s * (1.0 + self._drift)

    def note_release(self, now: float) -> None:
        """Note that the holder gave the lease up."""
        self.over_at = min(self.over_at, now)

    def is_over(self, now: float) -> bool:
        """Return whether the lease in force is surely over."""
        return now >= self.over_at


class LeaseView:
    """What one node knows of the lease of its region.

    Attributes:
      holder: the lease as far as this process holds it
      taker: the lease of whoever holds it
      granted: epoch that this process was granted, also when its lease has
        lapsed since; 0 once a later claim or a release was read
    """

    def __init__(
        self,
        *,
        timing: LeaseTiming,
        writer: str,
        generator: "random.Random",
        rank: int = 0,
    ) -> None:
        """Follow the lease as one candidate.

        Args:
          timing: durations of the lease.
          writer: writer of the records of this process.
          generator: source of the random delay before a claim.
          rank: place of this node among the candidates, from 0; a later one
            claims later.
        """
        self.holder = LeaseHolder(lease_s=timing.lease_s)
        self.taker = LeaseTaker(
            drift=timing.drift, order_timeout_s=timing.order_timeout_s
        )
        self.granted = 0
        self._timing = timing
        self._writer = writer
        self._generator = generator
        self._rank = rank
        self._delay_s = self._draw_delay()
        self._known_since: float | None = None

    def adopt(self, epoch: int, lease_s: float | None, now: float) -> None:
        """Take over the lease that a snapshot tells of, read at `now`.

        Args:
          epoch: epoch in force, 0 for none.
          lease_s: length of the lease, None when it was given up.
          now: present time in seconds.
        """
        if epoch == 0:
            return
        if epoch == self.taker.epoch:
            # The snapshot may hide renewals, so the wait starts anew.
            self.taker.note_renewal(now)
            return
        longest = max(lease_s or 0.0, self._timing.lease_s)
        self.taker.note_snapshot(epoch, longest, now)
        if self.granted != epoch:
            self.granted = 0
            self.holder.drop()

    def read(self, record_id: RecordId, verdict: Verdict, now: float) -> None:
        """Follow a record of the region stream with the verdict on it."""
        mine = record_id.writer == self._writer
        body = verdict.body
        if not verdict.accepted:
            if mine:
                self.holder.note_rejected(record_id)
            return
        if isinstance(body, ControllerClaimed):
            self._delay_s = self._draw_delay()
            self.taker.note_claim(verdict.offset, body.lease_ms / _MS, now)
            self.granted = verdict.offset if mine else 0
            if mine:
                self.holder.note_accepted(record_id, verdict.offset)
            else:
                self.holder.drop()
        elif isinstance(body, ControllerRenewed):
            self.taker.note_renewal(now)
            if mine:
                self.holder.note_accepted(record_id, body.epoch)
        elif isinstance(body, ControllerReleased):
            self.taker.note_release(now)
            self.granted = 0
            self.holder.drop()

    def may_act(self, now: float) -> bool:
        """Return whether this process may act as the controller now."""
        return self.holder.may_act(now)

    def decide(self, now: float, *, known: bool) -> LeaseDecision:
        """Return what to do about the lease.

        Args:
          now: present time in seconds.
          known: whether the stream was read up to its end.
        """
        holder = self.holder
        if not known:
            self._known_since = None
            return self._wait_or_stop(now)
        if self._known_since is None:
            self._known_since = now
        if holder.epoch:
            return self._keep(now)
        if holder.is_waiting(now):
            return LeaseDecision(LeaseStep.WAIT, now + self._timing.lease_s)
        claim_at = max(self.taker.over_at, self._known_since) + self._delay_s
        if now < claim_at:
            return LeaseDecision(LeaseStep.WAIT, claim_at)
        return LeaseDecision(LeaseStep.CLAIM, now)

    def _keep(self, now: float) -> LeaseDecision:
        """Decide for the node that holds the epoch in force."""
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
