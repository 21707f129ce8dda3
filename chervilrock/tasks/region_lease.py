"""The part of the region task that claims, renews and releases the lease."""

from chervilrock.decisions.lease import LeaseStep, LeaseView
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
)
from chervilrock.tasks.log import AppendTask
from chervilrock.tasks.region_events import RegionEvents
from chervilrock.tasks.region_messages import RegionIdentity


class RegionLease:
    """Appends the records that claim, renew and release the lease.

    Attributes:
      stopping: whether this node has released the lease for good
    """

    def __init__(
        self,
        *,
        identity: RegionIdentity,
        lease: LeaseView,
        writer: RecordWriter,
        events: RegionEvents,
    ) -> None:
        """Create a keeper without a lease.

        Args:
          identity: identity of this node in its region
          lease: the lease as this node knows it
          writer: assigns identities to the records of this process
          events: logs when the lease is acquired or lost
        """
        self.stopping = False
        self._identity = identity
        self._lease = lease
        self._writer = writer
        self._events = events

    def maintain(
        self,
        region: RegionState,
        appender: AppendTask,
        now: float,
        *,
        known: bool,
    ) -> None:
        """Claim or renew the lease when that is due.

        Args:
          region: folded state of the region.
          appender: appends to the stream of the region.
          now: current time in seconds.
          known: whether the stream was read up to its end.
        """
        if not self.stopping:
            step = self._lease.decide(now, known=known).step
            self._perform_step(step, region, appender, now)
        self._events.record_lease(self._lease.holder.epoch, now)

    def release(self, appender: AppendTask, now: float) -> None:
        """Release the lease and stop claiming it."""
        self.stopping = True
        if self._lease.may_act(now):
            epoch = self._lease.holder.epoch
            record = self._writer.prepare(ControllerReleased(epoch=epoch))
            appender.inbox.offer(record)
            self._events.record_released(epoch)
        self._lease.holder.drop()

    def _perform_step(
        self,
        step: LeaseStep,
        region: RegionState,
        appender: AppendTask,
        now: float,
    ) -> None:
        if step is LeaseStep.CLAIM:
            self._append(self._make_claim(region), appender, now)
        elif step is LeaseStep.RENEW:
            renewal = ControllerRenewed(self._lease.holder.epoch)
            self._append(renewal, appender, now)
        elif step is LeaseStep.STEP_DOWN:
            self._lease.holder.drop()

    def _make_claim(self, region: RegionState) -> ControllerClaimed:
        return ControllerClaimed(
            node=self._identity.node,
            address=self._identity.address,
            replaces_epoch=region.epoch,
            replaces_renewal=region.renewed,
            lease_ms=self._identity.lease_ms,
        )

    def _append(self, body: Body, appender: AppendTask, now: float) -> None:
        record = self._writer.prepare(body)
        self._lease.holder.record_sent(record.record_id, now)
        appender.inbox.offer(record)
