"""The task that follows a region and, with the lease, controls it.

It owns everything that is known of the region: the fold of its stream, the
lease, the evidence of the hosts and what is under way. Others get views of it
by messages.
"""

from typing import TYPE_CHECKING

from chervilrock import events
from chervilrock.decisions.lease import LeaseStep, LeaseView
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import SnapshotSchedule
from chervilrock.decisions.streams import FoldStep, ReadResult, StreamReader
from chervilrock.decisions.verdicts import VerdictKind
from chervilrock.decisions.views import (
    count_missing_groups,
    list_endpoints,
    list_stranded,
)
from chervilrock.generated.configuration import Configuration, ModelSpec
from chervilrock.generated.interfaces import HostEntry, ServiceEntry
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    GroupPhase,
)
from chervilrock.metrics import Metrics
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.loads import GroupLoad, LoadTarget
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    HostProbed,
    HostsListed,
    OrderAnswered,
    PageRead,
    ProbeTarget,
    ReadFailed,
)
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.region_events import RegionEvents
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
        self._control: RegionControl | None = None
        self._events = RegionEvents(region=identity.region)
        self._hosts: dict[str, HostEntry] = {}
        self._services: tuple[ServiceEntry, ...] = ()
        self._configuration: Configuration | None = None
        self._revision = 0
        self._read_at: float | None = None
        self._measured_at: float | None = None
        self._stopping = False
        self.inbox: Mailbox[RegionMessage] = Mailbox(size=4096)

    @property
    def _region(self) -> RegionState:
        return self._reader.fold

    async def run(self, ports: RegionPorts) -> None:
        """Follow the region until cancelled."""
        while True:
            first = await self.inbox.receive_within(TICK_S)
            if first is not None:
                self._handle(first, ports, self._clock())
            self.advance(ports)

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
            self._outages.note_failure(stream, message.error.message, now)
        elif isinstance(message, BatchAppended):
            self._take_append(message)
        elif isinstance(message, HostsListed):
            self._take_hosts(message, ports)
        elif isinstance(message, OrderAnswered):
            self._take_order(message)
        elif isinstance(message, ConfigurationInForce):
            self._configuration = message.document
            self._revision = message.revision
            if self._control is not None:
                self._control.plan_soon()
        elif isinstance(message, GroupLoad):
            if self._control is not None:
                self._control.note_load(message)
        elif isinstance(message, ReportWanted):
            message.reply.set_result(self._make_report(now))
        else:
            self._give_up(message, ports, now)

    def _take_probe(self, message: HostProbed) -> None:
        if message.state is not None:
            self._presence.observe(message.host, message.state, message.sent_at)

    def _take_page(self, message: PageRead, ports: RegionPorts) -> None:
        self._outages.note_success(self._identity.stream, message.read_at)
        self._read_at = message.read_at
        was_known = self._reader.known
        result = self._reader.read(message.start, message.page)
        if result.position != message.start:
            ports.reader.move(result.position)
        if was_known and not self._reader.known:
            self._events.note_trimmed(
                self._identity.stream, message.start, message.page.first_offset
            )
        self._follow(result, message.read_at)

    def _follow(self, result: ReadResult, now: float) -> None:
        """Let lease, progress and log events follow the records."""
        if result.restored:
            self._adopt_snapshot(now)
        for upto in result.snapshots:
            self._schedule.note_read(upto, now)
        for step in result.steps:
            self._follow_step(step, now)

    def _adopt_snapshot(self, now: float) -> None:
        region = self._region
        controller = region.controller
        lease_s = None if controller is None else controller.lease_s
        self._lease.adopt(region.epoch, lease_s, now)

    def _follow_step(self, step: FoldStep, now: float) -> None:
        record_id = step.stored.record.record_id
        if step.verdict.kind is VerdictKind.SKIPPED:
            return
        self._lease.read(record_id, step.verdict, now)
        if self._control is not None:
            self._control.note_read(record_id)
        if step.verdict.accepted:
            self._events.note_record(step.verdict.body, step.stored.offset)

    def _take_append(self, message: BatchAppended) -> None:
        if message.error is None:
            taken = message.ended_at - message.sent_at
            self._metrics.log_append_seconds.observe(taken)
        if self._control is not None:
            self._control.note_appended(message)

    def _take_hosts(self, message: HostsListed, ports: RegionPorts) -> None:
        self._hosts = {
            entry["host"]: entry
            for entry in message.hosts["hosts"]
            if entry["region"] == self._identity.region
        }
        self._services = message.hosts["services"]
        known = self._hosts.keys() | self._region.owners.keys()
        self._presence.retain(set(known))
        targets = tuple(
            ProbeTarget(name, entry["address"])
            for name, entry in self._hosts.items()
        )
        ports.probes.offer(targets)

    def _take_order(self, message: OrderAnswered) -> None:
        if self._control is not None:
            self._control.note_answered(message)
        if message.accepted is False and message.state is not None:
            self._events.note_refused(
                message.host, message.order["fence"], message.state["fence"]
            )

    def _give_up(
        self, message: LeaseGivenUp, ports: RegionPorts, now: float
    ) -> None:
        self._stopping = True
        if self._lease.may_act(now):
            epoch = self._lease.holder.epoch
            record = self._writer.prepare(ControllerReleased(epoch=epoch))
            ports.appender.inbox.offer(record)
            self._events.note_released(epoch)
        self._lease.holder.drop()
        message.done.set_result(None)

    def _step(self, ports: RegionPorts, now: float) -> None:
        """Decide everything that is due."""
        if not self._stopping:
            self._keep_lease(ports, now)
        self._events.note_lease(self._lease.holder.epoch, now)
        holds = self._lease.may_act(now)
        self._metrics.lease_held.set(1 if holds else 0)
        self._control_safely(ports, now)
        view = self._make_view(now)
        self._measure(view, holds, now)
        self._publish(view, ports)

    def _keep_lease(self, ports: RegionPorts, now: float) -> None:
        decision = self._lease.decide(now, known=self._reader.known)
        if decision.step is LeaseStep.CLAIM:
            claim = ControllerClaimed(
                node=self._identity.node,
                address=self._identity.address,
                replaces_epoch=self._region.epoch,
                replaces_renewal=self._region.renewed,
                lease_ms=self._identity.lease_ms,
            )
            self._append_for_lease(claim, ports, now)
        elif decision.step is LeaseStep.RENEW:
            epoch = self._lease.holder.epoch
            self._append_for_lease(ControllerRenewed(epoch), ports, now)
        elif decision.step is LeaseStep.STEP_DOWN:
            self._lease.holder.drop()

    def _append_for_lease(
        self, body: Body, ports: RegionPorts, now: float
    ) -> None:
        record = self._writer.prepare(body)
        self._lease.holder.note_sent(record.record_id, now)
        ports.appender.inbox.offer(record)

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
        if not self._lease.granted or self._configuration is None:
            return
        if self._stopping or not self._reader.known:
            return
        facts = RegionFacts(
            region=self._region,
            lease=self._lease,
            presence=self._presence,
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
            )
        return self._control

    def _find_outage(self) -> float | None:
        """Return when the log was last read, if it cannot be read now."""
        if self._outages.is_out(self._identity.stream):
            return self._read_at
        return None

    def _models(self) -> tuple[ModelSpec, ...]:
        if self._configuration is None:
            return ()
        return tuple(self._configuration["models"])

    def _make_view(self, now: float) -> ServingView:
        known = self._reader.known
        endpoints = list_endpoints(
            region=self._region,
            presence=self._presence,
            hosts=self._hosts,
            now=now,
        )
        return ServingView(
            endpoints=endpoints if known else (),
            services=tuple(s for s in self._services if not s["leaving"]),
            known=known,
            holds_lease=self._lease.may_act(now),
        )

    def _publish(self, view: ServingView, ports: RegionPorts) -> None:
        for mailbox in ports.views:
            mailbox.offer(view)
        groups = self._region.groups.values()
        targets = [self._find_leader(group) for group in groups]
        ports.loads.offer(tuple(t for t in targets if t is not None))

    def _find_leader(self, group: Group) -> LoadTarget | None:
        entry = self._hosts.get(group.hosts[0])
        if entry is None:
            return None
        if group.phase not in (GroupPhase.SERVING, GroupPhase.DRAINING):
            return None
        return LoadTarget(group.name, entry["address"])

    def _measure(self, view: ServingView, holds: bool, now: float) -> None:
        """Count group downtime and stranded accelerators since last time."""
        elapsed = now - (self._measured_at or now)
        self._measured_at = now
        region = self._region
        self._events.note_presence(region, self._presence, now)
        counts = dict.fromkeys(GroupPhase, 0)
        for group in region.groups.values():
            counts[group.phase] += 1
        self._metrics.set_groups(counts)
        self._metrics.quarantined_hosts.set(len(region.quarantined))
        stranded = sum(
            entry["accelerators"]
            for entry in list_stranded(region, self._presence, self._hosts, now)
        )
        self._metrics.stranded_accelerators.set(stranded)
        if not holds:
            return
        self._metrics.stranded_accelerator_seconds.inc(stranded * elapsed)
        serving = [one.endpoint for one in view.endpoints]
        missing = count_missing_groups(self._models(), serving)
        for model, count in missing.items():
            self._metrics.count_downtime(model=model, seconds=count * elapsed)

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
