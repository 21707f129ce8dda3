"""The task that follows the configuration stream."""

import asyncio
from typing import NamedTuple

from chervilrock import events
from chervilrock.decisions.configurations import (
    AcceptedConfiguration,
    ConfigurationFold,
    Winner,
)
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.snapshots import SnapshotSchedule, split_snapshot
from chervilrock.decisions.streams import ReadResult, StreamReader
from chervilrock.decisions.verdicts import Reason, Verdict, VerdictKind
from chervilrock.generated.records import (
    ConfigurationApplied,
    RecordId,
    StoredRecord,
)
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.mailbox import Mailbox, Outbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    PageRead,
    ReadFailed,
)
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.peers import LocalConfiguration

STREAM = "config"
RETRY_S = 0.5
TICK_S = 1.0
MAX_READ_AGE_S = 3.0
"""Age of the last read up to which a node counts as following the log.

A node that follows the log gives it time to deliver a revision before it
requests that revision from a peer.
"""


class ApplyResult(NamedTuple):
    """Outcome of an applied configuration.

    Attributes:
      accepted: whether the configuration was accepted
      revision: its revision when it was accepted, else the one in force
      winner: configuration that was applied first, None when this one was
        accepted
    """

    accepted: bool
    revision: int
    winner: Winner | None


class ApplyCommand(NamedTuple):
    """Request of an operator to apply a configuration.

    Attributes:
      reply: gets the result, or None when the record was certainly not
        appended
      deadline: time after which the append is not retried
    """

    body: ConfigurationApplied
    reply: "asyncio.Future[ApplyResult | None]"
    deadline: float


class PeerRecord(NamedTuple):
    """An accepted configuration that a peer forwarded."""

    stored: StoredRecord


Message = PageRead | ReadFailed | BatchAppended | ApplyCommand | PeerRecord


class _Pending(NamedTuple):
    """A configuration that was sent to the log and not yet read back.

    Attributes:
      effect_possible: whether one of its appends may have taken effect
    """

    command: ApplyCommand
    effect_possible: bool


class ConfigurationTask(LocalConfiguration):
    """Folds the stream and announces the configuration in force.

    A configuration arrives from the log or from a peer, whichever is first.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        writer: RecordWriter,
        outboxes: tuple[Outbox[ConfigurationInForce], ...],
        schedule: SnapshotSchedule,
        outages: OutageLog,
    ) -> None:
        """Create a task that has read nothing yet.

        Args:
          clock: the clock of this process
          writer: assigns identities to the records of this process
          outboxes: where `ConfigurationInForce` is sent
          schedule: determines when a snapshot of the stream is due
          outages: records when the stream cannot be read
        """
        self._clock = clock
        self._writer = writer
        self._outboxes = outboxes
        self._schedule = schedule
        self._outages = outages
        self._reader = StreamReader(fold=ConfigurationFold())
        self._announced = 0
        self._pending: dict[RecordId, _Pending] = {}
        self._writes_snapshots = False
        self._read_at: float | None = None
        self.inbox: Mailbox[Message] = Mailbox()
        self.read_task: ReadTask | None = None
        self.append_task: AppendTask | None = None

    @property
    def revision(self) -> int:
        """See base class."""
        return self._reader.fold.revision

    @property
    def known(self) -> bool:
        """Whether the stream was read up to its end without a gap."""
        return self._reader.known

    @property
    def in_force(self) -> AcceptedConfiguration | None:
        """The configuration in force."""
        return self._reader.fold.in_force

    def current(self) -> StoredRecord | None:
        """See base class."""
        accepted = self.in_force
        return None if accepted is None else accepted.stored

    def adopt(self, stored: StoredRecord, now: float) -> None:
        """See base class."""
        self.inbox.offer(PeerRecord(stored))

    def follows_log(self, now: float) -> bool:
        """See base class."""
        return (
            self._read_at is not None and now - self._read_at <= MAX_READ_AGE_S
        )

    def set_snapshot_duty(self, holds_lease: bool) -> None:
        """Set whether this node writes snapshots of the stream."""
        self._writes_snapshots = holds_lease

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            message = await self.inbox.receive_within(TICK_S)
            now = self._clock()
            if message is not None:
                self._handle(message, now)
            self._announce()
            self._write_snapshot(now)

    def _handle(self, message: Message, now: float) -> None:
        if isinstance(message, PageRead):
            self._read_at = now
            self._outages.record_success(STREAM, now)
            self._handle_page(message, now)
        elif isinstance(message, ReadFailed):
            self._outages.record_failure(STREAM, message.error.message, now)
        elif isinstance(message, BatchAppended):
            self._handle_append(message, now)
        elif isinstance(message, ApplyCommand):
            self._apply(message)
        else:
            self._reader.fold.adopt(message.stored)

    def _handle_page(self, message: PageRead, now: float) -> None:
        was_known = self._reader.known
        result = self._reader.read(message.start, message.page)
        if was_known and not self._reader.known:
            events.emit(
                events.Event.LOG_TRIMMED,
                stream=STREAM,
                wanted=message.start,
                first_offset=message.page.first_offset,
            )
        if self.read_task is not None and result.position != message.start:
            self.read_task.move(result.position)
        for upto in result.snapshots:
            self._schedule.record_read(upto, now)
        self._answer_operators(result)

    def _answer_operators(self, result: ReadResult) -> None:
        """Send the results of the records that were read back to operators."""
        for step in result.steps:
            record_id = step.stored.record.record_id
            self._record_loss(step.verdict)
            if step.verdict.kind is VerdictKind.DUPLICATE:
                continue
            pending = self._pending.pop(record_id, None)
            if pending is None or pending.command.reply.done():
                continue
            pending.command.reply.set_result(
                self._make_result(step.verdict.accepted)
            )

    def _record_loss(self, verdict: Verdict) -> None:
        """Log a configuration that lost to one applied before it."""
        body = verdict.body
        if verdict.reason is not Reason.STALE_BASE:
            return
        if not isinstance(body, ConfigurationApplied):
            return
        in_force = self.in_force
        events.emit(
            events.Event.CONFIGURATION_LOST,
            operator=body.operator,
            base_revision=body.base_revision,
            winner="" if in_force is None else in_force.operator,
        )

    def _make_result(self, accepted: bool) -> ApplyResult:
        fold = self._reader.fold
        in_force = fold.in_force
        winner = None
        if not accepted and in_force is not None:
            winner = Winner(in_force.revision, in_force.operator)
        return ApplyResult(accepted, fold.revision, winner)

    def _apply(self, command: ApplyCommand) -> None:
        record = self._writer.prepare(command.body)
        self._pending[record.record_id] = _Pending(command, False)
        if self.append_task is not None:
            self.append_task.inbox.offer(record)

    def _handle_append(self, message: BatchAppended, now: float) -> None:
        if message.error is None or self.append_task is None:
            return
        for record in message.records:
            pending = self._pending.get(record.record_id)
            if pending is None:
                continue
            possible = message.error.effect_possible or pending.effect_possible
            self._pending[record.record_id] = pending._replace(
                effect_possible=possible
            )
            if now + RETRY_S < pending.command.deadline:
                loop = asyncio.get_running_loop()
                inbox = self.append_task.inbox
                loop.call_later(RETRY_S, inbox.offer, record)
                continue
            if not possible and not pending.command.reply.done():
                pending.command.reply.set_result(None)
                del self._pending[record.record_id]

    def _announce(self) -> None:
        accepted = self.in_force
        if accepted is None or accepted.revision <= self._announced:
            return
        self._announced = accepted.revision
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            revision=accepted.revision,
            operator=accepted.operator,
        )
        message = ConfigurationInForce(
            revision=accepted.revision,
            document=accepted.document,
            stored=accepted.stored,
        )
        for outbox in self._outboxes:
            outbox.offer(message)

    def _write_snapshot(self, now: float) -> None:
        fold = self._reader.fold
        if not self._writes_snapshots or not self._reader.known:
            return
        if self.append_task is None or not self._schedule.is_due(
            fold.upto, now
        ):
            return
        name = f"{self._writer.writer}/{STREAM}/{fold.upto}"
        parts = split_snapshot(name, fold.upto, fold.export())
        for part in parts:
            self.append_task.inbox.offer(self._writer.prepare(part))
        self._schedule.record_written(now)
        events.emit(
            events.Event.SNAPSHOT_WRITTEN,
            snapshot=name,
            stream=STREAM,
            upto=fold.upto,
        )
