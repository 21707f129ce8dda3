"""Answers of servers that stutter: cut, unframed, malformed, or doubled."""

import asyncio
from collections.abc import Sequence
import contextlib
import enum
import random
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError

from chervilrock.standin.site.resets import prepare_reset

PIECE_INTERVAL_S = 0.01
"""Interval between the pieces of a body."""

LATE_S = 0.5
"""Longest wait for the next request on a connection that gets an extra answer
late."""

BROKEN_AFTER = 3
"""Pieces of a body that are whole when it breaks off."""

_STATUS = b"HTTP/1.1 200 OK\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_FIELD = b"X-Trace: a\r\n"
_WRONG_BYTES = (b" ", b"\t", b"\x01", b"\x0b", b"\x1b", b"\x7f", b"\x80", b"(")
_WRONG_CODES = (b"000", b"099", b"600", b"999")
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CONTENT_TYPE = "content-type"
_STAMP = b"x-server-stamp:"
_REQUEST_ID = "x-request-id"
_BLANK_LINE = b"\r\n\r\n"


class Stutter(enum.Enum):
    """What a server does in place of a proper answer.

    An answer with neither a length nor chunks is cut inside an event only:
    elsewhere, nothing tells its end from the proper one.

    Attributes:
      HEAD: ends the connection after any byte of the head.
      STATUS: after the status line.
      STAMP: after the receipt.
      FRAMING: in the name of the header that tells the framing.
      BLANK: before the blank line.
      UNFRAMED_BLANK: before the blank line of a head without framing.
      INTERIM: after an interim answer.
      INTERIM_HEAD: after an interim answer and any byte of the final head.
      BROKEN: after some pieces of the body, without an end.
      INSIDE: inside a piece of the body.
      UNFRAMED: sends the body with neither a length nor chunks.
      UNFRAMED_INSIDE: the same, ended inside an event of a stream.
      NAMELESS: names no request, as a late answer to another may.
      EXTRA: answers twice on the same connection, the second time at once or
        late.
      EXTRA_HEAD: the same, and ends the connection in the second head.
      EXTRA_NAMELESS: the same as `EXTRA`; the second answer names no request.
      FIELD: has a further header whose name holds a blank or a control byte.
      MISNAMED: has such a byte in the name of one of its own headers.
      MISNAMED_FRAMING: in the name of the header that tells the framing.
      MISNAMED_INTERIM: in a header of an interim answer before it.
      MISNAMED_TRAILER: in a trailer, if it is sent in chunks, else in a header.
      CODE: has a status that HTTP does not define.
    """

    HEAD = "head"
    STATUS = "status"
    STAMP = "stamp"
    FRAMING = "framing"
    BLANK = "blank"
    UNFRAMED_BLANK = "unframed blank"
    INTERIM = "interim"
    INTERIM_HEAD = "interim head"
    BROKEN = "broken"
    INSIDE = "inside"
    UNFRAMED = "unframed"
    UNFRAMED_INSIDE = "unframed inside"
    NAMELESS = "nameless"
    EXTRA = "extra"
    EXTRA_HEAD = "extra head"
    EXTRA_NAMELESS = "extra nameless"
    FIELD = "field"
    MISNAMED = "misnamed"
    MISNAMED_FRAMING = "misnamed framing"
    MISNAMED_INTERIM = "misnamed interim"
    MISNAMED_TRAILER = "misnamed trailer"
    CODE = "code"


HEAD_CUTS = (
    Stutter.HEAD,
    Stutter.STATUS,
    Stutter.STAMP,
    Stutter.FRAMING,
    Stutter.BLANK,
    Stutter.UNFRAMED_BLANK,
    Stutter.INTERIM,
    Stutter.INTERIM_HEAD,
)
BODY_CUTS = (Stutter.BROKEN, Stutter.INSIDE, Stutter.UNFRAMED_INSIDE)
MALFORMED = (
    Stutter.FIELD,
    Stutter.MISNAMED,
    Stutter.MISNAMED_FRAMING,
    Stutter.MISNAMED_INTERIM,
    Stutter.MISNAMED_TRAILER,
    Stutter.CODE,
)
"""Those whose answer has all its bytes, and is none of HTTP."""

EXTRAS = (Stutter.EXTRA, Stutter.EXTRA_HEAD, Stutter.EXTRA_NAMELESS)
WHOLE = (Stutter.UNFRAMED, *EXTRAS)
"""Those whose first answer is complete."""


class Answer(NamedTuple):
    """A proper answer, before it is spoiled.

    Attributes:
      headers: its headers, without those that tell the framing.
      pieces: its body; the events of a stream.
      is_stream: whether it is a stream, which is sent in chunks.
    """

    headers: tuple[tuple[str, str], ...]
    pieces: tuple[bytes, ...]
    is_stream: bool


class Stutters:
    """Stutters that servers draw for their requests.

    Attributes:
      share: share of the requests that are answered in this way.
      played: what was drawn, by request, in the order of the sends.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        kinds: Sequence[Stutter],
        share: float = 1.0,
    ) -> None:
        """Create stutters of which none was drawn.

        Args:
          generator: generator of all draws.
          kinds: those that are drawn.
          share: share of the requests that are answered in this way.
        """
        self._generator = generator
        self._kinds = kinds
        self.share = share
        self.played: dict[str, list[Stutter]] = {}

    def draw(self, request_id: str) -> Stutter | None:
        """Return what to do for a request, None for a proper answer."""
        if self._generator.random() >= self.share:
            return None
        stutter = self._generator.choice(self._kinds)
        self.played.setdefault(request_id, []).append(stutter)
        return stutter

    async def write(
        self, stream: IOStream, stutter: Stutter, answer: Answer
    ) -> None:
        """Answer a request, and close its connection.

        Args:
          stream: connection of the request.
          stutter: how the answer is spoiled.
          answer: the proper answer.
        """
        with contextlib.suppress(StreamClosedError):
            *pieces, last = self._spoil(stutter, answer)
            for piece in pieces:
                await stream.write(piece)
                await asyncio.sleep(PIECE_INTERVAL_S)
            extra = b""
            if stutter in EXTRAS:
                extra = self._make_extra(stutter, answer)
            if extra and self._generator.random() < 0.5:
                await stream.write(last)
                await _wait_for_request(stream)
                last = b""
            await stream.write(last + extra)
        if stutter not in WHOLE and self._generator.random() < 0.5:
            prepare_reset(stream)
        stream.close()

    def _spoil(self, stutter: Stutter, answer: Answer) -> list[bytes]:
        """Return the pieces of an answer that are sent."""
        if stutter in HEAD_CUTS:
            return [self._cut_head(stutter, answer)]
        if stutter in MALFORMED:
            return self._malform(stutter, answer)
        if stutter is Stutter.NAMELESS:
            answer = _remove_name(answer)
        pieces = list(answer.pieces)
        head = _make_head(answer)
        if stutter in (Stutter.UNFRAMED, Stutter.UNFRAMED_INSIDE):
            head += b"\r\n"
            if stutter is Stutter.UNFRAMED_INSIDE and answer.is_stream:
                pieces = self._cut_pieces(pieces)
            return [head, *pieces]
        head += _make_framing(answer) + b"\r\n"
        if stutter is Stutter.BROKEN and len(pieces) > BROKEN_AFTER:
            pieces = pieces[:BROKEN_AFTER]
        elif stutter in BODY_CUTS:
            pieces = self._cut_pieces(pieces)
        if answer.is_stream:
            pieces = [_make_chunk(piece) for piece in pieces]
            if stutter not in BODY_CUTS:
                pieces.append(_make_chunk(b""))
        return [head, *pieces]

    def _cut_pieces(self, pieces: list[bytes]) -> list[bytes]:
        """Return a body without its end, cut inside a piece."""
        if not pieces:
            return []
        last = self._generator.randrange(len(pieces))
        length = self._generator.randrange(1, len(pieces[last]))
        return [*pieces[:last], pieces[last][:length]]

    def _cut_head(self, stutter: Stutter, answer: Answer) -> bytes:
        lines = _make_head(answer)
        framing = _make_framing(answer)
        head = lines + framing
        at = len(head)
        if stutter is Stutter.STATUS:
            at = len(_STATUS)
        elif stutter is Stutter.STAMP:
            at = lines.index(b"\r\n", lines.lower().index(_STAMP)) + 2
        elif stutter is Stutter.FRAMING:
            name = framing.index(b":")
            at = len(lines) + self._generator.randrange(1, name)
        elif stutter is Stutter.UNFRAMED_BLANK:
            at = len(lines)
        elif stutter is Stutter.INTERIM:
            at = 0
        elif stutter in (Stutter.HEAD, Stutter.INTERIM_HEAD):
            at = self._generator.randrange(1, len(head))
        is_interim = stutter in (Stutter.INTERIM, Stutter.INTERIM_HEAD)
        return _INTERIM * is_interim + head[:at]

    def _malform(self, stutter: Stutter, answer: Answer) -> list[bytes]:
        """Return the pieces of an answer whose head or trailer is malformed."""
        status, *fields = _make_head(answer).splitlines(keepends=True)
        framing = _make_framing(answer)
        pieces = list(answer.pieces)
        interim = trailer = b""
        if stutter is Stutter.MISNAMED_TRAILER and not answer.is_stream:
            stutter = Stutter.FIELD
        if stutter is Stutter.FIELD:
            at = self._generator.randrange(len(fields) + 1)
            fields.insert(at, self._misname(_FIELD))
        elif stutter is Stutter.MISNAMED:
            at = self._generator.randrange(len(fields))
            fields[at] = self._misname(fields[at])
        elif stutter is Stutter.MISNAMED_FRAMING:
            framing = self._misname(framing)
        elif stutter is Stutter.MISNAMED_INTERIM:
            interim = _INTERIM.removesuffix(b"\r\n") + self._misname(_FIELD)
            interim += b"\r\n"
        elif stutter is Stutter.MISNAMED_TRAILER:
            trailer = self._misname(_FIELD)
        else:
            code = self._generator.choice(_WRONG_CODES)
            status = status.replace(b"200", code)
        if answer.is_stream:
            pieces = [_make_chunk(piece) for piece in pieces]
            pieces.append(b"0\r\n" + trailer + b"\r\n")
        head = interim + status + b"".join(fields) + framing + b"\r\n"
        return [head, *pieces]

    def _misname(self, field: bytes) -> bytes:
        """Return a field line with a wrong byte in its name."""
        at = self._generator.randrange(1, field.index(b":") + 1)
        wrong = self._generator.choice(_WRONG_BYTES)
        return field[:at] + wrong + field[at:]

    def _make_extra(self, stutter: Stutter, answer: Answer) -> bytes:
        """Return the answer that comes after the first one."""
        extra = answer
        if stutter is Stutter.EXTRA_NAMELESS:
            extra = _remove_name(answer)
        if stutter is Stutter.EXTRA_HEAD:
            return self._cut_head(Stutter.HEAD, extra)
        return b"".join(self._spoil(stutter, extra))


async def _wait_for_request(stream: IOStream) -> None:
    """Wait for the next request on a connection; it is not run."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LATE_S):
            await stream.read_until(_BLANK_LINE)


def _remove_name(answer: Answer) -> Answer:
    """Return an answer that does not name its request."""
    headers = tuple(
        header for header in answer.headers if header[0].lower() != _REQUEST_ID
    )
    return answer._replace(headers=headers)


def _make_head(answer: Answer) -> bytes:
    """Return the head of an answer without its framing and blank line."""
    # The content type comes last, as a cut before it hides a stream.
    headers = sorted(
        answer.headers, key=lambda header: header[0].lower() == _CONTENT_TYPE
    )
    return _STATUS + b"".join(
        f"{name}: {value}\r\n".encode() for name, value in headers
    )


def _make_framing(answer: Answer) -> bytes:
    if answer.is_stream:
        return _CHUNKED
    length = sum(len(piece) for piece in answer.pieces)
    return f"Content-Length: {length}\r\n".encode()


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
