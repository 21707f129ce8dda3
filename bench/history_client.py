"""The HTTP client of callers and operators in recorded runs."""

from typing import NamedTuple

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

TIMEOUT_S = 30.0
STATUS_OK = 200

_UNSENT = frozenset({pycurl.E_COULDNT_CONNECT})


class Answer(NamedTuple):
    """What the HTTP client got of one request.

    Attributes:
      status: status, 0 when the connection broke
      outcome: value of the header X-Outcome, empty when it is missing
      unsent: whether there was no connection
      error: what broke
    """

    status: int
    body: bytes
    outcome: str = ""
    unsent: bool = False
    error: str = ""


class _QuietClient(CurlAsyncHTTPClient):
    """A client that may be closed while requests are under way."""

    def _handle_timeout(self) -> None:
        if self._multi is not None:
            super()._handle_timeout()


class CallerClient:
    """Sends each request once, on a connection of its own."""

    def __init__(self) -> None:
        """Make a client for the running event loop."""
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
        """Send a request and return its answer, whatever became of it."""
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
            prepare_curl_callback=_use_once,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            number = error.errno if isinstance(error, CurlError) else 0
            return Answer(0, b"", "", number in _UNSENT, str(error))
        outcome = response.headers.get("X-Outcome", "")
        return Answer(response.code, response.body, outcome)


def _use_once(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
