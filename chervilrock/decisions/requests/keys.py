"""Idempotency keys: a request runs at most once for a key of the caller.

A node claims a key in the log before it sends the request, and sends the
request only after it has read its claim back as the first one. The guarantee
covers the retention of the log: a key whose claim was trimmed counts as new.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions import records
from chervilrock.decisions.requests.keyfold import KeyFold, KeyName, KeyOwner
from chervilrock.generated.interfaces import Outcome
from chervilrock.generated.records import (
    KeyClaimed,
    KeyFinished,
    Record,
    StoredRecord,
)

CLAIM_WAIT_S = 2.0
"""Maximum time to wait for a claim to be read back."""

MAX_BATCH = 200
"""Maximum number of records in one append."""

COMPLETE = "complete"
"""Outcome in the log for a request that received its whole answer."""


class KeyVerdict(enum.StrEnum):
    """Result of a claim.

    Attributes:
      WAIT: the claim is undecided.
      DISPATCH: the claim came first; the request may be sent once.
      TAKEN: another claim came first; its request may have run.
      FAILED: another claim came first; its request ended without an answer.
      NOT_RUN: the claim was given up; the request will not be sent for it.
    """

    WAIT = "wait"
    DISPATCH = "dispatch"
    TAKEN = "taken"
    FAILED = "failed"
    NOT_RUN = "not_run"


class KeyDecision(NamedTuple):
    """Result of the claim of a key."""

    name: KeyName
    verdict: KeyVerdict


class _Claim(NamedTuple):
    """An undecided claim of this node."""

    record: Record
    claimed_at: float


class KeyClaims:
    """The claims of keys by one incarnation of a node.

    The owner appends the records from `start_batch` as one batch and reports
    the result to `record_appended`, passes every record that it reads to
    `apply_record`, and calls `expire` periodically. Claims that are made while
    a batch is in flight go into the next batch together.
    """

    def __init__(
        self,
        *,
        writer: records.RecordWriter,
        fold: KeyFold | None = None,
        wait_s: float = CLAIM_WAIT_S,
    ) -> None:
        """Creates an instance without claims.

        Args:
          writer: assigns the record ids; nothing else may use it.
          fold: owners of keys according to the log.
          wait_s: maximum time to wait for a claim to be read back, in seconds.
        """
        self._writer = writer
        self._fold = fold or KeyFold()
        self._wait_s = wait_s
        self._undecided: dict[KeyName, _Claim] = {}
        self._given_up: set[KeyName] = set()
        self._queue: list[Record] = []
        self._batch: tuple[Record, ...] = ()
        self._max_appended_sequence = 0
        self._append_failing = False

    @property
    def open_claims(self) -> int:
        """Number of undecided claims."""
        return len(self._undecided)

    def claim(self, name: KeyName, now: float) -> KeyVerdict:
        """Starts to claim a key, unless the log already decides the claim.

        Args:
          name: the key.
          now: current time in seconds.

        Returns:
          The result; `WAIT` if a later call of `apply_record` or `expire`
          decides.
        """
        if name in self._undecided:
            return KeyVerdict.WAIT
        owner = self._fold.find(name)
        if owner is not None and name not in self._given_up:
            verdict = judge_owner(owner)
            if verdict is not KeyVerdict.WAIT:
                return verdict
        if self._append_failing and (self._queue or self._batch):
            # The pending records show when appends succeed again.
            return KeyVerdict.NOT_RUN
        body = KeyClaimed(name.key, name.workspace, self._writer.writer)
        record = self._writer.prepare(body)
        self._undecided[name] = _Claim(record, now)
        self._queue.append(record)
        return KeyVerdict.WAIT

    def finish(self, name: KeyName, outcome: str) -> None:
        """Queues a record of the outcome of a dispatched request.

        Args:
          name: key of the request.
          outcome: `COMPLETE` or a value of `Outcome`.
        """
        body = KeyFinished(name.key, name.workspace, outcome)
        self._queue.append(self._writer.prepare(body))

    def start_batch(self) -> tuple[Record, ...]:
        """Returns the records to append next, empty if there are none.

        Nothing is returned while a batch is in flight.
        """
        if self._batch or not self._queue:
            return ()
        self._batch = tuple(self._queue[:MAX_BATCH])
        del self._queue[:MAX_BATCH]
        self._max_appended_sequence = max(
            self._max_appended_sequence, self._batch[-1].record_id.sequence
        )
        return self._batch

    def record_appended(self, *, ok: bool) -> None:
        """Records the result of an append; a failed batch is queued again.

        Records keep their ids and order, so retrying a batch that was stored
        although its acknowledgement was lost is harmless.
        """
        self._append_failing = not ok
        if not ok:
            self._queue[:0] = self._batch
        self._batch = ()

    def apply_record(self, stored: StoredRecord) -> KeyDecision | None:
        """Applies a record read from the log; records must come in order.

        Returns:
          The result of a claim that this record decides, or None.
        """
        accepted = self._fold.apply(stored)
        body = records.decode_body(stored.record)
        if isinstance(body, KeyFinished):
            self._record_finished(KeyName(body.workspace, body.key), stored)
        if not isinstance(body, KeyClaimed):
            return None
        name = KeyName(body.workspace, body.key)
        claim = self._undecided.get(name)
        if claim is None:
            return None
        if stored.record.record_id != claim.record.record_id:
            return None
        if not accepted:
            return self._decide_lost_claim(name)
        del self._undecided[name]
        return KeyDecision(name, KeyVerdict.DISPATCH)

    def expire(self, now: float) -> tuple[KeyDecision, ...]:
        """Gives up claims that have waited too long, such as in an outage."""
        overdue = [
            name
            for name, claim in self._undecided.items()
            if now - claim.claimed_at >= self._wait_s
        ]
        return tuple(self._give_up(name) for name in overdue)

    def _record_finished(self, name: KeyName, stored: StoredRecord) -> None:
        if stored.record.record_id.writer == self._writer.writer:
            self._given_up.discard(name)

    def _decide_lost_claim(self, name: KeyName) -> KeyDecision:
        """Removes a claim that did not come first, and returns its result."""
        del self._undecided[name]
        owner = self._fold.find(name)
        verdict = KeyVerdict.TAKEN if owner is None else judge_owner(owner)
        if verdict is KeyVerdict.WAIT:
            verdict = KeyVerdict.NOT_RUN
        return KeyDecision(name, verdict)

    def _give_up(self, name: KeyName) -> KeyDecision:
        """Removes a claim for which the request will no longer be sent.

        A claim that was part of an append may be in the log or may still
        arrive there. A record that releases the key follows it, and the fold
        ignores the claim if it arrives after that record.
        """
        claim = self._undecided.pop(name)
        if claim.record in self._queue:
            self._queue.remove(claim.record)
        if claim.record.record_id.sequence <= self._max_appended_sequence:
            self._given_up.add(name)
            self.finish(name, Outcome.NOT_RUN)
        return KeyDecision(name, KeyVerdict.NOT_RUN)


def judge_owner(owner: KeyOwner) -> KeyVerdict:
    """Returns the result of a claim of a key that already has an owner.

    Returns:
      `WAIT` if the owner released the key, so that it can be claimed.
    """
    if owner.outcome == Outcome.NOT_RUN:
        return KeyVerdict.WAIT
    if owner.outcome == Outcome.FAILED:
        return KeyVerdict.FAILED
    return KeyVerdict.TAKEN
