"""Encoding and decoding of the messages between nodes.

Announcements are compressed with gzip.
"""

import gzip

import msgspec

from chervilrock.decisions.serving.leadercontact import LeaderContact
from chervilrock.decisions.serving.suspects import CrashReport
from chervilrock.decisions.serving.view import Acknowledgement, Announcement
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

_ANNOUNCEMENT = msgspec.json.Decoder(Announcement)
_ACKNOWLEDGEMENT = msgspec.json.Decoder(Acknowledgement)
_CONTACT = msgspec.json.Decoder(LeaderContact)
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
    return compress(msgspec.json.encode(announcement))


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


def decode_contact(body: bytes) -> LeaderContact | None:
    """Decode what a node states of the leader; None for an invalid body."""
    try:
        return _CONTACT.decode(body)
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
