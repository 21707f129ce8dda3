"""Efficient polling of URLs with repeated GET requests.

The curl client of tornado configures a handle for each request, which costs
more than the request itself. Here each libcurl handle is configured once and
reused by successive requests, and the connections stay open. When the remote
side sends entity tags, an unchanged response comes without its body.
"""

import asyncio
from typing import Any, Protocol, TypeVar

import pycurl
from returns.result import Failure, Result, Success

from chervilrock.clients.curlloop import CurlLoop
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.heads import ABORT, HeadProgress, HeadState
from chervilrock.clients.httpclient import (
    check_status,
    HttpAnswer,
    MAX_ANSWER_BYTES,
)
from chervilrock.decisions.decoding import UnreadableError

MAX_COMPARED_BYTES = 4096
"""Maximum size of a body that is kept to compare it with the next one."""

RESOURCE_RETENTION_S = 60.0
"""Time after the last poll of a URL for which its response is kept."""

_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304
_TAG_HEADER = b"etag:"


_T = TypeVar("_T")
_Decoded = TypeVar("_Decoded", covariant=True)


class Decoder(Protocol[_Decoded]):
    """Decoder of a body, with the interface of the msgspec decoders."""

    def decode(self, body: bytes, /) -> _Decoded:
        """Return the decoded value.

        Raises:
          UnreadableError: the body is malformed.
        """


class _Resource:
    """A polled URL and its last response.

    Attributes:
      url: URL of the resource
      busy: whether a request for it is in progress
      used_at: time of the last poll, in seconds of the event loop clock
      tag: entity tag of the last response, empty without one
    """

    __slots__ = (
        "url",
        "busy",
        "used_at",
        "tag",
        "_has_value",
        "_body",
        "_value",
    )

    def __init__(self, url: str) -> None:
        self.url = url
        self.busy = False
        self.used_at = 0.0
        self.tag = b""
        self._has_value = False
        self._body = b""
        self._value: Any = None

    def apply(
        self, answer: HttpAnswer, tag: bytes, decoder: Decoder[_T]
    ) -> Result[_T, PlatformError]:
        """Decode a response; return the previous object if it is unchanged."""
        if self._has_value and self._is_same(answer):
            value: _T = self._value
            return Success(value)
        result = check_status(answer).bind(
            lambda success: _decode(decoder, success.body)
        )
        if isinstance(result, Success) and answer.status == _STATUS_OK:
            self._has_value = True
            self._value = result.unwrap()
            self._body = answer.body
            if len(answer.body) > MAX_COMPARED_BYTES:
                self._body = b""
            self.tag = tag
        else:
            self.reset()
        return result

    def reset(self) -> None:
        """Drop the last response, so that the next one comes with its body."""
        self._has_value = False
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
    """A libcurl handle that is reused by successive requests.

    Attributes:
      completion: future that is done when the current request ends, None
        without a request
      tag: entity tag of the response
      progress: how much of the head of the response was received
    """

    def __init__(self) -> None:
        self.completion: asyncio.Future[None] | None = None
        self.tag = b""
        self.progress = HeadProgress()
        self.curl = pycurl.Curl()
        self._body = bytearray()
        self._max_bytes = 0
        for option, value in (
            (pycurl.NOSIGNAL, 1),
            (pycurl.NOPROXY, "*"),
            (pycurl.WRITEFUNCTION, self._append_chunk),
            (pycurl.HEADERFUNCTION, self._read_header_line),
        ):
            self.curl.setopt(option, value)

    def begin(
        self, resource: _Resource, timeout_s: float, max_bytes: int
    ) -> None:
        """Configure the handle for a request."""
        self.tag = b""
        self._max_bytes = max_bytes
        self.progress = HeadProgress()
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
        """Return the response of the completed request."""
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        body = bytes(self._body)
        self._body = bytearray()
        return HttpAnswer(status, body, 0.0, False)

    def _append_chunk(self, chunk: bytes) -> int:
        if self.completion is None or self.completion.done():
            return ABORT
        if len(self._body) + len(chunk) > self._max_bytes:
            self._body.clear()
            return ABORT
        self._body += chunk
        return len(chunk)

    def _read_header_line(self, line: bytes) -> int | None:
        state = self.progress.record_line(line)
        if state is HeadState.MALFORMED:
            return ABORT
        if state is HeadState.NONE:
            self.tag = b""
        if line[: len(_TAG_HEADER)].lower() == _TAG_HEADER:
            self.tag = line[len(_TAG_HEADER) :].strip()
        return None


class Poller:
    """Client that polls URLs, for the running event loop."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._loop = asyncio.get_running_loop()
        self._resources: dict[str, _Resource] = {}
        self._handles: dict[pycurl.Curl, _Handle] = {}
        self._free_handles: list[_Handle] = []
        self._evicted_at = self._loop.time()
        self._closed = False
        self._transfers = CurlLoop(on_end=self._finish_transfer)

    async def poll(
        self,
        url: str,
        decoder: Decoder[_T],
        timeout_s: float,
        *,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[_T, PlatformError]:
        """Send a request and wait for its response.

        Args:
          url: URL with an IP address.
          decoder: decodes the body; always the same one for a URL.
          timeout_s: timeout of the request in seconds.
          max_bytes: most bytes of the body; a longer one is an error.

        Returns:
          The decoded body: the same object as before if it is unchanged. An
          error while another request for this URL is in progress: a second
          caller that shared its response would consider it more recent than
          it is.
        """
        resource = self._find_resource(url)
        if resource.busy:
            message = f"{url} is being polled"
            return Failure(PlatformError(PlatformErrorKind.REFUSED, message))
        handle = self._acquire_handle()
        completion = handle.completion = self._loop.create_future()
        handle.begin(resource, timeout_s, max_bytes)
        resource.busy = True
        self._transfers.add(handle.curl)
        try:
            # libcurl starts its limit anew when it sends a request again.
            await asyncio.wait({completion}, timeout=timeout_s)
            if not completion.done():
                resource.reset()
                message = f"{url}: no answer in time"
                return Failure(
                    PlatformError(PlatformErrorKind.TIMEOUT, message)
                )
            completion.result()
        except pycurl.error as error:
            resource.reset()
            return Failure(_convert_error(error, url, handle.progress.fault))
        finally:
            resource.busy = False
            completion.cancel()
            self._release_handle(handle)
        head_error = handle.progress.describe_error()
        if head_error:
            resource.reset()
            return Failure(
                PlatformError(PlatformErrorKind.OUTAGE, f"{url}: {head_error}")
            )
        return resource.apply(handle.finish(), handle.tag, decoder)

    def close(self) -> None:
        """Close all connections; requests in progress fail."""
        self._closed = True
        for handle in self._handles.values():
            if handle.completion is not None:
                self._transfers.remove(handle.curl)
                error = pycurl.error(pycurl.E_ABORTED_BY_CALLBACK, "closed")
                _complete(handle, error)
            handle.curl.close()
        self._handles.clear()
        self._free_handles.clear()
        self._transfers.close()

    def _find_resource(self, url: str) -> _Resource:
        now = self._loop.time()
        self._evict_unused(now)
        resource = self._resources.get(url)
        if resource is None:
            resource = self._resources[url] = _Resource(url)
        resource.used_at = now
        return resource

    def _evict_unused(self, now: float) -> None:
        """Drop the resources that are no longer polled."""
        if now < self._evicted_at + RESOURCE_RETENTION_S:
            return
        self._evicted_at = now
        for url, resource in list(self._resources.items()):
            if (
                not resource.busy
                and now >= resource.used_at + RESOURCE_RETENTION_S
            ):
                del self._resources[url]

    def _acquire_handle(self) -> _Handle:
        if self._free_handles:
            return self._free_handles.pop()
        handle = _Handle()
        self._handles[handle.curl] = handle
        return handle

    def _release_handle(self, handle: _Handle) -> None:
        """Release a handle, unless its request is still in progress.

        A request continues when its caller is cancelled.
        """
        if handle.completion is None and not self._closed:
            self._free_handles.append(handle)

    def _finish_transfer(
        self, curl: pycurl.Curl, error: pycurl.error | None
    ) -> None:
        """Complete a request whose transfer libcurl has finished."""
        handle = self._handles[curl]
        abandoned = handle.completion is not None and handle.completion.done()
        _complete(handle, error)
        if abandoned:
            self._release_handle(handle)


def _complete(handle: _Handle, error: pycurl.error | None) -> None:
    """Wake the caller, unless it has been cancelled."""
    completion = handle.completion
    handle.completion = None
    if completion is None or completion.done():
        return
    if error is None:
        completion.set_result(None)
    else:
        completion.set_exception(error)


def _convert_error(error: pycurl.error, url: str, fault: str) -> PlatformError:
    code = error.args[0]
    kind = PlatformErrorKind.OUTAGE
    if code == pycurl.E_OPERATION_TIMEDOUT:
        kind = PlatformErrorKind.TIMEOUT
    elif code == pycurl.E_COULDNT_CONNECT:
        kind = PlatformErrorKind.REFUSED
    return PlatformError(kind, f"{url}: {fault or error}")


def _decode(decoder: Decoder[_T], body: bytes) -> Result[_T, PlatformError]:
    try:
        return Success(decoder.decode(body))
    except UnreadableError as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))
