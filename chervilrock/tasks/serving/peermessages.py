"""Encoding and decoding of the messages between nodes.

Announcements are compressed with gzip. The decoder of an older process rejects
a message with more fields than it knows. So fields at the end that have their
default values are left out, and waiting requests are announced and acknowledged
only to processes that know them: a sender states in the path of an announcement
that it does, and a receiver by its acknowledgement.
"""

import gzip
from typing import Any

import msgspec

from chervilrock.decisions.serving.suspects import CrashReport
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    Summary,
)
from chervilrock.tasks.serving.messages import (
    DepartureReported,
    LimitReported,
    PausesReported,
    StatementReport,
)

COMPRESSION_LEVEL = 1
"""Compression level of gzip. Names recur in a view: an announcement with a view
of 40 groups shrinks from 5.4 to 0.8 kB in 0.03 ms, one without a view from 1.1
to 0.2 kB."""

HEADERS = {
    "Content-Type": "application/json",
    "Content-Encoding": "gzip",
}
"""HTTP headers of an encoded announcement."""

ANNOUNCEMENT_PATH = "/peer/announcement"

WAITING_PARAMETER = "waiting"
"""Parameter of the path of announcements whose sender knows the field
`waiting`. Older processes ignore it."""

_ANNOUNCEMENT = msgspec.json.Decoder(Announcement)
_ACKNOWLEDGEMENT = msgspec.json.Decoder(Acknowledgement)
_CRASH_REPORT = msgspec.json.Decoder(CrashReport)
_STATEMENTS: dict[str, msgspec.json.Decoder[StatementReport]] = {
    "limit": msgspec.json.Decoder(LimitReported),
    "departure": msgspec.json.Decoder(DepartureReported),
    "pauses": msgspec.json.Decoder(PausesReported),
}
"""Decoders of the reports of statements, by the name in their path."""

_STATEMENT_NAMES = {
    LimitReported: "limit",
    DepartureReported: "departure",
    PausesReported: "pauses",
}


def encode_announcement(announcement: Announcement) -> bytes:
    """Return the compressed body of an announcement."""
    return compress(msgspec.json.encode(_trim(announcement)))


def encode_acknowledgement(
    answer: Acknowledgement, *, knows_waiting: bool
) -> bytes:
    """Return the body of an acknowledgement.

    Args:
      answer: the acknowledgement.
      knows_waiting: whether the receiver knows the field `waiting`.
    """
    if knows_waiting:
        return msgspec.json.encode(answer)
    fields = _trim(answer._replace(waiting=None))
    relayed = None
    if answer.relayed is not None:
        relayed = _trim(answer.relayed._replace(waiting={}))
    position = Acknowledgement._fields.index("relayed")
    return msgspec.json.encode(
        [
            relayed if number == position else field
            for number, field in enumerate(fields)
        ]
    )


def _trim(message: Announcement | Acknowledgement | Summary) -> list[Any]:
    """Return the fields of a message without defaults at its end."""
    fields: list[Any] = list(message)
    defaults = message._field_defaults
    for name in reversed(message._fields):
        if name not in defaults or fields[-1] != defaults[name]:
            break
        fields.pop()
    return fields


def decode_announcement(body: bytes) -> Announcement | None:
    """Decode an uncompressed announcement; None for an invalid body."""
    try:
        return _ANNOUNCEMENT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def name_statement(report: StatementReport) -> str:
    """Return the name of a report of a statement in its path."""
    return _STATEMENT_NAMES[type(report)]


def is_statement(name: str) -> bool:
    """Return whether a name in a path is one of a report of a statement."""
    return name in _STATEMENTS


def decode_statement(name: str, body: bytes) -> StatementReport | None:
    """Decode a report of a statement; None for an invalid body."""
    try:
        return _STATEMENTS[name].decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def decode_acknowledgement(body: bytes) -> Acknowledgement | None:
    """Decode an acknowledgement; None for an invalid body."""
    try:
        return _ACKNOWLEDGEMENT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def decode_crash_report(body: bytes) -> CrashReport | None:
    """Decode a crash report; None for an invalid body."""
    try:
        return _CRASH_REPORT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def compress(body: bytes) -> bytes:
    """Compress a body with gzip; equal bodies give equal bytes."""
    return gzip.compress(body, COMPRESSION_LEVEL, mtime=0)
