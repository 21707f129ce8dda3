"""HTTP requests over the curl client of tornado, without exceptions.

A request that failed tells whether a byte of it can have reached the remote
side: libcurl calls back once a connection stands and right before it sends.
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

import msgspec
import pycurl
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

from chervilrock.clients.curlpool import CurlPool
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.sendguard import SendGuard

DEFAULT_MAX_CLIENTS = 256
DEFAULT_CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_HEADER_INITIALS = (b"R", b"r", b"X", b"x")
_JSON_HEADERS = {"Content-Type": "application/json"}
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_TOO_MANY_REQUESTS = 429
_CLIENT_ERRORS = range(400, 500)
_SERVER_ERRORS = range(500, 600)
_SUCCESSES = range(200, 300)

_T = TypeVar("_T")


class HttpAnswer(NamedTuple):
    """A whole HTTP answer, whatever its status.

    Attributes:
      status: status code.
      body: body of the answer.
      retry_after_s: value of the header Retry-After in seconds, 0 when it is
        missing or a date.
      not_run: whether the remote side proved that it did nothing.
      header: value of the header that was asked for, empty when it is
        missing.
    """

    status: int
    body: bytes
    retry_after_s: float
    not_run: bool
    header: str = ""


class _Headers:
    """The headers of an answer that matter here.

    Reading these alone instead of all saves about a fifth of the time
    of a request.
    """

    __slots__ = ("retry_after_s", "not_run", "value", "_wanted")

    def __init__(self, wanted: str) -> None:
        self.retry_after_s = 0.0
        self.not_run = False
        self.value = ""
        self._wanted = wanted.lower().encode()

    def record_line(self, line: bytes) -> None:
        """Callback of libcurl for each line of the header."""
        wanted = self._wanted
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


class HttpClient:
    """Client for short requests, shared by all clients of a process.

    It keeps connections open and reuses them. When a reused connection turns
    out to be closed, libcurl by itself sends the request again on another
    one, unless `send_once` is set.

    A caller that is cancelled stops waiting; the request itself goes on.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        max_clients: int = DEFAULT_MAX_CLIENTS,
    ) -> None:
        """Makes a client for the running event loop.

        Args:
          connect_timeout_s: longest time to connect, in seconds.
          max_clients: greatest number of requests at once; more of them wait
            without a timeout, so it has to be ample.
        """
        self._connect_timeout_s = connect_timeout_s
        self._pool = CurlPool(
            max_requests=max_clients, max_body_size=MAX_ANSWER_BYTES
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
        decompress: bool = False,
        wanted_header: str = "",
    ) -> Result[HttpAnswer, PlatformError]:
        """Sends a request and waits for its whole answer.

        Args:
          method: HTTP method.
          url: URL with an IP address.
          timeout_s: longest time for the request in seconds.
          body: body in JSON, or None.
          headers: more headers.
          send_once: whether to fail rather than to send a second time.
          decompress: whether the remote side may compress its answer.
          wanted_header: name of a header of the answer to return, or empty.

        Returns:
          The answer, whatever its status, or why there was none.
        """
        if self._pool.is_closed:
            # Calls that are under way while a process ends come here last.
            return Failure(PlatformError(PlatformErrorKind.REFUSED, "closed"))
        guard = SendGuard(once=send_once)
        answer_headers = _Headers(wanted_header)

        def prepare(curl: pycurl.Curl) -> None:
            guard.prepare(curl)
            curl.setopt(pycurl.HEADERFUNCTION, answer_headers.record_line)

        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=_merge_headers(body, headers),
            connect_timeout=self._connect_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=decompress,
            prepare_curl_callback=prepare,
        )
        try:
            # It goes on, and keeps its handle, when the caller is cancelled.
            response = await asyncio.shield(self._pool.fetch(request))
        except HTTPClientError as error:
            return Failure(_describe_error(error, guard.sent, url))
        except UnicodeError as error:
            return Failure(PlatformError(PlatformErrorKind.REFUSED, str(error)))
        return Success(
            HttpAnswer(
                status=response.code,
                body=response.body,
                retry_after_s=answer_headers.retry_after_s,
                not_run=answer_headers.not_run,
                header=answer_headers.value,
            )
        )


def _merge_headers(
    body: bytes | None, headers: Mapping[str, str] | None
) -> dict[str, str]:
    base = {} if body is None else _JSON_HEADERS
    return {**base, **(headers or {})}


def _describe_error(
    error: HTTPClientError, sent: bool, url: str
) -> PlatformError:
    message = f"{url}: {error.message}"
    if not sent:
        return PlatformError(PlatformErrorKind.REFUSED, message)
    errno = error.errno if isinstance(error, CurlError) else 0
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return PlatformError(PlatformErrorKind.TIMEOUT, message)
    return PlatformError(PlatformErrorKind.OUTAGE, message)


def check_status(answer: HttpAnswer) -> Result[HttpAnswer, PlatformError]:
    """Turns an answer without success into an error.

    Returns:
      The answer itself when its status is 2xx.
    """
    if answer.status in _SUCCESSES:
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
    if answer.status in _CLIENT_ERRORS:
        return PlatformErrorKind.REFUSED
    if answer.status in _SERVER_ERRORS:
        return PlatformErrorKind.OUTAGE
    return PlatformErrorKind.BAD_ANSWER


def decode(
    decoder: msgspec.json.Decoder[_T], answer: HttpAnswer
) -> Result[_T, PlatformError]:
    """Decodes the body of an answer; a bad body is an error."""
    try:
        return Success(decoder.decode(answer.body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))


def decode_success(
    decoder: msgspec.json.Decoder[_T], answer: HttpAnswer
) -> Result[_T, PlatformError]:
    """Decodes the body of an answer with success."""
    return check_status(answer).bind(lambda good: decode(decoder, good))
