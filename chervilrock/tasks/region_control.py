"""The part of the region task that controls the region.

It is made when this node is granted the lease for the first time, so a node
that never holds it spends no memory on it.
"""

from chervilrock import events
from chervilrock.decisions.actions import Action
from chervilrock.decisions.control.effects import AppendRecord, Effect
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.control.view import make_plan_input
from chervilrock.decisions.controller import decide
from chervilrock.decisions.outage import decide_outage
from chervilrock.decisions.planner import Planner, prices
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import SnapshotSchedule, split_snapshot
from chervilrock.generated.records import GroupPhase, RecordId
from chervilrock.tasks.clock import Clock, read_day
from chervilrock.tasks.idleness import IdleTable
from chervilrock.tasks.loads import GroupLoad
from chervilrock.tasks.messages import BatchAppended, OrderAnswered
from chervilrock.tasks.orders import OrderRequest
from chervilrock.tasks.pace import Pace
from chervilrock.tasks.region_messages import RegionFacts, RegionPorts

REPLAN_S = 60.0
"""Time after which the planner is asked again though nothing has changed."""


class RegionControl:
    """Decides, appends and orders for the controller of a region."""

    def __init__(
        self,
        *,
        stream: str,
        writer: RecordWriter,
        schedule: SnapshotSchedule,
        ports: RegionPorts,
        clock: Clock,
    ) -> None:
        """Start with nothing under way.

        Args:
          stream: name of the stream of the region
          writer: gives records of this process their identity
          schedule: tells when a snapshot of the stream is due
          ports: where records and orders go
          clock: measures what a decision takes
        """
        self._stream = stream
        self._writer = writer
        self._schedule = schedule
        self._ports = ports
        self._progress = Progress()
        self._planner = Planner()
        self._idle = IdleTable()
        self._actions: tuple[Action, ...] = ()
        self._planned_at = float("-inf")
        self._clock = clock
        self._pace = Pace()

    def record_configuration(self) -> None:
        """Note that another configuration is in force."""
        self._pace.hurry()

    def record_change(self) -> None:
        """Note that something in the region has changed."""
        self._pace.record_change()

    def record_read(self, record_id: RecordId) -> None:
        """Note that a record was read back, whatever came of it."""
        self._progress.record_read(record_id)

    def record_appended(self, message: BatchAppended) -> None:
        """Note records that surely were not appended."""
        if message.error is None or message.error.effect_possible:
            return
        self._pace.record_change()
        for record in message.records:
            self._progress.record_read(record.record_id)

    def record_answered(self, message: OrderAnswered) -> None:
        """Note the answer to an order."""
        self._pace.record_change()
        self._progress.record_answered(
            message.host, message.order, message.accepted, message.sent_at
        )

    def record_load(self, message: GroupLoad) -> None:
        """Note the load report of a group."""
        self._idle.record_load(message)

    def control(
        self, facts: RegionFacts, out_since: float | None, now: float
    ) -> None:
        """Append and order what is allowed now, if it is time to decide.

        Args:
          facts: what is known of the region.
          out_since: when the log was last read, None when it can be read.
          now: present time in seconds.
        """
        if not self._pace.is_due(now):
            return
        started_at = self._clock()
        awaits = out_since is not None or is_awaiting(facts)
        if facts.lease.may_act(now):
            awaits |= self._control_leased(facts, now)
        if out_since is not None:
            self._control_outage(facts, out_since, now)
        cost_s = self._clock() - started_at
        self._pace.record_decided(now, cost_s=cost_s, awaits=awaits)

    def _control_leased(self, facts: RegionFacts, now: float) -> bool:
        """Append and order what the lease allows; return if there was any."""
        self._idle.retain(facts.region.groups.values(), now)
        effects = self._decide(facts, now)
        for effect in effects:
            self._perform(effect, now)
        self._write_snapshot(facts.region, now)
        return bool(effects)

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

    def _plan(self, facts: RegionFacts, now: float) -> tuple[Action, ...]:
        """Return what the planner asks for.

        While nothing changes it asks for the same, but for the costs of the
        calendar, so it is asked once in a while only.
        """
        if not self._pace.awaits and now < self._planned_at + REPLAN_S:
            return self._actions
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
        self._progress.retain(
            facts.hosts.keys() | facts.region.owners.keys(),
            set(facts.region.groups),
        )
        self._planned_at = now
        self._actions = self._planner.plan(view, now)
        return self._actions

    def _decide(self, facts: RegionFacts, now: float) -> tuple[Effect, ...]:
        return decide(
            region=facts.region,
            wanted=facts.configuration,
            revision=facts.revision,
            presence=facts.presence,
            hosts=facts.hosts.values(),
            actions=self._plan(facts, now),
            pending=self._progress,
            lease=facts.lease,
            now=now,
            idle=self._idle.find_idle(),
            whole=facts.endpoints.list_whole(),
        )

    def _perform(self, effect: Effect, now: float) -> None:
        if isinstance(effect, AppendRecord):
            self._append(effect.body, now)
            return
        self._progress.record_ordered(effect, now)
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
        self._progress.record_appended(body, record.record_id, now)
        self._ports.appender.inbox.offer(record)

    def _write_snapshot(self, region: RegionState, now: float) -> None:
        if not self._schedule.is_due(region.upto, now):
            return
        name = f"{self._writer.writer}/{self._stream}/{region.upto}"
        for part in split_snapshot(name, region.upto, region.export()):
            self._ports.appender.inbox.offer(self._writer.prepare(part))
        self._schedule.record_written(now)
        events.emit(
            events.Event.SNAPSHOT_WRITTEN,
            snapshot=name,
            stream=self._stream,
            upto=region.upto,
        )


def is_awaiting(facts: RegionFacts) -> bool:
    """Return whether a group or a host is on its way to another state."""
    region = facts.region
    if region.revoked or any(facts.endpoints.list_broken()):
        return True
    return any(
        group.phase is not GroupPhase.SERVING
        for group in region.groups.values()
    )
