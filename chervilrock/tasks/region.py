"""The task that follows a region and, with the lease, controls it.

It owns everything that is known of the region: the fold of its stream, the
lease, the evidence of the hosts and what is under way. Others get views of it
by messages.
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
from chervilrock.tasks.region_views import RegionPicture, RegionViews

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
"""Longest wait for a message before the task looks at the time."""

PACE_S = 0.05
"""Time in which messages gather before they are taken together."""

TURNS_PER_LEASE = 12
"""Least number of times that the task looks at the time in a lease."""

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
        """Make the task with nothing read."""
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
        self._keeper = RegionLease(
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
        pace_s = min(PACE_S, lease_s / TURNS_PER_LEASE)
        while True:
            first = await self.inbox.receive_within(TICK_S)
            if first is not None:
                self._handle(first, ports, self._clock())
            self.advance(ports)
            await asyncio.sleep(pace_s)

    def advance(self, ports: RegionPorts) -> None:
        """Take the messages that wait, and do what is due."""
        for message in self.inbox.receive_waiting():
            self._handle(message, ports, self._clock())
        self._step(ports, self._clock())

    def _handle(
        self, message: RegionMessage, ports: RegionPorts, now: float
    ) -> None:
        if isinstance(message, HostProbed):
            self._take_probe(message)
        elif isinstance(message, PageRead):
            self._take_page(message, ports)
        elif isinstance(message, ReadFailed):
            stream = self._identity.stream
            self._outages.record_failure(stream, message.error.message, now)
        elif isinstance(message, BatchAppended):
            self._take_append(message)
        elif isinstance(message, HostsListed):
            self._take_hosts(message)
        elif isinstance(message, OrderAnswered):
            self._take_order(message)
        elif isinstance(message, ConfigurationInForce):
            self._take_configuration(message, now)
        elif isinstance(message, GroupLoad):
            if self._control is not None:
                self._control.record_load(message)
        elif isinstance(message, ReportWanted):
            # Whoever asked may have given up while this process stood still.
            if not message.reply.done():
                message.reply.set_result(self._make_report(now))
        else:
            self._keeper.give_up(ports.appender, now)
            if not message.done.done():
                message.done.set_result(None)

    def _take_probe(self, message: HostProbed) -> None:
        if message.state is not None:
            self._presence.observe(
                message.host, message.state, message.sent_at, message.read_at
            )

    def _take_page(self, message: PageRead, ports: RegionPorts) -> None:
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
        self._follow(result, message.read_at)

    def _follow(self, result: ReadResult, now: float) -> None:
        """Let lease, progress and log events follow the records."""
        if result.restored:
            self._adopt_snapshot(now)
        for upto in result.snapshots:
            self._schedule.record_read(upto, now)
        for step in result.steps:
            self._follow_step(step, now)

    def _adopt_snapshot(self, now: float) -> None:
        region = self._region
        controller = region.controller
        lease_s = None if controller is None else controller.lease_s
        self._lease.adopt(region.epoch, lease_s, now)

    def _follow_step(self, step: FoldStep, now: float) -> None:
        record = step.stored.record
        if step.verdict.kind is VerdictKind.SKIPPED:
            return
        self._lease.read(record.record_id, step.verdict, now)
        if self._control is not None:
            self._control.record_read(record.record_id)
            if record.kind is not RecordKind.CONTROLLER_RENEWED:
                self._control.record_change()
        if step.verdict.accepted:
            self._events.record_record(step.verdict.body, step.stored.offset)

    def _take_append(self, message: BatchAppended) -> None:
        if message.error is None:
            taken = message.ended_at - message.sent_at
            self._metrics.log_append_seconds.observe(taken)
        if self._control is not None:
            self._control.record_appended(message)

    def _take_hosts(self, message: HostsListed) -> None:
        """Take over a host list that is another than the last one."""
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

    def _take_order(self, message: OrderAnswered) -> None:
        if self._control is not None:
            self._control.record_answered(message)
        if message.accepted is False and message.state is not None:
            self._events.record_refused(
                message.host, message.order["fence"], message.state["fence"]
            )

    def _take_configuration(
        self, message: ConfigurationInForce, now: float
    ) -> None:
        self._configuration = message.document
        self._revision = message.revision
        self._views.measure(self._make_picture(), now)
        if self._control is not None:
            self._control.record_configuration()

    def _step(self, ports: RegionPorts, now: float) -> None:
        """Decide everything that is due."""
        self._keeper.keep(
            self._region, ports.appender, now, known=self._reader.known
        )
        picture = self._make_picture()
        changed = self._views.update(picture, now)
        if changed and self._control is not None:
            self._control.record_change()
        self._control_safely(ports, now)
        self._views.publish(picture, ports, now)

    def _make_picture(self) -> RegionPicture:
        wanted = self._configuration
        return RegionPicture(
            region=self._region,
            known=self._reader.known,
            hosts=self._hosts,
            services=self._services,
            models=() if wanted is None else tuple(wanted["models"]),
        )

    def _control_safely(self, ports: RegionPorts, now: float) -> None:
        """Control the region; a fault in it must not stop the requests.

        Each node would fail in turn, while the groups could go on serving.
        """
        try:
            self._control_region(ports, now)
        except Exception as error:  # noqa: BLE001
            events.emit(
                events.Event.TASK_FAILED, task="control", error=repr(error)
            )

    def _control_region(self, ports: RegionPorts, now: float) -> None:
        """Control the region if this node was granted its epoch."""
        if not self._lease.granted_epoch or self._configuration is None:
            return
        if self._keeper.stopping or not self._reader.known:
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
        control = self._find_control(ports)
        control.control(facts, self._find_outage(), now)

    def _find_control(self, ports: RegionPorts) -> "RegionControl":
        """Return the part that controls, which is made when it is needed."""
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

    def _find_outage(self) -> float | None:
        """Return when the log was last read, if it cannot be read now."""
        if self._outages.is_out(self._identity.stream):
            return self._read_at
        return None

    def _make_report(self, now: float) -> RegionReport:
        return make_report(
            region=self._region,
            presence=self._presence,
            hosts=self._hosts,
            known=self._reader.known,
            reachable=not self._outages.is_out(self._identity.stream),
            epoch_held=self._lease.holder.epoch,
            now=now,
        )
