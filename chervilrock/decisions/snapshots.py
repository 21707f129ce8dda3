"""Snapshots of folded state, appended to the stream in parts.

A snapshot is usable if all its parts were read and no record is missing
between its last offset and the first offset that the log still stores.
"""

from collections import OrderedDict
from typing import NamedTuple

from chervilrock.generated.records import SnapshotPart

MAX_PART_CHARACTERS = 60_000
"""Maximum number of characters of the state in one part."""

MAX_INCOMPLETE_SNAPSHOTS = 4
"""Maximum number of incomplete snapshots whose parts are kept."""


class Snapshot(NamedTuple):
    """A complete snapshot.

    Attributes:
      upto: offset of the last record included in the state
      text: the state as JSON text
    """

    upto: int
    text: str


class SnapshotPolicy(NamedTuple):
    """When a snapshot is due.

    Attributes:
      records: number of records after the last snapshot
      age_s: age of the last snapshot in seconds; well below the retention
        time of the log, so that the log always holds a complete snapshot and
        every record after it
    """

    records: int = 2000
    age_s: float = 600.0


def split_snapshot(
    name: str, upto: int, text: str, size: int = MAX_PART_CHARACTERS
) -> tuple[SnapshotPart, ...]:
    """Return the parts of a snapshot.

    Args:
      name: unique identifier of the snapshot.
      upto: offset of the last record included in the state.
      text: the state as JSON text.
      size: maximum length of the text in one part, in characters.
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
    """Assembles snapshots from their parts.

    Parts of several snapshots may be interleaved, repeated and in any order.
    When too many snapshots are incomplete, the one that began first is
    dropped.
    """

    def __init__(self, *, limit: int = MAX_INCOMPLETE_SNAPSHOTS) -> None:
        """Create an assembler for at most `limit` incomplete snapshots."""
        self._limit = limit
        self._parts: OrderedDict[str, dict[int, SnapshotPart]] = OrderedDict()

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part; return the snapshot once it is complete."""
        if not 0 <= part.number < part.parts:
            return None
        parts = self._parts.setdefault(part.snapshot, {})
        if any(_is_inconsistent(part, other) for other in parts.values()):
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
    """Schedules the snapshots of a stream.

    Attributes:
      upto: last offset in the last complete snapshot that was read
    """

    def __init__(self, *, policy: SnapshotPolicy) -> None:
        """Create a schedule without a previous snapshot."""
        self.upto = 0
        self._policy = policy
        self._read_at: float | None = None
        self._written_at: float | None = None

    def record_read(self, upto: int, now: float) -> None:
        """Record that a complete snapshot was read back."""
        if upto >= self.upto:
            self.upto = upto
            self._read_at = now

    def record_written(self, now: float) -> None:
        """Record that a snapshot is being appended, to delay the next one."""
        self._written_at = now

    def is_due(self, upto: int, now: float) -> bool:
        """Return whether a snapshot is to be written.

        Args:
          upto: offset of the last record included in the state.
          now: current time in seconds.
        """
        if upto == 0:
            return False
        if self._written_at is not None and now < self._written_at + (
            self._policy.age_s / 10
        ):
            return False
        if upto - self.upto >= self._policy.records:
            return True
        if self._read_at is None:
            self._read_at = now
        return now >= self._read_at + self._policy.age_s


def _is_inconsistent(part: SnapshotPart, other: SnapshotPart) -> bool:
    """Return whether two parts are inconsistent with one snapshot."""
    if (part.parts, part.upto) != (other.parts, other.upto):
        return True
    return part.number == other.number and part.body != other.body
