"""Snapshots of folded state, written back into the stream as parts.

A snapshot is usable when all its parts were read and no record between its
last offset and the first one that the log still keeps is lost.
"""

from collections import OrderedDict
from typing import NamedTuple

from chervilrock.generated.records import SnapshotPart

PART_CHARACTERS = 60_000
"""Greatest length of the state in one part."""

MAX_PARTIAL = 4
"""Snapshots of which some parts are kept while others are missing."""


class Snapshot(NamedTuple):
    """A whole snapshot.

    Attributes:
      upto: offset of the last record that the state contains
      text: the state as JSON text
    """

    upto: int
    text: str


class SnapshotPolicy(NamedTuple):
    """When a snapshot is due.

    Attributes:
      records: number of records after the last snapshot
      age_s: age of the last snapshot in seconds; well below the retention
        time of the log, so that a snapshot is always kept whole, with each
        record that follows it
    """

    records: int = 2000
    age_s: float = 600.0


def split_snapshot(
    name: str, upto: int, text: str, size: int = PART_CHARACTERS
) -> tuple[SnapshotPart, ...]:
    """Return the parts of a snapshot.

    Args:
      name: identity, never used for another snapshot.
      upto: offset of the last record that the state contains.
      text: the state as JSON text.
      size: greatest length of the text in one part, in characters.
    """
    pieces = [
        text[start : start + size] for start in range(0, len(text), size)
    ] or [""]
    return tuple(
        SnapshotPart(
            snapshot=name,
            number=number,
            parts=len(pieces),
            upto=upto,
            body=piece,
        )
        for number, piece in enumerate(pieces)
    )


def is_usable(upto: int, first_offset: int) -> bool:
    """Return whether no record after a snapshot was trimmed."""
    return upto + 1 >= first_offset


class SnapshotAssembler:
    """Puts the parts of snapshots together.

    Parts of several snapshots may come in between each other, twice, or in
    any order. A snapshot of which a part never comes is dropped when others
    have begun after it.
    """

    def __init__(self, *, limit: int = MAX_PARTIAL) -> None:
        """Keep parts of at most `limit` unfinished snapshots."""
        self._limit = limit
        self._parts: OrderedDict[str, dict[int, SnapshotPart]] = OrderedDict()

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part; return the snapshot when it is the last missing one."""
        if not 0 <= part.number < part.parts:
            return None
        parts = self._parts.setdefault(part.snapshot, {})
        if any(_differ(part, other) for other in parts.values()):
            del self._parts[part.snapshot]
            return None
        parts[part.number] = part
        if len(self._parts) > self._limit:
            self._parts.popitem(last=False)
        if len(parts) < part.parts:
            return None
        self._parts.pop(part.snapshot, None)
        text = "".join(parts[number].body for number in range(part.parts))
        return Snapshot(upto=part.upto, text=text)


class SnapshotSchedule:
    """Tells when the next snapshot of a stream is due.

    Attributes:
      upto: last offset in the last whole snapshot that was read
    """

    def __init__(self, *, policy: SnapshotPolicy) -> None:
        """Start without a snapshot."""
        self.upto = 0
        self._policy = policy
        self._read_at: float | None = None
        self._started_at: float | None = None

    def note_read(self, upto: int, now: float) -> None:
        """Note that a whole snapshot was read back."""
        if upto >= self.upto:
            self.upto = upto
            self._read_at = now

    def note_written(self, now: float) -> None:
        """Note that a snapshot is being appended; the next one waits."""
        self._started_at = now

    def is_due(self, upto: int, now: float) -> bool:
        """Return whether a snapshot shall be written.

        Args:
          upto: offset of the last record that the state contains.
          now: present time in seconds.
        """
        if upto == 0:
            return False
        if self._started_at is not None and now < self._started_at + (
            self._policy.age_s / 10
        ):
            return False
        if upto - self.upto >= self._policy.records:
            return True
        if self._read_at is None:
            self._read_at = now
        return now >= self._read_at + self._policy.age_s


def _differ(part: SnapshotPart, other: SnapshotPart) -> bool:
    """Return whether two parts cannot belong to the same snapshot."""
    if (part.parts, part.upto) != (other.parts, other.upto):
        return True
    return part.number == other.number and part.body != other.body
