"""Reading a stream that is trimmed, and knowing what is not known.

A reader that begins at offset 1 of a stream that was never trimmed knows
everything, even when the stream is empty. When records before the next one
are gone, the reader knows nothing until it finds a usable snapshot: a trimmed
stream must never pass for an empty one.
"""

import enum
from typing import Generic, NamedTuple, Protocol, Self, TypeVar

import msgspec

from chervilrock.decisions.records import decode_body, Page
from chervilrock.decisions.snapshots import (
    is_usable,
    Snapshot,
    SnapshotAssembler,
)
from chervilrock.decisions.verdicts import Verdict
from chervilrock.generated.records import SnapshotPart, StoredRecord


class Fold(Protocol):
    """State that is folded from a stream and kept in snapshots."""

    upto: int

    def apply(self, stored: StoredRecord) -> Verdict:
        """Apply the next record."""

    def resume(self, first_offset: int) -> bool:
        """Skip records that are lost, if what they told is known."""

    def inherit(self, other: Self) -> None:
        """Keep what an earlier fold knew besides the log."""

    def export(self) -> str:
        """Return the state as JSON text."""

    @classmethod
    def restore(cls, text: str) -> Self:
        """Return the state that `export` wrote."""


F = TypeVar("F", bound=Fold)


class Knowledge(enum.StrEnum):
    """Whether the state of a stream is known."""

    KNOWN = "known"
    UNKNOWN = "unknown"


class FoldStep(NamedTuple):
    """A record and what the fold made of it."""

    stored: StoredRecord
    verdict: Verdict


class ReadResult(NamedTuple):
    """What a page brought.

    Attributes:
      steps: records that were applied, in order
      restored: whether the state was replaced by a snapshot before the steps
        or after them; the owner then takes over the whole state
      snapshots: last offsets of the whole snapshots that were read
      position: offset to read next
      knowledge: whether the state is known now
    """

    steps: tuple[FoldStep, ...]
    restored: bool
    snapshots: tuple[int, ...]
    position: int
    knowledge: Knowledge


class StreamReader(Generic[F]):
    """Turns pages of a stream into steps of a fold.

    Attributes:
      fold: the folded state; of use only when known
      position: offset to read next
      knowledge: known from the first time on at which the end of the stream
        was reached without a gap, until there is a gap
    """

    def __init__(self, *, fold: F) -> None:
        """Read from the beginning into an empty fold."""
        self.fold = fold
        self.position = 1
        self.knowledge = Knowledge.UNKNOWN
        self._searching = False
        self._assembler = SnapshotAssembler()

    @property
    def known(self) -> bool:
        """Whether the state is known."""
        return self.knowledge is Knowledge.KNOWN

    def read(self, start: int, page: Page) -> ReadResult:
        """Take in a page.

        Args:
          start: offset that was asked for; a page that was asked for from
            another offset than `position` is dropped.
          page: what the log service answered.
        """
        steps: list[FoldStep] = []
        snapshots: list[int] = []
        restored = False
        if start == self.position:
            restored = self._check_gap(page)
            for stored in page.records:
                if stored.offset < self.position:
                    continue
                snapshot = self._take(stored, steps)
                if snapshot is not None:
                    snapshots.append(snapshot.upto)
                    if self._use(snapshot, page):
                        restored = True
                        break
            self._note_end(page)
        return ReadResult(
            steps=tuple(steps),
            restored=restored,
            snapshots=tuple(snapshots),
            position=self.position,
            knowledge=self.knowledge,
        )

    def _check_gap(self, page: Page) -> bool:
        """Search for a snapshot when records before the page are lost."""
        if self._searching:
            self.position = max(self.position, page.first_offset)
            return False
        if page.first_offset <= self.position:
            return False
        if self.fold.resume(page.first_offset):
            self.position = self.fold.upto + 1
            return True
        self._searching = True
        self.knowledge = Knowledge.UNKNOWN
        self._assembler = SnapshotAssembler()
        self.position = page.first_offset
        return False

    def _take(
        self, stored: StoredRecord, steps: list[FoldStep]
    ) -> Snapshot | None:
        self.position = stored.offset + 1
        if not self._searching:
            steps.append(FoldStep(stored, self.fold.apply(stored)))
        body = decode_body(stored.record)
        if not isinstance(body, SnapshotPart):
            return None
        return self._assembler.add(body)

    def _use(self, snapshot: Snapshot, page: Page) -> bool:
        """Go on from a snapshot; return False when it is of no use."""
        if not self._searching or not is_usable(
            snapshot.upto, page.first_offset
        ):
            return False
        try:
            fold = type(self.fold).restore(snapshot.text)
        except msgspec.MsgspecError:
            return False
        if fold.upto != snapshot.upto:
            return False
        fold.inherit(self.fold)
        self.fold = fold
        self.position = fold.upto + 1
        self._searching = False
        return True

    def _note_end(self, page: Page) -> None:
        if not self._searching and self.position >= page.next_offset:
            self.knowledge = Knowledge.KNOWN
