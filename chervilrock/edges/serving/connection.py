"""The answer to one request on a caller's connection."""

import abc
import asyncio
from collections.abc import Callable, Iterable
import enum
import fcntl
import http.client
import socket
import struct
import termios
from typing import Any, cast

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from chervilrock.decisions.serving.admission.callerbuffers import (
    BufferUse,
    CallerBuffers,
)
from chervilrock.events import emit, Event
from chervilrock.serving_metrics import ServingMetrics

MAX_UNSENT_BYTES = 1024 * 1024
"""Bytes of an answer that are buffered for a caller that does not read.
Answers have some ten kilobytes, so a caller that leaves a megabyte unread
counts as disconnected."""

MAX_COPIED_BYTES = 64 * 1024
"""Largest answer that is written together with its head."""

ENDED_REASON = "the memory for callers was used up"


class CutCause(enum.Enum):
    """Why a node ended an answer that had begun before it was complete.

    Attributes:
      NONE: it did not.
      FAILED: no server completed it.
      REJECTED: it got no slot to continue at another server.
      LIMIT: its time limit was reached.
      UNREAD: its caller left too much of it unread.
      MEMORY: the memory for callers was used up.
      EXIT: the process exits.
    """

    NONE = ""
    FAILED = "failed"
    REJECTED = "rejected"
    LIMIT = "limit"
    UNREAD = "unread"
    MEMORY = "memory"
    EXIT = "exit"


LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about paused answers."""

_QUEUED_BYTES = struct.Struct("i")
"""Result of the ioctl that tells the unacknowledged bytes of a socket."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value with which closing a socket resets its connection."""


class AnswerSource(abc.ABC):
    """Produces the answer that is written to a caller's connection.

    Attributes:
      request_id: identifier of the request.
    """

    request_id: str

    @abc.abstractmethod
    def pause(self) -> None:
        """Stop reading from the server."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Continue reading from the server."""

    @abc.abstractmethod
    def end(self) -> None:
        """End the answer, which is not complete yet."""


class CallerConnection:
    """Writes one answer, at once or as a stream.

    Attributes:
      source: produces the answer; None for one that is written by the node.
      has_begun: whether the head was written.
      is_done: whether the answer is complete or the connection is closed.
      was_ended: whether the answer was ended because callers leave too many
        bytes unread.
      cut: why this node ended the answer, which had begun.
    """

    def __init__(
        self,
        *,
        connection: HTTP1Connection,
        is_stopping: Callable[[], bool],
        memory: "CallerMemory",
    ) -> None:
        """Create an answer that has not begun.

        Args:
          connection: Tornado connection on which the request was received.
          is_stopping: returns whether the node is stopping, so that the
            answer asks the caller to close the connection.
          memory: counts what is held for all callers.
        """
        self._connection = connection
        self._is_stopping = is_stopping
        self._memory = memory
        self._is_delimited_by_close = False
        self._flowing = asyncio.Event()
        self._flowing.set()
        self.source: AnswerSource | None = None
        self.has_begun = False
        self.is_done = False
        self.was_ended = False
        self.cut = CutCause.NONE

    def begin(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Write the head and the first bytes of a stream."""
        self._write_head(status, headers, None, body)
        self.sample()

    def write(self, data: bytes) -> None:
        """Write further bytes of a stream."""
        if self.is_done:
            return
        self._discard_result(self._connection.write(data))
        unread = self.count_unread()
        if unread > MAX_UNSENT_BYTES:
            self.abort(CutCause.UNREAD)
        else:
            self._memory.record_unread(self, unread)

    def finish(self) -> None:
        """Complete a stream."""
        if self.is_done:
            return
        self.is_done = True
        self._connection.finish()
        self.sample()

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | bytearray,
    ) -> None:
        """Write a complete answer; its bytes no longer count as collected."""
        self.write_whole(status, headers, body)
        self.finish()

    def write_whole(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | bytearray,
    ) -> None:
        """Write a complete answer without marking it as complete."""
        self._memory.record_collected(self, 0)
        self._write_head(status, headers, len(body), body)

    def abort(self, cause: CutCause) -> None:
        """Close the connection to mark the answer as incomplete."""
        self.record_cut(cause)
        if self._is_delimited_by_close:
            self._reset()
            return
        self._connection.stream.close()
        self.close()

    def record_cut(self, cause: CutCause) -> None:
        """Record why the answer is about to be ended, unless it is known."""
        if self.has_begun and not self.is_done and self.cut is CutCause.NONE:
            self.cut = cause

    def release_source(self) -> None:
        """Let go of the source, which produces no more of the answer."""
        self.source = None
        if not self.is_sent:
            self._connection.set_close_callback(self.close)

    def close(self) -> None:
        """Record that the connection is closed."""
        self.is_done = True
        self._memory.forget(self)
        self._flowing.set()

    def end_early(self) -> None:
        """End the answer, so that it does not look complete.

        Bytes that the system has accepted for it are discarded as well.
        """
        self.was_ended = True
        self.record_cut(CutCause.MEMORY)
        source = self.source
        is_unfinished = source is not None and not self.is_done
        if self.has_begun:
            self._reset()
        # Nothing waits for an answer that may have been paused.
        self._flowing.set()
        if source is not None and is_unfinished:
            source.end()

    @property
    def request_id(self) -> str:
        """Identifier of the request, empty once the answer is complete."""
        return "" if self.source is None else self.source.request_id

    @property
    def is_sent(self) -> bool:
        """Whether the answer has left this process, or cannot any more."""
        connection = self._connection
        return connection.stream.closed() or connection._finish_future.done()

    @property
    def is_paused(self) -> bool:
        """Whether no more is read from the server for now."""
        return not self._flowing.is_set()

    def pause(self) -> None:
        """Read no more from the server until `resume`."""
        if self.is_done or self.is_paused or self.source is None:
            return
        self._flowing.clear()
        self._memory.record_pause(self)
        self.source.pause()

    def resume(self) -> None:
        """Continue reading from the server."""
        if not self.is_paused:
            return
        self._flowing.set()
        if self.source is not None:
            self.source.resume()

    async def wait_until_flowing(self, timeout_s: float) -> None:
        """Wait while reading is paused, until a timeout or a closed stream."""
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._flowing.wait()
        except TimeoutError:
            return

    def sample(self) -> None:
        """Record how much of the answer the caller leaves unread now.

        After the whole answer was sent, the stream carries the next one.
        """
        if self.is_sent:
            self._memory.forget(self)
        else:
            self._memory.record_unread(self, self.count_unread())

    def record_collected(self, size: int) -> None:
        """Record the size of an answer that is buffered until it is whole."""
        if not self.is_done and not self.was_ended:
            self._memory.record_collected(self, size)

    def has_room(self, size: int) -> bool:
        """Return whether further bytes of the answer may be received now.

        Reading is paused otherwise.
        """
        return self.is_done or self._memory.has_room(self, size)

    def _write_head(
        self,
        status: int,
        pairs: Iterable[tuple[str, str]],
        length: int | None,
        body: bytes | bytearray,
    ) -> None:
        if self.is_done:
            return
        headers = httputil.HTTPHeaders()
        for name, value in pairs:
            headers.add(name, value)
        if length is not None:
            headers["Content-Length"] = str(length)
        if self._is_stopping():
            headers["Connection"] = "close"
        if self._is_for_head:
            # Tornado closes the connection if it gets a body.
            body = b""
        reason = http.client.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.has_begun = True
        is_large = len(body) > MAX_COPIED_BYTES
        first = None if is_large else bytes(body)
        self._discard_result(
            self._connection.write_headers(line, headers, first)
        )
        if is_large:
            # Tornado copies what is written with the head, but not this.
            self._discard_result(self._connection.write(cast(bytes, body)))
        self._is_delimited_by_close = (
            length is None and not self._connection._chunking_output
        )

    @property
    def _is_for_head(self) -> bool:
        """Whether the request is a HEAD request, whose answer has no body."""
        line = self._connection._request_start_line
        return line is not None and line.method == "HEAD"

    def _reset(self) -> None:
        """Reset the connection; closed, an answer of HTTP/1.0 looks whole."""
        stream = self._connection.stream
        if not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            stream.close()
        self.close()

    def count_unread(self) -> int:
        """Return how many bytes of the answer the caller leaves unread."""
        buffer = self._connection.stream._write_buffer
        # A closed stream has none.
        return 0 if buffer is None else len(buffer)

    def count_unsent(self) -> int:
        """Return how many bytes the caller's side has not acknowledged."""
        stream = self._connection.stream
        if stream.closed():
            return 0
        queued = bytearray(_QUEUED_BYTES.size)
        try:
            fcntl.ioctl(stream.socket, termios.TIOCOUTQ, queued)
        except OSError:
            # The number of bytes in the socket is not known here.
            return self.count_unread()
        return self.count_unread() + int(_QUEUED_BYTES.unpack(queued)[0])

    def _discard_result(self, future: "asyncio.Future[None]") -> None:
        """Ignore a failed write; the close callback reports a closed stream."""
        future.add_done_callback(_raise_unless_closed)


class CallerMemory:
    """Pauses, resumes and ends answers so that all fit into one budget."""

    def __init__(self, *, budget: float, metrics: ServingMetrics) -> None:
        """Create the memory of a process that holds nothing.

        Args:
          budget: bytes that may be held for callers, inf for any number.
          metrics: metrics of the node.
        """
        self._buffers = CallerBuffers[CallerConnection](budget=budget)
        self._metrics = metrics
        self._ending: asyncio.Handle | None = None
        self._refused = 0
        self._logged_at = float("-inf")

    def add_body(self, size: int) -> bool:
        """Count further bytes of a body; return False if they do not fit."""
        return self._buffers.add_body(size)

    def fits(self, size: int) -> bool:
        """Return whether a body of this size fits now."""
        return self._buffers.fits(size)

    def release_body(self, size: int) -> None:
        """Release bytes of a body that were counted."""
        self._buffers.release_body(size)

    def record_unread(self, caller: CallerConnection, size: int) -> None:
        """Record how many bytes a caller leaves unread."""
        if self._buffers.record_unread(caller, size):
            caller.pause()
        self._end_if_exceeded()

    def record_collected(self, caller: CallerConnection, size: int) -> None:
        """Record the size of an answer that is buffered until it is whole."""
        self._buffers.record_collected(caller, size)
        self._end_if_exceeded()

    def has_room(self, caller: CallerConnection, size: int) -> bool:
        """Return whether bytes of an answer may be received; pause it if not.

        The largest answers then end soon, so that they may be received later.
        """
        if self._buffers.has_room(size):
            return True
        self._refused = max(self._refused, size)
        caller.pause()
        self._end_soon()
        return False

    def record_pause(self, caller: CallerConnection) -> None:
        """Record that the answer of a caller is paused."""
        self._buffers.record_pause(caller)

    def forget(self, caller: CallerConnection) -> None:
        """Release the answer of a caller."""
        self._buffers.forget(caller)

    def update(self, now: float) -> None:
        """Find out what callers have read, and resume those that read."""
        for caller in self._buffers.list_unread():
            caller.sample()
        self._resume()
        use = self._buffers.describe()
        self._metrics.set_caller_buffers(use)
        if use.paused and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            emit(
                Event.ANSWERS_PAUSED,
                paused=use.paused,
                unread=use.unread,
                collected=use.collected,
                bodies=use.bodies,
                budget=round(use.budget),
            )

    def describe(self) -> BufferUse:
        """Return what is held for all callers."""
        return self._buffers.describe()

    def _resume(self) -> None:
        """Resume the paused answers that may be resumed."""
        for caller in self._buffers.choose_resumed():
            self._buffers.record_resume(caller)
            caller.resume()

    def _end_if_exceeded(self) -> None:
        """Have the largest answers ended soon if too much is held."""
        if self._buffers.is_exceeded:
            self._end_soon()

    def _end_soon(self) -> None:
        """Have the largest answers ended soon.

        Not at once, as this is called from within libcurl, which does not
        permit calls for other transfers there.
        """
        if self._ending is None:
            loop = asyncio.get_running_loop()
            self._ending = loop.call_soon(self._end_largest)

    def _end_largest(self) -> None:
        self._ending = None
        refused, self._refused = self._refused, 0
        for caller in self._buffers.list_unread():
            caller.sample()
        ended = self._buffers.choose_ended(refused)
        for caller in ended:
            self._metrics.count_ended_answer()
            emit(
                Event.ANSWER_ENDED,
                request_id=caller.request_id,
                size=self._buffers.find_held(caller),
            )
            self._buffers.forget(caller)
            caller.end_early()
        if ended and refused:
            # The others must not get all of the room first.
            self._resume()


class HeldBody:
    """The counted body of a request, until nothing refers to it any more."""

    def __init__(self, *, size: int, memory: CallerMemory) -> None:
        """Create a body that was counted.

        Args:
          size: its size in bytes.
          memory: counts what is held for all callers.
        """
        self._size = size
        self._memory = memory
        self._holders: set[asyncio.Future[Any]] = set()

    def hold(self, task: "asyncio.Future[Any]") -> None:
        """Keep the body counted until a task is done, which refers to it."""
        self._holders.add(task)
        task.add_done_callback(self._release)

    def _release(self, task: "asyncio.Future[Any]") -> None:
        self._holders.discard(task)
        if not self._holders:
            self._memory.release_body(self._size)


def _raise_unless_closed(future: "asyncio.Future[None]") -> None:
    error = future.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        raise error
