"""Answers of servers in trouble: bytes without end that are no answer."""

import asyncio
from collections.abc import Iterable
import enum

from tornado.iostream import IOStream, StreamClosedError

PIECE_BYTES = 16 * 1024

COMMENT = b": comment\n\n"
"""An event that is a comment, and that callers may get."""

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Flood(enum.Enum):
    """Where the bytes without end come.

    Attributes:
      INTERIM: interim answers before the final one.
      HEADERS: headers of the final head.
      BODY: a body with neither a length nor chunks.
      CHUNKS: chunks of a body, without the end of an event.
      COMMENTS: events that are comments.
      TRAILERS: trailers after the last chunk.
    """

    INTERIM = "interim"
    HEADERS = "headers"
    BODY = "body"
    CHUNKS = "chunks"
    COMMENTS = "comments"
    TRAILERS = "trailers"


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _repeat(unit: bytes) -> bytes:
    return unit * (PIECE_BYTES // len(unit))


_FIRST = {
    Flood.INTERIM: b"",
    Flood.HEADERS: b"",
    Flood.BODY: b"\r\n",
    Flood.CHUNKS: _CHUNKED + b"\r\n",
    Flood.COMMENTS: _CHUNKED + b"\r\n",
    Flood.TRAILERS: _CHUNKED + b"\r\n0\r\n",
}
"""What precedes the bytes without end, after the headers of an answer."""

_PIECES = {
    Flood.INTERIM: _repeat(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    Flood.HEADERS: _repeat(b"X-More: x\r\n"),
    Flood.BODY: b"x" * PIECE_BYTES,
    Flood.CHUNKS: _make_chunk(b"x" * PIECE_BYTES),
    Flood.COMMENTS: _make_chunk(_repeat(COMMENT)),
    Flood.TRAILERS: _repeat(b"X-More: x\r\n"),
}


def remove_comments(data: bytes) -> bytes:
    """Return what a caller received without the comments of a flood.

    The last one may be incomplete, as its connection was closed.
    """
    data = data.replace(COMMENT, b"")
    head, end, tail = data.rpartition(b"\n\n")
    return head + end if COMMENT.startswith(tail) else data


async def write_flood(
    stream: IOStream, flood: Flood, headers: Iterable[tuple[str, str]]
) -> int:
    """Write an answer without end until the caller closes the connection.

    Args:
      stream: connection of the caller.
      flood: where the bytes without end come.
      headers: headers of the answer.

    Returns:
      How many bytes were written.
    """
    lines = b"".join(f"{name}: {value}\r\n".encode() for name, value in headers)
    data = _OK + lines + _FIRST[flood]
    if flood is Flood.INTERIM:
        data = _PIECES[flood]
    written = 0
    try:
        while not stream.closed():
            await stream.write(data)
            written += len(data)
            data = _PIECES[flood]
            await asyncio.sleep(0)
    except StreamClosedError:
        stream.close()
    return written
