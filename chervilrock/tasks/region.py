"""The task that follows a region and, with the lease, controls it.

It owns all state of the region: the fold of its stream, the lease, the
evidence of the hosts and the work in progress. Other tasks receive views of
it in messages.
"""

import asyncio
from typing import TYPE_CHECKING

from chervilrock import events
from chervilrock.decisions.lease import LeaseView
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import SnapshotSchedule
from chervilrock.decisions.streams import FoldStep, ReadResult, StreamReader
from chervilrock.decisions.verdicts import VerdictKind
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import (
    HostEntry,
    HostList,
    ServiceEntry,
)
from chervilrock.generated.records import RecordKind
from chervilrock.metrics import Metrics
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.loads import GroupLoad
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    HostProbed,
    HostsListed,
    OrderAnswered,
    PageRead,
    ReadFailed,
)
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.region_events import RegionEvents
from chervilrock.tasks.region_lease import RegionLease
from chervilrock.tasks.region_messages import (
    LeaseGivenUp,
    RegionFacts,
    RegionIdentity,
    RegionMessage,
    RegionPorts,
    ReportWanted,
    ServingView,
)
from chervilrock.tasks.region_report import make_report, RegionReport
from chervilrock.tasks.region_views import ObservedRegion, RegionViews

if TYPE_CHECKING:
    from chervilrock.tasks.region_control import RegionControl

__all__ = [
    "LeaseGivenUp",
    "RegionIdentity",
    "RegionPorts",
    "RegionTask",
    "ReportWanted",
    "ServingView",
]

TICK_S = 0.1
"""Maximum wait for a message before the task checks what is due."""

BATCH_INTERVAL_S = 0.05
"""Time for which messages are collected before they are handled together."""

MIN_STEPS_PER_LEASE = 12
"""Minimum number of times per lease that the task checks what is due."""

_MS_PER_S = 1000.0


class RegionTask:
    """Follows a region and controls it while it holds the lease."""

    def __init__(
        self,
        *,
        identity: RegionIdentity,
        clock: Clock,
        lease: LeaseView,
        presence: PresenceTable,
        writer: RecordWriter,
        schedule: SnapshotSchedule,
        metrics: Metrics,
        outages: OutageLog,
    ) -> None:
        """Create a task that has read nothing yet."""
        self._identity = identity
        self._clock = clock
        self._lease = lease
        self._presence = presence
        self._writer = writer
        self._schedule = schedule
        self._metrics = metrics
        self._outages = outages
        self._reader = StreamReader(fold=RegionState())
        self._events = RegionEvents(region=identity.region)
        self._lease_keeper = RegionLease(
            identity=identity, lease=lease, writer=writer, events=self._events
        )
        self._views = RegionViews(
            presence=presence,
            lease=lease,
            metrics=metrics,
            events=self._events,
        )
        self._control: RegionControl | None = None
        self._listed: HostList | None = None
        self._hosts: dict[str, HostEntry] = {}
        self._services: tuple[ServiceEntry, ...] = ()
        self._configuration: Configuration | None = None
        self._revision = 0
        self._read_at: float | None = None
        self.inbox: Mailbox[RegionMessage] = Mailbox(size=4096)

    @property
    def _region(self) -> RegionState:
        return self._reader.fold

    async def run(self, ports: RegionPorts) -> None:
        """Follow the region until cancelled."""
        lease_s = self._identity.lease_ms / _MS_PER_S
        batch_interval_s = min(BATCH_INTERVAL_S, lease_s / MIN_STEPS_PER_LEASE)
        while True:
            first = await self.inbox.receive_within(TICK_S)
            if first is not None:
                self._handle(first, ports, self._clock())
            self.advance(ports)
            await asyncio.sleep(batch_interval_s)

    def advance(self, ports: RegionPorts) -> None:
        """Handle the waiting messages and do what is due."""
        for message in self.inbox.receive_waiting():
            self._handle(message, ports, self._clock())
        self._step(ports, self._clock())

    def _handle(
        self, message: RegionMessage, ports: RegionPorts, now: float
    ) -> None:
        if isinstance(message, HostProbed):
            self._handle_probe(message)
        elif isinstance(message, PageRead):
            self._handle_page(message, ports)
        elif isinstance(message, ReadFailed):
            stream = self._identity.stream
            self._outages.record_failure(stream, message.error.message, now)
        elif isinstance(message, BatchAppended):
            self._handle_append(message)
        elif isinstance(message, HostsListed):
            self._handle_hosts(message)
        elif isinstance(message, OrderAnswered):
            self._handle_order(message)
        elif isinstance(message, ConfigurationInForce):
            self._handle_configuration(message, now)
        elif isinstance(message, GroupLoad):
            if self._control is not None:
                self._control.record_load(message)
        elif isinstance(message, ReportWanted):
            # The requester may have given up while this process was paused.
            if not message.reply.done():
                message.reply.set_result(self._make_report(now))
        else:
            self._lease_keeper.release(ports.appender, now)
            if not message.done.done():
                message.done.set_result(None)

    def _handle_probe(self, message: HostProbed) -> None:
        if message.state is not None:
            self._presence.observe(
                message.host, message.state, message.sent_at, message.read_at
            )

    def _handle_page(self, message: PageRead, ports: RegionPorts) -> None:
        self._outages.record_success(self._identity.stream, message.read_at)
        self._read_at = message.read_at
        was_known = self._reader.known
        result = self._reader.read(message.start, message.page)
        if result.position != message.start:
            ports.reader.move(result.position)
        if was_known and not self._reader.known:
            self._events.record_trimmed(
                self._identity.stream, message.start, message.page.first_offset
            )
        self._handle_records(result, message.read_at)

    def _handle_records(self, result: ReadResult, now: float) -> None:
        """Update the lease, the progress and the log events by the records."""
        if result.restored:
            self._adopt_snapshot(now)
        for upto in result.snapshots:
            self._schedule.record_read(upto, now)
        for step in result.steps:
            self._handle_step(step, now)

    def _adopt_snapshot(self, now: float) -> None:
        region = self._region
        controller = region.controller
        lease_s = None if controller is None else controller.lease_s
        self._lease.adopt(region.epoch, lease_s, now)

    def _handle_step(self, step: FoldStep, now: float) -> None:
        record = step.stored.record
        if step.verdict.kind is VerdictKind.SKIPPED:
            return
        self._lease.read(record.record_id, step.verdict, now)
        if self._control is not None:
            self._control.record_read(record.record_id)
            if record.kind is not RecordKind.CONTROLLER_RENEWED:
                self._control.record_change()
        if step.verdict.accepted:
            self._events.record_accepted(step.verdict.body, step.stored.offset)

    def _handle_append(self, message: BatchAppended) -> None:
        if message.error is None:
            append_s = message.ended_at - message.sent_at
            self._metrics.log_append_seconds.observe(append_s)
        if self._control is not None:
            self._control.record_appended(message)

    def _handle_hosts(self, message: HostsListed) -> None:
        """Apply a host list that differs from the last one."""
        listed = message.hosts
        if listed is self._listed or listed == self._listed:
            return
        self._listed = listed
        self._hosts = {
            entry["host"]: entry
            for entry in listed["hosts"]
            if entry["region"] == self._identity.region
        }
        self._services = tuple(
            entry for entry in listed["services"] if not entry["leaving"]
        )
        known = self._hosts.keys() | self._region.owners.keys()
        self._presence.retain(set(known))
        if self._control is not None:
            self._control.record_change()

    def _handle_order(self, message: OrderAnswered) -> None:
        if self._control is not None:
            self._control.record_answered(message)
        if message.accepted is False and message.state is not None:
            self._events.record_refused(
                message.host, message.order["fence"], message.state["fence"]
            )

    def _handle_configuration(
        self, message: ConfigurationInForce, now: float
    ) -> None:
        self._configuration = message.document
        self._revision = message.revision
        self._views.measure(self._observe_region(), now)
        if self._control is not None:
            self._control.record_configuration()

    def _step(self, ports: RegionPorts, now: float) -> None:
        """Maintain the lease, control the region and publish its views."""
        self._lease_keeper.maintain(
            self._region, ports.appender, now, known=self._reader.known
        )
        observed = self._observe_region()
        changed = self._views.update(observed, now)
        if changed and self._control is not None:
            self._control.record_change()
        self._control_guarded(ports, now)
        self._views.publish(observed, ports, now)

    def _observe_region(self) -> ObservedRegion:
        wanted = self._configuration
        return ObservedRegion(
            region=self._region,
            known=self._reader.known,
            hosts=self._hosts,
            services=self._services,
            models=() if wanted is None else tuple(wanted["models"]),
        )

    def _control_guarded(self, ports: RegionPorts, now: float) -> None:
        """Control the region; an error in that must not stop the requests.

        Without this each node would fail in turn as it takes over the lease,
        although the groups could continue to serve.
        """
        try:
            self._control_region(ports, now)
        except Exception as error:  # noqa: BLE001
            events.emit(
                events.Event.TASK_FAILED, task="control", error=repr(error)
            )

    def _control_region(self, ports: RegionPorts, now: float) -> None:
        """Control the region if this node was granted an epoch."""
        if not self._lease.granted_epoch or self._configuration is None:
            return
        if self._lease_keeper.stopping or not self._reader.known:
            return
        facts = RegionFacts(
            region=self._region,
            lease=self._lease,
            presence=self._presence,
            endpoints=self._views.endpoints,
            hosts=self._hosts,
            configuration=self._configuration,
            revision=self._revision,
        )
        control = self._get_control(ports)
        control.control(facts, self._find_outage_start(), now)

    def _get_control(self, ports: RegionPorts) -> "RegionControl":
        """Return the controlling part; it is created on first use."""
        if self._control is None:
            from chervilrock.tasks.region_control import RegionControl

            self._control = RegionControl(
                stream=self._identity.stream,
                writer=self._writer,
                schedule=self._schedule,
                ports=ports,
                clock=self._clock,
            )
        return self._control

    def _find_outage_start(self) -> float | None:
        """Return when the log was last read, None when it can be read."""
        if self._outages.has_outage(self._identity.stream):
            return self._read_at
        return None

    def _make_report(self, now: float) -> RegionReport:
        return make_report(
            region=self._region,
            presence=self._presence,
            hosts=self._hosts,
            known=self._reader.known,
            reachable=not self._outages.has_outage(self._identity.stream),
            epoch_held=self._lease.holder.epoch,
            now=now,
        )
