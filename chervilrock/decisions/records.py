"""Bodies of log records, and the writer that gives records their identity.

A record that cannot be read must never stop a fold: decoding answers None
instead of raising, and the fold rejects the record.
"""

from collections import OrderedDict
from typing import Any, Protocol

import msgspec

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
"""Writers whose last sequence number a fold remembers."""

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
    """What a fold needs of a page that was read from a stream."""

    @property
    def records(self) -> tuple[StoredRecord, ...]:
        """Records in the order of their offsets."""

    @property
    def first_offset(self) -> int:
        """Least offset still kept, 1 when nothing was trimmed."""

    @property
    def next_offset(self) -> int:
        """Offset that the next record will get."""


def find_kind(body: Body) -> RecordKind:
    """Return the kind of record that carries such a body."""
    return _KINDS[type(body)]


def encode_body(body: Body) -> Any:
    """Return the body as plain lists, numbers and strings."""
    return msgspec.to_builtins(body)


def decode_body(record: Record) -> Body | None:
    """Return the typed body, or None when it does not fit the kind."""
    body_type = BODY_TYPES.get(record.kind)
    if body_type is None:
        return None
    try:
        return msgspec.convert(record.body, type=body_type)
    except (msgspec.ValidationError, RecursionError):
        return None


def decode_stored(raw: Any) -> StoredRecord | None:
    """Return a stored record from the plain JSON value of the log service.

    A record that this version cannot read becomes one of the kind `unknown`,
    so that its offset is still counted.

    Args:
      raw: an array `[offset, record]`.

    Returns:
      None when not even the offset can be read.
    """
    try:
        return msgspec.convert(raw, type=StoredRecord)
    except (msgspec.ValidationError, RecursionError):
        pass
    if not isinstance(raw, list | tuple) or not raw:
        return None
    offset = raw[0]
    if not isinstance(offset, int) or isinstance(offset, bool):
        return None
    return StoredRecord(offset=offset, record=_UNREADABLE)


class RecordWriter:
    """Gives records an identity that is unique for all time.

    The caller keeps the record that `prepare` returns and appends that same
    record again when an answer was lost. Records must be appended in the
    order in which they were prepared: a fold drops a record that comes for
    the first time after a later one of the same writer.
    """

    def __init__(self, *, node: str, incarnation: str) -> None:
        """Start to count from 1 for one incarnation of a node."""
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
    """The greatest sequence number read from each writer.

    Only the writers heard last are kept, in the order of the log, so that
    every reader keeps the same ones. A double that comes after its writer was
    forgotten is judged again; the epoch, the fencing number or the base
    revision that it names has passed by then.
    """

    def __init__(self, *, limit: int = MAX_WRITERS) -> None:
        """Remember at most `limit` writers."""
        self._limit = limit
        self._greatest: OrderedDict[str, int] = OrderedDict()

    def add(self, record_id: RecordId) -> bool:
        """Note a record; return False when it is a double."""
        if record_id.sequence <= self._greatest.get(record_id.writer, 0):
            return False
        self._greatest[record_id.writer] = record_id.sequence
        self._greatest.move_to_end(record_id.writer)
        if len(self._greatest) > self._limit:
            self._greatest.popitem(last=False)
        return True

    def export(self) -> tuple[RecordId, ...]:
        """Return the last record of each writer, oldest writer first."""
        return tuple(RecordId(*item) for item in self._greatest.items())

    def restore(self, seen: tuple[RecordId, ...]) -> None:
        """Replace the content by what `export` returned."""
        self._greatest = OrderedDict(seen)
