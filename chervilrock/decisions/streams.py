"""Reading of streams that may have been trimmed.

A reader that starts at offset 1 of a stream that was never trimmed knows the
whole state, even if the stream is empty. If records before the next one were
trimmed, the state is unknown until the reader finds a usable snapshot: a
trimmed stream must never be mistaken for an empty one.
"""

import enum
from typing import Generic, NamedTuple, Protocol, Self, TypeVar

from chervilrock.decisions.decoding import UnreadableError
from chervilrock.decisions.records import decode_body, Page
from chervilrock.decisions.snapshots import (
    is_usable,
    Snapshot,
    SnapshotAssembler,
)
from chervilrock.decisions.verdicts import Verdict
from chervilrock.generated.records import SnapshotPart, StoredRecord


class Fold(Protocol):
    """State that is folded from a stream and stored in snapshots."""

    upto: int

    def apply(self, stored: StoredRecord) -> Verdict:
        """Apply the next record."""

    def resume(self, first_offset: int) -> bool:
        """Skip lost records if their effect on the state is known."""

    def carry_over(self, other: Self) -> None:
        """Adopt state of an earlier fold that did not come from the log."""

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
    """A record and the verdict of the fold."""

    stored: StoredRecord
    verdict: Verdict


class ReadResult(NamedTuple):
    """Result of processing a page.

    Attributes:
      steps: records that were applied, in order
      restored: whether the whole state was replaced before or after the
        steps; the caller must then process all of it anew
      snapshots: last offsets of the complete snapshots that were read
      position: offset to read next
      knowledge: whether the state is known
    """

    steps: tuple[FoldStep, ...]
    restored: bool
    snapshots: tuple[int, ...]
    position: int
    knowledge: Knowledge


class StreamReader(Generic[F]):
    """Applies pages of a stream to a fold.

    Attributes:
      fold: the folded state; valid only if it is known
      position: offset to read next
      knowledge: becomes known when the end of the stream is reached without
        a gap, and unknown again at the next gap
    """

    def __init__(self, *, fold: F) -> None:
        """Create a reader at the start of a stream, with an empty fold."""
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
        """Process a page.

        Args:
          start: requested offset of the page; the page is dropped if this is
            not `position`.
          page: response of the log service.
        """
        steps: list[FoldStep] = []
        snapshots: list[int] = []
        restored = False
        if start == self.position:
            restored = self._check_gap(page)
            for stored in page.records:
                if stored.offset < self.position:
                    continue
                snapshot = self._apply_record(stored, steps)
                if snapshot is not None:
                    snapshots.append(snapshot.upto)
                    if self._restore(snapshot, page):
                        restored = True
                        break
            self._check_end(page)
        return ReadResult(
            steps=tuple(steps),
            restored=restored,
            snapshots=tuple(snapshots),
            position=self.position,
            knowledge=self.knowledge,
        )

    def _check_gap(self, page: Page) -> bool:
        """Search for a snapshot if records before the page are lost.

        Returns:
          Whether the fold resumed without a snapshot.
        """
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

    def _apply_record(
        self, stored: StoredRecord, steps: list[FoldStep]
    ) -> Snapshot | None:
        self.position = stored.offset + 1
        if not self._searching:
            steps.append(FoldStep(stored, self.fold.apply(stored)))
        body = decode_body(stored.record)
        if not isinstance(body, SnapshotPart):
            return None
        return self._assembler.add(body)

    def _restore(self, snapshot: Snapshot, page: Page) -> bool:
        """Restore the state from a snapshot; return False if unusable."""
        if not self._searching or not is_usable(
            snapshot.upto, page.first_offset
        ):
            return False
        try:
            fold = type(self.fold).restore(snapshot.text)
        except UnreadableError:
            return False
        if fold.upto != snapshot.upto:
            return False
        fold.carry_over(self.fold)
        self.fold = fold
        self.position = fold.upto + 1
        self._searching = False
        return True

    def _check_end(self, page: Page) -> None:
        if not self._searching and self.position >= page.next_offset:
            self.knowledge = Knowledge.KNOWN
