"""Encoding and decoding of the messages between nodes.

Announcements are compressed with gzip. Messages are JSON arrays, and nodes of
the former version reject arrays that are longer than they expect. So the body
holds the fields that these nodes know, and an HTTP header, which they ignore,
the fields that were added since, where they differ from their defaults.
"""

import gzip
from typing import Any, NamedTuple, TypeVar

import msgspec

from chervilrock.decisions.decoding import (
    convert,
    decode_plain,
    Decoder,
    UnreadableError,
)
from chervilrock.decisions.serving.admission.suspects import (
    CrashReport,
    ServerCrash,
    Suspect,
)
from chervilrock.decisions.serving.nodes.leadercontact import LeaderContact
from chervilrock.decisions.serving.servers.serverlimits import LimitedServer
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    GroupEndpoint,
    ServerEndpoint,
    ServingView,
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

EXTENSION = "Chervilrock-Extension"
"""HTTP header with the fields that nodes of the former version do not know."""

BASE_LENGTHS: dict[type, int] = {
    Announcement: 18,
    Acknowledgement: 11,
    Summary: 8,
    ServingView: 6,
    GroupEndpoint: 7,
    ServerEndpoint: 5,
    LimitedServer: 3,
    ServerCrash: 4,
    Suspect: 3,
}
"""Number of fields of each message that nodes of the former version know."""

_Message = TypeVar("_Message", Announcement, Acknowledgement)


class EncodedMessage(NamedTuple):
    """A message as it is sent.

    Attributes:
      body: the fields that all nodes know, in JSON.
      extension: the other fields, as the value of a header; empty for none.
    """

    body: bytes
    extension: str


class _Addition(NamedTuple):
    """Fields to append to one array of a message.

    Attributes:
      path: indexes that lead from the message to the array.
      values: the fields.
    """

    path: tuple[int, ...]
    values: list[Any]


_ANNOUNCEMENT = Decoder(Announcement)
_ACKNOWLEDGEMENT = Decoder(Acknowledgement)
_ADDITIONS = Decoder(tuple[_Addition, ...])
_CONTACT = Decoder(LeaderContact)
_CRASH_REPORT = Decoder(CrashReport)
_STATEMENTS: dict[str, Decoder[StatementReport]] = {
    "limit": Decoder(LimitReported),
    "departure": Decoder(DepartureReported),
    "pauses": Decoder(PausesReported),
}
"""Decoders of the reports of statements, by the name in their path."""

_STATEMENT_NAMES = {
    LimitReported: "limit",
    DepartureReported: "departure",
    PausesReported: "pauses",
}


def encode_announcement(announcement: Announcement) -> EncodedMessage:
    """Return an announcement with a compressed body."""
    encoded = _encode(announcement)
    return encoded._replace(body=compress(encoded.body))


def decode_announcement(body: bytes, extension: str) -> Announcement | None:
    """Decode an uncompressed announcement; None for an invalid body."""
    return _decode(body, extension, _ANNOUNCEMENT)


def encode_acknowledgement(answer: Acknowledgement) -> EncodedMessage:
    """Return an acknowledgement with an uncompressed body."""
    return _encode(answer)


def decode_acknowledgement(
    body: bytes, extension: str
) -> Acknowledgement | None:
    """Decode an acknowledgement; None for an invalid body."""
    return _decode(body, extension, _ACKNOWLEDGEMENT)


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
    except UnreadableError:
        return None


def _encode(message: Announcement | Acknowledgement) -> EncodedMessage:
    """Split a message into its body and its extension."""
    additions: list[_Addition] = []
    body = msgspec.json.encode(_truncate(message, (), additions))
    extension = msgspec.json.encode(additions).decode() if additions else ""
    return EncodedMessage(body, extension)


def _truncate(
    value: Any, path: tuple[int, ...], additions: list[_Addition]
) -> Any:
    """Return a value without the fields that former nodes do not know.

    Args:
      value: a message or a part of it.
      path: indexes that lead to it.
      additions: receives the fields that are left out.
    """
    if not isinstance(value, tuple):
        return value
    fields = [
        _truncate(item, (*path, index), additions)
        for index, item in enumerate(value)
    ]
    length = BASE_LENGTHS.get(type(value))
    if length is None or len(fields) == length:
        return fields
    defaults = getattr(value, "_field_defaults", {})
    names = getattr(value, "_fields", ())
    end = len(names)
    # Nodes reject the whole extension for a field that they do not know.
    while end > length and value[end - 1] == defaults.get(names[end - 1]):
        end -= 1
    if end > length:
        additions.append(_Addition(path, list(value[length:end])))
    return fields[:length]


def _decode(
    body: bytes, extension: str, decoder: Decoder[_Message]
) -> _Message | None:
    """Decode a message; without its extension if that is not valid."""
    try:
        message = decoder.decode(body)
    except UnreadableError:
        return None
    if not extension:
        return message
    try:
        arrays = decode_plain(body)
        for path, values in _ADDITIONS.decode(extension):
            target = arrays
            for index in path:
                target = target[index]
            target.extend(values)
        extended: _Message = convert(arrays, type(message), str_keys=True)
    except (
        UnreadableError,
        AttributeError,
        IndexError,
        TypeError,
        KeyError,
    ):
        return message
    return extended


def decode_contact(body: bytes) -> LeaderContact | None:
    """Decode what a node states of the leader; None for an invalid body."""
    try:
        return _CONTACT.decode(body)
    except UnreadableError:
        return None


def decode_crash_report(body: bytes) -> CrashReport | None:
    """Decode a crash report; None for an invalid body."""
    try:
        return _CRASH_REPORT.decode(body)
    except UnreadableError:
        return None


def compress(body: bytes) -> bytes:
    """Compress a body with gzip; equal bodies give equal bytes."""
    return gzip.compress(body, COMPRESSION_LEVEL, mtime=0)
