"""The part of the region task that controls the region.

It is made when this node is granted the lease for the first time, so a node
that never holds it spends no memory on it.
"""

from chervilrock import events
from chervilrock.decisions.control.effects import AppendRecord, Effect
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.control.view import make_plan_input
from chervilrock.decisions.controller import decide
from chervilrock.decisions.outage import decide_outage
from chervilrock.decisions.planner import Planner, prices
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import SnapshotSchedule, split_snapshot
from chervilrock.generated.records import RecordId
from chervilrock.tasks.clock import read_day
from chervilrock.tasks.idleness import IdleTable
from chervilrock.tasks.loads import GroupLoad
from chervilrock.tasks.messages import BatchAppended, OrderAnswered
from chervilrock.tasks.orders import OrderRequest
from chervilrock.tasks.region_messages import RegionFacts, RegionPorts

PLAN_INTERVAL_S = 0.3


class RegionControl:
    """Decides, appends and orders for the controller of a region."""

    def __init__(
        self,
        *,
        stream: str,
        writer: RecordWriter,
        schedule: SnapshotSchedule,
        ports: RegionPorts,
    ) -> None:
        """Start with nothing under way.

        Args:
          stream: name of the stream of the region
          writer: gives records of this process their identity
          schedule: tells when a snapshot of the stream is due
          ports: where records and orders go
        """
        self._stream = stream
        self._writer = writer
        self._schedule = schedule
        self._ports = ports
        self._progress = Progress()
        self._planner = Planner()
        self._idle = IdleTable()
        self._planned_at = 0.0

    def plan_soon(self) -> None:
        """Decide at the next step."""
        self._planned_at = 0.0

    def note_read(self, record_id: RecordId) -> None:
        """Note that a record was read back, whatever came of it."""
        self._progress.note_read(record_id)

    def note_appended(self, message: BatchAppended) -> None:
        """Note records that surely were not appended."""
        if message.error is None or message.error.effect_possible:
            return
        for record in message.records:
            self._progress.note_read(record.record_id)

    def note_answered(self, message: OrderAnswered) -> None:
        """Note the answer to an order."""
        self._progress.note_answered(
            message.host, message.order, message.accepted, message.sent_at
        )

    def note_load(self, message: GroupLoad) -> None:
        """Note the load report of a group."""
        self._idle.note_load(message)

    def control(
        self, facts: RegionFacts, out_since: float | None, now: float
    ) -> None:
        """Append and order what is allowed now, once an interval.

        Args:
          facts: what is known of the region.
          out_since: when the log was last read, None when it can be read.
          now: present time in seconds.
        """
        if now < self._planned_at + PLAN_INTERVAL_S:
            return
        self._planned_at = now
        if facts.lease.may_act(now):
            self._control_leased(facts, now)
        if out_since is not None:
            self._control_outage(facts, out_since, now)

    def _control_leased(self, facts: RegionFacts, now: float) -> None:
        """Append and order what the lease allows."""
        self._idle.retain(facts.region.groups.values(), now)
        for effect in self._decide(facts, now):
            self._perform(effect, now)
        self._write_snapshot(facts.region, now)
        self._progress.retain(
            facts.hosts.keys() | facts.region.owners.keys(),
            set(facts.region.groups),
        )

    def _control_outage(
        self, facts: RegionFacts, out_since: float, now: float
    ) -> None:
        """Order what is allowed without the log, by grants made ahead."""
        orders = decide_outage(
            region=facts.region,
            presence=facts.presence,
            hosts=facts.hosts.values(),
            pending=self._progress,
            lease=facts.lease,
            out_since=out_since,
            now=now,
        )
        for order in orders:
            self._perform(order, now)

    def _decide(self, facts: RegionFacts, now: float) -> tuple[Effect, ...]:
        wanted = facts.configuration
        view = make_plan_input(
            region=facts.region,
            wanted=wanted,
            presence=facts.presence,
            hosts=facts.hosts.values(),
            pending=self._progress,
            prices=prices(wanted.get("objective"), read_day()),
            now=now,
        )
        return decide(
            region=facts.region,
            wanted=wanted,
            revision=facts.revision,
            presence=facts.presence,
            hosts=facts.hosts.values(),
            actions=self._planner.plan(view, now),
            pending=self._progress,
            lease=facts.lease,
            now=now,
            idle=self._idle.find_idle(),
        )

    def _perform(self, effect: Effect, now: float) -> None:
        if isinstance(effect, AppendRecord):
            self._append(effect.body, now)
            return
        self._progress.note_ordered(effect, now)
        request = OrderRequest(
            host=effect.host,
            address=effect.address,
            order=effect.order,
            valid_until=effect.valid_until,
        )
        self._ports.orders.inbox.offer(request)

    def _append(self, body: Body, now: float) -> None:
        """Append a record and note it as under way."""
        record = self._writer.prepare(body)
        self._progress.note_appended(body, record.record_id, now)
        self._ports.appender.inbox.offer(record)

    def _write_snapshot(self, region: RegionState, now: float) -> None:
        if not self._schedule.is_due(region.upto, now):
            return
        name = f"{self._writer.writer}/{self._stream}/{region.upto}"
        for part in split_snapshot(name, region.upto, region.export()):
            self._ports.appender.inbox.offer(self._writer.prepare(part))
        self._schedule.note_written(now)
        events.emit(
            events.Event.SNAPSHOT_WRITTEN,
            snapshot=name,
            stream=self._stream,
            upto=region.upto,
        )
