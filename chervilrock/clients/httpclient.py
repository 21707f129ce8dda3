"""HTTP requests over the curl client of tornado, without exceptions.

The error of a failed request shows whether any byte of it can have reached the
remote side: libcurl invokes a callback after it has connected and right before
it sends.
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

import pycurl
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

from chervilrock.clients.curlpool import CurlPool
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.heads import ABORT, HeadProgress, HeadState
from chervilrock.clients.sendguard import SendGuard
from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.events import emit, Event

DEFAULT_MAX_CLIENTS = 256
DEFAULT_CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024
"""Most bytes of the body of a response unless the caller states another limit.
A remote side in trouble may send bytes without end to many calls at once."""

_HEADER_INITIALS = (b"R", b"r", b"X", b"x")
_JSON_HEADERS = {"Content-Type": "application/json"}
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_TOO_MANY_REQUESTS = 429
_CLIENT_ERROR_STATUSES = range(400, 500)
_SERVER_ERROR_STATUSES = range(500, 600)
_SUCCESS_STATUSES = range(200, 300)

_T = TypeVar("_T")


class HttpAnswer(NamedTuple):
    """A complete HTTP response with any status.

    Attributes:
      status: status code.
      body: body of the response.
      retry_after_s: value of the header Retry-After in seconds, 0 when it is
        missing or a date.
      not_run: whether the remote side confirms that it did not execute the
        request.
      header: value of the requested header, empty when it is missing.
    """

    status: int
    body: bytes
    retry_after_s: float
    not_run: bool
    header: str = ""


class _HeaderParser:
    """Extracts the required headers of a response.

    Parsing only these instead of all headers saves about a fifth of the time
    of a request.

    Attributes:
      progress: how much of the head was received.
    """

    __slots__ = (
        "progress",
        "retry_after_s",
        "not_run",
        "value",
        "_wanted_name",
    )

    def __init__(self, wanted: str) -> None:
        self.progress = HeadProgress()
        self._wanted_name = wanted.lower().encode()
        self._forget()

    def _forget(self) -> None:
        """Forget the headers of an interim answer."""
        self.retry_after_s = 0.0
        self.not_run = False
        self.value = ""

    def record_line(self, line: bytes) -> int | None:
        """Parse a header line; libcurl calls this for each of them.

        Returns:
          What makes libcurl end the request if the line is malformed.
        """
        state = self.progress.record_line(line)
        if state is HeadState.MALFORMED:
            return ABORT
        if state is HeadState.NONE:
            self._forget()
        self._read_field(line)
        return None

    def _read_field(self, line: bytes) -> None:
        """Read the value of a header that is required."""
        wanted = self._wanted_name
        if wanted and line[: len(wanted) + 1].lower() == wanted + b":":
            self.value = line[len(wanted) + 1 :].strip().decode("latin-1")
        if line[:1] not in _HEADER_INITIALS:
            return
        name, _, value = line.partition(b":")
        value = value.strip()
        if name.lower() == b"retry-after" and value.isdigit():
            self.retry_after_s = float(value)
        elif name.lower() == b"x-not-run":
            self.not_run = value == b"true"


class _BodyReader:
    """Collects the body of a response up to a limit.

    Attributes:
      body: what was received.
      fault: why the body is not usable, empty while it may be.
    """

    __slots__ = ("body", "fault", "_limit", "_guard")

    def __init__(self, *, limit: int, guard: SendGuard) -> None:
        self.body = bytearray()
        self.fault = ""
        self._limit = limit
        self._guard = guard

    def append(self, chunk: bytes) -> int:
        """Append decompressed bytes; libcurl calls this for each chunk."""
        if self._guard.has_ended:
            return ABORT
        if len(self.body) + len(chunk) > self._limit:
            self.fault = f"the body has more than {self._limit} bytes"
            self.body.clear()
            return ABORT
        self.body += chunk
        return len(chunk)


class _Call(NamedTuple):
    """A request as the caller of the client gave it.

    Attributes:
      method: HTTP method.
      url: URL with an IP address.
      body: body in JSON, or None.
      headers: additional headers.
      decompress: whether the remote side may compress its response.
      wanted_header: name of a response header to return, or empty.
      max_bytes: most bytes of the body of the response.
    """

    method: str
    url: str
    body: bytes | None
    headers: Mapping[str, str] | None
    decompress: bool
    wanted_header: str
    max_bytes: int


class HttpClient:
    """Client for short requests, shared by all clients of a process.

    It keeps connections open and reuses them. When a reused connection turns
    out to be closed, the request is sent again on a new one within its time
    limit, unless `send_once` is set.

    Cancelling a caller does not cancel a request that was sent, which continues
    in the background until its time limit, or until the body of its response
    arrives.

    Attributes:
      calls_sent_again: number of calls that were sent a second time.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        max_clients: int = DEFAULT_MAX_CLIENTS,
        source_ip: str = "",
    ) -> None:
        """Create a client for the running event loop.

        Args:
          connect_timeout_s: connect timeout in seconds.
          max_clients: maximum number of concurrent requests. Further requests
            wait until their time limit, so the number has to be generous.
          source_ip: IP address to connect from, empty for any.
        """
        self.calls_sent_again = 0
        self._connect_timeout_s = connect_timeout_s
        self._pool = CurlPool(
            max_requests=max_clients,
            max_body_size=MAX_ANSWER_BYTES,
            source_ip=source_ip,
        )

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def request(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        send_once: bool = False,
        is_fresh: bool = False,
        decompress: bool = False,
        wanted_header: str = "",
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[HttpAnswer, PlatformError]:
        """Sends a request and waits for its complete response.

        Args:
          method: HTTP method.
          url: URL with an IP address.
          timeout_s: time limit in seconds, also for a second send.
          body: body in JSON, or None.
          headers: additional headers.
          send_once: whether to fail instead of sending a second time.
          is_fresh: whether to use a new connection, and no kept one.
          decompress: whether the remote side may compress its response.
          wanted_header: name of a response header to return, or empty.
          max_bytes: most bytes of the body of the response, decompressed;
            a longer one is an error.

        Returns:
          The response, whatever its status, or the error if there was none.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        call = _Call(
            method=method,
            url=url,
            body=body,
            headers=headers,
            decompress=decompress,
            wanted_header=wanted_header,
            max_bytes=max_bytes,
        )
        guard = SendGuard(fresh=is_fresh)
        result = await self._send(call, guard, deadline)
        if send_once or not guard.is_repeat_aborted or loop.time() >= deadline:
            return result
        # Other kept connections were probably closed as well.
        result = await self._send(call, SendGuard(fresh=True), deadline)
        self._record_sent_again(url, loop.time() - deadline + timeout_s)
        return result

    async def _send(
        self, call: _Call, guard: SendGuard, deadline: float
    ) -> Result[HttpAnswer, PlatformError]:
        """Send a request once and wait for its response.

        Args:
          call: the request.
          guard: prevents further sends.
          deadline: when to fail without a response, in seconds of the clock
            of the event loop.
        """
        if self._pool.is_closed:
            # Tasks may still send requests while the process shuts down.
            return Failure(PlatformError(PlatformErrorKind.REFUSED, "closed"))
        answer_headers = _HeaderParser(call.wanted_header)
        answer_body = _BodyReader(limit=call.max_bytes, guard=guard)

        def prepare(curl: pycurl.Curl) -> None:
            guard.prepare(curl)
            curl.setopt(pycurl.HEADERFUNCTION, answer_headers.record_line)
            curl.setopt(pycurl.WRITEFUNCTION, answer_body.append)

        request = HTTPRequest(
            call.url,
            method=call.method,
            body=call.body,
            headers=_merge_headers(call.body, call.headers),
            connect_timeout=self._connect_timeout_s,
            request_timeout=deadline - asyncio.get_running_loop().time(),
            follow_redirects=False,
            decompress_response=call.decompress,
            prepare_curl_callback=prepare,
        )
        try:
            # libcurl starts its limit anew when it connects again, and does
            # not count the wait for a handle. The request continues and keeps
            # its handle at the limit and on cancellation.
            fetched = self._pool.fetch(request)
            await asyncio.wait({fetched}, timeout=request.request_timeout)
            if not fetched.done():
                kind = PlatformErrorKind.TIMEOUT
                if not guard.sent:
                    kind = PlatformErrorKind.REFUSED
                message = f"{call.url}: no answer in time"
                return Failure(PlatformError(kind, message))
            response = fetched.result()
        except HTTPClientError as error:
            fault = answer_headers.progress.fault or answer_body.fault
            return Failure(_describe_error(error, guard, call.url, fault))
        except ValueError as error:
            # The URL or a header holds characters that cannot be sent.
            return Failure(PlatformError(PlatformErrorKind.REFUSED, str(error)))
        finally:
            guard.end()
        head_error = answer_headers.progress.describe_error()
        if head_error:
            message = f"{call.url}: {head_error}"
            return Failure(PlatformError(PlatformErrorKind.OUTAGE, message))
        return Success(
            HttpAnswer(
                status=response.code,
                body=bytes(answer_body.body),
                retry_after_s=answer_headers.retry_after_s,
                not_run=answer_headers.not_run,
                header=answer_headers.value,
            )
        )

    def _record_sent_again(self, url: str, seconds: float) -> None:
        """Log and count a call that was sent twice."""
        self.calls_sent_again += 1
        emit(
            Event.CALL_SENT_AGAIN,
            url=url.partition("?")[0],
            seconds=round(seconds, 3),
        )


def _merge_headers(
    body: bytes | None, headers: Mapping[str, str] | None
) -> dict[str, str]:
    base = {} if body is None else _JSON_HEADERS
    return {**base, **(headers or {})}


def _describe_error(
    error: HTTPClientError, guard: SendGuard, url: str, fault: str
) -> PlatformError:
    message = f"{url}: {fault or error.message}"
    if not guard.sent:
        return PlatformError(PlatformErrorKind.REFUSED, message)
    if guard.is_repeat_aborted:
        message = f"{url}: the connection was closed before an answer"
        return PlatformError(PlatformErrorKind.OUTAGE, message)
    errno = error.errno if isinstance(error, CurlError) else 0
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return PlatformError(PlatformErrorKind.TIMEOUT, message)
    return PlatformError(PlatformErrorKind.OUTAGE, message)


def check_status(answer: HttpAnswer) -> Result[HttpAnswer, PlatformError]:
    """Converts an unsuccessful response into an error.

    Returns:
      The response itself if its status is 2xx, else the error.
    """
    if answer.status in _SUCCESS_STATUSES:
        return Success(answer)
    return Failure(
        PlatformError(
            _classify_status(answer),
            f"status {answer.status}",
            answer.retry_after_s,
        )
    )


def _classify_status(answer: HttpAnswer) -> PlatformErrorKind:
    if answer.not_run or answer.status == _STATUS_TOO_MANY_REQUESTS:
        return PlatformErrorKind.REFUSED
    if answer.status == _STATUS_REQUEST_TIMEOUT:
        return PlatformErrorKind.TIMEOUT
    if answer.status in _CLIENT_ERROR_STATUSES:
        return PlatformErrorKind.REFUSED
    if answer.status in _SERVER_ERROR_STATUSES:
        return PlatformErrorKind.OUTAGE
    return PlatformErrorKind.BAD_ANSWER


def decode(
    decoder: Decoder[_T], answer: HttpAnswer
) -> Result[_T, PlatformError]:
    """Decodes the body of a response; a malformed body is an error."""
    try:
        return Success(decoder.decode(answer.body))
    except UnreadableError as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))


def decode_success(
    decoder: Decoder[_T], answer: HttpAnswer
) -> Result[_T, PlatformError]:
    """Decodes the body of a response if its status is 2xx."""
    return check_status(answer).bind(lambda success: decode(decoder, success))
