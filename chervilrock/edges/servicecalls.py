"""Requests to plain services and their answers."""

from collections.abc import Iterable
import re
from typing import NamedTuple

from chervilrock.decisions.requests.attempts import Send
from chervilrock.decisions.requests.outcomes import (
    AttemptEnd,
    judge_attempt_end,
    judge_service_answer,
)
from chervilrock.decisions.routing.base import RequestView
from chervilrock.edges.heads import Head
from chervilrock.edges.parsing import parse_count
from chervilrock.edges.relay import BackendRequest, Receiver, TransferEnd
from chervilrock.edges.runs import Refusal
from chervilrock.edges.sinks import AnswerHead, AnswerSink

MAX_KEPT_BYTES = 1024 * 1024
"""An answer up to this size is kept until it is whole; of a greater one the
caller gets the parts as they come."""

EVENT_STREAM = "text/event-stream"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_REQUEST_HEADERS = frozenset(
    {
        "expect",
        "host",
        "x-attempt-id",
        "x-deadline-ms",
        "x-idempotent",
        "x-priority",
        "x-request-id",
    }
)
OWN_ANSWER_HEADERS = frozenset(
    {"date", "server", "x-attempt-id", "x-node", "x-outcome", "x-request-id"}
)
_DEFAULTS_OF_LIBRARY = ("Accept", "Content-Type", "User-Agent")
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_NO_BODY_STATUSES = frozenset({204, 304})

Headers = tuple[tuple[str, str], ...]


class ServiceCall(NamedTuple):
    """A call of a plain service.

    Attributes:
      method: HTTP method.
      target: path and query for the backend server.
      headers: headers of the caller.
      body: body, empty for none.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


def make_request(
    *,
    view: RequestView,
    call: ServiceCall,
    address: str,
    send: Send,
    now: float,
) -> BackendRequest:
    """Makes the HTTP request for one send to a backend server.

    Args:
      view: the request.
      call: the call.
      address: IP:port of the backend server.
      send: what is asked for.
      now: present time.
    """
    headers = copy_headers(call.headers, _OWN_REQUEST_HEADERS)
    present = {name.lower() for name, _ in headers}
    for name in _DEFAULTS_OF_LIBRARY:
        if name.lower() not in present:
            # An empty value keeps the library from adding its own.
            headers.append((name, ""))
    headers.append(("X-Request-Id", view.request_id))
    headers.append(("X-Attempt-Id", send.attempt))
    return BackendRequest(
        method=call.method,
        url=f"http://{address}{call.target}",
        headers=tuple(headers),
        body=call.body if call.body or call.method == "POST" else None,
        timeout_s=max(0.001, view.deadline - now),
        send_once=not view.idempotent,
    )


def copy_headers(
    headers: Iterable[tuple[str, str]], own: frozenset[str]
) -> list[tuple[str, str]]:
    """Copies the headers that are for the other end.

    Args:
      headers: names and values.
      own: names in lower case that this node sets itself.
    """
    headers = list(headers)
    dropped = own | _HOP_BY_HOP | list_connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and _NAME.fullmatch(name)
        and _VALUE.fullmatch(value)
    ]


def list_connection_options(
    headers: Iterable[tuple[str, str]],
) -> frozenset[str]:
    """Returns the names that the header Connection declares hop-by-hop."""
    options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return frozenset(options)


class ServiceReceiver(Receiver):
    """Takes the answer to one send and passes it on.

    Attributes:
      refusal: what the backend server said instead of an answer.
      started: whether a part of the answer went to the caller.
    """

    def __init__(
        self,
        *,
        method: str,
        expected: Headers,
        sink: AnswerSink,
        own_headers: frozenset[str] = OWN_ANSWER_HEADERS,
    ) -> None:
        """Waits for the answer to a send.

        Args:
          method: HTTP method of the request.
          expected: headers in lower case that have these values or are
            missing in the answer to this very send.
          sink: takes the answer.
          own_headers: headers in lower case that are not passed on.
        """
        self._expected = expected
        self._own_headers = own_headers
        self._is_head = method == "HEAD"
        self._sink = sink
        self._head: Head | None = None
        self._own = False
        self._kept: list[bytes] = []
        self._size = 0
        self.refusal = Refusal()
        self.started = False

    def take_head(self, head: Head) -> None:
        """See base class."""
        self._head = head
        self._own = all(
            head.find(name, value) == value for name, value in self._expected
        )
        if self._is_stream() and self._judge_head() is AttemptEnd.COMPLETE:
            self._start()

    def take_data(self, data: bytes) -> None:
        """See base class."""
        if self.started:
            self._sink.write(data)
            return
        self._kept.append(data)
        self._size += len(data)
        too_large = self._size > MAX_KEPT_BYTES
        if too_large and self._judge_head() is AttemptEnd.COMPLETE:
            self._start()

    def judge(self, end: TransferEnd) -> AttemptEnd:
        """Tells how the send ended."""
        if self._head is None:
            return AttemptEnd.LOST if end.sent else AttemptEnd.NOT_SENT
        judged = self._judge_head()
        if judged is AttemptEnd.COMPLETE and end.error:
            return AttemptEnd.BROKEN
        return judge_attempt_end(judged, repeated=end.repeated)

    def finish(self) -> None:
        """Passes on what is kept of a whole answer, and its end."""
        if self.started:
            self._sink.finish()
            return
        self.started = True
        self._sink.answer(self._make_head(whole=True), b"".join(self._kept))

    def _is_stream(self) -> bool:
        assert self._head is not None
        kind = self._head.find("content-type")
        return kind.partition(";")[0].strip().lower() == EVENT_STREAM

    def _judge_head(self) -> AttemptEnd:
        assert self._head is not None
        if not self._own:
            return AttemptEnd.FOREIGN
        head = self._head
        judged = judge_service_answer(
            head.status,
            not_run_header=head.find("x-not-run") == "true",
        )
        if judged is AttemptEnd.REFUSED:
            delay = parse_count(head.find("retry-after")) or 0
            self.refusal = Refusal(head.status, retry_after_s=float(delay))
        return judged

    def _start(self) -> None:
        """Passes on what has come so far; the rest follows as it comes."""
        self.started = True
        self._sink.start(self._make_head(whole=False))
        if self._kept:
            self._sink.write(b"".join(self._kept))
            self._kept.clear()

    def _make_head(self, *, whole: bool) -> AnswerHead:
        assert self._head is not None
        headers = copy_headers(self._head.headers, self._own_headers)
        length = self._find_length(whole)
        if length is not None:
            headers.append(("Content-Length", length))
        return AnswerHead(
            status=self._head.status,
            headers=tuple(headers),
            events=self._is_stream(),
        )

    def _find_length(self, whole: bool) -> str | None:
        """Returns the length to tell the caller, None when it is not known."""
        assert self._head is not None
        if self._head.status in _NO_BODY_STATUSES:
            return None
        if self._is_head:
            return self._head.find("content-length") or None
        return str(self._size) if whole else None
