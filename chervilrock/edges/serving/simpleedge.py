"""Answers short requests of the platform, of operators and of other nodes."""

from collections.abc import Callable, Mapping
import http.client
from types import MappingProxyType
import urllib.parse

from tornado import httputil

from chervilrock.tasks.serving.peermessages import compress

_NO_HEADERS: Mapping[str, str] = MappingProxyType({})

MIN_COMPRESSED_BYTES = 256
"""Size in bytes from which an answer is compressed if the client accepts gzip;
for smaller ones the additional header outweighs the savings."""


class SimpleEdge(httputil.HTTPServerConnectionDelegate):
    """Answers requests by a function that returns at once."""

    def __init__(
        self,
        *,
        answer: Callable[[str, dict[str, str], bytes], "Reply"],
        field: str = "",
    ) -> None:
        """Create an edge.

        Args:
          answer: returns the reply to a path, query and body.
          field: name of a header whose value is added to the query under this
            name, empty for none.
        """
        self._answer = answer
        self._field = field

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        del server_conn
        return _RequestReader(
            answer=self._answer, field=self._field, connection=request_conn
        )


class Reply:
    """Reply to a request."""

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> None:
        """Create a reply, with headers besides the usual ones."""
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = headers


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects a request and writes the reply."""

    def __init__(
        self,
        *,
        answer: Callable[[str, dict[str, str], bytes], Reply],
        field: str,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._answer = answer
        self._field = field
        self._value = ""
        self._connection = connection
        self._chunks: list[bytes] = []
        self._accepts_gzip = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        if isinstance(start_line, httputil.RequestStartLine):
            self._target = start_line.path
        self._accepts_gzip = "gzip" in headers.get("Accept-Encoding", "")
        self._value = headers.get(self._field, "") if self._field else ""

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """See base class."""
        parts = urllib.parse.urlsplit(self._target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if self._value:
            query[self._field] = self._value
        reply = self._answer(parts.path, query, b"".join(self._chunks))
        body = reply.body
        headers = httputil.HTTPHeaders({"Content-Type": reply.content_type})
        headers.update(reply.headers)
        if self._accepts_gzip and len(body) >= MIN_COMPRESSED_BYTES:
            body = compress(body)
            headers["Content-Encoding"] = "gzip"
        headers["Content-Length"] = str(len(body))
        reason = http.client.responses.get(reply.status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
