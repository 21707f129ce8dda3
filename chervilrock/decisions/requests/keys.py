"""Keys that callers choose, so that a request runs at most once for a key.

A node claims a key in the log before it sends the request, and sends it only
after it has read its claim back as the first one. The window of this promise
is what the log keeps: a key whose claim was trimmed counts as new.
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
"""Longest time to wait for a claim to be read back."""

MAX_BATCH = 200
"""Most records of one append."""

COMPLETE = "complete"
"""Outcome in the log of a request that got its whole answer."""


class KeyVerdict(enum.StrEnum):
    """What became of a claim.

    Attributes:
      WAIT: it is not decided yet.
      DISPATCH: it came first; the request may be sent, once.
      TAKEN: another claim came first; the request may have run.
      FAILED: another claim came first; its request ended without an answer.
      NOT_RUN: it was given up; the request will not be sent for it.
    """

    WAIT = "wait"
    DISPATCH = "dispatch"
    TAKEN = "taken"
    FAILED = "failed"
    NOT_RUN = "not_run"


class KeyDecision(NamedTuple):
    """What became of the claim of a key."""

    name: KeyName
    verdict: KeyVerdict


class _Claim(NamedTuple):
    """A claim of this node that is not decided yet."""

    record: Record
    since: float


class KeyClaims:
    """The claims of one incarnation of a node.

    The owner appends what `take_batch` gives as one batch and reports how
    that went, hands in every record that it reads, and calls `expire` now
    and then. Claims that come while a batch is on its way go into the next
    one together.
    """

    def __init__(
        self,
        *,
        writer: records.RecordWriter,
        fold: KeyFold | None = None,
        wait_s: float = CLAIM_WAIT_S,
    ) -> None:
        """Starts without claims.

        Args:
          writer: gives records their identity; no other part may use it.
          fold: keys as the log says.
          wait_s: longest time to wait for a claim to be read back.
        """
        self._writer = writer
        self._fold = fold or KeyFold()
        self._wait_s = wait_s
        self._open: dict[KeyName, _Claim] = {}
        self._given_up: set[KeyName] = set()
        self._queue: list[Record] = []
        self._batch: tuple[Record, ...] = ()
        self._tried = 0
        self._failing = False

    @property
    def open_claims(self) -> int:
        """Number of claims that are not decided yet."""
        return len(self._open)

    def claim(self, name: KeyName, now: float) -> KeyVerdict:
        """Begins to claim a key, unless that is decided already.

        Args:
          name: the key.
          now: present time.

        Returns:
          `WAIT` when a later call of `take_record` or `expire` decides.
        """
        if name in self._open:
            return KeyVerdict.WAIT
        owner = self._fold.find(name)
        if owner is not None and name not in self._given_up:
            verdict = judge_owner(owner)
            if verdict is not KeyVerdict.WAIT:
                return verdict
        if self._failing and (self._queue or self._batch):
            # What waits already shows when the log works again.
            return KeyVerdict.NOT_RUN
        body = KeyClaimed(name.key, name.workspace, self._writer.writer)
        record = self._writer.prepare(body)
        self._open[name] = _Claim(record, now)
        self._queue.append(record)
        return KeyVerdict.WAIT

    def finish(self, name: KeyName, outcome: str) -> None:
        """Tells the log how a request that was dispatched has ended.

        Args:
          name: its key.
          outcome: `COMPLETE` or a value of `Outcome`.
        """
        body = KeyFinished(name.key, name.workspace, outcome)
        self._queue.append(self._writer.prepare(body))

    def take_batch(self) -> tuple[Record, ...]:
        """Returns the records to append next, empty when there are none.

        Nothing is returned while a batch is on its way.
        """
        if self._batch or not self._queue:
            return ()
        self._batch = tuple(self._queue[:MAX_BATCH])
        del self._queue[:MAX_BATCH]
        self._tried = max(self._tried, self._batch[-1].record_id.sequence)
        return self._batch

    def note_appended(self, *, ok: bool) -> None:
        """Takes note of the end of an append; a failed one is repeated.

        Records keep their identity and order, so that a batch which took
        effect although its answer was lost does no harm.
        """
        self._failing = not ok
        if not ok:
            self._queue[:0] = self._batch
        self._batch = ()

    def take_record(self, stored: StoredRecord) -> KeyDecision | None:
        """Takes a record that was read, in order.

        Returns:
          What became of a claim that waited, or None.
        """
        accepted = self._fold.apply(stored)
        body = records.decode_body(stored.record)
        if isinstance(body, KeyFinished):
            self._note_finished(KeyName(body.workspace, body.key), stored)
        if not isinstance(body, KeyClaimed):
            return None
        name = KeyName(body.workspace, body.key)
        waiting = self._open.get(name)
        if waiting is None:
            return None
        if stored.record.record_id != waiting.record.record_id:
            return None
        if not accepted:
            return self._lose(name)
        del self._open[name]
        return KeyDecision(name, KeyVerdict.DISPATCH)

    def expire(self, now: float) -> tuple[KeyDecision, ...]:
        """Gives up claims that have waited too long, as in an outage."""
        late = [
            name
            for name, claim in self._open.items()
            if now - claim.since >= self._wait_s
        ]
        return tuple(self._give_up(name) for name in late)

    def _note_finished(self, name: KeyName, stored: StoredRecord) -> None:
        if stored.record.record_id.writer == self._writer.writer:
            self._given_up.discard(name)

    def _lose(self, name: KeyName) -> KeyDecision:
        """Ends a claim that came second."""
        del self._open[name]
        owner = self._fold.find(name)
        verdict = KeyVerdict.TAKEN if owner is None else judge_owner(owner)
        if verdict is KeyVerdict.WAIT:
            verdict = KeyVerdict.NOT_RUN
        return KeyDecision(name, verdict)

    def _give_up(self, name: KeyName) -> KeyDecision:
        """Ends a claim for which nothing will be sent any more.

        A claim that was tried may stand in the log or may still get there. A
        record that frees the key follows it, and the fold drops the claim
        when it comes after that one.
        """
        claim = self._open.pop(name)
        if claim.record in self._queue:
            self._queue.remove(claim.record)
        if claim.record.record_id.sequence <= self._tried:
            self._given_up.add(name)
            self.finish(name, Outcome.NOT_RUN)
        return KeyDecision(name, KeyVerdict.NOT_RUN)


def judge_owner(owner: KeyOwner) -> KeyVerdict:
    """Tells what a claim of a key that has an owner would come to.

    Returns:
      `WAIT` when the owner gave the key up, so that it can be claimed.
    """
    if owner.outcome == Outcome.NOT_RUN:
        return KeyVerdict.WAIT
    if owner.outcome == Outcome.FAILED:
        return KeyVerdict.FAILED
    return KeyVerdict.TAKEN
