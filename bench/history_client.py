"""The HTTP client of callers and operators in recorded runs."""

from typing import NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

TIMEOUT_S = 30.0
STATUS_OK = 200

_UNSENT_ERRORS = frozenset({pycurl.E_COULDNT_CONNECT})


class Answer(NamedTuple):
    """The result of one HTTP request.

    Attributes:
      status: HTTP status, 0 when the connection failed
      outcome: value of the header X-Outcome, empty if missing
      unsent: whether no connection could be opened
      error: description of the connection failure
    """

    status: int
    body: bytes
    outcome: str = ""
    unsent: bool = False
    error: str = ""


class _QuietClient(CurlAsyncHTTPClient):
    """A client that may be closed while requests are in progress."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class CallerClient:
    """Sends each request once, on a new connection."""

    def __init__(self) -> None:
        """Create a client for the running event loop."""
        self._client = _QuietClient(force_instance=True, max_clients=512)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def send(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> Answer:
        """Send a request and return its answer or its connection failure."""
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers or {},
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_disable_reuse,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            number = error.errno if isinstance(error, CurlError) else 0
            return Answer(0, b"", "", number in _UNSENT_ERRORS, str(error))
        outcome = response.headers.get("X-Outcome", "")
        return Answer(response.code, response.body, outcome)


def _disable_reuse(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
