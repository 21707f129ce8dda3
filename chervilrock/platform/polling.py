"""The same GET requests again and again, at little cost.

The curl client of tornado sets a handle up anew for each request, which costs
more than the request itself. Here each URL has a handle of libcurl that is set
up once, and a connection that stays open. When the remote side gives its
answers an entity tag, an answer that has not changed comes without its body.
"""

import asyncio
from typing import Any, TypeVar

import msgspec
import pycurl
from returns.result import Failure, Result, Success

from chervilrock.platform.errors import PlatformError, PlatformErrorKind
from chervilrock.platform.httpclient import decode_success, HttpAnswer

MAX_ANSWER_BYTES = 16 * 1024 * 1024
KEPT_S = 60.0
"""Time in seconds for which the handle of a URL is kept without use."""

MAX_CONNECTIONS = 16_384
"""Open connections; libcurl by itself keeps few more than are in use."""

_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304
_TAG_HEADER = b"etag:"


_T = TypeVar("_T")


class _Handle:
    """The handle of one URL, and its last answer.

    Attributes:
      waiting: settled when the request under way ends, None without one
      used_at: when it was used last, in seconds of the event loop
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.waiting: asyncio.Future[None] | None = None
        self.used_at = 0.0
        self.curl = pycurl.Curl()
        self._chunks: list[bytes] = []
        self._size = 0
        self._tag = b""
        self._asked_tag = b""
        self._body: bytes | None = None
        self._value: Any = None
        timeout_ms = round(timeout_s * _MS_PER_S)
        for option, value in (
            (pycurl.URL, url),
            (pycurl.NOSIGNAL, 1),
            (pycurl.NOPROXY, "*"),
            (pycurl.TIMEOUT_MS, timeout_ms),
            (pycurl.CONNECTTIMEOUT_MS, timeout_ms),
            (pycurl.WRITEFUNCTION, self._take_chunk),
            (pycurl.HEADERFUNCTION, self._take_header),
        ):
            self.curl.setopt(option, value)

    def begin(self) -> None:
        """Prepare for the next request."""
        self._chunks.clear()
        self._size = 0
        if self._tag != self._asked_tag:
            self._ask_for_change(self._tag)
        self._tag = b""

    def _ask_for_change(self, tag: bytes) -> None:
        """Ask for an answer only when it has another entity tag."""
        self._asked_tag = tag
        if tag:
            headers = [b"If-None-Match: " + tag]
            self.curl.setopt(pycurl.HTTPHEADER, headers)
        else:
            self.curl.unsetopt(pycurl.HTTPHEADER)

    def finish(
        self, decoder: msgspec.json.Decoder[_T]
    ) -> Result[_T, PlatformError]:
        """Return the decoded answer, the same value if it has not changed."""
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        if status == _STATUS_NOT_MODIFIED and self._body is not None:
            self._tag = self._asked_tag
            value: _T = self._value
            return Success(value)
        body = b"".join(self._chunks)
        if status == _STATUS_OK and body == self._body:
            value = self._value
            return Success(value)
        return self._decode(HttpAnswer(status, body, 0.0, False), decoder)

    def forget(self) -> None:
        """Forget the last answer, so that the next one comes whole."""
        self._body = None
        self._value = None
        self._tag = b""

    def _decode(
        self, answer: HttpAnswer, decoder: msgspec.json.Decoder[_T]
    ) -> Result[_T, PlatformError]:
        result = decode_success(decoder, answer)
        if isinstance(result, Success) and answer.status == _STATUS_OK:
            self._body = answer.body
            self._value = result.unwrap()
        else:
            self.forget()
        return result

    def _take_chunk(self, chunk: bytes) -> int:
        self._size += len(chunk)
        if self._size > MAX_ANSWER_BYTES:
            return 0
        self._chunks.append(chunk)
        return len(chunk)

    def _take_header(self, line: bytes) -> None:
        if line[: len(_TAG_HEADER)].lower() == _TAG_HEADER:
            self._tag = line[len(_TAG_HEADER) :].strip()


class Poller:
    """Client for requests that are repeated, in the running event loop."""

    def __init__(self) -> None:
        """Make a client without connections."""
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._watched: set[int] = set()
        self._handles: dict[str, _Handle] = {}
        self._by_curl: dict[pycurl.Curl, _Handle] = {}
        self._swept_at = self._loop.time()
        self._closed = False
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CONNECTIONS)

    async def poll(
        self, url: str, decoder: msgspec.json.Decoder[_T], timeout_s: float
    ) -> Result[_T, PlatformError]:
        """Send a request and wait for its answer.

        Args:
          url: URL with an IP address.
          decoder: decodes the body; always the same one for a URL.
          timeout_s: longest time for the request in seconds, always the same
            for a URL.

        Returns:
          The decoded body: the very same value as before if it has not
          changed. An error while a request for this URL is under way: who
          joined it would take its answer for younger than it is.
        """
        handle = self._find_handle(url, timeout_s)
        if handle.waiting is not None:
            message = f"{url} is being polled"
            return Failure(PlatformError(PlatformErrorKind.REFUSED, message))
        handle.waiting = self._loop.create_future()
        handle.begin()
        self._multi.add_handle(handle.curl)
        try:
            await handle.waiting
        except pycurl.error as error:
            handle.forget()
            return Failure(_describe(error, url))
        return handle.finish(decoder)

    def close(self) -> None:
        """Close all connections; requests under way fail."""
        self._closed = True
        self._cancel_timer()
        for url in list(self._handles):
            self._close_handle(url)
        for descriptor in list(self._watched):
            self._unwatch(descriptor)
        self._multi.close()

    def _find_handle(self, url: str, timeout_s: float) -> _Handle:
        now = self._loop.time()
        self._sweep(now)
        handle = self._handles.get(url)
        if handle is None:
            handle = self._handles[url] = _Handle(url, timeout_s)
            self._by_curl[handle.curl] = handle
        handle.used_at = now
        return handle

    def _sweep(self, now: float) -> None:
        """Close the handles that nobody uses any more."""
        if now < self._swept_at + KEPT_S:
            return
        self._swept_at = now
        for url, handle in list(self._handles.items()):
            if handle.waiting is None and now >= handle.used_at + KEPT_S:
                self._close_handle(url)

    def _close_handle(self, url: str) -> None:
        handle = self._handles.pop(url)
        del self._by_curl[handle.curl]
        if handle.waiting is not None:
            self._multi.remove_handle(handle.curl)
            error = pycurl.error(pycurl.E_ABORTED_BY_CALLBACK, "closed")
            _settle(handle, error)
        handle.curl.close()

    def _set_timer(self, timeout_ms: int) -> None:
        """Callback of libcurl: call it back after a time."""
        self._cancel_timer()
        if self._closed or timeout_ms < 0:
            return
        if timeout_ms == 0:
            self._timer = self._loop.call_soon(self._note_time)
            return
        delay_s = timeout_ms / _MS_PER_S
        self._timer = self._loop.call_later(delay_s, self._note_time)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _note_time(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)
        # The clock of the event loop may be a little ahead of libcurl's, which
        # then finds that nothing is due and does not ask for another call.
        if self._timer is None and not self._closed:
            self._set_timer(self._multi.timeout())

    def _watch(
        self, event: int, descriptor: int, _multi: object, _data: object
    ) -> None:
        """Callback of libcurl: watch a socket for other events.

        A socket may have been closed and its number used again without a
        notice, so that it is always watched anew.
        """
        self._unwatch(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor, self._act, descriptor, pycurl.CSELECT_IN
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor, self._act, descriptor, pycurl.CSELECT_OUT
            )
        self._watched.add(descriptor)

    def _unwatch(self, descriptor: int) -> None:
        if descriptor in self._watched:
            self._watched.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)

    def _act(self, descriptor: int, events: int) -> None:
        """Let libcurl go on, and settle the requests that have ended."""
        self._multi.socket_action(descriptor, events)
        while True:
            waiting, done, failed = self._multi.info_read()
            for curl in done:
                self._end(curl, None)
            for curl, code, message in failed:
                self._end(curl, pycurl.error(code, message))
            if waiting == 0:
                return

    def _end(self, curl: pycurl.Curl, error: pycurl.error | None) -> None:
        self._multi.remove_handle(curl)
        _settle(self._by_curl[curl], error)


def _settle(handle: _Handle, error: pycurl.error | None) -> None:
    """Wake the caller, which may have been cancelled meanwhile."""
    waiting = handle.waiting
    handle.waiting = None
    if waiting is None or waiting.done():
        return
    if error is None:
        waiting.set_result(None)
    else:
        waiting.set_exception(error)


def _describe(error: pycurl.error, url: str) -> PlatformError:
    code = error.args[0]
    kind = PlatformErrorKind.OUTAGE
    if code == pycurl.E_OPERATION_TIMEDOUT:
        kind = PlatformErrorKind.TIMEOUT
    elif code == pycurl.E_COULDNT_CONNECT:
        kind = PlatformErrorKind.REFUSED
    return PlatformError(kind, f"{url}: {error}")
