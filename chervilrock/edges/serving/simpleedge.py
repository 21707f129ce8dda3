"""Answers short requests of the platform, of operators and of other nodes."""

from collections.abc import Callable
import http.client
import urllib.parse

from tornado import httputil

from chervilrock.tasks.serving.peermessages import compress

MIN_COMPRESSED_BYTES = 256
"""Size in bytes from which an answer is compressed if the client accepts gzip;
for smaller ones the additional header outweighs the savings."""


class SimpleEdge(httputil.HTTPServerConnectionDelegate):
    """Answers requests by a function that returns at once."""

    def __init__(
        self, *, answer: Callable[[str, dict[str, str], bytes], "Reply"]
    ) -> None:
        """Create an edge.

        Args:
          answer: returns the reply to a path, query and body.
        """
        self._answer = answer

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        del server_conn
        return _RequestReader(answer=self._answer, connection=request_conn)


class Reply:
    """Reply to a request."""

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
    ) -> None:
        """Create a reply."""
        self.status = status
        self.body = body
        self.content_type = content_type


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects a request and writes the reply."""

    def __init__(
        self,
        *,
        answer: Callable[[str, dict[str, str], bytes], Reply],
        connection: httputil.HTTPConnection,
    ) -> None:
        self._answer = answer
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

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """See base class."""
        parts = urllib.parse.urlsplit(self._target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        reply = self._answer(parts.path, query, b"".join(self._chunks))
        body = reply.body
        headers = httputil.HTTPHeaders({"Content-Type": reply.content_type})
        if self._accepts_gzip and len(body) >= MIN_COMPRESSED_BYTES:
            body = compress(body)
            headers["Content-Encoding"] = "gzip"
        headers["Content-Length"] = str(len(body))
        reason = http.client.responses.get(reply.status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
