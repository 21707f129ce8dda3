"""The same GET requests again and again, at little cost.

The curl client of tornado sets a handle up anew for each request, which costs
more than the request itself. Here a handle of libcurl is set up once and lent
to one request after the other, and the connections stay open. When the remote
side gives its answers an entity tag, an answer that has not changed comes
without its body.
"""

import asyncio
from typing import Any, Protocol, TypeVar

import msgspec
import pycurl
from returns.result import Failure, Result, Success

from chervilrock.clients.curlloop import CurlLoop
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import check_status, HttpAnswer

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_COMPARED_BYTES = 4096
"""Greatest body that is kept to compare the next one with."""

KEPT_S = 60.0
"""Time in seconds for which the last answer of a URL is kept without use."""

_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304
_TAG_HEADER = b"etag:"


_T = TypeVar("_T")
_Decoded = TypeVar("_Decoded", covariant=True)


class Decoder(Protocol[_Decoded]):
    """Decodes a body, as the decoders of msgspec do."""

    def decode(self, body: bytes, /) -> _Decoded:
        """Return the value.

        Raises:
          msgspec.DecodeError: the body is malformed.
        """


class _Resource:
    """What is polled at one URL, and its last answer.

    Attributes:
      url: its URL
      busy: whether a request for it is under way
      used_at: when it was asked for last, in seconds of the event loop
      tag: entity tag of the last answer, empty without one
    """

    __slots__ = ("url", "busy", "used_at", "tag", "_known", "_body", "_value")

    def __init__(self, url: str) -> None:
        self.url = url
        self.busy = False
        self.used_at = 0.0
        self.tag = b""
        self._known = False
        self._body = b""
        self._value: Any = None

    def take(
        self, answer: HttpAnswer, tag: bytes, decoder: Decoder[_T]
    ) -> Result[_T, PlatformError]:
        """Return the decoded answer, the same value if it has not changed."""
        if self._known and self._is_same(answer):
            value: _T = self._value
            return Success(value)
        result = check_status(answer).bind(
            lambda good: _decode(decoder, good.body)
        )
        if isinstance(result, Success) and answer.status == _STATUS_OK:
            self._known = True
            self._value = result.unwrap()
            self._body = answer.body
            if len(answer.body) > MAX_COMPARED_BYTES:
                self._body = b""
            self.tag = tag
        else:
            self.forget()
        return result

    def forget(self) -> None:
        """Forget the last answer, so that the next one comes whole."""
        self._known = False
        self._body = b""
        self._value = None
        self.tag = b""

    def _is_same(self, answer: HttpAnswer) -> bool:
        if answer.status == _STATUS_NOT_MODIFIED:
            return True
        if answer.status != _STATUS_OK or not answer.body:
            return False
        return answer.body == self._body


class _Handle:
    """A handle of libcurl, lent to one request after the other.

    Attributes:
      waiting: settled when the request under way ends, None without one
      tag: entity tag of the answer
    """

    def __init__(self) -> None:
        self.waiting: asyncio.Future[None] | None = None
        self.tag = b""
        self.curl = pycurl.Curl()
        self._body = bytearray()
        for option, value in (
            (pycurl.NOSIGNAL, 1),
            (pycurl.NOPROXY, "*"),
            (pycurl.WRITEFUNCTION, self._take_chunk),
            (pycurl.HEADERFUNCTION, self._take_header),
        ):
            self.curl.setopt(option, value)

    def begin(self, resource: _Resource, timeout_s: float) -> None:
        """Prepare for a request."""
        self.tag = b""
        self._body = bytearray()
        timeout_ms = round(timeout_s * _MS_PER_S)
        self.curl.setopt(pycurl.URL, resource.url)
        self.curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        self.curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
        if resource.tag:
            headers = [b"If-None-Match: " + resource.tag]
            self.curl.setopt(pycurl.HTTPHEADER, headers)
        else:
            self.curl.unsetopt(pycurl.HTTPHEADER)

    def finish(self) -> HttpAnswer:
        """Return the answer."""
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        body = bytes(self._body)
        self._body = bytearray()
        return HttpAnswer(status, body, 0.0, False)

    def _take_chunk(self, chunk: bytes) -> int:
        if len(self._body) + len(chunk) > MAX_ANSWER_BYTES:
            return 0
        self._body += chunk
        return len(chunk)

    def _take_header(self, line: bytes) -> None:
        if line[: len(_TAG_HEADER)].lower() == _TAG_HEADER:
            self.tag = line[len(_TAG_HEADER) :].strip()


class Poller:
    """Client for requests that are repeated, in the running event loop."""

    def __init__(self) -> None:
        """Make a client without connections."""
        self._loop = asyncio.get_running_loop()
        self._resources: dict[str, _Resource] = {}
        self._handles: dict[pycurl.Curl, _Handle] = {}
        self._free: list[_Handle] = []
        self._swept_at = self._loop.time()
        self._closed = False
        self._transfers = CurlLoop(on_end=self._end)

    async def poll(
        self, url: str, decoder: Decoder[_T], timeout_s: float
    ) -> Result[_T, PlatformError]:
        """Send a request and wait for its answer.

        Args:
          url: URL with an IP address.
          decoder: decodes the body; always the same one for a URL.
          timeout_s: longest time for the request in seconds.

        Returns:
          The decoded body: the very same value as before if it has not
          changed. An error while a request for this URL is under way: who
          joined it would take its answer for younger than it is.
        """
        resource = self._find_resource(url)
        if resource.busy:
            message = f"{url} is being polled"
            return Failure(PlatformError(PlatformErrorKind.REFUSED, message))
        handle = self._borrow()
        handle.waiting = self._loop.create_future()
        handle.begin(resource, timeout_s)
        resource.busy = True
        self._transfers.add(handle.curl)
        try:
            await handle.waiting
        except pycurl.error as error:
            resource.forget()
            return Failure(_describe(error, url))
        finally:
            resource.busy = False
            self._give_back(handle)
        return resource.take(handle.finish(), handle.tag, decoder)

    def close(self) -> None:
        """Close all connections; requests under way fail."""
        self._closed = True
        for handle in self._handles.values():
            if handle.waiting is not None:
                self._transfers.remove(handle.curl)
                error = pycurl.error(pycurl.E_ABORTED_BY_CALLBACK, "closed")
                _settle(handle, error)
            handle.curl.close()
        self._handles.clear()
        self._free.clear()
        self._transfers.close()

    def _find_resource(self, url: str) -> _Resource:
        now = self._loop.time()
        self._sweep(now)
        resource = self._resources.get(url)
        if resource is None:
            resource = self._resources[url] = _Resource(url)
        resource.used_at = now
        return resource

    def _sweep(self, now: float) -> None:
        """Forget what nobody asks for any more."""
        if now < self._swept_at + KEPT_S:
            return
        self._swept_at = now
        for url, resource in list(self._resources.items()):
            if not resource.busy and now >= resource.used_at + KEPT_S:
                del self._resources[url]

    def _borrow(self) -> _Handle:
        if self._free:
            return self._free.pop()
        handle = _Handle()
        self._handles[handle.curl] = handle
        return handle

    def _give_back(self, handle: _Handle) -> None:
        """Take a handle back, unless its request still goes on.

        A caller that is cancelled leaves its request to itself.
        """
        if handle.waiting is None and not self._closed:
            self._free.append(handle)

    def _end(self, curl: pycurl.Curl, error: pycurl.error | None) -> None:
        """Settle a request that libcurl has ended."""
        handle = self._handles[curl]
        abandoned = handle.waiting is not None and handle.waiting.done()
        _settle(handle, error)
        if abandoned:
            self._give_back(handle)


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


def _decode(decoder: Decoder[_T], body: bytes) -> Result[_T, PlatformError]:
    try:
        return Success(decoder.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))
