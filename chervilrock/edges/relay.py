"""HTTP requests to backend servers with incrementally read answers.

Built on the curl client of Tornado. libcurl invokes a callback right before it
sends a request, so each transfer records whether a byte can have been sent. A
transfer that must be sent at most once uses a connection of its own and aborts
a second send by libcurl.
"""

import abc
import asyncio
from collections.abc import Callable
import math
import os
import socket
from typing import NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

from chervilrock.clients.curlpool import break_error_cycle
from chervilrock.clients.heads import ABORT, HeadProgress, HeadState
from chervilrock.edges.heads import format_headers, Head, parse_head

SEND_BUFFER_BYTES = 16 * 1024
"""Smallest size that libcurl accepts; each transfer keeps one buffer."""

DEFAULT_CONNECT_TIMEOUT_S = 1.0

_SEND_OK: int = pycurl.PREREQFUNC_OK
_SEND_ABORT: int = pycurl.PREREQFUNC_ABORT
_PAUSE: int = pycurl.WRITEFUNC_PAUSE
_CONTINUE = None
"""Result of a header callback that accepts the line."""

_BROKEN_CONNECTION_ERRORS = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)
"""Errors of a connection that ended before the answer was complete."""

_TOO_LARGE = 100
"""CURLE_TOO_LARGE, which PycURL does not name."""

_FAULTY_ANSWER_ERRORS = frozenset(
    {
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_UNSUPPORTED_PROTOCOL,
        _TOO_LARGE,
    }
)
"""Errors of an answer that libcurl itself does not accept."""

_MS_PER_S = 1000
_NO_SOCKET = -1
_TOO_LATE = "no whole answer in time"


class BackendRequest(NamedTuple):
    """A request to a backend server.

    Attributes:
      method: HTTP method.
      url: URL with an IP address.
      headers: names and values of the headers.
      body: body, None for none.
      timeout_s: time limit of the whole transfer in seconds, also if libcurl
        sends the request again.
      send_once: whether it must not be sent a second time.
      connect_timeout_s: timeout to connect in seconds.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    timeout_s: float
    send_once: bool
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S


class Receiver(abc.ABC):
    """Receives an answer incrementally; called from within libcurl.

    No method may raise or block.

    Attributes:
      fault: why what is received cannot become a usable answer, empty while it
        can; the rest is not read.
    """

    fault: str = ""

    def inspect_head(self, head: Head) -> None:
        """Inspects the head of the answer as soon as it is complete.

        Called once, before `handle_head`, and also for the answer to
        a transfer that was abandoned.
        """
        del head

    def has_room(self, size: int) -> bool:
        """Returns whether further bytes of the body may be received now.

        If not, the transfer is paused until `Transfer.resume`.
        """
        del size
        return True

    @abc.abstractmethod
    def handle_head(self, head: Head) -> None:
        """Handles the head of the answer; called once, before any data."""

    @abc.abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handles the next bytes of the body."""


class TransferEnd(NamedTuple):
    """Result of a transfer.

    Attributes:
      sent: whether a byte of the request may have been sent.
      head: head of the answer, None if none was received.
      error: reason why the answer is incomplete, empty if it is complete.
      repeated: whether libcurl sent the request more than once, so that the
        answer belongs to the last send only.
      is_broken: whether the backend server or its host ended the connection
        before the answer was complete.
      is_held: whether the request was not sent because the backend server
        wants none.
      is_faulty: whether the transfer was ended since what the backend server
        sent is no usable answer.
    """

    sent: bool
    head: Head | None
    error: str
    repeated: bool = False
    is_broken: bool = False
    is_held: bool = False
    is_faulty: bool = False


class Transfer:
    """One request and its answer.

    Attributes:
      sent: whether a byte of the request may have been sent.
      head: head of the answer, None until it is received.
      was_paused: whether it was ever paused, so that its speed is not that of
        the backend server.
    """

    def __init__(
        self,
        *,
        request: BackendRequest,
        receiver: Receiver,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates a transfer that has not started.

        Args:
          request: the request.
          receiver: receives the answer.
          may_send: returns whether the backend server wants the request;
            called right before it is sent.
        """
        self._request = request
        self._receiver = receiver
        self._may_send = may_send
        self._is_held = False
        self._final_head: Head | None = None
        self._curl: pycurl.Curl | None = None
        self._head_lines: list[bytes] = []
        self._head_progress = HeadProgress()
        self._body_bytes = 0
        self._fault = ""
        self._paused = False
        self._abandoned = False
        self._in_callback = False
        self._repeated = False
        self._deadline = float("inf")
        self._expiry: asyncio.TimerHandle | None = None
        self._has_expired = False
        self.sent = False
        self.head: Head | None = None
        self.was_paused = False

    async def run(self, client: CurlAsyncHTTPClient) -> TransferEnd:
        """Sends the request and waits for the end of its answer."""
        request = self._request
        self._deadline = asyncio.get_running_loop().time() + request.timeout_s
        try:
            http_request = HTTPRequest(
                request.url,
                # Tornado accepts no body for GET; `_prepare` sets the method.
                method="POST" if self._is_get_with_body else request.method,
                body=request.body,
                connect_timeout=min(
                    request.connect_timeout_s, request.timeout_s
                ),
                request_timeout=request.timeout_s,
                follow_redirects=False,
                decompress_response=False,
                allow_nonstandard_methods=True,
                prepare_curl_callback=self._prepare,
            )
            response = await client.fetch(http_request, raise_error=False)
            break_error_cycle(response)
        except CurlError as error:
            is_broken = error.errno in _BROKEN_CONNECTION_ERRORS and not (
                self._abandoned or self._has_expired
            )
            return self._end(
                _TOO_LATE if self._has_expired else str(error),
                is_broken=is_broken,
                is_faulty=error.errno in _FAULTY_ANSWER_ERRORS,
            )
        except (HTTPClientError, ValueError) as error:
            return self._end(str(error) or type(error).__name__)
        finally:
            self._curl = None
            if self._expiry is not None:
                self._expiry.cancel()
        return self._end_without_error()

    def _end_without_error(self) -> TransferEnd:
        """Return the result of a transfer for which libcurl reports no error.

        It reports none for a connection that ends within the head, nor for one
        that this node ends within a body that nothing delimits.
        """
        if self._abandoned:
            return self._end("abandoned")
        if self._has_expired:
            return self._end(_TOO_LATE)
        length_error = self._find_length_error()
        if length_error:
            return self._end(length_error, is_broken=True)
        return self._end(
            self._head_progress.describe_error(),
            is_broken=self.head_state is HeadState.PARTIAL,
            is_faulty=self.head_state is HeadState.NONE,
        )

    def _find_length_error(self) -> str:
        """Return why the body is not of its stated length, empty if it is."""
        if self._final_head is None or self._request.method == "HEAD":
            return ""
        return self._final_head.find_length_error(self._body_bytes)

    @property
    def head_state(self) -> HeadState:
        """How much of the final head was received."""
        return self._head_progress.state

    @property
    def _is_get_with_body(self) -> bool:
        return self._request.method == "GET" and self._request.body is not None

    @property
    def paused(self) -> bool:
        """Whether reading of the answer is paused."""
        return self._paused

    def pause(self) -> None:
        """Stops reading from the backend server until `resume`."""
        self._paused = True
        self.was_paused = True

    def resume(self) -> None:
        """Continues reading from the backend server."""
        if not self._paused:
            return
        self._paused = False
        if self._curl is not None and not self._in_callback:
            self._unpause(self._curl)

    def abandon(self) -> None:
        """Discards the rest of the answer and closes the connection."""
        if self._abandoned:
            return
        self._abandoned = True
        self._end_now()

    def _expire(self) -> None:
        """Ends a transfer that libcurl repeated, at its time limit."""
        self._has_expired = True
        self._end_now()

    def _end_now(self) -> None:
        """Closes the connection, so that libcurl ends the transfer."""
        if self._curl is not None and not self._in_callback:
            self._shut_down(self._curl)
            self._unpause(self._curl)

    def _end(
        self, error: str, *, is_broken: bool = False, is_faulty: bool = False
    ) -> TransferEnd:
        self._pass_on_head()
        return TransferEnd(
            sent=self.sent,
            head=self.head,
            error=self._fault or error,
            repeated=self._repeated,
            is_broken=is_broken,
            is_held=self._is_held,
            is_faulty=is_faulty or bool(self._fault),
        )

    def _prepare(self, curl: pycurl.Curl) -> None:
        """Sets curl options that the client of Tornado does not support."""
        self._curl = curl
        curl.setopt(pycurl.NOPROXY, "*")
        # libcurl would write percent-encoded octets in upper case.
        curl.setopt(pycurl.REQUEST_TARGET, find_target(self._request.url))
        # Tornado rounds the limit down, so that a request would end as failed
        # just before the time limit of its caller.
        timeout_ms = math.ceil(self._request.timeout_s * _MS_PER_S)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, SEND_BUFFER_BYTES)
        curl.setopt(pycurl.HTTPHEADER, format_headers(self._request.headers))
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)
        curl.setopt(pycurl.HEADERFUNCTION, self._receive_head_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._receive)
        if self._is_get_with_body:
            curl.setopt(pycurl.CUSTOMREQUEST, self._request.method)
        if self._request.send_once:
            use_own_connection(curl)

    def _record_send(self, *_addresses: object) -> int:
        """Records a send; called by libcurl right before it sends."""
        if self._abandoned:
            return _SEND_ABORT
        if self.sent and (self._request.send_once or not self._limit_repeat()):
            return _SEND_ABORT
        if not self._may_send():
            self._is_held = True
            return _SEND_ABORT
        self._repeated = self.sent
        self.sent = True
        return _SEND_OK

    def _limit_repeat(self) -> bool:
        """Keeps the time limit of a second send, which libcurl starts anew.

        Returns:
          Whether there is time left for it.
        """
        loop = asyncio.get_running_loop()
        remaining_s = self._deadline - loop.time()
        if self._has_expired or remaining_s <= 0:
            return False
        if self._expiry is None:
            self._expiry = loop.call_later(remaining_s, self._expire)
        return True

    def _receive_head_line(self, line: bytes) -> int | None:
        """Handles a line of a head or of a trailer; called by libcurl."""
        state = self._head_progress.record_line(line)
        if state is HeadState.MALFORMED:
            self._fault = self._head_progress.fault
            return ABORT
        if self._final_head is not None:
            return _CONTINUE
        self._head_lines.append(line)
        if state is not HeadState.PARTIAL:
            self._finish_head()
        return _CONTINUE

    def _finish_head(self) -> None:
        """Handles the blank line that ends an interim or the final head."""
        head = parse_head(self._head_lines)
        self._head_lines.clear()
        if head is not None:
            self._final_head = head
            self._receiver.inspect_head(head)

    def _receive(self, data: bytes) -> int:
        """Handles bytes of the body; called by libcurl."""
        if self._abandoned or self._has_expired:
            return ABORT
        if self._paused:
            return _PAUSE
        self._in_callback = True
        try:
            self._pass_on_head()
            if not self._receiver.has_room(len(data)):
                self.pause()
                return _PAUSE
            self._body_bytes += len(data)
            self._receiver.handle_data(data)
        finally:
            self._in_callback = False
        self._fault = self._receiver.fault
        return ABORT if self._abandoned or self._fault else len(data)

    def _pass_on_head(self) -> None:
        """Passes the final head to the receiver, once."""
        if self.head is None:
            self.head = self._final_head
            if self.head is not None and not self._abandoned:
                self._receiver.handle_head(self.head)

    def _unpause(self, curl: pycurl.Curl) -> None:
        try:
            curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error:
            # The transfer failed while it was paused. The awaited fetch call
            # reports the error.
            return

    def _shut_down(self, curl: pycurl.Curl) -> None:
        """Shuts the connection down so that libcurl ends the transfer now."""
        if not self.sent:
            return
        descriptor = curl.getinfo(pycurl.LASTSOCKET)
        if descriptor == _NO_SOCKET:
            return
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The backend server has already closed the connection.
                return


def find_target(url: str) -> str:
    """Return the path and query of a URL, as they are written there."""
    _, _, rest = url.partition("://")
    _, _, target = rest.partition("/")
    return f"/{target}"


def use_own_connection(curl: pycurl.Curl) -> None:
    """Makes a transfer use a new connection that no other transfer reuses.

    libcurl silently sends a request again if a reused connection turns out to
    be closed.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
