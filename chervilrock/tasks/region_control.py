"""The part of the region task that controls the region.

It is created when this node is granted the lease for the first time, so that a
node that never holds the lease spends no memory on it.
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
from chervilrock.tasks.decisionschedule import DecisionSchedule
from chervilrock.tasks.idleness import IdleTable
from chervilrock.tasks.loads import GroupLoad
from chervilrock.tasks.messages import BatchAppended, OrderAnswered
from chervilrock.tasks.orders import OrderRequest
from chervilrock.tasks.region_messages import RegionFacts, RegionPorts

REPLAN_S = 60.0
"""Time after which the planner runs again although nothing has changed."""


class RegionControl:
    """Decides, appends records and sends orders as controller of a region."""

    def __init__(
        self,
        *,
        stream: str,
        writer: RecordWriter,
        schedule: SnapshotSchedule,
        ports: RegionPorts,
        clock: Clock,
    ) -> None:
        """Create a controller with nothing in progress.

        Args:
          stream: name of the stream of the region
          writer: assigns identities to the records of this process
          schedule: determines when a snapshot of the stream is due
          ports: receive the records and orders
          clock: measures the time of a decision
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
        self._decision_schedule = DecisionSchedule()

    def record_configuration(self) -> None:
        """Record that a new configuration is in force."""
        self._decision_schedule.request_now()

    def record_change(self) -> None:
        """Record that something in the region has changed."""
        self._decision_schedule.record_change()

    def record_read(self, record_id: RecordId) -> None:
        """Record that a record was read back, accepted or not."""
        self._progress.record_read(record_id)

    def record_appended(self, message: BatchAppended) -> None:
        """Record which records were certainly not appended."""
        if message.error is None or message.error.effect_possible:
            return
        self._decision_schedule.record_change()
        for record in message.records:
            self._progress.record_read(record.record_id)

    def record_answered(self, message: OrderAnswered) -> None:
        """Record the answer to an order."""
        self._decision_schedule.record_change()
        self._progress.record_answered(
            message.host, message.order, message.accepted, message.sent_at
        )

    def record_load(self, message: GroupLoad) -> None:
        """Record the load report of a group."""
        self._idle.record_load(message)

    def control(
        self, facts: RegionFacts, outage_since: float | None, now: float
    ) -> None:
        """Append records and send orders, if a decision is due.

        Args:
          facts: state of the region as this node knows it.
          outage_since: when the log was last read, None when it can be read.
          now: current time in seconds.
        """
        if not self._decision_schedule.is_due(now):
            return
        started_at = self._clock()
        has_work = outage_since is not None or is_in_transition(facts)
        if facts.lease.may_act(now):
            has_work |= self._control_leased(facts, now)
        if outage_since is not None:
            self._control_outage(facts, outage_since, now)
        cost_s = self._clock() - started_at
        self._decision_schedule.record_decided(
            now, cost_s=cost_s, has_work=has_work
        )

    def _control_leased(self, facts: RegionFacts, now: float) -> bool:
        """Act under the lease and return whether there was anything to do."""
        self._idle.retain(facts.region.groups.values(), now)
        effects = self._decide(facts, now)
        for effect in effects:
            self._perform(effect, now)
        self._write_snapshot(facts.region, now)
        return bool(effects)

    def _control_outage(
        self, facts: RegionFacts, outage_since: float, now: float
    ) -> None:
        """Send the orders that earlier grants allow without the log."""
        orders = decide_outage(
            region=facts.region,
            presence=facts.presence,
            hosts=facts.hosts.values(),
            pending=self._progress,
            lease=facts.lease,
            outage_since=outage_since,
            now=now,
        )
        for order in orders:
            self._perform(order, now)

    def _plan(self, facts: RegionFacts, now: float) -> tuple[Action, ...]:
        """Return the actions of the planner.

        While nothing changes, only the costs of the calendar can change the
        actions, so the planner runs at a long interval.
        """
        if (
            not self._decision_schedule.has_work
            and now < self._planned_at + REPLAN_S
        ):
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
        """Append a record and mark it as in progress."""
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


def is_in_transition(facts: RegionFacts) -> bool:
    """Return whether a group or a host is in transition."""
    region = facts.region
    if region.revoked or any(facts.endpoints.list_broken()):
        return True
    return any(
        group.phase is not GroupPhase.SERVING
        for group in region.groups.values()
    )
