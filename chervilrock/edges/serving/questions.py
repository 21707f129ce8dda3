"""Answers short questions of the platform, of operators and of other nodes."""

from collections.abc import Callable
import http.client
import urllib.parse

from tornado import httputil

from chervilrock.tasks.serving.peermessages import compress

LEAST_COMPRESSED = 256
"""Bytes from which an answer is compressed for whoever takes that; below, the
header for it takes up what it saves."""


class SimpleEdge(httputil.HTTPServerConnectionDelegate):
    """Answers short questions without a body."""

    def __init__(
        self, *, answer: Callable[[str, dict[str, str], bytes], "Reply"]
    ) -> None:
        """Answer by a function of path, query and body."""
        self._answer = answer

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        del server_conn
        return _QuestionReader(answer=self._answer, connection=request_conn)


class Reply:
    """Answer to a short question."""

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
    ) -> None:
        """Make an answer."""
        self.status = status
        self.body = body
        self.content_type = content_type


class _QuestionReader(httputil.HTTPMessageDelegate):
    """Collects a question and writes the answer."""

    def __init__(
        self,
        *,
        answer: Callable[[str, dict[str, str], bytes], Reply],
        connection: httputil.HTTPConnection,
    ) -> None:
        self._answer = answer
        self._connection = connection
        self._chunks: list[bytes] = []
        self._takes_gzip = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        if isinstance(start_line, httputil.RequestStartLine):
            self._target = start_line.path
        self._takes_gzip = "gzip" in headers.get("Accept-Encoding", "")

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
        if self._takes_gzip and len(body) >= LEAST_COMPRESSED:
            body = compress(body)
            headers["Content-Encoding"] = "gzip"
        headers["Content-Length"] = str(len(body))
        reason = http.client.responses.get(reply.status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
