"""Bodies of log records, and the writer that assigns record identifiers.

A record that cannot be decoded must never stop a fold: decoding returns None
instead of raising an error, and the fold rejects the record.
"""

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

from chervilrock.decisions.decoding import convert, UnreadableError
from chervilrock.generated.records import (
    ConfigurationApplied,
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    GroupGranted,
    GroupPhaseChanged,
    GroupRepaired,
    HostCleared,
    HostQuarantined,
    HostReleased,
    KeyClaimed,
    KeyFinished,
    Record,
    RecordId,
    RecordKind,
    SnapshotPart,
    SparesGranted,
    StoredRecord,
)

MAX_WRITERS = 4096
"""Number of writers whose last sequence number a fold remembers."""

Body = (
    ControllerClaimed
    | ControllerRenewed
    | ControllerReleased
    | GroupGranted
    | GroupRepaired
    | SparesGranted
    | GroupPhaseChanged
    | HostReleased
    | HostQuarantined
    | HostCleared
    | ConfigurationApplied
    | KeyClaimed
    | KeyFinished
    | SnapshotPart
)

BODY_TYPES: dict[RecordKind, type[Body]] = {
    RecordKind.CONTROLLER_CLAIMED: ControllerClaimed,
    RecordKind.CONTROLLER_RENEWED: ControllerRenewed,
    RecordKind.CONTROLLER_RELEASED: ControllerReleased,
    RecordKind.GROUP_GRANTED: GroupGranted,
    RecordKind.GROUP_REPAIRED: GroupRepaired,
    RecordKind.SPARES_GRANTED: SparesGranted,
    RecordKind.GROUP_PHASE_CHANGED: GroupPhaseChanged,
    RecordKind.HOST_RELEASED: HostReleased,
    RecordKind.HOST_QUARANTINED: HostQuarantined,
    RecordKind.HOST_CLEARED: HostCleared,
    RecordKind.CONFIGURATION_APPLIED: ConfigurationApplied,
    RecordKind.KEY_CLAIMED: KeyClaimed,
    RecordKind.KEY_FINISHED: KeyFinished,
    RecordKind.SNAPSHOT_PART: SnapshotPart,
}

_KINDS = {body: kind for kind, body in BODY_TYPES.items()}

_UNREADABLE = Record(
    kind=RecordKind.UNKNOWN,
    record_id=RecordId(writer="", sequence=0),
    body=None,
)


class Page(Protocol):
    """A page that was read from a stream."""

    @property
    def records(self) -> tuple[StoredRecord, ...]:
        """Records in the order of their offsets."""

    @property
    def first_offset(self) -> int:
        """Lowest offset still stored, 1 if nothing was trimmed."""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""


def find_kind(body: Body) -> RecordKind:
    """Return the kind of record for a body."""
    return _KINDS[type(body)]


def encode_body(body: Body) -> Any:
    """Return the body as plain lists, numbers and strings."""
    return msgspec.to_builtins(body)


def decode_body(record: Record) -> Body | None:
    """Return the typed body, or None if it does not match the kind."""
    body_type = BODY_TYPES.get(record.kind)
    if body_type is None:
        return None
    try:
        return convert(record.body, body_type)
    except UnreadableError:
        return None


def decode_stored(raw: Any) -> StoredRecord | None:
    """Return a stored record from the plain JSON value of the log service.

    A record that this version cannot decode becomes one of kind `unknown`,
    so that its offset still counts.

    Args:
      raw: an array `[offset, record]`.

    Returns:
      None if not even the offset can be decoded.
    """
    try:
        return convert(raw, StoredRecord)
    except UnreadableError:
        pass
    if not isinstance(raw, list | tuple) or not raw:
        return None
    offset = raw[0]
    if not isinstance(offset, int) or isinstance(offset, bool):
        return None
    return StoredRecord(offset=offset, record=_UNREADABLE)


class RecordWriter:
    """Assigns records an identifier that is never reused.

    The caller keeps the record that `prepare` returns and appends that same
    record again if the response was lost. Records must be appended in the
    order in which they were prepared: a fold treats a record as a duplicate
    if a later one of the same writer precedes it in the log.
    """

    def __init__(self, *, node: str, incarnation: str) -> None:
        """Create a writer for one incarnation of a node, counting from 1."""
        self.writer = f"{node}/{incarnation}"
        self._sequence = 0

    def prepare(self, body: Body) -> Record:
        """Return a new record with the next sequence number."""
        self._sequence += 1
        return Record(
            kind=find_kind(body),
            record_id=RecordId(writer=self.writer, sequence=self._sequence),
            body=encode_body(body),
        )


class SeenRecords:
    """Highest sequence number read from each writer.

    Only the writers with the most recent records are kept, in log order, so
    that every reader keeps the same ones. A duplicate that arrives after its
    writer was evicted is evaluated again; by then the epoch, fencing number
    or base revision in it is out of date, so it is rejected.
    """

    def __init__(self, *, limit: int = MAX_WRITERS) -> None:
        """Create an empty set that keeps at most `limit` writers."""
        self._limit = limit
        self._highest: OrderedDict[str, int] = OrderedDict()

    def add(self, record_id: RecordId) -> bool:
        """Record an identifier; return False if it is a duplicate."""
        if record_id.sequence <= self._highest.get(record_id.writer, 0):
            return False
        self._highest[record_id.writer] = record_id.sequence
        self._highest.move_to_end(record_id.writer)
        if len(self._highest) > self._limit:
            self._highest.popitem(last=False)
        return True

    def export(self) -> tuple[RecordId, ...]:
        """Return the last identifier of each writer, oldest writer first."""
        return tuple(RecordId(*item) for item in self._highest.items())

    def restore(self, seen: tuple[RecordId, ...]) -> None:
        """Replace the content with the result of `export`."""
        self._highest = OrderedDict(seen)
